"""Serve HTTP so that slow and abusive clients can't hold the event loop.

Tornado parses whatever has arrived and limits heads and bodies by their bytes alone.
The stream of a ``GuardedServer`` counts parse steps in the reads that tornado makes,
delays those that need a turn (see ``parse_turns``) and enforces the time limits of
heads, bodies and replies. A refused client gets 408, 429 or 503, or only the end of its
connection; its request was not complete, so nothing of it has run.
"""

import asyncio
import resource
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado.concurrent import Future, chain_future
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError

from bramleyrouter.utils.parse_turns import (
    MAX_CONNECTIONS,
    ParseTurns,
    RefusalReason,
    TurnTaker,
    add_waiting,
    pop_turn,
    remove_waiting,
)

# Limits of the listeners that have no configured ones, in bytes and seconds.
MAX_HEADER_BYTES = 16 * 1024
HEADER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 15.0
# Time that a whole body may take, in seconds. The longest deadline of a caller is far
# shorter.
BODY_TIMEOUT_S = 60.0
# Time in which a client must read its reply, in seconds. The listener for callers ends
# them earlier, by their deadline.
WRITE_TIMEOUT_S = 60.0
# Share of the process's descriptors that one listener may use.
DESCRIPTOR_SHARE = 0.5
# Bytes that are read at once. What a client sends ahead of its replies is kept outside
# the byte budget, up to this size for each connection.
READ_CHUNK_BYTES = 16 * 1024
# Bytes after a request that don't count as sent ahead: some clients end bodies with an
# empty line.
MAX_EMPTY_LINES_BYTES = 4
# Steps that a connection may save for later by large reads.
MAX_SAVED_STEPS = 256
# Iterations of the event loop in which what a turn has admitted is parsed. Tornado
# passes a head on through three futures.
ITERATIONS_PER_TURN = 4
# Longest pause between turns, in seconds.
MAX_PAUSE_S = 0.1
# Interval of the log events of one reason, in seconds.
RECORD_INTERVAL_S = 1.0

_STATUS_LINES = {
    408: "408 Request Timeout",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}
_STATUS_BY_REASON = {
    RefusalReason.SLOW_HEAD: 408,
    RefusalReason.SLOW_BODY: 408,
    RefusalReason.FIELDS: 429,
    RefusalReason.PIPELINED: 429,
    RefusalReason.CROWD: 503,
    RefusalReason.CONNECTIONS: 503,
    RefusalReason.STOPPING: 503,
}

RecordRefusal = Callable[..., None]


