"""Tests of whole control daemons on the real log, with faults."""

import asyncio
import random

from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_control_admin, build_control_client
from bramleyrouter.control.machine import build_machine
from bramleyrouter.control.rollouts import serve_rollout
from bramleyrouter.control.service import build_control
from bramleyrouter.dissemination.interfaces import Rollout
from bramleyrouter.histories.configurations import (
    Accepted,
    AvailabilityOp,
    Conflict,
    PublishOp,
    check_configuration,
)
from bramleyrouter.histories.linearizations import Operation
from bramleyrouter.states import Outcome
from tests.control.builders import (
    NOW_MS,
    make_claim,
    make_out,
    make_publish,
    make_settle,
)
from tests.support.identities import make_identity
from tests.support.memory_disk import MemoryDisk
from tests.support.memory_network import MemoryFabric
from tests.support.virtual_time import run_virtual

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in (7100, 7200, 7300))


class Cluster:
    """Hold control daemons on their disks, and clients of entry daemons."""

    def __init__(self, seed):
        self.seed, self.starts = seed, 0
        self.fabric = MemoryFabric()
        self.disks = [MemoryDisk() for _ in ADDRESSES]
        self.running = {}
        for number in range(len(ADDRESSES)):
            self.start(number)

    def start(self, number):
        self.starts += 1
        loop = asyncio.get_running_loop()
        port = int(ADDRESSES[number].rsplit(":", 1)[1])
        identity = make_identity(f"c{number}", port=port)
        network, machine = self.fabric.build_network(identity), build_machine()
        log = build_replicated_log(
            identity,
            ADDRESSES,
            network,
            random.Random(f"{self.seed}-{self.starts}"),
            machine.for_log,
            self.disks[number].open(),
            wall_clock=lambda: NOW_MS / 1000 + loop.time(),
        ).unwrap()
        control = build_control(network, log, machine, loop.time)
        serve_rollout(network, log.status, lambda: Rollout(0, 0, number))
        self.running[number] = (log, control, machine)

    async def kill(self, number):
        log, control, _ = self.running.pop(number)
        self.fabric.kill(ADDRESSES[number])
        self.disks[number].crash()
        await control.close()
        await log.close()

    def leader(self):
        leaders = [n for n, (log, *_) in self.running.items() if log.status().is_leader]
        return leaders[-1] if leaders else 0

    def build_client(self, number, build=build_control_client):
        identity = make_identity(f"e{number}", port=8000 + number)
        network = self.fabric.build_network(identity)
        clock = asyncio.get_running_loop().time
        return build(network, ADDRESSES, clock, random.Random(number))


def run_in_cluster(scenario, seed=1):
    async def run():
        cluster = Cluster(seed)
        return await scenario(cluster)

    return run_virtual(run())


async def operate(client, name, operation, history):
    """Operate once and note what was seen, or that the answer was lost."""
    loop = asyncio.get_running_loop()
    called_at = loop.time()
    answered = await client.operate(operation, 1.5)
    if hasattr(operation, "manifest"):
        generation = operation.manifest.generation
        request = PublishOp(operation.request_id, generation, "")
    else:
        target = operation.data_centre
        request = AvailabilityOp(operation.request_id, target, operation.is_out)
    if answered.is_err():
        history.append(Operation(name, request, called_at))
        return
    result = answered.ok_value
    if result.failure is None:
        seen = Accepted(result.revision)
    else:
        assert result.failure.code is Code.GENERATION_CONFLICT
        seen = Conflict(result.failure.text.split('"')[5])
    history.append(Operation(name, request, called_at, loop.time(), seen))


