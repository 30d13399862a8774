"""Define the interfaces of the replicated log and of its state machine."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from result import Result

from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, MemberId, Term


class Member(msgspec.Struct, frozen=True):
    """Describe one member of the log; a learner does not vote."""

    member_id: MemberId
    address: str
    is_voter: bool = True


class StateMachine(NamedTuple):
    """Bundle a deterministic state machine.

    ``apply(index, stamp_ms, command)`` returns the reply to the proposer.
    ``stamp_ms`` is the leader's wall-clock time in milliseconds and never
    smaller than that of an earlier entry. ``restore`` loads a state that
    ``snapshot`` returned.
    """

    apply: Callable[[LogIndex, int, bytes], bytes]
    snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


class LogStatus(msgspec.Struct, frozen=True):
    """Describe the state of the log as seen by one member."""

    member_id: MemberId
    term: Term
    is_leader: bool
    leader_address: str
    commit_index: LogIndex
    applied_index: LogIndex
    members: tuple[Member, ...]


class ReplicatedLog(NamedTuple):
    """Bundle the operations of a control daemon on the log.

    ``propose(command, timeout_s)`` returns the state machine's reply once the
    entry is committed and applied. ``NOT_LEADER`` means that it was not
    appended (``text`` is then the leader's address, or empty if unknown);
    ``NO_MAJORITY`` means that it may still be committed later.
    ``read_barrier(timeout_s)`` returns once a majority has confirmed that this
    member is the leader and it has applied all entries committed before the
    call. ``watch_applied(callback)`` registers a callback for each applied
    entry. ``add_member`` adds a member as a learner and then promotes it; an
    empty id selects the member that replies at the address. It may be repeated.
    ``get_silence_s(member_id)`` is the time in seconds since a member last
    replied to this leader, or 0 if this member is not the leader or does not
    replicate to that member. ``is_current()`` returns whether this member is
    the leader with a valid lease, or a follower that had all committed entries
    at a leader's message within the last second.
    """

    propose: Callable[[bytes, float], Awaitable[Result[bytes, Failure]]]
    read_barrier: Callable[[float], Awaitable[Result[None, Failure]]]
    status: Callable[[], LogStatus]
    add_member: Callable[[Member, float], Awaitable[Result[None, Failure]]]
    remove_member: Callable[[MemberId, float], Awaitable[Result[None, Failure]]]
    watch_applied: Callable[[Callable[[], None]], None]
    close: Callable[[], Awaitable[None]]
    is_current: Callable[[], bool]
    get_silence_s: Callable[[MemberId], float]
