"""Serve callers by HTTP: decode requests and encode the gateway's replies."""

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    GatewayReply,
    ReplyKind,
)
from bramleyrouter.gateway.gateways import MIN_RETRY_AFTER_S, Cancel, OnGatewayReply
from bramleyrouter.gateway.reply_times import compute_network_time
from bramleyrouter.gateway.tables import CallerLimits
from bramleyrouter.platform import names
from bramleyrouter.platform.credentials import read_credentials
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.byte_budgets import (
    NORMAL_WEIGHT,
    SUSPECT_WEIGHT,
    ByteBudget,
    Holding,
    hold,
    release_all,
)
from bramleyrouter.utils.guarded_http import ClientGuard, GuardedServer
from bramleyrouter.utils.listening import listen_on
from bramleyrouter.utils.parse_turns import (
    MAX_CONNECTIONS,
    ParseTurns,
    RefusalReason,
)
from bramleyrouter.utils.sockets import measure_round_trip, peek

MS_PER_SECOND = 1000.0
# Callers reuse connections that were idle for up to four fifths of the callers' own
# limit. The daemon closes idle connections this much later than configured, so that
# it does not close one that a caller is about to reuse.
IDLE_MARGIN_S = 5.0
# Time to write the replies of requests that are ended early, in seconds.
LAST_REPLIES_S = 0.15
# Time in which the event loop reads what has arrived before a stop, in seconds.
READ_ARRIVED_S = 0.02
# Time after a caller's deadline at which a reply that it has not read is dropped, in
# seconds. It covers the way of the request and of the reply.
READ_MARGIN_S = 1.0
# Time that a caller without a deadline has from its request until it has read the
# reply, in seconds.
DEFAULT_READ_S = 60.0
# A caller that needs longer than this for a reply or for the body of its request is
# ended before others when too much is held, in seconds.
SLOW_CALLER_S = 0.5
# SO_LINGER with a timeout of 0 s: the kernel drops what a closed socket has not sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_STATUS_BY_KIND = {
    ReplyKind.GATHERED: 200,
    ReplyKind.REFUSED: 503,
    ReplyKind.NO_ROUTE: 404,
    ReplyKind.UNAUTHORIZED: 401,
    ReplyKind.FAILED: 502,
    ReplyKind.DEADLINE: 504,
    ReplyKind.TOO_LARGE: 413,
    ReplyKind.MALFORMED: 400,
    ReplyKind.OVER_QUOTA: 429,
}
# The caller's headers that are not forwarded, because the request to the server gets
# its own ones.
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in ("Host", names.REQUEST_ID, names.DEADLINE_MS, names.TARGET_INSTANCE)
)

_METHOD = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

HandleCallerRequest = Callable[[CallerRequest, OnGatewayReply, float], Cancel]


@dataclass
class CallerServerState:
    """Store the open connections of callers and the handler of their requests.

    ``busy`` holds, by connection, the requests whose head was read and whose reply is
    not yet written completely. ``memory`` bounds the bytes of their requests and
    replies.
    """

    handle: HandleCallerRequest
    memory: ByteBudget
    record: RecordEvent
    connections: set = field(default_factory=set)
    busy: dict[object, "_RequestDelegate"] = field(default_factory=dict)
    # Connections that have carried a request before.
    reused: set = field(default_factory=set)
    closes_after_replies: bool = False


def read_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
) -> CallerRequest:
    """Build a request for the gateway, without hop-by-hop headers."""
    connection_tokens = {
        token.strip().lower()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    }
    removed_names = names.HOP_BY_HOP | _REPLACED_HEADERS | connection_tokens
    forwarded = tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in removed_names
    )
    has_body = "Content-Length" in headers or "Transfer-Encoding" in headers
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID, ""),
        method=start_line.method,
        target=start_line.path,
        host=headers.get("Host", "").partition(":")[0],
        headers=forwarded,
        body=body,
        has_body=has_body,
        deadline_s=_parse_deadline(headers.get(names.DEADLINE_MS, "")),
        credentials=read_credentials(headers, forwarded),
    )


