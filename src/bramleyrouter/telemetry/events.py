"""Structured events: one JSON object a line, bounded, never blocking.

Lines wait in a bounded queue and are written by a timer to a file descriptor
that does not block. What does not fit is counted and the count is written
once there is room again.
"""

import asyncio
import os
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

# Lines that wait for the writer; about 0.5 MB.
MAX_WAITING_LINES = 2000
# Time between two writes, in seconds.
FLUSH_INTERVAL_S = 0.25
# Lines of ordinary requests in one interval; failures are never sampled.
MAX_ORDINARY_PER_INTERVAL = 5
STDOUT = 1

# Records one event: ``record(part, event, **fields)``.
RecordEvent = Callable[..., None]


@dataclass
class EventLog:
    """Hold the lines that wait to be written."""

    descriptor: int = STDOUT
    daemon: str = ""
    wall_clock: Callable[[], float] = time.time
    waiting: deque[bytes] = field(default_factory=deque)
    partial: bytes = b""
    left_out: int = 0
    ordinary: int = 0


def record(log: EventLog, part: str, event: str, **fields) -> None:
    """Queue one line; ``part`` is the fixed prefix of the writing component."""
    if len(log.waiting) >= MAX_WAITING_LINES:
        log.left_out += 1
        return
    line = {
        "at": round(log.wall_clock(), 3),
        "daemon": log.daemon,
        "part": part,
        "event": event,
        **fields,
    }
    log.waiting.append(msgspec.json.encode(line))


def record_rate_limited(log: EventLog, part: str, event: str, **fields) -> None:
    """Queue a line of an ordinary request, or count it as left out."""
    if log.ordinary >= MAX_ORDINARY_PER_INTERVAL:
        log.left_out += 1
        return
    log.ordinary += 1
    record(log, part, event, **fields)


def flush(log: EventLog) -> None:
    """Write what waits, as far as the descriptor takes it without blocking."""
    log.ordinary = 0
    if log.left_out and len(log.waiting) < MAX_WAITING_LINES:
        count, log.left_out = log.left_out, 0
        record(log, "events", "left_out", count=count)
    if not log.partial:
        # Lines wait in the bounded queue until the last ones are written.
        log.partial = b"".join(line + b"\n" for line in log.waiting)
        log.waiting.clear()
    if not log.partial:
        return
    try:
        written = os.write(log.descriptor, log.partial)
    except BlockingIOError:
        return
    except OSError:
        # Nobody reads any more; a daemon goes on without its log.
        log.partial = b""
        return
    log.partial = log.partial[written:]


def start_event_writer(log: EventLog) -> Callable[[], None]:
    """Write every interval; return the closure that stops and writes the rest."""
    os.set_blocking(log.descriptor, False)
    loop = asyncio.get_running_loop()
    timer: list[asyncio.TimerHandle] = []

    def tick() -> None:
        flush(log)
        timer[:] = [loop.call_later(FLUSH_INTERVAL_S, tick)]

    def stop() -> None:
        timer[0].cancel()
        flush(log)

    tick()
    return stop
