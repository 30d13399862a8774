"""Tests of the streams from control daemons to entry daemons."""

import asyncio

from result import Err, Ok

from bramleyrouter.control.messages import SetAvailability
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import apply_announcement
from bramleyrouter.ids import DataCentre, OperatorRequestId
from tests.fleet.fleet_cluster import ADDRESSES, FIRST, EntryDaemon, Fleet
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time


async def start_fleet(entry_count=1):
    """Return three control daemons with a leader, and entry daemons."""
    fleet = Fleet()
    fleet.start(0, 1, 2)
    entries = [
        EntryDaemon(fleet, f"e{at}", 7500 + 10 * at) for at in range(entry_count)
    ]
    await fleet.until(lambda: fleet.leader() is not None)
    assert isinstance(await fleet.publish(3), Ok)
    return fleet, entries


def now():
    return asyncio.get_running_loop().time()


class TestRouteTables:
    @in_virtual_time
    async def test_table_is_in_force_soon_after_its_acknowledgement(self):
        """Guards against a published table that reaches entry daemons late."""
        fleet, (entry,) = await start_fleet()
        await fleet.publish(9, at=1)
        acknowledged = now()
        await fleet.until(lambda: entry.versions[-1:] == [(9, b'{"v":9}')])
        assert now() - acknowledged < 0.5

    @in_virtual_time
    async def test_older_table_is_acknowledged_and_changes_nothing(self):
        """Guards against a return to an older route table."""
        fleet, (entry,) = await start_fleet()
        for version in (9, 5, 9):
            assert isinstance(await fleet.publish(version), Ok)
        await asyncio.sleep(1.0)
        assert [version for version, _ in entry.versions] in ([3, 9], [9])
        assert fleet.controls[0].state_machine.routes().version == 9

    @in_virtual_time
    async def test_version_in_force_keeps_its_content(self):
        """Guards against two tables under one version."""
        fleet, _ = await start_fleet()
        await fleet.publish(9)
        control = fleet.controls[1]
        before = (await control.read(2.0)).ok_value
        await fleet.publish(9)
        assert (await control.read(2.0)).ok_value == before

    @in_virtual_time
    async def test_isolated_leader_does_not_answer_a_read(self):
        """Guards against a stale read from a leader without a majority."""
        fleet, _ = await start_fleet()
        leader = fleet.leader()
        others = [ADDRESSES[at] for at in range(3) if at != leader]
        fleet.fabric.cut_groups([ADDRESSES[leader]], others)
        await asyncio.sleep(2.0)
        assert isinstance(await fleet.controls[leader].read(0.9), Err)
        at = next(at for at in range(3) if at != leader)
        assert isinstance(await fleet.publish(9, at=at), Ok)
        assert (await fleet.controls[at].read(2.0)).ok_value.version == 9

    @in_virtual_time
    async def test_one_reachable_control_daemon_is_enough(self):
        """Guards against an entry daemon that depends on the leader."""
        fleet, (entry,) = await start_fleet()
        leader = fleet.leader()
        own = "127.0.0.1:7500"
        followers = [ADDRESSES[at] for at in range(3) if at != leader]
        fleet.fabric.cut_groups([own], [ADDRESSES[leader], followers[0]])
        await asyncio.sleep(3.0)
        await fleet.publish(9)
        acknowledged = now()
        await fleet.until(lambda: entry.versions[-1][0] == 9)
        assert now() - acknowledged < 1.0

    @in_virtual_time
    async def test_frozen_control_daemon_delays_nothing(self):
        """Guards against an entry daemon that waits for a frozen control daemon."""
        fleet, (entry,) = await start_fleet()
        at = (fleet.leader() + 1) % 3
        fleet.fabric.freeze(ADDRESSES[at])
        publishing_number = next(one for one in range(3) if one != at)
        await fleet.publish(9, at=publishing_number)
        acknowledged = now()
        await fleet.until(lambda: entry.versions[-1][0] == 9)
        assert now() - acknowledged < 1.0


class TestAvailability:
    @in_virtual_time
    async def test_availability_reaches_the_entry_daemons(self):
        """Guards against data centres that stay in use after they were taken out."""
        fleet, (entry,) = await start_fleet()
        for is_out in (True, False):
            order = SetAvailability(
                OperatorRequestId(f"o{is_out}"),
                "platform",
                is_out,
                data_centre=DataCentre("dc1"),
            )
            assert isinstance(await fleet.controls[0].operate(order, 2.0), Ok)
            wanted = {"dc1"} if is_out else set()
            await fleet.until(lambda want=wanted: entry.state.data_centres_out == want)


class TestServers:
    @in_virtual_time
    async def test_announcement_to_any_control_daemon_reaches_all_entries(self):
        """Guards against servers that only some entry daemons receive."""
        fleet, (one, two) = await start_fleet(2)
        apply_announcement(
            fleet.controls[0].registry, build_row("a", sequence=1), now()
        )
        apply_announcement(
            fleet.controls[2].registry, build_row("b", address="10.9.0.1:1"), now()
        )
        for entry in (one, two):
            await fleet.until(
                lambda entry=entry: set(entry.state.view.merged) == {"a", "b"}
            )

    @in_virtual_time
    async def test_draining_is_streamed_at_once(self):
        """Guards against requests to a server that is draining."""
        fleet, (entry,) = await start_fleet()
        apply_announcement(
            fleet.controls[0].registry, build_row("a", sequence=1), now()
        )
        await asyncio.sleep(0.5)
        drained = build_row("a", sequence=2, phase=ServerPhase.DRAINING)
        apply_announcement(fleet.controls[1].registry, drained, now())
        at = now()
        await fleet.until(
            lambda: entry.state.view.merged["a"].phase is ServerPhase.DRAINING
        )
        assert now() - at < 0.1

    @in_virtual_time
    async def test_silent_stream_is_reopened(self):
        """Guards against a dead stream that is held open."""
        fleet, (entry,) = await start_fleet()
        await asyncio.sleep(0.5)
        own = "127.0.0.1:7500"
        fleet.fabric.cut(own, ADDRESSES[0])
        await asyncio.sleep(3.0)
        apply_announcement(fleet.controls[0].registry, build_row("a"), now())
        assert entry.state.view.merged == {}
        fleet.fabric.heal()
        await fleet.until(lambda: "a" in entry.state.view.merged, 3.0)


