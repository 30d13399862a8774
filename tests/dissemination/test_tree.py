"""Tests of the tree of daemons: updates, confirmations and acknowledgements."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.dissemination.interfaces import STALE_AFTER_S
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import (
    make_cluster,
    make_dissemination_builder,
    start_all,
    wait_until,
)
from tests.support.config_sources import FakeLog, make_manifest
from tests.support.observers import run_observed
from tests.support.virtual_time import run_virtual

# Time within which an accepted configuration is guaranteed to be in force everywhere.
IN_FORCE_S = 4.0


def run_tree(scenario, seed=0, **options):
    async def run():
        log = FakeLog()
        cluster = make_cluster(
            seed, dissemination_builder=make_dissemination_builder(log), **options
        )
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


async def wait_until_in_force(cluster, log, names=None):
    await wait_until(lambda: is_in_force(cluster, log, names), IN_FORCE_S)


def is_stale(daemon):
    now = asyncio.get_running_loop().time()
    return now - daemon.board.config.confirmed_at > STALE_AFTER_S


def get_first_relay(cluster, centre="dc1"):
    daemon = cluster.daemons["c1"]
    return daemon.membership.relays(centre)[0].daemon_id


def commit_change(log, number):
    """Commit a change, whose kind depends on ``number``."""
    if number % 3 == 0:
        return log.commit(manifest=make_manifest(number + 2))
    if number % 3 == 1:
        return log.commit(servers_out=(f"s{number}",))
    return log.commit(data_centres_out=(f"dc{number % 4}",))


class TestChanges:
    def test_changes_are_in_force_while_relays_are_killed(self):
        """Guards against a change that never reaches the daemons below a dead relay."""

        async def scenario(cluster, log):
            for number in range(300):
                commit_change(log, number)
                if number % 50 == 10:
                    killed_relay = get_first_relay(cluster, f"dc{number // 50 % 3 + 1}")
                    incarnation = cluster.daemons[killed_relay].identity.incarnation
                    cluster.kill(killed_relay)
                if number % 50 == 40:
                    cluster.start(killed_relay, incarnation + 1)
                await wait_until_in_force(cluster, log)
                await asyncio.sleep(0.05)

        run_tree(scenario)

    @pytest.mark.parametrize("fault", ["freeze", "isolate", "cut_from_control"])
    def test_change_reaches_daemons_below_a_silent_relay(self, fault):
        """Guards against children that wait for an unresponsive parent.

        The parent is not dead for membership. The change is accepted at several
        times after the fault, since the children's reaction depends on the age
        of the last confirmation.
        """

        async def scenario(cluster, log):
            for step in range(8):
                relay = get_first_relay(cluster)
                address = cluster.daemons[relay].address
                all_addresses = [d.address for d in cluster.daemons.values()]
                if fault == "freeze":
                    cluster.fabric.freeze(address)
                elif fault == "isolate":
                    others = [other for other in all_addresses if other != address]
                    cluster.fabric.cut_groups([address], others)
                else:
                    cluster.fabric.cut_groups([address], cluster.control)
                await asyncio.sleep(step * 0.3)
                commit_change(log, step)
                excluded = set() if fault == "cut_from_control" else {relay}
                await wait_until_in_force(cluster, log, set(cluster.daemons) - excluded)
                cluster.fabric.thaw(address)
                cluster.fabric.heal()
                await wait_until_in_force(cluster, log)
                await asyncio.sleep(6)

        run_tree(scenario)

    def test_lost_and_duplicated_updates_are_repaired(self):
        """Guards against a copy that stays behind after a lost or duplicated update."""

        async def scenario(cluster, log):
            make_streams_unreliable(cluster)
            for number in range(100):
                commit_change(log, number)
                await wait_until_in_force(cluster, log)

        run_tree(scenario)


def make_streams_unreliable(cluster):
    """Make each subscription lose a fifth of its items and duplicate a fifth.

    Repair takes at most one report interval. At this rate and seed there are never
    so many losses in a row that their repair takes longer than 4 s.
    """
    for daemon in cluster.daemons.values():
        handlers = cluster.fabric.handlers[daemon.address].streams
        handlers[MessageKind.SUBSCRIBE] = make_unreliable_handler(
            handlers[MessageKind.SUBSCRIBE], cluster.rng
        )
    for pair in list(cluster.fabric.links):
        cluster.fabric._break(pair)


def make_unreliable_handler(handler, rng):
    async def serve(peer, payload, send_item):
        def send(item):
            for _ in range(rng.choice([0, 1, 1, 1, 2])):
                send_item(item)

        return await handler(peer, payload, send)

    return serve


class TestPartitions:
    def test_only_the_side_without_a_majority_is_stale(self):
        """Guards against an unreachable data centre that counts as current."""

        async def scenario(cluster, log):
            inside_addresses, outside_addresses = (
                cluster.get_addresses("dc1"),
                cluster.get_addresses("dc2", "dc3"),
            )
            cluster.fabric.cut_groups(inside_addresses, outside_addresses)
            log.partitioned.add("c0")
            await asyncio.sleep(STALE_AFTER_S + 0.1)
            inside = [
                d for d in cluster.daemons.values() if d.address in inside_addresses
            ]
            outside = [
                d for d in cluster.daemons.values() if d.address in outside_addresses
            ]
            for _ in range(20):
                commit_change(log, 1)
                assert all(is_stale(daemon) for daemon in inside)
                assert not any(is_stale(daemon) for daemon in outside)
                await asyncio.sleep(1)
            rollout = cluster.daemons["c1"].dissemination.get_rollout()
            assert not rollout.is_in_force_everywhere
            assert set(rollout.silent) == {d.identity.daemon_id for d in inside}
            cluster.fabric.heal()
            log.reconnect("c0")
            await wait_until_in_force(cluster, log)
            daemons = cluster.daemons.values()
            await wait_until(
                lambda: not any(is_stale(d) for d in daemons), STALE_AFTER_S
            )

        run_tree(scenario)

    def test_partitioned_control_daemon_confirms_nothing(self):
        """Guards against a root that confirms its own old state as current."""

        async def scenario(cluster, log):
            log.partitioned.update(("c0", "c1", "c2"))
            await asyncio.sleep(STALE_AFTER_S + 0.1)
            for _ in range(100):
                assert all(is_stale(daemon) for daemon in cluster.daemons.values())
                await asyncio.sleep(0.1)
            for name in ("c0", "c1", "c2"):
                log.reconnect(name)
            daemons = cluster.daemons.values()
            await wait_until(
                lambda: not any(is_stale(d) for d in daemons), STALE_AFTER_S
            )

        run_tree(scenario)

    def test_thawed_daemon_does_not_count_old_heartbeats_as_new(self):
        """Guards against false freshness after a frozen process continues.

        Replies that waited in its socket meanwhile must not confirm anything.
        """

        async def scenario(cluster, log):
            daemon = cluster.daemons["e0dc1"]
            cluster.fabric.freeze(daemon.address)
            await asyncio.sleep(1)
            for number in range(5):
                commit_change(log, number)
                await asyncio.sleep(20)
            others = [d.address for d in cluster.daemons.values() if d is not daemon]
            cluster.fabric.cut_groups([daemon.address], others)
            cluster.fabric.thaw(daemon.address)
            for _ in range(50):
                assert is_stale(daemon)
                await asyncio.sleep(0.1)

        run_tree(scenario)

    def test_slow_heartbeat_does_not_confirm_its_time_in_transit(self):
        """Guards against a confirmation that looks newer after a slow message.

        The observer compares each confirmation with what was accepted by then.
        """

        async def scenario(cluster, log):
            daemon = cluster.daemons["e0dc1"]
            for other in cluster.daemons.values():
                cluster.fabric.delays[(other.address, daemon.address)] = 1.2
            for number in range(60):
                commit_change(log, number)
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
    def test_configuration_stays_correct_under_random_faults(self, steps):
        """Guards against reverts and false confirmations in rare interleavings.

        The observer checks for both throughout. After the faults are healed, the
        last change must be in force in time.
        """

        async def scenario(cluster, log):
            cluster.fabric.duplicate = cluster.fabric.reorder = 0.2
            for number, (action, choice, pause) in enumerate(steps):
                commit_change(log, number)
                await apply_action(cluster, log, action, choice)
                await asyncio.sleep(pause)
            await apply_action(cluster, log, "heal", 0)
            commit_change(log, len(steps))
            await wait_until_in_force(cluster, log)
            await asyncio.sleep(3)
            await wait_until(
                lambda: (
                    cluster.daemons["c0"]
                    .dissemination.get_rollout()
                    .is_in_force_everywhere
                ),
                10,
            )

        run_tree(scenario)


async def apply_action(cluster, log, action, choice):
    """Inject the fault ``action``, or heal all; ``choice`` selects where."""
    names = sorted(cluster.daemons)
    name = names[choice % len(names)]
    daemon = cluster.daemons[name]
    all_addresses = [d.address for d in cluster.daemons.values()]
    if action == "cut":
        centre = f"dc{choice % 3 + 1}"
        inside = set(cluster.get_addresses(centre))
        cluster.fabric.cut_groups(inside, set(all_addresses) - inside)
        log.partitioned.add(f"c{choice % 3}")
    elif action == "isolate":
        cluster.fabric.cut_groups(
            [daemon.address], set(all_addresses) - {daemon.address}
        )
        log.partitioned.add(name)
    elif action == "freeze":
        cluster.fabric.freeze(daemon.address)
        log.partitioned.add(name)
    elif action == "restart" and name.startswith("e"):
        cluster.fabric.thaw(daemon.address)
        cluster.kill(name)
        cluster.start(name, daemon.identity.incarnation + 1)
    elif action == "heal":
        for address in list(cluster.fabric.frozen):
            cluster.fabric.thaw(address)
        cluster.fabric.heal()
        for control in list(log.partitioned):
            log.reconnect(control)


class TestRollout:
    def test_rollout_is_not_complete_while_a_daemon_is_behind(self):
        """Guards against a change that is reported as in force too early.

        The observer compares each rollout with the daemons' revisions.
        """

        async def scenario(cluster, log):
            control = cluster.daemons["c2"].dissemination
            await wait_until(lambda: control.get_rollout().is_in_force_everywhere, 5)
            frozen = cluster.daemons["e0dc3"]
            cluster.fabric.freeze(frozen.address)
            revision = commit_change(log, 1)
            await asyncio.sleep(0.05)
            assert control.get_rollout().revision < revision
            await asyncio.sleep(1.5)
            rollout = control.get_rollout()
            assert not rollout.is_in_force_everywhere
            assert [lag.daemon_id for lag in rollout.behind] == ["e0dc3"]
            cluster.fabric.thaw(frozen.address)
            await wait_until(lambda: control.get_rollout().is_in_force_everywhere, 10)
            assert control.get_rollout().revision == revision
            assert control.get_rollout().daemons == len(cluster.daemons)
            for daemon in cluster.daemons.values():
                assert daemon.board.config.revision == revision

        run_tree(scenario)
