"""A replicated log in memory, shared by members that each hold a machine."""

import asyncio
import itertools
from dataclasses import dataclass, field

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member, ReplicatedLog
from bramleyrouter.failures import Failure

COMMIT_S = 0.002


@dataclass
class FakeCluster:
    """Hold the entries of all members; every member applies them at once.

    ``leader`` is the number of the leading member or none. ``lost`` and
    ``late`` count proposals: a lost one commits though its proposer gets no
    reply, a late one commits 2 s after its proposer was told ``NO_MAJORITY``.
    """

    machines: list
    addresses: list[str]
    stamp_ms: int = 0
    leader: int | None = 0
    has_majority: bool = True
    failed_disks: set = field(default_factory=set)
    lost: int = 0
    late: int = 0
    entries: list = field(default_factory=list)
    members: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    replies: itertools.count = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self):
        self.members = [
            Member(f"m{number}", address)
            for number, address in enumerate(self.addresses)
        ]

    def commit(self, command):
        """Apply a command everywhere and return the leader's reply."""
        self.entries.append((self.stamp_ms, command))
        index = len(self.entries)
        replies = [
            machine.for_log.apply(index, self.stamp_ms, command)
            for machine in self.machines
        ]
        assert len(set(replies)) == 1, "members replied differently"
        return replies[0]

    def build_log(self, number):
        """Return the log as one member sees it."""

        def refusal():
            if number in self.failed_disks:
                return Err(Failure(Code.DISK_FAILED, "no disk"))
            if self.leader != number:
                hint = "" if self.leader is None else self.addresses[self.leader]
                return Err(Failure(Code.NOT_LEADER, hint))
            if not self.has_majority:
                return Err(Failure(Code.NO_MAJORITY, "no majority"))
            return None

        async def propose(command, timeout_s):
            refused = refusal()
            if refused:
                return refused
            if self.late:
                self.late -= 1
                asyncio.get_running_loop().call_later(2, self.commit, command)
                return Err(Failure(Code.NO_MAJORITY, "late"))
            await asyncio.sleep(COMMIT_S)
            reply = self.commit(command)
            if self.lost:
                self.lost -= 1
                await asyncio.sleep(timeout_s)
                return Err(Failure(Code.NO_MAJORITY, "lost"))
            return Ok(reply)

        async def read_barrier(timeout_s):
            await asyncio.sleep(COMMIT_S)
            return refusal() or Ok(None)

        async def change(name, *values):
            self.calls.append((name, *values))
            if name == "add":
                self.members.append(values[0])
            elif values[0] not in [member.member_id for member in self.members]:
                return Err(Failure(Code.UNKNOWN_MEMBER, f'"{values[0]}"'))
            else:
                self.members = [m for m in self.members if m.member_id != values[0]]
            if self.lost:
                self.lost -= 1
                await asyncio.sleep(60)
            return Ok(None)

        def status():
            return LogStatus(
                f"m{number}",
                3,
                self.leader == number,
                "" if self.leader is None else self.addresses[self.leader],
                len(self.entries),
                len(self.entries),
                tuple(self.members),
            )

        return ReplicatedLog(
            propose=propose,
            read_barrier=read_barrier,
            status=status,
            add_member=lambda member, timeout_s: change("add", member),
            remove_member=lambda member_id, timeout_s: change("remove", member_id),
            watch_applied=lambda callback: None,
            close=lambda: asyncio.sleep(0),
            is_current=lambda: True,
        )
