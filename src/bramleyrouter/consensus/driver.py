"""Execute the effects of the Raft core on disk, network and state machine."""

import asyncio

from absl import logging
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.codec import decode_message, encode_message
from bramleyrouter.consensus.core import get_next_wakeup, step
from bramleyrouter.consensus.entries import EntryKind, Snapshot
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import get_entry, get_term
from bramleyrouter.consensus.messages import (
    AppendRequest,
    ChunkRequest,
    Reply,
    Request,
    VoteRequest,
)
from bramleyrouter.consensus.node import Node, start_task
from bramleyrouter.consensus.raft_state import (
    ELECTION_MAX_S,
    Compacted,
    Effect,
    Event,
    Incoming,
    InstallSnapshot,
    Persisted,
    PersistEntries,
    PersistHardState,
    Proposed,
    RaftState,
    RequestFailed,
    Send,
    SendChunk,
    SendReply,
    Tick,
    get_members,
)
from bramleyrouter.consensus.storage import (
    SNAPSHOT_FILE,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    build_disk_failure,
    encode_snapshot,
    write_jobs,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, MemberId
from bramleyrouter.wire.kinds import MessageKind

# Shorter than the shortest election timeout, so that a lost request is repeated
# before its follower starts an election.
REQUEST_TIMEOUT_S = 0.3
# A voter replies only after its disk has synced the vote. After this time the
# candidate starts a new election anyway.
VOTE_TIMEOUT_S = ELECTION_MAX_S
# A follower stores and restores the whole snapshot before its last reply.
CHUNK_TIMEOUT_S = 5.0
# A connection whose peer was silent for this long is closed and opened again:
# after a network partition TCP may wait many seconds before it retransmits.
SILENT_CONNECTION_S = 1.0


def dispatch(node: Node, event: Event) -> list[SendReply | Proposed]:
    """Apply one event, execute its effects and return the replies among them."""
    if node.failure is not None or node.is_closed or not node.member_record.is_active:
        return []
    now = asyncio.get_running_loop().time()
    was_leader, old_term = node.is_leader, node.raft.term
    replies: list[SendReply | Proposed] = []
    for effect in step(node.raft, event, now):
        if isinstance(effect, SendReply | Proposed):
            replies.append(effect)
        else:
            _execute_effect(node, effect)
    # A leader that removed itself must resolve that proposal before it steps
    # down and fails the pending ones.
    _apply_committed(node)
    if was_leader != node.is_leader or old_term != node.raft.term:
        _handle_leadership_change(node, was_leader)
    for callback in node.step_callbacks:
        callback()
    schedule_timer(node)
    return replies


def _execute_effect(node: Node, effect: Effect) -> None:
    if isinstance(effect, PersistHardState):
        node.jobs.append(SaveHardState(effect.hard))
        node.writer_wakeup.set()
    elif isinstance(effect, PersistEntries):
        node.jobs.append(SaveEntries(effect.entries))
        node.writer_wakeup.set()
    elif isinstance(effect, InstallSnapshot):
        _install_snapshot(node, effect)
    elif isinstance(effect, SendChunk):
        _send_chunk(node, effect)
    elif isinstance(effect, Send):
        _send(node, effect)


def _handle_leadership_change(node: Node, was_leader: bool) -> None:
    raft = node.raft
    if node.is_leader:
        logging.info(
            "consensus: %s became leader in term %d.", raft.member_id, raft.term
        )
    elif was_leader:
        logging.info(
            "consensus: %s stepped down as leader; term %d.", raft.member_id, raft.term
        )
        fail_proposals(node)


def fail_proposals(node: Node) -> None:
    """Fail all pending proposals; their entries may still be committed later."""
    text = "This member stopped leading before the entry was accepted."
    failure = Failure(Code.NO_MAJORITY, text)
    for pending in node.pending_proposals.values():
        if not pending.fut.done():
            pending.fut.set_result(Err(failure))
    node.pending_proposals.clear()


def fail_pending_reads(node: Node, failure: Failure) -> None:
    """Fail all pending reads, because this member can't serve them."""
    for pending_read in node.pending_reads:
        if not pending_read.fut.done():
            pending_read.fut.set_result(Err(failure))
    node.pending_reads.clear()


def schedule_timer(node: Node) -> None:
    """Schedule the next ``Tick`` at the time that the core requests.

    A timer that is due earlier stays: when it fires, the due time is read again.
    """
    due = get_next_wakeup(node.raft)
    if node.timer is not None:
        if node.timer.when() <= due:
            return
        node.timer.cancel()
    node.timer = asyncio.get_running_loop().call_at(due, _on_timer, node)


def _on_timer(node: Node) -> None:
    node.timer = None
    dispatch(node, Tick())


def call_when_synced(node: Node, callback) -> None:
    """Call ``callback`` once all write jobs queued so far are durable."""
    if not node.jobs and not node.is_writing and not node.sync_callbacks:
        callback()
        return
    node.sync_callbacks.append(callback)
    node.writer_wakeup.set()


async def run_writer(node: Node) -> None:
    """Write the queued jobs until the disk fails.

    Jobs that are queued during a sync share the next one (group commit).
    """
    while node.failure is None:
        await node.writer_wakeup.wait()
        node.writer_wakeup.clear()
        jobs, node.jobs = node.jobs, []
        callbacks, node.sync_callbacks = node.sync_callbacks, []
        if jobs and not await _write(node, jobs):
            return
        for callback in callbacks:
            callback()


async def _write(node: Node, jobs) -> bool:
    raft = node.raft
    # Every entry in memory is already durable or is in ``jobs``.
    persisted = Persisted(raft.term, raft.log.last_index, raft.log.last_term)
    node.is_writing = True
    try:
        await node.storage.fs.run(lambda: write_jobs(node.storage, jobs))
    except OSError as exc:
        stop_on_disk_failure(node, exc)
        return False
    finally:
        node.is_writing = False
    dispatch(node, persisted)
    return True


def stop_on_disk_failure(node: Node, exc: OSError) -> None:
    """Stop this member, since its state in memory may never become durable.

    Nothing that waits for a sync is sent any more.
    """
    if node.failure is not None:
        return
    node.failure = build_disk_failure(exc)
    logging.error(
        "consensus: %s stopped after a disk failure: %s",
        node.raft.member_id,
        node.failure,
    )
    if node.timer is not None:
        node.timer.cancel()
    node.jobs.clear()
    node.sync_callbacks.clear()
    fail_proposals(node)
    fail_pending_reads(node, node.failure)
    for callback in list(node.failure_callbacks):
        callback()


def _apply_committed(node: Node) -> None:
    raft = node.raft
    has_applied = node.applied_index < raft.commit_index
    while node.applied_index < raft.commit_index:
        entry = get_entry(raft.log, LogIndex(node.applied_index + 1))
        node.applied_index = entry.index
        node.applied_stamp_ms = entry.stamp_ms
        node.applied_bytes += len(entry.command)
        reply = b""
        if entry.kind is EntryKind.COMMAND:
            reply = node.machine.apply(entry.index, entry.stamp_ms, entry.command)
        _resolve_proposal(node, entry, reply)
        for callback in node.apply_callbacks:
            callback()
    if has_applied:
        _compact_if_due(node)


def _resolve_proposal(node: Node, entry, reply: bytes) -> None:
    pending = node.pending_proposals.pop(entry.index, None)
    if pending is None or pending.fut.done():
        return
    if pending.term == entry.term:
        pending.fut.set_result(Ok(reply))
        return
    text = f'Another entry was accepted at index "{entry.index}".'
    pending.fut.set_result(Err(Failure(Code.NO_MAJORITY, text)))


def get_members_at(raft: RaftState, index: LogIndex) -> tuple[Member, ...]:
    """Return the configuration in force at ``index``."""
    return [members for start, members in raft.configs if start <= index][-1]


def _compact_if_due(node: Node) -> None:
    raft, limits = node.raft, node.limits
    is_due = (
        node.applied_index - raft.snapshot_index >= limits.compact_entries
        or node.applied_bytes >= limits.compact_bytes
    )
    if node.is_compacting or not is_due:
        return
    index = node.applied_index
    term = get_term(raft.log, index)
    assert term is not None, (
        "The last applied entry is in memory until it is compacted."
    )
    members = get_members_at(raft, index)
    state = node.machine.snapshot()
    data = encode_snapshot(Snapshot(index, term, node.applied_stamp_ms, members, state))
    node.is_compacting = True
    node.applied_bytes = 0
    node.jobs.append(SaveSnapshot(data, index, False))
    node.writer_wakeup.set()

    def finish() -> None:
        node.is_compacting = False
        dispatch(node, Compacted(index, term, len(data)))

    node.sync_callbacks.append(finish)


def _install_snapshot(node: Node, effect: InstallSnapshot) -> None:
    snapshot = effect.snapshot
    logging.info(
        "consensus: %s is installing the snapshot of index %d.",
        node.raft.member_id,
        snapshot.index,
    )
    # After a disk failure the state machine may be ahead of the log, and it must not
    # go back to an older state.
    if snapshot.index > node.applied_index:
        node.machine.restore(snapshot.state)
        node.applied_index, node.applied_stamp_ms = snapshot.index, snapshot.stamp_ms
        node.applied_bytes = 0
    job = SaveSnapshot(effect.data, snapshot.index, effect.replaces_log)
    node.jobs.append(job)
    node.writer_wakeup.set()
    for callback in node.apply_callbacks:
        callback()


def _get_message_kind(message: Request) -> MessageKind:
    if isinstance(message, VoteRequest):
        return MessageKind.PRE_VOTE if message.is_pre else MessageKind.VOTE
    return (
        MessageKind.APPEND
        if isinstance(message, AppendRequest)
        else MessageKind.INSTALL_SNAPSHOT
    )


def _find_address(node: Node, member_id: MemberId) -> str:
    for item in get_members(node.raft):
        if item.member_id == member_id:
            return item.address
    return ""


def _send(node: Node, effect: Send) -> None:
    message = effect.message
    assert isinstance(message, Request)
    is_vote = isinstance(message, VoteRequest)
    timeout_s = VOTE_TIMEOUT_S if is_vote else REQUEST_TIMEOUT_S

    def start() -> None:
        start_task(node, _send_request(node, message, timeout_s))

    if effect.after_sync:
        call_when_synced(node, start)
    else:
        start()


def _send_chunk(node: Node, effect: SendChunk) -> None:
    raft = node.raft
    size = node.limits.chunk_bytes
    try:
        data = node.storage.fs.read_part(SNAPSHOT_FILE, effect.offset, size)
    except OSError as exc:
        stop_on_disk_failure(node, exc)
        return
    request = ChunkRequest(
        raft.member_id,
        effect.target,
        raft.term,
        effect.sequence,
        raft.snapshot_index,
        raft.snapshot_term,
        effect.offset,
        data,
        effect.offset + len(data) >= raft.snapshot_bytes,
    )
    start_task(node, _send_request(node, request, CHUNK_TIMEOUT_S))


async def _send_request(node: Node, message: Request, timeout_s: float) -> None:
    """Send one request and pass its reply, or its failure, to the core."""
    address = _find_address(node, message.target)
    reply = await _call_member(node, address, message, timeout_s) if address else None
    if reply is not None:
        dispatch(node, Incoming(reply))
    elif not isinstance(message, VoteRequest):
        dispatch(node, RequestFailed(message.target, message.sequence))


async def _call_member(
    node: Node, address: str, message: Request, timeout_s: float
) -> Reply | None:
    payload = encode_message(node.member_record.cluster_id, message)
    outcome = await node.network.call(
        address, _get_message_kind(message), payload, timeout_s
    )
    if isinstance(outcome, Err):
        _close_silent_connection(node, address, outcome.err_value)
        return None
    node.last_reply_times[address] = asyncio.get_running_loop().time()
    return _read_reply(node, message, outcome.ok_value)


def _read_reply(node: Node, message: Request, payload: bytes) -> Reply | None:
    decoded = decode_message(payload)
    if isinstance(decoded, Err):
        logging.warning(
            "consensus: a reply could not be decoded: %s", decoded.err_value
        )
        return None
    cluster_id, reply = decoded.ok_value
    route = (cluster_id, reply.sender, reply.target)
    if route != (node.member_record.cluster_id, message.target, message.sender):
        return None
    return reply if isinstance(reply, Reply) else None


def _close_silent_connection(node: Node, address: str, failure: Failure) -> None:
    if failure.code is not Code.PEER_TIMEOUT:
        return
    now = asyncio.get_running_loop().time()
    if now - node.last_reply_times.setdefault(address, now) >= SILENT_CONNECTION_S:
        node.last_reply_times[address] = now
        node.network.close_peer(address)
