"""Start and stop the HTTP server of a daemon."""

from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application

from bramleyrouter.edges.http import EndpointSpec, build_tornado_routes
from bramleyrouter.utils.addresses import split_address

# An idle connection of a caller is closed after this time, in seconds.
IDLE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 16 * 1024
# Larger bodies than any route takes are refused while they are read.
MAX_REQUEST_BYTES = 64 * 1024 * 1024


def listen_http(
    address: str, specs: list[EndpointSpec], extra_routes: list[tuple] | None = None
) -> Callable[[], Awaitable[None]]:
    """Serve the routes on "ip:port"; return a closure that stops the server.

    Raises ``OSError`` when the address is taken. The closure takes no new
    connection and closes idle ones; it waits for requests that are running.
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
    """Leave access logs to the metrics and the recent decisions."""
