"""Tests of a first start that is known to be the first, with members missing."""

import asyncio
import random

import pytest
from result import Ok

from bramleyrouter.consensus.bootstrap import (
    build_predefined_record,
    can_predefine,
    compute_next_member_record,
    compute_survivor_record,
)
from bramleyrouter.consensus.entries import MemberRecord
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.ids import MemberId
from tests.support.log_cluster import ADDRESSES, LogCluster, in_virtual_time

FIRST = ADDRESSES[:3]
A, B, C = FIRST


def make_predefined(address, is_active=False):
    """Return the record of a first member that knows the first start."""
    record = build_predefined_record(address, FIRST)
    return MemberRecord(
        record.member_id,
        record.cluster_id,
        record.initial_members,
        is_active,
        is_predefined=True,
    )


def compute(own, address, reported, tolerated_losses=1):
    """Return the next record of a member."""
    return compute_next_member_record(
        own, address, FIRST, reported, "fresh", True, tolerated_losses
    )


class TestPredefinedRecord:
    """Guards against members that don't agree without having talked."""

    def test_all_first_members_store_the_same_configuration(self):
        records = [build_predefined_record(item, FIRST) for item in FIRST]
        assert len({(item.cluster_id, item.initial_members) for item in records}) == 1
        assert len({item.member_id for item in records}) == 3
        assert not any(item.is_active for item in records)

    def test_the_order_of_the_seeds_does_not_matter(self):
        assert build_predefined_record(A, (C, A, B)) == build_predefined_record(
            A, FIRST
        )

    def test_other_seeds_give_other_ids(self):
        other = build_predefined_record(A, (A, B, ADDRESSES[3]))
        assert other.member_id != build_predefined_record(A, FIRST).member_id

    @pytest.mark.parametrize(
        "address, tolerated_losses, expected",
        [(A, 1, True), (A, 2, False), (ADDRESSES[3], 1, False)],
    )
    def test_a_majority_must_outnumber_the_lost_disks(
        self, address, tolerated_losses, expected
    ):
        assert can_predefine(address, FIRST, tolerated_losses) is expected


class TestNextRecord:
    """Guards against a member that is active too early or waits too long."""

    def test_alone_it_waits(self):
        assert compute(make_predefined(A), A, {}) is None

    def test_a_majority_is_enough(self):
        found = compute(make_predefined(A), A, {C: make_predefined(C)})
        assert found == make_predefined(A, is_active=True)

    def test_a_member_without_a_folder_is_no_majority(self):
        reported = {B: MemberRecord(MemberId("new-b"))}
        assert compute(make_predefined(A), A, reported) is None

    def test_it_exchanges_ids_if_no_majority_can_exist(self):
        """Guards against a first start without end.

        Two processes were started again before they had a folder.
        """
        reported = {
            B: MemberRecord(MemberId("new-b")),
            C: MemberRecord(MemberId("new-c")),
        }
        own = make_predefined(A)
        assert compute(own, A, reported) == MemberRecord(own.member_id)

    def test_disks_that_may_be_lost_are_no_proof(self):
        reported = {
            B: MemberRecord(MemberId("new-b")),
            C: MemberRecord(MemberId("new-c")),
        }
        assert compute(make_predefined(A), A, reported, tolerated_losses=2) is None

    def test_an_active_member_never_changes_its_record(self):
        reported = {
            B: MemberRecord(MemberId("new-b")),
            C: MemberRecord(MemberId("new-c")),
        }
        assert compute(make_predefined(A, is_active=True), A, reported) is None

    def test_an_exchange_waits_for_a_member_that_may_still_store(self):
        members = tuple(
            Member(MemberId(name), address)
            for name, address in zip("abc", FIRST, strict=True)
        )
        own = MemberRecord(MemberId("a"), "cluster", members)
        stored = MemberRecord(MemberId("b"), "cluster", members)
        pending = {B: stored, C: MemberRecord(MemberId("c"))}
        assert compute(own, A, {B: stored}) is None
        assert compute(own, A, pending) is None
        replaced = {B: stored, C: MemberRecord(MemberId("other"))}
        assert compute(own, A, replaced).is_active


