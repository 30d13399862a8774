"""Run elections: pre-votes, votes and the start of a leader's term."""

from bramleyrouter.consensus.entries import NO_MEMBER, Entry, EntryKind
from bramleyrouter.consensus.messages import VoteReply, VoteRequest
from bramleyrouter.consensus.raft_state import (
    ELECTION_MIN_S,
    Effect,
    PersistHardState,
    RaftState,
    Role,
    Send,
    SendReply,
    add_entries,
    become_follower,
    build_hard_state,
    get_voters,
    is_majority,
    reset_election_timer,
)
from bramleyrouter.consensus.replication import (
    get_majority_contact_time,
    send_heartbeat_round,
    update_progress_table,
)
from bramleyrouter.ids import LogIndex, Term


def start_campaign(state: RaftState, now: float) -> list[Effect]:
    """Request pre-votes before an election.

    Without a majority of pre-votes the term is not raised, so an isolated member
    does not depose the leader when it returns.
    """
    reset_election_timer(state, now)
    state.leader_id = NO_MEMBER
    if state.member_id not in get_voters(state):
        return []
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.member_id}
    if is_majority(state, state.votes):
        return _start_election(state, now)
    return _request_votes(state, Term(state.term + 1), True)


def _request_votes(state: RaftState, term: Term, is_pre: bool) -> list[Effect]:
    log = state.log
    return [
        Send(
            VoteRequest(
                state.member_id,
                voter,
                term,
                log.last_index,
                log.last_term,
                is_pre,
            ),
            # The term and the own vote must be durable before a request for
            # votes in this term is sent.
            after_sync=not is_pre,
        )
        for voter in get_voters(state)
        if voter != state.member_id
    ]


def _start_election(state: RaftState, now: float) -> list[Effect]:
    reset_election_timer(state, now)
    state.role = Role.CANDIDATE
    state.term = Term(state.term + 1)
    state.voted_for = state.member_id
    state.votes = {state.member_id}
    effects: list[Effect] = [PersistHardState(build_hard_state(state))]
    if is_majority(state, state.votes):
        return effects + _become_leader(state, now)
    return effects + _request_votes(state, state.term, False)


def _become_leader(state: RaftState, now: float) -> list[Effect]:
    state.role = Role.LEADER
    state.leader_id = state.member_id
    state.elected_at = now
    noop_index = LogIndex(state.log.last_index + 1)
    state.term_start_index = noop_index
    state.progress = {}
    update_progress_table(state)
    uncommitted = state.log.entries[state.commit_index - state.log.base_index :]
    state.uncommitted_bytes = sum(len(entry.command) for entry in uncommitted)
    # Entries of earlier terms are committed only together with an entry of the
    # leader's own term (Raft paper, section 5.4.2).
    noop = Entry(state.term, noop_index, state.stamp_ms, EntryKind.NOOP)
    return add_entries(state, (noop,)) + send_heartbeat_round(state, now)


def _has_recent_leader_contact(state: RaftState, now: float) -> bool:
    """Return whether the last leader contact is so recent that votes are refused.

    This prevents a returning member from deposing a leader, and the leader's
    lease depends on it.
    """
    last_contact_at = state.last_leader_contact_at
    if state.role is Role.LEADER:
        last_contact_at = get_majority_contact_time(state, now)
    return now - last_contact_at < ELECTION_MIN_S


def _is_up_to_date(state: RaftState, request: VoteRequest) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def _build_vote_reply(
    state: RaftState, request: VoteRequest, is_granted: bool
) -> SendReply:
    reply = VoteReply(
        state.member_id,
        request.sender,
        state.term,
        request.term,
        is_granted,
        request.is_pre,
    )
    return SendReply(reply, after_sync=not request.is_pre)


def handle_vote_request(
    state: RaftState, request: VoteRequest, now: float
) -> list[Effect]:
    """Grant or refuse a vote or a pre-vote."""
    if _has_recent_leader_contact(state, now):
        return [_build_vote_reply(state, request, False)]
    is_up_to_date = _is_up_to_date(state, request)
    if request.is_pre:
        is_granted = request.term > state.term and is_up_to_date
        return [_build_vote_reply(state, request, is_granted)]
    effects: list[Effect] = []
    if request.term > state.term:
        effects += become_follower(state, request.term, now)
    is_granted = (
        request.term == state.term
        and state.voted_for in (NO_MEMBER, request.sender)
        and is_up_to_date
    )
    if is_granted:
        state.voted_for = request.sender
        reset_election_timer(state, now)
        effects.append(PersistHardState(build_hard_state(state)))
    return [*effects, _build_vote_reply(state, request, is_granted)]


def handle_vote_reply(state: RaftState, reply: VoteReply, now: float) -> list[Effect]:
    """Count a vote or pre-vote.

    A majority of pre-votes starts the election, a majority of votes wins it.
    """
    if reply.term > state.term:
        return become_follower(state, reply.term, now)
    role = Role.PRE_CANDIDATE if reply.is_pre else Role.CANDIDATE
    campaign = state.term + 1 if reply.is_pre else state.term
    if state.role is not role or reply.campaign != campaign or not reply.is_granted:
        return []
    state.votes.add(reply.sender)
    if not is_majority(state, state.votes):
        return []
    return _start_election(state, now) if reply.is_pre else _become_leader(state, now)
