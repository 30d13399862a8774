"""Start and stop the HTTP server of a daemon."""

from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application

from bramleyrouter.edges.http import EndpointSpec, build_tornado_routes
from bramleyrouter.utils.addresses import split_address

IDLE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 16 * 1024
# An upper bound for all endpoints; each endpoint has its own, smaller limit.
MAX_REQUEST_BYTES = 64 * 1024 * 1024


def listen_http(
    address: str, specs: list[EndpointSpec], extra_routes: list[tuple] | None = None
) -> Callable[[], Awaitable[None]]:
    """Serve the endpoints on "ip:port"; return a closure that stops the server.

    Raise ``OSError`` if the address is in use. The closure stops accepting
    connections, closes idle ones and waits for running requests.
    """
    application = Application(
        [*build_tornado_routes(specs), *(extra_routes or [])],
        log_function=_skip_access_log,
    )
    server = HTTPServer(
        application,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_REQUEST_BYTES,
    )
    host, port = split_address(address)
    server.listen(port, host)

    async def stop() -> None:
        server.stop()
        await server.close_all_connections()

    return stop


def _skip_access_log(handler) -> None:
    """Write no access log: metrics and recent decisions cover the requests."""