class TestFaults:
    """Guard against accepted changes that are lost, doubled or split in two."""

    def test_racing_operators_are_linearizable_while_leaders_are_killed(self):
        async def scenario(cluster):
            history = []

            async def work(number):
                client, rng = cluster.build_client(number), random.Random(number)
                for step in range(7):
                    request_id = f"{number}-{step}"
                    if step % 2:
                        is_out = rng.random() < 0.5
                        operation = make_out(request_id, f"op{number}", is_out)
                    else:
                        operation = make_publish(
                            request_id, f"op{number}", generation=1 + step // 2
                        )
                    await operate(client, f"op{number}", operation, history)
                    if rng.random() < 0.5:
                        # A resend, as after a lost answer.
                        await operate(client, f"op{number}", operation, history)
                    await asyncio.sleep(rng.uniform(0, 0.8))

            async def break_leaders():
                for fault in ("kill", "cut", "kill"):
                    await asyncio.sleep(1.5)
                    number = cluster.leader()
                    others = [one for one in ADDRESSES if one != ADDRESSES[number]]
                    if fault == "kill":
                        await cluster.kill(number)
                    else:
                        cluster.fabric.cut_groups([ADDRESSES[number]], others)
                    await asyncio.sleep(1.0)
                    cluster.fabric.heal()
                    if fault == "kill":
                        cluster.start(number)

            await asyncio.gather(break_leaders(), *(work(n) for n in range(3)))
            await asyncio.sleep(3)
            states = {
                machine.for_log.snapshot() for *_, machine in cluster.running.values()
            }
            return history, len(states)

        for seed in range(3):
            history, states = run_in_cluster(scenario, seed)
            assert states == 1
            assert sum(one.is_pending for one in history) < len(history) / 2
            assert check_configuration(history) is None

    def test_one_of_racing_claimants_dispatches_while_the_leader_is_killed(self):
        async def scenario(cluster):
            clients = [cluster.build_client(number) for number in range(4)]
            ids = [f"{NOW_MS}-{number}" for number in range(20)]
            grants = {one: set() for one in ids}

            async def submit(number, request_id):
                token = f"t{number}".encode()
                request = make_claim(token, request_id, claimant=f"e{number}")
                claimed = await clients[number].claim(request, 3.0)
                if claimed.is_ok() and claimed.ok_value.is_granted:
                    grants[request_id].add(token)
                    settle = make_settle(token, request_id=request_id)
                    assert await clients[number].settle(settle, 5.0) == Ok(None)

            async def kill_leader():
                await asyncio.sleep(0.05)
                await cluster.kill(cluster.leader())

            await asyncio.sleep(1)
            work = [submit(n, one) for one in ids for n in range(4)]
            await asyncio.gather(kill_leader(), *work)
            late = make_claim(b"late", ids[0])
            return grants, await clients[0].claim(late, 2.0)

        grants, late = run_in_cluster(scenario)
        assert all(len(tokens) == 1 for tokens in grants.values())
        assert late.ok_value.outcome is Outcome.DONE

    def test_first_answer_outlives_a_restart_of_all(self):
        async def scenario(cluster):
            client = cluster.build_client(1)
            first = await client.operate(make_publish(), 5.0)
            await client.operate(make_out("r2"), 5.0)
            for number in range(3):
                await cluster.kill(number)
            for number in range(3):
                cluster.start(number)
            reused = make_publish(generation=2)
            return (
                first,
                await client.operate(make_publish(), 5.0),
                await client.operate(reused, 5.0),
                await client.read_config(5.0),
            )

        first, again, reused, state = run_in_cluster(scenario)
        assert first == again
        assert reused.ok_value.failure.code is Code.OPERATOR_REQUEST_REUSED
        assert state.ok_value.revision == 2

    def test_lost_member_is_replaced_by_address(self):
        """Guard against an unreachable VM that is taken for a lost cluster."""

        async def scenario(cluster):
            admin = cluster.build_client(1, build_control_admin)
            await cluster.build_client(0).operate(make_publish(), 5.0)
            lost = next(n for n in range(3) if n != cluster.leader())
            member_id = cluster.running[lost][0].status().member_id
            await cluster.kill(lost)
            cluster.disks[lost] = MemoryDisk()
            new = Member("", ADDRESSES[lost])
            refused = await admin.add_member(new, 5.0)
            cluster.start(lost)
            added = await admin.add_member(new, 20.0)
            removed = await admin.remove_member(member_id, 5.0)
            await asyncio.sleep(1)
            machine = cluster.running[lost][2]
            return refused, added, removed, machine.config().revision

        refused, *changed, revision = run_in_cluster(scenario)
        assert refused.err_value.code is Code.UNKNOWN_MEMBER
        assert changed == [Ok(None)] * 2
        assert revision == 1

    def test_rollout_is_the_leaders(self):
        async def scenario(cluster):
            admin = cluster.build_client(1, build_control_admin)
            seen = await admin.rollout(5.0)
            return seen.ok_value.daemons, cluster.leader()

        daemons, leader = run_in_cluster(scenario)
        assert daemons == leader
