"""Tests of the memory that replies to a home may take together."""

import asyncio

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, Target
from bramleyrouter.utils.byte_budgets import ByteBudget
from tests.support.raw_server import start_raw_server

MB = 1_000_000
GOOD = (
    b'{"request_id":"good","attempt":1,"version":"v1","results":{"a":{}},'
    b'"leaving":false}'
)


async def answer(request, writer):
    """Send the good request its answer, and every other one bytes without end."""
    if b'"good"' in request:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(GOOD) + GOOD
        )
        await writer.drain()
        return True
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n")
    while not writer.is_closing():
        writer.write(b"x" * 50_000)
        await writer.drain()
        await asyncio.sleep(0.002)
    return False


def build_call(request_id):
    return QueryCall(request_id, 1, "v1", "sheets", ("a",), b"{}")


class TestLongReplies:
    """Guard against replies that together fill the memory of a home (FAULT)."""

    def test_they_are_bounded_together_and_a_good_one_is_served(self):
        async def scenario():
            memory = ByteBudget(2 * MB)
            server = await start_raw_server(answer)
            transport = build_curl_transport(memory)
            target = Target("s1", 1, 1, server.address, 12)
            loop = asyncio.get_running_loop()
            results, most = [], 0
            for at in range(8):
                transport.query(target, build_call(f"r{at}"), 2.0, results.append)
            while len(results) < 6:
                most = max(most, memory.held_bytes)
                await asyncio.sleep(0.005)
            good = loop.create_future()
            transport.query(target, build_call("good"), 2.0, good.set_result)
            assert (await good).code is Code.OK
            assert MB <= most <= 2 * MB
            assert {result.code for result in results} <= {
                Code.SHARD_CONNECTION_LOST,
                Code.SHARD_TRUNCATED,
            }
            transport.close()
            assert memory.held_bytes == 0
            server.server.close()

        asyncio.run(asyncio.wait_for(scenario(), 10.0))
