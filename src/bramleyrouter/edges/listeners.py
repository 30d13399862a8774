"""Start and stop the HTTP server of a daemon."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging
from tornado.web import Application

from bramleyrouter.edges.http import (
    EndpointSpec,
    RunningRequests,
    build_tornado_routes,
)
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.guarded_http import (
    MAX_HEADER_BYTES,
    ClientGuard,
    GuardedServer,
)
from bramleyrouter.utils.listening import listen_on

IDLE_TIMEOUT_S = 75.0
# An upper bound for all endpoints; each endpoint has its own, smaller limit.
MAX_REQUEST_BYTES = 64 * 1024 * 1024
# Time for running requests to end after a daemon has drained, and for the replies of
# those that are ended early to be written, in seconds.
LAST_REPLIES_S = 1.0
WRITE_TIME_S = 0.2
POLL_INTERVAL_S = 0.01


def listen_http(
    address: str,
    specs: list[EndpointSpec],
    extra_routes: list[tuple] | None = None,
    last_replies_s: float = LAST_REPLIES_S,
    memory: ByteBudget | None = None,
) -> Callable[[], Awaitable[None]]:
    """Serve the endpoints on "ip:port"; return a closure that stops the server.

    Raise ``OSError`` if the address is in use. The closure stops accepting
    connections and waits up to ``last_replies_s`` seconds for running requests. Those
    that are still open then get a failure before all connections are closed.
    ``memory`` bounds what requests and replies hold; without it, they have a budget of
    their own.
    """
    running = RunningRequests(memory or ByteBudget())
    application = Application(
        [*build_tornado_routes(specs, running), *(extra_routes or [])],
        log_function=_skip_access_log,
    )
    server = GuardedServer(
        application,
        guard=ClientGuard("http", record=_log_refusal),
        idle_connection_timeout=IDLE_TIMEOUT_S,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_REQUEST_BYTES,
    )
    listen_on(server, address)

    async def stop() -> None:
        server.stop()
        running.is_stopping = True
        await _wait_until_idle(running, last_replies_s)
        for handler in list(running.handlers):
            handler.end_early()
        await _wait_until_idle(running, WRITE_TIME_S)
        await server.close_all_connections()

    return stop


async def _wait_until_idle(running: RunningRequests, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while running.handlers and loop.time() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)


def _log_refusal(part: str, event: str, **fields) -> None:
    logging.warning("%s: %s %s", part, event, fields)


def _skip_access_log(handler) -> None:
    """Write no access log: metrics and recent decisions cover the requests."""
