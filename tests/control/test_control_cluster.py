"""Tests of concurrent operators and claimants while control daemons fail."""

import asyncio
import random

from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import Member
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
    make_availability,
    make_claim,
    make_publish,
    make_settle,
)
from tests.control.control_cluster import ADDRESSES, run_in_cluster
from tests.support.memory_disk import MemoryDisk


async def operate_and_record(client, name, operation, history):
    """Send one operation and record its result, or that the reply was lost."""
    loop = asyncio.get_running_loop()
    called_at = loop.time()
    reply = await client.operate(operation, 1.5)
    if hasattr(operation, "manifest"):
        generation = operation.manifest.generation
        request = PublishOp(operation.request_id, generation, "")
    else:
        target = operation.data_centre
        request = AvailabilityOp(operation.request_id, target, operation.is_out)
    if reply.is_err():
        history.append(Operation(name, request, called_at))
        return
    result = reply.ok_value
    if result.failure is None:
        observed = Accepted(result.revision)
    else:
        assert result.failure.code is Code.GENERATION_CONFLICT
        # The third quoted part of the text is the id of the winning request.
        observed = Conflict(result.failure.text.split('"')[5])
    history.append(Operation(name, request, called_at, loop.time(), observed))


class TestFaults:
    """Guard against accepted changes lost, applied twice or on some replicas only."""

    def test_concurrent_operators_are_linearizable_while_leaders_are_killed(self):
        async def scenario(cluster):
            history = []

            async def work(number):
                client, rng = cluster.build_client(number + 1), random.Random(number)
                for step in range(7):
                    request_id = f"{number}-{step}"
                    if step % 2:
                        is_out = rng.random() < 0.5
                        operation = make_availability(request_id, f"op{number}", is_out)
                    else:
                        operation = make_publish(
                            request_id, f"op{number}", generation=1 + step // 2
                        )
                    await operate_and_record(client, f"op{number}", operation, history)
                    if rng.random() < 0.5:
                        # Resend as an operator does after a lost reply.
                        await operate_and_record(
                            client, f"op{number}", operation, history
                        )
                    await asyncio.sleep(rng.uniform(0, 0.8))

            async def break_leaders():
                for fault in ("kill", "cut", "kill"):
                    await asyncio.sleep(1.5)
                    number = cluster.find_leader()
                    if fault == "kill":
                        await cluster.kill(number)
                    else:
                        cluster.isolate(number, *ADDRESSES)
                    await asyncio.sleep(1.0)
                    cluster.fabric.heal()
                    if fault == "kill":
                        cluster.start(number)

            await asyncio.gather(break_leaders(), *(work(n) for n in range(3)))
            await asyncio.sleep(3)
            states = {
                state_machine.for_log.snapshot()
                for *_, state_machine in cluster.running.values()
            }
            return history, len(states)

        for seed in range(3):
            history, states = run_in_cluster(scenario, seed)
            assert states == 1
            assert sum(operation.is_pending for operation in history) < len(history) / 2
            assert check_configuration(history) is None

    def test_only_one_concurrent_claimant_dispatches_while_the_leader_is_killed(self):
        async def scenario(cluster):
            clients = [cluster.build_client(number + 1) for number in range(4)]
            ids = [f"{NOW_MS}-{number}" for number in range(20)]
            grants = {request_id: set() for request_id in ids}

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
                await cluster.kill(cluster.find_leader())

            work = [submit(n, request_id) for request_id in ids for n in range(4)]
            await asyncio.gather(kill_leader(), *work)
            late = make_claim(b"late", ids[0])
            return grants, await clients[0].claim(late, 2.0)

        grants, late = run_in_cluster(scenario)
        assert all(len(tokens) == 1 for tokens in grants.values())
        assert late.ok_value.outcome is Outcome.DONE

    def test_first_result_survives_a_restart_of_all_control_daemons(self):
        async def scenario(cluster):
            client = cluster.client
            first = await client.operate(make_publish(), 5.0)
            await client.operate(make_availability("r2"), 5.0)
            await cluster.kill(0, 1, 2)
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
        """Guard against reporting an unreachable new VM as an unreachable cluster."""

        async def scenario(cluster):
            admin = cluster.admin
            await cluster.client.operate(make_publish(), 5.0)
            lost = cluster.list_followers()[0]
            member_id = cluster.running[lost][0].status().member_id
            await cluster.kill(lost)
            cluster.disks[lost] = MemoryDisk()
            new = Member("", ADDRESSES[lost])
            refused = await admin.add_member(new, 5.0)
            cluster.start(lost)
            added = await admin.add_member(new, 20.0)
            removed = await admin.remove_member(member_id, 5.0)
            await asyncio.sleep(1)
            state_machine = cluster.running[lost][2]
            return refused, added, removed, state_machine.config().revision

        refused, *changed, revision = run_in_cluster(scenario)
        assert refused.err_value.code is Code.UNKNOWN_MEMBER
        assert changed == [Ok(None)] * 2
        assert revision == 1

    def test_rollout_is_reported_by_the_leader(self):
        async def scenario(cluster):
            rollout = await cluster.admin.rollout(5.0)
            return rollout.ok_value.daemons, cluster.find_leader()

        daemons, leader = run_in_cluster(scenario)
        assert daemons == leader
