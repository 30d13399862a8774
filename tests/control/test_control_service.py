"""Tests of the control daemons' service and its clients over the network."""

import asyncio
import random

import pytest
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.client import build_control_admin, build_control_client
from bramleyrouter.control.machine import build_machine
from bramleyrouter.control.service import build_control
from bramleyrouter.states import Outcome
from tests.control.builders import (
    NOW_MS,
    make_claim,
    make_out,
    make_publish,
    make_settle,
)
from tests.control.fake_log import FakeCluster
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric
from tests.support.virtual_time import run_virtual

PORTS = (7100, 7200, 7300)


class World:
    """Hold three control daemons and the clients of one entry daemon."""

    def __init__(self, leader=0):
        loop = asyncio.get_running_loop()
        self.fabric = MemoryFabric()
        addresses = [f"127.0.0.1:{port}" for port in PORTS]
        machines = [build_machine() for _ in PORTS]
        self.cluster = FakeCluster(machines, addresses, NOW_MS, leader)
        self.controls = [
            build_control(
                self.fabric.build_network(make_identity(f"c{number}", port=port)),
                self.cluster.build_log(number),
                machines[number],
                loop.time,
            )
            for number, port in enumerate(PORTS)
        ]
        self.own = make_identity("e1", port=7000)
        network = self.fabric.build_network(self.own)
        parts = (network, tuple(addresses), loop.time)
        self.client = build_control_client(*parts, random.Random(1))
        self.admin = build_control_admin(*parts, random.Random(2))


def run_in_world(scenario, **parts):
    async def run():
        return await scenario(World(**parts))

    return run_virtual(run())


class TestControlClient:
    """Guard against effects that are lost or doubled on the way to the leader."""

    @pytest.mark.parametrize("leader", [0, 1, 2])
    def test_leader_is_found_wherever_it_is(self, leader):
        async def scenario(world):
            published = await world.client.operate(make_publish(), 2.0)
            state = await world.client.read_config(2.0)
            return published, state, await world.client.read_config(2.0)

        published, state, again = run_in_world(scenario, leader=leader)
        assert published.ok_value.revision == 1
        assert state.ok_value.manifest == make_publish().manifest
        # The second reply carries no configuration, as nothing changed.
        assert again == state

    def test_lost_reply_is_repeated_without_a_second_effect(self):
        async def scenario(world):
            world.cluster.lost = 1
            published = await world.client.operate(make_publish(), 5.0)
            world.cluster.lost = 1
            return published, await world.client.claim(make_claim(), 5.0), world

        published, claimed, world = run_in_world(scenario)
        assert published.ok_value.failure is None
        assert published.ok_value.revision == 1
        assert claimed.ok_value.is_granted
        assert len(world.cluster.entries) == 4

    @pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "disk"])
    def test_leader_that_fails_is_left_for_the_next(self, fault):
        async def scenario(world):
            first = "127.0.0.1:7100"
            assert (await world.client.claim(make_claim(), 1.0)).ok_value.is_granted
            if fault == "cut":
                world.fabric.cut(first, world.own.internal_address)
            elif fault == "disk":
                world.cluster.failed_disks.add(0)
            else:
                getattr(world.fabric, fault)(first)
            world.cluster.leader = 2
            settled = await world.client.settle(make_settle(), 4.0)
            world.fabric.heal()
            world.fabric.thaw(first)
            await asyncio.sleep(1)
            return settled, await world.client.claim(make_claim(b"t2"), 1.0)

        settled, retried = run_in_world(scenario)
        assert settled == Ok(None)
        assert retried.ok_value.outcome is Outcome.DONE

    def test_without_majority_claims_are_unreachable_in_time(self):
        async def scenario(world):
            world.cluster.has_majority = False
            started = asyncio.get_running_loop().time()
            claimed = await world.client.claim(make_claim(), 1.0)
            operated = await world.client.operate(make_publish(), 1.0)
            spent = asyncio.get_running_loop().time() - started
            return claimed, operated, spent

        claimed, operated, spent = run_in_world(scenario)
        assert claimed.err_value.code is Code.LEDGER_UNREACHABLE
        assert operated.err_value.code is Code.NO_MAJORITY
        assert spent <= 2.1

    def test_unreached_control_is_told_from_a_maybe_accepted_change(self):
        async def scenario(world):
            for port in PORTS:
                world.fabric.kill(f"127.0.0.1:{port}")
            return await world.client.operate(make_publish(), 1.0)

        assert run_in_world(scenario).err_value.code is Code.PEER_UNREACHABLE

    def test_claim_given_up_and_settled_is_not_granted_later(self):
        """Guard against a late copy of a claim that blocks its identity."""

        async def scenario(world):
            world.cluster.late = 100
            claimed = await world.client.claim(make_claim(), 1.0)
            world.cluster.late = 0
            await world.client.settle(make_settle(outcome=Outcome.NOT_RUN), 1.0)
            await asyncio.sleep(5)
            return claimed, await world.client.claim(make_claim(b"t2"), 1.0)

        claimed, retried = run_in_world(scenario)
        assert claimed.err_value.code is Code.LEDGER_UNREACHABLE
        assert retried.ok_value.is_granted

    def test_settlements_under_way_together_share_entries(self):
        async def scenario(world):
            ids = [f"{NOW_MS}-{number}" for number in range(400)]
            for one in ids:
                await world.client.claim(make_claim(request_id=one), 1.0)
            before = len(world.cluster.entries)
            bad = make_settle(request_id="x" * 500)
            results = await asyncio.gather(
                world.client.settle(bad, 1.0),
                *(world.client.settle(make_settle(request_id=one), 1.0) for one in ids),
            )
            return results, len(world.cluster.entries) - before

        (bad, *results), entries = run_in_world(scenario)
        assert results == [Ok(None)] * 400
        assert entries <= 3
        # A malformed settlement must not take the others down with it.
        assert isinstance(bad, Err)


