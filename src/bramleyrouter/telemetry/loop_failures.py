"""Record exceptions that reach the event loop instead of a caller."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.telemetry.events import EventLog, record

# Time in which failures with the same message and type are recorded once.
REPEAT_INTERVAL_S = 10.0
MAX_KINDS = 50
MAX_TEXT_LENGTH = 500


@dataclass
class _LoopFailures:
    """Hold the time of the last record of each kind, and how many were left out."""

    recorded_at: dict[tuple[str, str], float] = field(default_factory=dict)
    left_out: dict[tuple[str, str], int] = field(default_factory=dict)


def record_loop_failures(log: EventLog, loop: asyncio.AbstractEventLoop) -> None:
    """Record "daemon/callback_failed" for exceptions of callbacks and tasks.

    The traceback goes to standard error. A failure that repeats is written once each
    ``REPEAT_INTERVAL_S`` seconds, with the number of those in between.
    """
    state = _LoopFailures()

    def handle(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        exc = context.get("exception")
        message = str(context.get("message", ""))[:MAX_TEXT_LENGTH]
        kind = (message, type(exc).__name__)
        now, recorded_at = loop.time(), state.recorded_at.get(kind)
        if recorded_at is not None and now < recorded_at + REPEAT_INTERVAL_S:
            state.left_out[kind] = state.left_out.get(kind, 0) + 1
            return
        if len(state.recorded_at) >= MAX_KINDS:
            state.recorded_at.clear()
            state.left_out.clear()
        state.recorded_at[kind] = now
        record(
            log,
            "daemon",
            "callback_failed",
            message=message,
            type=type(exc).__name__,
            text=str(exc)[:MAX_TEXT_LENGTH],
            repeated=state.left_out.pop(kind, 0),
        )
        loop.default_exception_handler(context)

    loop.set_exception_handler(handle)
