"""Composition of the daemons that serve by route table.

The adapter of a platform hands in how callers, operators and servers speak;
everything that decides is wired here.
"""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from result import Err, Result

from bramleyrouter.board.blackboard import Board, Section
from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import FleetSettings, stream_times
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_operate, build_read_routes
from bramleyrouter.control.joining import JoinPolicy, keep_joined
from bramleyrouter.control.leaders import Leaders
from bramleyrouter.control.machine import build_machine
from bramleyrouter.control.service import build_control
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.neighbours import (
    Description,
    Neighbours,
    keep_asking,
    recommend,
)
from bramleyrouter.fleet.publishing import start_publishing
from bramleyrouter.fleet.registry import Registry
from bramleyrouter.fleet.watching import Watching, start_watching
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.build import GatewayHandle, build_gateway
from bramleyrouter.gateway.exchanges import ServerTransport
from bramleyrouter.gateway.gateways import GatewayLimits
from bramleyrouter.gateway.tables import RouteTable
from bramleyrouter.gateway.waiting import trip_time
from bramleyrouter.ids import DaemonIncarnation, DataCentre, ServiceName, TableVersion
from bramleyrouter.telemetry.events import EventLog, record, record_ordinary
from bramleyrouter.telemetry.gateway_metrics import GatewayMetrics, build_observe
from bramleyrouter.utils.tasks import TaskGroup, cancel_all, repeat, spawn
from bramleyrouter.wire.kinds import Kind
from bramleyrouter.wire.tcp import build_tcp_network

# The deployment gives its processes no secret; the key keeps strangers' bytes
# out of the internal protocol and proves nothing more.
CLUSTER_KEY = b"bramleyrouter-internal"
# Part of the time in which a VM must count again after it came back that a
# silent voter is still waited for.
SILENT_SHARE = 0.6
# Time between two looks whether this entry daemon is cut off, in seconds; the
# balancer asks once per second.
REVIEW_S = 0.2


class EntryParts(NamedTuple):
    """Bundle the wired parts of an entry daemon."""

    board: Board
    gateway: GatewayHandle
    watching: Watching
    listen: Callable[[], None]
    metrics: GatewayMetrics
    close: Callable


class ControlParts(NamedTuple):
    """Bundle the wired parts of a control daemon."""

    board: Board
    registry: Registry
    recommend: Callable[[DataCentre], str]
    operate: Callable
    read_routes: Callable
    state: Callable[[], dict[str, float]]
    listen: Callable[[], None]
    close: Callable


def _board_of(cfg: FleetSettings) -> Board:
    # No part of these daemons compares incarnations: a later stream or member
    # replaces the former one.
    incarnation = DaemonIncarnation(1)
    http_address = cfg.caller_address or cfg.control_address
    return Board(
        Identity(
            cfg.daemon_id,
            incarnation,
            cfg.data_centre,
            cfg.internal_address,
            http_address,
        )
    )


def build_entry_parts(
    cfg: FleetSettings,
    log: EventLog,
    transport: ServerTransport,
    decode_table: Callable[[bytes], Result[RouteTable, Failure]],
    on_table: Callable[[RouteTable], None],
) -> EntryParts:
    """Wire an entry daemon; needs a running event loop."""
    loop = asyncio.get_running_loop()
    board = _board_of(cfg)
    network, listen = build_tcp_network(board.identity, CLUSTER_KEY)
    parts: list[EntryParts] = []

    def note(part: str, event: str, **fields) -> None:
        record(log, part, event, **fields)

    def note_ordinary(part: str, event: str, **fields) -> None:
        record_ordinary(log, part, event, **fields)

    times = stream_times(cfg.bounds)

    def take_table(version: TableVersion, document: bytes) -> None:
        decoded = decode_table(document)
        if isinstance(decoded, Err):
            # Control daemons accept only what they could decode.
            note("fleet", "bad_table", version=version, reason=str(decoded.err_value))
            return
        parts[0].gateway.set_table(decoded.ok_value)
        on_table(decoded.ok_value)
        board.readiness.reasons.discard("starting")

    def take_servers(services: set[ServiceName]) -> None:
        for service in services:
            rows = watching.watch.view.by_service.get(service, {})
            parts[0].gateway.set_servers(service, rows.values())

    watching = start_watching(
        network,
        note,
        cfg.data_centre,
        loop.time,
        take_table,
        take_servers,
        lambda relays: parts[0].gateway.set_relays(relays),
        lambda data_centre: parts[0].gateway.hear_from(data_centre),
        times,
    )
    bounds, metrics = cfg.bounds, GatewayMetrics()
    gateway = build_gateway(
        GatewayLimits(
            cfg.data_centre,
            cfg.internal_address,
            cfg.data_centres,
            times.life_sign_s,
            trip_time(cfg.cores),
            bounds.cold_factor,
            bounds.cold_slack,
        ),
        ExtraLimits(bounds.extra_ratio, bounds.extra_slack, bounds.extra_window_s),
        transport,
        random.Random(),
        note,
        note_ordinary,
        build_observe(metrics),
        lambda: watching.watch.data_centres_out,
        watching.entry_daemons,
        lambda address, payload, on_item, on_end: network.stream(
            address, Kind.GATHER_SHARDS, payload, on_item, on_end
        ),
        lambda: "stopping" in board.readiness.reasons,
    )
    network.serve_stream(Kind.GATHER_SHARDS, gateway.serve_delegated)

    def review_reach() -> None:
        reasons = board.readiness.reasons
        before = set(reasons)
        (reasons.add if gateway.is_cut_off() else reasons.discard)("cut off")
        if reasons != before:
            note("daemon", "readiness", reasons=sorted(reasons))
            board.touch(Section.READINESS)

    group = TaskGroup("readiness")
    spawn(group, repeat(REVIEW_S, review_reach, REVIEW_S))

    async def close() -> None:
        cancel_all(group)
        watching.close()
        await network.close()

    parts.append(EntryParts(board, gateway, watching, listen, metrics, close))
    watching.set_seeds(cfg.seeds)
    return parts[0]


