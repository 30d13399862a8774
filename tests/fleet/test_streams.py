import asyncio

from result import Err, Ok

from bramleyrouter.control.messages import SetAvailability
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import announce
from bramleyrouter.ids import DataCentre, OperatorRequestId
from tests.fleet.fleet_cluster import ADDRESSES, FIRST, Entry, Fleet
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time


async def started(entries=1):
    """Return three control daemons with a leader, and entry daemons."""
    fleet = Fleet()
    fleet.start(0, 1, 2)
    made = [Entry(fleet, f"e{at}", 7500 + 10 * at) for at in range(entries)]
    await fleet.until(lambda: fleet.leader() is not None)
    assert isinstance(await fleet.publish(3), Ok)
    return fleet, made


def now():
    return asyncio.get_running_loop().time()


class TestRouteTables:
    @in_virtual_time
    async def test_in_force_soon_after_the_acknowledgement(self):
        fleet, (entry,) = await started()
        await fleet.publish(9, at=1)
        acknowledged = now()
        await fleet.until(lambda: entry.versions[-1:] == [(9, b'{"v":9}')])
        assert now() - acknowledged < 0.5

    @in_virtual_time
    async def test_an_older_one_is_acknowledged_and_changes_nothing(self):
        fleet, (entry,) = await started()
        for version in (9, 5, 9):
            assert isinstance(await fleet.publish(version), Ok)
        await asyncio.sleep(1.0)
        assert [version for version, _ in entry.versions] in ([3, 9], [9])
        assert fleet.controls[0].machine.routes().version == 9

    @in_virtual_time
    async def test_other_content_under_the_version_held_is_not_read_back(self):
        fleet, _ = await started()
        await fleet.publish(9)
        control = fleet.controls[1]
        before = (await control.read(2.0)).ok_value
        await fleet.publish(9)
        assert (await control.read(2.0)).ok_value == before

    @in_virtual_time
    async def test_a_control_daemon_that_is_cut_off_does_not_answer_a_read(self):
        fleet, _ = await started()
        leader = fleet.leader()
        others = [ADDRESSES[at] for at in range(3) if at != leader]
        fleet.fabric.cut_groups([ADDRESSES[leader]], others)
        await asyncio.sleep(2.0)
        assert isinstance(await fleet.controls[leader].read(0.9), Err)
        at = next(at for at in range(3) if at != leader)
        assert isinstance(await fleet.publish(9, at=at), Ok)
        assert (await fleet.controls[at].read(2.0)).ok_value.version == 9

    @in_virtual_time
    async def test_one_control_daemon_that_can_be_reached_is_enough(self):
        fleet, (entry,) = await started()
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
    async def test_a_frozen_control_daemon_delays_nothing(self):
        fleet, (entry,) = await started()
        at = (fleet.leader() + 1) % 3
        fleet.fabric.freeze(ADDRESSES[at])
        publisher = next(one for one in range(3) if one != at)
        await fleet.publish(9, at=publisher)
        acknowledged = now()
        await fleet.until(lambda: entry.versions[-1][0] == 9)
        assert now() - acknowledged < 1.0


class TestAvailability:
    @in_virtual_time
    async def test_reaches_the_entry_daemons(self):
        fleet, (entry,) = await started()
        for is_out in (True, False):
            order = SetAvailability(
                OperatorRequestId(f"o{is_out}"),
                "platform",
                is_out,
                data_centre=DataCentre("dc1"),
            )
            assert isinstance(await fleet.controls[0].operate(order, 2.0), Ok)
            wanted = {"dc1"} if is_out else set()
            await fleet.until(lambda want=wanted: entry.watch.data_centres_out == want)


