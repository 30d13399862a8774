"""Serve readiness and metrics by HTTP and write replies."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from aioprometheus import Registry
from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    ResponseStartLine,
)

from bramleyrouter.platform import names
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, hold, release_all
from bramleyrouter.utils.guarded_http import (
    MAX_HEADER_BYTES,
    ClientGuard,
    GuardedServer,
)
from bramleyrouter.utils.listening import listen_on

# Probes and scrapes have no body.
MAX_PROBE_BODY_BYTES = 1024
JSON_TYPE = "application/json"


class PlatformReply(NamedTuple):
    """Describe an HTTP reply of a daemon on the platform."""

    status: int
    body: bytes = b"{}"


def write_reply(
    req: HTTPServerRequest,
    reply: PlatformReply,
    content_type: str = JSON_TYPE,
    memory: ByteBudget | None = None,
) -> None:
    """Write a reply, or discard it if the client has disconnected.

    A reply that the client has not read counts in ``memory``, if that is given.
    """
    conn = req.connection
    if conn is None:
        return
    stream = conn.stream  # type: ignore[attr-defined]
    if stream.closed():
        return
    headers = HTTPHeaders({"Content-Type": content_type})
    headers["Content-Length"] = str(len(reply.body))
    phrase = HTTPStatus(reply.status).phrase
    line = ResponseStartLine("HTTP/1.1", reply.status, phrase)
    written = conn.write_headers(line, headers, reply.body)
    # Retrieving the exception prevents a log entry if the client disconnected.
    written.add_done_callback(lambda fut: fut.exception())
    conn.finish()
    if memory is not None and not written.done():
        holding = Holding(memory, "client", req.remote_ip or "", stream.close)
        hold(holding, len(reply.body))
        written.add_done_callback(lambda _: release_all(holding))


class _CountedRequest(HTTPMessageDelegate):
    """Collect one request, and count its body until it is complete."""

    def __init__(
        self,
        conn: HTTPConnection,
        on_request: Callable[[HTTPServerRequest], None],
        memory: ByteBudget,
    ):
        self._conn = conn
        self._on_request = on_request
        self._chunks: list[bytes] = []
        self._request: HTTPServerRequest | None = None
        self._is_given_up = False
        self._holding = Holding(memory, "client", "", self._give_up)

    def headers_received(self, start_line, headers):
        """Store the head of the request."""
        self._request = HTTPServerRequest(
            connection=self._conn, start_line=start_line, headers=headers
        )
        self._holding.name = self._request.remote_ip or ""

    def data_received(self, chunk):
        """Store one chunk of the body."""
        if not self._is_given_up and hold(self._holding, len(chunk)):
            self._chunks.append(chunk)

    def _give_up(self) -> None:
        """Refuse the request in the next loop iteration; nothing was done for it."""
        self._chunks, self._is_given_up = [], True
        assert self._request is not None
        busy = PlatformReply(HTTPStatus.SERVICE_UNAVAILABLE)
        asyncio.get_running_loop().call_soon(write_reply, self._request, busy)

    def finish(self):
        """Pass the complete request on."""
        if self._is_given_up:
            return
        assert self._request is not None
        self._request.body, self._chunks = b"".join(self._chunks), []
        release_all(self._holding)
        self._on_request(self._request)

    def on_connection_close(self):
        """Drop the body of a request that will not be complete."""
        self._chunks = []
        release_all(self._holding)


class CountedRequests(HTTPServerConnectionDelegate):
    """Collect requests whose bodies count in ``memory`` until they are complete."""

    def __init__(
        self, on_request: Callable[[HTTPServerRequest], None], memory: ByteBudget
    ):
        self._on_request = on_request
        self._memory = memory

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request."""
        return _CountedRequest(request_conn, self._on_request, self._memory)


def listen_metrics(
    address: str,
    registry: Registry,
    update_metrics: Callable[[], None],
    guard: ClientGuard | None = None,
):
    """Serve the metrics as text on "ip:port".

    ``update_metrics`` is called before each reply.
    """

    def on_request(req: HTTPServerRequest) -> None:
        update_metrics()
        content, _ = render(registry, [])
        write_reply(req, PlatformReply(200, content), "text/plain; version=0.0.4")

    server = GuardedServer(
        on_request,
        guard=guard or ClientGuard("metrics"),
        idle_connection_timeout=60.0,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_PROBE_BODY_BYTES,
    )
    listen_on(server, address)
    return server


def listen_ready(
    address: str, is_ready: Callable[[], bool], guard: ClientGuard | None = None
) -> HTTPServer:
    """Serve readiness probes of the balancer on "ip:port" with 200 or 503."""

    def on_request(req: HTTPServerRequest) -> None:
        is_ready_path = req.path == names.READY_PATH
        write_reply(req, PlatformReply(200 if is_ready_path and is_ready() else 503))

    server = GuardedServer(
        on_request,
        guard=guard or ClientGuard("ready"),
        idle_connection_timeout=60.0,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_PROBE_BODY_BYTES,
    )
    listen_on(server, address)
    return server
