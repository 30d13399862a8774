"""Tests of complete members: elections, failures, restarts, replacements."""

import asyncio
import itertools
import random

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.consensus.codec import decode_message, encode_message
from bramleyrouter.consensus.entries import Entry, EntryKind
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.messages import AppendRequest
from bramleyrouter.consensus.node import Limits
from bramleyrouter.consensus.raft_state import ELECTION_MIN_S, HEARTBEAT_S
from bramleyrouter.consensus.records import decode_file
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Peer
from tests.support.log_cluster import (
    ADDRESSES,
    LogCluster,
    in_virtual_time,
    start_members,
)
from tests.support.memory_disk import MemoryDisk


class TestStart:
    """Guards against a second cluster and against a start that never completes."""

    @in_virtual_time
    async def test_single_member_is_ready_at_once(self):
        cluster, _ = await start_members(1)
        assert asyncio.get_running_loop().time() < 0.1
        assert await cluster.logs[0].read_barrier(1.0) == Ok(None)

    @in_virtual_time
    async def test_three_members_agree(self):
        cluster, _ = await start_members()
        await asyncio.sleep(0.3)
        assert list(cluster.commands.values()) == [[b"a"]] * 3
        assert all(log.is_current() for log in cluster.logs.values())

    @in_virtual_time
    async def test_bootstrap_needs_all_first_members(self):
        cluster = LogCluster()
        cluster.start(0, 1)
        await asyncio.sleep(10.0)
        assert cluster.leaders() == []
        cluster.start(2)
        await cluster.propose(b"a")

    @pytest.mark.parametrize("killed", [(0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)])
    @pytest.mark.parametrize("is_power_lost", [False, True])
    @in_virtual_time
    async def test_members_started_again_during_the_bootstrap(
        self, killed, is_power_lost
    ):
        """Guards against a first start that never ends (review 5).

        A restarted process isn't told that it is the first start, and its settings may
        name other members. It waited to be added, and the others waited for it.
        """
        for moment in range(1, 60):
            cluster = LogCluster(seed=moment, sync_s=0.02)
            cluster.start(0, 1, 2)
            await asyncio.sleep(moment * 0.02)
            for number in killed:
                if is_power_lost:
                    await cluster.kill(number)
                else:
                    await cluster.end_process(number)
            await asyncio.sleep(0.3)
            # A data folder that was created in time tells what the settings don't.
            cluster.may_initiate = moment < 3
            cluster.start(*killed)
            await cluster.propose(b"a")
            members = {log.status().members for log in cluster.logs.values()}
            assert len(members) == 1
            for number in range(3):
                await cluster.kill(number)

    @pytest.mark.parametrize("lost", range(3))
    @in_virtual_time
    async def test_a_disk_lost_during_the_bootstrap(self, lost):
        """Guards against a first start that never ends after the loss of a disk.

        The configuration that the others have stored lists an id that is gone.
        """
        for moment in range(1, 60):
            cluster = LogCluster(seed=moment, sync_s=0.02)
            cluster.start(0, 1, 2)
            await asyncio.sleep(moment * 0.02)
            await cluster.lose_disk(lost)
            await asyncio.sleep(0.3)
            cluster.start(lost)
            await cluster.propose(b"a")
            for number in range(3):
                await cluster.kill(number)

    @in_virtual_time
    async def test_member_with_other_settings_adopts_the_configuration(self):
        cluster = LogCluster(sync_s=0.02)
        cluster.start(0, 1, 2)
        await asyncio.sleep(0.25)
        await cluster.kill(2)
        cluster.first_members = (ADDRESSES[1], ADDRESSES[3])
        cluster.start(2)
        await cluster.propose(b"a")
        await asyncio.sleep(1.0)
        assert cluster.commands[2] == [b"a"]

    @pytest.mark.parametrize("survivor", [0, 2])
    @in_virtual_time
    async def test_members_without_disks_form_no_second_cluster(self, survivor):
        cluster, _ = await start_members()
        others = {0, 1, 2} - {survivor}
        for number in others:
            await cluster.lose_disk(number)
        cluster.start(*others)
        await asyncio.sleep(20.0)
        assert cluster.leaders() == []
        assert not any(log.is_current() for log in cluster.logs.values())

    @in_virtual_time
    async def test_a_stored_configuration_is_reported_only_once_durable(self):
        cluster = LogCluster(disks={0: MemoryDisk(sync_s=0.5)})
        cluster.start(0, 1, 2)
        while "member" not in cluster.disks[1].durable_names:
            await asyncio.sleep(0.01)
        before = cluster.disks[1].syncs
        while cluster.disks[1].syncs == before:
            await asyncio.sleep(0.001)
        # Member 1 stored the configuration that member 0 reported, so member 0 must
        # have it on disk.
        await cluster.kill(0)
        cluster.start(0)
        await cluster.propose(b"a")


