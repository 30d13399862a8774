"""Tests of the streams from control daemons to entry daemons."""

import asyncio

from result import Err, Ok

from bramleyrouter.control.messages import SetAvailability
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import apply_announcement
from bramleyrouter.ids import DataCentre, OperatorRequestId
from tests.fleet.fleet_cluster import (
    ADDRESSES,
    INITIAL_ADDRESSES,
    EntryDaemon,
    FleetCluster,
)
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time


async def start_cluster(entry_count=1):
    """Return three control daemons with a leader, and entry daemons."""
    cluster = FleetCluster()
    cluster.start(0, 1, 2)
    entries = [
        EntryDaemon(cluster, f"e{number}", 7500 + 10 * number)
        for number in range(entry_count)
    ]
    await cluster.wait_until(lambda: cluster.leader() is not None)
    assert isinstance(await cluster.publish(3), Ok)
    return cluster, entries


def now():
    return asyncio.get_running_loop().time()


class TestRouteTables:
    @in_virtual_time
    async def test_table_is_in_force_soon_after_its_acknowledgement(self):
        """Guards against a published table that reaches entry daemons late."""
        cluster, (entry,) = await start_cluster()
        await cluster.publish(9, number=1)
        acknowledged = now()
        await cluster.wait_until(lambda: entry.versions[-1:] == [(9, b'{"v":9}')])
        assert now() - acknowledged < 0.5

    @in_virtual_time
    async def test_older_table_is_acknowledged_and_changes_nothing(self):
        """Guards against a return to an older route table."""
        cluster, (entry,) = await start_cluster()
        for version in (9, 5, 9):
            assert isinstance(await cluster.publish(version), Ok)
        await asyncio.sleep(1.0)
        assert [version for version, _ in entry.versions] in ([3, 9], [9])
        assert cluster.controls[0].state_machine.routes().version == 9

    @in_virtual_time
    async def test_version_in_force_keeps_its_content(self):
        """Guards against two tables under one version."""
        cluster, _ = await start_cluster()
        await cluster.publish(9)
        control = cluster.controls[1]
        before = (await control.read(2.0)).ok_value
        await cluster.publish(9)
        assert (await control.read(2.0)).ok_value == before

    @in_virtual_time
    async def test_isolated_leader_does_not_answer_a_read(self):
        """Guards against a stale read from a leader without a majority."""
        cluster, _ = await start_cluster()
        leader = cluster.leader()
        others = [ADDRESSES[number] for number in range(3) if number != leader]
        cluster.fabric.cut_groups([ADDRESSES[leader]], others)
        await asyncio.sleep(2.0)
        assert isinstance(await cluster.controls[leader].read(0.9), Err)
        number = next(number for number in range(3) if number != leader)
        assert isinstance(await cluster.publish(9, number=number), Ok)
        assert (await cluster.controls[number].read(2.0)).ok_value.version == 9

    @in_virtual_time
    async def test_one_reachable_control_daemon_is_enough(self):
        """Guards against an entry daemon that depends on the leader."""
        cluster, (entry,) = await start_cluster()
        leader = cluster.leader()
        own = "127.0.0.1:7500"
        followers = [ADDRESSES[number] for number in range(3) if number != leader]
        cluster.fabric.cut_groups([own], [ADDRESSES[leader], followers[0]])
        await asyncio.sleep(3.0)
        await cluster.publish(9)
        acknowledged = now()
        await cluster.wait_until(lambda: entry.versions[-1][0] == 9)
        assert now() - acknowledged < 1.0

    @in_virtual_time
    async def test_frozen_control_daemon_delays_nothing(self):
        """Guards against an entry daemon that waits for a frozen control daemon."""
        cluster, (entry,) = await start_cluster()
        number = (cluster.leader() + 1) % 3
        cluster.fabric.freeze(ADDRESSES[number])
        publishing_number = next(one for one in range(3) if one != number)
        await cluster.publish(9, number=publishing_number)
        acknowledged = now()
        await cluster.wait_until(lambda: entry.versions[-1][0] == 9)
        assert now() - acknowledged < 1.0


