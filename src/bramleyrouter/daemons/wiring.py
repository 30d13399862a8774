"""Composition root: build all parts of a daemon and connect them."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

from absl import logging
from result import Err, Result

from bramleyrouter.board.blackboard import Board
from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_control_client
from bramleyrouter.control.interfaces import ConfigSource
from bramleyrouter.control.rollout_judging import start_rollout_judging
from bramleyrouter.control.rollouts import serve_rollout
from bramleyrouter.control.service import start_control_service
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.daemons.lifecycles import Daemon
from bramleyrouter.daemons.operations import build_daemon_operator_endpoints
from bramleyrouter.daemons.start_steps import (
    RunStep,
    StartStep,
    record_in_log,
    run_once,
)
from bramleyrouter.dissemination.build import build_dissemination
from bramleyrouter.edges.callers.handlers import build_caller_endpoints
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.edges.probes.handlers import build_probe_endpoints
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.handlers import build_server_endpoints
from bramleyrouter.failures import Failure
from bramleyrouter.homes.build import build_homes
from bramleyrouter.ids import ClassName, DaemonId, DaemonIncarnation, DataCentre
from bramleyrouter.membership.build import build_membership
from bramleyrouter.routing.router import build_router
from bramleyrouter.telemetry.metrics import Metrics
from bramleyrouter.telemetry.observers import build_observer
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding
from bramleyrouter.wire.tcp import build_tcp_network

MILLISECONDS_PER_SECOND = 1000


def build_identity(cfg: Settings) -> Identity:
    """Build the identity of a daemon that is starting.

    The incarnation is the wall-clock time in milliseconds, which distinguishes
    restarts of a daemon without a disk. Nothing relies on it to increase, as
    the clock may step back.
    """
    return Identity(
        DaemonId(cfg.daemon_id),
        DaemonIncarnation(int(time.time() * MILLISECONDS_PER_SECOND)),
        DataCentre(cfg.data_centre),
        cfg.internal_address,
        cfg.http_address,
    )


def _log_ended_holder(holding: Holding, size: int) -> None:
    logging.warning(
        "memory: %s %s was ended; %d bytes were held for it.",
        holding.kind,
        holding.name,
        size,
    )


def build_entry_daemon(cfg: Settings, run_step: RunStep = run_once) -> Daemon:
    """Wire an entry daemon; needs a running event loop.

    ``run_step`` opens its listeners.
    """
    loop = asyncio.get_running_loop()
    clock, rng = loop.time, random.Random()
    board = Board(build_identity(cfg))
    memory = ByteBudget(on_holder_ended=_log_ended_holder)
    network, listen = build_tcp_network(
        board.identity, cfg.cluster_key.encode(), memory
    )
    membership = build_membership(board, network, cfg.control, rng, clock)
    dissemination = build_dissemination(
        board, network, cfg.control, rng, clock, membership.relays
    )
    class_weights = {
        ClassName(name): class_cfg.weight for name, class_cfg in cfg.classes.items()
    }
    homes = build_homes(
        board,
        network,
        build_curl_transport(memory),
        membership.publish_rows,
        rng,
        class_weights,
        clock,
    )
    control_client = build_control_client(network, cfg.control, clock, rng)
    metrics = Metrics()
    observer, collect = build_observer(metrics, board)
    router = build_router(
        board, homes.client, control_client, cfg, clock, rng, observer
    )
    endpoints = [
        *build_caller_endpoints(board, router, cfg, clock),
        *build_probe_endpoints(board, metrics.registry, collect),
        *build_daemon_operator_endpoints(
            cfg, board, network, control_client, clock, rng
        ),
    ]
    stop_http: list[Callable] = []

    async def start() -> None:
        await run_step(StartStep.INTERNAL_LISTENER, listen)
        open_http = lambda: listen_http(
            cfg.http_address,
            endpoints,
            build_server_endpoints(homes),
            memory=memory,
        )
        stop_http.append(await run_step(StartStep.HTTP_LISTENER, open_http))
        membership.start()
        dissemination.start()
        board.readiness.reasons.discard("starting")

    async def drain() -> None:
        membership.announce_leaving()
        await router.drain()
        await homes.hand_over()

    async def close() -> None:
        for stop in stop_http:
            await stop()
        await membership.leave()
        dissemination.stop()
        homes.close()
        await network.close()

    return Daemon(board, start, drain, close)


def build_control_daemon(
    cfg: Settings, run_step: RunStep = run_once
) -> Result[Daemon, Failure]:
    """Wire a control daemon; needs a running event loop.

    ``run_step`` opens its HTTP listener. Fails with ``DISK_FAILED`` if the data folder
    can't be opened, or with the codes of the log's recovery. Raises ``OSError`` if the
    internal address can't be used. Nothing stays open in both cases.
    """
    loop = asyncio.get_running_loop()
    clock, rng = loop.time, random.Random()
    board = Board(build_identity(cfg))
    memory = ByteBudget(on_holder_ended=_log_ended_holder)
    network, listen = build_tcp_network(
        board.identity, cfg.cluster_key.encode(), memory
    )
    state_machine = build_control_state_machine()
    # A member of the log that the others can't reach must not vote or lead, so the
    # listener comes first. Peers are served once this function has returned.
    stop_listening = listen()
    try:
        folder = open_folder(Path(cfg.data_folder))
    except OSError as exc:
        stop_listening()
        text = f'The data folder "{cfg.data_folder}" can\'t be opened: {exc}.'
        return Err(Failure(Code.DISK_FAILED, text))
    opened = build_replicated_log(
        board.identity, cfg.members, network, rng, state_machine.for_log, folder
    )
    if isinstance(opened, Err):
        stop_listening()
        return opened
    replicated_log = opened.ok_value
    control = start_control_service(network, replicated_log, state_machine, clock)
    judging = start_rollout_judging(
        network, replicated_log, state_machine, clock, time.time, record_in_log
    )
    return opened.map(
        lambda _: _assemble_control_daemon(
            cfg, board, network, run_step, control, judging, replicated_log, rng, memory
        )
    )


def _assemble_control_daemon(
    cfg, board, network, run_step, control, judging, replicated_log, rng, memory
) -> Daemon:
    clock = asyncio.get_running_loop().time
    source: ConfigSource = control.source
    membership = build_membership(
        board, network, cfg.control, rng, clock, is_control=True
    )
    dissemination = build_dissemination(
        board, network, cfg.control, rng, clock, membership.relays, source
    )
    control_client = build_control_client(network, cfg.control, clock, rng)
    metrics = Metrics()
    _, collect = build_observer(metrics, board)
    serve_rollout(network, replicated_log.status, dissemination.get_rollout)
    endpoints = [
        *build_probe_endpoints(board, metrics.registry, collect),
        *build_daemon_operator_endpoints(
            cfg, board, network, control_client, clock, rng
        ),
    ]
    stop_http: list[Callable] = []

    async def start() -> None:
        open_http = lambda: listen_http(cfg.http_address, endpoints, memory=memory)
        stop_http.append(await run_step(StartStep.HTTP_LISTENER, open_http))
        membership.start()
        dissemination.start()
        board.readiness.reasons.discard("starting")

    async def drain() -> None:
        membership.announce_leaving()

    async def close() -> None:
        for stop in stop_http:
            await stop()
        dissemination.stop()
        await membership.leave()
        judging.close()
        await control.close()
        await replicated_log.close()
        await network.close()

    return Daemon(board, start, drain, close)
