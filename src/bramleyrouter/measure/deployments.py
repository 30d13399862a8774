"""Clusters of processes on loopback in the sizes of the measurements."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from bramleyrouter.conf.settings import Settings
from bramleyrouter.measure.baseline import BaselineConfig, Replica
from bramleyrouter.measure.processes import Processes
from bramleyrouter.measure.standin_host import (
    HostConfig,
    Order,
    ServerConfig,
    ServerFigures,
)
from bramleyrouter.utils.ports import reserve_ports

DATA_CENTRES = ("dc1", "dc2", "dc3")
TOKEN = "measurement-operator-token"
KEY = "measurement-cluster-key"
READY_TIMEOUT_S = 30.0
STANDIN_HOSTS = 5


class Size(NamedTuple):
    """Give the size of a deployment and the speed of its servers, seconds."""

    name: str
    services: int
    slots: int
    connection_limit: int
    fixed_s: float
    mean_extra_s: float
    replicas: int = 2
    warm_after: int = 0


@dataclass
class Deployment:
    """Hold one running cluster: control daemons, entry daemons, stand-ins and
    baseline daemons with the same stand-ins.
    """

    size: Size
    processes: Processes
    client: CurlAsyncHTTPClient
    entries: list[str] = field(default_factory=list)
    baselines: list[str] = field(default_factory=list)
    controls: list[str] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    servers: list[ServerConfig] = field(default_factory=list)
    revisions: int = 0

    @property
    def services(self) -> list[str]:
        """Return the names of the services."""
        return [f"svc-{number:02d}" for number in range(self.size.services)]


async def fetch(client: CurlAsyncHTTPClient, request: HTTPRequest):
    """Return status and body; the status is 599 when no response came."""
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError):
        return 599, b""
    return response.code, response.body or b""


async def post(
    deployment: Deployment, url: str, value: Any, timeout_s: float = 10.0
) -> tuple[int, bytes]:
    """Post JSON with the operators' token; return status and body, 599 if none."""
    request = HTTPRequest(
        url,
        method="POST",
        body=msgspec.json.encode(value),
        headers={"Authorization": f"Bearer {TOKEN}"},
        request_timeout=timeout_s,
    )
    return await fetch(deployment.client, request)


