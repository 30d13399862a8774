"""A process with many stand-in servers, steered over HTTP by a measurement.

Run as ``python -m bramleyrouter.measure.standin_host CONFIG`` with a JSON file
that holds a ``HostConfig``.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.edges.http import EndpointSpec, HttpReply
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.ids import (
    DataCentre,
    IndexVersion,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
)
from bramleyrouter.standins.behaviours import Behaviour, Latency, Warmth
from bramleyrouter.standins.servers import Standin, build_standin
from bramleyrouter.telemetry.logs import configure_logging

MAX_ORDER_BYTES = 1024 * 1024


class ServerConfig(msgspec.Struct):
    """Describe one stand-in; ``shards`` are of one service."""

    server_id: str
    data_centre: str
    service: str
    shards: tuple[str, ...]
    versions: tuple[str, ...]
    slots: int
    connection_limit: int
    port: int
    fixed_s: float
    mean_extra_s: float
    warm_after: int = 0


class HostConfig(msgspec.Struct):
    """Describe one process of stand-ins."""

    http_address: str
    daemons: tuple[str, ...]
    servers: tuple[ServerConfig, ...]


class Order(msgspec.Struct):
    """Change some stand-ins; an empty ``servers`` means all of this process.

    ``action`` is "stragglers" (with ``share``), "versions" (with
    ``versions``), "kill", "restart" or "reset".
    """

    action: str
    servers: tuple[str, ...] = ()
    share: float = 0.0
    versions: tuple[str, ...] = ()


class ServerFigures(msgspec.Struct):
    """Report what one stand-in counted since the last reset.

    ``last_work_age_s`` is the time since it last took new work, in seconds.
    """

    server_id: str
    data_centre: str
    slots: int
    connection_limit: int
    peak_in_flight: int
    peak_connections: int
    served: int
    refused: int
    cancelled: int
    last_work_age_s: float
    runs: dict[str, int]


def _build(cfg: ServerConfig, daemons: tuple[str, ...], incarnation: int) -> Standin:
    versions = tuple(IndexVersion(name) for name in cfg.versions)
    shards = {ShardName(name): versions for name in cfg.shards}
    behaviour = Behaviour(
        slots=cfg.slots,
        connection_limit=cfg.connection_limit,
        holdings=(ServiceHolding(ServiceName(cfg.service), shards),),
        latency=Latency(cfg.fixed_s, cfg.mean_extra_s),
        warmth=Warmth(cfg.warm_after),
    )
    return build_standin(
        ServerId(cfg.server_id),
        DataCentre(cfg.data_centre),
        list(daemons),
        behaviour,
        random.Random(cfg.server_id),
        ServerIncarnation(incarnation),
        cfg.port,
    )


class Host:
    """Hold the stand-ins of this process."""

    def __init__(self, cfg: HostConfig):
        self.cfg = cfg
        self.incarnations = {one.server_id: 1 for one in cfg.servers}
        self.standins = {
            one.server_id: _build(one, cfg.daemons, 1) for one in cfg.servers
        }

    async def start(self) -> None:
        """Start all stand-ins."""
        for standin in self.standins.values():
            await standin.start()

    async def obey(self, order: Order) -> None:
        """Carry out one order."""
        for cfg in self.cfg.servers:
            if not order.servers or cfg.server_id in order.servers:
                await self._change(cfg, order)

    async def _change(self, cfg: ServerConfig, order: Order) -> None:
        standin = self.standins[cfg.server_id]
        if order.action == "stragglers":
            standin.behaviour.latency.straggler_share = order.share
        elif order.action == "versions":
            self._set_versions(cfg, standin, order.versions)
        elif order.action == "kill":
            standin.kill()
        elif order.action == "restart":
            self.incarnations[cfg.server_id] += 1
            incarnation = self.incarnations[cfg.server_id]
            self.standins[cfg.server_id] = _build(cfg, self.cfg.daemons, incarnation)
            await self.standins[cfg.server_id].start()
        elif order.action == "reset":
            _reset(standin)

    def _set_versions(self, cfg: ServerConfig, standin: Standin, names) -> None:
        versions = tuple(IndexVersion(name) for name in names)
        shards = {ShardName(name): versions for name in cfg.shards}
        holdings = (ServiceHolding(ServiceName(cfg.service), shards),)
        standin.behaviour.holdings = holdings
        standin.announcer.holdings = holdings
        standin.announcer.wake.set()

    def figures(self) -> list[ServerFigures]:
        """Return the figures of all stand-ins."""
        now = asyncio.get_running_loop().time()
        return [self._figures_of(cfg, now) for cfg in self.cfg.servers]

    def _figures_of(self, cfg: ServerConfig, now: float) -> ServerFigures:
        metrics = self.standins[cfg.server_id].metrics
        return ServerFigures(
            cfg.server_id,
            cfg.data_centre,
            cfg.slots,
            cfg.connection_limit,
            metrics.peak_in_flight,
            metrics.peak_connections,
            metrics.served,
            metrics.refused,
            metrics.cancelled,
            min(now - metrics.last_work_at, 1e9),
            metrics.runs,
        )


def _reset(standin: Standin) -> None:
    metrics = standin.metrics
    metrics.peak_in_flight = metrics.in_flight
    metrics.peak_connections = metrics.connections
    metrics.served = metrics.refused = metrics.cancelled = 0


def _routes(host: Host) -> list[EndpointSpec]:
    async def order(req: HTTPServerRequest, body: bytes) -> HttpReply:
        await host.obey(msgspec.json.decode(body, type=Order))
        return HttpReply(200, b"{}")

    async def figures(req: HTTPServerRequest, body: bytes) -> HttpReply:
        return HttpReply(200, msgspec.json.encode(host.figures()))

    return [
        EndpointSpec("/order", "POST", order, MAX_ORDER_BYTES),
        EndpointSpec("/figures", "GET", figures),
    ]


async def _run(cfg: HostConfig) -> None:
    host = Host(cfg)
    listen_http(cfg.http_address, _routes(host))
    await host.start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


def main() -> None:
    """Run the stand-ins until SIGTERM."""
    configure_logging("error")
    cfg = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostConfig)
    asyncio.run(_run(cfg))


if __name__ == "__main__":
    main()
