"""Composition of the control daemon that serves by route table.

The platform adapter supplies the protocols for operators and servers; all parts
that make decisions are wired here.
"""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from result import Err, Result

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import FleetSettings, compute_stream_times
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import (
    build_operate,
    build_read_rollouts,
    build_read_routes,
)
from bramleyrouter.control.joining import JoinPolicy, maintain_log_membership
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.control.rollout_judging import start_rollout_judging
from bramleyrouter.control.service import start_control_service
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.control.version_rollouts import get_sequence
from bramleyrouter.daemons.fleet_common import CLUSTER_KEY, build_board
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.control_peers import (
    ControlLocation,
    ControlPeers,
    poll_control_peers,
    recommend_control_address,
)
from bramleyrouter.fleet.departures import DepartureCalls, start_departures
from bramleyrouter.fleet.publishing import start_fleet_publisher
from bramleyrouter.fleet.registry import ServerRegistry
from bramleyrouter.gateway.tables import RouteTable
from bramleyrouter.ids import DataCentre, Revision, ServiceName
from bramleyrouter.permits.issuing import Issuer, QuotaBounds
from bramleyrouter.permits.server import (
    IssuerFacts,
    build_read_quotas,
    serve_permits,
)
from bramleyrouter.permits.start_reserves import maintain_start_reserve
from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.tcp import build_tcp_network

# A silent voter may be removed from the log after this share of ``catch_up_s``,
# the time within which a VM that came back must count as available again.
SILENT_VOTER_SHARE = 0.6
# Time between two checks whether this daemon is a member of the log, in seconds.
ISSUER_UPDATE_INTERVAL_S = 0.5


class ControlParts(NamedTuple):
    """Bundle the wired parts of a control daemon."""

    board: Board
    registry: ServerRegistry
    recommend_control_address: Callable[[DataCentre], str]
    departures: DepartureCalls
    operate: Callable
    read_routes: Callable
    get_revision: Callable[[], Revision]
    read_rollouts: Callable
    get_rollout_sequence: Callable[[ServiceName], int]
    read_metrics: Callable[[], dict[str, float]]
    close: Callable


def build_control_parts(
    cfg: FleetSettings,
    log: EventLog,
    seeds: Callable[[], tuple[str, ...]],
    memory: ByteBudget | None = None,
    must_be_current: Callable[[bytes], bool] = lambda document: False,
    decode_table: Callable[[bytes], Result[RouteTable, Failure]] | None = None,
) -> Result[ControlParts, Failure]:
    """Wire a control daemon; needs a running event loop.

    ``memory`` bounds the frames that other daemons have not read; without it, they have
    a budget of their own. ``must_be_current`` is that of ``start_fleet_publisher``.
    Without ``decode_table``, no permits are issued.

    Fails with ``DISK_FAILED`` if the data folder can't be opened, or with the
    codes of the log's recovery. Raises ``OSError`` if the internal address can't be
    used. Nothing stays open in both cases.
    """
    loop = asyncio.get_running_loop()
    clock, rng = loop.time, random.Random()
    board = build_board(cfg)
    network, listen = build_tcp_network(board.identity, CLUSTER_KEY, memory)
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
        board.identity,
        cfg.seeds,
        network,
        rng,
        state_machine.for_log,
        folder,
        may_initiate=may_initiate_log(cfg),
        is_first_start=cfg.is_first_start,
        tolerated_losses=cfg.tolerated_losses,
    )
    if isinstance(opened, Err):
        stop_listening()
    return opened.map(
        lambda replicated_log: _assemble_control_parts(
            cfg,
            log,
            seeds,
            board,
            network,
            state_machine,
            replicated_log,
            clock,
            rng,
            must_be_current,
            decode_table,
            folder,
        )
    )


def may_initiate_log(cfg: FleetSettings) -> bool:
    """Return whether this daemon may form the log if all seeds have empty folders.

    Processes that are started again during the first start are not told that it is the
    first. Without them it would never end. Afterwards, so many folders are empty only
    if more VMs have lost their disks than the deployment tolerates.
    """
    return cfg.is_first_start or len(cfg.seeds) > cfg.tolerated_losses