class TestCounts:
    @in_virtual_time
    async def test_number_of_entry_daemons_is_streamed(self):
        """Guards against budgets that are divided by a wrong number."""
        fleet, entries = await start_fleet(3)
        # Until a count is received a large one is assumed: budgets are divided by
        # it and must not be exceeded.
        assert entries[0].watcher.entry_daemons() >= 3
        await asyncio.sleep(5.0)
        assert [entry.watcher.entry_daemons() for entry in entries] == [3, 3, 3]

    @in_virtual_time
    async def test_restarted_control_daemon_does_not_lower_the_count(self):
        """Guards against an incomplete count right after a start."""
        fleet, entries = await start_fleet(3)
        await asyncio.sleep(5.0)
        await fleet.kill(0)
        fleet.start(0)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert entries[0].watcher.entry_daemons() == 3


class TestMembers:
    @in_virtual_time
    async def test_lost_disk_is_replaced_before_the_next_loss(self):
        """Guards against lost data when two disks fail one after the other."""
        fleet, (entry,) = await start_fleet()
        await fleet.publish(9)
        lost = (fleet.leader() + 1) % 3
        await fleet.kill(lost)
        fleet.wipe(lost)
        fleet.start(lost, is_first_start=False)
        # After 4 s it is a full member again, and another one may be lost.
        await asyncio.sleep(4.0)
        another = next(at for at in range(3) if at != lost)
        await fleet.kill(another)
        fleet.wipe(another)
        at = next(at for at in fleet.controls)
        await fleet.until(lambda: fleet.leader() is not None)
        read = await fleet.controls[at].read(3.0)
        assert read.ok_value.version == 9
        assert isinstance(await fleet.publish(12, at=at), Ok)

    @in_virtual_time
    async def test_member_is_replaced_at_another_address(self):
        """Guards against a replacement that entry daemons never subscribe to."""
        fleet, (entry,) = await start_fleet()
        gone = (fleet.leader() + 1) % 3
        await fleet.kill(gone)
        await asyncio.sleep(1.0)
        fleet.start(3, is_first_start=False)
        await asyncio.sleep(4.0)
        members = {
            member.address
            for member in fleet.controls[fleet.leader()].log.status().members
        }
        assert members == {ADDRESSES[at] for at in range(4) if at != gone}
        # The entry daemon subscribes to the new member, which is not among the seeds.
        apply_announcement(fleet.controls[3].registry, build_row("a"), now())
        await fleet.until(lambda: "a" in entry.state.view.merged)
        another = next(at for at in range(3) if at != gone)
        await fleet.kill(another)
        await fleet.until(lambda: fleet.leader() is not None)
        at = next(iter(fleet.controls))
        assert isinstance(await fleet.publish(9, at=at), Ok)

    @in_virtual_time
    async def test_all_control_daemons_recover_when_killed_at_once(self):
        """Guards against a lost table after a power loss."""
        fleet, (entry,) = await start_fleet()
        await fleet.publish(9)
        for at in range(3):
            await fleet.kill(at)
        fleet.start(0, 1, 2)
        await fleet.until(lambda: fleet.leader() is not None)
        assert (await fleet.controls[0].read(3.0)).ok_value.version == 9
        await asyncio.sleep(3.0)
        assert len(entry.state.last_contact_at) == 3


class TestReturn:
    @in_virtual_time
    async def test_stream_starts_soon_after_a_partition_heals(self):
        """Guards against a first attempt that hangs while the peer starts.

        After a power loss of all VMs, entry daemons that started first had no
        route table for a second longer than necessary.
        """
        fleet, _ = await start_fleet()
        control = list(FIRST)
        fleet.fabric.cut_groups(["127.0.0.1:7600"], control)
        entry = EntryDaemon(fleet, "late", 7600)
        await asyncio.sleep(0.2)
        fleet.fabric.heal()
        healed = now()
        await fleet.until(lambda: entry.versions)
        assert now() - healed < 0.5


class TestContacts:
    @in_virtual_time
    async def test_every_update_counts_as_contact_with_its_data_centre(self):
        """Guards against an idle data centre that counts as unreachable."""
        fleet, (entry,) = await start_fleet()
        entry.contacts.clear()
        await asyncio.sleep(3.0)
        for data_centre in ("dc0", "dc1", "dc2"):
            assert entry.contacts.count(data_centre) >= 3
        fleet.fabric.cut_groups([ADDRESSES[2]], ["127.0.0.1:7500"])
        await asyncio.sleep(1.0)
        entry.contacts.clear()
        await asyncio.sleep(2.0)
        assert "dc2" not in entry.contacts and "dc1" in entry.contacts
