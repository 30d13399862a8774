"""Receive signals from the first line of a program to its last.

The handlers only note a signal. It is delivered by the event loop, or kept until there
is one and somebody waits for the signal, so that none ends the process by its default
action or interrupts a step. asyncio's own handlers are not used: they exist only while
the loop runs, and the default actions are restored when it closes.
"""

# ``signal`` wraps this module in enums, whose import would triple the time until the
# signals are caught.
import _signal
from collections.abc import Callable, Mapping

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    import socket

SIGHUP: int = _signal.SIGHUP
SIGINT: int = _signal.SIGINT
SIGTERM: int = _signal.SIGTERM
NAMES = {SIGHUP: "SIGHUP", SIGINT: "SIGINT", SIGTERM: "SIGTERM"}
STOP_SIGNALS = (SIGTERM, SIGINT)
# Reads all wake-up bytes that can wait, as a process has 64 signals.
WAKE_UP_BYTES = 4096


class SignalInbox:
    """Hold the signals that were received and not delivered yet, and the callbacks.

    A signal that comes again before it is delivered counts once.
    """

    __slots__ = ("pending", "unreported", "callbacks", "deliver", "wake_ups")

    def __init__(self) -> None:
        self.pending: set[int] = set()
        self.unreported: set[int] = set()
        self.callbacks: dict[int, Callable[[], None]] = {}
        self.deliver: Callable[[], None] | None = None
        self.wake_ups: tuple[socket.socket, ...] = ()

    def is_stop_pending(self) -> bool:
        """Return whether SIGTERM or SIGINT waits for its delivery."""
        return any(number in self.pending for number in STOP_SIGNALS)


def catch_signals() -> SignalInbox:
    """Note SIGHUP, SIGINT and SIGTERM from now on."""
    inbox = SignalInbox()

    def note(number: int, frame) -> None:
        # Runs between any two instructions: adding to a set is one step.
        inbox.unreported.add(number)
        inbox.pending.add(number)

    for number in NAMES:
        _signal.signal(number, note)
    return inbox


def deliver_signals(
    inbox: SignalInbox,
    loop: "asyncio.AbstractEventLoop",
    callbacks: Mapping[int, Callable[[], None]],
    on_receive: Callable[[str], None],
) -> None:
    """Call the callbacks for signals that were noted, and from now on for each one.

    ``on_receive`` gets the name of each signal, also of one without a callback, which
    is kept for ``set_signal_callback``. An exception of a callback goes to the loop's
    exception handler. Call it on the main thread.
    """
    import socket

    def call(callback: Callable, *arguments) -> None:
        try:
            callback(*arguments)
        except Exception as exc:
            message = "A signal's callback failed."
            loop.call_exception_handler({"message": message, "exception": exc})

    def deliver() -> None:
        for number in NAMES:
            if number in inbox.unreported:
                inbox.unreported.discard(number)
                call(on_receive, NAMES[number])
            callback = inbox.callbacks.get(number)
            if number in inbox.pending and callback is not None:
                inbox.pending.discard(number)
                call(callback)

    def wake_up() -> None:
        reader.recv(WAKE_UP_BYTES)
        deliver()

    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    inbox.callbacks.update(callbacks)
    inbox.deliver, inbox.wake_ups = deliver, (reader, writer)
    loop.add_reader(reader, wake_up)
    # The interpreter writes a byte when a signal comes. A handler alone would run late
    # if the signal came just before the loop begins to wait.
    _signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    deliver()


def set_signal_callback(
    inbox: SignalInbox, number: int, callback: Callable[[], None]
) -> None:
    """Replace a signal's callback; call it at once if the signal has come before."""
    inbox.callbacks[number] = callback
    if inbox.deliver is not None:
        inbox.deliver()


def ignore_signals(inbox: SignalInbox) -> None:
    """Ignore the signals from now on, as the process ends and its exit code is known.

    The interpreter restores the default action of a handler at its end, but leaves an
    ignored signal ignored.
    """
    for number in NAMES:
        _signal.signal(number, _signal.SIG_IGN)
    _signal.set_wakeup_fd(-1)
    inbox.deliver = None
    for sock in inbox.wake_ups:
        sock.close()
    inbox.wake_ups = ()
