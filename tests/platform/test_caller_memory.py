"""Tests of the memory that callers may take who neither read nor send in time."""

import asyncio
import gc
import socket
import weakref

import pytest

from bramleyrouter.gateway.exchanges import (
    ExchangeOutcome,
    GatewayReply,
    ReplyKind,
    ServerReply,
)
from bramleyrouter.gateway.tables import CallerLimits
from bramleyrouter.platform import callers
from bramleyrouter.platform.callers import listen_callers
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.ports import reserve_address

MB = 1_000_000
HEAD = (
    "GET {path} HTTP/1.1\r\nHost: h.example\r\n"
    "Bramleyrouter-Request-Id: q1\r\nBramleyrouter-Deadline-Ms: {deadline_ms}\r\n"
)
# More than the buffers of the kernel on both sides hold.
LARGE_BYTES = 12 * MB


class Gateway:
    """Reply to "/large" with a body that the kernel's buffers can't hold."""

    def __init__(self):
        self.requests = []
        self.cancels = []

    def handle(self, request, on_reply, network_s):
        self.requests.append(request)
        size = LARGE_BYTES if request.path == "/large" else 100
        server = ServerReply(ExchangeOutcome.ANSWERED, 200, body=b"x" * size)

        def cancel():
            self.requests.clear()

        self.cancels.append(weakref.ref(cancel))
        asyncio.get_running_loop().call_soon(
            on_reply, GatewayReply(ReplyKind.SERVER, server=server)
        )
        return cancel


class Listener:
    """Hold a listener, its gateway and what it records."""

    def __init__(self, limit_bytes):
        self.gateway, self.events = Gateway(), []
        self.memory = ByteBudget(
            limit_bytes, lambda holding, size: self.events.append(holding.kind)
        )
        self.address = reserve_address()
        self.listener = listen_callers(
            self.address,
            self.gateway.handle,
            CallerLimits(),
            self.memory,
            lambda part, event, **fields: self.events.append(event),
        )

    async def connect(self):
        host, port = self.address.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        # The reader keeps as little as possible itself.
        return await asyncio.open_connection(sock=sock, limit=1024)


def run(scenario, limit_bytes=40 * MB):
    async def run_with_listener():
        listener = Listener(limit_bytes)
        try:
            return await asyncio.wait_for(scenario(listener), 20.0)
        finally:
            listener.listener.server.stop()

    return asyncio.run(run_with_listener())


async def send(listener, path, deadline_ms=10_000, extra="", body=b""):
    reader, writer = await listener.connect()
    head = HEAD.format(path=path, deadline_ms=deadline_ms) + extra + "\r\n"
    writer.write(head.encode() + body)
    return reader, writer


async def read_status(reader):
    return int((await reader.readuntil(b"\r\n")).split()[1])


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


class TestCallersThatDoNotRead:
    """Guard against replies that are kept for callers who never read them (FAULT)."""

    def test_the_budget_is_kept_and_other_callers_are_served(self):
        async def scenario(listener):
            slow, most = [], 0
            for _ in range(10):
                slow.append(await send(listener, "/large"))
                await wait_until(lambda: len(listener.gateway.requests) == len(slow))
                await asyncio.sleep(0.01)
                most = max(most, listener.memory.held_bytes)
            reader, writer = await send(listener, "/small")
            status = await read_status(reader)
            for _, other in [*slow, (reader, writer)]:
                other.close()
            return status, most, listener.events

        status, most, events = run(scenario)
        assert status == 200
        assert 2 * LARGE_BYTES <= most <= 40 * MB
        assert events == ["caller"] * 7

    def test_a_reply_that_is_not_read_by_the_deadline_is_dropped(self, monkeypatch):
        monkeypatch.setattr(callers, "READ_MARGIN_S", 0.05)

        async def scenario(listener):
            _, writer = await send(listener, "/large", deadline_ms=200)
            await wait_until(lambda: listener.memory.held_bytes)
            held = listener.memory.held_bytes
            await wait_until(lambda: not listener.memory.held_bytes)
            await wait_until(lambda: not listener.listener.state.connections)
            writer.close()
            return held, listener.events

        held, events = run(scenario)
        assert held == LARGE_BYTES
        assert events == ["reply_not_read"]

    def test_a_caller_that_reads_slowly_in_time_gets_its_whole_reply(self):
        async def scenario(listener):
            reader, writer = await send(listener, "/large")
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * callers.SLOW_CALLER_S)
            assert listener.memory.held_bytes == LARGE_BYTES
            body = await reader.readexactly(LARGE_BYTES)
            await wait_until(lambda: not listener.memory.held_bytes)
            writer.close()
            return len(body), listener.events

        assert run(scenario) == (LARGE_BYTES, [])

    def test_a_reply_that_was_read_meanwhile_does_not_end_the_connection(self):
        async def scenario(listener):
            state = listener.listener.state
            reader, writer = await send(listener, "/large")
            await wait_until(lambda: listener.memory.held_bytes)
            holding = next(iter(listener.memory.holdings))
            request = next(iter(state.busy.values()))
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_BYTES)
            await wait_until(lambda: request not in state.busy.values())
            holding.on_end()
            await asyncio.sleep(0.01)
            head = HEAD.format(path="/small", deadline_ms=1000) + "\r\n"
            writer.write(head.encode())
            status = await read_status(reader)
            writer.close()
            return status

        assert run(scenario) == 200

    def test_a_caller_that_disconnects_holds_nothing(self):
        async def scenario(listener):
            _, writer = await send(listener, "/large")
            await wait_until(lambda: listener.memory.held_bytes)
            writer.transport.abort()
            await wait_until(lambda: not listener.memory.held_bytes)

        run(scenario)

    def test_the_state_of_the_request_is_not_kept_for_its_reader(self):
        async def scenario(listener):
            _, writer = await send(listener, "/large")
            await wait_until(lambda: listener.memory.held_bytes)
            gc.collect()
            cancel = listener.gateway.cancels[0]()
            writer.close()
            return cancel

        assert run(scenario) is None


class TestBodiesOfRequests:
    """Guard against bodies that fill the memory and are never complete."""

    def test_callers_that_stop_in_the_middle_leave_room_for_others(self):
        async def scenario(listener):
            extra = "Content-Length: 200000\r\n"
            stalled = [
                await send(listener, "/small", extra=extra, body=b"x" * 100_000)
                for _ in range(10)
            ]
            await wait_until(lambda: len(listener.events) >= 5)
            reader, writer = await send(
                listener, "/small", extra="Content-Length: 50000\r\n", body=b"x" * 50000
            )
            status = await read_status(reader)
            assert listener.memory.held_bytes <= MB // 2
            for _, other in [*stalled, (reader, writer)]:
                other.close()
            return status, [len(item.body) for item in listener.gateway.requests]

        assert run(scenario, MB // 2) == (200, [50_000])

    @pytest.mark.parametrize("size", [100_000, 200_000])
    def test_a_body_that_was_given_up_is_refused_and_not_forwarded(self, size):
        async def scenario(listener):
            extra = "Content-Length: 200000\r\n"
            reader, writer = await send(
                listener, "/small", extra=extra, body=b"x" * size
            )
            status = await read_status(reader)
            await wait_until(lambda: not listener.listener.state.busy)
            writer.close()
            return status, listener.gateway.requests, listener.memory.held_bytes

        assert run(scenario, 80_000) == (503, [], 0)