class TestLeaderLoss:
    """Guards against two leaders and against commits without a majority."""

    @in_virtual_time
    async def test_killed_leader_is_replaced(self):
        cluster, old = await start_members()
        await cluster.kill(old)
        before = asyncio.get_running_loop().time()
        await cluster.propose(b"b")
        assert asyncio.get_running_loop().time() - before < 1.5
        cluster.start(old)
        await asyncio.sleep(1.0)
        assert cluster.commands[old] == [b"a", b"b"]

    @in_virtual_time
    async def test_isolated_leader_refuses_and_rejoins_without_election(self):
        cluster, old = await start_members()
        cluster.isolate(old)
        before = asyncio.get_running_loop().time()
        lost = await cluster.logs[old].propose(b"lost", 5.0)
        assert lost.unwrap_err().code is Code.NO_MAJORITY
        waited = asyncio.get_running_loop().time() - before
        assert waited <= ELECTION_MIN_S + HEARTBEAT_S
        others = set(cluster.logs) - {old}
        await cluster.propose(b"b", others)
        await asyncio.sleep(60.0)
        log = cluster.logs[old]
        assert not log.is_current() and not log.status().is_leader
        refused = await log.propose(b"c", 1.0)
        assert refused.unwrap_err().code is Code.NOT_LEADER
        assert isinstance(await log.read_barrier(1.0), Err)
        leader = await cluster.wait_for_leader(others)
        term = cluster.logs[leader].status().term
        cluster.fabric.heal()
        await asyncio.sleep(3.0)
        assert cluster.leaders() == [leader]
        assert cluster.logs[leader].status().term == term
        assert cluster.commands[old] == [b"a", b"b"]

    @in_virtual_time
    async def test_another_entry_at_the_index_fails_the_proposal(self):
        cluster, old = await start_members()
        address, status = ADDRESSES[old], cluster.logs[old].status()
        other = next(item for item in status.members if item.address != address)
        cluster.isolate(old)
        proposal = asyncio.ensure_future(cluster.logs[old].propose(b"b", 5.0))
        await asyncio.sleep(0.01)
        index, term = status.commit_index + 1, status.term + 1
        entry = Entry(term, index, 0, EntryKind.COMMAND, b"other")
        fields = (1, index - 1, term - 1, index, (entry,))
        request = AppendRequest(other.member_id, status.member_id, term, *fields)
        stored = decode_file(b"BRM1", cluster.disks[old].read("member"))
        payload = encode_message(msgspec.msgpack.decode(stored)["cluster_id"], request)
        handler = cluster.fabric.handlers[address].calls[MessageKind.APPEND]
        await handler(Peer("x", "dc1", other.address), payload)
        assert cluster.commands[old] == [b"a", b"other"]
        assert (await proposal).unwrap_err().code is Code.NO_MAJORITY

    @in_virtual_time
    async def test_a_term_is_sent_only_once_it_is_durable(self):
        cluster, leader = await start_members()
        await cluster.kill(leader)
        terms = []

        def wrap_vote_handler(number, serve):
            async def serve_vote(peer, payload):
                sender = cluster.disks[ADDRESSES.index(peer.address)]
                stored = decode_file(
                    b"BRT1", sender.durable[sender.durable_names["term"]]
                )
                terms.append(decode_message(payload).unwrap().message.term)
                assert msgspec.msgpack.decode(stored)["term"] >= terms[-1]
                return await serve(peer, payload)

            cluster.disks[number].sync_s = 0.05
            cluster.fabric.handlers[ADDRESSES[number]].calls[MessageKind.VOTE] = (
                serve_vote
            )

        for number in cluster.logs:
            wrap_vote_handler(
                number,
                cluster.fabric.handlers[ADDRESSES[number]].calls[MessageKind.VOTE],
            )
        await cluster.propose(b"b")
        assert terms

    @in_virtual_time
    async def test_a_silent_connection_is_replaced(self):
        cluster, leader = await start_members()
        links = cluster.fabric.links
        pair = (ADDRESSES[leader], ADDRESSES[(leader + 1) % 3])
        before = links[pair]
        cluster.fabric.cuts.add(pair)
        await asyncio.sleep(3.0)
        assert links.get(pair) is not before


