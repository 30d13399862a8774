"""Tests of the memory that clients may take who neither send nor read in time."""

import asyncio
import socket

from bramleyrouter.edges.http import EndpointSpec, HttpReply
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.ports import reserve_address

MB = 1_000_000
HEAD = "POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n"
# More than the buffers of the kernel on both sides hold.
LARGE_BYTES = 12 * MB


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def run(scenario, limit_bytes):
    """Run a scenario with a listener, its budget and the bodies that it handled."""

    async def run_with_listener():
        memory, address, bodies = ByteBudget(limit_bytes), reserve_address(), []

        async def echo(req, body):
            bodies.append(len(body))
            return HttpReply(200, b"x" * LARGE_BYTES if body == b"large" else b"ok")

        specs = [EndpointSpec("/echo", "POST", echo, MB)]
        stop = listen_http(address, specs, last_replies_s=0.1, memory=memory)

        async def send(length, body):
            host, port = address.split(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            writer.write(HEAD.format("/echo", length).encode() + body)
            return reader, writer

        try:
            return await asyncio.wait_for(scenario(send, memory, bodies), 20.0)
        finally:
            await stop()

    return asyncio.run(run_with_listener())


async def read_status(reader):
    return int((await reader.readuntil(b"\r\n")).split()[1])


class TestClients:
    """Guard against clients that together fill the memory of a daemon (FAULT)."""

    def test_bodies_that_are_never_complete_are_bounded_together(self):
        async def scenario(send, memory, bodies):
            stalled = [await send(MB, b"x" * 900_000) for _ in range(8)]
            await wait_until(lambda: memory.ended_count >= 6)
            assert memory.held_bytes <= 2 * MB
            good = await send(2, b"ab")
            status = await read_status(good[0])
            for _, writer in [*stalled, good]:
                writer.close()
            await wait_until(lambda: not memory.held_bytes)
            return status, bodies

        assert run(scenario, 2 * MB) == (200, [2])

    def test_a_body_that_was_given_up_is_refused_and_not_handled(self):
        async def scenario(send, memory, bodies):
            reader, writer = await send(MB, b"x" * MB)
            status = await read_status(reader)
            writer.close()
            await wait_until(lambda: not memory.held_bytes)
            return status, bodies

        assert run(scenario, MB // 2) == (503, [])

    def test_replies_that_are_not_read_are_bounded_together(self):
        async def scenario(send, memory, bodies):
            slow, most = [], 0
            for _ in range(6):
                slow.append(await send(5, b"large"))
                await wait_until(lambda: len(bodies) == len(slow))
                await asyncio.sleep(0.02)
                most = max(most, memory.held_bytes)
            assert 2 * LARGE_BYTES <= most <= 30 * MB
            good = await send(2, b"ab")
            status = await read_status(good[0])
            for _, writer in [*slow, good]:
                writer.close()
            await wait_until(lambda: not memory.held_bytes)
            return status, memory.ended_count

        assert run(scenario, 30 * MB) == (200, 4)
