"""Define the state, events and effects of the Raft core.

The rules are those of Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm" (2014), with the pre-vote, the leader's step-down and the
one-at-a-time membership change of Ongaro's thesis.
"""

import random
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from bramleyrouter.consensus.entries import (
    NO_MEMBER,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    decode_members,
)
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import MemoryLog
from bramleyrouter.consensus.messages import Message, Reply
from bramleyrouter.ids import LogIndex, MemberId, Term

# A round trip between data centres takes about 2 ms and a sync a few ms, so a
# member becomes a candidate only after about four missed heartbeats.
HEARTBEAT_S = 0.1
ELECTION_MIN_S = 0.4
# The spread of the timeouts makes it rare that two of three candidates start
# within one round trip and sync; a new leader is elected within about a second.
ELECTION_MAX_S = 0.8
# Followers refuse votes for ELECTION_MIN_S after a leader's message. The lease
# ends earlier, so that it is safe while clock rates differ by up to a tenth.
LEASE_S = 0.9 * ELECTION_MIN_S
# A follower counts as current for this long after it had all committed entries;
# control daemons confirm configuration revisions on this basis.
MAX_STALENESS_S = 1.0

MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 512 * 1024
MAX_UNCOMMITTED_ENTRIES = 8192
MAX_UNCOMMITTED_BYTES = 32 * 1024 * 1024
MAX_UNANSWERED_REQUESTS = 16
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
# Entries before a snapshot that stay in memory, so that a follower that is a
# little behind receives entries and not the whole snapshot.
RETAINED_ENTRIES = 256


class Role(Enum):
    """Name the role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class Progress:
    """Hold the replication progress of one other member, as the leader sees it.

    ``in_flight_sequence`` is the sequence of the unanswered request that carries
    entries or a chunk, or 0. ``sent_commit_index`` is the commit index in the
    latest request of ``send_entries``. ``unanswered`` maps the sequence of a
    request to its send time; ``last_answered_sequence`` and
    ``last_answered_sent_at`` describe the latest answered request.
    ``chunk_snapshot_index`` is the index of the snapshot that is being sent.
    Times are loop times in seconds.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    in_flight_sequence: int = 0
    sent_commit_index: LogIndex = LogIndex(0)
    unanswered: dict[int, float] = field(default_factory=dict)
    last_answered_sequence: int = 0
    last_answered_sent_at: float = float("-inf")
    chunk_snapshot_index: LogIndex = LogIndex(0)
    chunk_offset: int = 0


@dataclass
class IncomingSnapshot:
    """Hold the data of a snapshot file received so far."""

    index: LogIndex
    term: Term
    data: bytearray = field(default_factory=bytearray)


@dataclass
class RaftState:
    """Hold the whole state of one member's Raft core.

    ``configs`` lists (index, members) with the latest last; a configuration is
    in force as soon as its entry is in the log. ``durable_index`` is the last
    entry and ``durable_term`` the largest term that are synced to disk.
    ``snapshot_index``, ``snapshot_term`` and ``snapshot_bytes`` describe the
    stored snapshot. Times are loop times in seconds.
    """

    member_id: MemberId
    rng: random.Random
    log: MemoryLog
    configs: list[tuple[LogIndex, tuple[Member, ...]]]
    term: Term = Term(0)
    voted_for: MemberId = NO_MEMBER
    role: Role = Role.FOLLOWER
    leader_id: MemberId = NO_MEMBER
    commit_index: LogIndex = LogIndex(0)
    durable_index: LogIndex = LogIndex(0)
    durable_term: Term = Term(0)
    last_leader_contact_at: float = float("-inf")
    # Loop time of the last leader's message after which this member had all
    # entries that the leader had committed.
    caught_up_at: float = float("-inf")
    election_due: float = 0.0
    votes: set[MemberId] = field(default_factory=set)
    snapshot_index: LogIndex = LogIndex(0)
    snapshot_term: Term = Term(0)
    snapshot_bytes: int = 0
    incoming_snapshot: IncomingSnapshot | None = None
    stamp_ms: int = 0
    # The following fields are used by the leader only.
    heartbeat_due: float = 0.0
    sequence: int = 0
    # Index of the no-op entry with which this leader began its term.
    term_start_index: LogIndex = LogIndex(0)
    elected_at: float = 0.0
    progress: dict[MemberId, Progress] = field(default_factory=dict)
    uncommitted_bytes: int = 0


class Tick(msgspec.Struct, frozen=True):
    """Report that the time given by ``get_next_wakeup`` has come."""


