"""The Raft core: a deterministic step from an event to its effects.

``step`` changes only the state that it is given and performs no input or
output, so that tests can run members through any order of events.
"""

from bramleyrouter.consensus.elections import (
    handle_vote_reply,
    handle_vote_request,
    start_campaign,
)
from bramleyrouter.consensus.entries import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    decode_members,
)
from bramleyrouter.consensus.follower import handle_append, handle_chunk
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import MemoryLog, compact_until, get_term
from bramleyrouter.consensus.messages import (
    AppendReply,
    AppendRequest,
    ChunkReply,
    ChunkRequest,
    VoteReply,
    VoteRequest,
)
from bramleyrouter.consensus.raft_state import (
    ELECTION_MIN_S,
    MAX_UNCOMMITTED_BYTES,
    MAX_UNCOMMITTED_ENTRIES,
    RETAINED_ENTRIES,
    Compacted,
    Effect,
    Event,
    Incoming,
    Persisted,
    Propose,
    Proposed,
    RaftState,
    RequestFailed,
    Role,
    StartHeartbeatRound,
    Tick,
    become_follower,
    get_voters,
    reset_election_timer,
)
from bramleyrouter.consensus.replication import (
    advance_commit,
    append_proposal,
    get_majority_contact_time,
    handle_append_reply,
    handle_chunk_reply,
    handle_request_failure,
    send_heartbeat_round,
)
from bramleyrouter.ids import LogIndex, MemberId, Term

_HANDLERS = {
    VoteRequest: handle_vote_request,
    VoteReply: handle_vote_reply,
    AppendRequest: handle_append,
    AppendReply: handle_append_reply,
    ChunkRequest: handle_chunk,
    ChunkReply: handle_chunk_reply,
}


def build_raft_state(
    member_id: MemberId,
    rng,
    initial_members: tuple[Member, ...],
    hard: HardState,
    snapshot: Snapshot | None,
    entries: list[Entry],
    now: float,
) -> RaftState:
    """Build the state of a member that starts from what its disk stores.

    ``now`` is the loop time in seconds.
    """
    log = MemoryLog()
    configs = [(LogIndex(0), initial_members)]
    if snapshot is not None:
        log.base_index, log.base_term = snapshot.index, snapshot.term
        configs = [(snapshot.index, snapshot.members)]
    log.entries = [entry for entry in entries if entry.index > log.base_index]
    for entry in log.entries:
        if entry.kind is EntryKind.MEMBERS:
            configs.append((entry.index, decode_members(entry.command)))
    state = RaftState(member_id, rng, log, configs, hard.term, hard.voted_for)
    state.commit_index = log.base_index
    state.durable_index, state.durable_term = log.last_index, hard.term
    state.snapshot_index, state.snapshot_term = log.base_index, log.base_term
    stamps = [entry.stamp_ms for entry in log.entries]
    state.stamp_ms = max([snapshot.stamp_ms if snapshot else 0, *stamps])
    # Before it stopped, the member may have replied to a leader that counts on
    # it for its lease, so it must refuse votes for ELECTION_MIN_S.
    state.last_leader_contact_at = now
    reset_election_timer(state, now)
    if get_voters(state) == (member_id,):
        state.election_due = now
    return state


def get_next_wakeup(state: RaftState) -> float:
    """Return the loop time in seconds at which the next ``Tick`` is due."""
    return state.heartbeat_due if state.role is Role.LEADER else state.election_due


def _handle_tick(state: RaftState, now: float) -> list[Effect]:
    if state.role is not Role.LEADER:
        return start_campaign(state, now) if now >= state.election_due else []
    if now - get_majority_contact_time(state, now) >= ELECTION_MIN_S:
        return become_follower(state, state.term, now)
    return send_heartbeat_round(state, now) if now >= state.heartbeat_due else []


def _handle_persisted(state: RaftState, event: Persisted, now: float) -> list[Effect]:
    state.durable_term = max(state.durable_term, event.hard_term)
    # If other entries replaced these during the write, the replacements are not
    # durable yet.
    if get_term(state.log, event.index) == event.index_term:
        state.durable_index = max(state.durable_index, event.index)
    return advance_commit(state, now) if state.role is Role.LEADER else []


def _handle_compacted(state: RaftState, event: Compacted) -> list[Effect]:
    if event.index <= state.snapshot_index:
        return []
    state.snapshot_index, state.snapshot_term = event.index, event.term
    state.snapshot_bytes = event.size
    compact_until(state.log, LogIndex(event.index - RETAINED_ENTRIES))
    while len(state.configs) > 1 and state.configs[1][0] <= state.log.base_index:
        state.configs.pop(0)
    return []


def _handle_propose(state: RaftState, event: Propose, now: float) -> list[Effect]:
    uncommitted_count = state.log.last_index - state.commit_index
    is_full = (
        uncommitted_count >= MAX_UNCOMMITTED_ENTRIES
        or state.uncommitted_bytes >= MAX_UNCOMMITTED_BYTES
    )
    is_members = event.kind is EntryKind.MEMBERS
    # A leader has seen the commit of all earlier membership changes only after
    # the first entry of its own term is committed.
    is_pending = is_members and (
        state.commit_index < max(state.term_start_index, state.configs[-1][0])
    )
    if state.role is not Role.LEADER or is_full or is_pending:
        return [Proposed(event.token, LogIndex(0), Term(0))]
    index, effects = append_proposal(
        state, event.kind, event.command, event.stamp_ms, now
    )
    return [Proposed(event.token, index, state.term), *effects]


def step(state: RaftState, event: Event, now: float) -> list[Effect]:
    """Apply one event at the loop time ``now`` and return its effects.

    The effects must be executed in order. A request from another member has
    exactly one ``SendReply`` among its effects.
    """
    if isinstance(event, Incoming):
        return _HANDLERS[type(event.message)](state, event.message, now)  # type: ignore[operator]
    if isinstance(event, Tick):
        return _handle_tick(state, now)
    if isinstance(event, Persisted):
        return _handle_persisted(state, event, now)
    if isinstance(event, Propose):
        return _handle_propose(state, event, now)
    if isinstance(event, RequestFailed):
        return handle_request_failure(state, event.member_id, event.sequence)
    if isinstance(event, Compacted):
        return _handle_compacted(state, event)
    is_leader = isinstance(event, StartHeartbeatRound) and state.role is Role.LEADER
    return send_heartbeat_round(state, now) if is_leader else []
