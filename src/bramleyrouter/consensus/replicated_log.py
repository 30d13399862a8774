"""Build and close the replicated log of a control daemon."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.consensus.core import build_raft_state
from bramleyrouter.consensus.driver import (
    fail_pending_reads,
    fail_proposals,
    run_writer,
    schedule_timer,
)
from bramleyrouter.consensus.files import FileSystem
from bramleyrouter.consensus.interfaces import LogStatus, ReplicatedLog, StateMachine
from bramleyrouter.consensus.membership_changes import add_member, remove_member
from bramleyrouter.consensus.node import Limits, Node, get_leader_address, start_task
from bramleyrouter.consensus.proposals import propose
from bramleyrouter.consensus.raft_state import get_members
from bramleyrouter.consensus.read_barriers import (
    get_silence_s,
    is_current,
    read_barrier,
    resolve_pending_reads,
)
from bramleyrouter.consensus.request_handlers import register_handlers, run_bootstrap
from bramleyrouter.consensus.storage import Recovered, Storage, open_storage
from bramleyrouter.failures import Failure
from bramleyrouter.wire.network import Network

_ID_BYTES = 8


def generate_id() -> str:
    """Return a random id that is unique over all VMs."""
    return secrets.token_hex(_ID_BYTES)


def _build_node(
    identity: Identity,
    network: Network,
    rng: random.Random,
    machine: StateMachine,
    members: tuple[str, ...],
    wall_clock: Callable[[], float],
    limits: Limits,
    storage: Storage,
    recovered: Recovered,
) -> Node:
    member_record, snapshot = recovered.member_record, recovered.snapshot
    raft = build_raft_state(
        member_record.member_id,
        rng,
        member_record.initial_members,
        recovered.hard,
        snapshot,
        recovered.entries,
        asyncio.get_running_loop().time(),
    )
    raft.snapshot_bytes = recovered.snapshot_bytes
    node = Node(
        identity.internal_address,
        tuple(members),
        network,
        rng,
        wall_clock,
        machine,
        storage,
        raft,
        member_record,
        limits,
    )
    if snapshot is not None:
        machine.restore(snapshot.state)
        node.applied_index = snapshot.index
        node.applied_stamp_ms = snapshot.stamp_ms
    return node


def _build_status(node: Node) -> LogStatus:
    raft = node.raft
    return LogStatus(
        raft.member_id,
        raft.term,
        node.is_leader and node.failure is None and not node.is_closed,
        get_leader_address(node),
        raft.commit_index,
        node.applied_index,
        get_members(raft),
    )


async def _close(node: Node) -> None:
    if node.is_closed:
        return
    node.is_closed = True
    if node.timer is not None:
        node.timer.cancel()
    fail_proposals(node)
    fail_pending_reads(node, Failure(Code.STOPPING, "This member stops."))
    for task in list(node.tasks):
        task.cancel()
    node.storage.fs.close()
    logging.info("consensus: %s closed its log.", node.raft.member_id)


def _build_interface(node: Node) -> ReplicatedLog:
    return ReplicatedLog(
        propose=lambda command, timeout_s: propose(node, command, timeout_s),
        read_barrier=lambda timeout_s: read_barrier(node, timeout_s),
        status=lambda: _build_status(node),
        add_member=lambda member, timeout_s: add_member(node, member, timeout_s),
        remove_member=lambda member_id, timeout_s: remove_member(
            node, member_id, timeout_s
        ),
        watch_applied=node.apply_callbacks.append,
        close=lambda: _close(node),
        is_current=lambda: is_current(node),
        get_silence_s=lambda member_id: get_silence_s(node, member_id),
    )


def build_replicated_log(
    identity: Identity,
    members: tuple[str, ...],
    network: Network,
    rng: random.Random,
    machine: StateMachine,
    fs: FileSystem,
    wall_clock: Callable[[], float] = time.time,
    limits: Limits | None = None,
    new_id: Callable[[], str] = generate_id,
) -> Result[ReplicatedLog, Failure]:
    """Recover the data folder and start this member on the running loop.

    ``members`` are the internal addresses of the first members; a member whose
    own address is not among them, or that finds an existing cluster, waits
    until it is added. ``fs`` is ``files.open_folder(folder)``; it is closed
    with the log. ``rng`` randomises the election timeouts. ``new_id`` creates
    the ids of member and cluster and must never return the same text twice, on
    any VM.

    Fails with ``LOG_CORRUPT``, ``SNAPSHOT_CORRUPT`` or ``DISK_FAILED``.
    """
    limits = limits or Limits()
    opened = open_storage(fs, new_id, limits.segment_bytes)
    if isinstance(opened, Err):
        logging.error("consensus: refused to start: %s", opened.err_value)
        fs.close()
        return opened
    storage, recovered = opened.ok_value
    node = _build_node(
        identity,
        network,
        rng,
        machine,
        members,
        wall_clock,
        limits,
        storage,
        recovered,
    )
    node.step_callbacks.append(lambda: resolve_pending_reads(node))
    register_handlers(node)
    start_task(node, run_writer(node))
    if node.member_record.is_active:
        schedule_timer(node)
    else:
        start_task(node, run_bootstrap(node, new_id))
    return Ok(_build_interface(node))
