"""Define the log entries and the other state that a member stores on disk."""

from enum import IntEnum

import msgspec

from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.ids import LogIndex, MemberId, Term

# Fits the largest manifest (4 MiB) with the rest of its request.
MAX_COMMAND_BYTES = 5 * 1024 * 1024
NO_MEMBER = MemberId("")


class EntryKind(IntEnum):
    """Number the kinds of entries.

    The numbers are stored on disk and must never change.
    """

    # Appended by a new leader: entries of earlier terms are committed with it.
    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, gc=False):
    """Hold one entry of the log."""

    term: Term
    index: LogIndex
    stamp_ms: int
    kind: EntryKind
    command: bytes = b""


class HardState(msgspec.Struct, frozen=True):
    """Hold the term and vote, which must survive a restart like the entries."""

    term: Term = Term(0)
    voted_for: MemberId = NO_MEMBER


class MemberRecord(msgspec.Struct, frozen=True):
    """Hold the id of this member and the state of its bootstrap.

    ``cluster_id`` is empty until this member has joined or formed a cluster.
    ``is_active`` is false until enough first members have stored the initial
    configuration; an inactive member neither votes nor stores entries. With
    ``may_initiate`` the data folder was created by a process that could propose the
    initial configuration, and so can each later one until there is a configuration.
    With ``is_predefined`` the data folder was created together with the configuration,
    in a start that was known to be the first.
    """

    member_id: MemberId
    cluster_id: str = ""
    initial_members: tuple[Member, ...] = ()
    is_active: bool = False
    may_initiate: bool = False
    is_predefined: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state of the state machine after it applied entry ``index``."""

    index: LogIndex
    term: Term
    stamp_ms: int
    members: tuple[Member, ...]
    state: bytes


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Encode the command of an entry of kind ``MEMBERS``."""
    return msgspec.msgpack.encode(members)


def decode_members(command: bytes) -> tuple[Member, ...]:
    """Decode the command of an entry of kind ``MEMBERS``."""
    return msgspec.msgpack.decode(command, type=tuple[Member, ...])
