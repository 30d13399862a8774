"""Tests of far streams that control daemons pass on."""

import asyncio

from result import Ok

from bramleyrouter.fleet.messages import Update
from bramleyrouter.fleet.mirrors import Mirror, snapshot, take
from bramleyrouter.fleet.registry import announce
from tests.fleet.fleet_cluster import Entry, Fleet
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time

NEAR, FAR = "dc0", "dc1"


def now():
    return asyncio.get_running_loop().time()


async def started():
    """Return a fleet with two control daemons here and one far, and an entry."""
    fleet = Fleet(centres=(NEAR, NEAR, FAR, FAR))
    fleet.start(0, 1, 2)
    entry = Entry(fleet, "e0", 7500, NEAR)
    await fleet.until(lambda: fleet.leader() is not None)
    assert isinstance(await fleet.publish(3), Ok)
    await asyncio.sleep(2.0)
    return fleet, entry


def servers_of(entry):
    return set(entry.watch.view.merged)


class TestMirrors:
    @in_virtual_time
    async def test_a_far_stream_comes_in_once(self):
        """Guards against a far stream for each entry daemon: on 84 VMs they were
        two thirds of the bytes between data centres (bench: tsm grown).
        """
        fleet, entry = await started()
        others = [Entry(fleet, f"e{at}", 7500 + 10 * at, NEAR) for at in (1, 2, 3)]
        await asyncio.sleep(2.0)
        assert fleet.controls[2].publishing.subscribers() == 0
        assert fleet.controls[0].publishing.subscribers() == 4
        announce(fleet.controls[2].registry, build_row("s-far"), now())
        announce(fleet.controls[1].registry, build_row("s-near"), now())
        await asyncio.sleep(0.2)
        for each in (entry, *others):
            assert servers_of(each) == {"s-far", "s-near"}

    @in_virtual_time
    async def test_a_late_follower_is_told_everything(self):
        fleet, _ = await started()
        announce(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(5.0)
        late = Entry(fleet, "e9", 7590, NEAR)
        await asyncio.sleep(2.0)
        assert fleet.controls[2].publishing.subscribers() == 0
        assert servers_of(late) == {"s-far"}
        assert late.versions[-1][0] == 3

    @in_virtual_time
    async def test_the_far_one_is_followed_directly_when_those_nearby_end(self):
        """Guards against losing all streams with the one that passes them on."""
        fleet, entry = await started()
        for number in (0, 1):
            await fleet.kill(number)
        announce(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert servers_of(entry) == {"s-far"}
        assert fleet.controls[2].publishing.subscribers() == 1

    @in_virtual_time
    async def test_a_far_one_that_those_nearby_cannot_reach_is_followed_directly(self):
        fleet, entry = await started()
        near = [fleet.controls[at].address for at in (0, 1)]
        fleet.fabric.cut_groups(near, [fleet.controls[2].address])
        announce(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert servers_of(entry) == {"s-far"}

    @in_virtual_time
    async def test_entry_daemons_of_all_data_centres_are_counted(self):
        """Guards against shares of the budgets that add up to more than all.

        An entry daemon follows the far control daemons through those nearby,
        so each of these knows only the entry daemons of its data centre.
        """
        fleet, entry = await started()
        others = [Entry(fleet, f"e{at}", 7500 + 10 * at, NEAR) for at in (1, 2)]
        far = Entry(fleet, "f0", 7600, FAR)
        await asyncio.sleep(4.0)
        counts = {each.watcher.entry_daemons() for each in (entry, *others, far)}
        assert counts == {4}

    @in_virtual_time
    async def test_one_nearby_passes_nothing_on(self):
        fleet = Fleet(centres=(NEAR, FAR, FAR, FAR))
        fleet.start(0, 1, 2)
        Entry(fleet, "e0", 7500, NEAR)
        await fleet.until(lambda: fleet.leader() is not None)
        await asyncio.sleep(2.0)
        assert [fleet.controls[at].publishing.subscribers() for at in range(3)] == [
            1,
            1,
            1,
        ]


class TestSnapshot:
    def test_holds_the_latest_of_everything(self):
        mirror = Mirror("127.0.0.1:7300", 0.0)
        first = Update(
            (build_row("s0"), build_row("s1")), True, table_version=3, data_centre=FAR
        )
        take(mirror, first, 1.0)
        take(mirror, Update(revision=2, data_centres_out=("dc2",)), 2.0)
        take(mirror, Update((build_row("s1", sequence=5),), table_version=4), 3.0)
        take(mirror, Update(), 4.0)
        told = snapshot(mirror, 4.0)
        assert told.is_full and told.data_centre == FAR
        assert (told.table_version, told.revision) == (4, 2)
        assert told.data_centres_out == ("dc2",)
        assert {item.server_id: item.sequence for item in told.rows} == {
            "s0": 1,
            "s1": 5,
        }

    def test_servers_are_as_cold_as_they_are_now(self):
        """Guards against a server that stays cold for each late follower."""
        mirror = Mirror("127.0.0.1:7300", 0.0)
        take(mirror, Update((build_row("s0", cold_s=3.0),), True), 1.0)
        assert snapshot(mirror, 2.0).rows[0].cold_s == 2.0
        assert snapshot(mirror, 9.0).rows[0].cold_s == 0.0

    def test_a_full_update_replaces_what_was_told(self):
        mirror = Mirror("127.0.0.1:7300", 0.0)
        take(mirror, Update((build_row("s0"),), True, table_version=3), 1.0)
        take(mirror, Update((build_row("s1"),), True), 2.0)
        told = snapshot(mirror, 2.0)
        assert [item.server_id for item in told.rows] == ["s1"]
        assert told.table_version is None
