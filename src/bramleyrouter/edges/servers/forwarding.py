"""Forward HTTP requests to one backend server over a bounded pool of connections.

Each request is written at most once, on one connection: whether it may be repeated is
for the caller to decide. httptools parses the replies.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import httptools

from bramleyrouter.edges.servers.formats import MAX_REPLY_BYTES
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.utils.byte_budgets import (
    NORMAL_WEIGHT,
    SUSPECT_WEIGHT,
    ByteBudget,
    Holding,
    hold,
    release_all,
)
from bramleyrouter.utils.sockets import peek

# Forwarded requests can go to another server, so connecting is abandoned early;
# the timeout is still many round trips.
CONNECT_TIMEOUT_S = 0.3
# Limit on the head of a reply. Requests with a larger reply fail.
MAX_HEAD_BYTES = 64 * 1024
# Headers are counted in blocks of so many, each header as this many bytes of objects.
# A head within the limit above may have thousands of short ones.
HEADERS_PER_BLOCK, HEADER_OBJECT_BYTES = 64, 256
# Share of the idle time announced by a server after which a connection is not used
# again: the server may close it while a request is on its way.
USED_IDLE_SHARE = 0.8
# Idle time in seconds that is assumed if a server announces none.
DEFAULT_IDLE_S = 60.0
# Parts of a body smaller than this are joined as they arrive, because as separate
# objects they take more memory than their bytes.
MIN_PART_BYTES = 4096
# Only these statuses are answers. A faulty server may send any three digits, which a
# caller must not get as an answer.
MIN_FINAL_STATUS, MAX_FINAL_STATUS = 200, 599
MIN_INTERIM_STATUS = 100
# Limit on the interim replies (100 to 199) to one request, and the share of the
# request's time within which the final reply must follow the first of them. A server
# that sends nothing else costs one attempt, so there is time left for another server.
MAX_INTERIM_REPLIES = 8
INTERIM_WAIT_SHARE = 1 / 3
REPLY_TOO_LONG_TEXT = "the reply is too long"
INTERIM_TEXT = "no final reply followed the interim replies"
MEMORY_TEXT = "the reply used too much of the memory for all replies"

Headers = list[tuple[bytes, bytes]]


class ExchangeEnd(Enum):
    """Enumerate how an exchange can end.

    After ``UNSENT`` (no connection became free) and ``UNREACHED`` (none could be
    opened) no byte of the request has left this process.
    """

    COMPLETE = "complete"
    UNSENT = "unsent"
    UNREACHED = "unreached"
    LOST = "lost"
    TIMED_OUT = "timed out"


class ForwardedReply(NamedTuple):
    """Describe the result of an exchange; only a complete one has a status."""

    end: ExchangeEnd
    text: str = ""
    status: int = 0
    headers: Headers = []
    body: bytes = b""


class ForwardedRequest(NamedTuple):
    """Describe a request.

    ``data`` is the encoded head and body. ``accepts_header`` checks each header of the
    reply. If it returns false, the reply belongs to another request and the connection
    is closed. The reply to a HEAD request has no body. ``may_send`` is called right
    before the request is written; if it returns false, the exchange ends as ``UNSENT``.
    """

    data: bytes
    accepts_header: Callable[[bytes, bytes], bool]
    is_head: bool = False
    needs_new_connection: bool = False
    may_send: Callable[[], bool] | None = None


OnEnd = Callable[[ForwardedReply], None]


@dataclass(eq=False)
class Exchange:
    """Hold one request that waits for a connection or for its reply."""

    request: ForwardedRequest
    on_end: OnEnd
    timer: asyncio.TimerHandle | None = None
    connection: "Connection | None" = None
    has_ended: bool = False


@dataclass(eq=False)
class Pool:
    """Hold the connections to one server.

    ``connections`` holds all of them: idle, in use and being opened. ``memory`` bounds
    the bytes that they hold together with all others of this process.
    """

    host: str
    port: int
    max_connections: int
    loop: asyncio.AbstractEventLoop
    memory: ByteBudget
    connections: "set[Connection]" = field(default_factory=set)
    idle: "list[Connection]" = field(default_factory=list)
    waiting: deque[Exchange] = field(default_factory=deque)
    is_closed: bool = False


class Connection(asyncio.Protocol):
    """Hold one connection, the exchange on it and the reply read so far.

    The methods ``on_...`` are callbacks of the parser.
    """

    def __init__(self, pool: Pool):
        self.pool = pool
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None
        self.opening: asyncio.Task | None = None
        self.idle_until = 0.0
        # Runs from the first interim reply until the final one.
        self.interim_timer: asyncio.TimerHandle | None = None
        # Counts the request and the reply of the exchange.
        self.holding = Holding(
            pool.memory,
            "server",
            f"{pool.host}:{pool.port}",
            self._end_for_memory,
            self._get_weight,
        )
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: Headers = []
        self.chunks: list[bytes | bytearray] = []
        # The last item of ``chunks`` if small parts are joined in it. Its bytes are not
        # in ``body_bytes`` yet.
        self.joined: bytearray | None = None
        self.counted_bytes = 0
        self.head_bytes = 0
        self.trailer_bytes = 0
        self.body_bytes = 0
        self.idle_s = DEFAULT_IDLE_S
        # Whether the end of the body shows in the reply, and its length in the head.
        self.has_length = False
        self.has_declared_length = False
        self.is_head_complete = False
        self.is_complete = False
        self.is_reusable = False
        self.error = ""
        self.interim_count = 0
        self._stop_interim_timer()

    def send(self, exchange: Exchange) -> None:
        """Send the next request on an idle connection."""
        assert self.transport is not None
        exchange.connection, self.exchange = self, exchange
        self._reset()
        self._write(exchange)

    def connection_made(self, transport):
        """Send the request for which the connection was opened."""
        self.transport = transport
        if self.exchange is None:
            self.close()
        else:
            self._write(self.exchange)

    def _write(self, exchange: Exchange) -> None:
        assert self.transport is not None
        request = exchange.request
        if request.may_send is not None and not request.may_send():
            exchange.connection = self.exchange = None
            self.close()
            self.pool.loop.call_soon(_end_unsent, self.pool, exchange)
        elif hold(self.holding, len(request.data)):
            self.transport.write(request.data)

    def data_received(self, data):
        """Parse a part of the reply; bytes that belong to no request end the use."""
        exchange = self.exchange
        if exchange is None:
            self.close()
            return
        if not self.is_head_complete:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.is_reusable = False
            self.error = self.error or f"the reply can't be parsed: {exc}"
        if self.is_complete:
            self._finish(exchange)
            return
        length = self._check_length()
        new_bytes, self.counted_bytes = length - self.counted_bytes, length
        if not hold(self.holding, new_bytes):
            # The exchange fails in the next loop iteration.
            return
        if self.error or (
            not self.is_head_complete and self.head_bytes > MAX_HEAD_BYTES
        ):
            self.exchange = None
            self.close()
            text = self.error or "the head of the reply is too long"
            end_exchange(exchange, ForwardedReply(ExchangeEnd.LOST, text))
            _start_waiting(self.pool)

    def on_message_begin(self):
        """Note bytes that follow a complete reply."""
        if self.is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes):
        """Store one header of the reply."""
        if self.is_complete:
            return
        if self.is_head_complete:
            # Trailers of a chunked body are no part of the head.
            self.trailer_bytes += len(name) + len(value)
            if self.trailer_bytes > MAX_HEAD_BYTES:
                self.error = "the trailers of the reply are too long"
            return
        name = name.lower()
        exchange = self.exchange
        if exchange and not exchange.request.accepts_header(name, value):
            self.error = "the reply is to another request"
        elif name == b"content-length":
            self.has_length = self.has_declared_length = True
            if value.isdigit() and int(value[:20]) > MAX_REPLY_BYTES:
                self.error = REPLY_TOO_LONG_TEXT
        elif name == b"transfer-encoding":
            self.has_length = True
        elif name == b"keep-alive":
            self.idle_s = _parse_idle_time(value)
        self.headers.append((name, value))
        if not len(self.headers) % HEADERS_PER_BLOCK and not hold(
            self.holding, HEADERS_PER_BLOCK * HEADER_OBJECT_BYTES
        ):
            self.error = MEMORY_TEXT

    def on_headers_complete(self):
        """Check the head; the reply to a HEAD request ends here."""
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if MIN_INTERIM_STATUS <= self.status < MIN_FINAL_STATUS:
            self._count_interim_reply()
            return
        if not MIN_FINAL_STATUS <= self.status <= MAX_FINAL_STATUS:
            self.error = f"{self.status:03} is no status of an answer"
            return
        self._stop_interim_timer()
        self.is_head_complete = True
        is_head = self.exchange is not None and self.exchange.request.is_head
        self.is_complete = is_head and not self.error

    def _count_interim_reply(self) -> None:
        """Bound the interim replies to one request in number and time."""
        self.interim_count += 1
        if self.interim_count > MAX_INTERIM_REPLIES:
            self.error = f"more than {MAX_INTERIM_REPLIES} interim replies"
        exchange = self.exchange
        if self.interim_timer is None and exchange is not None and exchange.timer:
            loop = self.pool.loop
            wait_s = INTERIM_WAIT_SHARE * (exchange.timer.when() - loop.time())
            self.interim_timer = loop.call_later(wait_s, self._end_without_final_reply)

    def _stop_interim_timer(self) -> None:
        if self.interim_timer is not None:
            self.interim_timer.cancel()
            self.interim_timer = None

    def _end_without_final_reply(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            end_exchange(exchange, ForwardedReply(ExchangeEnd.LOST, INTERIM_TEXT))
        _start_waiting(self.pool)

    def on_body(self, body: bytes):
        """Store a part of the body."""
        joined = self.joined
        if joined is not None and len(body) < MIN_PART_BYTES:
            joined += body
            return
        if self.is_complete:
            self.is_reusable = False
            return
        self._end_joined_parts()
        if len(body) < MIN_PART_BYTES and self.chunks:
            self.joined = bytearray(body)
            self.chunks.append(self.joined)
        else:
            self.chunks.append(body)
            self.body_bytes += len(body)

    def _end_joined_parts(self) -> None:
        if self.joined is not None:
            self.body_bytes += len(self.joined)
            self.joined = None

    def _check_length(self) -> int:
        """Return the length of the body so far; note if it is too long."""
        length = self.body_bytes
        if self.joined is not None:
            length += len(self.joined)
        if length > MAX_REPLY_BYTES:
            self.error = REPLY_TOO_LONG_TEXT
        return length

    def on_message_complete(self):
        """Mark the reply as complete; an interim reply is discarded."""
        if self.is_complete:
            return
        if not self.is_head_complete:
            self.headers, self.has_length = [], False
            self.has_declared_length = False
            return
        self._end_joined_parts()
        self._check_length()
        self.is_complete = not self.error
        self.is_reusable = self.parser.should_keep_alive()

    def _finish(self, exchange: Exchange) -> None:
        """Report a complete reply and make the connection available again."""
        transport = self.transport
        # A server may reply before it has read the whole request. The rest of it must
        # not be followed by another request.
        is_reusable = (
            self.is_reusable
            and not self.error
            and transport is not None
            and not transport.get_write_buffer_size()
        )
        reply = ForwardedReply(
            ExchangeEnd.COMPLETE, "", self.status, self.headers, b"".join(self.chunks)
        )
        # Whoever keeps the body counts it from here on.
        self.exchange, self.chunks = None, []
        release_all(self.holding)
        pool = self.pool
        if is_reusable and not pool.is_closed:
            self.idle_until = pool.loop.time() + USED_IDLE_SHARE * self.idle_s
            pool.idle.append(self)
            _close_excess_idle(pool)
        else:
            self.close()
        end_exchange(exchange, reply)
        _start_waiting(pool)

    def eof_received(self):
        """End the connection; a reply without a length ends with it."""
        exchange = self.exchange
        if exchange is not None and self.is_head_complete and not self.has_length:
            self.is_complete, self.is_reusable = True, False
            self._finish(exchange)
        return False

    def connection_lost(self, exc):
        """End the exchange on a connection that closed."""
        self.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            reason = str(exc) if exc else "the server closed the connection"
            end_exchange(exchange, ForwardedReply(ExchangeEnd.LOST, reason))
        _start_waiting(self.pool)

    def close(self) -> None:
        """Close the connection at once; unsent bytes are discarded."""
        release_all(self.holding)
        self._stop_interim_timer()
        self.chunks = []
        pool = self.pool
        pool.connections.discard(self)
        if self in pool.idle:
            pool.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.opening is not None:
            self.opening.cancel()

    def _get_weight(self) -> float:
        """Return the weight of this reply among all that is held.

        A reply that declares its length can't go on without end.
        """
        return NORMAL_WEIGHT if self.has_declared_length else SUSPECT_WEIGHT

    def _end_for_memory(self) -> None:
        """Close the connection; its exchange fails in the next loop iteration."""
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            lost = ForwardedReply(ExchangeEnd.LOST, MEMORY_TEXT)
            self.pool.loop.call_soon(end_exchange, exchange, lost)

    def is_alive(self, now: float) -> bool:
        """Return whether an idle connection may be used again."""
        if self.sock is None or now >= self.idle_until:
            return False
        # The event loop may not have processed yet that the server closed it.
        return peek(self.sock) is None


def _parse_idle_time(value: bytes) -> float:
    """Return the seconds of "timeout=5, max=9", or the default."""
    for part in value.lower().split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.isdigit() and len(number) < 10:
            return float(number)
    return DEFAULT_IDLE_S


def open_pool(
    address: str, max_connections: int, memory: ByteBudget | None = None
) -> Pool:
    """Return a pool for the server at "ip:port"; connections open when needed.

    Without ``memory``, the pool has a budget of its own. Raises ``ValueError`` if the
    address is invalid.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    return Pool(host, port, max_connections, loop, memory or ByteBudget())


