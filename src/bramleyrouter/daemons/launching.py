"""Run a program's main function and record how the process starts and ends.

The programs' own imports take most of the time until a daemon runs. This module is
imported before them and imports only what the interpreter has loaded or what loads
within a millisecond, so that a process that ends early leaves a line, too.
"""

import faulthandler
import os
import select
import stat
import sys
import time
from importlib import import_module

from bramleyrouter.daemons.signals import (
    NAMES,
    SignalInbox,
    catch_signals,
    ignore_signals,
)

STDOUT, STDERR = 1, 2
EXIT_EXCEPTION = 1
# A write of PIPE_BUF bytes at most to a pipe that ``select`` reports as writable does
# not block. Escaping makes six bytes of a character of a text at most.
PIPE_BYTES = 4096
MAX_TEXT_LENGTH = 500
MAX_TRACEBACK_LENGTH = 50_000
# Time that a reader of standard error has to take a last text, in seconds.
READER_WAIT_S = 1.0


class Launch:
    """Hold what is known of a process that starts.

    ``started_at`` is the monotonic time in seconds of the first line of the program,
    ``daemon`` the daemon's id once the settings have been read. ``inbox`` holds the
    signals that come before the program can handle them.
    """

    __slots__ = ("program", "descriptor", "started_at", "daemon", "inbox")

    def __init__(self, program: str, descriptor: int, inbox: SignalInbox):
        self.program = program
        self.descriptor = descriptor
        self.started_at = time.monotonic()
        self.daemon = ""
        self.inbox = inbox

    def measure_age_s(self) -> float:
        """Return the seconds since the start, rounded to milliseconds."""
        return round(time.monotonic() - self.started_at, 3)


def _write(descriptor: int, text: str, wait_s: float) -> None:
    """Write a text; leave out what nobody reads within ``wait_s`` seconds."""
    unwritten = text.encode(errors="replace")
    deadline = time.monotonic() + wait_s
    try:
        while unwritten:
            remaining_s = max(0.0, deadline - time.monotonic())
            if not select.select([], [descriptor], [], remaining_s)[1]:
                return
            unwritten = unwritten[os.write(descriptor, unwritten[:PIPE_BYTES]) :]
    except (OSError, ValueError):
        # The reader has closed the pipe, or there is no such descriptor. The daemon
        # works without its log.
        return


def _write_line(descriptor: int, line: str) -> None:
    """Write a line at once, or leave it out if nobody reads the descriptor."""
    _write(descriptor, line + "\n", 0.0)


def _write_traceback(exc: BaseException) -> None:
    """Write what the interpreter would write, with a limit to its length and time."""
    import traceback

    text = "".join(traceback.format_exception(exc))
    if len(text) > MAX_TRACEBACK_LENGTH:
        text = text[:MAX_TRACEBACK_LENGTH] + "...\n"
    _write(STDERR, text, READER_WAIT_S)


def _record_ended(state: Launch, code: int, reason: str, **fields) -> None:
    import json

    if state.inbox.unreported:
        fields["signals"] = [NAMES[number] for number in sorted(state.inbox.unreported)]
    line = {
        "at": round(time.time(), 3),
        "daemon": state.daemon,
        "part": "daemon",
        "event": "ended",
        "code": code,
        "reason": reason,
        "seconds": state.measure_age_s(),
        **fields,
    }
    _write_line(state.descriptor, json.dumps(line, separators=(",", ":")))


def _open_missing_descriptors() -> None:
    """Open the null device for the standard descriptors that do not exist.

    The next file that is opened would otherwise take the place of one of them, and get
    the daemon's log lines.
    """
    opened = os.open(os.devnull, os.O_RDWR)
    while opened <= STDERR:
        opened = os.open(os.devnull, os.O_RDWR)
    os.close(opened)


def _stop_waiting_for_readers(descriptor: int) -> None:
    """Let writes to a pipe or socket fail, instead of wait, while nobody reads it."""
    try:
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
    except OSError:
        # There is no such descriptor.
        return


def _enable_crash_traces() -> None:
    """Write a traceback to standard error if a native library crashes."""
    try:
        faulthandler.enable(STDERR)
    except (OSError, RuntimeError, ValueError):
        # There is no standard error; a crash then leaves no trace.
        return


def _discard_unwritten(stream, descriptor: int) -> None:
    """Flush a standard stream; discard its text if that can't be written.

    The interpreter ends with code 120 if it can't flush the stream at its end.
    """
    try:
        stream.flush()
    except (AttributeError, OSError, ValueError):
        # Nobody reads the stream, or it doesn't exist.
        devnull = os.open(os.devnull, os.O_WRONLY)
        os.dup2(devnull, descriptor)
        os.close(devnull)


def _convert_exit_code(code) -> int:
    """Return the exit code for an argument of ``sys.exit``, which may be a text."""
    if code is None:
        return 0
    if isinstance(code, int):
        return code
    _write(STDERR, f"{code}\n", READER_WAIT_S)
    return EXIT_EXCEPTION


def launch(program: str, module: str, descriptor: int = STDOUT) -> None:
    """Import ``module``, call its ``main`` and exit with the code that it returns.

    ``main`` gets the ``Launch`` and is not called if a signal asked the process to stop
    during the import. Signals are caught first and ignored last. The events
    "daemon/starting" and "daemon/ended" are written to ``descriptor``, which belongs to
    the daemon's log. An exception of the import or of ``main`` is recorded, and its
    traceback goes to standard error.
    """
    state = Launch(program, descriptor, catch_signals())
    _open_missing_descriptors()
    # Encoded here, as importing an encoder takes several milliseconds.
    _write_line(
        descriptor,
        f'{{"at":{time.time():.3f},"daemon":"","part":"daemon","event":"starting",'
        f'"program":"{program}","pid":{os.getpid()}}}',
    )
    _stop_waiting_for_readers(STDERR)
    _enable_crash_traces()
    failure: BaseException | None = None
    try:
        main = import_module(module).main
        is_stopped = state.inbox.is_stop_pending()
        code = 0 if is_stopped else _convert_exit_code(main(state))
    except SystemExit as exc:
        code = _convert_exit_code(exc.code)
    except BaseException as exc:
        # Nothing above can handle it; the process ends with the code of an exception.
        code, failure = EXIT_EXCEPTION, exc
    if failure is None:
        _record_ended(state, code, "start_failed" if code else "stopped")
    else:
        text = str(failure)[:MAX_TEXT_LENGTH]
        _record_ended(state, code, "exception", type=type(failure).__name__, text=text)
        _write_traceback(failure)
    ignore_signals(state.inbox)
    _discard_unwritten(sys.stdout, STDOUT)
    _discard_unwritten(sys.stderr, STDERR)
    sys.exit(code)