class TestSurvivor:
    """Guards against a log without a majority for good, and against a second log."""

    NEW = {B: MemberRecord(MemberId("new-b")), C: MemberRecord(MemberId("new-c"))}

    def survive(self, own, reported, tolerated_losses=1):
        return compute_survivor_record(own, A, reported, tolerated_losses)

    def test_all_others_are_replaced(self):
        own = make_predefined(A, is_active=True)
        found = self.survive(own, self.NEW)
        assert found.initial_members == (Member(own.member_id, A),)
        assert found.cluster_id == own.cluster_id and found.is_active

    @pytest.mark.parametrize("other", [make_predefined(B), make_predefined(B, True)])
    def test_a_listed_member_is_there(self, other):
        own = make_predefined(A, is_active=True)
        assert self.survive(own, {**self.NEW, B: other}) is None

    def test_a_member_has_not_reported(self):
        own = make_predefined(A, is_active=True)
        assert self.survive(own, {B: self.NEW[B]}) is None

    def test_a_replaced_member_was_added_to_the_cluster(self):
        own = make_predefined(A, is_active=True)
        added = MemberRecord(MemberId("new-b"), own.cluster_id, (), True)
        assert self.survive(own, {**self.NEW, B: added}) is None

    def test_so_many_disks_may_be_lost(self):
        own = make_predefined(A, is_active=True)
        assert self.survive(own, self.NEW, tolerated_losses=2) is None


class TestMissingMembers:
    """Guards against a first start that needs every first member."""

    @pytest.mark.parametrize("missing", range(3))
    @in_virtual_time
    async def test_one_member_never_starts(self, missing):
        cluster = LogCluster(is_first_start=True, sync_s=0.02)
        present = {0, 1, 2} - {missing}
        cluster.start(*present)
        await cluster.propose(b"a")
        cluster.start(missing)
        await cluster.propose(b"b")
        await asyncio.sleep(1.0)
        assert list(cluster.commands.values()) == [[b"a", b"b"]] * 3

    @in_virtual_time
    async def test_one_member_never_starts_where_two_may_be_lost(self):
        cluster = LogCluster(is_first_start=True, tolerated_losses=2)
        cluster.start(0, 1)
        await cluster.propose(b"a")

    @pytest.mark.parametrize("lost", range(3))
    @in_virtual_time
    async def test_a_disk_is_lost(self, lost):
        for moment in range(60):
            cluster = LogCluster(seed=moment, sync_s=0.02, is_first_start=True)
            cluster.start(0, 1, 2)
            await asyncio.sleep(moment * 0.02)
            await cluster.lose_disk(lost)
            await asyncio.sleep(0.3)
            cluster.is_first_start = False
            cluster.start(lost)
            await cluster.propose(b"a")
            for number in range(3):
                await cluster.kill(number)

    @pytest.mark.parametrize("killed", [(0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)])
    @in_virtual_time
    async def test_processes_end_before_they_have_a_folder(self, killed):
        """Guards against a first start without end after early ends of processes."""
        cluster = LogCluster(is_first_start=True, sync_s=0.02)
        cluster.start(*({0, 1, 2} - set(killed)))
        await asyncio.sleep(0.5)
        cluster.is_first_start = False
        cluster.start(*killed)
        await cluster.propose(b"a")

    @in_virtual_time
    async def test_one_of_two_members_ends_before_it_has_a_folder(self):
        """Guards against a first start without end with two seeds."""
        cluster = LogCluster(is_first_start=True, first_members=ADDRESSES[:2])
        cluster.start(0)
        await asyncio.sleep(0.5)
        cluster.is_first_start = False
        cluster.start(1)
        await cluster.propose(b"a")

    @in_virtual_time
    async def test_a_disk_is_lost_before_a_member_without_a_folder_has_joined(self):
        """Guards against a log without a majority for good, though one disk is lost."""
        cluster = LogCluster(is_first_start=True)
        cluster.start(0, 1)
        await cluster.propose(b"a")
        await cluster.lose_disk(0)
        cluster.is_first_start = False
        cluster.start(0, 2)
        # What a leader that is cut off still answers has ended by then.
        await asyncio.sleep(10.0)
        leader = await cluster.propose(b"b")
        assert cluster.commands[leader] == [b"a", b"b"]

    @in_virtual_time
    async def test_a_lost_disk_does_not_vote_again(self):
        cluster = LogCluster(is_first_start=True)
        cluster.start(0, 1, 2)
        cluster.isolate(2)
        await cluster.propose(b"a", among={0, 1})
        await cluster.lose_disk(0)
        cluster.fabric.heal()
        cluster.isolate(1)
        cluster.is_first_start = False
        cluster.start(0)
        await asyncio.sleep(10.0)
        assert not any(cluster.logs[number].is_current() for number in (0, 2))

    @in_virtual_time
    async def test_a_member_that_was_cut_off_joins_no_second_cluster(self):
        cluster = LogCluster(is_first_start=True)
        cluster.start(0, 1, 2)
        cluster.isolate(0)
        await cluster.propose(b"a", among={1, 2})
        await cluster.lose_disk(1)
        cluster.is_first_start = False
        cluster.start(1)
        cluster.fabric.heal()
        await cluster.propose(b"b", among={0, 2})
        await asyncio.sleep(1.0)
        assert cluster.commands[0] == cluster.commands[2] == [b"a", b"b"]


