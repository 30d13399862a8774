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


class Answer(NamedTuple):
    """Hold one reply."""

    status: int
    body: bytes = b"{}"


def write_answer(
    req: HTTPServerRequest, answer: Answer, content_type: str = JSON_TYPE
) -> None:
    """Write a reply; one whose caller has left is dropped."""
    conn = req.connection
    if conn is None or conn.stream.closed():  # type: ignore[attr-defined]
        return
    headers = HTTPHeaders({"Content-Type": content_type})
    headers["Content-Length"] = str(len(answer.body))
    phrase = HTTPStatus(answer.status).phrase
    line = ResponseStartLine("HTTP/1.1", answer.status, phrase)
    written = conn.write_headers(line, headers, answer.body)
    written.add_done_callback(lambda fut: fut.exception())
    conn.finish()


def listen_metrics(address: str, registry: Registry, collect: Callable[[], None]):
    """Serve the metrics as text; ``collect`` brings them up to date."""

    def on_request(req: HTTPServerRequest) -> None:
        collect()
        content, _ = render(registry, [])
        write_answer(req, Answer(200, content), "text/plain; version=0.0.4")

    server = HTTPServer(on_request, idle_connection_timeout=60.0)
    host, port = split_address(address)
    server.listen(port, host)
    return server


def listen_ready(address: str, is_ready: Callable[[], bool]) -> HTTPServer:
    """Tell the balancer whether callers may be sent here."""

    def on_request(req: HTTPServerRequest) -> None:
        is_known = req.path == names.READY_PATH
        write_answer(req, Answer(200 if is_known and is_ready() else 503))

    server = HTTPServer(on_request, idle_connection_timeout=60.0)
    host, port = split_address(address)
    server.listen(port, host)
    return server
