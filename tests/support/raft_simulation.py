"""Simulate Raft members under a schedule that loses, duplicates and reorders.

Only the Raft core runs here, with a model of the network and the disk. So a
schedule may deliver any message at any time, sync or crash any member, and let
clocks jump.
"""

import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.consensus import core
from bramleyrouter.consensus import raft_state as rs
from bramleyrouter.consensus.entries import (
    EntryKind,
    HardState,
    Snapshot,
    encode_members,
)
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.memory_log import get_entry, get_term
from bramleyrouter.consensus.messages import ChunkRequest, Request
from bramleyrouter.consensus.storage import encode_snapshot

CHUNK_BYTES = 40
MAX_PROPOSALS = 60


@dataclass
class Host:
    """Hold one member, its clock, its disk and the effects queued for a sync."""

    raft: rs.RaftState
    clock: float = 0.0
    hard: HardState = HardState()
    entries: list = field(default_factory=list)
    snapshot: Snapshot | None = None
    data: bytes = b""
    queue: list = field(default_factory=list)
    applied: dict = field(default_factory=dict)


@dataclass
class Simulation:
    """Hold all members, the messages in transit and the committed entries."""

    rng: random.Random = field(default_factory=lambda: random.Random(7))
    hosts: dict[str, Host] = field(default_factory=dict)
    lost_hosts: dict[str, Host] = field(default_factory=dict)
    messages: list = field(default_factory=list)
    committed: dict[int, tuple] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    names: itertools.count = field(default_factory=itertools.count)
    proposals: int = 0
    counts: Counter = field(default_factory=Counter)

    def __post_init__(self):
        first = tuple(Member(f"m{next(self.names)}", "") for _ in range(3))
        for member in first:
            self.make_host(member.member_id, first)

    def make_host(self, name, members=()):
        raft = core.build_raft_state(
            name, self.rng, members, HardState(), None, [], 0.0
        )
        self.hosts[name] = Host(raft)

    def step(self, name, event):
        """Apply an event at a member, execute the effects and check the invariants."""
        host = self.hosts[name]
        for effect in core.step(host.raft, event, host.clock):
            self.execute_effect(name, host, effect)
        self.check_invariants(name, host)

    def execute_effect(self, name, host, effect):
        raft = host.raft
        if isinstance(
            effect, rs.PersistHardState | rs.PersistEntries | rs.InstallSnapshot
        ):
            host.queue.append(effect)
            if isinstance(effect, rs.InstallSnapshot):
                state = msgspec.msgpack.decode(effect.snapshot.state, type=dict)
                host.applied = {index: tuple(item) for index, item in state.items()}
                self.counts["installed"] += 1
        elif isinstance(effect, rs.SendChunk):
            end = effect.offset + CHUNK_BYTES
            head = (name, effect.target, raft.term, effect.sequence)
            position = (raft.snapshot_index, raft.snapshot_term, effect.offset)
            data, is_last = host.data[effect.offset : end], end >= len(host.data)
            self.messages.append(ChunkRequest(*head, *position, data, is_last))
        elif not isinstance(effect, rs.Proposed):
            must_wait = effect.after_sync and host.queue
            (host.queue if must_wait else self.messages).append(effect.message)

    def check_invariants(self, name, host):
        """Check for one leader per term and equal, durable committed entries."""
        raft = host.raft
        if raft.role is rs.Role.LEADER:
            assert self.leaders.setdefault(raft.term, name) == name
        start = max(host.applied, default=raft.log.base_index) + 1
        for index in range(start, raft.commit_index + 1):
            entry = get_entry(raft.log, index)
            host.applied[index] = (entry.term, entry.command)
            item = self.committed.setdefault(index, host.applied[index])
            assert item == host.applied[index], f"entry {index} of {name}"
            if raft.role is rs.Role.LEADER:
                assert self.is_durable(raft, entry), f"entry {index} not durable"

    def is_durable(self, raft, entry):
        """Return whether an entry is on the disks of a majority of the voters."""
        disks = [
            self.hosts.get(item) or self.lost_hosts[item]
            for item in rs.get_voters(raft)
        ]
        is_in_snapshot = lambda host: (
            host.snapshot and host.snapshot.index >= entry.index
        )
        is_stored = [
            entry in host.entries or bool(is_in_snapshot(host)) for host in disks
        ]
        return 2 * sum(is_stored) > len(is_stored)

    def sync(self, name):
        """Make a member's queue durable and send the messages that waited for it."""
        host, raft = self.hosts[name], self.hosts[name].raft
        queue, host.queue = host.queue, []
        persisted = rs.Persisted(raft.term, raft.log.last_index, raft.log.last_term)
        self.messages += [effect for effect in queue if not self.save(host, effect)]
        self.step(name, persisted)

    def save(self, host, effect):
        if isinstance(effect, rs.PersistHardState):
            host.hard = effect.hard
        elif isinstance(effect, rs.PersistEntries):
            first = effect.entries[0].index
            host.entries = [item for item in host.entries if item.index < first]
            host.entries += effect.entries
        elif isinstance(effect, rs.InstallSnapshot):
            host.snapshot, host.data = effect.snapshot, effect.data
            if effect.replaces_log:
                host.entries = []
        else:
            return False
        return True

    def crash(self, name):
        """Crash a member and restart it from its disk."""
        host = self.hosts[name]
        for message in host.queue:
            self.fail_request(message)
        host.queue, snapshot = [], host.snapshot
        initial = host.raft.configs[0][1] if host.raft.configs[0][0] == 0 else ()
        host.raft = core.build_raft_state(
            name, self.rng, initial, host.hard, snapshot, host.entries, host.clock
        )
        host.raft.snapshot_bytes = len(host.data)
        limit = snapshot.index if snapshot else 0
        host.applied = {k: v for k, v in host.applied.items() if k <= limit}
        self.counts["crashed"] += 1

    def fail_request(self, message):
        """Report to the sender of a request with a sequence that it failed."""
        if not hasattr(message, "sequence"):
            return
        requester, other = message.sender, message.target
        if not isinstance(message, Request):
            requester, other = other, requester
        if requester in self.hosts:
            self.step(requester, rs.RequestFailed(other, message.sequence))

    def deliver(self, position, is_duplicated=False):
        """Deliver a message in transit; a duplicated one stays in transit."""
        if not self.messages:
            return
        position %= len(self.messages)
        message = self.messages[position]
        if not is_duplicated:
            del self.messages[position]
        if message.target in self.hosts:
            self.step(message.target, rs.Incoming(message))
        else:
            self.fail_request(message)

    # Schedules name the two actions differently: ``deliver`` always takes the
    # oldest message, ``deliver_any`` one at any position.
    deliver_any = deliver

    def deliver_twice(self, position):
        """Deliver a message that stays in transit and will be delivered again."""
        self.deliver(position, is_duplicated=True)

    def drop(self, position):
        """Lose a message."""
        if self.messages:
            self.fail_request(self.messages.pop(position % len(self.messages)))

    def tick(self, name, jump_s):
        """Advance a member's clock by ``jump_s`` seconds, then fire its timer."""
        self.hosts[name].clock += jump_s
        self.step(name, rs.Tick())

    def leader(self):
        """Return the leader of the largest term, if any."""
        is_leading = lambda name: self.hosts[name].raft.role is rs.Role.LEADER
        by_term = lambda name: self.hosts[name].raft.term
        return max(filter(is_leading, self.hosts), key=by_term, default=None)

    def propose(self, name, kind=EntryKind.COMMAND, command=b""):
        self.proposals += self.leader() is not None
        command = command or b"%d" % self.proposals
        self.step(name, rs.Propose(0, kind, command, self.proposals))

    def compact(self, name):
        """Store a snapshot of the entries that a member applied."""
        host, raft = self.hosts[name], self.hosts[name].raft
        index = raft.commit_index
        if host.queue or index <= raft.snapshot_index:
            return
        members = [item for start, item in raft.configs if start <= index][-1]
        state = msgspec.msgpack.encode(host.applied)
        term = get_term(raft.log, index)
        host.snapshot = Snapshot(index, term, raft.stamp_ms, members, state)
        host.data = encode_snapshot(host.snapshot)
        self.step(name, rs.Compacted(index, term, len(host.data)))
        self.counts["compacted"] += 1

    def change(self, number):
        """Make the leader propose to add, promote or remove one member."""
        name = self.leader()
        if name is None or len(self.hosts) > 6:
            return
        raft = self.hosts[name].raft
        members = list(rs.get_members(raft))
        position = number % (len(members) + 1)
        if position == len(members):
            added = f"m{next(self.names)}"
            self.make_host(added)
            members.append(Member(added, "", False))
        elif not members[position].is_voter:
            progress = raft.progress.get(members[position].member_id)
            if progress is None or progress.match_index < raft.commit_index:
                return
            members[position] = Member(members[position].member_id, "")
        elif self.may_remove(members, position):
            del members[position]
        self.propose(name, EntryKind.MEMBERS, encode_members(tuple(members)))
        self.counts["changed"] += 1

    def may_remove(self, members, position):
        """Return whether the removal leaves enough voters that have their disk."""
        voters = [item for item in members if item.is_voter]
        is_lost = members[position].member_id in self.lost_hosts
        return len(voters) > 2 and (is_lost or not self.lost_hosts)

    def lose_disk(self, name):
        """Lose a voter for good, if every configuration tolerates one more loss."""
        configs = [
            {item.member_id for item in members if item.is_voter}
            for host in self.hosts.values()
            for _, members in host.raft.configs
        ]
        if any(
            len(voters) in (1, 2) or voters & set(self.lost_hosts) for voters in configs
        ):
            return
        while self.messages:
            self.drop(0)
        self.lost_hosts[name] = self.hosts.pop(name)
        self.counts["lost"] += 1

    def run_until_converged(self, rounds=3000):
        """Deliver in order until all remaining voters have committed every entry."""
        while self.messages:
            self.drop(0)
        for _ in range(rounds):
            for name in list(self.hosts):
                self.sync(name)
                self.tick(name, 0.01)
            for _ in range(len(self.messages)):
                self.deliver(0)
            leader = self.leader()
            if leader and self.is_converged(leader):
                return
        raise AssertionError("The members did not converge after all faults ended.")

    def is_converged(self, leader):
        raft = self.hosts[leader].raft
        voters = [item for item in rs.get_voters(raft) if item not in self.lost_hosts]
        last = max(self.committed, default=0)
        reached = [self.hosts[item].raft.commit_index for item in voters]
        return raft.commit_index >= raft.term_start_index and min(reached) >= last
