"""Entries of the log and what else a member keeps on disk."""

from enum import IntEnum

import msgspec

from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.ids import LogIndex, MemberId, Term

# The largest manifest (4 MiB) and its request fit.
MAX_COMMAND_BYTES = 5 * 1024 * 1024
NO_MEMBER = MemberId("")


class EntryKind(IntEnum):
    """Say what an entry carries; stored on disk, never renumbered."""

    # Written by a new leader: entries of earlier terms commit with it.
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
    """Hold what must survive a restart besides the entries."""

    term: Term = Term(0)
    voted_for: MemberId = NO_MEMBER


class MemberRecord(msgspec.Struct, frozen=True):
    """Hold who this member is and how far it got into a cluster.

    ``cluster_id`` is empty until a cluster is known. ``is_active`` is false
    while the first members still have to store the initial configuration; such
    a member neither votes nor stores entries.
    """

    member_id: MemberId
    cluster_id: str = ""
    initial_members: tuple[Member, ...] = ()
    is_active: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state machine's state after the entry ``index``."""

    index: LogIndex
    term: Term
    stamp_ms: int
    members: tuple[Member, ...]
    state: bytes


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Return the command of an entry of kind ``MEMBERS``."""
    return msgspec.msgpack.encode(members)


def decode_members(command: bytes) -> tuple[Member, ...]:
    """Read the command of an entry of kind ``MEMBERS``."""
    return msgspec.msgpack.decode(command, type=tuple[Member, ...])
