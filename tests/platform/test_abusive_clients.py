"""Tests of callers that send very many parse steps, or too slowly, or never read."""

import asyncio
import contextlib
import os

import pytest
from aioprometheus import Registry
from tornado.httputil import HTTPHeaders
from tornado.iostream import BaseIOStream

from bramleyrouter.edges.http import EndpointSpec, HttpReply
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.gateway.exchanges import (
    ExchangeOutcome,
    GatewayReply,
    ReplyKind,
    ServerReply,
)
from bramleyrouter.gateway.tables import CallerLimits
from bramleyrouter.platform.callers import listen_callers, stop_listening
from bramleyrouter.platform.listeners import listen_metrics, listen_ready
from bramleyrouter.platform.operators import listen_control
from bramleyrouter.utils import guarded_http
from bramleyrouter.utils.parse_turns import ClientLimits
from bramleyrouter.utils.ports import reserve_address
from bramleyrouter.utils.stalls import Stalls, read_boot_clock
from tests.platform.test_operators import Control
from tests.support.platform_processes import CALLER_PORT, READY_PORT, fetch_status

HEAD = "{method} /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD.format(method="POST") + "Transfer-Encoding: chunked\r\n\r\n"
# 8 KiB of body in chunks of one byte, and a head of 16,000 bytes of short fields.
CHUNKS = 8192
ONE_BYTE_CHUNKS = (CHUNKED + "1\r\nx\r\n" * CHUNKS + "0\r\n\r\n").encode()
FIELDS = 3990
MANY_FIELDS = (HEAD.format(method="GET") + "a:\r\n" * FIELDS + "\r\n").encode()
CROWD = 8
# Parse steps of one turn of the event loop, for the whole crowd: one slice of each
# kind, or one head of 4,096 fields, and some ordinary requests.
MAX_CHUNK_STEPS, MAX_HEAD_STEPS = 1500, 6000
LIMIT_S = 30.0
# More than the buffers of the kernel on both sides hold.
MAX_REPLY_BYTES = 40_000_000


class Steps:
    """Count parse steps in each turn of the event loop: finished reads and fields."""

    def __init__(self, monkeypatch):
        self.now = self.most = 0
        for owner, name in ((BaseIOStream, "_finish_read"), (HTTPHeaders, "add")):
            self._count(monkeypatch, owner, name)

    def _count(self, monkeypatch, owner, name):
        function = getattr(owner, name)

        def counted(*args, **kwargs):
            self.now += 1
            return function(*args, **kwargs)

        monkeypatch.setattr(owner, name, counted)

    def build_loop(self):
        steps = self

        class CountingLoop(asyncio.SelectorEventLoop):
            def _run_once(self):
                steps.now = 0
                super()._run_once()
                steps.most = max(steps.most, steps.now)

        return CountingLoop()


class Callers:
    """Listen to callers, reply at once with an empty body, and count requests."""

    def __init__(self, address="", **limits):
        self.requests, self.events = [], []
        self.address = address or reserve_address()
        self.listener = listen_callers(
            self.address,
            self.handle,
            CallerLimits(**limits),
            record=lambda part, event, **fields: self.events.append((event, fields)),
        )

    def handle(self, request, on_reply, network_s):
        self.requests.append(request)
        on_reply(
            GatewayReply(
                ReplyKind.SERVER, server=ServerReply(ExchangeOutcome.ANSWERED, 200)
            )
        )
        return lambda: None


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send(address, payload):
    """Send a payload; return all bytes until the end of the reply's head, or less."""
    reader, writer = await connect(address)
    try:
        writer.write(payload)
        return await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return b""
    finally:
        writer.close()


def run(scenario, steps=None):
    with asyncio.Runner(loop_factory=steps and steps.build_loop) as runner:
        return runner.run(asyncio.wait_for(scenario(), LIMIT_S))


async def answer_endpoint(req, body):
    return HttpReply(200, b"{}")


async def answer_large(req, body):
    return HttpReply(200, b"x" * MAX_REPLY_BYTES)


LISTENERS = {
    "callers": lambda address: Callers(address),
    "ready": lambda address: listen_ready(address, lambda: True),
    "metrics": lambda address: listen_metrics(address, Registry(), lambda: None),
    "control": lambda address: listen_control(
        address, Control().build_calls(), Stalls(read_boot_clock())
    ),
    "product": lambda address: listen_http(
        address, [EndpointSpec("/a", "POST", answer_endpoint, 100_000)]
    ),
}


@pytest.mark.parametrize("listens", LISTENERS)
@pytest.mark.parametrize(
    "payload, bound",
    [(ONE_BYTE_CHUNKS, MAX_CHUNK_STEPS), (MANY_FIELDS, MAX_HEAD_STEPS)],
    ids=["chunks", "fields"],
)
class TestTurns:
    """Guard against a crowd that holds the event loop with parse steps (hard-load F).

    300 bodies in chunks of one byte, and 300 connections with heads of 4,000 fields,
    kept an entry daemon from every other caller for 19 s.
    """

    def test_a_crowd_shares_each_turn(self, listens, payload, bound, monkeypatch):
        steps = Steps(monkeypatch)

        async def scenario():
            address = reserve_address()
            LISTENERS[listens](address)
            crowd = [send(address, payload) for _ in range(CROWD)]
            return await asyncio.gather(*crowd)

        run(scenario, steps)
        assert 0 < steps.most <= bound