class Incoming(msgspec.Struct, frozen=True):
    """Report a message from another member."""

    message: Message


class RequestFailed(msgspec.Struct, frozen=True):
    """Report that a request to ``member_id`` failed or timed out."""

    member_id: MemberId
    sequence: int


class Persisted(msgspec.Struct, frozen=True):
    """Report that the term and the log up to an entry are durable."""

    hard_term: Term
    index: LogIndex
    index_term: Term


class Compacted(msgspec.Struct, frozen=True):
    """Report that a snapshot of the state after ``index`` is durable."""

    index: LogIndex
    term: Term
    size: int


class Propose(msgspec.Struct, frozen=True):
    """Append an entry if this member is the leader; ``Proposed`` is the result."""

    token: int
    kind: EntryKind
    command: bytes
    stamp_ms: int


class StartHeartbeatRound(msgspec.Struct, frozen=True):
    """Send a request or heartbeat to all members now, for a read barrier."""


Event = (
    Tick
    | Incoming
    | RequestFailed
    | Persisted
    | Compacted
    | Propose
    | StartHeartbeatRound
)


class PersistHardState(msgspec.Struct, frozen=True):
    """Make the hard state durable."""

    hard: HardState


class PersistEntries(msgspec.Struct, frozen=True):
    """Make entries durable; they replace all stored ones from the first index."""

    entries: tuple[Entry, ...]


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Restore the state machine from a snapshot and store the snapshot.

    ``replaces_log`` also removes every stored entry.
    """

    snapshot: Snapshot
    data: bytes
    replaces_log: bool


class Send(msgspec.Struct, frozen=True):
    """Send a request; ``after_sync`` waits until all earlier saves are durable."""

    message: Message
    after_sync: bool = False


class SendChunk(msgspec.Struct, frozen=True):
    """Send the chunk at ``offset`` of the stored snapshot file."""

    target: MemberId
    sequence: int
    offset: int


class SendReply(msgspec.Struct, frozen=True):
    """Send a reply to the request of this event."""

    message: Reply
    after_sync: bool


class Proposed(msgspec.Struct, frozen=True):
    """Report the index of a proposed entry, or 0 if it was not appended."""

    token: int
    index: LogIndex
    term: Term


Effect = (
    PersistHardState
    | PersistEntries
    | InstallSnapshot
    | Send
    | SendChunk
    | SendReply
    | Proposed
)


def get_members(state: RaftState) -> tuple[Member, ...]:
    """Return the members of the configuration in force."""
    return state.configs[-1][1]


def get_voters(state: RaftState) -> tuple[MemberId, ...]:
    """Return the ids of the voters of the configuration in force."""
    return tuple(item.member_id for item in get_members(state) if item.is_voter)


def is_majority(state: RaftState, ids: set[MemberId]) -> bool:
    """Return whether ``ids`` contain a majority of the voters."""
    voters = get_voters(state)
    return 2 * sum(item in ids for item in voters) > len(voters)


def compute_majority_value(state: RaftState, values: dict[MemberId, float]) -> float:
    """Return the largest value that a majority of the voters has reached."""
    reached = sorted((values[item] for item in get_voters(state)), reverse=True)
    return reached[len(reached) // 2] if reached else float("-inf")


def reset_election_timer(state: RaftState, now: float) -> None:
    """Choose a new random election timeout, counted from ``now``."""
    state.election_due = now + state.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)


def build_hard_state(state: RaftState) -> HardState:
    """Build the hard state, which must be durable."""
    return HardState(state.term, state.voted_for)


def become_follower(state: RaftState, term: Term, now: float) -> list[Effect]:
    """Become a follower in ``term``, which is at least the current term."""
    was_leader = state.role is Role.LEADER
    state.role = Role.FOLLOWER
    state.leader_id = NO_MEMBER
    state.votes = set()
    state.progress = {}
    state.uncommitted_bytes = 0
    if was_leader:
        reset_election_timer(state, now)
    if term <= state.term:
        return []
    state.term, state.voted_for = term, NO_MEMBER
    return [PersistHardState(build_hard_state(state))]


def add_entries(state: RaftState, entries: tuple[Entry, ...]) -> list[Effect]:
    """Append entries to the log and put configurations among them in force."""
    state.log.entries.extend(entries)
    for entry in entries:
        state.stamp_ms = max(state.stamp_ms, entry.stamp_ms)
        if entry.kind is EntryKind.MEMBERS:
            state.configs.append((entry.index, decode_members(entry.command)))
    return [PersistEntries(entries)]