def build_refusal(reason: RefusalReason) -> bytes:
    """Return the whole reply to a request that is refused before it is complete."""
    status = _STATUS_BY_REASON.get(reason)
    if status is None:
        return b""
    retry = "" if status == 408 else "Retry-After: 1.000\r\n"
    return (
        f"HTTP/1.1 {_STATUS_LINES[status]}\r\nConnection: close\r\n{retry}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@dataclass
class ClientGuard:
    """Hold the limits and the open streams of one listener; times are in seconds.

    ``turns`` is shared by all listeners of a process. ``record`` writes log events.
    """

    listener: str
    turns: ParseTurns = field(default_factory=ParseTurns)
    record: RecordRefusal = lambda part, event, **fields: None
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_connections: int = MAX_CONNECTIONS
    streams: set["GuardedStream"] = field(default_factory=set)
    # When an event of each reason was last written, and those left out since.
    recorded_at: dict[RefusalReason, float] = field(default_factory=dict)
    unrecorded: dict[RefusalReason, int] = field(default_factory=dict)


def _note_refusal(guard: ClientGuard, reason: RefusalReason, client: str) -> None:
    """Count a refusal; record at most one event a second for each reason."""
    guard.turns.refused[reason] += 1
    now = asyncio.get_running_loop().time()
    if now < guard.recorded_at.get(reason, -RECORD_INTERVAL_S) + RECORD_INTERVAL_S:
        guard.unrecorded[reason] = guard.unrecorded.get(reason, 0) + 1
        return
    guard.recorded_at[reason] = now
    guard.record(
        "clients",
        "client_refused",
        listener=guard.listener,
        client=client,
        reason=reason.value,
        left_out=guard.unrecorded.pop(reason, 0),
    )


def _schedule_turn(turns: ParseTurns) -> None:
    if not turns.is_scheduled and turns.waiting:
        turns.is_scheduled = True
        asyncio.get_running_loop().call_soon(_run_turn, turns)


def _run_turn(turns: ParseTurns) -> None:
    """Admit waiting clients; if others wait, pause as long as their parsing took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for taker in pop_turn(turns):
        taker.on_turn()
    # Counts the connections that wait before those that were admitted come back.
    has_others = bool(turns.waiting)

    def end_turn(remaining: int) -> None:
        if remaining:
            loop.call_soon(end_turn, remaining - 1)
            return
        pause_s = min(MAX_PAUSE_S, loop.time() - started_at) if has_others else 0.0
        loop.call_later(pause_s, allow_next)

    def allow_next() -> None:
        turns.is_scheduled = False
        _schedule_turn(turns)

    loop.call_soon(end_turn, ITERATIONS_PER_TURN - 1)


class GuardedStream(IOStream):
    """Count the parse steps of a connection and limit the times of its client."""

    def __init__(self, socket, guard: ClientGuard, **kwargs):
        super().__init__(socket, **kwargs)
        self._guard = guard
        self._limits = guard.turns.limits
        self._taker = TurnTaker(on_turn=self._take_turn, on_refused=self._leave_crowd)
        self._steps_left = 0.0
        # The future of a read that waits for a turn, and what is done in the turn.
        self._waiting_future: Future | None = None
        self._proceed: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._is_reading_head = False
        self._body_started_at: float | None = None
        # Since when the client has sent nothing that is read, as a loop time.
        self.waits_since: float | None = self._get_time()
        # Whether bytes after the request had arrived before its reply was written.
        self._is_ahead = False
        self._ahead_count = 0
        self._client = str(socket.getpeername()[0])
        guard.streams.add(self)

    @staticmethod
    def _get_time() -> float:
        return asyncio.get_running_loop().time()

    # Tornado declares its reads as awaitables, but they are futures.
    def read_until_regex(self, regex, max_bytes=None) -> Future:
        """Read a head; it waits for a turn if it has very many fields."""
        self._body_started_at = None
        self._steps_left = self._limits.free_steps
        self._ahead_count = self._ahead_count + 1 if self._is_ahead else 0
        self._is_ahead = False
        if self._ahead_count >= self._limits.max_ahead:
            self.refuse(RefusalReason.PIPELINED)
            raise StreamClosedError()
        read: Any = super().read_until_regex(regex, max_bytes)
        if read.done():
            return self._admit_head(read)
        self._is_reading_head = True
        self.waits_since = self._get_time()
        self._start_head_timer()
        admitted = _build_future()

        def on_read(read):
            self._end_wait()
            chain_future(self._admit_head(read), admitted)

        read.add_done_callback(on_read)
        return admitted

    def _handle_read(self):
        super()._handle_read()
        self._start_head_timer()

    def _start_head_timer(self) -> None:
        """Limit the time from the first bytes of a head to its end."""
        if self._is_reading_head and self._timer is None and self._has_part():
            self._timer = asyncio.get_running_loop().call_later(
                self._guard.header_timeout_s, self._time_out, RefusalReason.SLOW_HEAD
            )

    def _has_part(self) -> bool:
        """Return whether a part of what is being read has arrived."""
        return self._read_future is not None and self._read_buffer_size > 0

    def _time_out(self, reason: RefusalReason) -> None:
        # What was waited for may have arrived in this iteration of the event loop.
        if self._read_future is not None:
            self.refuse(reason)

    def _end_wait(self) -> None:
        self._is_reading_head = False
        self.waits_since = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _admit_head(self, read: Future) -> Future:
        if read.cancelled() or read.exception() is not None:
            return read
        fields = read.result().count(b"\n")
        if fields > self._limits.max_fields:
            self.refuse(RefusalReason.FIELDS)
            return _build_closed_future()
        steps = fields if fields > self._limits.free_steps else 0
        if self._ahead_count > self._limits.free_ahead:
            steps += self._limits.ahead_steps
        if not steps:
            return read
        waiting = _build_future()
        return self._wait(steps, waiting, lambda: waiting.set_result(read.result()))

    def read_until(self, delimiter, max_bytes=None) -> Future:
        """Read the head of a chunk, or wait for a turn first."""
        read: Callable[..., Any] = super().read_until
        if self._steps_left <= 0:
            return self._read_in_turn(lambda: read(delimiter, max_bytes))
        return self._count(read(delimiter, max_bytes))

    def read_bytes(self, num_bytes, partial=False) -> Future:
        """Read a part of a body, or wait for a turn first."""
        read: Callable[..., Any] = super().read_bytes
        if self._steps_left <= 0:
            return self._read_in_turn(lambda: read(num_bytes, partial))
        return self._count(read(num_bytes, partial))

    def _read_in_turn(self, read: Callable[[], Future]) -> Future:
        waiting = _build_future()

        def proceed() -> None:
            self._steps_left = self._limits.slice_steps
            try:
                started = read()
            except Exception as exc:
                waiting.set_exception(exc)
                return
            chain_future(self._count(started), waiting)

        return self._wait(self._limits.slice_steps, waiting, proceed)

    def _count(self, read: Future) -> Future:
        """Count a step of a body, or limit the time until it can be made."""
        if not read.done():
            self._start_body_wait(read)
        elif read.exception() is None:
            gained = len(read.result()) / self._limits.bytes_per_step
            self._steps_left = min(MAX_SAVED_STEPS, self._steps_left + gained - 1)
        return read

    def _start_body_wait(self, read: Future) -> None:
        now = self._get_time()
        if self._body_started_at is None:
            self._body_started_at = now
        left_s = self._body_started_at + BODY_TIMEOUT_S - now
        self.waits_since = now
        self._timer = asyncio.get_running_loop().call_later(
            min(self._guard.idle_timeout_s, max(0.0, left_s)),
            self._time_out,
            RefusalReason.SLOW_BODY,
        )
        read.add_done_callback(lambda _: self._end_wait())

    def _wait(self, steps: int, waiting: Future, proceed: Callable) -> Future:
        self._waiting_future, self._proceed = waiting, proceed
        self._taker.waiting_steps = steps
        turns = self._guard.turns
        refused = add_waiting(turns, self._taker, self._get_time())
        if refused is not None:
            refused.on_refused()
        _schedule_turn(turns)
        return waiting

    def is_waiting(self) -> bool:
        """Return whether a part of a request waits for a turn."""
        return self._waiting_future is not None

    def is_between_requests(self) -> bool:
        """Return whether nothing of the next request has been read.

        Otherwise its head may be complete, but not passed on to the delegate yet.
        """
        return (
            self._is_reading_head
            and self._read_future is not None
            and not self._read_buffer_size
        )

    def _take_turn(self) -> None:
        self._waiting_future, proceed = None, self._proceed
        self._proceed = None
        if proceed is not None:
            proceed()

    def _leave_crowd(self) -> None:
        self.refuse(RefusalReason.CROWD)

    def write(self, data):
        """Write a reply; end the connection of a client that does not read it."""
        self._is_ahead = self._read_buffer_size > MAX_EMPTY_LINES_BYTES
        written = super().write(data)
        if not written.done() and self._write_timer is None:
            self._watch_reader()
        return written

    def _watch_reader(self) -> None:
        end_bytes = self._total_write_index

        def check() -> None:
            self._write_timer = None
            if self.closed() or not self.writing():
                return
            if self._total_write_done_index < end_bytes:
                self.refuse(RefusalReason.SLOW_READER)
            else:
                self._watch_reader()

        self._write_timer = asyncio.get_running_loop().call_later(
            WRITE_TIMEOUT_S, check
        )

    def refuse(self, reason: RefusalReason) -> None:
        """End the connection; refuse the request whose head or body is incomplete.

        Such a request has not run. An idle connection, and one whose reply is being
        written, ends without another reply.
        """
        if self.closed():
            return
        _note_refusal(self._guard, reason, self._client)
        is_idle = self._is_reading_head and not self._has_part()
        if not self.writing() and not is_idle:
            self.write(build_refusal(reason))
        self.close()

    def close(self, exc_info=False):
        """Close the connection; a read that waits for a turn fails."""
        super().close(exc_info)
        self._guard.streams.discard(self)
        remove_waiting(self._guard.turns, self._taker)
        self._end_wait()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        waiting, self._waiting_future, self._proceed = self._waiting_future, None, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(StreamClosedError(real_error=self.error))


def _build_future() -> Future:
    """Return a future whose exception is not logged if nobody waits for it any more."""
    future: Future = Future()
    future.add_done_callback(lambda fut: fut.cancelled() or fut.exception())
    return future


def _build_closed_future() -> Future:
    closed = _build_future()
    closed.set_exception(StreamClosedError())
    return closed


def _compute_max_connections(guard: ClientGuard) -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return guard.max_connections
    return max(1, min(guard.max_connections, int(DESCRIPTOR_SHARE * soft)))


def _make_room(guard: ClientGuard) -> None:
    """Close the connection whose client has been silent longest, if too many are open.

    Connections whose requests are being served are not closed. A new connection counts
    as silent, so that there is always one to close.
    """
    if len(guard.streams) <= _compute_max_connections(guard):
        return
    silent = [item for item in guard.streams if item.waits_since is not None]
    if silent:
        longest = min(silent, key=lambda item: item.waits_since or 0.0)
        longest.refuse(RefusalReason.CONNECTIONS)


class GuardedServer(HTTPServer):
    """Serve HTTP on guarded streams."""

    def initialize(self, *args, guard, **kwargs):  # type: ignore[override]
        """Store the guard; the other arguments are those of tornado's server."""
        super().initialize(*args, **kwargs)
        self.guard: ClientGuard = guard

    def handle_stream(self, stream, address):
        """Serve a new connection on a guarded stream in place of tornado's own."""
        try:
            guarded = GuardedStream(
                stream.socket,
                self.guard,
                max_buffer_size=self.max_buffer_size,
                read_chunk_size=READ_CHUNK_BYTES,
            )
        except OSError:
            # The client has disconnected already.
            stream.close()
            return
        _make_room(self.guard)
        if not guarded.closed():
            super().handle_stream(guarded, address)
