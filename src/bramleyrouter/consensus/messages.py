"""Messages between the members of the log."""

import msgspec

from bramleyrouter.consensus.entries import Entry
from bramleyrouter.ids import LogIndex, MemberId, Term


class VoteRequest(msgspec.Struct, frozen=True):
    """Ask for a vote; ``is_pre`` asks without changing any state.

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
    """Answer ``VoteRequest``; ``campaign`` repeats the request's term."""

    sender: MemberId
    target: MemberId
    term: Term
    campaign: Term
    is_granted: bool
    is_pre: bool


class AppendRequest(msgspec.Struct, frozen=True):
    """Carry entries after ``prev_index``; a heartbeat when there are none."""

    sender: MemberId
    target: MemberId
    term: Term
    sequence: int
    prev_index: LogIndex
    prev_term: Term
    commit_index: LogIndex
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True):
    """Answer ``AppendRequest``.

    ``match_index`` is the last entry that is durable and equal to the
    leader's. On a mismatch the hints are the first index of the conflicting
    term, or the index after the follower's last entry with term 0.
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
    """Carry a part of the snapshot file; ``is_last`` ends it."""

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
    """Answer ``ChunkRequest``; ``offset`` is where to go on."""

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
