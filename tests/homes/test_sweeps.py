"""Tests of the periodic work of a home."""

import asyncio

from bramleyrouter.codes import Code
from bramleyrouter.homes.limits import REMOVE_AFTER_S
from bramleyrouter.states import ServerState
from tests.homes.fakes import Cluster
from tests.support.virtual_time import run_virtual


class OddRecords(dict):
    """Raise for one server, as a table with an odd entry may."""

    def get(self, key, default=None):
        if key == "odd":
            raise ValueError("odd entry")
        return super().get(key, default)


def make_status_table_odd(cluster):
    """Let each sweep of the server "odd" raise an exception."""
    statuses = cluster.boards["d1"].homes.statuses
    cluster.boards["d1"].homes.statuses = OddRecords(statuses)


class TestSweeps:
    def test_an_exception_ends_neither_the_sweep_nor_the_next_ones(self):
        """Guards against servers that never expire after one unexpected error."""

        async def scenario():
            cluster = Cluster()
            await cluster.register_server(server_id="odd")
            await cluster.register_server(server_id="s1")
            make_status_table_odd(cluster)
            await asyncio.sleep(REMOVE_AFTER_S + 6.0)
            assert cluster.get_row("s1") is None
            assert await cluster.query_code() is Code.NOT_HOME

        run_virtual(scenario())


class TestRowUpdates:
    def test_an_exception_ends_neither_this_update_nor_the_next_ones(self):
        """Guards against a home that never publishes a row again."""

        async def scenario():
            cluster = Cluster()
            await cluster.register_server(server_id="odd")
            renewal, lease = await cluster.register_server(server_id="s1")
            make_status_table_odd(cluster)
            await asyncio.sleep(1.0)
            draining = ServerState.DRAINING
            await cluster.renew("d1", renewal, lease, 3, state=draining)
            await asyncio.sleep(0.2)
            assert cluster.get_row("s1").state is draining

        run_virtual(scenario())