class TestDisks:
    """Guards against losing committed entries when a disk or a sync fails."""

    @in_virtual_time
    async def test_a_lost_disk_is_replaced_before_a_second_member_is_lost(self):
        cluster, _ = await start_members()
        for number in range(20):
            await cluster.propose(b"%d" % number)
        await cluster.lose_disk(1)
        await cluster.propose(b"without 1")
        cluster.start(1)
        await cluster.repair(1, {0, 2})
        commands = list(cluster.commands[await cluster.wait_for_leader()])
        # Only the replaced member and one other remain.
        await cluster.lose_disk(0)
        await cluster.propose(b"last", {1, 2})
        await asyncio.sleep(0.5)
        assert cluster.commands[1] == cluster.commands[2] == [*commands, b"last"]
        assert len(commands) == 22

    @in_virtual_time
    async def test_a_new_disk_never_votes_for_the_old_member(self):
        cluster, leader = await start_members()
        others = [number for number in range(3) if number != leader]
        old_id = cluster.logs[others[0]].status().member_id
        await cluster.lose_disk(others[0])
        cluster.start(others[0])
        assert cluster.logs[others[0]].status().member_id != old_id
        await cluster.kill(leader)
        await asyncio.sleep(20.0)
        assert cluster.leaders() == []
        cluster.start(leader)
        await cluster.repair(others[0], {leader, others[1]})
        await cluster.propose(b"b")

    @in_virtual_time
    async def test_two_ids_at_one_address_have_one_vote(self):
        cluster, leader = await start_members()
        others = {0, 1, 2} - {leader}
        lost = others.pop()
        await cluster.lose_disk(lost)
        cluster.start(lost)
        log = cluster.logs[leader]
        assert await log.add_member(Member("", ADDRESSES[lost]), 5.0) == Ok(None)
        # Two of four voters remain, which is no majority: the lost member is
        # still a voter.
        await cluster.kill(leader)
        await asyncio.sleep(20.0)
        assert cluster.leaders() == []

    @pytest.mark.parametrize("torn_bytes", [0, 25])
    @in_virtual_time
    async def test_replies_wait_for_the_syncs_of_a_majority(self, torn_bytes):
        cluster, leader = await start_members(sync_s=0.02)
        committed = []

        async def propose(number):
            await asyncio.sleep(number * 0.003)
            outcome = await cluster.logs[leader].propose(b"%d" % number, 1.0)
            if isinstance(outcome, Ok):
                committed.append(b"%d" % number)

        tasks = [asyncio.ensure_future(propose(number)) for number in range(60)]
        while len(committed) < 20:
            await asyncio.sleep(0.001)
        # All VMs lose power just after a proposal was confirmed.
        for number in range(3):
            await cluster.kill(number, torn_bytes)
        for task in tasks:
            task.cancel()
        cluster.start(0, 1, 2)
        await cluster.propose(b"again")
        await asyncio.sleep(0.5)
        assert set(committed) <= set(cluster.commands[0])
        assert cluster.commands[0] == cluster.commands[1] == cluster.commands[2]

    @in_virtual_time
    async def test_proposals_share_syncs(self):
        cluster, _ = await start_members(1, sync_s=0.01)
        before = cluster.disks[0].syncs
        log = cluster.logs[0]
        await asyncio.gather(*(log.propose(b"x", 1.0) for _ in range(100)))
        assert cluster.disks[0].syncs - before <= 2

    @in_virtual_time
    async def test_a_failed_sync_stops_the_leader(self):
        cluster, leader = await start_members()
        cluster.disks[leader].fail_syncs = True
        log = cluster.logs[leader]
        assert isinstance(await log.propose(b"b", 1.0), Err)
        assert (await log.propose(b"c", 1.0)).unwrap_err().code is Code.DISK_FAILED
        assert isinstance(await log.read_barrier(1.0), Err)
        assert not log.status().is_leader and not log.is_current()
        others = set(cluster.logs) - {leader}
        await cluster.propose(b"d", others)
        cluster.disks[leader].fail_syncs = False
        await cluster.kill(leader)
        cluster.start(leader)
        await asyncio.sleep(1.0)
        commands = cluster.commands[leader]
        assert commands == cluster.commands[others.pop()] and b"c" not in commands

    @pytest.mark.parametrize("fault", ["is_full", "fail_syncs"])
    @in_virtual_time
    async def test_short_disk_failures_of_one_member_after_another(self, fault):
        """Guards against a majority lost to disks that have long recovered.

        Each short failure took a member's vote until its process was restarted, so
        the second one left a log that could be neither changed nor read (review 1).
        """
        cluster, _ = await start_members()
        for number in range(3):
            setattr(cluster.disks[number], fault, True)
            # Makes the disk fail, which may be that of the leader.
            for leader in cluster.leaders():
                await cluster.logs[leader].propose(b"probe", 0.5)
            await cluster.propose(b"during %d" % number, {0, 1, 2} - {number}, 5.0)
            await asyncio.sleep(2.0)
            setattr(cluster.disks[number], fault, False)
            await asyncio.sleep(2.0)
        assert isinstance(await cluster.propose(b"end"), int)
        await asyncio.sleep(1.0)
        expected = [b"a", b"during 0", b"during 1", b"during 2", b"end"]
        for number in range(3):
            commands = cluster.commands[number]
            assert [item for item in commands if item in expected] == expected
            assert commands == cluster.commands[0]

    @pytest.mark.parametrize("fault", ["is_full", "fail_syncs"])
    @in_virtual_time
    async def test_all_disks_fail_for_a_short_time(self, fault):
        """Guards against a log that stays down after a failure of every disk."""
        cluster, leader = await start_members()
        for disk in cluster.disks.values():
            setattr(disk, fault, True)
        assert isinstance(await cluster.logs[leader].propose(b"lost", 1.0), Err)
        await asyncio.sleep(3.0)
        for disk in cluster.disks.values():
            setattr(disk, fault, False)
        await cluster.propose(b"end")
        await asyncio.sleep(1.0)
        # What is acknowledged after a failure survives a loss of power.
        for number in range(3):
            await cluster.kill(number)
        cluster.start(0, 1, 2)
        await cluster.propose(b"again")
        assert [item for item in cluster.commands[0] if item != b"lost"][:2] == [
            b"a",
            b"end",
        ]

    @in_virtual_time
    async def test_failed_restart_of_a_member_is_reported(self):
        """Guards against a member that stays stopped without a line in the log."""
        cluster, _ = await start_members(1)
        messages = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: messages.append(context["message"])
        )
        cluster.disks[0].fail_syncs = True
        assert isinstance(await cluster.logs[0].propose(b"b", 1.0), Err)
        # Not an ``OSError``, which the member expects and answers by another attempt.
        cluster.disks[0].files = None
        await asyncio.sleep(3.0)
        assert messages == ["consensus: a task failed."]

    @in_virtual_time
    async def test_nothing_that_a_failed_sync_left_is_counted_as_durable(self):
        """Guards against entries in the cache of a disk that are confirmed as stored.

        After a failed sync they can be read again, but a later sync doesn't write them.
        """
        cluster, _ = await start_members(1)
        cluster.disks[0].fail_syncs = True
        assert isinstance(await cluster.logs[0].propose(b"b", 1.0), Err)
        cluster.disks[0].fail_syncs = False
        await cluster.propose(b"c")
        confirmed = list(cluster.commands[0])
        await cluster.kill(0)
        cluster.start(0)
        await cluster.propose(b"d")
        assert cluster.commands[0] == [*confirmed, b"d"]

    @pytest.mark.parametrize("fault", ["fail_syncs", "crash_before_sync"])
    @in_virtual_time
    async def test_nothing_that_an_earlier_process_left_is_counted_as_durable(
        self, fault
    ):
        """Guards against confirming entries that only the cache of the VM holds.

        A process that ended between write and sync left them. Its successor read them
        and confirmed them to the leader without a sync.
        """
        cluster, leader = await start_members()
        followers = [number for number in range(3) if number != leader]
        for number in followers:
            cluster.disks[number].fail_syncs = True
        assert isinstance(await cluster.logs[leader].propose(b"b", 0.2), Err)
        for number in followers:
            await cluster.end_process(number)
            disk = cluster.disks[number]
            disk.fail_syncs = False
            if fault == "crash_before_sync":
                disk.unsyncable.clear()
        cluster.start(*followers)
        await asyncio.sleep(1.0)
        assert cluster.commands[leader] == [b"a", b"b"]
        # All VMs lose power, and the disk of the leader is lost for good.
        for number in (*followers, leader):
            await cluster.kill(number)
        cluster.start(*followers)
        await cluster.propose(b"d", set(followers))
        await asyncio.sleep(1.0)
        assert cluster.commands[followers[0]] == [b"a", b"b", b"d"]

    @in_virtual_time
    async def test_a_single_member_commits_nothing_unsynced(self):
        cluster, _ = await start_members(1)
        cluster.disks[0].fail_syncs = True
        assert isinstance(await cluster.logs[0].propose(b"b", 1.0), Err)
        assert cluster.commands[0] == [b"a"]


