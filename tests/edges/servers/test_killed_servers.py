"""Tests of the curl transport while servers are killed and restarted."""

import asyncio
import os
import random

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, Target
from bramleyrouter.ids import ServerId
from bramleyrouter.standins.behaviours import Behaviour, Latency
from bramleyrouter.standins.servers import build_standin

HOLDING = ServiceHolding("svc", {"s0": ("v1",)})
MAX_CONNECTIONS = 4


def start_query(transport, address, name):
    fut = asyncio.get_running_loop().create_future()
    call = QueryCall(name, 0, "v1", "svc", ("s0",), b"{}")
    target = Target(ServerId("s"), 1, 1, address, MAX_CONNECTIONS)
    transport.query(target, call, 2.0, fut.set_result)
    return fut


async def run_round(transport, port, number):
    """Kill a server while queries run; return the codes of all queries."""
    behaviour = Behaviour(slots=4, holdings=(HOLDING,), latency=Latency(0.05, 0.0))
    server = build_standin(
        ServerId("s"), "dc1", [], behaviour, random.Random(1), port=port
    )
    await server.start()

    def start(kind, count):
        names = [f"{number}.{kind}{index}" for index in range(count)]
        return [start_query(transport, server.address, name) for name in names]

    served = await asyncio.gather(*start("a", MAX_CONNECTIONS))
    running = start("b", 3)
    while server.metrics.in_flight < 3:
        await asyncio.sleep(0)
    server.kill()
    lost = await asyncio.gather(*running)
    refused = await asyncio.gather(*start("c", 6))
    closed = start("d", 2)
    transport.close_connections(ServerId("s"))
    closed_results = await asyncio.gather(*closed)
    groups = (served, lost, refused, closed_results)
    port = int(server.address.rpartition(":")[2])
    return port, [{result.code for result in group} for group in groups]


class TestKilledServers:
    """Guard against sockets that curl closed but the event loop still watches.

    When their descriptors were reused, queries never ended and the event loop raised
    errors.
    """

    def test_every_query_ends_and_no_socket_leaks(self):
        async def scenario():
            errors = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(context["message"])
            )
            transport = build_curl_transport()
            port, rounds, descriptors = 0, [], []
            for number in range(4):
                port, codes = await run_round(transport, port, number)
                rounds.append(codes)
                descriptors.append(len(os.listdir("/proc/self/fd")))
            transport.close()
            return rounds, descriptors, errors

        async def bounded():
            return await asyncio.wait_for(scenario(), 20)

        rounds, descriptors, errors = asyncio.run(bounded())
        for served, lost, refused, closed_results in rounds:
            assert served == {Code.OK}
            assert lost == {Code.SHARD_CONNECTION_LOST}
            assert refused == {Code.CONNECT_FAILED}
            assert closed_results <= {Code.CONNECT_FAILED, Code.SHARD_CONNECTION_LOST}
        assert descriptors[-1] <= descriptors[0]
        assert errors == []