class TestCalm:
    """Guard against limits that refuse a single caller inside the configured ones."""

    @pytest.mark.parametrize("kind", ["chunks", "fields"])
    def test_a_single_caller_is_served(self, kind):
        async def scenario():
            callers = Callers()
            body = (CHUNKED + "1\r\nx\r\n" * 131_072 + "0\r\n\r\n").encode()
            full = HEAD.format(method="GET") + "a:\r\n" * 4000
            full += "b" * (16_384 - len(full) - 5) + ":\r\n\r\n"
            assert len(full) == 16_384
            reply = await send(
                callers.address, body if kind == "chunks" else full.encode()
            )
            return reply, callers.requests[0]

        reply, request = run(scenario)
        assert reply.startswith(b"HTTP/1.1 200 ")
        assert kind == "fields" or request.body == b"x" * 131_072
        assert kind == "chunks" or len(request.headers) == 4001

    def test_some_pipelined_requests_are_all_served(self):
        async def scenario():
            callers = Callers()
            reader, writer = await connect(callers.address)
            writer.write((HEAD.format(method="GET") + "\r\n").encode() * 50)
            for _ in range(50):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()

        run(scenario)


class TestFields:
    """Guard against heads of more fields than any caller needs, under large limits."""

    def test_a_head_beyond_the_limit_is_refused(self):
        async def scenario():
            callers = Callers(max_header_bytes=65_536)
            fields = "a:\r\n" * (ClientLimits().max_fields + 1)
            head = HEAD.format(method="GET") + fields + "\r\n"
            reply = await send(callers.address, head.encode())
            assert reply.startswith(b"HTTP/1.1 429 ")
            assert callers.requests == []

        run(scenario)


class TestReaders:
    """Guard against clients that never read, where no deadline ends them."""

    def test_the_connection_is_closed(self, monkeypatch):
        monkeypatch.setattr(guarded_http, "WRITE_TIMEOUT_S", 0.2)

        async def scenario():
            address = reserve_address()
            specs = [EndpointSpec("/a", "GET", answer_large)]
            stop = listen_http(address, specs)
            reader, writer = await connect(address)
            # The client's buffer fills at once, and it reads nothing more meanwhile.
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await asyncio.sleep(1.0)
            size = 0
            with contextlib.suppress(OSError):
                while data := await reader.read(1_000_000):
                    size += len(data)
            await stop()
            assert size < MAX_REPLY_BYTES

        run(scenario)


class TestCrowds:
    """Guard against a refused request that runs, and callers that starve (hard-load F).

    More callers than may wait are refused; what was refused must not have run.
    """

    def test_what_is_refused_has_not_run_and_others_are_served(self):
        async def scenario():
            callers = Callers()
            crowd = [
                asyncio.ensure_future(send(callers.address, ONE_BYTE_CHUNKS))
                for _ in range(3 * ClientLimits().max_waiting)
            ]
            small = (HEAD.format(method="GET") + "\r\n").encode()
            ordinary = [await send(callers.address, small) for _ in range(20)]
            replies = [reply[9:12] for reply in await asyncio.gather(*crowd)]
            assert {reply[9:12] for reply in ordinary} == {b"200"}
            assert set(replies) <= {b"200", b"503", b""}
            assert replies.count(b"200") >= ClientLimits().max_waiting
            bodies = [item.body for item in callers.requests if item.method == "POST"]
            assert bodies == [b"x" * CHUNKS] * replies.count(b"200")
            (event, fields), *_ = callers.events
            assert (event, fields["reason"]) == ("client_refused", "crowd")
            # At most one event a second, however many are refused.
            assert len(callers.events) <= 1 + LIMIT_S

        run(scenario)


class TestStops:
    """Guard against a head that waits for a turn when the daemon stops."""

    def test_it_is_refused_and_not_dropped(self):
        async def scenario():
            callers = Callers()
            turns = callers.listener.server.guard.turns
            # No turn is run.
            turns.is_scheduled = True
            sending = asyncio.ensure_future(send(callers.address, MANY_FIELDS))
            while not turns.waiting:
                await asyncio.sleep(0.01)
            await stop_listening(callers.listener, 1.0)
            assert (await sending).startswith(b"HTTP/1.1 503 ")
            assert callers.requests == []

        run(scenario)


