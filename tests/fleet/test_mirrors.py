"""Tests of remote streams that control daemons forward in their data centre."""

import asyncio

from result import Ok

from bramleyrouter.fleet.messages import Update
from bramleyrouter.fleet.mirrors import Mirror, apply_update, build_snapshot
from bramleyrouter.fleet.registry import apply_announcement
from tests.fleet.fleet_cluster import EntryDaemon, Fleet
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time

LOCAL, REMOTE = "dc0", "dc1"


def now():
    return asyncio.get_running_loop().time()


async def start_fleet():
    """Return a fleet with two local and one remote control daemon, and an entry."""
    fleet = Fleet(data_centres=(LOCAL, LOCAL, REMOTE, REMOTE))
    fleet.start(0, 1, 2)
    entry = EntryDaemon(fleet, "e0", 7500, LOCAL)
    await fleet.until(lambda: fleet.leader() is not None)
    assert isinstance(await fleet.publish(3), Ok)
    await asyncio.sleep(2.0)
    return fleet, entry


def server_ids_of(entry):
    return set(entry.state.view.merged)


class TestMirrors:
    @in_virtual_time
    async def test_only_one_subscription_to_a_remote_stream(self):
        """Guards against one remote stream for each entry daemon.

        With 84 VMs such streams made up two thirds of the bytes between data
        centres (benchmark "tsm grown").
        """
        fleet, entry = await start_fleet()
        others = [
            EntryDaemon(fleet, f"e{at}", 7500 + 10 * at, LOCAL) for at in (1, 2, 3)
        ]
        await asyncio.sleep(2.0)
        assert fleet.controls[2].publisher.count_subscribers() == 0
        assert fleet.controls[0].publisher.count_subscribers() == 4
        apply_announcement(fleet.controls[2].registry, build_row("s-far"), now())
        apply_announcement(fleet.controls[1].registry, build_row("s-near"), now())
        await asyncio.sleep(0.2)
        for each in (entry, *others):
            assert server_ids_of(each) == {"s-far", "s-near"}

    @in_virtual_time
    async def test_late_subscriber_receives_the_whole_state(self):
        """Guards against a subscriber that gets only later changes."""
        fleet, _ = await start_fleet()
        apply_announcement(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(5.0)
        late = EntryDaemon(fleet, "e9", 7590, LOCAL)
        await asyncio.sleep(2.0)
        assert fleet.controls[2].publisher.count_subscribers() == 0
        assert server_ids_of(late) == {"s-far"}
        assert late.versions[-1][0] == 3

    @in_virtual_time
    async def test_remote_stream_is_opened_directly_after_local_ones_end(self):
        """Guards against losing all streams with the forwarding control daemon."""
        fleet, entry = await start_fleet()
        for number in (0, 1):
            await fleet.kill(number)
        apply_announcement(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert server_ids_of(entry) == {"s-far"}
        assert fleet.controls[2].publisher.count_subscribers() == 1

    @in_virtual_time
    async def test_stream_that_local_ones_cannot_reach_is_opened_directly(self):
        """Guards against a stream lost because only the forwarders can't reach it."""
        fleet, entry = await start_fleet()
        local_addresses = [fleet.controls[at].address for at in (0, 1)]
        fleet.fabric.cut_groups(local_addresses, [fleet.controls[2].address])
        apply_announcement(fleet.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert server_ids_of(entry) == {"s-far"}

    @in_virtual_time
    async def test_entry_daemons_of_all_data_centres_are_counted(self):
        """Guards against budget shares that add up to more than the budget.

        Entry daemons receive the streams of remote control daemons through local
        ones, so each control daemon counts only those of its own data centre.
        """
        fleet, entry = await start_fleet()
        others = [EntryDaemon(fleet, f"e{at}", 7500 + 10 * at, LOCAL) for at in (1, 2)]
        remote = EntryDaemon(fleet, "f0", 7600, REMOTE)
        await asyncio.sleep(4.0)
        counts = {each.watcher.entry_daemons() for each in (entry, *others, remote)}
        assert counts == {4}

    @in_virtual_time
    async def test_single_local_control_daemon_forwards_nothing(self):
        """Guards against all streams depending on a single control daemon."""
        fleet = Fleet(data_centres=(LOCAL, REMOTE, REMOTE, REMOTE))
        fleet.start(0, 1, 2)
        EntryDaemon(fleet, "e0", 7500, LOCAL)
        await fleet.until(lambda: fleet.leader() is not None)
        await asyncio.sleep(2.0)
        assert [
            fleet.controls[at].publisher.count_subscribers() for at in range(3)
        ] == [
            1,
            1,
            1,
        ]


class TestSnapshot:
    def test_holds_the_latest_value_of_each_field(self):
        """Guards against a snapshot that misses a field or holds an older value."""
        mirror = Mirror("127.0.0.1:7300", 0.0)
        first = Update(
            (build_row("s0"), build_row("s1")),
            True,
            table_version=3,
            data_centre=REMOTE,
        )
        apply_update(mirror, first, 1.0)
        apply_update(mirror, Update(revision=2, data_centres_out=("dc2",)), 2.0)
        apply_update(
            mirror, Update((build_row("s1", sequence=5),), table_version=4), 3.0
        )
        apply_update(mirror, Update(), 4.0)
        snapshot = build_snapshot(mirror, 4.0)
        assert snapshot.is_full and snapshot.data_centre == REMOTE
        assert (snapshot.table_version, snapshot.revision) == (4, 2)
        assert snapshot.data_centres_out == ("dc2",)
        assert {item.server_id: item.sequence for item in snapshot.rows} == {
            "s0": 1,
            "s1": 5,
        }

    def test_cold_time_is_reduced_by_the_age_of_the_row(self):
        """Guards against a server that stays cold for each late subscriber."""
        mirror = Mirror("127.0.0.1:7300", 0.0)
        apply_update(mirror, Update((build_row("s0", cold_s=3.0),), True), 1.0)
        assert build_snapshot(mirror, 2.0).rows[0].cold_s == 2.0
        assert build_snapshot(mirror, 9.0).rows[0].cold_s == 0.0

    def test_full_update_replaces_the_former_state(self):
        """Guards against servers that stay after a full update left them out."""
        mirror = Mirror("127.0.0.1:7300", 0.0)
        apply_update(mirror, Update((build_row("s0"),), True, table_version=3), 1.0)
        apply_update(mirror, Update((build_row("s1"),), True), 2.0)
        snapshot = build_snapshot(mirror, 2.0)
        assert [item.server_id for item in snapshot.rows] == ["s1"]
        assert snapshot.table_version is None
