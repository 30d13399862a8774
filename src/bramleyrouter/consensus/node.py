"""Hold the state of one running member around its Raft core."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.consensus.entries import MemberRecord
from bramleyrouter.consensus.interfaces import StateMachine
from bramleyrouter.consensus.raft_state import RaftState, Role
from bramleyrouter.consensus.storage import Storage, WriteJob
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, Term
from bramleyrouter.wire.network import Network


@dataclass
class PendingProposal:
    """Hold a proposal whose entry is not applied yet."""

    term: Term
    fut: asyncio.Future


@dataclass
class PendingRead:
    """Hold a read that waits until a majority has confirmed the leadership.

    ``sequence`` is -1 until the heartbeat round for this read starts, and then
    the last sequence used before it: only replies to later requests confirm the
    read. ``read_index`` is the entry that must be applied before the read.
    """

    fut: asyncio.Future
    sequence: int = -1
    read_index: LogIndex = LogIndex(0)


@dataclass
class Limits:
    """Limit the sizes of log, segments and chunks; tests use small values."""

    # A snapshot is taken after this many entries or bytes, so this is about the
    # most that recovery has to read.
    compact_entries: int = 4096
    compact_bytes: int = 8 * 1024 * 1024
    segment_bytes: int = 4 * 1024 * 1024
    chunk_bytes: int = 512 * 1024


@dataclass
class Node:
    """Hold one running member.

    ``jobs`` and ``sync_callbacks`` are the writer's queues of write jobs and of
    callbacks to call after the sync. ``failure`` is set once the disk has
    failed; from then on the member refuses all requests. ``failure_callbacks``
    are called at that moment.
    """

    address: str
    first_members: tuple[str, ...]
    network: Network
    rng: random.Random
    wall_clock: Callable[[], float]
    machine: StateMachine
    storage: Storage
    raft: RaftState
    member_record: MemberRecord
    limits: Limits
    # Whether this member may propose the initial configuration of a new cluster.
    may_initiate: bool = True
    # Number of members whose disks may be lost at the same time.
    tolerated_losses: int = 0
    applied_index: LogIndex = LogIndex(0)
    applied_stamp_ms: int = 0
    applied_bytes: int = 0
    is_compacting: bool = False
    is_closed: bool = False
    failure: Failure | None = None
    jobs: list[WriteJob] = field(default_factory=list)
    sync_callbacks: list[Callable[[], None]] = field(default_factory=list)
    failure_callbacks: list[Callable[[], None]] = field(default_factory=list)
    writer_wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    is_writing: bool = False
    pending_proposals: dict[LogIndex, PendingProposal] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    apply_callbacks: list[Callable[[], None]] = field(default_factory=list)
    # Called after each step of the core.
    step_callbacks: list[Callable[[], None]] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None
    tokens: itertools.count = field(default_factory=lambda: itertools.count(1))
    last_reply_times: dict[str, float] = field(default_factory=dict)

    @property
    def is_leader(self) -> bool:
        """Return whether this member considers itself the leader.

        Another member may have been elected meanwhile.
        """
        return self.raft.role is Role.LEADER


def start_task(node: Node, work) -> asyncio.Task:
    """Start ``work`` as a task that is cancelled when the node is closed."""
    task = asyncio.get_running_loop().create_task(work)
    node.tasks.add(task)
    task.add_done_callback(node.tasks.discard)
    return task


def get_leader_address(node: Node) -> str:
    """Return the address of the leader, or an empty text if it is unknown."""
    for _, members in reversed(node.raft.configs):
        for item in members:
            if item.member_id == node.raft.leader_id:
                return item.address
    return ""