def _assemble_control_parts(
    cfg,
    log,
    seeds,
    board,
    network,
    state_machine,
    replicated_log,
    clock,
    rng,
    must_be_current,
    decode_table,
    folder,
) -> ControlParts:
    tasks = BackgroundTasks("control")
    control = start_control_service(
        network, replicated_log, state_machine, clock, has_subscribers=False
    )
    registry = ServerRegistry(cfg.heartbeat_s)
    publisher = start_fleet_publisher(
        network,
        registry,
        state_machine,
        replicated_log,
        clock,
        cfg.data_centre,
        compute_stream_times(cfg.bounds),
        must_be_current,
    )
    leader_client = LeaderClient(network, list(cfg.seeds), clock, rng)
    departures = start_departures(
        network, registry, state_machine, leader_client, cfg.internal_address, clock
    )
    judging = start_rollout_judging(
        network,
        replicated_log,
        state_machine,
        clock,
        time.time,
        lambda part, event, **fields: record(log, part, event, **fields),
    )
    policy = JoinPolicy(
        cfg.internal_address,
        cfg.is_first_start,
        2 * cfg.tolerated_losses + 1,
        SILENT_VOTER_SHARE * cfg.bounds.catch_up_s,
    )
    spawn(tasks, maintain_log_membership(leader_client, replicated_log, policy, seeds))
    control_peers = ControlPeers(ControlLocation(cfg.data_centre, cfg.control_address))
    polling = poll_control_peers(
        control_peers,
        network,
        cfg.internal_address,
        lambda: list(leader_client.addresses),
        clock,
    )
    spawn(tasks, polling)
    record_leader_changes(log, replicated_log)
    issuer = Issuer(
        QuotaBounds(
            cfg.bounds.quota_window_s, cfg.bounds.quota_excess, cfg.bounds.quota_slack
        )
    )
    record_event = lambda part, event, **fields: record(log, part, event, **fields)
    list_members = lambda: frozenset(
        member.address for member in replicated_log.status().members
    )
    if decode_table is not None:
        update_issuer = serve_permits(
            network,
            issuer,
            IssuerFacts(
                cfg.internal_address,
                cfg.tolerated_losses,
                list_members,
                build_read_quotas(state_machine.routes, decode_table),
            ),
            clock,
            record_event,
        )
        spawn(tasks, run_periodically(ISSUER_UPDATE_INTERVAL_S, update_issuer))
        reserve = maintain_start_reserve(
            folder, issuer, list_members, clock, record_event
        )
        spawn(tasks, reserve)

    async def close() -> None:
        cancel_all(tasks)
        judging.close()
        publisher.close()
        await control.close()
        await replicated_log.close()
        await network.close()

    return ControlParts(
        board,
        registry,
        lambda data_centre: recommend_control_address(
            control_peers, data_centre, clock()
        ),
        departures,
        build_operate(leader_client),
        build_read_routes(leader_client),
        lambda: state_machine.config().revision,
        build_read_rollouts(leader_client),
        lambda service: get_sequence(state_machine.rollouts(), service),
        lambda: _read_control_metrics(
            replicated_log, state_machine, registry, publisher, issuer, judging
        ),
        close,
    )


def _read_control_metrics(
    replicated_log, state_machine, registry, publisher, issuer, judging
) -> dict[str, float]:
    """Return the metric values of a control daemon by name."""
    status = replicated_log.status()
    return {
        "is_leader": float(status.is_leader),
        "term": float(status.term),
        "commit_index": float(status.commit_index),
        "members": float(len(status.members)),
        "table_version": float(state_machine.routes().version),
        "revision": float(state_machine.config().revision),
        "servers": float(len(registry.servers)),
        "streams": float(publisher.count_subscribers()),
        "permits_issued": float(issuer.issued_count),
        "permits_refused": float(issuer.refused_count),
        "open_rollouts": float(judging.count_open()),
    }


def record_leader_changes(log: EventLog, replicated_log) -> None:
    """Record a log event for each change of leader or term that this member sees."""
    last_recorded: list = [None]

    def record_leader_change() -> None:
        status = replicated_log.status()
        current = (status.term, status.leader_address)
        if current != last_recorded[0]:
            last_recorded[0] = current
            record(
                log,
                "consensus",
                "leader",
                term=status.term,
                leader=status.leader_address,
                members=len(status.members),
            )

    replicated_log.watch_applied(record_leader_change)