def limit_connections(pool: Pool, max_connections: int) -> None:
    """Set the limit of connections; those in use beyond it close after their use."""
    pool.max_connections = max_connections
    _close_excess_idle(pool)


def _close_excess_idle(pool: Pool) -> None:
    while pool.idle and len(pool.connections) > pool.max_connections:
        pool.idle[0].close()


def start_exchange(
    pool: Pool, request: ForwardedRequest, timeout_s: float, on_end: OnEnd
) -> Exchange:
    """Send a request once a connection is free; call ``on_end`` once unless cancelled.

    ``on_end`` is never called before this function returns.
    """
    exchange = Exchange(request, on_end)
    exchange.timer = pool.loop.call_later(timeout_s, _expire, pool, exchange)
    pool.waiting.append(exchange)
    _start_waiting(pool)
    return exchange


def _start_waiting(pool: Pool) -> None:
    while pool.waiting and not pool.is_closed:
        exchange = pool.waiting[0]
        connection = _get_idle(pool, exchange.request)
        if connection is None and len(pool.connections) >= pool.max_connections:
            return
        pool.waiting.popleft()
        if connection is None:
            _open_connection(pool, exchange)
        else:
            connection.send(exchange)


def _get_idle(pool: Pool, request: ForwardedRequest) -> Connection | None:
    """Take an idle connection; close those that can't be used."""
    now = pool.loop.time()
    while pool.idle:
        if request.needs_new_connection:
            if len(pool.connections) >= pool.max_connections:
                pool.idle[0].close()
            return None
        connection = pool.idle.pop()
        if connection.is_alive(now):
            return connection
        connection.close()
    return None


