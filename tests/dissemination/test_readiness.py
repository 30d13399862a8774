"""Tests of when a daemon that was started becomes ready to serve callers."""

import asyncio

from bramleyrouter.dissemination.interfaces import CONFIGURATION_REASON, STALE_AFTER_S
from bramleyrouter.membership.interfaces import MEMBERSHIP_REASON
from tests.support.clusters import (
    make_cluster,
    make_dissemination_builder,
    make_record,
    start_all,
    wait_until,
)
from tests.support.config_sources import FakeLog, make_manifest
from tests.support.virtual_time import run_virtual

# The wait for a confirmation takes 2 s, polling all daemons 0.5 s and the
# subscription 0.5 s.
READY_LIMIT_S = 4.0
SERVERS = 20


def run_cluster(scenario, changes=5):
    async def run():
        log = FakeLog()
        cluster = make_cluster(dissemination_builder=make_dissemination_builder(log))
        await start_all(cluster)
        home = cluster.daemons["e0dc3"]
        records = [make_record(f"s{i}", home.identity) for i in range(SERVERS)]
        home.membership.publish_rows(records, [])
        for number in range(changes):
            log.commit(manifest=make_manifest(number + 1))
        await asyncio.sleep(1)
        await scenario(cluster, log)

    run_virtual(run())


def is_ready(daemon):
    reasons = daemon.board.readiness.reasons
    return not reasons & {CONFIGURATION_REASON, MEMBERSHIP_REASON}


def restart(cluster, name):
    incarnation = cluster.daemons[name].identity.incarnation
    cluster.kill(name)
    return cluster.start(name, incarnation + 1)


class TestReadiness:
    def test_restarted_daemon_is_ready_only_with_current_state(self):
        """Guards against a restarted daemon that serves without current state.

        It would send requests to servers that are taken out, or find no servers.
        """

        async def scenario(cluster, log):
            for number in range(10):
                daemon = restart(cluster, "e1dc1")
                assert not is_ready(daemon)
                log.commit(servers_out=(f"s{number}",))
                waited = await wait_until(lambda daemon=daemon: is_ready(daemon), 2.0)
                assert waited > 0
                assert daemon.board.config.revision == len(log.states) - 1
                assert len(daemon.board.servers.records) == SERVERS
                await asyncio.sleep(0.3)

        run_cluster(scenario)

    def test_without_control_the_highest_reachable_revision_is_adopted(self):
        """Guards against a restart in a partition that reverts the configuration."""

        async def scenario(cluster, log):
            behind, ahead, restarted = (
                cluster.daemons[name] for name in ("e0dc2", "e1dc2", "e2dc2")
            )
            all_addresses = {d.address for d in cluster.daemons.values()}
            other_addresses = all_addresses - {
                behind.address,
                ahead.address,
                restarted.address,
            }
            cluster.fabric.cut_groups(
                [behind.address], all_addresses - {restarted.address}
            )
            cluster.fabric.cut_groups(
                [restarted.address], other_addresses | {ahead.address}
            )
            latest = log.commit(servers_out=("late",))
            await wait_until(lambda: ahead.board.config.revision == latest, 4.0)
            cluster.fabric.cut_groups([ahead.address], other_addresses)
            cluster.fabric.cuts -= {
                (restarted.address, ahead.address),
                (ahead.address, restarted.address),
            }
            cluster.kill("e2dc2")
            assert behind.board.config.revision < ahead.board.config.revision
            daemon = cluster.start("e2dc2", 2)
            waited = await wait_until(lambda: is_ready(daemon), READY_LIMIT_S)
            assert waited >= STALE_AFTER_S
            assert daemon.board.config.revision == ahead.board.config.revision
            assert daemon.board.config.servers_out == {"late"}
            now = asyncio.get_running_loop().time()
            assert now - daemon.board.config.confirmed_at > STALE_AFTER_S

        run_cluster(scenario)

    def test_partitioned_control_daemon_still_provides_its_revision(self):
        """Guards against daemons that restart inside a partition and never serve.

        The only control daemon in the partition has no contact to the leader.
        """

        async def scenario(cluster, log):
            names = {"c0", "e0dc1"}
            inside = {cluster.daemons[name].address for name in names}
            all_addresses = {d.address for d in cluster.daemons.values()}
            cluster.fabric.cut_groups(inside, all_addresses - inside)
            log.partitioned.add("c0")
            await asyncio.sleep(10)
            cluster.kill("c0")
            control = cluster.start("c0", 2)
            entry = restart(cluster, "e0dc1")
            await wait_until(
                lambda: is_ready(entry) and is_ready(control), 2 * READY_LIMIT_S
            )
            assert entry.board.config.revision == 5

        run_cluster(scenario)

    def test_isolated_daemon_is_not_ready(self):
        """Guards against a ready daemon without configuration.

        It would refuse every query that the balancer sends to it.
        """

        async def scenario(cluster, log):
            all_addresses = {d.address for d in cluster.daemons.values()}
            own = cluster.daemons["e0dc1"].address
            cluster.fabric.cut_groups([own], all_addresses - {own})
            daemon = restart(cluster, "e0dc1")
            await asyncio.sleep(30)
            assert CONFIGURATION_REASON in daemon.board.readiness.reasons
            cluster.fabric.heal()
            await wait_until(lambda: is_ready(daemon), READY_LIMIT_S)

        run_cluster(scenario)

    def test_new_cluster_without_a_manifest_becomes_ready(self):
        """Guards against daemons that wait forever for a first configuration."""

        async def scenario(cluster, log):
            assert all(is_ready(daemon) for daemon in cluster.daemons.values())

        run_cluster(scenario, changes=0)
