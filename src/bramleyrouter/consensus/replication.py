"""Replication on the leader: send entries and advance the commit index."""

from bramleyrouter.consensus.entries import Entry, EntryKind
from bramleyrouter.consensus.memory_log import (
    find_last_index_of_term,
    get_entries_after,
    get_entry,
    get_term,
)
from bramleyrouter.consensus.messages import AppendReply, AppendRequest, ChunkReply
from bramleyrouter.consensus.raft_state import (
    HEARTBEAT_S,
    LEASE_S,
    MAX_BATCH_BYTES,
    MAX_BATCH_ENTRIES,
    MAX_UNANSWERED_REQUESTS,
    Effect,
    Progress,
    RaftState,
    Role,
    Send,
    SendChunk,
    add_entries,
    become_follower,
    compute_majority_value,
    get_members,
    get_voters,
)
from bramleyrouter.ids import LogIndex, MemberId, Term


def _register_request(state: RaftState, progress: Progress, now: float) -> int:
    state.sequence += 1
    progress.unanswered[state.sequence] = now
    return state.sequence


def _build_append_request(
    state: RaftState, target: MemberId, sequence: int, prev: LogIndex, entries
) -> AppendRequest:
    prev_term = get_term(state.log, prev)
    if prev_term is None:
        # The member needs the snapshot. Index 0 matches every log, so this
        # request is a valid heartbeat.
        prev, prev_term = LogIndex(0), Term(0)
    return AppendRequest(
        state.member_id,
        target,
        state.term,
        sequence,
        prev,
        prev_term,
        state.commit_index,
        entries,
    )


def _send_heartbeat(state: RaftState, target: MemberId, now: float) -> list[Effect]:
    progress = state.progress[target]
    if len(progress.unanswered) >= MAX_UNANSWERED_REQUESTS:
        return []
    sequence = _register_request(state, progress, now)
    request = _build_append_request(state, target, sequence, progress.match_index, ())
    return [Send(request)]


def _send_chunk(state: RaftState, target: MemberId, now: float) -> list[Effect]:
    progress = state.progress[target]
    if progress.chunk_snapshot_index != state.snapshot_index:
        progress.chunk_snapshot_index, progress.chunk_offset = state.snapshot_index, 0
    progress.in_flight_sequence = _register_request(state, progress, now)
    return [SendChunk(target, progress.in_flight_sequence, progress.chunk_offset)]


