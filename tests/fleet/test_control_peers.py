"""Tests of the polls by which control daemons know each other's data centre."""

import asyncio

from bramleyrouter.fleet.control_peers import (
    ControlLocation,
    ControlPeers,
    poll_control_peers,
    recommend_control_address,
)
from tests.fleet.fleet_cluster import ADDRESSES
from tests.support.identities import make_identity
from tests.support.log_cluster import in_virtual_time
from tests.support.memory_network import MemoryFabric


def start_daemon(fabric, number, list_addresses):
    """Start the polls of one control daemon; return its peers and the task."""
    loop = asyncio.get_running_loop()
    port = int(ADDRESSES[number].rsplit(":", 1)[1])
    network = fabric.build_network(make_identity(f"c{number}", port=port))
    location = ControlLocation(f"dc{number}", f"10.0.0.{number}:9000")
    control_peers = ControlPeers(location)
    polling = poll_control_peers(
        control_peers, network, ADDRESSES[number], list_addresses, loop.time
    )
    return control_peers, loop.create_task(polling)


class TestPolls:
    @in_virtual_time
    async def test_an_exception_does_not_end_the_polls(self):
        """Guards against heartbeats that all go to other data centres for good."""
        fabric, raises = MemoryFabric(), []

        def list_addresses():
            if raises:
                raise ValueError("odd member")
            return list(ADDRESSES[:2])

        first, task = start_daemon(fabric, 0, list_addresses)
        start_daemon(fabric, 1, lambda: list(ADDRESSES[:2]))
        await asyncio.sleep(1.5)
        raises.append(True)
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        assert recommend_control_address(first, "dc1", loop.time()) == ""
        raises.clear()
        await asyncio.sleep(1.5)
        assert recommend_control_address(first, "dc1", loop.time()) == "10.0.0.1:9000"
        assert not task.done()