class TestCompaction:
    """Guards against unbounded growth of the log and of the restart time."""

    LIMITS = Limits(compact_entries=50, segment_bytes=2000, chunk_bytes=700)

    @in_virtual_time
    async def test_restart_after_500_proposals(self):
        cluster, _ = await start_members(limits=self.LIMITS)
        sent = [b"change %d" % number for number in range(500)]
        for command in sent:
            await cluster.propose(command)
        assert cluster.disks[0].total_bytes() < 30_000
        for number in range(3):
            await cluster.kill(number)
        cluster.start(0, 1, 2)
        await cluster.propose(b"after")
        await asyncio.sleep(0.5)
        assert list(cluster.commands.values()) == [[b"a", *sent, b"after"]] * 3

    @in_virtual_time
    async def test_a_member_far_behind_gets_the_snapshot_in_chunks(self):
        cluster, leader = await start_members(limits=self.LIMITS)
        behind = (leader + 1) % 3
        await cluster.kill(behind)
        for number in range(600):
            await cluster.propose(b"change %d" % number)
        cluster.start(behind)
        await asyncio.sleep(2.0)
        assert cluster.commands[behind] == cluster.commands[leader]
        await cluster.kill(behind)
        cluster.start(behind)
        await cluster.propose(b"last")
        await asyncio.sleep(1.0)
        assert cluster.commands[behind] == cluster.commands[leader]
        assert len(cluster.commands[behind]) == 602


