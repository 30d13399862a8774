"""The follower's side of replication: entries and snapshots of the leader."""

from bramleyrouter.consensus.entries import Entry
from bramleyrouter.consensus.memory_log import (
    first_index_of_term,
    restart_at,
    term_at,
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
    Answer,
    Effect,
    IncomingSnapshot,
    Install,
    RaftState,
    Role,
    add_entries,
    become_follower,
    reset_election,
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
    state.last_heard = now
    reset_election(state, now)
    return effects


def _append_answer(
    state: RaftState,
    request: AppendRequest,
    is_matched: bool,
    match: int = 0,
    conflict_index: int = 0,
    conflict_term: int = 0,
) -> Answer:
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
    return Answer(reply, after_sync=not is_durable)


def _mismatch(state: RaftState, request: AppendRequest) -> Answer | None:
    """Return the answer when the log lacks the entry before the request's."""
    prev, log = request.prev_index, state.log
    if prev > log.last_index:
        return _append_answer(state, request, False, 0, log.last_index + 1)
    term = term_at(log, prev)
    # Entries before the base are committed, so they are the leader's too.
    if prev < log.base_index or term == request.prev_term:
        return None
    first = first_index_of_term(log, prev)
    return _append_answer(state, request, False, 0, first, term or 0)


def _new_entries(state: RaftState, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Return the entries from the first that the log does not hold."""
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if term_at(state.log, entry.index) != entry.term:
            return entries[position:]
    return ()


def _drop_conflicting(state: RaftState, index: LogIndex) -> None:
    if index > state.log.last_index:
        return
    if index <= state.commit_index:
        raise RuntimeError(f'Entry "{index}" is committed and would be replaced.')
    truncate_from(state.log, index)
    state.durable_index = min(state.durable_index, LogIndex(index - 1))
    while state.configs[-1][0] >= index:
        state.configs.pop()


def on_append(state: RaftState, request: AppendRequest, now: float) -> list[Effect]:
    """Take the leader's entries, or say where the logs part."""
    if request.term < state.term:
        return [_append_answer(state, request, False)]
    effects = _accept_leader(state, request, now)
    mismatch = _mismatch(state, request)
    if mismatch is not None:
        return [*effects, mismatch]
    fresh = _new_entries(state, request.entries)
    if fresh:
        _drop_conflicting(state, fresh[0].index)
        effects += add_entries(state, fresh)
    match = LogIndex(request.prev_index + len(request.entries))
    committed = min(request.commit_index, match)
    state.commit_index = max(state.commit_index, committed)
    if state.commit_index >= request.commit_index:
        state.caught_up_at = now
    return [*effects, _append_answer(state, request, True, match)]


def _chunk_answer(
    state: RaftState, request: ChunkRequest, offset: int, is_installed: bool
) -> Answer:
    reply = ChunkReply(
        state.member_id,
        request.sender,
        state.term,
        request.sequence,
        request.index,
        offset,
        is_installed,
    )
    return Answer(reply, after_sync=True)


def _collect(state: RaftState, request: ChunkRequest) -> bytearray:
    """Add a chunk that continues what was received; return all of it."""
    incoming = state.incoming
    wanted = (request.index, request.index_term)
    if incoming is None or (incoming.index, incoming.term) != wanted:
        incoming = IncomingSnapshot(request.index, request.index_term)
        state.incoming = incoming
    if request.offset == len(incoming.data):
        incoming.data += request.data
    return incoming.data


def _install(state: RaftState, data: bytes) -> Install | None:
    decoded = decode_snapshot(data)
    if decoded.is_err():
        return None
    snapshot = decoded.unwrap()
    holds_it = term_at(state.log, snapshot.index) == snapshot.term
    restart_at(state.log, snapshot.index, snapshot.term)
    later = [item for item in state.configs if item[0] > snapshot.index]
    state.configs = [(snapshot.index, snapshot.members)]
    if holds_it:
        state.configs += later
    else:
        state.durable_index = LogIndex(0)
    state.commit_index = max(state.commit_index, snapshot.index)
    state.stamp_ms = max(state.stamp_ms, snapshot.stamp_ms)
    state.snapshot_index, state.snapshot_term = snapshot.index, snapshot.term
    state.snapshot_bytes = len(data)
    return Install(snapshot, data, not holds_it)


def on_chunk(state: RaftState, request: ChunkRequest, now: float) -> list[Effect]:
    """Collect the leader's snapshot and install it when it is whole.

    A snapshot that does not decode is asked for again from its start.
    """
    if request.term < state.term:
        return [_chunk_answer(state, request, 0, False)]
    effects = _accept_leader(state, request, now)
    if request.index <= state.commit_index:
        state.incoming = None
        return [*effects, _chunk_answer(state, request, 0, True)]
    data = _collect(state, request)
    is_whole = request.is_last and len(data) == request.offset + len(request.data)
    if not is_whole and len(data) <= MAX_SNAPSHOT_BYTES:
        return [*effects, _chunk_answer(state, request, len(data), False)]
    state.incoming = None
    install = _install(state, bytes(data)) if is_whole else None
    if install is None:
        return [*effects, _chunk_answer(state, request, 0, False)]
    return [*effects, install, _chunk_answer(state, request, 0, True)]
