"""Queue of one server: earliest deadline first, fair between classes."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from bramleyrouter.ids import ClassName


class QueueItem(Protocol):
    """What the queue needs to know of a piece of work."""

    deadline: float
    class_name: ClassName


T = TypeVar("T", bound=QueueItem)


@dataclass
class FairQueue(Generic[T]):
    """Hold waiting work by class.

    Each class has a pass, raised by one over its weight whenever its work
    starts; the class with the lowest pass is next (stride scheduling,
    Waldspurger and Weihl 1995). A class that was empty begins at the present
    pass, so it can't save up turns.
    """

    get_weight: Callable[[ClassName], int]
    heaps: dict[ClassName, list[tuple[float, int, T]]] = field(default_factory=dict)
    passes: dict[ClassName, float] = field(default_factory=dict)
    current_pass: float = 0.0
    size: int = 0
    numbers: itertools.count = field(default_factory=itertools.count)


def push(queue: FairQueue[T], work: T) -> None:
    """Add a piece of work."""
    heap = queue.heaps.get(work.class_name)
    if heap is None:
        heap = queue.heaps[work.class_name] = []
        queue.passes[work.class_name] = queue.current_pass
    heapq.heappush(heap, (work.deadline, next(queue.numbers), work))
    queue.size += 1


def pop(queue: FairQueue[T]) -> T | None:
    """Take the work that is next, or None."""
    if not queue.heaps:
        return None
    name = min(queue.heaps, key=lambda key: (queue.passes[key], key))
    heap = queue.heaps[name]
    work = heapq.heappop(heap)[2]
    queue.size -= 1
    queue.current_pass = queue.passes[name]
    queue.passes[name] += 1.0 / max(1, queue.get_weight(name))
    if not heap:
        del queue.heaps[name]
        del queue.passes[name]
    return work


def remove(queue: FairQueue[T], work: T) -> bool:
    """Take ``work`` out of the queue; return whether it was there."""
    heap = queue.heaps.get(work.class_name, [])
    for index, (_, _, other) in enumerate(heap):
        if other is work:
            heap[index] = heap[-1]
            heap.pop()
            heapq.heapify(heap)
            queue.size -= 1
            if not heap:
                del queue.heaps[work.class_name]
                del queue.passes[work.class_name]
            return True
    return False


def pop_all(queue: FairQueue[T]) -> list[T]:
    """Empty the queue and return what waited."""
    items = [item for heap in queue.heaps.values() for _, _, item in heap]
    queue.heaps.clear()
    queue.passes.clear()
    queue.size = 0
    return items


def count_ahead(queue: FairQueue[T], deadline: float) -> int:
    """Return how many pieces of work have an earlier or equal deadline."""
    return sum(
        1 for heap in queue.heaps.values() for item in heap if item[0] <= deadline
    )
