"""Build and close the replicated log of a control daemon."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from absl import logging
from result import Err, Ok, Result

from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.consensus.bootstrap import (
    build_predefined_record,
    can_predefine,
)
from bramleyrouter.consensus.core import build_raft_state
from bramleyrouter.consensus.driver import (
    fail_pending_reads,
    fail_proposals,
    run_writer,
    schedule_timer,
)
from bramleyrouter.consensus.entries import MemberRecord
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
from bramleyrouter.consensus.storage import (
    Recovered,
    Storage,
    open_durable_storage,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.network import Network

_ID_BYTES = 8
# Interval at which a member tries to open its data folder again after a disk failure.
REOPEN_INTERVAL_S = 0.5


def generate_id() -> str:
    """Return a random id that is unique over all VMs."""
    return secrets.token_hex(_ID_BYTES)


@dataclass
class _Member:
    """Hold the running node of a member; a restart after a disk failure replaces it."""

    node: Node
    restart: asyncio.Task | None = None
    is_closed: bool = False


def _build_node(
    address: str,
    network: Network,
    rng: random.Random,
    machine: StateMachine,
    members: tuple[str, ...],
    wall_clock: Callable[[], float],
    limits: Limits,
    storage: Storage,
    recovered: Recovered,
    may_initiate: bool,
    tolerated_losses: int,
    previous: Node | None = None,
) -> Node:
    """Build a member from its recovered data folder.

    With ``previous``, the member that a disk failure stopped, the state machine is
    retained: all entries that it applied are committed, although some of them may not
    have reached this disk.
    """
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
        address,
        tuple(members),
        network,
        rng,
        wall_clock,
        machine,
        storage,
        raft,
        member_record,
        limits,
        may_initiate,
        tolerated_losses,
    )
    if previous is not None:
        node.applied_index = previous.applied_index
        node.applied_stamp_ms = previous.applied_stamp_ms
        node.apply_callbacks = previous.apply_callbacks
    if snapshot is not None and snapshot.index > node.applied_index:
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


def _close_node(node: Node) -> None:
    node.is_closed = True
    if node.timer is not None:
        node.timer.cancel()
    fail_proposals(node)
    fail_pending_reads(node, Failure(Code.STOPPING, "This member stops."))
    for task in list(node.tasks):
        task.cancel()


async def _close(member: _Member) -> None:
    if member.is_closed:
        return
    member.is_closed = True
    if member.restart is not None:
        member.restart.cancel()
    _close_node(member.node)
    member.node.storage.fs.close()
    logging.info("consensus: %s closed its log.", member.node.raft.member_id)


def _build_interface(member: _Member) -> ReplicatedLog:
    return ReplicatedLog(
        propose=lambda command, timeout_s: propose(member.node, command, timeout_s),
        read_barrier=lambda timeout_s: read_barrier(member.node, timeout_s),
        status=lambda: _build_status(member.node),
        add_member=lambda added, timeout_s: add_member(member.node, added, timeout_s),
        remove_member=lambda member_id, timeout_s: remove_member(
            member.node, member_id, timeout_s
        ),
        watch_applied=member.node.apply_callbacks.append,
        close=lambda: _close(member),
        is_current=lambda: is_current(member.node),
        get_silence_s=lambda member_id: get_silence_s(member.node, member_id),
    )


def _start_node(member: _Member, new_id: Callable[[], str]) -> None:
    node = member.node
    node.step_callbacks.append(lambda: resolve_pending_reads(node))
    node.failure_callbacks.append(lambda: _schedule_restart(member, new_id))
    register_handlers(node)
    start_task(node, run_writer(node))
    if node.member_record.is_active:
        schedule_timer(node)
    start_task(node, run_bootstrap(node, new_id))


def _schedule_restart(member: _Member, new_id: Callable[[], str]) -> None:
    # Not a task of the node, as those are cancelled with it.
    member.restart = spawn(BackgroundTasks("consensus"), _restart(member, new_id))


async def _restart(member: _Member, new_id: Callable[[], str]) -> None:
    """Start the member again from its data folder, once that can be written.

    A failed disk costs the cluster this member's vote, so a second failure would
    cost the majority. The restart is as safe as one of the process: only what is
    recovered from the disk counts, and replies to the stopped node are ignored.
    """
    stopped = member.node
    fs, segment_bytes = stopped.storage.fs, stopped.limits.segment_bytes
    last_failure = stopped.failure
    while True:
        await asyncio.sleep(REOPEN_INTERVAL_S)
        opened = await fs.run(lambda: open_durable_storage(fs, new_id, segment_bytes))
        if isinstance(opened, Ok):
            break
        if opened.err_value != last_failure:
            last_failure = opened.err_value
            logging.error("consensus: can't open the log again: %s", last_failure)
    _close_node(stopped)
    storage, recovered = opened.ok_value
    member.node = _build_node(
        stopped.address,
        stopped.network,
        stopped.rng,
        stopped.machine,
        stopped.first_members,
        stopped.wall_clock,
        stopped.limits,
        storage,
        recovered,
        stopped.may_initiate,
        stopped.tolerated_losses,
        stopped,
    )
    logging.warning(
        "consensus: %s started again after a disk failure, in term %d with %d entries.",
        member.node.raft.member_id,
        member.node.raft.term,
        len(recovered.entries),
    )
    _start_node(member, new_id)


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
    may_initiate: bool = True,
    is_first_start: bool = False,
    tolerated_losses: int = 0,
) -> Result[ReplicatedLog, Failure]:
    """Recover the data folder and start this member on the running loop.

    ``members`` are the internal addresses of the first members; a member whose
    own address is not among them, or that finds an existing cluster, waits
    until it is added. Without ``may_initiate`` this member proposes no new cluster to
    them. ``is_first_start`` states that no first member has had a disk before, and must
    never be true again; a majority of them then forms the cluster without the others,
    if it is more than ``tolerated_losses``, the number of disks that may be lost at the
    same time. ``fs`` is ``files.open_folder(folder)``; it is closed with the log.
    ``rng`` randomises the election timeouts. ``new_id`` creates
    the ids of member and cluster and must never return the same text twice, on
    any VM.

    Fails with ``LOG_CORRUPT``, ``SNAPSHOT_CORRUPT`` or ``DISK_FAILED``.
    """
    limits = limits or Limits()
    address = identity.internal_address
    if is_first_start and can_predefine(address, members, tolerated_losses):
        first_record = build_predefined_record(address, members)
    else:
        first_record = MemberRecord(MemberId(new_id()))
    first_record = msgspec.structs.replace(first_record, may_initiate=may_initiate)
    opened = open_durable_storage(fs, new_id, limits.segment_bytes, first_record)
    if isinstance(opened, Err):
        logging.error("consensus: refused to start: %s", opened.err_value)
        fs.close()
        return opened
    storage, recovered = opened.ok_value
    node = _build_node(
        address,
        network,
        rng,
        machine,
        members,
        wall_clock,
        limits,
        storage,
        recovered,
        may_initiate,
        tolerated_losses,
    )
    member = _Member(node)
    _start_node(member, new_id)
    return Ok(_build_interface(member))