def send_entries(state: RaftState, target: MemberId, now: float) -> list[Effect]:
    """Send the entries that ``target`` lacks, or a chunk of the snapshot.

    Send nothing while an earlier request with entries or a chunk is unanswered.
    """
    progress = state.progress[target]
    if (
        progress.in_flight_sequence
        or len(progress.unanswered) >= MAX_UNANSWERED_REQUESTS
    ):
        return []
    prev = LogIndex(progress.next_index - 1)
    if prev < state.log.base_index:
        return _send_chunk(state, target, now)
    entries = get_entries_after(state.log, prev, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
    sequence = _register_request(state, progress, now)
    progress.in_flight_sequence = sequence
    progress.sent_commit_index = state.commit_index
    return [Send(_build_append_request(state, target, sequence, prev, entries))]


def send_entries_to_all(state: RaftState, now: float) -> list[Effect]:
    """Send entries or a chunk to each member that has no such request in flight."""
    return [
        item for target in state.progress for item in send_entries(state, target, now)
    ]


def send_heartbeat_round(state: RaftState, now: float) -> list[Effect]:
    """Send a request to every member: entries, a chunk, or else a heartbeat."""
    state.heartbeat_due = now + HEARTBEAT_S
    effects: list[Effect] = []
    for target in state.progress:
        sent = send_entries(state, target, now)
        effects += sent or _send_heartbeat(state, target, now)
    return effects


def get_majority_contact_time(state: RaftState, now: float) -> float:
    """Return the loop time of the last confirmed contact with a majority.

    That is the largest time such that a majority of the voters has answered a
    request sent at that time or later. It counts from sending, since a follower
    may have handled the request at any time after that.
    """
    times = {key: item.last_answered_sent_at for key, item in state.progress.items()}
    times[state.member_id] = now
    return max(state.elected_at, compute_majority_value(state, times))


def is_answered_by_majority(state: RaftState, sequence: int) -> bool:
    """Return whether a majority answered a request sent after ``sequence``."""
    answered = {
        key: item.last_answered_sequence for key, item in state.progress.items()
    }
    answered[state.member_id] = state.sequence + 1
    return compute_majority_value(state, dict(answered)) > sequence


def has_valid_lease(state: RaftState, now: float) -> bool:
    """Return whether the lease rules out any other leader at ``now``."""
    if state.role is not Role.LEADER or state.commit_index < state.term_start_index:
        return False
    return now - get_majority_contact_time(state, now) < LEASE_S


def advance_commit(state: RaftState, now: float) -> list[Effect]:
    """Commit the entries that are durable on a majority; notify the members.

    Only entries of the leader's own term are committed by counting replicas;
    earlier ones are committed with them (Raft paper, section 5.4.2).
    """
    match = {key: item.match_index for key, item in state.progress.items()}
    match[state.member_id] = state.durable_index
    index = LogIndex(int(max(0, compute_majority_value(state, dict(match)))))
    if index <= state.commit_index or get_term(state.log, index) != state.term:
        return []
    for number in range(state.commit_index + 1, index + 1):
        state.uncommitted_bytes -= len(get_entry(state.log, LogIndex(number)).command)
    state.commit_index = index
    if state.member_id not in get_voters(state) and state.configs[-1][0] <= index:
        # The membership change that removed this leader is committed.
        return send_entries_to_all(state, now) + become_follower(state, state.term, now)
    return send_entries_to_all(state, now)


def _record_reply(progress: Progress, sequence: int) -> bool:
    """Record a reply; return whether it belongs to the request in flight."""
    sent_at = progress.unanswered.pop(sequence, None)
    if sent_at is not None and sequence > progress.last_answered_sequence:
        progress.last_answered_sequence, progress.last_answered_sent_at = (
            sequence,
            sent_at,
        )
    if progress.in_flight_sequence != sequence:
        return False
    progress.in_flight_sequence = 0
    return True


def _is_reply_current(state: RaftState, reply) -> bool:
    return (
        state.role is Role.LEADER
        and reply.term == state.term
        and reply.sender in state.progress
    )


def _update_next_index(
    state: RaftState, progress: Progress, reply: AppendReply
) -> None:
    """Choose the next entry to send from the follower's conflict hints."""
    next_index = reply.conflict_index
    if reply.conflict_term:
        last_index = find_last_index_of_term(state.log, reply.conflict_term)
        if last_index is not None and last_index < progress.next_index:
            next_index = LogIndex(last_index + 1)
    lowest = LogIndex(progress.match_index + 1)
    progress.next_index = max(lowest, min(next_index, progress.next_index))


def handle_append_reply(
    state: RaftState, reply: AppendReply, now: float
) -> list[Effect]:
    """Record the progress of a member and send it the next entries."""
    if reply.term > state.term:
        return become_follower(state, reply.term, now)
    if not _is_reply_current(state, reply):
        return []
    progress = state.progress[reply.sender]
    was_in_flight = _record_reply(progress, reply.sequence)
    if not reply.is_matched:
        if not was_in_flight:
            return []
        _update_next_index(state, progress, reply)
        return send_entries(state, reply.sender, now)
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = max(progress.next_index, LogIndex(reply.match_index + 1))
    effects = advance_commit(state, now)
    return effects + _send_remaining(state, reply.sender, now)


def _send_remaining(state: RaftState, target: MemberId, now: float) -> list[Effect]:
    progress = state.progress.get(target)
    if progress is None:
        return []
    is_behind = (
        progress.next_index <= state.log.last_index
        or progress.sent_commit_index < state.commit_index
    )
    return send_entries(state, target, now) if is_behind else []


def handle_chunk_reply(state: RaftState, reply: ChunkReply, now: float) -> list[Effect]:
    """Send the next chunk of the snapshot, or the entries after it."""
    if reply.term > state.term:
        return become_follower(state, reply.term, now)
    if not _is_reply_current(state, reply):
        return []
    progress = state.progress[reply.sender]
    if not _record_reply(progress, reply.sequence):
        return []
    if reply.is_installed:
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = LogIndex(progress.match_index + 1)
        progress.chunk_snapshot_index = LogIndex(0)
        return advance_commit(state, now) + _send_remaining(state, reply.sender, now)
    if reply.index == progress.chunk_snapshot_index:
        progress.chunk_offset = min(reply.offset, state.snapshot_bytes)
    return send_entries(state, reply.sender, now)


def handle_request_failure(
    state: RaftState, target: MemberId, sequence: int
) -> list[Effect]:
    """Discard a failed request; the next heartbeat sends its content again."""
    progress = state.progress.get(target)
    if progress is not None:
        progress.unanswered.pop(sequence, None)
        if progress.in_flight_sequence == sequence:
            progress.in_flight_sequence = 0
    return []


def update_progress_table(state: RaftState) -> None:
    """Add and remove progress records to match the configuration in force."""
    others = [item.member_id for item in get_members(state)]
    next_index = LogIndex(state.log.last_index + 1)
    state.progress = {
        key: state.progress.get(key) or Progress(next_index)
        for key in others
        if key != state.member_id
    }


def append_proposal(
    state: RaftState, kind: EntryKind, command: bytes, stamp_ms: int, now: float
) -> tuple[LogIndex, list[Effect]]:
    """Append an entry as the leader; return its index and the effects."""
    index = LogIndex(state.log.last_index + 1)
    stamp = max(stamp_ms, state.stamp_ms)
    effects = add_entries(state, (Entry(state.term, index, stamp, kind, command),))
    state.uncommitted_bytes += len(command)
    if kind is EntryKind.MEMBERS:
        update_progress_table(state)
    return index, effects + send_entries_to_all(state, now)
