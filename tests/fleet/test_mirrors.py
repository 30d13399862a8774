"""Tests of remote streams that control daemons forward in their data centre."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.messages import RolloutUpdate, Update
from bramleyrouter.fleet.mirrors import (
    Mirror,
    Mirrors,
    apply_update,
    build_snapshot,
    forward_stream,
)
from bramleyrouter.fleet.registry import apply_announcement
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.utils.tasks import BackgroundTasks
from bramleyrouter.wire.kinds import MessageKind
from tests.fleet.fleet_cluster import (
    ADDRESSES,
    EntryDaemon,
    FleetCluster,
    ScriptedControlDaemon,
)
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time
from tests.support.memory_network import DEFAULT_DELAY_S

LOCAL, REMOTE = "dc0", "dc1"
# Time after which the entry daemon has opened a stream again, in seconds.
STREAM_OPENED_S = 0.2


ROLLOUT = VersionRollout(1, "s0", "v2", 9.0, 0)


def now():
    return asyncio.get_running_loop().time()


async def start_cluster(remote_delay_s=DEFAULT_DELAY_S):
    """Start two local and one remote control daemon, and one entry daemon.

    ``remote_delay_s`` is the delay of frames from the remote control daemon to the
    entry daemon.
    """
    cluster = FleetCluster(data_centres=(LOCAL, LOCAL, REMOTE, REMOTE))
    cluster.fabric.delays[(ADDRESSES[2], "127.0.0.1:7500")] = remote_delay_s
    cluster.start(0, 1, 2)
    entry = EntryDaemon(cluster, "e0", 7500, LOCAL)
    await cluster.wait_until(lambda: cluster.leader() is not None)
    assert isinstance(await cluster.publish(3), Ok)
    await asyncio.sleep(2.0)
    return cluster, entry


def list_server_ids(entry):
    return set(entry.state.view.merged)


class TestMirrors:
    @in_virtual_time
    async def test_only_one_subscription_to_a_remote_stream(self):
        """Guards against one remote stream for each entry daemon.

        With 84 VMs such streams made up two thirds of the bytes between data
        centres (benchmark "tsm grown").
        """
        cluster, entry = await start_cluster()
        others = [
            EntryDaemon(cluster, f"e{number}", 7500 + 10 * number, LOCAL)
            for number in (1, 2, 3)
        ]
        await asyncio.sleep(2.0)
        assert cluster.controls[2].publisher.count_subscribers() == 0
        assert cluster.controls[0].publisher.count_subscribers() == 4
        apply_announcement(cluster.controls[2].registry, build_row("s-far"), now())
        apply_announcement(cluster.controls[1].registry, build_row("s-near"), now())
        await asyncio.sleep(0.2)
        for each in (entry, *others):
            assert list_server_ids(each) == {"s-far", "s-near"}

    @in_virtual_time
    async def test_late_subscriber_receives_the_whole_state(self):
        """Guards against a subscriber that gets only later changes."""
        cluster, _ = await start_cluster()
        apply_announcement(cluster.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(5.0)
        late = EntryDaemon(cluster, "e9", 7590, LOCAL)
        await asyncio.sleep(2.0)
        assert cluster.controls[2].publisher.count_subscribers() == 0
        assert list_server_ids(late) == {"s-far"}
        assert late.versions[-1][0] == 3

    @in_virtual_time
    async def test_remote_stream_is_opened_directly_after_local_ones_end(self):
        """Guards against losing all streams with the forwarding control daemon."""
        cluster, entry = await start_cluster()
        for number in (0, 1):
            await cluster.kill(number)
        apply_announcement(cluster.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert list_server_ids(entry) == {"s-far"}
        assert cluster.controls[2].publisher.count_subscribers() == 1

    @in_virtual_time
    async def test_stream_that_local_ones_cannot_reach_is_opened_directly(self):
        """Guards against a stream lost because only the forwarders can't reach it."""
        cluster, entry = await start_cluster()
        local_addresses = [cluster.controls[number].address for number in (0, 1)]
        cluster.fabric.cut_groups(local_addresses, [cluster.controls[2].address])
        apply_announcement(cluster.controls[2].registry, build_row("s-far"), now())
        await asyncio.sleep(2.9)
        assert list_server_ids(entry) == {"s-far"}

    @in_virtual_time
    async def test_entry_daemons_of_all_data_centres_are_counted(self):
        """Guards against budget shares that add up to more than the budget.

        Entry daemons receive the streams of remote control daemons through local
        ones, so each control daemon counts only those of its own data centre.
        """
        cluster, entry = await start_cluster()
        others = [
            EntryDaemon(cluster, f"e{number}", 7500 + 10 * number, LOCAL)
            for number in (1, 2)
        ]
        remote = EntryDaemon(cluster, "f0", 7600, REMOTE)
        await asyncio.sleep(4.0)
        counts = {each.watcher.entry_daemons() for each in (entry, *others, remote)}
        assert counts == {4}

    @in_virtual_time
    async def test_single_local_control_daemon_forwards_nothing(self):
        """Guards against all streams depending on a single control daemon."""
        cluster = FleetCluster(data_centres=(LOCAL, REMOTE, REMOTE, REMOTE))
        cluster.start(0, 1, 2)
        EntryDaemon(cluster, "e0", 7500, LOCAL)
        await cluster.wait_until(lambda: cluster.leader() is not None)
        await asyncio.sleep(2.0)
        assert [
            cluster.controls[number].publisher.count_subscribers()
            for number in range(3)
        ] == [
            1,
            1,
            1,
        ]