def is_well_formed(request: CallerRequest) -> bool:
    """Return whether a request can be forwarded unchanged.

    Its method is a token, and nothing in its head ends a line or a field early.
    """
    texts = [request.target, request.host, request.request_id]
    texts += [text for header in request.headers for text in header]
    return bool(_METHOD.fullmatch(request.method)) and not any(
        _CONTROL_CHARACTER.search(text) for text in texts
    )


def _parse_deadline(text: str) -> float | None:
    try:
        return max(0.0, float(text) / MS_PER_SECOND) if text else None
    except ValueError:
        # An invalid deadline is ignored, so the route's timeout applies.
        return None


def encode_reply(
    reply: GatewayReply, request_id: str
) -> tuple[int, HTTPHeaders, bytes]:
    """Encode a reply as status, headers and body."""
    headers = HTTPHeaders()
    if reply.server is not None:
        status, body = reply.server.status, reply.server.body
        for name, value in reply.server.headers:
            headers.add(name, value)
    else:
        status, body = _STATUS_BY_KIND[reply.kind], reply.body
        if request_id:
            headers[names.REQUEST_ID] = request_id
    if reply.kind is ReplyKind.GATHERED:
        headers[names.PART_SEALS] = ", ".join(reply.signatures)
        headers[names.MISSING_PARTS] = str(reply.missing)
    if reply.kind is ReplyKind.UNAUTHORIZED:
        headers[names.AUTHENTICATE] = names.KEY_SCHEME
    if reply.retry_after_s:
        headers["Retry-After"] = f"{reply.retry_after_s:.3f}"
    headers["Content-Length"] = str(len(body))
    return status, headers, body


