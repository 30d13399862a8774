"""Report what a process holds for its peers, and how near it is to its memory limit."""

import resource
from dataclasses import dataclass

from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, compute_held_limit
from bramleyrouter.utils.tasks import BackgroundTasks, run_periodically, spawn

# Shares of the memory limit that are recorded when the resident memory passes them.
HIGH_SHARES = (0.6, 0.8)
# The memory must be lower by this share of the limit before it counts as rising again.
HYSTERESIS_SHARE = 0.05
# Interval of the check of the resident memory, in seconds.
CHECK_INTERVAL_S = 0.5


def build_memory_budget(memory_bytes: int, log: EventLog) -> ByteBudget:
    """Build the budget of a process that may use ``memory_bytes``.

    Each holder that is ended is recorded as the event "memory/holder_ended".
    """

    def record_ended(holding: Holding, size: int) -> None:
        record(
            log,
            "memory",
            "holder_ended",
            kind=holding.kind,
            name=holding.name,
            bytes=size,
            held_bytes=budget.held_bytes,
            limit_bytes=budget.limit_bytes,
        )

    budget = ByteBudget(compute_held_limit(memory_bytes), record_ended)
    return budget


@dataclass
class MemoryWatch:
    """Hold the highest share of the limit that was recorded and not yet left again."""

    limit_bytes: int
    recorded_share: float = 0.0


def check_memory(watch: MemoryWatch, resident_bytes: int) -> float | None:
    """Return the share of the limit that the resident memory has newly passed.

    Each of ``HIGH_SHARES`` is returned once while the memory rises, and again only
    after the memory has been lower by ``HYSTERESIS_SHARE`` of the limit.
    """
    share = resident_bytes / watch.limit_bytes
    passed = max((high for high in HIGH_SHARES if share >= high), default=0.0)
    if passed > watch.recorded_share:
        watch.recorded_share = passed
        return passed
    if share < watch.recorded_share - HYSTERESIS_SHARE:
        watch.recorded_share = passed
    return None


def read_resident_bytes() -> int:
    """Return the resident memory of this process, or its peak where Linux lacks it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, IndexError, ValueError):
        # In kilobytes on Linux.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def watch_memory(
    tasks: BackgroundTasks, log: EventLog, memory_bytes: int, budget: ByteBudget
) -> None:
    """Record the event "daemon/memory_high" when the process nears its limit.

    The platform kills a process above the limit, which leaves no line in its log.
    """
    watch = MemoryWatch(memory_bytes)

    def check() -> None:
        resident_bytes = read_resident_bytes()
        share = check_memory(watch, resident_bytes)
        if share is not None:
            record(
                log,
                "daemon",
                "memory_high",
                share=share,
                resident_bytes=resident_bytes,
                limit_bytes=memory_bytes,
                held_bytes=budget.held_bytes,
            )

    spawn(tasks, run_periodically(CHECK_INTERVAL_S, check))