class TestMembers:
    """Guards against membership changes that leave no majority or allow two."""

    @in_virtual_time
    async def test_members_are_added_and_removed(self):
        cluster, _ = await start_members(1)
        log = cluster.logs[0]
        own = log.status().member_id
        refused = await log.remove_member(own, 1.0)
        assert refused.unwrap_err().code is Code.UNKNOWN_MEMBER
        cluster.start(1, 2, 3)
        for number in (1, 2, 3):
            added = await log.add_member(Member("", ADDRESSES[number]), 5.0)
            assert added == Ok(None)
        assert all(item.is_voter for item in log.status().members)
        assert await log.remove_member(own, 5.0) == Ok(None)
        leader = await cluster.wait_for_leader({1, 2, 3})
        await cluster.kill(0)
        await cluster.propose(b"b", {1, 2, 3})
        assert cluster.commands[leader] == [b"a", b"b"]
        assert len(cluster.logs[leader].status().members) == 3


class TestRandomFaults:
    """Guards against lost or duplicated committed entries under random faults."""

    async def inject_fault(self, cluster, rng, with_disks):
        """Inject one random fault; at most one member is down at a time."""
        fabric = cluster.fabric
        down = [number for number in range(3) if number not in cluster.logs]
        number, pair = rng.randrange(3), tuple(rng.sample(ADDRESSES[:3], 2))
        faults = [
            lambda: cluster.isolate(number),
            lambda: fabric.cuts.add(pair),
            lambda: fabric.freeze(ADDRESSES[number]),
            lambda: fabric.delays.update({pair: rng.uniform(0.0, 0.5)}),
            lambda: self.remove_faults(cluster),
        ]
        if with_disks:
            faults += [
                lambda: setattr(cluster.disks[number], "is_full", True),
                lambda: setattr(cluster.disks[number], "fail_syncs", True),
            ]
        if down:
            # A process whose disk fails at its start ends and is started again.
            for disk in (cluster.disks[number] for number in down):
                disk.is_full = disk.fail_syncs = False
            cluster.start(*down)
        elif rng.random() < 0.3:
            await cluster.kill(number, rng.choice((0, 10, 1000)))
        else:
            rng.choice(faults)()

    def remove_faults(self, cluster):
        cluster.fabric.heal()
        cluster.fabric.delays.clear()
        for disk in cluster.disks.values():
            disk.is_full = disk.fail_syncs = False
        for address in ADDRESSES:
            cluster.fabric.thaw(address)

    async def propose_continuously(self, cluster, proposer, committed):
        """Propose to the current leader and collect the committed commands."""
        for number in itertools.count():
            await asyncio.sleep(0.05)
            command = b"%d-%d" % (proposer, number)
            for leader in cluster.leaders()[:1]:
                outcome = await cluster.logs[leader].propose(command, 0.5)
                committed += [command] if isinstance(outcome, Ok) else []

    @pytest.mark.parametrize("with_disks", [False, True])
    @pytest.mark.parametrize("seed", range(6))
    @in_virtual_time
    async def test_schedule(self, seed, with_disks):
        rng = random.Random(seed)
        limits = Limits(compact_entries=40, segment_bytes=1500, chunk_bytes=600)
        cluster, _ = await start_members(seed=seed, limits=limits, sync_s=0.004)
        committed = []
        proposers = [
            self.propose_continuously(cluster, number, committed) for number in range(3)
        ]
        tasks = [asyncio.ensure_future(proposer) for proposer in proposers]
        for _ in range(60):
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            await self.inject_fault(cluster, rng, with_disks)
        self.remove_faults(cluster)
        cluster.start(*({0, 1, 2} - set(cluster.logs)))
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        await cluster.propose(b"end")
        await asyncio.sleep(1.0)
        first = cluster.commands[0]
        assert first == cluster.commands[1] == cluster.commands[2]
        assert len(set(first)) == len(first) and set(committed) <= set(first)
        assert len(committed) > 200
