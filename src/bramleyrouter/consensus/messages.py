"""Define the messages between the members of the log."""

import msgspec

from bramleyrouter.consensus.entries import Entry
from bramleyrouter.ids import LogIndex, MemberId, Term


class VoteRequest(msgspec.Struct, frozen=True):
    """Request a vote, or with ``is_pre`` a pre-vote, which changes no state.

    ``term`` is the term to be elected for; ``last_index`` and ``last_term``
    are those of the candidate's last entry.
    """

    sender: MemberId
    target: MemberId
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre: bool


class VoteReply(msgspec.Struct, frozen=True):
    """Reply to ``VoteRequest``; ``campaign`` is the term of the request."""

    sender: MemberId
    target: MemberId
    term: Term
    campaign: Term
    is_granted: bool
    is_pre: bool


class AppendRequest(msgspec.Struct, frozen=True):
    """Carry the entries after ``prev_index``; without entries, a heartbeat."""

    sender: MemberId
    target: MemberId
    term: Term
    sequence: int
    prev_index: LogIndex
    prev_term: Term
    commit_index: LogIndex
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True):
    """Reply to ``AppendRequest``.

    ``match_index`` is the last entry that is durable and equal to the
    leader's. On a mismatch ``conflict_term`` is the term of the follower's
    conflicting entry and ``conflict_index`` the first index of that term; if
    the follower's log is too short, they are 0 and the index after its last
    entry.
    """

    sender: MemberId
    target: MemberId
    term: Term
    sequence: int
    is_matched: bool
    match_index: LogIndex = LogIndex(0)
    conflict_index: LogIndex = LogIndex(0)
    conflict_term: Term = Term(0)


class ChunkRequest(msgspec.Struct, frozen=True):
    """Carry a chunk of the snapshot file; ``is_last`` marks the last one."""

    sender: MemberId
    target: MemberId
    term: Term
    sequence: int
    index: LogIndex
    index_term: Term
    offset: int
    data: bytes
    is_last: bool


class ChunkReply(msgspec.Struct, frozen=True):
    """Reply to ``ChunkRequest``; ``offset`` is that of the next chunk to send."""

    sender: MemberId
    target: MemberId
    term: Term
    sequence: int
    index: LogIndex
    offset: int
    is_installed: bool


Request = VoteRequest | AppendRequest | ChunkRequest
Reply = VoteReply | AppendReply | ChunkReply
Message = Request | Reply