def _open_connection(pool: Pool, exchange: Exchange) -> None:
    connection = Connection(pool)
    exchange.connection, connection.exchange = connection, exchange
    pool.connections.add(connection)
    connection.opening = pool.loop.create_task(_connect(pool, connection))


async def _connect(pool: Pool, connection: Connection) -> None:
    loop = pool.loop
    sock: socket.socket | None = None
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in pool.host else socket.AF_INET)
        sock.setblocking(False)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, (pool.host, pool.port))
        connection.sock, connection.opening = sock, None
        await loop.create_connection(lambda: connection, sock=sock)
    except asyncio.CancelledError:
        if sock is not None:
            sock.close()
        raise
    except (OSError, TimeoutError) as exc:
        if sock is not None:
            sock.close()
        connection.opening = None
        connection.close()
        exchange, connection.exchange = connection.exchange, None
        if exchange is not None:
            text = f"no connection: {exc or type(exc).__name__}"
            end_exchange(exchange, ForwardedReply(ExchangeEnd.UNREACHED, text))
        _start_waiting(pool)


def _expire(pool: Pool, exchange: Exchange) -> None:
    connection = _detach(pool, exchange)
    if connection is None:
        text = "no connection to the server became free"
        end_exchange(exchange, ForwardedReply(ExchangeEnd.UNSENT, text))
    elif connection.transport is None:
        text = "no connection was open in time"
        end_exchange(exchange, ForwardedReply(ExchangeEnd.UNREACHED, text))
    else:
        text = "the server did not reply in time"
        end_exchange(exchange, ForwardedReply(ExchangeEnd.TIMED_OUT, text))
    _start_waiting(pool)