class TestRandomFirstStarts:
    """Guards against lost acknowledgements and starts without end.

    Processes are late, killed (also before they have a folder), frozen or cut off, lose
    power, or their disk, one disk at most.
    """

    @pytest.mark.parametrize("seed", range(40))
    @in_virtual_time
    async def test_schedule(self, seed):
        await play_schedule(seed)


KINDS = ("start",) * 3 + ("early", "end", "power", "disk", "propose", "cut", "freeze")


async def play_schedule(seed):
    """Play one random first start and check what was acknowledged."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    cluster = LogCluster(seed=seed, sync_s=rng.choice([0.0, 0.02, 0.1]))
    cluster.is_first_start = True
    acknowledged, is_disk_lost = [], False
    has_started = dict.fromkeys(range(3), False)
    end = loop.time() + 3.0

    def start(number):
        # A process that is started again isn't told that this is the first start.
        cluster.is_first_start = not has_started[number]
        has_started[number] = True
        cluster.start(number)

    async def propose(command):
        for number in cluster.leaders():
            outcome = await cluster.logs[number].propose(command, 0.3)
            if isinstance(outcome, Ok):
                acknowledged.append(command)
                return

    step = 0
    while loop.time() < end:
        step += 1
        await asyncio.sleep(rng.uniform(0.0, 0.25))
        number = rng.randrange(3)
        kind = rng.choice(KINDS)
        if kind == "start" and number not in cluster.logs:
            start(number)
        elif kind == "early":
            # A process that ended before it had a folder.
            has_started[number] = True
        elif kind == "end" and number in cluster.logs:
            await cluster.end_process(number)
        elif kind == "power" and number in cluster.logs:
            await cluster.kill(number)
        elif kind == "disk" and number in cluster.logs and not is_disk_lost:
            is_disk_lost = True
            await cluster.lose_disk(number)
        elif kind == "cut":
            cluster.isolate(number)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            cluster.fabric.heal()
        elif kind == "freeze":
            cluster.fabric.freeze(ADDRESSES[number])
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            cluster.fabric.thaw(ADDRESSES[number])
        elif kind == "propose":
            await propose(b"%d" % step)
    for number in {0, 1, 2} - set(cluster.logs):
        start(number)
    async with asyncio.timeout(20.0):
        while not acknowledged or acknowledged[-1] != b"last":
            await propose(b"last")
            await asyncio.sleep(0.05)
    leader = await cluster.wait_for_leader()
    await cluster.logs[leader].read_barrier(5.0)
    # A proposal without an acknowledgement may be there too.
    found = [item for item in cluster.commands[leader] if item in acknowledged]
    assert list(dict.fromkeys(found)) == acknowledged, seed
