"""Small HTTP listeners that both programs have: readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from aioprometheus import Registry
from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from bramleyrouter.platform import names
from bramleyrouter.utils.addresses import split_address

JSON_TYPE = "application/json"


class PlatformReply(NamedTuple):
    """Hold one reply."""

    status: int
    body: bytes = b"{}"


def write_reply(
    req: HTTPServerRequest, reply: PlatformReply, content_type: str = JSON_TYPE
) -> None:
    """Write a reply; one whose caller has left is dropped."""
    conn = req.connection
    if conn is None or conn.stream.closed():  # type: ignore[attr-defined]
        return
    headers = HTTPHeaders({"Content-Type": content_type})
    headers["Content-Length"] = str(len(reply.body))
    phrase = HTTPStatus(reply.status).phrase
    line = ResponseStartLine("HTTP/1.1", reply.status, phrase)
    written = conn.write_headers(line, headers, reply.body)
    written.add_done_callback(lambda fut: fut.exception())
    conn.finish()


def listen_metrics(
    address: str, registry: Registry, update_metrics: Callable[[], None]
):
    """Serve the metrics as text; ``collect`` brings them up to date."""

    def on_request(req: HTTPServerRequest) -> None:
        update_metrics()
        content, _ = render(registry, [])
        write_reply(req, PlatformReply(200, content), "text/plain; version=0.0.4")

    server = HTTPServer(on_request, idle_connection_timeout=60.0)
    host, port = split_address(address)
    server.listen(port, host)
    return server


def listen_ready(address: str, is_ready: Callable[[], bool]) -> HTTPServer:
    """Tell the balancer whether callers may be sent here."""

    def on_request(req: HTTPServerRequest) -> None:
        is_ready_path = req.path == names.READY_PATH
        write_reply(req, PlatformReply(200 if is_ready_path and is_ready() else 503))

    server = HTTPServer(on_request, idle_connection_timeout=60.0)
    host, port = split_address(address)
    server.listen(port, host)
    return server
