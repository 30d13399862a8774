"""Search for a linearization of a history of concurrent operations.

The search follows Wing and Gong, "Testing and Verifying Concurrent Objects"
(1993), with the memoization of Lowe, "Testing for Linearizability" (2017).
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

NEVER = float("inf")


@dataclass(frozen=True)
class Operation:
    """Hold one operation: who, what, its result, and when.

    ``returned_at`` is ``NEVER`` and ``result`` is ``None`` for an operation
    whose answer was lost; it may have taken effect at any later time, or not.
    """

    process: str
    request: Any
    called_at: float
    returned_at: float = NEVER
    result: Any = None

    @property
    def is_pending(self) -> bool:
        """Return whether the answer was lost."""
        return self.returned_at == NEVER


# Returns the next state and the expected result of a request in a state.
Model = Callable[[Any, Any], tuple[Any, Any]]


def find_linearization(
    history: list[Operation], model: Model, initial: Hashable
) -> list[Operation] | None:
    """Return the operations in an order that explains the history, or none.

    The order respects real time: an operation that returned before another
    was called comes before it. Operations whose answers were lost may be left
    out of the returned order.
    """
    operations = sorted(history, key=lambda item: item.called_at)
    seen: set[tuple[frozenset[int], Hashable]] = set()
    # Each entry: what is done, the state, and the order so far.
    stack: list[tuple[frozenset[int], Hashable, tuple[int, ...]]] = [
        (frozenset(), initial, ())
    ]
    while stack:
        done, state, order = stack.pop()
        if _is_complete(operations, done):
            return [operations[index] for index in order]
        if (done, state) in seen:
            continue
        seen.add((done, state))
        for index in reversed(_candidates(operations, done)):
            operation = operations[index]
            next_state, expected = model(state, operation.request)
            if operation.is_pending or expected == operation.result:
                stack.append((done | {index}, next_state, (*order, index)))
    return None


def _is_complete(operations: list[Operation], done: frozenset[int]) -> bool:
    return all(
        index in done or operation.is_pending
        for index, operation in enumerate(operations)
    )


def _candidates(operations: list[Operation], done: frozenset[int]) -> list[int]:
    """Return those that may come next: called before any other returned."""
    left = [index for index in range(len(operations)) if index not in done]
    first_return = min(operations[index].returned_at for index in left)
    return [index for index in left if operations[index].called_at <= first_return]
