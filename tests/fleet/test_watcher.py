"""Tests of what an entry daemon does with updates that come late or are odd."""

import asyncio

import pytest
from result import Ok

from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.fleet.messages import RolloutUpdate, Update, encode_update
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.fleet.watcher import FIRST_BACKOFF_S, apply_update
from bramleyrouter.ids import TableVersion
from bramleyrouter.wire.kinds import MessageKind
from tests.fleet.fleet_cluster import (
    ADDRESSES,
    EntryDaemon,
    FleetCluster,
    ScriptedControlDaemon,
)
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time

# Time after which the entry daemon has opened a stream again, in seconds.
STREAM_OPENED_S = 0.2


async def start_daemons(numbers=(0, 1, 2)):
    """Start scripted control daemons and an entry daemon that hears their streams."""
    cluster = FleetCluster()
    controls = [
        ScriptedControlDaemon(cluster.fabric, number, f"dc{min(1, number // 2)}")
        for number in numbers
    ]
    entry = EntryDaemon(cluster, "e0", 7500, "dc0")
    await asyncio.sleep(0.1)
    return cluster.fabric, controls, entry


def name_members(index, addresses):
    return {"members_index": index, "members": tuple(addresses)}


class TestRemovedControlDaemons:
    """Rows of a control daemon that left the log must not stay."""

    @in_virtual_time
    async def test_a_late_update_restores_no_rows(self):
        """Guards against rows that stay for good, as nothing removes them again.

        The update of the members and a forwarded update of the daemon that left
        arrive on one connection, one right after the other.
        """
        fabric, controls, entry = await start_daemons()
        # The seeds are wanted whether they are members or not.
        entry.watcher.set_seeds(ADDRESSES[:2])
        members = name_members(1, ADDRESSES[:3])
        for control in controls:
            control.send(**members)
            await asyncio.sleep(STREAM_OPENED_S)
        (forwarding,) = [each for each in controls if each.list_forwarded()]
        send = forwarding.streams[-1][1]
        row = build_row("s-far")
        send(encode_update(Update(rows=(row,), is_full=True, data_centre="dc1")))
        await asyncio.sleep(0.1)
        assert set(entry.state.view.merged) == {"s-far"}
        entry_address = "127.0.0.1:7500"
        fabric.freeze(entry_address)
        forwarding.send(**name_members(2, ADDRESSES[:2]))
        send(encode_update(Update(rows=(row,), is_full=True, data_centre="dc1")))
        await asyncio.sleep(0.1)
        fabric.thaw(entry_address)
        await asyncio.sleep(0.1)
        assert entry.state.view.merged == {}
        assert set(entry.state.last_contact_at) == set(ADDRESSES[:2])

    @in_virtual_time
    async def test_an_update_after_the_end_changes_nothing(self):
        """Guards against tables that are fetched and applied by a daemon that stops."""
        fabric, controls, entry = await start_daemons()
        fabric.freeze("127.0.0.1:7500")
        controls[0].send(rows=(build_row("s0"),), table_version=3)
        await asyncio.sleep(0.1)
        entry.watcher.close()
        fabric.thaw("127.0.0.1:7500")
        assert entry.state.view.merged == {}
        assert not [task for task in entry.state.tasks.tasks if not task.cancelling()]


class TestTableFetches:
    @in_virtual_time
    async def test_a_reply_without_the_named_table_is_not_asked_for_at_once(self):
        """Guards against a fetch that is repeated as fast as the network allows."""
        _, controls, entry = await start_daemons()
        fetches = []

        async def reply_odd(peer, payload):
            fetches.append(asyncio.get_running_loop().time())
            return Ok(b"odd")

        controls[0].network.serve(MessageKind.FETCH_ROUTES, reply_odd)
        controls[0].send(table_version=3)
        await asyncio.sleep(1.0)
        assert 5 <= len(fetches) <= 1.0 / FIRST_BACKOFF_S
        assert entry.versions == []

        async def reply_with_table(peer, payload):
            return Ok(encode_command(PublishRoutes(TableVersion(3), b"{}")))

        controls[0].network.serve(MessageKind.FETCH_ROUTES, reply_with_table)
        await asyncio.sleep(2 * FIRST_BACKOFF_S)
        assert entry.versions == [(3, b"{}")]


