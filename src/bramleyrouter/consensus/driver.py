"""Carry out the effects of the Raft core: disk, network, state machine."""

import asyncio

from absl import logging
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.codec import decode_message, encode_message
from bramleyrouter.consensus.core import next_wakeup, step
from bramleyrouter.consensus.entries import EntryKind, Snapshot
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import entry_at, term_at
from bramleyrouter.consensus.messages import (
    AppendRequest,
    ChunkRequest,
    Reply,
    Request,
    VoteRequest,
)
from bramleyrouter.consensus.node import Node, keep_task
from bramleyrouter.consensus.raft_state import (
    ELECTION_MAX_S,
    Answer,
    Compacted,
    Effect,
    Event,
    Incoming,
    Install,
    Persisted,
    Proposed,
    RaftState,
    SaveLog,
    SaveTerm,
    Send,
    SendChunk,
    Tick,
    Unreached,
    members_of,
)
from bramleyrouter.consensus.storage import (
    SNAPSHOT_FILE,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    disk_failure,
    encode_snapshot,
    write_jobs,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, MemberId
from bramleyrouter.wire.kinds import MessageKind

# Shorter than the shortest election timeout, so that a lost request is sent
# again before its follower stops hearing the leader.
REQUEST_TIMEOUT_S = 0.3
# A vote waits for the voter's disk; afterwards the candidate asks anew.
VOTE_TIMEOUT_S = ELECTION_MAX_S
# A follower writes and restores a whole snapshot before its last answer.
CHUNK_TIMEOUT_S = 5.0
# A connection whose peer was silent for so long is built anew: after a
# partition TCP itself may wait many seconds before it sends again.
SILENT_CONNECTION_S = 1.0


def dispatch(node: Node, event: Event) -> list[Answer | Proposed]:
    """Apply one event and carry out its effects; return the answers in it."""
    if node.failure is not None or node.is_closed or not node.phase.is_active:
        return []
    now = asyncio.get_running_loop().time()
    was_leader, old_term = node.is_leader, node.raft.term
    answers: list[Answer | Proposed] = []
    for effect in step(node.raft, event, now):
        if isinstance(effect, Answer | Proposed):
            answers.append(effect)
        else:
            _carry_out(node, effect)
    # A leader that removed itself answers that proposal before it stops.
    _apply_committed(node)
    if was_leader != node.is_leader or old_term != node.raft.term:
        _note_leadership(node, was_leader)
    for hook in node.hooks:
        hook()
    arm_timer(node)
    return answers


def _carry_out(node: Node, effect: Effect) -> None:
    if isinstance(effect, SaveTerm):
        node.jobs.append(SaveHardState(effect.hard))
        node.wake.set()
    elif isinstance(effect, SaveLog):
        node.jobs.append(SaveEntries(effect.entries))
        node.wake.set()
    elif isinstance(effect, Install):
        _install(node, effect)
    elif isinstance(effect, SendChunk):
        _send_chunk(node, effect)
    elif isinstance(effect, Send):
        _send(node, effect)


def _note_leadership(node: Node, was_leader: bool) -> None:
    raft = node.raft
    if node.is_leader:
        logging.info("consensus: %s leads in term %d.", raft.member_id, raft.term)
    elif was_leader:
        logging.info(
            "consensus: %s stopped leading; term %d.", raft.member_id, raft.term
        )
        fail_waiters(node)


def fail_waiters(node: Node) -> None:
    """Tell all proposers that their entries may still be accepted later."""
    text = "This member stopped leading before the entry was accepted."
    failure = Failure(Code.NO_MAJORITY, text)
    for waiter in node.waiters.values():
        if not waiter.fut.done():
            waiter.fut.set_result(Err(failure))
    node.waiters.clear()


def fail_barriers(node: Node, failure: Failure) -> None:
    """Tell all waiting reads that this member can't serve them."""
    for barrier in node.barriers:
        if not barrier.fut.done():
            barrier.fut.set_result(Err(failure))
    node.barriers.clear()


def arm_timer(node: Node) -> None:
    """Wake at the core's next due time; a later due time is found on waking."""
    due = next_wakeup(node.raft)
    if node.timer is not None:
        if node.timer.when() <= due:
            return
        node.timer.cancel()
    node.timer = asyncio.get_running_loop().call_at(due, _on_timer, node)


def _on_timer(node: Node) -> None:
    node.timer = None
    dispatch(node, Tick())


def when_synced(node: Node, callback) -> None:
    """Call ``callback`` once all that was queued so far is durable."""
    if not node.jobs and not node.is_writing and not node.after_sync:
        callback()
        return
    node.after_sync.append(callback)
    node.wake.set()


async def write_loop(node: Node) -> None:
    """Write what is queued; all that is queued during a sync shares the next."""
    while node.failure is None:
        await node.wake.wait()
        node.wake.clear()
        jobs, node.jobs = node.jobs, []
        callbacks, node.after_sync = node.after_sync, []
        if jobs and not await _write(node, jobs):
            return
        for callback in callbacks:
            callback()


async def _write(node: Node, jobs) -> bool:
    raft = node.raft
    # All entries in memory are durable already or are in ``jobs``.
    mark = Persisted(raft.term, raft.log.last_index, raft.log.last_term)
    node.is_writing = True
    try:
        await node.storage.fs.run(lambda: write_jobs(node.storage, jobs))
    except OSError as exc:
        stop_on_disk_failure(node, exc)
        return False
    finally:
        node.is_writing = False
    dispatch(node, mark)
    return True


def stop_on_disk_failure(node: Node, exc: OSError) -> None:
    """Stop this member: what it holds in memory may never become durable."""
    node.failure = disk_failure(exc)
    logging.error("consensus: %s stops: %s", node.raft.member_id, node.failure)
    if node.timer is not None:
        node.timer.cancel()
    fail_waiters(node)
    fail_barriers(node, node.failure)


def _apply_committed(node: Node) -> None:
    raft = node.raft
    applied_any = node.applied_index < raft.commit_index
    while node.applied_index < raft.commit_index:
        entry = entry_at(raft.log, LogIndex(node.applied_index + 1))
        node.applied_index = entry.index
        node.applied_stamp_ms = entry.stamp_ms
        node.applied_bytes += len(entry.command)
        reply = b""
        if entry.kind is EntryKind.COMMAND:
            reply = node.machine.apply(entry.index, entry.stamp_ms, entry.command)
        _answer_waiter(node, entry, reply)
        for callback in node.watchers:
            callback()
    if applied_any:
        _compact_if_due(node)


def _answer_waiter(node: Node, entry, reply: bytes) -> None:
    waiter = node.waiters.pop(entry.index, None)
    if waiter is None or waiter.fut.done():
        return
    if waiter.term == entry.term:
        waiter.fut.set_result(Ok(reply))
        return
    text = f'Another entry was accepted at index "{entry.index}".'
    waiter.fut.set_result(Err(Failure(Code.NO_MAJORITY, text)))


def members_at(raft: RaftState, index: LogIndex) -> tuple[Member, ...]:
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
    term = term_at(raft.log, index)
    assert term is not None, "The applied entry is held until it is compacted."
    members = members_at(raft, index)
    state = node.machine.snapshot()
    data = encode_snapshot(Snapshot(index, term, node.applied_stamp_ms, members, state))
    node.is_compacting = True
    node.applied_bytes = 0
    node.jobs.append(SaveSnapshot(data, index, False))
    node.wake.set()

    def finish() -> None:
        node.is_compacting = False
        dispatch(node, Compacted(index, term, len(data)))

    node.after_sync.append(finish)


def _install(node: Node, effect: Install) -> None:
    snapshot = effect.snapshot
    logging.info(
        "consensus: %s installs the snapshot of index %d.",
        node.raft.member_id,
        snapshot.index,
    )
    node.machine.restore(snapshot.state)
    node.applied_index, node.applied_stamp_ms = snapshot.index, snapshot.stamp_ms
    node.applied_bytes = 0
    job = SaveSnapshot(effect.data, snapshot.index, effect.replaces_log)
    node.jobs.append(job)
    node.wake.set()
    for callback in node.watchers:
        callback()


def _kind_of(message: Request) -> MessageKind:
    if isinstance(message, VoteRequest):
        return MessageKind.PRE_VOTE if message.is_pre else MessageKind.VOTE
    return (
        MessageKind.APPEND
        if isinstance(message, AppendRequest)
        else MessageKind.INSTALL_SNAPSHOT
    )


def _address_of(node: Node, member_id: MemberId) -> str:
    for item in members_of(node.raft):
        if item.member_id == member_id:
            return item.address
    return ""


def _send(node: Node, effect: Send) -> None:
    message = effect.message
    assert isinstance(message, Request)
    is_vote = isinstance(message, VoteRequest)
    timeout_s = VOTE_TIMEOUT_S if is_vote else REQUEST_TIMEOUT_S

    def start() -> None:
        keep_task(node, _exchange(node, message, timeout_s))

    if effect.after_sync:
        when_synced(node, start)
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
    keep_task(node, _exchange(node, request, CHUNK_TIMEOUT_S))


async def _exchange(node: Node, message: Request, timeout_s: float) -> None:
    """Send one request and feed its answer, or the lack of one, to the core."""
    address = _address_of(node, message.target)
    reply = await _ask(node, address, message, timeout_s) if address else None
    if reply is not None:
        dispatch(node, Incoming(reply))
    elif not isinstance(message, VoteRequest):
        dispatch(node, Unreached(message.target, message.sequence))


async def _ask(
    node: Node, address: str, message: Request, timeout_s: float
) -> Reply | None:
    payload = encode_message(node.phase.cluster_id, message)
    outcome = await node.network.call(address, _kind_of(message), payload, timeout_s)
    if isinstance(outcome, Err):
        _note_silence(node, address, outcome.err_value)
        return None
    node.last_replies[address] = asyncio.get_running_loop().time()
    return _read_reply(node, message, outcome.ok_value)


def _read_reply(node: Node, message: Request, payload: bytes) -> Reply | None:
    decoded = decode_message(payload)
    if isinstance(decoded, Err):
        logging.warning("consensus: bad reply: %s", decoded.err_value)
        return None
    cluster_id, reply = decoded.ok_value
    route = (cluster_id, reply.sender, reply.target)
    if route != (node.phase.cluster_id, message.target, message.sender):
        return None
    return reply if isinstance(reply, Reply) else None


def _note_silence(node: Node, address: str, failure: Failure) -> None:
    if failure.code is not Code.PEER_TIMEOUT:
        return
    now = asyncio.get_running_loop().time()
    if now - node.last_replies.setdefault(address, now) >= SILENT_CONNECTION_S:
        node.last_replies[address] = now
        node.network.close_peer(address)
