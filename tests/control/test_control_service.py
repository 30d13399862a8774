"""Tests of the control daemons' service and its clients over the network."""

import asyncio

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.control.replies import encode_member_change
from bramleyrouter.control.service import start_control_service
from bramleyrouter.failures import Failure
from bramleyrouter.states import Outcome
from bramleyrouter.wire.kinds import MessageKind
from tests.control.builders import (
    NOW_MS,
    make_availability,
    make_claim,
    make_publish,
    make_settle,
)
from tests.control.control_cluster import ADDRESSES, run_in_cluster
from tests.support.identities import make_identity
from tests.support.memory_disk import MemoryDisk


class TestControlClient:
    """Guard against requests to the leader that are lost or take effect twice."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_resend_after_a_lost_reply_has_no_second_effect(self, seed):
        async def scenario(cluster):
            client, cluster.calls_to_lose = cluster.client, 1
            published = await client.operate(make_publish(), 5.0)
            cluster.calls_to_lose = 1
            claimed = await client.claim(make_claim(), 5.0)
            reads = [await client.read_config(2.0) for _ in range(2)]
            return published, claimed, reads, cluster.calls_to_lose

        published, claimed, reads, lost = run_in_cluster(scenario, seed)
        assert published.ok_value.failure is None
        assert claimed.ok_value.is_granted and not lost
        assert reads[0].ok_value.revision == published.ok_value.revision == 1
        # The second reply contains no configuration, as it is unchanged.
        assert reads[1] == reads[0]

    @pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "disk"])
    def test_client_fails_over_to_the_next_leader(self, fault):
        async def scenario(cluster):
            assert (await cluster.client.claim(make_claim(), 1.0)).ok_value.is_granted
            number = cluster.find_leader()
            if fault == "kill":
                await cluster.kill(number)
            elif fault == "freeze":
                cluster.fabric.freeze(ADDRESSES[number])
            elif fault == "cut":
                cluster.isolate(number)
            else:
                cluster.disks[number].fail_syncs = True
            settled = await cluster.client.settle(make_settle(), 6.0)
            cluster.fabric.heal()
            cluster.fabric.thaw(ADDRESSES[number])
            await asyncio.sleep(1)
            return settled, await cluster.client.claim(make_claim(b"t2"), 2.0)

        settled, retried = run_in_cluster(scenario)
        assert settled == Ok(None)
        assert retried.ok_value.outcome is Outcome.DONE

    def test_possibly_accepted_change_is_distinguished_from_one_never_accepted(self):
        """Guard against exceeding the timeout, and a wrong "nothing was accepted"."""

        async def scenario(cluster):
            loop, client = asyncio.get_running_loop(), cluster.client
            await cluster.kill(*cluster.list_followers())
            started = loop.time()
            possibly_accepted = await client.operate(make_publish(), 1.0)
            claimed = await client.claim(make_claim(), 1.0)
            elapsed_s = loop.time() - started
            await cluster.kill(*cluster.running)
            return (
                possibly_accepted,
                claimed,
                elapsed_s,
                await client.operate(make_publish(), 1.0),
            )

        possibly_accepted, claimed, elapsed_s, never_accepted = run_in_cluster(scenario)
        assert possibly_accepted.err_value.code is Code.NO_MAJORITY
        assert claimed.err_value.code is Code.LEDGER_UNREACHABLE
        assert never_accepted.err_value.code is Code.PEER_UNREACHABLE
        assert elapsed_s <= 2.1

    def test_abandoned_claim_settled_as_not_run_is_not_granted_later(self):
        """Guard against a delayed copy of a claim that blocks its identity."""

        async def scenario(cluster):
            cluster.calls_to_delay = 100
            claimed = await cluster.client.claim(make_claim(), 1.0)
            cluster.calls_to_delay = 0
            await cluster.client.settle(make_settle(outcome=Outcome.NOT_RUN), 1.0)
            await asyncio.sleep(5)
            return claimed, await cluster.client.claim(make_claim(b"t2"), 1.0)

        claimed, retried = run_in_cluster(scenario)
        assert claimed.err_value.code is Code.LEDGER_UNREACHABLE
        assert retried.ok_value.is_granted

    def test_concurrent_settlements_share_log_entries(self):
        async def scenario(cluster):
            ids = [f"{NOW_MS}-{number}" for number in range(400)]
            for request_id in ids:
                await cluster.client.claim(make_claim(request_id=request_id), 1.0)
            before, settle = cluster.proposals, cluster.client.settle
            bad = make_settle(request_id="x" * 500)
            settles = [bad, *(make_settle(request_id=request_id) for request_id in ids)]
            results = await asyncio.gather(
                *(settle(settlement, 1.0) for settlement in settles)
            )
            return results, cluster.proposals - before

        (bad, *results), entries = run_in_cluster(scenario)
        assert results == [Ok(None)] * 400
        assert entries <= 3
        # A malformed settlement must not fail the others of its batch.
        assert isinstance(bad, Err)


class TestControlAdmin:
    """Guard against member changes made twice or reported wrongly."""

    def test_without_majority_status_is_shown_and_no_change_confirmed(self):
        async def scenario(cluster):
            leader, followers = cluster.find_leader(), cluster.list_followers()
            member = cluster.running[followers[0]][0].status()
            await cluster.kill(*followers)
            same = Member(member.member_id, ADDRESSES[followers[0]])
            added = await cluster.admin.add_member(same, 1.0)
            return leader, added, dict(await cluster.admin.status())

        leader, added, statuses = run_in_cluster(scenario)
        assert isinstance(added, Err)
        reached = {address for address, status in statuses.items() if status.is_ok()}
        assert reached == {ADDRESSES[leader]}
        assert set(statuses) == set(ADDRESSES)

    def test_resent_member_change_has_no_second_effect(self):
        async def scenario(cluster):
            admin, lost = cluster.admin, cluster.list_followers()[0]
            removed_id = cluster.running[lost][0].status().member_id

            def lose_reply():
                cluster.calls_to_lose = 1
                here = ("127.0.0.1:8009", ADDRESSES[cluster.find_leader()])
                asyncio.get_running_loop().call_later(1, cluster.fabric._break, here)

            lose_reply()
            removed = await admin.remove_member(removed_id, 10.0)
            await cluster.kill(lost)
            cluster.disks[lost] = MemoryDisk()
            cluster.start(lost)
            lose_reply()
            added = await admin.add_member(Member("", ADDRESSES[lost]), 20.0)
            members = cluster.running[cluster.find_leader()][0].status().members
            unknown = await admin.remove_member("m8", 1.0)
            return removed, added, members, unknown, cluster.calls_to_lose

        removed, added, members, unknown, lost = run_in_cluster(scenario)
        assert (removed, added, lost) == (Ok(None), Ok(None), 0)
        assert sorted(member.address for member in members) == list(ADDRESSES)
        assert unknown.err_value.code is Code.UNKNOWN_MEMBER


class TestConfigSource:
    """Guard against a control daemon that reports stale state as current."""

    def test_member_is_current_only_while_the_leader_proves_itself(self):
        async def scenario(cluster):
            await asyncio.sleep(1)
            seen = [cluster.list_current()]
            first, second = cluster.list_followers()
            cluster.isolate(first)
            await asyncio.sleep(2)
            seen.append([cluster.running[first][1].source.is_current()])
            seen.append([cluster.running[second][1].source.is_current()])
            await cluster.kill(second)
            await asyncio.sleep(2)
            return [*seen, cluster.list_current()]

        seen = run_in_cluster(scenario)
        assert seen == [[True] * 3, [False], [True], [False] * 2]

    def build_with_log_changes(self, cluster, **changes):
        """Build another control daemon with some functions of its log replaced."""
        log, _, state_machine = cluster.running[cluster.find_leader()]
        network = cluster.fabric.build_network(make_identity("c9", port=7900))
        clock = asyncio.get_running_loop().time
        return start_control_service(
            network, log._replace(**changes), state_machine, clock
        )

    def test_close_cancels_a_confirmation_in_progress(self):
        """Guard against a cancellation lost when a confirmation ends at that moment."""

        async def scenario(cluster):
            # The number of event-loop cycles decides where the task is cancelled.
            for loop_cycles in range(12):
                control = self.build_with_log_changes(
                    cluster, read_barrier=lambda timeout_s: asyncio.sleep(0, Ok(None))
                )
                for _ in range(loop_cycles):
                    await asyncio.sleep(0)
                closing = asyncio.ensure_future(control.close())
                done, _ = await asyncio.wait({closing}, timeout=5)
                assert done

        run_in_cluster(scenario)

    def test_leader_without_proof_is_not_current_and_confirms_no_change(self):
        """Guard against a former leader that resumes and acts without a proof."""

        async def scenario(cluster):
            unconfirmed = Err(Failure(Code.NO_MAJORITY, "no proof"))
            control = self.build_with_log_changes(
                cluster, read_barrier=lambda timeout_s: asyncio.sleep(0.01, unconfirmed)
            )
            member = control.status().members[0]
            network = cluster.fabric.build_network(make_identity("e5", port=8005))
            payload = encode_member_change(member)
            reply = await network.call(
                "127.0.0.1:7900", MessageKind.CHANGE_MEMBERS, payload, 2.0
            )
            await asyncio.sleep(1)
            return control.source.is_current(), reply

        is_current, reply = run_in_cluster(scenario)
        assert not is_current
        assert reply.err_value.code is Code.NO_MAJORITY

    def test_member_that_lags_is_not_current(self):
        """Guard against counting a proof of leadership without the applied entries."""

        async def scenario(cluster):
            await cluster.client.claim(make_claim(), 1.0)
            status = cluster.running[cluster.list_followers()[0]][0].status()
            behind = msgspec.structs.replace(status, applied_index=0)
            control = self.build_with_log_changes(cluster, status=lambda: behind)
            await asyncio.sleep(2)
            return control.source.is_current()

        assert run_in_cluster(scenario) is False

    def test_watchers_are_notified_of_each_revision_once(self):
        async def scenario(cluster):
            seen = []
            source = cluster.running[1][1].source
            source.watch(lambda: seen.append(source.state().revision))
            for request in (
                make_publish(),
                make_availability("r2"),
                make_availability("r2"),
            ):
                await cluster.client.operate(request, 1.0)
            await cluster.client.claim(make_claim(), 1.0)
            await asyncio.sleep(1)
            return seen, source.deltas_since(0)

        seen, deltas = run_in_cluster(scenario)
        assert seen == [1, 2]
        assert [delta.revision for delta in deltas] == [1, 2]
