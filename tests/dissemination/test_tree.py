"""Tests of the tree: configuration in force, proofs, and acknowledgements."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.dissemination.interfaces import STALE_S
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import make_cluster, start_all, until, with_dissemination
from tests.support.config_sources import FakeLog, make_manifest
from tests.support.observers import run_observed
from tests.support.virtual_time import run_virtual

# The guarantee: an accepted configuration is in force everywhere in this time.
IN_FORCE_S = 4.0


def run_tree(scenario, seed=0, **options):
    async def run():
        log = FakeLog()
        cluster = make_cluster(seed, build_more=with_dissemination(log), **options)
        await start_all(cluster)
        log.commit(manifest=make_manifest(1))
        await asyncio.sleep(1)
        await run_observed(cluster, log, scenario(cluster, log))

    run_virtual(run())


def is_in_force(cluster, log, names=None):
    latest = len(log.states) - 1
    return all(
        daemon.board.config.revision == latest
        for name, daemon in cluster.daemons.items()
        if names is None or name in names
    )


async def in_force(cluster, log, names=None):
    await until(lambda: is_in_force(cluster, log, names), IN_FORCE_S)


def is_stale(daemon):
    now = asyncio.get_running_loop().time()
    return now - daemon.board.config.confirmed_at > STALE_S


def relay_of(cluster, centre="dc1"):
    daemon = cluster.daemons["c1"]
    return daemon.membership.relays(centre)[0].daemon_id


def change(log, number):
    """Commit one of several kinds of change."""
    if number % 3 == 0:
        return log.commit(manifest=make_manifest(number + 2))
    if number % 3 == 1:
        return log.commit(servers_out=(f"s{number}",))
    return log.commit(data_centres_out=(f"dc{number % 4}",))


class TestChanges:
    def test_hundreds_of_changes_are_in_force_while_relays_die(self):
        """Guards against a change that gets stuck below a dead relay."""

        async def scenario(cluster, log):
            for number in range(300):
                change(log, number)
                if number % 50 == 10:
                    victim = relay_of(cluster, f"dc{number // 50 % 3 + 1}")
                    incarnation = cluster.daemons[victim].identity.incarnation
                    cluster.kill(victim)
                if number % 50 == 40:
                    cluster.start(victim, incarnation + 1)
                await in_force(cluster, log)
                await asyncio.sleep(0.05)

        run_tree(scenario)

    @pytest.mark.parametrize("fault", ["freeze", "isolate", "cut_from_control"])
    def test_change_passes_a_silent_relay(self, fault):
        """Guards against children that wait for a parent that is not dead.

        The change is accepted at several distances from the fault, since it
        matters how old the last proof was.
        """

        async def scenario(cluster, log):
            for step in range(8):
                relay = relay_of(cluster)
                address = cluster.daemons[relay].address
                everyone = [d.address for d in cluster.daemons.values()]
                if fault == "freeze":
                    cluster.fabric.freeze(address)
                elif fault == "isolate":
                    others = [other for other in everyone if other != address]
                    cluster.fabric.cut_groups([address], others)
                else:
                    cluster.fabric.cut_groups([address], cluster.control)
                await asyncio.sleep(step * 0.3)
                change(log, step)
                excluded = set() if fault == "cut_from_control" else {relay}
                await in_force(cluster, log, set(cluster.daemons) - excluded)
                cluster.fabric.thaw(address)
                cluster.fabric.heal()
                await in_force(cluster, log)
                await asyncio.sleep(6)

        run_tree(scenario)

    def test_lost_and_repeated_items_are_repaired(self):
        """Guards against a stream that drops or repeats one of its updates."""

        async def scenario(cluster, log):
            spoil_streams(cluster)
            for number in range(100):
                change(log, number)
                await in_force(cluster, log)

        run_tree(scenario)


def spoil_streams(cluster):
    """Make each subscription lose a fifth of its items and repeat a fifth.

    Repair takes at most one report interval; more losses in a row than fit
    into 4 s don't occur at this rate and seed.
    """
    for daemon in cluster.daemons.values():
        handlers = cluster.fabric.handlers[daemon.address].streams
        handlers[MessageKind.SUBSCRIBE] = spoiled(
            handlers[MessageKind.SUBSCRIBE], cluster.rng
        )
    for pair in list(cluster.fabric.links):
        cluster.fabric._break(pair)


def spoiled(handler, rng):
    async def serve(peer, payload, send_item):
        def send(item):
            for _ in range(rng.choice([0, 1, 1, 1, 2])):
                send_item(item)

        return await handler(peer, payload, send)

    return serve


class TestPartitions:
    def test_both_sides_know_whether_they_are_stale(self):
        """Guards against a cut-off data centre that believes to be current."""

        async def scenario(cluster, log):
            near, far = cluster.addresses("dc1"), cluster.addresses("dc2", "dc3")
            cluster.fabric.cut_groups(near, far)
            log.cut_off.add("c0")
            await asyncio.sleep(STALE_S + 0.1)
            inside = [d for d in cluster.daemons.values() if d.address in near]
            outside = [d for d in cluster.daemons.values() if d.address in far]
            for _ in range(20):
                change(log, 1)
                assert all(is_stale(daemon) for daemon in inside)
                assert not any(is_stale(daemon) for daemon in outside)
                await asyncio.sleep(1)
            rollout = cluster.daemons["c1"].dissemination.rollout()
            assert not rollout.is_everywhere
            assert set(rollout.silent) == {d.identity.daemon_id for d in inside}
            cluster.fabric.heal()
            log.rejoin("c0")
            await in_force(cluster, log)
            daemons = cluster.daemons.values()
            await until(lambda: not any(is_stale(d) for d in daemons), STALE_S)

        run_tree(scenario)

    def test_cut_off_control_daemon_confirms_nothing(self):
        """Guards against a root that passes its own old state as current."""

        async def scenario(cluster, log):
            log.cut_off.update(("c0", "c1", "c2"))
            await asyncio.sleep(STALE_S + 0.1)
            for _ in range(100):
                assert all(is_stale(daemon) for daemon in cluster.daemons.values())
                await asyncio.sleep(0.1)
            for name in ("c0", "c1", "c2"):
                log.rejoin(name)
            daemons = cluster.daemons.values()
            await until(lambda: not any(is_stale(d) for d in daemons), STALE_S)

        run_tree(scenario)

    def test_thawed_daemon_does_not_take_old_heartbeats_for_new(self):
        """Guards against replies that waited in a frozen process's socket."""

        async def scenario(cluster, log):
            daemon = cluster.daemons["e0dc1"]
            cluster.fabric.freeze(daemon.address)
            await asyncio.sleep(1)
            for number in range(5):
                change(log, number)
                await asyncio.sleep(20)
            others = [d.address for d in cluster.daemons.values() if d is not daemon]
            cluster.fabric.cut_groups([daemon.address], others)
            cluster.fabric.thaw(daemon.address)
            for _ in range(50):
                assert is_stale(daemon)
                await asyncio.sleep(0.1)

        run_tree(scenario)

    def test_slow_heartbeat_proves_nothing_of_the_time_it_took(self):
        """Guards against a proof that gets younger on its way.

        The observer compares each proof with what was accepted by then.
        """

        async def scenario(cluster, log):
            daemon = cluster.daemons["e0dc1"]
            for other in cluster.daemons.values():
                cluster.fabric.delays[(other.address, daemon.address)] = 1.2
            for number in range(60):
                change(log, number)
                await asyncio.sleep(0.3)
            assert daemon.board.config.revision > 50

        run_tree(scenario)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["cut", "isolate", "freeze", "restart", "heal"]),
                st.integers(0, 10),
                st.floats(0, 4),
            ),
            min_size=4,
            max_size=12,
        )
    )
    @settings(derandomize=True, max_examples=15, deadline=None)
    def test_any_schedule_of_faults_is_survived(self, steps):
        """Guards against reverts and false proofs in rare interleavings.

        The observer checks both throughout; after healing the last change is
        in force in time.
        """

        async def scenario(cluster, log):
            cluster.fabric.duplicate = cluster.fabric.reorder = 0.2
            for number, (action, choice, pause) in enumerate(steps):
                change(log, number)
                await act(cluster, log, action, choice)
                await asyncio.sleep(pause)
            await act(cluster, log, "heal", 0)
            change(log, len(steps))
            await in_force(cluster, log)
            await asyncio.sleep(3)
            await until(
                lambda: cluster.daemons["c0"].dissemination.rollout().is_everywhere, 10
            )

        run_tree(scenario)


