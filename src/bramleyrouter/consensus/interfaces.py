"""What the replicated log needs of a state machine and offers to it."""

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
    ``stamp_ms`` is the leader's wall clock in milliseconds, never smaller than
    an earlier entry's. ``snapshot`` and ``restore`` are inverse.
    """

    apply: Callable[[LogIndex, int, bytes], bytes]
    snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


class LogStatus(msgspec.Struct, frozen=True):
    """Describe a member's view of the log."""

    member_id: MemberId
    term: Term
    is_leader: bool
    leader_address: str
    commit_index: LogIndex
    applied_index: LogIndex
    members: tuple[Member, ...]


class ReplicatedLog(NamedTuple):
    """Bundle what a control daemon does with the log.

    ``propose(command, timeout_s)`` returns the state machine's reply once the
    entry is committed and applied. ``NOT_LEADER`` means that it was not
    proposed here (``text`` then holds the leader's address, or is empty);
    ``NO_MAJORITY`` means that it may still be accepted later.
    ``read_barrier(timeout_s)`` returns once this member is the leader, proved
    so by a majority, and has applied all entries committed before the call.
    ``watch_applied(callback)`` calls after each applied entry.
    ``add_member`` takes a member through the state of a learner; an empty id
    stands for whichever member answers at the address. It may be repeated.
    ``get_silence_s(member_id)`` is the time, in seconds, since a member answered
    this leader; 0 where this member does not lead or does not know.
    ``is_current()`` says whether this member leads with a valid lease, or
    heard from a leader within the last second.
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
