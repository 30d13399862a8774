"""Serve callers: decode their requests, encode the gateway's replies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
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
from bramleyrouter.gateway.gateways import Cancel, OnGatewayReply
from bramleyrouter.gateway.tables import CallerLimits
from bramleyrouter.platform import names
from bramleyrouter.utils.addresses import split_address

MS_PER_SECOND = 1000.0
# Callers reuse connections that were idle for up to four fifths of their limit.
IDLE_MARGIN_S = 5.0
_STATUS_BY_KIND = {
    ReplyKind.GATHERED: 200,
    ReplyKind.REFUSED: 503,
    ReplyKind.NO_ROUTE: 404,
    ReplyKind.FAILED: 502,
    ReplyKind.DEADLINE: 504,
    ReplyKind.TOO_LARGE: 413,
    ReplyKind.MALFORMED: 400,
}
_HEADERS_SET_HERE = frozenset(
    name.lower()
    for name in ("Host", names.REQUEST_ID, names.DEADLINE_MS, names.TARGET_INSTANCE)
)

HandleRequest = Callable[[CallerRequest, OnGatewayReply], Cancel]


@dataclass
class CallerServer:
    """Hold the connections of callers.

    ``busy`` are those on which a request was read and is not answered yet.
    """

    handle: HandleRequest
    connections: set = field(default_factory=set)
    busy: set = field(default_factory=set)
    closes_after_replies: bool = False


def read_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
) -> CallerRequest:
    """Return the request of a caller."""
    connection_tokens = {
        token.strip().lower()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    }
    removed_names = names.HOP_BY_HOP | _HEADERS_SET_HERE | connection_tokens
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
    )


def _parse_deadline(text: str) -> float | None:
    try:
        return max(0.0, float(text) / MS_PER_SECOND) if text else None
    except ValueError:
        # A caller that can't say it waits as long as its route allows.
        return None


def encode_reply(
    reply: GatewayReply, request_id: str
) -> tuple[int, HTTPHeaders, bytes]:
    """Return status, headers and body of a reply."""
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
    if reply.retry_after_s:
        headers["Retry-After"] = f"{reply.retry_after_s:.3f}"
    headers["Content-Length"] = str(len(body))
    return status, headers, body


class _RequestDelegate(HTTPMessageDelegate):
    """Hold one request of a connection while it is read and answered."""

    def __init__(self, server: CallerServer, conn: HTTP1Connection, server_conn):
        self._server = server
        self._conn = conn
        self._server_conn = server_conn
        self._chunks: list[bytes] = []
        self._start_line: RequestStartLine | None = None
        self._headers: HTTPHeaders | None = None
        self._cancel: Cancel | None = None
        self._is_finished = False

    def headers_received(self, start_line, headers):
        """Take the head of the request."""
        self._start_line, self._headers = start_line, headers
        self._server.busy.add(self._server_conn)

    def data_received(self, chunk):
        """Take a piece of the body."""
        self._chunks.append(chunk)

    def finish(self):
        """Hand the whole request on."""
        assert self._start_line is not None and self._headers is not None
        request = read_request(self._start_line, self._headers, b"".join(self._chunks))
        self._conn.set_close_callback(self.on_connection_close)
        cancel = self._server.handle(
            request, lambda reply: self._send_reply(request.request_id, reply)
        )
        if not self._is_finished:
            self._cancel = cancel

    def _send_reply(self, request_id: str, reply: GatewayReply) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._server.busy.discard(self._server_conn)
        status, headers, body = encode_reply(reply, request_id)
        is_last = self._server.closes_after_replies
        if is_last:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, _get_reason_phrase(status))
        written = self._conn.write_headers(line, headers, body)
        written.add_done_callback(lambda fut: fut.exception())
        if is_last:
            written.add_done_callback(lambda _: self._conn.close())
        self._conn.finish()

    def on_connection_close(self):
        """Stop the work for a caller that has left."""
        self._server.busy.discard(self._server_conn)
        self._is_finished = True
        if self._cancel is not None:
            self._cancel()
            self._cancel = None


def _get_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    """Start a message for each request of each connection."""

    def __init__(self, server: CallerServer):
        self._server = server

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request."""
        self._server.connections.add(server_conn)
        return _RequestDelegate(self._server, request_conn, server_conn)

    def on_close(self, server_conn):
        """Forget a connection that was closed."""
        self._server.connections.discard(server_conn)
        self._server.busy.discard(server_conn)


@dataclass
class CallerListener:
    """Hold the listening server of callers."""

    state: CallerServer
    server: HTTPServer


def listen_callers(address: str, handle: HandleRequest, limits: CallerLimits):
    """Serve callers on "ip:port"; raises ``OSError`` when it is taken."""
    state = CallerServer(handle)
    server = HTTPServer(
        _ConnectionDelegate(state),
        idle_connection_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
        max_header_size=limits.max_header_bytes,
        max_body_size=limits.max_body_bytes,
    )
    host, port = split_address(address)
    server.listen(port, host, backlog=1024)
    return CallerListener(state, server)


def set_limits(listener: CallerListener, limits: CallerLimits) -> None:
    """Use new limits for the connections that come from now on."""
    params = listener.server.conn_params
    params.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S
    params.max_header_size = limits.max_header_bytes
    params.max_body_size = limits.max_body_bytes


def set_close_after_replies(listener: CallerListener, is_enabled: bool) -> None:
    """Let each connection end with its next reply, or keep them again.

    A caller whose connection ends comes back through the balancer, to a daemon
    that is ready.
    """
    listener.state.closes_after_replies = is_enabled


async def stop_listening(listener: CallerListener, timeout_s: float) -> None:
    """Take no new connection, close idle ones, wait for the busy ones."""
    listener.server.stop()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    state = listener.state
    for conn in state.connections - state.busy:
        conn.stream.close()
    while state.busy and loop.time() < deadline:
        await asyncio.sleep(0.02)