class TestSlowCallers:
    """Guard against limits of the configuration that are not enforced."""

    async def read_end(self, limits, first, more, interval_s=0.05):
        """Send pieces until the connection ends; return what was received."""
        callers = Callers(**limits)
        reader, writer = await connect(callers.address)
        writer.write(first)
        reading = asyncio.ensure_future(reader.read())
        for _ in range(100):
            done, _ = await asyncio.wait([reading], timeout=interval_s)
            if done:
                break
            writer.write(more)
        writer.close()
        assert reading.done(), "the connection stayed open"
        return reading.result(), callers.requests

    def test_a_head_slower_than_its_limit(self):
        read = lambda: self.read_end(
            {"header_timeout_s": 0.3}, b"GET / HTTP/1.1\r\nHost: h\r\n", b"a:\r\n"
        )
        received, requests = run(read)
        assert received.startswith(b"HTTP/1.1 408 ")
        assert requests == []

    def test_a_body_that_stops(self):
        head = HEAD.format(method="POST") + "Content-Length: 9\r\n\r\nabc"
        limits = {"idle_timeout_s": 0.3}
        received, requests = run(lambda: self.read_end(limits, head.encode(), b""))
        assert received.startswith(b"HTTP/1.1 408 ")
        assert requests == []


class TestConnections:
    """Guard against open connections without bound, which take memory and files."""

    def test_the_longest_silent_ones_make_room_and_busy_ones_stay(self):
        async def scenario():
            callers, replies = Callers(), []
            state, guard = callers.listener.state, callers.listener.server.guard
            state.handle = lambda request, on_reply, network_s: replies.append(on_reply)
            guard.max_connections = 4
            busy = await connect(callers.address)
            busy[1].write((HEAD.format(method="GET") + "\r\n").encode())
            while not replies:
                await asyncio.sleep(0.01)
            idle = [await connect(callers.address) for _ in range(6)]
            # The three that connected first are closed without a reply.
            for reader, _ in idle[:3]:
                assert await reader.read() == b""
            assert len(guard.streams) == 4
            replies[0](GatewayReply(ReplyKind.REFUSED))
            assert (await busy[0].readuntil(b"\r\n")).startswith(b"HTTP/1.1 503")
            for _, writer in [busy, *idle]:
                writer.close()

        run(scenario)


class TestPipelining:
    """Guard against requests without end whose replies are never read."""

    def test_the_connection_is_closed(self):
        async def scenario():
            callers = Callers()
            _, writer = await connect(callers.address)
            request = (HEAD.format(method="GET") + "\r\n").encode()
            writer.write(request * 2000)
            for _ in range(400):
                await asyncio.sleep(0.01)
                if not callers.listener.state.connections:
                    break
            writer.close()
            return len(callers.requests)

        # 200 is twice the default limit.
        assert 50 <= run(scenario) <= 200


def count_descriptors(vm):
    return len(os.listdir(f"/proc/{vm.child.pid}/fd"))


def read_resident_mb(vm):
    with open(f"/proc/{vm.child.pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


class TestProcesses:
    """Guard against an entry daemon that a crowd fills, ends or hangs (hard-load F)."""

    PAYLOADS = [
        ONE_BYTE_CHUNKS[:-2],
        MANY_FIELDS * 5,
        MANY_FIELDS[:-2],
        (HEAD.format(method="GET") + "\r\n").encode() * 300,
        (HEAD.format(method="POST") + "Content-Length: 99\r\n\r\nx").encode(),
        (HEAD.format(method="POST") + "Content-Length: 999999999\r\n\r\n").encode(),
    ]
    CLIENTS, MOST_CONNECTIONS, MOST_MB = 60, 40, 200

    def test_a_crowd_that_stays(self, deployment):
        deployment.extra_limits = {"maxConnections": self.MOST_CONNECTIONS}
        vm = deployment.entries[0]

        async def scenario():
            deployment.start_all()
            assert await deployment.publish(20.0) is not None
            assert await deployment.wait_until(lambda: deployment.is_ready(vm), 20.0)
            base = count_descriptors(vm)
            writers = []
            for at in range(self.CLIENTS):
                port = (CALLER_PORT, READY_PORT)[at % 2]
                _, writer = await connect(f"{vm.ip}:{port}")
                writer.write(self.PAYLOADS[at % len(self.PAYLOADS)])
                writers.append(writer)
            await asyncio.sleep(1.0)
            # Each of the two listeners has the limit.
            assert count_descriptors(vm) <= base + 2 * self.MOST_CONNECTIONS
            assert read_resident_mb(vm) <= self.MOST_MB
            url = f"http://{vm.ip}:{CALLER_PORT}/none"

            async def is_answered():
                return await fetch_status(url) == 404

            assert await deployment.wait_until(is_answered, 20.0)
            assert await deployment.wait_until(lambda: deployment.is_ready(vm), 20.0)
            for _ in range(self.CLIENTS):
                _, writer = await connect(f"{vm.ip}:{CALLER_PORT}")
                writers.append(writer)
            await asyncio.sleep(1.0)
            assert count_descriptors(vm) <= base + 2 * self.MOST_CONNECTIONS
            assert await deployment.wait_until(is_answered, 20.0)
            assert vm.child.poll() is None
            for writer in writers:
                writer.close()

        asyncio.run(asyncio.wait_for(scenario(), 90.0))