def build_control_parts(
    cfg: FleetSettings, log: EventLog, seeds: Callable[[], tuple[str, ...]]
) -> Result[ControlParts, Failure]:
    """Wire a control daemon; needs a running event loop.

    Fails with the codes of the log's recovery.
    """
    loop = asyncio.get_running_loop()
    clock, rng = loop.time, random.Random()
    board = _board_of(cfg)
    network, listen = build_tcp_network(board.identity, CLUSTER_KEY)
    machine = build_machine()
    try:
        folder = open_folder(Path(cfg.data_folder))
    except OSError as exc:
        text = f'The data folder "{cfg.data_folder}" can\'t be opened: {exc}.'
        return Err(Failure(Code.DISK_FAILED, text))
    first_members = cfg.seeds if cfg.is_first_start else ()
    opened = build_replicated_log(
        board.identity, first_members, network, rng, machine.for_log, folder
    )
    return opened.map(
        lambda members: _control_parts(
            cfg, log, seeds, board, network, listen, machine, members, clock, rng
        )
    )


def _control_parts(
    cfg, log, seeds, board, network, listen, machine, members, clock, rng
) -> ControlParts:
    group = TaskGroup("control")
    control = build_control(network, members, machine, clock, has_subscribers=False)
    registry = Registry(cfg.heartbeat_s)
    publishing = start_publishing(
        network,
        registry,
        machine,
        members,
        clock,
        cfg.data_centre,
        stream_times(cfg.bounds),
    )
    leaders = Leaders(network, list(cfg.seeds), clock, rng)
    policy = JoinPolicy(
        cfg.internal_address,
        cfg.is_first_start,
        2 * cfg.tolerated_losses + 1,
        SILENT_SHARE * cfg.bounds.catch_up_s,
    )
    spawn(group, keep_joined(leaders, members, policy, seeds))
    neighbours = Neighbours(Description(cfg.data_centre, cfg.control_address))
    asking = keep_asking(
        neighbours,
        network,
        cfg.internal_address,
        lambda: list(leaders.addresses),
        clock,
    )
    spawn(group, asking)
    watch_leader(log, members)

    async def close() -> None:
        cancel_all(group)
        publishing.close()
        await control.close()
        await members.close()
        await network.close()

    return ControlParts(
        board,
        registry,
        lambda data_centre: recommend(neighbours, data_centre, clock()),
        build_operate(leaders),
        build_read_routes(leaders),
        lambda: _control_state(members, machine, registry, publishing),
        listen,
        close,
    )


def _control_state(members, machine, registry, publishing) -> dict[str, float]:
    """Return what a control daemon believes, for its metrics."""
    status = members.status()
    return {
        "is_leader": float(status.is_leader),
        "term": float(status.term),
        "commit_index": float(status.commit_index),
        "members": float(len(status.members)),
        "table_version": float(machine.routes().version),
        "revision": float(machine.config().revision),
        "servers": float(len(registry.servers)),
        "streams": float(publishing.subscribers()),
    }


def watch_leader(log: EventLog, members) -> None:
    """Record each change of the leader that this member sees."""
    last: list = [None]

    def look() -> None:
        status = members.status()
        seen = (status.term, status.leader_address)
        if seen != last[0]:
            last[0] = seen
            record(
                log,
                "consensus",
                "leader",
                term=status.term,
                leader=status.leader_address,
                members=len(status.members),
            )

    members.watch_applied(look)
