"""Report what a process holds for its peers, and how near it is to its memory limit."""

from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, compute_held_limit


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