class TestControlAdmin:
    """Guard against member changes that are doubled or reported wrongly."""

    def test_status_needs_no_majority(self):
        async def scenario(world):
            world.cluster.has_majority = False
            world.fabric.kill("127.0.0.1:7300")
            return await world.admin.status()

        views = dict(run_in_world(scenario))
        assert views["127.0.0.1:7100"].ok_value.is_leader
        assert not views["127.0.0.1:7200"].ok_value.is_leader
        assert isinstance(views["127.0.0.1:7300"], Err)

    def test_unproved_leader_confirms_no_change(self):
        """Guard against "done" from a member that is cut off from the majority."""

        async def scenario(world):
            world.cluster.has_majority = False
            present = Member("m1", world.cluster.addresses[1])
            return await world.admin.add_member(present, 1.0)

        assert run_in_world(scenario).err_value.code is Code.NO_MAJORITY

    def test_member_change_is_repeated_without_a_second_one(self):
        async def scenario(world):
            # The connection breaks while the first attempt waits.
            def break_soon():
                world.cluster.lost = 1
                asyncio.get_running_loop().call_later(
                    1, world.fabric._break, (world.own.internal_address, first)
                )

            first = world.cluster.addresses[0]
            member = Member("m9", "127.0.0.1:7900")
            break_soon()
            added = await world.admin.add_member(member, 10.0)
            break_soon()
            removed = await world.admin.remove_member("m0", 10.0)
            return added, removed, await world.admin.remove_member("m8", 1.0), world

        added, removed, unknown, world = run_in_world(scenario)
        assert (added, removed) == (Ok(None), Ok(None))
        assert unknown.err_value.code is Code.UNKNOWN_MEMBER
        assert [name for name, *_ in world.cluster.calls].count("add") == 1


class TestConfigSource:
    """Guard against a control daemon that passes off old state as current."""

    def test_member_is_current_only_while_the_leader_proves_itself(self):
        async def scenario(world):
            await asyncio.sleep(1)
            seen = [[control.source.is_current() for control in world.controls]]
            world.fabric.cut_groups(["127.0.0.1:7300"], ["127.0.0.1:7100"])
            await asyncio.sleep(2)
            seen.append([control.source.is_current() for control in world.controls])
            world.cluster.has_majority = False
            await asyncio.sleep(2)
            seen.append([control.source.is_current() for control in world.controls])
            return seen

        assert run_in_world(scenario) == [
            [True, True, True],
            [True, True, False],
            [False, False, False],
        ]

    def test_close_ends_whatever_is_under_way(self):
        """Guard against a cancellation that is lost as a confirmation ends."""

        async def scenario(world):
            log = world.cluster.build_log(0)
            log = log._replace(
                read_barrier=lambda timeout_s: asyncio.sleep(0, Ok(None))
            )
            machine, clock = world.cluster.machines[0], asyncio.get_running_loop().time
            network = world.fabric.build_network(make_identity("c9", port=7900))
            for turns in range(12):
                control = build_control(network, log, machine, clock)
                for _ in range(turns):
                    await asyncio.sleep(0)
                closing = asyncio.ensure_future(control.close())
                done, _ = await asyncio.wait({closing}, timeout=5)
                assert done

        run_in_world(scenario)

    def test_member_that_lags_is_not_current(self):
        """Guard against an old state that a heartbeat makes look current."""

        async def scenario(world):
            log = world.cluster.build_log(1)
            behind = LogStatus("m1", 3, False, world.cluster.addresses[0], 0, 0, ())
            await world.client.claim(make_claim(), 1.0)
            network = world.fabric.build_network(make_identity("c9", port=7900))
            control = build_control(
                network,
                log._replace(status=lambda: behind),
                world.cluster.machines[1],
                asyncio.get_running_loop().time,
            )
            await asyncio.sleep(2)
            return control.source.is_current()

        assert run_in_world(scenario) is False

    def test_watchers_hear_of_each_revision_once(self):
        async def scenario(world):
            seen = []
            source = world.controls[1].source
            source.watch(lambda: seen.append(source.state().revision))
            for request in (make_publish(), make_out("r2"), make_out("r2")):
                await world.client.operate(request, 1.0)
            await world.client.claim(make_claim(), 1.0)
            return seen, source.deltas_since(0)

        seen, deltas = run_in_world(scenario)
        assert seen == [1, 2]
        assert [delta.revision for delta in deltas] == [1, 2]
