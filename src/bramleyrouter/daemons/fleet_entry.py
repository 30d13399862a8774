"""Composition of the entry daemon that serves by route table.

The platform adapter supplies the protocols for callers and servers; all parts
that make decisions are wired here. This module imports nothing of the control
daemon, as each program starts faster without the other's modules.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Result

from bramleyrouter.board.blackboard import Board, Section
from bramleyrouter.conf.fleet import FleetSettings, compute_stream_times
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.daemons.fleet_common import CLUSTER_KEY, build_board
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.fleet.version_reporting import start_version_reporting
from bramleyrouter.fleet.watcher import FleetWatcher, start_fleet_watcher
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.build import GatewayHandle, build_gateway
from bramleyrouter.gateway.exchanges import SendToServer
from bramleyrouter.gateway.gateways import GatewayLimits
from bramleyrouter.gateway.tables import RouteTable
from bramleyrouter.gateway.version_shares import ShareLimits
from bramleyrouter.ids import ServiceName, TableVersion
from bramleyrouter.permits.client import (
    PermitClient,
    acquire_permit,
    close_client,
    set_customers,
)
from bramleyrouter.permits.issuing import PERMIT_LIFETIME_S
from bramleyrouter.permits.stock import IssuerLocation, Stock
from bramleyrouter.telemetry.events import EventLog, record, record_rate_limited
from bramleyrouter.telemetry.gateway_metrics import (
    GatewayMetrics,
    build_observe_permit,
    build_observe_request,
)
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network

# Time between two checks whether this entry daemon is isolated from the other
# data centres, in seconds; the balancer probes readiness once per second.
REACHABILITY_CHECK_INTERVAL_S = 0.2


class EntryParts(NamedTuple):
    """Bundle the wired parts of an entry daemon."""

    board: Board
    gateway: GatewayHandle
    watcher: FleetWatcher
    listen: Callable[[], object]
    metrics: GatewayMetrics
    close: Callable


def build_entry_parts(
    cfg: FleetSettings,
    log: EventLog,
    transport: SendToServer,
    decode_table: Callable[[bytes], Result[RouteTable, Failure]],
    on_table: Callable[[RouteTable], None],
    memory: ByteBudget,
) -> EntryParts:
    """Wire an entry daemon; needs a running event loop.

    ``memory`` bounds the bytes that all its parts hold for others.
    """
    loop = asyncio.get_running_loop()
    board = build_board(cfg)
    network, listen = build_tcp_network(board.identity, CLUSTER_KEY, memory)
    # Holds the result once it is built, as the callbacks below refer to it.
    parts: list[EntryParts] = []

    def record_event(part: str, event: str, **fields) -> None:
        record(log, part, event, **fields)

    def record_rate_limited_event(part: str, event: str, **fields) -> None:
        record_rate_limited(log, part, event, **fields)

    stream_times = compute_stream_times(cfg.bounds)

    def apply_table(version: TableVersion, document: bytes) -> None:
        decoded = decode_table(document)
        if isinstance(decoded, Err):
            # Unexpected: control daemons accept only tables that they can decode.
            record_event(
                "fleet", "bad_table", version=version, reason=str(decoded.err_value)
            )
            return
        parts[0].gateway.set_table(decoded.ok_value)
        limited = {item.name for item in decoded.ok_value.customers if item.rate_per_s}
        set_customers(permits, version, limited)
        on_table(decoded.ok_value)
        if "starting" in board.readiness.reasons:
            board.readiness.reasons.discard("starting")
            board.notify_watchers(Section.READINESS)

    def apply_servers(services: set[ServiceName]) -> None:
        for service in services:
            rows = watcher.state.view.by_service.get(service, {})
            parts[0].gateway.set_servers(service, rows.values())

    def apply_rollouts(revision: int, rollouts: tuple[VersionRollout, ...]) -> None:
        parts[0].gateway.set_rollouts(rollouts)
        reporting.set_rollouts(rollouts)

    watcher = start_fleet_watcher(
        network,
        record_event,
        cfg.data_centre,
        loop.time,
        apply_table,
        apply_servers,
        lambda relays: parts[0].gateway.set_relays(relays),
        lambda data_centre: parts[0].gateway.mark_data_centre_reachable(data_centre),
        stream_times,
        apply_rollouts,
    )
    bounds, metrics = cfg.bounds, GatewayMetrics()
    permits = PermitClient(
        network,
        loop,
        random.Random(),
        cfg.data_centre,
        Stock(PERMIT_LIFETIME_S),
        lambda: [
            IssuerLocation(address, watcher.state.data_centres.get(address))
            for address in watcher.state.members
        ],
        record_rate_limited_event,
        build_observe_permit(metrics),
    )
    gateway = build_gateway(
        loop,
        GatewayLimits(
            cfg.data_centre,
            cfg.internal_address,
            cfg.data_centres,
            stream_times.keepalive_interval_s,
            cfg.cores,
            bounds.cold_factor,
            bounds.cold_slack,
        ),
        ExtraLimits(bounds.extra_ratio, bounds.extra_slack, bounds.extra_window_s),
        transport,
        random.Random(),
        record_event,
        record_rate_limited_event,
        build_observe_request(metrics),
        lambda: watcher.state.data_centres_out,
        watcher.entry_daemons,
        lambda address, payload, on_item, on_end: network.stream(
            address, MessageKind.GATHER_SHARDS, payload, on_item, on_end
        ),
        lambda address, payload: network.send(
            address, MessageKind.GRANT_ATTEMPTS, payload
        ),
        lambda: "stopping" in board.readiness.reasons,
        memory,
        lambda result: metrics.identifications.inc({"result": result}),
        lambda customer, on_permit: acquire_permit(permits, customer, on_permit),
        ShareLimits(bounds.canary_share, bounds.canary_slack, bounds.rollback_s),
        watcher.rollouts_age_s,
    )
    reporting = start_version_reporting(
        LeaderClient(network, list(cfg.seeds), loop.time, random.Random()),
        gateway.list_reports,
        record_event,
    )
    network.serve_stream(MessageKind.GATHER_SHARDS, gateway.serve_delegated)
    network.serve(MessageKind.GRANT_ATTEMPTS, gateway.handle_grant)

    def update_reachability() -> None:
        reasons = board.readiness.reasons
        previous_reasons = set(reasons)
        (reasons.add if gateway.is_cut_off() else reasons.discard)("cut off")
        if reasons != previous_reasons:
            record_event("daemon", "readiness", reasons=sorted(reasons))
            board.notify_watchers(Section.READINESS)

    tasks = BackgroundTasks("readiness")
    spawn(
        tasks,
        run_periodically(
            REACHABILITY_CHECK_INTERVAL_S,
            update_reachability,
            REACHABILITY_CHECK_INTERVAL_S,
        ),
    )

    async def close() -> None:
        cancel_all(tasks)
        close_client(permits)
        reporting.close()
        watcher.close()
        await network.close()

    parts.append(EntryParts(board, gateway, watcher, listen, metrics, close))
    watcher.set_seeds(cfg.seeds)
    return parts[0]
