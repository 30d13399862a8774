"""Tests of failure detection among daemons."""

import asyncio

import msgspec

from bramleyrouter.board import Section
from bramleyrouter.membership.messages import Batch, encode
from bramleyrouter.membership.records import own_entry
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import make_cluster, make_record, start_all, wait_until
from tests.support.virtual_time import run_virtual

# Servers of a dead home announce elsewhere in about 2 s and wait for authority
# for 3 s; by then its rows have to be gone.
DEATH_LIMIT_S = 5.0
# A freeze that is shorter than detection and suspicion together.
SHORT_FREEZE_S = 1.0


def states_of(cluster, name):
    return {d.board.daemons.records[name].state for d in cluster.daemons.values()}


def holders_of(cluster, server):
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
        assert len(holders_of(cluster, "s")) == len(cluster.daemons)
        await scenario(cluster)

    run_virtual(run())


class TestFailureDetection:
    def test_killed_daemon_and_its_rows_vanish_everywhere(self):
        """Guards against servers that stay with a home that is gone."""

        async def scenario(cluster):
            cluster.kill("e0dc1")
            await wait_until(lambda: not holders_of(cluster, "s"), DEATH_LIMIT_S)
            assert states_of(cluster, "e0dc1") == {DaemonState.DEAD}

        run_cluster(scenario)

    def test_broken_path_between_two_peers_kills_nobody(self):
        """Guards against a verdict on one prober's evidence alone."""

        async def scenario(cluster):
            states = DaemonState.SUSPECT, DaemonState.DEAD
            seen = watch_for(cluster, "e0dc1", *states)
            first, second = (cluster.daemons[n].address for n in ("e0dc1", "e1dc1"))
            cluster.fabric.cut(first, second)
            await asyncio.sleep(20)
            assert not seen

        run_cluster(scenario)

    def test_short_freeze_is_refuted(self):
        """Guards against a pause of the process that loses its servers."""

        async def scenario(cluster):
            seen = watch_for(cluster, "e0dc1", DaemonState.DEAD)
            address = cluster.daemons["e0dc1"].address
            for _ in range(5):
                cluster.fabric.freeze(address)
                await asyncio.sleep(SHORT_FREEZE_S)
                cluster.fabric.thaw(address)
                await asyncio.sleep(3)
            assert not seen
            assert states_of(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_daemon_declared_dead_by_mistake_returns_with_its_rows(self):
        """Guards against a long freeze that excludes a daemon for good."""

        async def scenario(cluster):
            address = cluster.daemons["e0dc1"].address
            cluster.fabric.freeze(address)
            others = [n for n in cluster.daemons if n != "e0dc1"]
            await wait_until(
                lambda: holders_of(cluster, "s") == ["e0dc1"], DEATH_LIMIT_S
            )
            await asyncio.sleep(30)
            cluster.fabric.thaw(address)
            await wait_until(lambda: set(others) <= set(holders_of(cluster, "s")), 5.0)
            assert states_of(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_late_loop_suspects_nobody(self):
        """Guards against an overloaded VM that takes its peers for dead.

        Jumps of the loop's clock stand for a process that could not run.
        """

        async def scenario(cluster):
            states = DaemonState.SUSPECT, DaemonState.DEAD
            seen = watch_for(cluster, "e0dc1", *states)
            loop = asyncio.get_running_loop()
            cluster.fabric.delay_s = 0.05
            for _ in range(100):
                # Less than a trip, so that requests are under way.
                await asyncio.sleep(0.03)
                loop.virtual_now += 0.83
            assert not seen

        run_cluster(scenario)

    def test_planned_stop_is_known_at_once(self):
        """Guards against callers' requests to a daemon that said goodbye."""

        async def scenario(cluster):
            daemon = cluster.daemons["e0dc1"]
            daemon.membership.announce_leaving()
            await asyncio.sleep(0.1)
            assert states_of(cluster, "e0dc1") == {DaemonState.LEAVING}
            assert len(holders_of(cluster, "s")) == len(cluster.daemons)
            await daemon.membership.leave()
            cluster.kill("e0dc1")
            await asyncio.sleep(0.1)
            assert states_of(cluster, "e0dc1") == {DaemonState.DEAD}
            assert not holders_of(cluster, "s")

        run_cluster(scenario)

    def test_replayed_record_of_an_earlier_life_changes_nothing(self):
        """Guards against a delayed message that undoes a restart."""

        async def scenario(cluster):
            old = cluster.daemons["e0dc1"].identity
            cluster.kill("e0dc1")
            daemon = cluster.start("e0dc1", incarnation=2)
            await asyncio.sleep(4)
            assert states_of(cluster, "e0dc1") == {DaemonState.ALIVE}
            assert not holders_of(cluster, "s")
            network = cluster.fabric.build_network(
                msgspec.structs.replace(old, internal_address="127.0.0.1:1")
            )
            for number in range(5):
                entry = msgspec.structs.replace(
                    own_entry(old, False), statement=99, state=number
                )
                replay = encode(Batch(scope=0, entries=(entry,)))
                for other in cluster.daemons.values():
                    network.send(other.address, MessageKind.TABLE_DELTA, replay)
            await asyncio.sleep(1)
            assert states_of(cluster, "e0dc1") == {DaemonState.ALIVE}
            for other in cluster.daemons.values():
                record = other.board.daemons.records["e0dc1"]
                assert record.incarnation == daemon.identity.incarnation

        run_cluster(scenario)


class TestPartitions:
    def test_far_data_centre_is_suspected_hidden_and_returns(self):
        """Guards against queries to a data centre that can't be reached."""

        async def scenario(cluster):
            near, far = cluster.addresses("dc1"), cluster.addresses("dc2", "dc3")
            cluster.fabric.cut_groups(near, far)
            others = [d for d in cluster.daemons.values() if d.address in far]
            # 4 s and one more for each doubling of four daemons, and the review.
            await asyncio.sleep(7)
            assert all(
                d.board.daemons.records["e0dc1"].state is DaemonState.SUSPECT
                for d in others
            )
            await asyncio.sleep(60)
            assert not any("s" in d.board.servers.records for d in others)
            cluster.fabric.heal()
            everyone = len(cluster.daemons)
            await wait_until(lambda: len(holders_of(cluster, "s")) == everyone, 4.0)
            assert states_of(cluster, "e0dc1") == {DaemonState.ALIVE}

        run_cluster(scenario)

    def test_isolated_daemon_finds_the_others_again(self):
        """Guards against two groups that each hold the other for dead."""

        async def scenario(cluster):
            alone = cluster.daemons["e0dc1"].address
            rest = [d.address for d in cluster.daemons.values() if d.address != alone]
            cluster.fabric.cut_groups([alone], rest)
            await asyncio.sleep(30)
            cluster.fabric.heal()
            await wait_until(
                lambda: (
                    all(
                        states_of(cluster, name) == {DaemonState.ALIVE}
                        for name in cluster.daemons
                    )
                    and len(holders_of(cluster, "s")) == len(cluster.daemons)
                ),
                10.0,
            )

        run_cluster(scenario)


def watch_for(cluster, name, *states):
    """Return a list that fills with those who ever see ``name`` in ``states``."""
    seen = []

    def look(daemon):
        if daemon.board.daemons.records[name].state in states:
            seen.append(daemon.identity.daemon_id)

    for daemon in cluster.daemons.values():
        daemon.board.watch(Section.DAEMONS, lambda daemon=daemon: look(daemon))
    return seen


class TestClockSteps:
    def test_restarted_after_a_clock_step_back_it_is_known_again(self):
        """Guards against a restart that looks older than its former self.

        The incarnation is the wall clock at the start, and the clock may have
        stepped back meanwhile.
        """

        async def scenario(cluster):
            cluster.kill("e1dc1")
            cluster.start("e1dc1", incarnation=5_000)
            await wait_until(
                lambda: states_of(cluster, "e1dc1") == {DaemonState.ALIVE},
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
            everyone = set(cluster.daemons)
            await wait_until(
                lambda: set(holders_of(cluster, "t")) == everyone, DEATH_LIMIT_S
            )

        run_cluster(scenario)
