"""Composition of the control daemon that serves by route table.

The adapter of a platform hands in how operators and servers speak; everything
that decides is wired here.
"""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from result import Err, Result

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import FleetSettings, compute_stream_times
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_operate, build_read_routes
from bramleyrouter.control.joining import JoinPolicy, maintain_log_membership
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.control.service import start_control_service
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.daemons.fleet import CLUSTER_KEY, board_of
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.control_peers import (
    ControlLocation,
    ControlPeers,
    poll_control_peers,
    recommend_control_address,
)
from bramleyrouter.fleet.publishing import start_fleet_publisher
from bramleyrouter.fleet.registry import ServerRegistry
from bramleyrouter.ids import DataCentre
from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.tcp import build_tcp_network

# Part of the time in which a VM must count again after it came back that a
# silent voter is still waited for.
SILENT_SHARE = 0.6


class ControlParts(NamedTuple):
    """Bundle the wired parts of a control daemon."""

    board: Board
    registry: ServerRegistry
    recommend_control_address: Callable[[DataCentre], str]
    operate: Callable
    read_routes: Callable
    state: Callable[[], dict[str, float]]
    listen: Callable[[], None]
    close: Callable


def build_control_parts(
    cfg: FleetSettings, log: EventLog, seeds: Callable[[], tuple[str, ...]]
) -> Result[ControlParts, Failure]:
    """Wire a control daemon; needs a running event loop.

    Fails with the codes of the log's recovery.
    """
    loop = asyncio.get_running_loop()
    clock, rng = loop.time, random.Random()
    board = board_of(cfg)
    network, listen = build_tcp_network(board.identity, CLUSTER_KEY)
    machine = build_control_state_machine()
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
    group = BackgroundTasks("control")
    control = start_control_service(
        network, members, machine, clock, has_subscribers=False
    )
    registry = ServerRegistry(cfg.heartbeat_s)
    publishing = start_fleet_publisher(
        network,
        registry,
        machine,
        members,
        clock,
        cfg.data_centre,
        compute_stream_times(cfg.bounds),
    )
    leader_client = LeaderClient(network, list(cfg.seeds), clock, rng)
    policy = JoinPolicy(
        cfg.internal_address,
        cfg.is_first_start,
        2 * cfg.tolerated_losses + 1,
        SILENT_SHARE * cfg.bounds.catch_up_s,
    )
    spawn(group, maintain_log_membership(leader_client, members, policy, seeds))
    control_peers = ControlPeers(ControlLocation(cfg.data_centre, cfg.control_address))
    asking = poll_control_peers(
        control_peers,
        network,
        cfg.internal_address,
        lambda: list(leader_client.addresses),
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
        lambda data_centre: recommend_control_address(
            control_peers, data_centre, clock()
        ),
        build_operate(leader_client),
        build_read_routes(leader_client),
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
        "streams": float(publishing.count_subscribers()),
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
