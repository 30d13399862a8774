"""Bound the bytes that one process holds for its peers together.

Each holder of bytes (a reply that is being received, a reply that its caller has not
read yet, frames that a peer has not read yet) counts them against one shared budget.
When the budget is exceeded, the holder with the largest weighted size is ended, until
the rest fits. Thus peers that send without end, or never read, can't use the memory of
the others:

    budget = ByteBudget(limit_bytes=100)
    small = Holding(budget, "caller", "10.0.0.1", end_small)
    large = Holding(budget, "server", "10.0.0.2", end_large)
    hold(small, 10)
    hold(large, 95)  # Calls end_large and returns false.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

# Least memory limit with which the daemons are deployed, in bytes.
DEFAULT_MEMORY_BYTES = 200_000_000
# Share of the memory limit that may be held for peers. The rest is for the program
# itself, the kernel's buffers and copies that exist while bytes are passed on.
HELD_SHARE = 0.35
# Weight of holders whose bytes are probably of no use, such as a reply without a
# declared length or one that its caller does not read.
SUSPECT_WEIGHT = 4.0
NORMAL_WEIGHT = 1.0


def compute_held_limit(memory_bytes: int) -> int:
    """Return how many bytes may be held for peers under a memory limit."""
    return int(HELD_SHARE * memory_bytes)


# ``on_holder_ended(holding, size)`` reports that a holder of ``size`` bytes was ended.
OnHolderEnded = Callable[["Holding", int], None]


@dataclass(eq=False, slots=True)
class ByteBudget:
    """Hold the sum of the bytes that are held, and its limit."""

    limit_bytes: int = compute_held_limit(DEFAULT_MEMORY_BYTES)
    on_holder_ended: OnHolderEnded = lambda holding, size: None
    held_bytes: int = 0
    ended_count: int = 0
    holdings: "set[Holding]" = field(default_factory=set)


@dataclass(eq=False, slots=True)
class Holding:
    """Count the bytes of one holder.

    ``kind`` and ``name`` describe the holder for the log. ``on_end`` is called when the
    holder must let go of all its bytes, which are no longer counted then. It must drop
    them before it returns, and must neither hold bytes nor call other parts; it may
    schedule that. ``get_weight`` returns the weight by which the size is multiplied
    when the largest holder is chosen.
    """

    budget: ByteBudget
    kind: str
    name: str
    on_end: Callable[[], None]
    get_weight: Callable[[], float] = lambda: NORMAL_WEIGHT
    held_bytes: int = 0


def hold(holding: Holding, size: int) -> bool:
    """Count ``size`` more bytes; return false if this holder was ended for them."""
    if not size:
        return True
    budget = holding.budget
    if not holding.held_bytes:
        budget.holdings.add(holding)
    holding.held_bytes += size
    budget.held_bytes += size
    if budget.held_bytes <= budget.limit_bytes:
        return True
    return _end_largest_holders(budget, holding)


def release(holding: Holding, size: int) -> None:
    """Count at most ``size`` bytes less; a holder that was ended has none."""
    size = min(size, holding.held_bytes)
    holding.held_bytes -= size
    holding.budget.held_bytes -= size
    if not holding.held_bytes:
        holding.budget.holdings.discard(holding)


def release_all(holding: Holding) -> None:
    """Count none of the holder's bytes any more."""
    size = holding.held_bytes
    if size:
        holding.held_bytes = 0
        holding.budget.held_bytes -= size
        holding.budget.holdings.discard(holding)


def _end_largest_holders(budget: ByteBudget, current: Holding) -> bool:
    """End holders until the rest fits; return whether ``current`` still holds."""
    has_current = True
    while budget.held_bytes > budget.limit_bytes:
        largest = max(
            budget.holdings, key=lambda item: item.held_bytes * item.get_weight()
        )
        size = largest.held_bytes
        release_all(largest)
        budget.ended_count += 1
        has_current = has_current and largest is not current
        largest.on_end()
        budget.on_holder_ended(largest, size)
    return has_current
