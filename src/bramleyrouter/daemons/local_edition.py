"""Program ``bramley-local``, the single-process edition.

It runs a control daemon, two entry daemons and stub backend servers on loopback,
so that requests can be tried without a deployment; it is ready within seconds.
"""

import argparse
import asyncio
import random
import secrets
import tempfile

from absl import logging
from result import Err

from bramleyrouter import __version__
from bramleyrouter.board.sections import Manifest, ServiceHolding, ServiceSpec
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.client import build_control_client
from bramleyrouter.control.messages import Publish
from bramleyrouter.daemons.arguments import EXIT_START_FAILED
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import (
    Daemon,
    Phase,
    follow_signals,
    log_signal,
    run_until_stopped,
    stop_daemon,
)
from bramleyrouter.daemons.signals import SIGHUP, set_signal_callback
from bramleyrouter.daemons.wiring import (
    build_control_daemon,
    build_entry_daemon,
    build_identity,
)
from bramleyrouter.ids import (
    DataCentre,
    Generation,
    IndexVersion,
    OperatorRequestId,
    ServerId,
    ServiceName,
    ShardName,
)
from bramleyrouter.standins.behaviours import Behaviour
from bramleyrouter.standins.servers import Standin, build_standin
from bramleyrouter.telemetry.logs import configure_logging
from bramleyrouter.wire.tcp import build_tcp_network

SERVICES = tuple(ServiceName(name) for name in ("catalog", "sheets"))
SHARDS = tuple(ShardName(f"s{number}") for number in range(4))
VERSIONS = (IndexVersion("v1"),)
SERVERS_PER_SERVICE = 2
STOP_TIMEOUT_S = 5.0
PUBLISH_TIMEOUT_S = 10.0
DATA_CENTRE = "dc1"


def _build_settings(
    args: argparse.Namespace, folder: str
) -> tuple[Settings, list[Settings]]:
    key, token = secrets.token_hex(16), args.token
    first_port = args.port

    def build_daemon_settings(name: str, offset: int, **extra) -> Settings:
        return Settings(
            daemon_id=name,
            data_centre=DATA_CENTRE,
            internal_address=f"127.0.0.1:{first_port + 100 + offset}",
            http_address=f"127.0.0.1:{first_port + offset}",
            cluster_key=key,
            operator_token=token,
            control=(f"127.0.0.1:{first_port + 102}",),
            **extra,
        )

    control = build_daemon_settings(
        "control-1", 2, data_folder=folder, members=(f"127.0.0.1:{first_port + 102}",)
    )
    return control, [
        build_daemon_settings("entry-1", 0),
        build_daemon_settings("entry-2", 1),
    ]


def _build_manifest() -> Manifest:
    services = tuple(ServiceSpec(name, SHARDS, VERSIONS) for name in SERVICES)
    return Manifest(Generation(1), services)


def _build_standins(entry_cfgs: list[Settings]) -> list[Standin]:
    http_addresses = [cfg.http_address for cfg in entry_cfgs]
    standins = []
    for service in SERVICES:
        holding = ServiceHolding(service, dict.fromkeys(SHARDS, VERSIONS))
        for number in range(1, SERVERS_PER_SERVICE + 1):
            name = ServerId(f"{service}-{number}")
            behaviour = Behaviour(slots=3, connection_limit=25, holdings=(holding,))
            data_centre = DataCentre(DATA_CENTRE)
            rng = random.Random(name)
            standins.append(
                build_standin(name, data_centre, http_addresses, behaviour, rng)
            )
    return standins


async def _publish(control_cfg: Settings) -> None:
    network, _ = build_tcp_network(
        build_identity(control_cfg), control_cfg.cluster_key.encode()
    )
    loop = asyncio.get_running_loop()
    client = build_control_client(
        network, control_cfg.control, loop.time, random.Random()
    )
    request = Publish(OperatorRequestId("local-1"), "bramley-local", _build_manifest())
    published = await client.operate(request, PUBLISH_TIMEOUT_S)
    await network.close()
    if isinstance(published, Err):
        raise RuntimeError(str(published.err_value))


async def _wait_until_usable(daemons: list[Daemon]) -> None:
    count = len(SERVICES) * SERVERS_PER_SERVICE

    def is_usable(daemon: Daemon) -> bool:
        records = daemon.board.servers.records.values()
        usable = sum(record.usable for record in records)
        return daemon.board.readiness.is_ready and usable == count

    while not all(is_usable(daemon) for daemon in daemons):
        await asyncio.sleep(0.1)


async def _start_all(
    control_cfg: Settings,
    entry_cfgs: list[Settings],
    daemons: list[Daemon],
    standins: list[Standin],
) -> bool:
    """Start everything and wait until it is usable; return true.

    What has been opened is in ``daemons`` and ``standins`` at any time.
    """
    built = build_control_daemon(control_cfg)
    if isinstance(built, Err):
        raise RuntimeError(str(built.err_value))
    entries = [build_entry_daemon(cfg) for cfg in entry_cfgs]
    for daemon in (built.ok_value, *entries):
        daemons.append(daemon)
        await daemon.start()
    await _publish(control_cfg)
    for standin in _build_standins(entry_cfgs):
        standins.append(standin)
        await standin.start()
    await _wait_until_usable(entries)
    return True


async def _run(args: argparse.Namespace, folder: str, launch: Launch) -> None:
    lifecycle = follow_signals(launch.inbox, log_signal)
    # Sent when the terminal is closed.
    set_signal_callback(launch.inbox, SIGHUP, lifecycle.stop_requested.set)
    control_cfg, entry_cfgs = _build_settings(args, folder)
    daemons: list[Daemon] = []
    standins: list[Standin] = []
    starting = _start_all(control_cfg, entry_cfgs, daemons, standins)
    if await run_until_stopped(lifecycle, starting):
        lifecycle.phase = Phase.RUNNING
        print(_format_ready_message(entry_cfgs, control_cfg), flush=True)
        await lifecycle.stop_requested.wait()
    lifecycle.phase = Phase.STOPPING
    # The control daemon was started first and stops last.
    for daemon in reversed(daemons):
        await stop_daemon(daemon, 0.0, STOP_TIMEOUT_S)
    for standin in standins:
        await standin.stop()


def _format_ready_message(entry_cfgs: list[Settings], control_cfg: Settings) -> str:
    addresses = " and ".join(cfg.http_address for cfg in entry_cfgs)
    services = ", ".join(f"{name} ({len(SHARDS)} shards)" for name in SERVICES)
    return f"""bramley-local is ready. Entry daemons: {addresses}; services: {services}.
Try in another terminal:
  curl -s http://{entry_cfgs[0].http_address}/v1/query -d \\
    '{{"targets": [{{"service": "catalog"}}], "query": {{"text": "dollhouse"}}}}'
The operators' token is {control_cfg.operator_token}. Stop with Ctrl-C."""


def main(launch: Launch) -> int:
    """Run the local edition until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="bramley-local",
        description="Run a control daemon, two entry daemons and stub backend "
        "servers in one process on loopback.",
    )
    parser.add_argument("--port", type=int, default=8800, help="first HTTP port")
    parser.add_argument(
        "--token",
        default="local-operator-token",
        help="the operators' token, 16 characters or more",
    )
    parser.add_argument("--log-level", default="warning")
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    args = parser.parse_args()
    configure_logging(args.log_level)
    with tempfile.TemporaryDirectory(prefix="bramley-local-") as folder:
        try:
            asyncio.run(_run(args, folder, launch))
        except (OSError, RuntimeError) as exc:
            logging.error("local: %s", exc)
            return EXIT_START_FAILED
    return 0