class TestTablesWithCustomers:
    """Guard against withdrawn keys that become valid again through a restart."""

    @in_virtual_time
    async def test_no_older_table_while_the_newest_is_not_known(self):
        cluster, _ = await start_cluster()
        cluster.must_be_current = lambda document: True
        number = (cluster.leader() + 1) % 3
        others = [
            address for address in INITIAL_ADDRESSES if address != ADDRESSES[number]
        ]
        # The table with the withdrawal reaches the others only, and then an entry
        # daemon starts that reaches none of them.
        cluster.fabric.cut_groups([ADDRESSES[number], "127.0.0.1:7600"], others)
        await cluster.publish(9, number=(number + 1) % 3)
        await asyncio.sleep(2.0)
        assert cluster.controls[number].state_machine.routes().version == 3
        entry = EntryDaemon(cluster, "e9", 7600)
        await asyncio.sleep(5.0)
        assert entry.versions == []
        cluster.fabric.heal()
        await cluster.wait_until(lambda: entry.versions == [(9, b'{"v":9}')])


class TestAvailability:
    @in_virtual_time
    async def test_availability_reaches_the_entry_daemons(self):
        """Guards against data centres that stay in use after they were taken out."""
        cluster, (entry,) = await start_cluster()
        for is_out in (True, False):
            order = SetAvailability(
                OperatorRequestId(f"o{is_out}"),
                "platform",
                is_out,
                data_centre=DataCentre("dc1"),
            )
            assert isinstance(await cluster.controls[0].operate(order, 2.0), Ok)
            wanted = {"dc1"} if is_out else set()
            await cluster.wait_until(
                lambda want=wanted: entry.state.data_centres_out == want
            )


class TestServers:
    @in_virtual_time
    async def test_announcement_to_any_control_daemon_reaches_all_entries(self):
        """Guards against servers that only some entry daemons receive."""
        cluster, (one, two) = await start_cluster(2)
        apply_announcement(
            cluster.controls[0].registry, build_row("a", sequence=1), now()
        )
        apply_announcement(
            cluster.controls[2].registry, build_row("b", address="10.9.0.1:1"), now()
        )
        for entry in (one, two):
            await cluster.wait_until(
                lambda entry=entry: set(entry.state.view.merged) == {"a", "b"}
            )

    @in_virtual_time
    async def test_draining_is_streamed_at_once(self):
        """Guards against requests to a server that is draining."""
        cluster, (entry,) = await start_cluster()
        apply_announcement(
            cluster.controls[0].registry, build_row("a", sequence=1), now()
        )
        await asyncio.sleep(0.5)
        drained = build_row("a", sequence=2, phase=ServerPhase.DRAINING)
        apply_announcement(cluster.controls[1].registry, drained, now())
        drained_at = now()
        await cluster.wait_until(
            lambda: entry.state.view.merged["a"].phase is ServerPhase.DRAINING
        )
        assert now() - drained_at < 0.1

    @in_virtual_time
    async def test_silent_stream_is_reopened(self):
        """Guards against a dead stream that is held open."""
        cluster, (entry,) = await start_cluster()
        await asyncio.sleep(0.5)
        own = "127.0.0.1:7500"
        cluster.fabric.cut(own, ADDRESSES[0])
        await asyncio.sleep(3.0)
        apply_announcement(cluster.controls[0].registry, build_row("a"), now())
        assert entry.state.view.merged == {}
        cluster.fabric.heal()
        await cluster.wait_until(lambda: "a" in entry.state.view.merged, 3.0)


class TestCounts:
    @in_virtual_time
    async def test_number_of_entry_daemons_is_streamed(self):
        """Guards against budgets that are divided by a wrong number."""
        cluster, entries = await start_cluster(3)
        # No number is assumed until a count is received: in a larger fleet the parts of
        # a budget would exceed it.
        assert entries[0].watcher.entry_daemons() is None
        await asyncio.sleep(5.0)
        assert [entry.watcher.entry_daemons() for entry in entries] == [3, 3, 3]

    @in_virtual_time
    async def test_restarted_control_daemon_does_not_lower_the_count(self):
        """Guards against an incomplete count right after a start."""
        cluster, entries = await start_cluster(3)
        await asyncio.sleep(5.0)
        await cluster.kill(0)
        cluster.start(0)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert entries[0].watcher.entry_daemons() == 3


