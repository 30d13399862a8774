"""Tests of failure detection among daemons."""

import asyncio

import msgspec

from bramleyrouter.board import Section
from bramleyrouter.membership.messages import Batch, encode
from bramleyrouter.membership.records import build_own_entry
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import make_cluster, make_record, start_all, wait_until
from tests.support.virtual_time import run_virtual

# The servers of a dead home register with another home after about 2 s and wait for its
# authority for 3 s; by then the rows of the dead home have to be removed.
DEATH_LIMIT_S = 5.0
# Shorter than failure detection and the suspicion timeout together.
SHORT_FREEZE_S = 1.0


def find_states(cluster, name):
    return {d.board.daemons.records[name].state for d in cluster.daemons.values()}


def find_holders(cluster, server):
    return [
        name for name, d in cluster.daemons.items() if server in d.board.servers.records
    ]


def run_cluster(scenario, **options):
    async def run():
        cluster = make_cluster(**options)
        await start_all(cluster)
        home = cluster.daemons["e0dc1"]
        home.membership.publish_rows([make_record("s", home.identity)], [])
        await asyncio.sleep(0.2)
        assert len(find_holders(cluster, "s")) == len(cluster.daemons)
        await scenario(cluster)

    run_virtual(run())


class TestFailureDetection:
    def test_killed_daemon_is_declared_dead_and_its_rows_removed(self):
        """Guards against servers that stay assigned to a dead home."""

        async def scenario(cluster):
            cluster.kill("e0dc1")
            await wait_until(lambda: not find_holders(cluster, "s"), DEATH_LIMIT_S)
            assert find_states(cluster, "e0dc1") == {DaemonState.DEAD}

        run_cluster(scenario)

    def test_broken_path_between_two_peers_causes_no_suspicion(self):
        """Guards against a daemon declared dead on the evidence of one prober."""

        async def scenario(cluster):
            states = DaemonState.SUSPECT, DaemonState.DEAD
            observers = track_observers(cluster, "e0dc1", *states)
            first, second = (cluster.daemons[n].address for n in ("e0dc1", "e1dc1"))
            cluster.fabric.cut(first, second)
            await asyncio.sleep(20)
            assert not observers

        run_cluster(scenario)

    def test_short_freeze_is_refuted(self):
        """Guards against a home that loses its servers because of a short pause."""

        async def scenario(cluster):
            observers = track_observers(cluster, "e0dc1", DaemonState.DEAD)
            address = cluster.daemons["e0dc1"].address
            for _ in range(5):
                cluster.fabric.freeze(address)
                await asyncio.sleep(SHORT_FREEZE_S)
                cluster.fabric.thaw(address)
                await asyncio.sleep(3)
            assert not observers
            assert find_states(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_daemon_declared_dead_by_mistake_returns_with_its_rows(self):
        """Guards against a daemon that stays excluded after a long freeze."""

        async def scenario(cluster):
            address = cluster.daemons["e0dc1"].address
            cluster.fabric.freeze(address)
            others = [n for n in cluster.daemons if n != "e0dc1"]
            await wait_until(
                lambda: find_holders(cluster, "s") == ["e0dc1"], DEATH_LIMIT_S
            )
            await asyncio.sleep(30)
            cluster.fabric.thaw(address)
            await wait_until(
                lambda: set(others) <= set(find_holders(cluster, "s")), 5.0
            )
            assert find_states(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_delayed_event_loop_causes_no_suspicion(self):
        """Guards against an overloaded VM that declares its peers dead.

        Jumps of the loop time simulate a process that could not run.
        """

        async def scenario(cluster):
            states = DaemonState.SUSPECT, DaemonState.DEAD
            observers = track_observers(cluster, "e0dc1", *states)
            loop = asyncio.get_running_loop()
            cluster.fabric.delay_s = 0.05
            for _ in range(100):
                # Less than the network delay, so that requests are in flight.
                await asyncio.sleep(0.03)
                loop.virtual_now += 0.83
            assert not observers

        run_cluster(scenario)

    def test_planned_stop_reaches_all_daemons_at_once(self):
        """Guards against requests to a daemon that announced its planned stop."""

        async def scenario(cluster):
            daemon = cluster.daemons["e0dc1"]
            daemon.membership.announce_leaving()
            await asyncio.sleep(0.1)
            assert find_states(cluster, "e0dc1") == {DaemonState.LEAVING}
            assert len(find_holders(cluster, "s")) == len(cluster.daemons)
            await daemon.membership.leave()
            cluster.kill("e0dc1")
            await asyncio.sleep(0.1)
            assert find_states(cluster, "e0dc1") == {DaemonState.DEAD}
            assert not find_holders(cluster, "s")

        run_cluster(scenario)

    def test_replayed_record_of_a_former_incarnation_changes_nothing(self):
        """Guards against a delayed message that overrides a restart."""

        async def scenario(cluster):
            old = cluster.daemons["e0dc1"].identity
            cluster.kill("e0dc1")
            daemon = cluster.start("e0dc1", incarnation=2)
            await asyncio.sleep(4)
            assert find_states(cluster, "e0dc1") == {DaemonState.ALIVE}
            assert not find_holders(cluster, "s")
            network = cluster.fabric.build_network(
                msgspec.structs.replace(old, internal_address="127.0.0.1:1")
            )
            for number in range(5):
                entry = msgspec.structs.replace(
                    build_own_entry(old, False), statement=99, state=number
                )
                replay = encode(Batch(scope=0, entries=(entry,)))
                for other in cluster.daemons.values():
                    network.send(other.address, MessageKind.TABLE_DELTA, replay)
            await asyncio.sleep(1)
            assert find_states(cluster, "e0dc1") == {DaemonState.ALIVE}
            for other in cluster.daemons.values():
                record = other.board.daemons.records["e0dc1"]
                assert record.incarnation == daemon.identity.incarnation

        run_cluster(scenario)


class TestPartitions:
    def test_unreachable_data_centre_is_suspected_hidden_and_returns(self):
        """Guards against queries to a data centre that can't be reached."""

        async def scenario(cluster):
            local, remote = (
                cluster.get_addresses("dc1"),
                cluster.get_addresses("dc2", "dc3"),
            )
            cluster.fabric.cut_groups(local, remote)
            others = [d for d in cluster.daemons.values() if d.address in remote]
            # 4 s, 1 s for each doubling up to four daemons, and the check interval.
            await asyncio.sleep(7)
            assert all(
                d.board.daemons.records["e0dc1"].state is DaemonState.SUSPECT
                for d in others
            )
            await asyncio.sleep(60)
            assert not any("s" in d.board.servers.records for d in others)
            cluster.fabric.heal()
            count = len(cluster.daemons)
            await wait_until(lambda: len(find_holders(cluster, "s")) == count, 4.0)
            assert find_states(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_isolated_daemon_finds_the_others_again(self):
        """Guards against two groups that keep each other recorded as dead."""

        async def scenario(cluster):
            alone = cluster.daemons["e0dc1"].address
            rest = [d.address for d in cluster.daemons.values() if d.address != alone]
            cluster.fabric.cut_groups([alone], rest)
            await asyncio.sleep(30)
            cluster.fabric.heal()
            await wait_until(
                lambda: (
                    all(
                        find_states(cluster, name) == {DaemonState.ALIVE}
                        for name in cluster.daemons
                    )
                    and len(find_holders(cluster, "s")) == len(cluster.daemons)
                ),
                10.0,
            )

        run_cluster(scenario)


def track_observers(cluster, name, *states):
    """Return a list that fills with the daemons that see ``name`` in ``states``."""
    observers = []

    def check(daemon):
        if daemon.board.daemons.records[name].state in states:
            observers.append(daemon.identity.daemon_id)

    for daemon in cluster.daemons.values():
        daemon.board.watch(Section.DAEMONS, lambda daemon=daemon: check(daemon))
    return observers


class TestClockSteps:
    def test_daemon_restarted_after_a_clock_step_back_is_accepted(self):
        """Guards against a restarted daemon whose records count as outdated.

        The incarnation is the wall-clock time of the start, and the clock may have
        stepped back meanwhile.
        """

        async def scenario(cluster):
            cluster.kill("e1dc1")
            cluster.start("e1dc1", incarnation=5_000)
            await wait_until(
                lambda: find_states(cluster, "e1dc1") == {DaemonState.ALIVE},
                DEATH_LIMIT_S,
            )
            cluster.kill("e1dc1")
            cluster.start("e1dc1", incarnation=3_000)
            restarted = cluster.daemons["e1dc1"].board.daemons.records["e1dc1"]
            for daemon in cluster.daemons.values():
                await wait_until(
                    lambda d=daemon: (
                        d.board.daemons.records["e1dc1"].incarnation
                        >= restarted.incarnation
                        and d.board.daemons.records["e1dc1"].state is DaemonState.ALIVE
                    ),
                    DEATH_LIMIT_S,
                )
            rows = [make_record("t", cluster.daemons["e1dc1"].identity)]
            cluster.daemons["e1dc1"].membership.publish_rows(rows, [])
            names = set(cluster.daemons)
            await wait_until(
                lambda: set(find_holders(cluster, "t")) == names, DEATH_LIMIT_S
            )

        run_cluster(scenario)
