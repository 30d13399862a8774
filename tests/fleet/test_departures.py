"""Tests that a server which has left stays so, whatever happens to control daemons."""

import asyncio
import time

import pytest
from result import Err, Ok

from bramleyrouter.fleet.departures import (
    FoundServer,
    build_gone_row,
    choose_incarnation,
)
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import (
    RETENTION_S,
    ServerRegistry,
    apply_announcement,
    apply_departure,
    list_rows,
    sweep,
)
from tests.fleet.fleet_cluster import ADDRESSES, EntryDaemon, FleetCluster
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time

BORN = int(time.time() * 1000) - 60_000


def now():
    return asyncio.get_running_loop().time()


def build_server(sequence, **fields):
    return build_row("a", sequence=sequence, incarnation=BORN, **fields)


def is_ready(entry):
    row = entry.state.view.merged.get("a")
    return row is not None and row.phase is ServerPhase.READY


async def start_cluster():
    cluster = FleetCluster()
    cluster.start(0, 1, 2)
    await cluster.wait_until(lambda: cluster.leader() is not None)
    assert isinstance(await cluster.publish(3), Ok)
    entry = EntryDaemon(cluster, "e0", 7500)
    await asyncio.sleep(1.0)
    return cluster, entry


async def leave(cluster, number, how):
    """Let the server leave through a control daemon; return the outcome."""
    departures = cluster.controls[number].departures
    if how == "withdraw":
        return await departures.withdraw("a", None, 0.9)
    row = build_server(9, phase=ServerPhase.DRAINING)
    apply_announcement(cluster.controls[number].registry, row, now())
    return await departures.depart(row, 0.9)


class TestLostControlDaemons:
    """Guard against using a server again after the daemon it told was lost (review 4).

    Another one still listed it as ready, though silent, and an entry daemon that had
    just started knew nothing else.
    """

    @pytest.mark.parametrize("how", ["withdraw", "drain"])
    @pytest.mark.parametrize("lost", [(0,), (0, 1), (0, 2), (0, 1, 2)])
    @pytest.mark.parametrize("is_disk_lost", [False, True])
    @in_virtual_time
    async def test_server_is_not_used_by_a_new_entry_daemon(
        self, how, lost, is_disk_lost
    ):
        cluster, _ = await start_cluster()
        apply_announcement(cluster.controls[1].registry, build_server(1), now())
        for sequence in range(2, 8):
            apply_announcement(
                cluster.controls[0].registry, build_server(sequence), now()
            )
            await asyncio.sleep(1.2)
        assert await leave(cluster, 0, how) == Ok(None)
        for number in lost:
            await cluster.kill(number)
        if is_disk_lost:
            cluster.wipe(0)
        cluster.fabric.kill("127.0.0.1:7500")
        await asyncio.sleep(1.0)
        cluster.start(*lost, is_first_start=False)
        entry = EntryDaemon(cluster, "e1", 7510)
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert not is_ready(entry)

    @in_virtual_time
    async def test_departure_is_not_acknowledged_without_a_majority(self):
        """What no majority has stored could be forgotten."""
        cluster, entry = await start_cluster()
        apply_announcement(cluster.controls[0].registry, build_server(1), now())
        await cluster.wait_until(lambda: is_ready(entry))
        for number in (1, 2):
            await cluster.kill(number)
        assert isinstance(await leave(cluster, 0, "withdraw"), Err)
        await asyncio.sleep(0.2)
        assert not is_ready(entry)


class TestOtherControlDaemons:
    """Guard against a withdrawal that is acknowledged and forgotten (review 3).

    It reached a control daemon that didn't know the server.
    """

    @pytest.mark.parametrize("is_frozen", [False, True])
    @in_virtual_time
    async def test_withdrawal_through_another_daemon_is_applied(self, is_frozen):
        cluster, entry = await start_cluster()
        known_at = (cluster.leader() + 1) % 3
        told = next(number for number in range(3) if number != known_at)
        registry = cluster.controls[known_at].registry
        apply_announcement(registry, build_server(1), now())
        await cluster.wait_until(lambda: is_ready(entry))
        if is_frozen:
            cluster.fabric.freeze(ADDRESSES[known_at])
        assert await leave(cluster, told, "withdraw") == Ok(None)
        await cluster.wait_until(lambda: not is_ready(entry), 1.0)
        cluster.fabric.thaw(ADDRESSES[known_at])
        late = EntryDaemon(cluster, "e1", 7510)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert not is_ready(entry)
        # A later start under the same id is used again.
        reborn = build_row("a", incarnation=int(time.time() * 1000) + 5000)
        apply_announcement(registry, reborn, now())
        await cluster.wait_until(lambda: is_ready(entry) and is_ready(late))

    @in_virtual_time
    async def test_withdrawal_names_the_latest_incarnation(self):
        """Guards against withdrawing an earlier start that this daemon remembers."""
        cluster, entry = await start_cluster()
        old = build_row("a", incarnation=BORN - 9000)
        apply_announcement(cluster.controls[0].registry, old, now())
        await asyncio.sleep(5.0)
        apply_announcement(cluster.controls[1].registry, build_server(1), now())
        await cluster.wait_until(lambda: is_ready(entry))
        assert await leave(cluster, 0, "withdraw") == Ok(None)
        await cluster.wait_until(lambda: not is_ready(entry), 1.0)


