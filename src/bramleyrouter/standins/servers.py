"""A small backend server in this process, for tests and measurements."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application

from bramleyrouter.homes.messages import Announcement
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation
from bramleyrouter.standins.announcers import (
    AnnouncerState,
    decode_reply,
    run_announcer,
)
from bramleyrouter.standins.behaviours import Behaviour
from bramleyrouter.states import ServerState

ANNOUNCE_TIMEOUT_S = 0.8
FIRST_INCARNATION = ServerIncarnation(1)


@dataclass
class Metrics:
    """Count what a stand-in saw.

    ``in_flight`` counts queries, submissions and probes that have arrived and
    not ended, so its peak is the load that was offered. ``runs`` counts the
    runs of each non-idempotent request.
    """

    in_flight: int = 0
    peak_in_flight: int = 0
    connections: int = 0
    peak_connections: int = 0
    opened_connections: int = 0
    served: int = 0
    refused: int = 0
    cancelled: int = 0
    probes: int = 0
    last_work_at: float = float("-inf")
    runs: dict[str, int] = field(default_factory=dict)


@dataclass
class StandinState:
    """Hold one stand-in while it runs."""

    behaviour: Behaviour
    rng: random.Random
    announcer: AnnouncerState
    metrics: Metrics = field(default_factory=Metrics)
    running: dict[tuple[str, int], asyncio.Future] = field(default_factory=dict)
    busy: int = 0
    waiters: list[asyncio.Future] = field(default_factory=list)
    task: asyncio.Task | None = None
    server: HTTPServer | None = None


class Standin(NamedTuple):
    """Bundle what ``build_standin`` returns.

    ``start`` and ``stop`` take part in the protocol; ``kill`` ends at once
    without a word. ``drain`` announces that no new work is wanted,
    ``withdraw`` says so for good. ``turn_cold`` takes all warmth away.
    """

    address: str
    behaviour: Behaviour
    metrics: Metrics
    announcer: AnnouncerState
    start: Callable[[], Awaitable[None]]
    stop: Callable[[], Awaitable[None]]
    kill: Callable[[], None]
    drain: Callable[[], None]
    withdraw: Callable[[], Awaitable[None]]
    turn_cold: Callable[[], None]


class CountingServer(HTTPServer):
    """Count the open connections of a stand-in in ``metrics``."""

    metrics: Metrics

    def handle_stream(self, stream, address):
        """Count a new connection."""
        metrics = self.metrics
        metrics.connections += 1
        metrics.opened_connections += 1
        metrics.peak_connections = max(metrics.peak_connections, metrics.connections)
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Count a connection that ended."""
        self.metrics.connections -= 1
        super().on_close(server_conn)


async def _post(client, url: str, value) -> tuple[int, bytes] | None:
    request = HTTPRequest(
        url,
        method="POST",
        body=msgspec.json.encode(value),
        headers={"Content-Type": "application/json"},
        connect_timeout=ANNOUNCE_TIMEOUT_S,
        request_timeout=ANNOUNCE_TIMEOUT_S,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return None
    if response.code == 599:
        return None
    return response.code, response.body or b""


def build_standin(
    server_id: ServerId,
    data_centre: DataCentre,
    daemons: list[str],
    behaviour: Behaviour,
    rng: random.Random,
    incarnation: ServerIncarnation = FIRST_INCARNATION,
    port: int = 0,
) -> Standin:
    """Return a stand-in that listens on loopback and announces itself.

    ``daemons`` are the HTTP addresses of entry daemons. With no daemons it
    only serves. A restarted server is built with a larger incarnation.
    """
    from bramleyrouter.standins.handlers import build_standin_endpoints

    sockets = bind_sockets(port, "127.0.0.1")
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    announcer = AnnouncerState(
        server_id,
        incarnation,
        data_centre,
        address,
        daemons,
        behaviour.slots,
        behaviour.connection_limit,
        behaviour.holdings,
    )
    state = StandinState(behaviour, rng, announcer)
    application = Application(
        build_standin_endpoints(state), log_function=lambda handler: None
    )

    async def start() -> None:
        server = CountingServer(application)
        server.metrics = state.metrics
        server.add_sockets(sockets)
        state.server = server
        if daemons:
            client = SimpleAsyncHTTPClient(force_instance=True)

            async def post(daemon: str, announcement: Announcement):
                url = f"http://{daemon}/v1/servers/announce"
                answer = await _post(client, url, announcement)
                return decode_reply(*answer) if answer else None

            work = run_announcer(announcer, post, rng)
            state.task = asyncio.get_running_loop().create_task(work)

    def kill() -> None:
        if state.task is not None:
            state.task.cancel()
        if state.server is not None:
            state.server.stop()
            for conn in list(state.server._connections):
                conn.stream.close()
        for fut in state.running.values():
            if not fut.done():
                fut.cancel()

    async def stop() -> None:
        kill()
        await asyncio.sleep(0)

    def drain() -> None:
        announcer.server_state = ServerState.DRAINING
        announcer.wake.set()

    async def withdraw() -> None:
        if state.task is not None:
            state.task.cancel()
        client = SimpleAsyncHTTPClient(force_instance=True)
        body = {"server_id": server_id, "incarnation": incarnation}
        await _post(client, f"http://{announcer.home}/v1/servers/withdraw", body)
        client.close()

    def turn_cold() -> None:
        behaviour.warmth.share = 0.0

    return Standin(
        address,
        behaviour,
        state.metrics,
        announcer,
        start,
        stop,
        kill,
        drain,
        withdraw,
        turn_cold,
    )
