"""Replication on a follower: accept the leader's entries and snapshots."""

from bramleyrouter.consensus.entries import Entry
from bramleyrouter.consensus.memory_log import (
    find_first_index_of_term,
    get_term,
    reset_to_snapshot,
    truncate_from,
)
from bramleyrouter.consensus.messages import (
    AppendReply,
    AppendRequest,
    ChunkReply,
    ChunkRequest,
)
from bramleyrouter.consensus.raft_state import (
    MAX_SNAPSHOT_BYTES,
    Effect,
    IncomingSnapshot,
    InstallSnapshot,
    RaftState,
    Role,
    SendReply,
    add_entries,
    become_follower,
    reset_election_timer,
)
from bramleyrouter.consensus.storage import decode_snapshot
from bramleyrouter.ids import LogIndex, Term


def _accept_leader(
    state: RaftState, request: AppendRequest | ChunkRequest, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    if request.term > state.term or state.role is not Role.FOLLOWER:
        effects += become_follower(state, request.term, now)
    state.leader_id = request.sender
    state.last_leader_contact_at = now
    reset_election_timer(state, now)
    return effects


def _build_append_reply(
    state: RaftState,
    request: AppendRequest,
    is_matched: bool,
    match: int = 0,
    conflict_index: int = 0,
    conflict_term: int = 0,
) -> SendReply:
    reply = AppendReply(
        state.member_id,
        request.sender,
        state.term,
        request.sequence,
        is_matched,
        LogIndex(match),
        LogIndex(conflict_index),
        Term(conflict_term),
    )
    is_durable = state.durable_index >= match and state.durable_term >= state.term
    return SendReply(reply, after_sync=not is_durable)


def _build_mismatch_reply(state: RaftState, request: AppendRequest) -> SendReply | None:
    """Build the reply for a mismatch at ``prev_index``, or none if the log matches."""
    prev, log = request.prev_index, state.log
    if prev > log.last_index:
        return _build_append_reply(state, request, False, 0, log.last_index + 1)
    term = get_term(log, prev)
    # Entries before the base are committed, so the leader has the same ones.
    if prev < log.base_index or term == request.prev_term:
        return None
    first = find_first_index_of_term(log, prev)
    return _build_append_reply(state, request, False, 0, first, term or 0)


def _select_new_entries(
    state: RaftState, entries: tuple[Entry, ...]
) -> tuple[Entry, ...]:
    """Return the entries from the first one that the log does not contain."""
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if get_term(state.log, entry.index) != entry.term:
            return entries[position:]
    return ()


def _remove_conflicting(state: RaftState, index: LogIndex) -> None:
    if index > state.log.last_index:
        return
    if index <= state.commit_index:
        raise RuntimeError(f'Entry "{index}" is committed and would be replaced.')
    truncate_from(state.log, index)
    state.durable_index = min(state.durable_index, LogIndex(index - 1))
    while state.configs[-1][0] >= index:
        state.configs.pop()


def handle_append(state: RaftState, request: AppendRequest, now: float) -> list[Effect]:
    """Append the leader's entries, or reply where the logs conflict."""
    if request.term < state.term:
        return [_build_append_reply(state, request, False)]
    effects = _accept_leader(state, request, now)
    mismatch = _build_mismatch_reply(state, request)
    if mismatch is not None:
        return [*effects, mismatch]
    new_entries = _select_new_entries(state, request.entries)
    if new_entries:
        _remove_conflicting(state, new_entries[0].index)
        effects += add_entries(state, new_entries)
    match = LogIndex(request.prev_index + len(request.entries))
    committed = min(request.commit_index, match)
    state.commit_index = max(state.commit_index, committed)
    if state.commit_index >= request.commit_index:
        state.caught_up_at = now
    return [*effects, _build_append_reply(state, request, True, match)]


def _build_chunk_reply(
    state: RaftState, request: ChunkRequest, offset: int, is_installed: bool
) -> SendReply:
    reply = ChunkReply(
        state.member_id,
        request.sender,
        state.term,
        request.sequence,
        request.index,
        offset,
        is_installed,
    )
    return SendReply(reply, after_sync=True)


def _add_chunk(state: RaftState, request: ChunkRequest) -> bytearray:
    """Add the chunk if it follows the received data; return all received data."""
    incoming_snapshot = state.incoming_snapshot
    requested = (request.index, request.index_term)
    if (
        incoming_snapshot is None
        or (incoming_snapshot.index, incoming_snapshot.term) != requested
    ):
        incoming_snapshot = IncomingSnapshot(request.index, request.index_term)
        state.incoming_snapshot = incoming_snapshot
    if request.offset == len(incoming_snapshot.data):
        incoming_snapshot.data += request.data
    return incoming_snapshot.data


def _install_snapshot(state: RaftState, data: bytes) -> InstallSnapshot | None:
    decoded = decode_snapshot(data)
    if decoded.is_err():
        return None
    snapshot = decoded.unwrap()
    has_snapshot_entry = get_term(state.log, snapshot.index) == snapshot.term
    reset_to_snapshot(state.log, snapshot.index, snapshot.term)
    later = [item for item in state.configs if item[0] > snapshot.index]
    state.configs = [(snapshot.index, snapshot.members)]
    if has_snapshot_entry:
        state.configs += later
    else:
        state.durable_index = LogIndex(0)
    state.commit_index = max(state.commit_index, snapshot.index)
    state.stamp_ms = max(state.stamp_ms, snapshot.stamp_ms)
    state.snapshot_index, state.snapshot_term = snapshot.index, snapshot.term
    state.snapshot_bytes = len(data)
    return InstallSnapshot(snapshot, data, not has_snapshot_entry)


def handle_chunk(state: RaftState, request: ChunkRequest, now: float) -> list[Effect]:
    """Add a chunk of the leader's snapshot; install the snapshot when complete.

    If a complete snapshot can't be decoded, the reply requests it again from
    offset 0.
    """
    if request.term < state.term:
        return [_build_chunk_reply(state, request, 0, False)]
    effects = _accept_leader(state, request, now)
    if request.index <= state.commit_index:
        state.incoming_snapshot = None
        return [*effects, _build_chunk_reply(state, request, 0, True)]
    data = _add_chunk(state, request)
    is_complete = request.is_last and len(data) == request.offset + len(request.data)
    if not is_complete and len(data) <= MAX_SNAPSHOT_BYTES:
        return [*effects, _build_chunk_reply(state, request, len(data), False)]
    state.incoming_snapshot = None
    install = _install_snapshot(state, bytes(data)) if is_complete else None
    if install is None:
        return [*effects, _build_chunk_reply(state, request, 0, False)]
    return [*effects, install, _build_chunk_reply(state, request, 0, True)]
