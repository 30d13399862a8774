"""Tests of whole members: elections, failures, restarts, repairs."""

import asyncio

from result import Err, Ok

from bramleyrouter.codes import Code
from tests.support.log_cluster import ADDRESSES, LogCluster
from tests.support.virtual_time import run_virtual


class TestStart:
    """Guards against two clusters, and against a start that never ends."""

    def test_lone_member_works_at_once(self):
        async def scenario():
            cluster = LogCluster(first=ADDRESSES[:1])
            cluster.start(0)
            assert await cluster.propose(b"a") == 0
            assert asyncio.get_running_loop().time() < 0.1
            assert await cluster.logs[0].read_barrier(1.0) == Ok(None)

        run_virtual(scenario())

    def test_three_members_agree(self):
        async def scenario():
            cluster = LogCluster()
            cluster.start(0, 1, 2)
            await cluster.propose(b"a")
            await asyncio.sleep(0.3)
            assert list(cluster.commands.values()) == [[b"a"]] * 3
            assert all(log.is_current() for log in cluster.logs.values())

        run_virtual(scenario())


class TestLeaderLoss:
    """Guards against two leaders and against accepting without a majority."""

    def test_killed_leader_is_replaced(self):
        async def scenario():
            cluster = LogCluster()
            cluster.start(0, 1, 2)
            old = await cluster.propose(b"a")
            await cluster.kill(old)
            before = asyncio.get_running_loop().time()
            await cluster.propose(b"b")
            assert asyncio.get_running_loop().time() - before < 1.5
            cluster.start(old)
            await asyncio.sleep(1.0)
            assert cluster.commands[old] == [b"a", b"b"]

        run_virtual(scenario())

    def test_isolated_leader_refuses_and_returns_quietly(self):
        async def scenario():
            cluster = LogCluster()
            cluster.start(0, 1, 2)
            old = await cluster.propose(b"a")
            cluster.isolate(old)
            lost = await cluster.logs[old].propose(b"lost", 5.0)
            assert lost.unwrap_err().code is Code.NO_MAJORITY
            others = set(cluster.logs) - {old}
            await cluster.propose(b"b", others)
            await asyncio.sleep(60.0)
            log = cluster.logs[old]
            assert not log.is_current() and not log.status().is_leader
            refused = await log.propose(b"c", 1.0)
            assert refused.unwrap_err().code is Code.NOT_LEADER
            assert isinstance(await log.read_barrier(1.0), Err)
            leader = await cluster.wait_leader(others)
            term = cluster.logs[leader].status().term
            cluster.fabric.heal()
            await asyncio.sleep(3.0)
            assert cluster.leaders() == [leader]
            assert cluster.logs[leader].status().term == term
            assert cluster.commands[old] == [b"a", b"b"]

        run_virtual(scenario())