async def start_scripted_daemons():
    """Start two local and one remote scripted daemon; return them and an entry."""
    cluster = FleetCluster()
    controls = [
        ScriptedControlDaemon(cluster.fabric, number, data_centre)
        for number, data_centre in enumerate((LOCAL, LOCAL, REMOTE))
    ]
    entry = EntryDaemon(cluster, "e0", 7500, LOCAL)
    await asyncio.sleep(0.1)
    return controls, entry


def list_all_forwarded(controls):
    return [address for control in controls for address in control.list_forwarded()]


class TestUnknownAddresses:
    """A local control daemon may learn of a remote one after the entry daemon does."""

    @pytest.mark.parametrize("remote_delay_s", [0.0001, 0.005])
    @in_virtual_time
    async def test_order_of_the_first_updates_does_not_matter(self, remote_delay_s):
        """Guards against a remote stream that stays direct for 10 s after the start.

        The first update of the remote control daemon may come before or after those
        of the local ones, whose log has no members yet.
        """
        cluster, entry = await start_cluster(remote_delay_s)
        assert cluster.controls[2].publisher.count_subscribers() == 0
        assert entry.state.direct_until == {}

    @in_virtual_time
    async def test_only_daemons_that_named_the_address_are_asked(self):
        """Guards against asking a daemon whose log has no members yet."""
        controls, _ = await start_scripted_daemons()
        members = {"members_index": 1, "members": ADDRESSES[:3]}
        for control in (*controls, controls[2]):
            control.send()
            await asyncio.sleep(STREAM_OPENED_S)
        assert list_all_forwarded(controls) == []
        for control in controls:
            control.send(**members)
            await asyncio.sleep(STREAM_OPENED_S)
        assert list_all_forwarded(controls) == [ADDRESSES[2]]

    @in_virtual_time
    async def test_daemon_that_restarted_without_members_is_not_asked(self):
        """Guards against members that a daemon named before its restart."""
        controls, _ = await start_scripted_daemons()
        members = {"members_index": 1, "members": ADDRESSES[:3]}
        for control in controls[:2]:
            control.send(**members)
            await asyncio.sleep(STREAM_OPENED_S)
            control.send()
            await asyncio.sleep(STREAM_OPENED_S)
        controls[2].send(**members)
        await asyncio.sleep(STREAM_OPENED_S)
        assert list_all_forwarded(controls) == []

    @in_virtual_time
    async def test_a_daemon_that_no_longer_knows_the_address_may_name_it_again(self):
        """Guards against "not known" that counts as a failed forwarding for 10 s."""
        controls, entry = await start_scripted_daemons()
        for control in controls:
            control.refusal = Failure(Code.UNKNOWN_MEMBER, "Not known.")
            control.send(members_index=1, members=ADDRESSES[:3])
            await asyncio.sleep(STREAM_OPENED_S)
        await asyncio.sleep(0.5)
        assert list_all_forwarded(controls) == [ADDRESSES[2]]
        assert len(controls[2].streams) == 2
        assert entry.state.direct_until == {}
        for control in controls:
            control.refusal = None
            control.send(members_index=2, members=ADDRESSES[:3])
            await asyncio.sleep(STREAM_OPENED_S)
        assert list_all_forwarded(controls) == [ADDRESSES[2]] * 2

    @in_virtual_time
    async def test_an_address_outside_the_log_is_refused_as_unknown(self):
        """Guards against a refusal that reads like an unreachable control daemon."""
        cluster, entry = await start_cluster()
        ends = []
        entry.network.stream(
            ADDRESSES[0],
            MessageKind.WATCH_FLEET,
            ADDRESSES[3].encode(),
            lambda payload: None,
            ends.append,
        )
        await asyncio.sleep(0.1)
        assert [end.err_value.code for end in ends] == [Code.UNKNOWN_MEMBER]


class TestFailedStart:
    @in_virtual_time
    async def test_a_stream_that_can_not_be_opened_ends_its_subscriptions(self):
        """Guards against a mirror that stays, without a stream, for good."""

        def fail(*args):
            raise IndexError("odd stream")

        mirrors = Mirrors(
            SimpleNamespace(stream=fail), StreamTimes(), BackgroundTasks("test")
        )
        forwarding = forward_stream(mirrors, ADDRESSES[2], lambda payload: None)
        await asyncio.wait_for(forwarding, 10.0)
        assert mirrors.by_address == {}


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


class TestRollouts:
    """Guard against rollouts that a forwarded or an older update replaces."""

    def test_snapshot_holds_rollouts_but_no_confirmation(self):
        # A confirmation of the past would hide that the control daemon is cut off.
        mirror = Mirror(ADDRESSES[2], 0.0)
        apply_update(mirror, Update(is_full=True), 0.0)
        known = RolloutUpdate(rollouts_revision=4, rollouts=(ROLLOUT,))
        for update in (known, RolloutUpdate(confirmed_revision=4)):
            apply_update(mirror, update, 1.0)
        assert build_snapshot(mirror, 2.0) == RolloutUpdate(
            is_full=True, rollouts_revision=4, rollouts=(ROLLOUT,)
        )