class _RequestDelegate(HTTPMessageDelegate):
    """Read one request of a connection and write its reply."""

    def __init__(self, state: CallerServerState, conn: HTTP1Connection, server_conn):
        self._state = state
        self._conn = conn
        self._server_conn = server_conn
        self._caller: str = conn.context.remote_ip  # type: ignore[attr-defined]
        self._chunks: list[bytes] = []
        self._start_line: RequestStartLine | None = None
        self._headers: HTTPHeaders | None = None
        self._cancel: Cancel | None = None
        self._is_finished = False
        # Whether the request was given up because too much is held.
        self._is_given_up = False
        self._deadline_s: float | None = None
        self._started_at = 0.0
        self._read_timer: asyncio.TimerHandle | None = None
        # Counts the body of the request, then the reply that the caller has not read.
        self._holding: Holding | None = None

    def headers_received(self, start_line, headers):
        """Store the head of the request and mark the connection as busy."""
        self._start_line, self._headers = start_line, headers
        self._started_at = asyncio.get_running_loop().time()
        self._state.busy[self._server_conn] = self

    def data_received(self, chunk):
        """Store one chunk of the body."""
        if not self._is_given_up and self._hold(len(chunk)):
            self._chunks.append(chunk)

    def _hold(self, size: int) -> bool:
        if self._holding is None:
            self._holding = Holding(
                self._state.memory,
                "caller",
                self._caller,
                self._end_for_memory,
                self._get_weight,
            )
        return hold(self._holding, size)

    def _get_weight(self) -> float:
        """Return the weight of this caller among all that is held."""
        is_slow = asyncio.get_running_loop().time() > self._started_at + SLOW_CALLER_S
        # Otherwise its servers are slow.
        waits_for_caller = self._is_finished or self._cancel is None
        return SUSPECT_WEIGHT if is_slow and waits_for_caller else NORMAL_WEIGHT

    def _end_for_memory(self) -> None:
        """End the request, or the writing of its reply, in the next loop iteration."""
        self._chunks, self._is_given_up = [], True
        end = self._drop_reply if self._is_finished else self.end_early
        asyncio.get_running_loop().call_soon(end)

    def _drop_reply(self) -> None:
        """Close the connection; its caller does not read the reply in time."""
        if self._state.busy.get(self._server_conn) is not self:
            # The reply was read after all, and the connection serves other requests.
            return
        stream = self._conn.stream
        if not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._conn.close()
        self._mark_ended()

    def finish(self):
        """Pass the complete request to the gateway."""
        assert self._start_line is not None and self._headers is not None
        if self._is_given_up:
            # The body is not complete any more, and the caller gets a refusal.
            return
        body, self._chunks = b"".join(self._chunks), []
        request = read_request(self._start_line, self._headers, body)
        self._deadline_s = request.deadline_s
        self._conn.set_close_callback(self.on_connection_close)
        if not is_well_formed(request):
            malformed = GatewayReply(ReplyKind.MALFORMED)
            self._send_reply(request.request_id, malformed)
            return
        cancel = self._state.handle(
            request,
            lambda reply: self._send_reply(request.request_id, reply),
            self._measure_network_time(),
        )
        if not self._is_finished:
            self._cancel = cancel

    def _measure_network_time(self) -> float:
        """Return the network's part of the caller's latency, in seconds."""
        is_new = self._server_conn not in self._state.reused
        self._state.reused.add(self._server_conn)
        round_trip_s = measure_round_trip(self._conn.stream.socket)
        return compute_network_time(round_trip_s, is_new)

    def _send_reply(self, request_id: str, reply: GatewayReply) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        # It refers to the request and to the results of its shards.
        self._cancel = None
        status, headers, body = encode_reply(reply, request_id)
        should_close = self._state.closes_after_replies
        if should_close:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, _get_reason_phrase(status))
        written = self._conn.write_headers(line, headers, body)
        # Retrieving the exception prevents a log entry if the caller disconnected.
        written.add_done_callback(lambda fut: fut.exception())
        written.add_done_callback(lambda _: self._mark_ended())
        if should_close:
            written.add_done_callback(lambda _: self._conn.close())
        self._conn.finish()
        if self._holding is not None:
            release_all(self._holding)
        if not written.done():
            self._wait_for_reader(len(body))

    def _wait_for_reader(self, size: int) -> None:
        """Count a reply that its caller has not read yet, until its deadline."""
        loop = asyncio.get_running_loop()
        wait_s = DEFAULT_READ_S
        if self._deadline_s is not None:
            wait_s = self._deadline_s + READ_MARGIN_S
        self._started_at, started_at = loop.time(), self._started_at
        self._read_timer = loop.call_at(started_at + wait_s, self._drop_late_reply)
        self._hold(size)

    def _drop_late_reply(self) -> None:
        self._state.record(
            "gateway",
            "reply_not_read",
            caller=self._caller,
            waited_ms=round(
                MS_PER_SECOND * (asyncio.get_running_loop().time() - self._started_at)
            ),
        )
        self._drop_reply()

    def _mark_ended(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None
        if self._holding is not None:
            release_all(self._holding)
        # The next request of the connection may have taken the place of this one.
        if self._state.busy.get(self._server_conn) is self:
            del self._state.busy[self._server_conn]

    def end_early(self) -> None:
        """Reply now because the daemon stops; a reply that is being written goes on.

        A request whose body is incomplete is refused, since it certainly did not run.
        """
        if self._is_finished:
            return
        if self._cancel is not None:
            cancel, self._cancel = self._cancel, None
            reply = GatewayReply(ReplyKind.FAILED)
            cancel()
        else:
            reply = GatewayReply(ReplyKind.REFUSED, retry_after_s=MIN_RETRY_AFTER_S)
        request_id = ""
        if self._headers is not None:
            request_id = self._headers.get(names.REQUEST_ID, "")
        self._send_reply(request_id, reply)

    def on_connection_close(self):
        """Cancel the request when its caller disconnects."""
        self._mark_ended()
        self._is_finished = True
        if self._cancel is not None:
            self._cancel()
            self._cancel = None


def _get_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class _CallerServer(GuardedServer):
    """Serve callers and tell the delegate of the connections when one has closed."""

    def on_close(self, server_conn):
        """Pass a closed connection on, which tornado's server doesn't do."""
        super().on_close(server_conn)
        assert isinstance(self.request_callback, HTTPServerConnectionDelegate)
        self.request_callback.on_close(server_conn)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    """Track connections and create a delegate for each request."""

    def __init__(self, state: CallerServerState):
        self._state = state

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request."""
        self._state.connections.add(server_conn)
        return _RequestDelegate(self._state, request_conn, server_conn)

    def on_close(self, server_conn):
        """Remove a closed connection."""
        self._state.connections.discard(server_conn)
        self._state.reused.discard(server_conn)
        self._state.busy.pop(server_conn, None)


@dataclass
class CallerListener:
    """Bundle the HTTP server for callers and the state of its connections."""

    state: CallerServerState
    server: GuardedServer


def listen_callers(
    address: str,
    handle: HandleCallerRequest,
    limits: CallerLimits,
    memory: ByteBudget | None = None,
    record: RecordEvent = lambda part, event, **fields: None,
    turns: ParseTurns | None = None,
    max_connections: int = MAX_CONNECTIONS,
):
    """Serve callers on "ip:port"; raise ``OSError`` if the address is in use.

    ``memory`` bounds what requests and replies hold; without it, they have a budget of
    their own. ``record`` writes log events. ``turns`` is shared by the listeners of the
    process.
    """
    state = CallerServerState(handle, memory or ByteBudget(), record)
    guard = ClientGuard(
        "callers",
        turns or ParseTurns(),
        record,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        max_connections=max_connections,
    )
    server = _CallerServer(
        _ConnectionDelegate(state),
        guard=guard,
        idle_connection_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
        max_header_size=limits.max_header_bytes,
        max_body_size=limits.max_body_bytes,
    )
    listen_on(server, address, backlog=1024)
    return CallerListener(state, server)


def set_caller_limits(listener: CallerListener, limits: CallerLimits) -> None:
    """Apply new limits to connections that are opened from now on."""
    params = listener.server.conn_params
    params.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S
    params.max_header_size = limits.max_header_bytes
    params.max_body_size = limits.max_body_bytes
    guard = listener.server.guard
    guard.header_timeout_s = limits.header_timeout_s
    guard.idle_timeout_s = limits.idle_timeout_s


def set_close_after_replies(listener: CallerListener, is_enabled: bool) -> None:
    """Set whether each connection is closed after its next reply.

    A caller whose connection was closed reconnects through the balancer, which
    chooses a daemon that is ready.
    """
    listener.state.closes_after_replies = is_enabled


async def stop_listening(listener: CallerListener, timeout_s: float) -> None:
    """Stop accepting connections, close idle ones and wait for busy ones.

    Requests that are open after ``timeout_s`` seconds get a failure, or a refusal if
    their bodies are incomplete, so that no connection ends without a reply.
    """
    listener.server.stop()
    state = listener.state
    state.closes_after_replies = True
    for conn in state.connections - state.busy.keys():
        if conn.stream.is_waiting():
            conn.stream.refuse(RefusalReason.STOPPING)
            continue
        # A stream that its caller has closed has no socket.
        if conn.stream.closed() or (
            conn.stream.is_between_requests() and not peek(conn.stream.socket)
        ):
            conn.stream.close()
    # Requests that have arrived and were not read yet are read and answered.
    await asyncio.sleep(READ_ARRIVED_S)
    await _wait_until_idle(state, timeout_s)
    for request in list(state.busy.values()):
        request.end_early()
    await _wait_until_idle(state, LAST_REPLIES_S)


async def _wait_until_idle(state: CallerServerState, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while state.busy and loop.time() < deadline:
        await asyncio.sleep(0.02)