async def act(cluster, log, action, choice):
    """Do one step of a schedule of faults."""
    names = sorted(cluster.daemons)
    name = names[choice % len(names)]
    daemon = cluster.daemons[name]
    everyone = [d.address for d in cluster.daemons.values()]
    if action == "cut":
        centre = f"dc{choice % 3 + 1}"
        near = set(cluster.addresses(centre))
        cluster.fabric.cut_groups(near, set(everyone) - near)
        log.cut_off.add(f"c{choice % 3}")
    elif action == "isolate":
        cluster.fabric.cut_groups([daemon.address], set(everyone) - {daemon.address})
        log.cut_off.add(name)
    elif action == "freeze":
        cluster.fabric.freeze(daemon.address)
        log.cut_off.add(name)
    elif action == "restart" and name.startswith("e"):
        cluster.fabric.thaw(daemon.address)
        cluster.kill(name)
        cluster.start(name, daemon.identity.incarnation + 1)
    elif action == "heal":
        for address in list(cluster.fabric.frozen):
            cluster.fabric.thaw(address)
        cluster.fabric.heal()
        for control in list(log.cut_off):
            log.rejoin(control)


class TestRollout:
    def test_rollout_waits_for_a_daemon_that_is_behind(self):
        """Guards against a change that is reported in force too early.

        The observer compares each rollout with what the daemons have.
        """

        async def scenario(cluster, log):
            control = cluster.daemons["c2"].dissemination
            await until(lambda: control.rollout().is_everywhere, 5)
            frozen = cluster.daemons["e0dc3"]
            cluster.fabric.freeze(frozen.address)
            revision = change(log, 1)
            await asyncio.sleep(0.05)
            assert control.rollout().revision < revision
            await asyncio.sleep(1.5)
            rollout = control.rollout()
            assert not rollout.is_everywhere
            assert [lag.daemon_id for lag in rollout.behind] == ["e0dc3"]
            cluster.fabric.thaw(frozen.address)
            await until(lambda: control.rollout().is_everywhere, 10)
            assert control.rollout().revision == revision
            assert control.rollout().daemons == len(cluster.daemons)
            for daemon in cluster.daemons.values():
                assert daemon.board.config.revision == revision

        run_tree(scenario)