async def get(deployment: Deployment, url: str) -> tuple[int, bytes]:
    """Get a page with the operators' token; return status and body."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    request = HTTPRequest(url, headers=headers, request_timeout=5.0)
    return await fetch(deployment.client, request)


def _settings(name, data_centre, ports, control, **extra) -> Settings:
    return Settings(
        daemon_id=name,
        data_centre=data_centre,
        internal_address=f"127.0.0.1:{ports[0]}",
        http_address=f"127.0.0.1:{ports[1]}",
        cluster_key=KEY,
        operator_token=TOKEN,
        control=tuple(control),
        balancer_wait_s=0.5,
        log_level="warning",
        **extra,
    )


def _start_controls(deployment: Deployment, count: int) -> list[str]:
    ports = reserve_ports(2 * count)
    internal = [f"127.0.0.1:{port}" for port in ports[:count]]
    for number in range(count):
        name = f"control-{number + 1}"
        pair = (ports[number], ports[count + number])
        folder = str(deployment.processes.folder / name)
        cfg = _settings(
            name,
            DATA_CENTRES[number % 3],
            pair,
            internal,
            data_folder=folder,
            members=tuple(internal),
        )
        deployment.controls.append(cfg.http_address)
        deployment.processes.start(
            name, "bramleyrouter.daemons.control", cfg, "--settings"
        )
    return internal


def _start_entries(deployment: Deployment, count: int, control: list[str]) -> None:
    ports = reserve_ports(2 * count)
    for number in range(count):
        name = f"entry-{number + 1}"
        pair = (ports[number], ports[count + number])
        cfg = _settings(name, DATA_CENTRES[number % 3], pair, control)
        deployment.entries.append(cfg.http_address)
        deployment.processes.start(
            name, "bramleyrouter.daemons.entry", cfg, "--settings"
        )


def _start_standins(deployment: Deployment) -> None:
    size = deployment.size
    ports = reserve_ports(size.services * size.replicas + STANDIN_HOSTS)
    for index, service in enumerate(deployment.services):
        for replica in range(size.replicas):
            deployment.servers.append(
                ServerConfig(
                    f"{service}-{replica}",
                    DATA_CENTRES[(index + replica) % 3],
                    service,
                    ("s0",),
                    ("v1",),
                    size.slots,
                    size.connection_limit,
                    ports.pop(),
                    size.fixed_s,
                    size.mean_extra_s,
                    size.warm_after,
                )
            )
    for number in range(STANDIN_HOSTS):
        address = f"127.0.0.1:{ports.pop()}"
        deployment.hosts.append(address)
        cfg = HostConfig(
            address,
            tuple(deployment.entries),
            tuple(deployment.servers[number::STANDIN_HOSTS]),
        )
        deployment.processes.start(
            f"standins-{number}", "bramleyrouter.measure.standin_host", cfg
        )


def _start_baselines(deployment: Deployment, count: int) -> None:
    replicas: dict[str, tuple[Replica, ...]] = {}
    for server in deployment.servers:
        one = Replica(server.server_id, f"127.0.0.1:{server.port}")
        replicas[server.service] = (*replicas.get(server.service, ()), one)
    for number, port in enumerate(reserve_ports(count)):
        cfg = BaselineConfig(f"127.0.0.1:{port}", "v1", replicas)
        deployment.baselines.append(cfg.http_address)
        deployment.processes.start(
            f"baseline-{number + 1}", "bramleyrouter.measure.baseline", cfg
        )


async def publish(deployment: Deployment, versions: tuple[str, ...]) -> int:
    """Publish the next manifest; return the HTTP status."""
    deployment.revisions += 1
    manifest = {
        "generation": deployment.revisions,
        "services": [
            {"name": name, "shards": ["s0"], "versions": list(versions)}
            for name in deployment.services
        ],
    }
    body = {
        "request_id": f"publish-{deployment.revisions}",
        "operator": "measure",
        "manifest": manifest,
    }
    url = f"http://{deployment.entries[0]}/v1/config/manifest"
    status, _ = await post(deployment, url, body)
    return status


async def set_out(deployment: Deployment, data_centre: str, is_out: bool) -> int:
    """Take a data centre out, or back in; return the HTTP status."""
    deployment.revisions += 1
    body = {
        "request_id": f"availability-{deployment.revisions}",
        "operator": "measure",
        "is_out": is_out,
        "data_centre": data_centre,
    }
    url = f"http://{deployment.entries[0]}/v1/config/availability"
    status, _ = await post(deployment, url, body)
    return status


async def order(deployment: Deployment, command: Order) -> None:
    """Give an order to all processes of stand-ins."""
    for address in deployment.hosts:
        await post(deployment, f"http://{address}/order", command)


async def figures(deployment: Deployment) -> list[ServerFigures]:
    """Return what all stand-ins counted."""
    found = []
    for address in deployment.hosts:
        _, body = await get(deployment, f"http://{address}/figures")
        found += msgspec.json.decode(body, type=list[ServerFigures])
    return found


async def _until(condition, what: str) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + READY_TIMEOUT_S
    while not await condition():
        if loop.time() > until:
            raise RuntimeError(f"{what} did not happen within {READY_TIMEOUT_S} s.")
        await asyncio.sleep(0.1)


async def wait_usable(deployment: Deployment) -> None:
    """Wait until every entry daemon is ready and answers for all services."""

    async def is_usable() -> bool:
        for address in deployment.entries:
            body = query_body(deployment, "probe", 1000.0, "full")
            status, _ = await post(deployment, f"http://{address}/v1/query", body)
            if status != 200:
                return False
        return True

    await _until(is_usable, "Full coverage")


def query_body(
    deployment: Deployment, nonce: str, deadline_ms: float, coverage: str
) -> dict:
    """Return the body of a query to all services."""
    targets = [{"service": name, "shards": ["s0"]} for name in deployment.services]
    return {
        "targets": targets,
        "query": {"nonce": nonce},
        "request_id": nonce,
        "deadline_ms": deadline_ms,
        "coverage": coverage,
    }


async def start_deployment(
    size: Size, folder: Path, entries: int = 3, controls: int = 3, baselines: int = 3
) -> Deployment:
    """Start all processes and wait until queries are answered in full."""
    folder.mkdir(parents=True, exist_ok=True)
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=400)
    deployment = Deployment(size, Processes(folder), client)
    try:
        control = _start_controls(deployment, controls)
        _start_entries(deployment, entries, control)

        async def can_publish() -> bool:
            deployment.revisions = 0
            return await publish(deployment, ("v1", "v2")) == 200

        await _until(can_publish, "The first manifest")
        _start_standins(deployment)
        _start_baselines(deployment, baselines)
        await wait_usable(deployment)
    except BaseException:
        await deployment.processes.stop_all()
        raise
    return deployment
