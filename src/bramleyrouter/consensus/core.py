"""The Raft core: one step from an event to the effects it has.

``step`` changes only the state it is given and performs no input or output,
so that tests drive members through any order of events.
"""

from bramleyrouter.consensus.elections import (
    on_vote_reply,
    on_vote_request,
    start_campaign,
)
from bramleyrouter.consensus.entries import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    decode_members,
)
from bramleyrouter.consensus.following import on_append, on_chunk
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import MemoryLog, drop_until, term_at
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
    KEPT_ENTRIES,
    MAX_UNCOMMITTED_BYTES,
    MAX_UNCOMMITTED_ENTRIES,
    BeginRound,
    Compacted,
    Effect,
    Event,
    Incoming,
    Persisted,
    Propose,
    Proposed,
    RaftState,
    Role,
    Tick,
    Unreached,
    become_follower,
    reset_election,
    voters_of,
)
from bramleyrouter.consensus.replication import (
    advance_commit,
    broadcast,
    contact_time,
    on_append_reply,
    on_chunk_reply,
    on_unreached,
    propose,
)
from bramleyrouter.ids import LogIndex, MemberId, Term

_HANDLERS = {
    VoteRequest: on_vote_request,
    VoteReply: on_vote_reply,
    AppendRequest: on_append,
    AppendReply: on_append_reply,
    ChunkRequest: on_chunk,
    ChunkReply: on_chunk_reply,
}


def make_state(
    member_id: MemberId,
    rng,
    initial_members: tuple[Member, ...],
    hard: HardState,
    snapshot: Snapshot | None,
    entries: list[Entry],
    now: float,
) -> RaftState:
    """Return the state of a member that starts with what its disk holds."""
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
    # It may have promised a leader a lease just before it stopped.
    state.last_heard = now
    reset_election(state, now)
    if voters_of(state) == (member_id,):
        state.election_due = now
    return state


def next_wakeup(state: RaftState) -> float:
    """Return the time at which the next ``Tick`` is due."""
    return state.heartbeat_due if state.role is Role.LEADER else state.election_due


def _tick(state: RaftState, now: float) -> list[Effect]:
    if state.role is not Role.LEADER:
        return start_campaign(state, now) if now >= state.election_due else []
    if now - contact_time(state, now) >= ELECTION_MIN_S:
        return become_follower(state, state.term, now)
    return broadcast(state, now) if now >= state.heartbeat_due else []


def _persisted(state: RaftState, event: Persisted, now: float) -> list[Effect]:
    state.durable_term = max(state.durable_term, event.hard_term)
    # Entries that were replaced meanwhile are not durable in their new form.
    if term_at(state.log, event.index) == event.index_term:
        state.durable_index = max(state.durable_index, event.index)
    return advance_commit(state, now) if state.role is Role.LEADER else []


def _compacted(state: RaftState, event: Compacted) -> list[Effect]:
    if event.index <= state.snapshot_index:
        return []
    state.snapshot_index, state.snapshot_term = event.index, event.term
    state.snapshot_bytes = event.size
    drop_until(state.log, LogIndex(event.index - KEPT_ENTRIES))
    while len(state.configs) > 1 and state.configs[1][0] <= state.log.base_index:
        state.configs.pop(0)
    return []


def _propose(state: RaftState, event: Propose, now: float) -> list[Effect]:
    waiting = state.log.last_index - state.commit_index
    is_full = (
        waiting >= MAX_UNCOMMITTED_ENTRIES
        or state.uncommitted_bytes >= MAX_UNCOMMITTED_BYTES
    )
    is_members = event.kind is EntryKind.MEMBERS
    # A leader knows of all earlier changes once it committed its first entry.
    is_pending = is_members and (
        state.commit_index < max(state.term_start, state.configs[-1][0])
    )
    if state.role is not Role.LEADER or is_full or is_pending:
        return [Proposed(event.token, LogIndex(0), Term(0))]
    index, effects = propose(state, event.kind, event.command, event.stamp_ms, now)
    return [Proposed(event.token, index, state.term), *effects]


def step(state: RaftState, event: Event, now: float) -> list[Effect]:
    """Apply one event at the monotonic time ``now``; return its effects.

    The effects must be carried out in order. A request is answered by exactly
    one ``Answer``.
    """
    if isinstance(event, Incoming):
        return _HANDLERS[type(event.message)](state, event.message, now)  # type: ignore[operator]
    if isinstance(event, Tick):
        return _tick(state, now)
    if isinstance(event, Persisted):
        return _persisted(state, event, now)
    if isinstance(event, Propose):
        return _propose(state, event, now)
    if isinstance(event, Unreached):
        return on_unreached(state, event.member_id, event.sequence)
    if isinstance(event, Compacted):
        return _compacted(state, event)
    is_leader = isinstance(event, BeginRound) and state.role is Role.LEADER
    return broadcast(state, now) if is_leader else []
