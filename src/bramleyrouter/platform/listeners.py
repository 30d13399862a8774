"""Serve readiness and metrics by HTTP and write replies."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from aioprometheus import Registry
from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from bramleyrouter.platform import names
from bramleyrouter.utils.listening import listen_on

# Probes and scrapes have no body.
MAX_PROBE_BODY_BYTES = 1024
JSON_TYPE = "application/json"


class PlatformReply(NamedTuple):
    """Describe an HTTP reply of a daemon on the platform."""

    status: int
    body: bytes = b"{}"


def write_reply(
    req: HTTPServerRequest, reply: PlatformReply, content_type: str = JSON_TYPE
) -> None:
    """Write a reply, or discard it if the client has disconnected."""
    conn = req.connection
    if conn is None or conn.stream.closed():  # type: ignore[attr-defined]
        return
    headers = HTTPHeaders({"Content-Type": content_type})
    headers["Content-Length"] = str(len(reply.body))
    phrase = HTTPStatus(reply.status).phrase
    line = ResponseStartLine("HTTP/1.1", reply.status, phrase)
    written = conn.write_headers(line, headers, reply.body)
    # Retrieving the exception prevents a log entry if the client disconnected.
    written.add_done_callback(lambda fut: fut.exception())
    conn.finish()


def listen_metrics(
    address: str, registry: Registry, update_metrics: Callable[[], None]
):
    """Serve the metrics as text on "ip:port".

    ``update_metrics`` is called before each reply.
    """

    def on_request(req: HTTPServerRequest) -> None:
        update_metrics()
        content, _ = render(registry, [])
        write_reply(req, PlatformReply(200, content), "text/plain; version=0.0.4")

    server = HTTPServer(
        on_request, idle_connection_timeout=60.0, max_body_size=MAX_PROBE_BODY_BYTES
    )
    listen_on(server, address)
    return server


def listen_ready(address: str, is_ready: Callable[[], bool]) -> HTTPServer:
    """Serve readiness probes of the balancer on "ip:port" with 200 or 503."""

    def on_request(req: HTTPServerRequest) -> None:
        is_ready_path = req.path == names.READY_PATH
        write_reply(req, PlatformReply(200 if is_ready_path and is_ready() else 503))

    server = HTTPServer(
        on_request, idle_connection_timeout=60.0, max_body_size=MAX_PROBE_BODY_BYTES
    )
    listen_on(server, address)
    return server
