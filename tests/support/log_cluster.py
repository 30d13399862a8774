"""Run members of a replicated log on one memory network, with faults."""

import asyncio
import functools
import random
from dataclasses import dataclass, field

from result import Ok

from bramleyrouter.consensus.interfaces import Member, ReplicatedLog, StateMachine
from bramleyrouter.consensus.node import Limits
from bramleyrouter.consensus.replicated_log import build_replicated_log
from tests.support.identities import make_identity
from tests.support.memory_disk import MemoryDisk
from tests.support.memory_network import MemoryFabric
from tests.support.virtual_time import run_virtual

ADDRESSES = tuple(f"127.0.0.1:{7000 + 10 * number}" for number in range(4))


def in_virtual_time(scenario):
    """Make an asynchronous test run on an event loop with virtual time."""

    @functools.wraps(scenario)
    def run(*args, **kwargs):
        run_virtual(scenario(*args, **kwargs))

    return run


async def start_members(count=3, **settings):
    """Start the first members; return their cluster and the leader's number."""
    cluster = LogCluster(first_members=ADDRESSES[:count], **settings)
    cluster.start(*range(count))
    return cluster, await cluster.propose(b"a")


def make_machine(commands):
    """Build a state machine that appends its commands to ``commands``."""

    def apply(index, stamp_ms, command):
        commands.append(command)
        return b"%d" % len(commands)

    def restore(state):
        commands[:] = state.split(b"\n") if state else []

    return StateMachine(apply, lambda: b"\n".join(commands), restore)


@dataclass
class LogCluster:
    """Hold the members by the number of their VM, 0 to 3."""

    seed: int = 0
    fabric: MemoryFabric = field(default_factory=MemoryFabric)
    limits: Limits = field(default_factory=Limits)
    first_members: tuple[str, ...] = ADDRESSES[:3]
    sync_s: float = 0.0
    may_initiate: bool = True
    is_first_start: bool = False
    tolerated_losses: int = 1
    disks: dict[int, MemoryDisk] = field(default_factory=dict)
    logs: dict[int, ReplicatedLog] = field(default_factory=dict)
    commands: dict[int, list[bytes]] = field(default_factory=dict)
    starts: int = 0

    def start(self, *numbers):
        """Start members on their disks; raise if one can't start."""
        for number in numbers:
            self.starts += 1
            disk = self.disks.setdefault(number, MemoryDisk(sync_s=self.sync_s))
            identity = make_identity(f"control-{number}", port=7000 + 10 * number)
            network = self.fabric.build_network(identity)
            rng = random.Random(f"{self.seed}-{self.starts}")
            self.commands[number] = []
            machine = make_machine(self.commands[number])
            arguments = (
                identity,
                self.first_members,
                network,
                rng,
                machine,
                disk.open(),
            )
            new_id = functools.partial("{:016x}".format, rng.getrandbits(64))
            built = build_replicated_log(
                *arguments,
                lambda: 1000.0,
                self.limits,
                new_id,
                self.may_initiate,
                self.is_first_start,
                self.tolerated_losses,
            )
            self.logs[number] = built.unwrap()

    async def kill(self, number, torn_bytes=0):
        """Stop a member as a power cut does; its disk retains only synced data."""
        self.fabric.kill(ADDRESSES[number])
        self.disks[number].crash(torn_bytes)
        await self.logs.pop(number).close()

    async def end_process(self, number):
        """End a member's process; its disk retains what was written."""
        self.fabric.kill(ADDRESSES[number])
        self.disks[number].epoch += 1
        await self.logs.pop(number).close()

    async def lose_disk(self, number):
        """Stop a member and replace its disk by an empty one."""
        await self.kill(number)
        self.disks[number] = MemoryDisk()

    def isolate(self, number):
        """Drop all frames from and to a member without an error."""
        others = [item for item in ADDRESSES if item != ADDRESSES[number]]
        self.fabric.cut_groups([ADDRESSES[number]], others)

    def leaders(self):
        """Return the numbers of the members that consider themselves leader."""
        return [key for key, log in self.logs.items() if log.status().is_leader]

    async def wait_for_leader(self, among=None, limit_s=5.0):
        """Wait up to ``limit_s`` seconds for a leader, one of ``among`` if given."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while loop.time() < end:
            for number in self.leaders():
                is_wanted = among is None or number in among
                if is_wanted and self.logs[number].is_current():
                    return number
            await asyncio.sleep(0.01)
        raise AssertionError("No leader was elected in time.")

    async def propose(self, command, among=None, timeout_s=2.0):
        """Propose to the leader, check the commit and return the leader's number."""
        number = await self.wait_for_leader(among)
        outcome = await self.logs[number].propose(command, timeout_s)
        assert isinstance(outcome, Ok), outcome
        return number

    async def repair(self, number, among, timeout_s=5.0):
        """Replace the old member at a VM's address by the one that runs there now."""
        log, address = self.logs[await self.wait_for_leader(among)], ADDRESSES[number]
        old = [item for item in log.status().members if item.address == address]
        outcomes = [await log.add_member(Member("", address), timeout_s)]
        for item in old:
            outcomes.append(await log.remove_member(item.member_id, timeout_s))
        assert outcomes == [Ok(None)] * len(outcomes), outcomes
