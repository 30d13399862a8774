"""State of one running member, around its Raft core."""

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
    """Hold a proposal that waits until its entry is applied."""

    term: Term
    fut: asyncio.Future


@dataclass
class PendingRead:
    """Hold a read that waits for proof that this member leads.

    ``sequence`` is -1 until its round began.
    """

    fut: asyncio.Future
    sequence: int = -1
    index: LogIndex = LogIndex(0)


@dataclass
class Limits:
    """Bound what the log keeps; tests use small numbers."""

    # Recovery reads at most about this many entries, or this many bytes.
    compact_entries: int = 4096
    compact_bytes: int = 8 * 1024 * 1024
    segment_bytes: int = 4 * 1024 * 1024
    chunk_bytes: int = 512 * 1024


@dataclass
class Node:
    """Hold one running member.

    ``jobs`` and ``after_sync`` wait for the writer. ``failure`` is set once
    the disk failed; from then on the member refuses everything.
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
    applied_index: LogIndex = LogIndex(0)
    applied_stamp_ms: int = 0
    applied_bytes: int = 0
    is_compacting: bool = False
    is_closed: bool = False
    failure: Failure | None = None
    jobs: list[WriteJob] = field(default_factory=list)
    after_sync: list[Callable[[], None]] = field(default_factory=list)
    writer_wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    is_writing: bool = False
    pending_proposals: dict[LogIndex, PendingProposal] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    apply_callbacks: list[Callable[[], None]] = field(default_factory=list)
    # Called after each step of the core.
    step_hooks: list[Callable[[], None]] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None
    tokens: itertools.count = field(default_factory=lambda: itertools.count(1))
    last_reply_times: dict[str, float] = field(default_factory=dict)

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads as far as it knows."""
        return self.raft.role is Role.LEADER


def start_task(node: Node, work) -> asyncio.Task:
    """Run ``work`` until it ends or the node is closed."""
    task = asyncio.get_running_loop().create_task(work)
    node.tasks.add(task)
    task.add_done_callback(node.tasks.discard)
    return task


def leader_address(node: Node) -> str:
    """Return the address of the leader, or an empty text."""
    for _, members in reversed(node.raft.configs):
        for item in members:
            if item.member_id == node.raft.leader_id:
                return item.address
    return ""