class TestMembers:
    @in_virtual_time
    async def test_lost_disk_is_replaced_before_the_next_loss(self):
        """Guards against lost data when two disks fail one after the other."""
        cluster, (entry,) = await start_cluster()
        await cluster.publish(9)
        lost = (cluster.leader() + 1) % 3
        await cluster.kill(lost)
        cluster.wipe(lost)
        cluster.start(lost, is_first_start=False)
        # After 4 s it is a full member again, and another one may be lost.
        await asyncio.sleep(4.0)
        another = next(number for number in range(3) if number != lost)
        await cluster.kill(another)
        cluster.wipe(another)
        number = next(number for number in cluster.controls)
        await cluster.wait_until(lambda: cluster.leader() is not None)
        read = await cluster.controls[number].read(3.0)
        assert read.ok_value.version == 9
        assert isinstance(await cluster.publish(12, number=number), Ok)

    @in_virtual_time
    async def test_member_is_replaced_at_another_address(self):
        """Guards against a replacement that entry daemons never subscribe to."""
        cluster, (entry,) = await start_cluster()
        gone = (cluster.leader() + 1) % 3
        await cluster.kill(gone)
        await asyncio.sleep(1.0)
        cluster.start(3, is_first_start=False)
        await asyncio.sleep(4.0)
        members = {
            member.address
            for member in cluster.controls[cluster.leader()].log.status().members
        }
        assert members == {ADDRESSES[number] for number in range(4) if number != gone}
        # The entry daemon subscribes to the new member, which is not among the seeds.
        apply_announcement(cluster.controls[3].registry, build_row("a"), now())
        await cluster.wait_until(lambda: "a" in entry.state.view.merged)
        another = next(number for number in range(3) if number != gone)
        await cluster.kill(another)
        await cluster.wait_until(lambda: cluster.leader() is not None)
        number = next(iter(cluster.controls))
        assert isinstance(await cluster.publish(9, number=number), Ok)

    @in_virtual_time
    async def test_all_control_daemons_recover_when_killed_at_once(self):
        """Guards against a lost table after a power loss."""
        cluster, (entry,) = await start_cluster()
        await cluster.publish(9)
        for number in range(3):
            await cluster.kill(number)
        cluster.start(0, 1, 2)
        await cluster.wait_until(lambda: cluster.leader() is not None)
        assert (await cluster.controls[0].read(3.0)).ok_value.version == 9
        await asyncio.sleep(3.0)
        assert len(entry.state.last_contact_at) == 3


class TestReturn:
    @in_virtual_time
    async def test_stream_starts_soon_after_a_partition_heals(self):
        """Guards against a first attempt that hangs while the peer starts.

        After a power loss of all VMs, entry daemons that started first had no
        route table for a second longer than necessary.
        """
        cluster, _ = await start_cluster()
        control = list(INITIAL_ADDRESSES)
        cluster.fabric.cut_groups(["127.0.0.1:7600"], control)
        entry = EntryDaemon(cluster, "late", 7600)
        await asyncio.sleep(0.2)
        cluster.fabric.heal()
        healed = now()
        await cluster.wait_until(lambda: entry.versions)
        assert now() - healed < 0.5


class TestContacts:
    @in_virtual_time
    async def test_every_update_counts_as_contact_with_its_data_centre(self):
        """Guards against an idle data centre that counts as unreachable."""
        cluster, (entry,) = await start_cluster()
        entry.contacts.clear()
        await asyncio.sleep(3.0)
        for data_centre in ("dc0", "dc1", "dc2"):
            assert entry.contacts.count(data_centre) >= 3
        cluster.fabric.cut_groups([ADDRESSES[2]], ["127.0.0.1:7500"])
        await asyncio.sleep(1.0)
        entry.contacts.clear()
        await asyncio.sleep(2.0)
        assert "dc2" not in entry.contacts and "dc1" in entry.contacts
