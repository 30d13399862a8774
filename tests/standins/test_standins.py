"""Tests of a stand-in with its home over loopback sockets."""

import asyncio
import random

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from bramleyrouter.board import Board
from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.handlers import build_server_endpoints
from bramleyrouter.homes.build import build_homes
from bramleyrouter.homes.messages import ServerGroup, ShardBatch
from bramleyrouter.standins.behaviours import Behaviour, Latency, Warmth
from bramleyrouter.standins.servers import build_standin
from bramleyrouter.states import ServerState
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric

HOLDINGS = (ServiceHolding("sheets", {"a": ("v1",)}),)


class Scene:
    """Hold one daemon that listens on loopback and one cold stand-in."""

    def __init__(self):
        """Build both; needs a running loop."""
        sock, port = bind_unused_port()
        self.identity = make_identity("d1", port=port - 1)
        self.board, self.rows = Board(self.identity), {}
        network = MemoryFabric().build_network(self.identity)
        self.transport = build_curl_transport()
        self.homes = build_homes(
            self.board, network, self.transport, self.publish, random.Random(1)
        )
        HTTPServer(Application(build_server_endpoints(self.homes))).add_socket(sock)
        self.behaviour = Behaviour(
            slots=4,
            holdings=HOLDINGS,
            latency=Latency(0.004, 0.0),
            warmth=Warmth(warm_after=40),
        )
        daemons = [self.identity.http_address]
        self.standin = build_standin(
            "s1", "dc1", daemons, self.behaviour, random.Random(2)
        )

    def publish(self, changed, removed):
        """Keep the last rows."""
        self.rows.update({row.server_id: row for row in changed})

    async def query(self, number):
        """Send one query and return its code."""
        replies, end = [], asyncio.get_running_loop().create_future()
        group = ServerGroup("s1", number, "sheets", ("a",))
        batch = ShardBatch("r", "t", "c", "v1", 0, 5.0, False, (group,), b"{}")
        self.homes.client.dispatch("d1", batch, replies.append, end.set_result)
        await end
        return replies[0].code


class TestStandin:
    """Guard against a home and a stand-in that disagree on the protocol."""

    def test_a_cold_server_is_ramped_up_drained_and_never_overloaded(self):
        async def scenario():
            scene = Scene()
            metrics = scene.standin.metrics
            await scene.standin.start()
            while "s1" not in scene.rows:
                await asyncio.sleep(0.01)
            codes = []
            while scene.rows["s1"].headroom < 1.0:
                work = [scene.query(len(codes) + i) for i in range(8)]
                codes += await asyncio.gather(*work)
            assert set(codes) == {Code.OK}
            assert scene.behaviour.warmth.share == 1.0
            assert metrics.peak_in_flight <= 4
            scene.standin.drain()
            while scene.rows["s1"].state is not ServerState.DRAINING:
                await asyncio.sleep(0.01)
            assert await scene.query(0) is Code.SERVER_LEAVING
            for body, code in ((b"{", 100), (b"x" * 300_000, 101)):
                url = f"http://{scene.identity.http_address}/v1/servers/announce"
                reply = await AsyncHTTPClient().fetch(
                    url, method="POST", body=body, raise_error=False
                )
                assert msgspec.json.decode(reply.body)["code"] == code
            await scene.standin.stop()
            scene.homes.close()

        asyncio.run(asyncio.wait_for(scenario(), 30.0))