class TestServers:
    @in_virtual_time
    async def test_heard_anywhere_known_everywhere(self):
        fleet, (one, two) = await started(2)
        announce(fleet.controls[0].registry, build_row("a", sequence=1), now())
        announce(
            fleet.controls[2].registry, build_row("b", address="10.9.0.1:1"), now()
        )
        for entry in (one, two):
            await fleet.until(
                lambda entry=entry: set(entry.watch.view.merged) == {"a", "b"}
            )

    @in_virtual_time
    async def test_draining_is_known_at_once(self):
        fleet, (entry,) = await started()
        announce(fleet.controls[0].registry, build_row("a", sequence=1), now())
        await asyncio.sleep(0.5)
        drained = build_row("a", sequence=2, phase=ServerPhase.DRAINING)
        announce(fleet.controls[1].registry, drained, now())
        at = now()
        await fleet.until(
            lambda: entry.watch.view.merged["a"].phase is ServerPhase.DRAINING
        )
        assert now() - at < 0.1

    @in_virtual_time
    async def test_a_stream_that_fell_silent_is_opened_again(self):
        fleet, (entry,) = await started()
        await asyncio.sleep(0.5)
        own = "127.0.0.1:7500"
        fleet.fabric.cut(own, ADDRESSES[0])
        await asyncio.sleep(3.0)
        announce(fleet.controls[0].registry, build_row("a"), now())
        assert entry.watch.view.merged == {}
        fleet.fabric.heal()
        await fleet.until(lambda: "a" in entry.watch.view.merged, 3.0)


class TestCounts:
    @in_virtual_time
    async def test_the_number_of_entry_daemons_is_told(self):
        fleet, entries = await started(3)
        # Before any was told, a large one is assumed: what is divided by it
        # must not be used twice.
        assert entries[0].watcher.entry_daemons() >= 3
        await asyncio.sleep(5.0)
        assert [entry.watcher.entry_daemons() for entry in entries] == [3, 3, 3]

    @in_virtual_time
    async def test_a_restarted_control_daemon_does_not_lower_it(self):
        fleet, entries = await started(3)
        await asyncio.sleep(5.0)
        await fleet.kill(0)
        fleet.start(0)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert entries[0].watcher.entry_daemons() == 3


class TestMembers:
    @in_virtual_time
    async def test_a_lost_disk_is_made_up_for_before_the_next_loss(self):
        fleet, (entry,) = await started()
        await fleet.publish(9)
        lost = (fleet.leader() + 1) % 3
        await fleet.kill(lost)
        fleet.wipe(lost)
        fleet.start(lost, is_first_start=False)
        # After 4 s it counts again, and another one may be lost.
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
    async def test_a_member_replaced_at_another_address(self):
        fleet, (entry,) = await started()
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
        # The entry daemon follows the newcomer, which the seeds do not name.
        announce(fleet.controls[3].registry, build_row("a"), now())
        await fleet.until(lambda: "a" in entry.watch.view.merged)
        another = next(at for at in range(3) if at != gone)
        await fleet.kill(another)
        await fleet.until(lambda: fleet.leader() is not None)
        at = next(iter(fleet.controls))
        assert isinstance(await fleet.publish(9, at=at), Ok)

    @in_virtual_time
    async def test_all_killed_at_once_come_back(self):
        fleet, (entry,) = await started()
        await fleet.publish(9)
        for at in range(3):
            await fleet.kill(at)
        fleet.start(0, 1, 2)
        await fleet.until(lambda: fleet.leader() is not None)
        assert (await fleet.controls[0].read(3.0)).ok_value.version == 9
        await asyncio.sleep(3.0)
        assert len(entry.watch.last_contact_at) == 3


class TestReturn:
    @in_virtual_time
    async def test_a_control_daemon_that_was_dark_is_heard_soon(self):
        """Guards against a first attempt that hangs while the peer starts.

        After a power loss of all VMs, entry daemons that started first knew no
        route table for a second more than needed.
        """
        fleet, _ = await started()
        control = list(FIRST)
        fleet.fabric.cut_groups(["127.0.0.1:7600"], control)
        entry = Entry(fleet, "late", 7600)
        await asyncio.sleep(0.2)
        fleet.fabric.heal()
        healed = now()
        await fleet.until(lambda: entry.versions)
        assert now() - healed < 0.5


class TestContacts:
    @in_virtual_time
    async def test_every_update_is_a_sign_of_life_of_its_data_centre(self):
        """Guards against a daemon that is cut off for want of traffic."""
        fleet, (entry,) = await started()
        entry.contacts.clear()
        await asyncio.sleep(3.0)
        for data_centre in ("dc0", "dc1", "dc2"):
            assert entry.contacts.count(data_centre) >= 3
        fleet.fabric.cut_groups([ADDRESSES[2]], ["127.0.0.1:7500"])
        await asyncio.sleep(1.0)
        entry.contacts.clear()
        await asyncio.sleep(2.0)
        assert "dc2" not in entry.contacts and "dc1" in entry.contacts
