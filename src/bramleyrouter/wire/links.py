"""Match requests, replies and streams on one connection.

A link is independent of sockets: it sends frames by ``write``, and its owner
passes received frames to ``receive``. The TCP and the in-memory network share
this code.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.wire.envelopes import Envelope, FrameType
from bramleyrouter.wire.network import Handler, OnEnd, OnItem, Peer, StreamHandler


@dataclass
class HandlerTable:
    """Hold the handlers that a daemon registered, by message kind."""

    calls: dict[int, Handler] = field(default_factory=dict)
    streams: dict[int, StreamHandler] = field(default_factory=dict)


@dataclass
class Link:
    """Hold the calls, streams and handlers in progress on one connection."""

    peer: Peer
    write: Callable[[Envelope], None]
    handlers: HandlerTable
    is_open: bool = True
    _next_correlations: itertools.count = field(
        default_factory=lambda: itertools.count(1)
    )
    _pending_calls: dict[int, asyncio.Future] = field(default_factory=dict)
    _streams: dict[int, tuple[OnItem, OnEnd]] = field(default_factory=dict)
    _handler_tasks: dict[int, asyncio.Task] = field(default_factory=dict)
    _one_way_tasks: set[asyncio.Task] = field(default_factory=set)

    async def call(
        self, kind: int, payload: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Send a request and wait for its reply.

        The peer's handler is cancelled when this call is cancelled or when
        ``timeout_s`` seconds have passed.
        """
        if not self.is_open:
            return self._build_closed_failure()
        correlation = next(self._next_correlations)
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._pending_calls[correlation] = fut
        # A plain timer costs less than asyncio.wait_for.
        timer = loop.call_later(
            timeout_s, self._fail_with_timeout, correlation, kind, timeout_s
        )
        self.write(Envelope(FrameType.REQUEST, kind, correlation, payload))
        try:
            return await fut
        except asyncio.CancelledError:
            if self.is_open:
                self.write(Envelope(FrameType.CANCEL, kind, correlation))
            raise
        finally:
            timer.cancel()
            self._pending_calls.pop(correlation, None)

    def _build_closed_failure(self) -> Err[Failure]:
        text = f'The connection to "{self.peer.address}" closed before the request.'
        return Err(Failure(Code.PEER_UNREACHABLE, text))

    def _fail_with_timeout(self, correlation: int, kind: int, timeout_s: float) -> None:
        fut = self._pending_calls.get(correlation)
        if fut is None or fut.done():
            return
        self.write(Envelope(FrameType.CANCEL, kind, correlation))
        text = f'"{self.peer.address}" sent no reply within {timeout_s:.3f} s.'
        fut.set_result(Err(Failure(Code.PEER_TIMEOUT, text)))

    def open_stream(
        self, kind: int, payload: bytes, on_item: OnItem, on_end: OnEnd
    ) -> Callable[[], None]:
        """Send a stream request; return the closure that cancels it."""
        if not self.is_open:
            on_end(self._build_closed_failure())
            return lambda: None
        correlation = next(self._next_correlations)
        self._streams[correlation] = (on_item, on_end)
        self.write(Envelope(FrameType.STREAM, kind, correlation, payload))

        def cancel() -> None:
            if self._streams.pop(correlation, None) and self.is_open:
                self.write(Envelope(FrameType.CANCEL, kind, correlation))

        return cancel

    def receive(self, envelope: Envelope) -> None:
        """Process one frame from the peer; ignore it after the connection's end."""
        if not self.is_open:
            return
        frame_type = envelope.frame_type
        if frame_type is FrameType.ITEM:
            if entry := self._streams.get(envelope.correlation):
                entry[0](envelope.payload)
        elif frame_type is FrameType.END:
            if entry := self._streams.pop(envelope.correlation, None):
                entry[1](_build_result(envelope, None))
        elif frame_type is FrameType.REPLY:
            fut = self._pending_calls.get(envelope.correlation)
            if fut and not fut.done():
                fut.set_result(_build_result(envelope, envelope.payload))
        elif frame_type is FrameType.CANCEL:
            if task := self._handler_tasks.pop(envelope.correlation, None):
                task.cancel()
        else:
            self._start_handler(envelope)

    def _start_handler(self, envelope: Envelope) -> None:
        if envelope.frame_type is FrameType.STREAM:
            work = self._run_stream(envelope)
        else:
            work = self._run_call(envelope)
        task = asyncio.get_running_loop().create_task(work)
        if envelope.frame_type is FrameType.ONE_WAY:
            self._one_way_tasks.add(task)
            task.add_done_callback(self._one_way_tasks.discard)
            return
        correlation = envelope.correlation
        self._handler_tasks[correlation] = task
        task.add_done_callback(lambda _: self._handler_tasks.pop(correlation, None))

    async def _run_call(self, envelope: Envelope) -> None:
        handler = self.handlers.calls.get(envelope.kind)
        if handler is None:
            outcome: Result[bytes, Failure] = _build_unknown_kind_failure(envelope.kind)
        else:
            outcome = await _run_handler(handler, self.peer, envelope.payload)
        if envelope.frame_type is FrameType.REQUEST:
            self._send_reply(FrameType.REPLY, envelope, outcome)

    async def _run_stream(self, envelope: Envelope) -> None:
        handler = self.handlers.streams.get(envelope.kind)
        kind, correlation = envelope.kind, envelope.correlation

        def send_item(payload: bytes) -> None:
            if self.is_open:
                self.write(Envelope(FrameType.ITEM, kind, correlation, payload))

        if handler is None:
            outcome: Result = _build_unknown_kind_failure(kind)
        else:
            outcome = await _run_handler(
                handler, self.peer, envelope.payload, send_item
            )
        self._send_reply(FrameType.END, envelope, outcome)

    def _send_reply(
        self, frame_type: FrameType, envelope: Envelope, outcome: Result
    ) -> None:
        if not self.is_open:
            return
        kind, correlation = envelope.kind, envelope.correlation
        if isinstance(outcome, Ok):
            self.write(Envelope(frame_type, kind, correlation, outcome.ok_value or b""))
            return
        failure = outcome.err_value
        self.write(
            Envelope(
                frame_type, kind, correlation, b"", int(failure.code), failure.text
            )
        )

    def close(self) -> None:
        """Fail pending calls and streams and cancel running handlers.

        The peer may have acted on the pending requests.
        """
        if not self.is_open:
            return
        self.is_open = False
        text = f'The connection to "{self.peer.address}" was lost.'
        lost: Err[Failure] = Err(Failure(Code.PEER_DISCONNECTED, text))
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_result(lost)
        for task in list(self._handler_tasks.values()):
            task.cancel()
        # One at a time, as the end of a stream may cancel another one.
        while self._streams:
            _, on_end = self._streams.pop(next(iter(self._streams)))
            try:
                on_end(lost)
            except Exception:
                # The other streams have lost their connection as well.
                logging.exception("wire: the end of a stream was not processed.")


def _build_result(envelope: Envelope, value):
    if envelope.code:
        return Err(Failure(_parse_code(envelope.code), envelope.text))
    return Ok(value)


def _parse_code(code: int) -> Code:
    """Return the result code, or ``PEER_REFUSED`` if the number is unknown."""
    try:
        return Code(code)
    except ValueError:
        return Code.PEER_REFUSED


def _build_unknown_kind_failure(kind: int) -> Err[Failure]:
    return Err(Failure(Code.UNKNOWN_MESSAGE_KIND, f'Kind "{kind}" is not served.'))


async def _run_handler(handler: Callable[..., Awaitable[Result]], *args) -> Result:
    """Run a handler; turn an exception into a ``PEER_REFUSED`` failure."""
    try:
        return await handler(*args)
    except Exception:
        logging.exception("wire: a handler failed.")
        return Err(Failure(Code.PEER_REFUSED, "The peer's handler failed."))