class TestUnexpectedErrors:
    """An exception in one part of an entry daemon must not cost it a stream."""

    @in_virtual_time
    async def test_an_exception_in_one_stream_does_not_end_it_for_good(self):
        """Guards against a control daemon whose stream is never opened again."""
        cluster = FleetCluster()
        control = ScriptedControlDaemon(cluster.fabric, 0, "dc0")
        raises = [True]

        def fail_once(network):
            def stream(*args):
                if raises:
                    raises.clear()
                    raise IndexError("odd stream")
                return network.stream(*args)

            return network._replace(stream=stream)

        entry = EntryDaemon(cluster, "e0", 7500, "dc0", wrap_network=fail_once)
        await asyncio.sleep(1.0)
        control.send(rows=(build_row("s0"),))
        await asyncio.sleep(0.1)
        assert set(entry.state.view.merged) == {"s0"}

    @in_virtual_time
    async def test_an_exception_for_one_service_costs_no_other_its_servers(self):
        """Guards against services that never hear of a change.

        The rows are applied by then, so the same rows change nothing the next time.
        """
        _, controls, entry = await start_daemons()
        heard = []

        def fail_for_odd(services):
            if "odd" in services:
                raise IndexError("odd service")
            heard.extend(services)

        entry.state.on_servers = fail_for_odd
        rows = tuple(build_row(f"s-{name}", name) for name in ("a", "odd", "z"))
        controls[0].send(rows=rows, table_version=7)
        await asyncio.sleep(1.0)
        assert sorted(heard) == ["a", "z"]
        assert "control_lost" not in [event for event, _ in entry.events]

    @in_virtual_time
    async def test_an_exception_for_the_relays_costs_no_other_field(self):
        """Guards against an update of which only a part is applied, time and again."""
        _, controls, entry = await start_daemons()

        def fail(relays):
            raise IndexError("odd relays")

        entry.state.on_relays = fail
        controls[0].send(
            rows=(build_row("s0"),),
            relays=(("127.0.0.1:9", "dc0"),),
            **name_members(4, ADDRESSES[:3]),
        )
        await asyncio.sleep(1.0)
        assert entry.state.members_index == 4
        assert "control_lost" not in [event for event, _ in entry.events]


class TestRollouts:
    """Guard against an ended rollout that an older message opens again."""

    @in_virtual_time
    async def test_older_rollouts_never_override_newer_ones(self):
        _, _, entry = await start_daemons()
        state, seen = entry.watcher.state, []
        state.on_rollouts = lambda revision, rollouts: seen.append(rollouts)
        active = VersionRollout(1, "s0", "v2", 9.0, 0)
        ended = VersionRollout(1, "s0", "v2", 9.0, 0, RolloutState.ROLLED_BACK)
        for source, revision, rollout in zip(
            ADDRESSES, (1, 2, 1), (active, ended, active), strict=False
        ):
            update = RolloutUpdate(rollouts_revision=revision, rollouts=(rollout,))
            apply_update(state, source, update)
        assert seen == [(active,), (ended,)]

    @in_virtual_time
    async def test_only_a_confirmation_of_known_rollouts_counts(self):
        _, _, entry = await start_daemons()
        state = entry.watcher.state
        update = RolloutUpdate(rollouts_revision=2, rollouts=())
        apply_update(state, ADDRESSES[0], update)
        await asyncio.sleep(3.0)
        for update in (Update(), RolloutUpdate(confirmed_revision=3)):
            apply_update(state, ADDRESSES[0], update)
            assert entry.watcher.rollouts_age_s() == pytest.approx(3.0)
        apply_update(state, ADDRESSES[0], RolloutUpdate(confirmed_revision=2))
        assert entry.watcher.rollouts_age_s() == 0.0
