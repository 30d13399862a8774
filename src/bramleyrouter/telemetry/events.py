"""Write structured events as JSON lines without blocking the event loop.

Lines wait in a bounded queue and a timer writes them to a non-blocking file
descriptor. When the queue is full, further events are left out and counted; the
count is written as an event once the queue has space again.
"""

import asyncio
import json
import os
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

# Bounds the queue to about 0.5 MB.
MAX_PENDING_LINES = 2000
FLUSH_INTERVAL_S = 0.25
# Limits events of ordinary requests per flush interval; failures are not
# rate-limited.
MAX_RATE_LIMITED_PER_INTERVAL = 5
STDOUT = 1

# Records one event: ``record(part, event, **fields)``.
RecordEvent = Callable[..., None]


@dataclass
class EventLog:
    """Hold unwritten lines and the counts of left-out and rate-limited events."""

    descriptor: int = STDOUT
    daemon: str = ""
    wall_clock: Callable[[], float] = time.time
    pending_lines: deque[bytes] = field(default_factory=deque)
    unwritten_bytes: bytes = b""
    left_out_count: int = 0
    rate_limited_count: int = 0


def record(log: EventLog, part: str, event: str, **fields) -> None:
    """Queue one event; ``part`` names the component that records it."""
    if len(log.pending_lines) >= MAX_PENDING_LINES:
        log.left_out_count += 1
        return
    line = {
        "at": round(log.wall_clock(), 3),
        "daemon": log.daemon,
        "part": part,
        "event": event,
        **fields,
    }
    try:
        encoded = msgspec.json.encode(line)
    except UnicodeEncodeError:
        # Names that the operating system gives can hold bytes that are no UTF-8.
        text = json.dumps(line, ensure_ascii=False, default=str)
        encoded = text.encode(errors="replace")
    log.pending_lines.append(encoded)


def record_rate_limited(log: EventLog, part: str, event: str, **fields) -> None:
    """Queue an event of an ordinary request, unless the interval's limit is reached.

    Events above the limit are counted as left out.
    """
    if log.rate_limited_count >= MAX_RATE_LIMITED_PER_INTERVAL:
        log.left_out_count += 1
        return
    log.rate_limited_count += 1
    record(log, part, event, **fields)


def flush(log: EventLog) -> None:
    """Write as many queued bytes as the descriptor accepts without blocking."""
    log.rate_limited_count = 0
    if log.left_out_count and len(log.pending_lines) < MAX_PENDING_LINES:
        count, log.left_out_count = log.left_out_count, 0
        record(log, "events", "left_out", count=count)
    if not log.unwritten_bytes:
        # Take more lines only after the previous write is complete, so that waiting
        # lines stay in the bounded queue.
        log.unwritten_bytes = b"".join(line + b"\n" for line in log.pending_lines)
        log.pending_lines.clear()
    if not log.unwritten_bytes:
        return
    try:
        written = os.write(log.descriptor, log.unwritten_bytes)
    except BlockingIOError:
        return
    except BrokenPipeError:
        # The reader closed the pipe; the daemon continues without its event log.
        log.unwritten_bytes = b""
        return
    except OSError:
        # A disk that is full, for example: the bytes are written when it has space.
        return
    log.unwritten_bytes = log.unwritten_bytes[written:]


def start_event_writer(log: EventLog) -> Callable[[], None]:
    """Write queued lines every ``FLUSH_INTERVAL_S`` seconds.

    Return a closure that stops the timer and flushes once more.
    """
    os.set_blocking(log.descriptor, False)
    loop = asyncio.get_running_loop()
    timer: list[asyncio.TimerHandle] = []

    def tick() -> None:
        # Set first, so that an unexpected error does not end the writing.
        timer[:] = [loop.call_later(FLUSH_INTERVAL_S, tick)]
        flush(log)

    def stop() -> None:
        timer[0].cancel()
        flush(log)

    tick()
    return stop