def _end_unsent(pool: Pool, exchange: Exchange) -> None:
    text = "the request may no longer be sent"
    end_exchange(exchange, ForwardedReply(ExchangeEnd.UNSENT, text))
    _start_waiting(pool)


def _detach(pool: Pool, exchange: Exchange) -> Connection | None:
    """Remove an exchange from the queue, or from its connection, which is closed."""
    connection = exchange.connection
    if connection is None:
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)
        return None
    connection.exchange = None
    connection.close()
    return connection


def end_exchange(exchange: Exchange, reply: ForwardedReply) -> None:
    """Report the result of an exchange, once."""
    if exchange.has_ended:
        return
    exchange.has_ended = True
    if exchange.timer is not None:
        exchange.timer.cancel()
    exchange.on_end(reply)


def cancel_exchange(pool: Pool, exchange: Exchange) -> None:
    """Cancel an exchange without calling ``on_end``; its connection is closed."""
    if exchange.has_ended:
        return
    exchange.has_ended = True
    if exchange.timer is not None:
        exchange.timer.cancel()
    _detach(pool, exchange)
    _start_waiting(pool)


def is_in_use(pool: Pool) -> bool:
    """Return whether any exchange is waiting or running."""
    return bool(pool.waiting) or len(pool.connections) > len(pool.idle)


def close_pool(pool: Pool, text: str) -> None:
    """Close all connections; running exchanges fail in the next loop iteration."""
    if pool.is_closed:
        return
    pool.is_closed = True
    for waiting in pool.waiting:
        unsent = ForwardedReply(ExchangeEnd.UNSENT, text)
        pool.loop.call_soon(end_exchange, waiting, unsent)
    pool.waiting.clear()
    for connection in list(pool.connections):
        exchange, connection.exchange = connection.exchange, None
        connection.close()
        if exchange is not None:
            is_open = connection.transport is not None
            end = ExchangeEnd.LOST if is_open else ExchangeEnd.UNREACHED
            pool.loop.call_soon(end_exchange, exchange, ForwardedReply(end, text))