class TestChoice:
    """Guard against a withdrawal of the wrong start of a server."""

    def test_latest_announced_start_is_withdrawn(self):
        rows = (build_gone_row("a", 9), build_row("a", incarnation=5), build_server(1))
        assert choose_incarnation(FoundServer(rows, False), 7.0) == BORN

    def test_repeated_withdrawal_names_the_same_start(self):
        found = FoundServer((build_gone_row("a", 9),), False)
        assert choose_incarnation(found, 7.0) == 9

    def test_unknown_server_needs_no_withdrawal(self):
        assert choose_incarnation(FoundServer((), True), 7.0) is None

    def test_starts_before_now_are_withdrawn_if_nobody_can_tell(self):
        assert choose_incarnation(FoundServer((), False), 7.0) == 7000


class TestRestart:
    """Guard against old departures that a starting member applies again."""

    def test_old_departure_changes_nothing(self):
        registry = ServerRegistry(1.2)
        apply_departure(registry, build_gone_row("a", 0), RETENTION_S + 1, 0.0)
        assert list(list_rows(registry, 0.0)) == []
        apply_departure(registry, build_gone_row("a", 0), 1.0, 0.0)
        assert [row.phase for row in list_rows(registry, 0.0)] == [ServerPhase.GONE]

    def test_draining_does_not_undo_a_withdrawal(self):
        registry = ServerRegistry(1.2)
        row = build_server(5, phase=ServerPhase.DRAINING)
        apply_departure(registry, build_gone_row("a", BORN), 0.0, 0.0)
        apply_departure(registry, row, 0.0, 0.0)
        assert [item.phase for item in list_rows(registry, 0.0)] == [ServerPhase.GONE]

    def test_late_heartbeat_from_before_the_departure_changes_nothing(self):
        registry = ServerRegistry(1.2)
        row = build_server(5, phase=ServerPhase.DRAINING)
        apply_departure(registry, row, 0.0, 0.0)
        assert not apply_announcement(registry, build_server(4), 1.0)
        assert apply_announcement(registry, build_server(6, phase=row.phase), 1.0)
        reborn = build_row("a", incarnation=BORN + 1)
        assert apply_announcement(registry, reborn, 2.0)
        sweep(registry, 2 * RETENTION_S)
        assert registry.departures == {}


class TestTraffic:
    """Guard against updates to all subscribers that bring them nothing new.

    Each departure was streamed three times by each control daemon. In a deployment of
    106 VMs that was a quarter of the bytes between data centres.
    """

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_draining_server_is_streamed_by_the_daemon_that_lists_it(self, is_listed):
        registry, changes = ServerRegistry(1.2), []
        if is_listed:
            apply_announcement(registry, build_server(4), 0.0)
        registry.on_change.append(changes.append)
        registry.on_minor_change.append(changes.append)
        row = build_server(5, phase=ServerPhase.DRAINING)
        apply_departure(registry, row, 0.0, 1.0)
        phases = [item.phase for item in changes]
        assert phases == ([ServerPhase.DRAINING] if is_listed else [])
        sweep(registry, 5.0)
        assert len(changes) == (2 if is_listed else 0)

    def test_gone_server_that_is_not_listed_waits_for_the_next_update(self):
        registry, changes, minor_changes = ServerRegistry(1.2), [], []
        registry.on_change.append(changes.append)
        registry.on_minor_change.append(minor_changes.append)
        apply_departure(registry, build_gone_row("a", BORN), 0.0, 0.0)
        assert (len(changes), len(minor_changes)) == (0, 1)
        apply_announcement(registry, build_row("b"), 0.0)
        apply_departure(registry, build_gone_row("b", 1), 0.0, 0.0)
        assert (len(changes), len(minor_changes)) == (2, 1)
