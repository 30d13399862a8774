"""Carry out the steps of a start, and try those again that fail for a moment.

While a process starts, another one may still hold its address or its data folder, a
disk may fail, and its settings may be in the middle of being written. A process that
ended then would lose more time than the cause takes, and its platform may not start
it again. Other failures last, so the process ends with a reason.
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, TypeVar

from absl import logging
from result import Err, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.telemetry.events import RecordEvent

T = TypeVar("T")
# Carries out a step of a start and returns its result: ``run_step(step, action)``.
RunStep = Callable[[str, Callable[[], Any]], Awaitable[Any]]

RETRY_INTERVAL_S = 0.5
# Time between two events about a step that fails with the same reason.
REPORT_INTERVAL_S = 10.0

TEMPORARY_CODES = frozenset(
    {Code.DISK_FAILED, Code.SETTINGS_UNREADABLE, Code.SETTINGS_INVALID}
)
# Errors of the operating system that only another configuration or program ends.
LASTING_ERRORS = frozenset(
    {
        errno.EACCES,
        errno.EAFNOSUPPORT,
        errno.EBADF,
        errno.EINVAL,
        errno.ENOTSOCK,
        errno.EOPNOTSUPP,
        errno.EPERM,
    }
)


class StartStep(StrEnum):
    """Name the steps of a start in events."""

    SETTINGS = "settings"
    BUILD = "build"
    INTERNAL_LISTENER = "internal listener"
    CALLER_LISTENER = "caller listener"
    CONTROL_LISTENER = "control listener"
    READY_LISTENER = "ready listener"
    METRICS_LISTENER = "metrics listener"
    HTTP_LISTENER = "http listener"


class FailureError(Exception):
    """Carry a failure out of a step; see ``unwrap``."""

    def __init__(self, failure: Failure):
        super().__init__(str(failure))
        self.failure = failure


class StartFailedError(Exception):
    """Report that a step can't succeed; ``cause`` is the exception that it raised."""

    def __init__(self, step: str, cause: Exception):
        super().__init__(f"{step}: {describe(cause)}")
        self.cause = cause


def unwrap(outcome: Result[T, Failure]) -> T:
    """Return the value of ``outcome``; raise ``FailureError`` if it is a failure."""
    if isinstance(outcome, Err):
        raise FailureError(outcome.err_value)
    return outcome.ok_value


def describe(exc: Exception) -> str:
    """Return a reason for events, with the type of an exception without a text."""
    if isinstance(exc, (FailureError, OSError)):
        return str(exc)
    return f"{type(exc).__name__}: {exc}"


def is_temporary(exc: Exception) -> bool:
    """Return whether the failure of a step may pass without another program.

    Temporary are failures of the data folder and of the settings, and all errors of the
    operating system but ``LASTING_ERRORS`` and names that can't be resolved.
    """
    if isinstance(exc, FailureError):
        return exc.failure.code in TEMPORARY_CODES
    if isinstance(exc, socket.gaierror):
        return exc.errno in (socket.EAI_AGAIN, socket.EAI_MEMORY, socket.EAI_SYSTEM)
    return isinstance(exc, OSError) and exc.errno not in LASTING_ERRORS


async def finish_step(
    record_event: RecordEvent,
    step: str,
    action: Callable[[], T],
    is_temporary: Callable[[Exception], bool] = is_temporary,
    interval_s: float = RETRY_INTERVAL_S,
) -> T:
    """Call ``action`` until it succeeds, and return its result.

    A temporary failure is tried again every ``interval_s`` seconds for as long as it
    lasts: ``start_delayed`` is recorded at once, when the reason changes and every
    ``REPORT_INTERVAL_S`` seconds, and ``start_resumed`` at the end. Any other exception
    is recorded as ``start_failed`` and raised as ``StartFailedError``. ``action`` must
    leave nothing open when it raises. For example::

        server = await finish_step(
            record_event, StartStep.METRICS_LISTENER, lambda: listen(address)
        )
    """
    clock = asyncio.get_running_loop().time
    started = clock()
    reported_reason, reported_at = "", started
    while True:
        try:
            finished = action()
            break
        except Exception as exc:
            # Any exception may come out of a step; those that aren't temporary are
            # recorded and end the start.
            reason = describe(exc)
            if not is_temporary(exc):
                record_event("daemon", "start_failed", step=step, reason=reason)
                if not isinstance(exc, (FailureError, OSError)):
                    logging.exception("daemon: the step %s failed.", step)
                raise StartFailedError(step, exc) from exc
        now = clock()
        if reason != reported_reason or now >= reported_at + REPORT_INTERVAL_S:
            reported_reason, reported_at = reason, now
            lost_s = round(now - started, 3)
            record_event(
                "daemon", "start_delayed", step=step, reason=reason, lost_s=lost_s
            )
        await asyncio.sleep(interval_s)
    if reported_reason:
        lost_s = round(clock() - started, 3)
        record_event("daemon", "start_resumed", step=step, lost_s=lost_s)
    return finished


async def run_once(step: str, action: Callable[[], T]) -> T:
    """Call ``action`` once; for programs whose user waits and sees the failure."""
    return action()


def record_in_log(part: str, event: str, **fields) -> None:
    """Write the event as a line of the program's log, for daemons without events."""
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    logging.warning("%s: %s %s", part, event, values)
