"""Tests of the transport to backend servers over loopback sockets."""

import asyncio
import random
import socket
import struct

import msgspec
import pytest

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, SubmitCall, Target
from bramleyrouter.homes.dispatching import compute_max_connections
from bramleyrouter.standins.behaviours import Behaviour, Latency
from bramleyrouter.standins.servers import build_standin
from bramleyrouter.states import Outcome
from tests.support.raw_server import start_raw_server

DECLARED_CONNECTIONS = 4
HOLDINGS = (ServiceHolding("sheets", {"a": ("v1",), "b": ("v1",)}),)


class TransportFixture:
    """Bundle a stand-in server, a transport to it and helpers."""

    def __init__(self, **behaviour):
        """Build both; a running event loop is required."""
        self.behaviour = Behaviour(
            holdings=HOLDINGS, latency=Latency(0.005, 0.0), **behaviour
        )
        self.standin = build_standin("s1", "dc1", [], self.behaviour, random.Random(1))
        self.metrics = self.standin.metrics
        self.transport = build_curl_transport()
        max_connections = compute_max_connections(DECLARED_CONNECTIONS, 3)
        self.target = Target("s1", 1, 1, self.standin.address, max_connections)

    def start(self, method, call, timeout_s=2.0):
        """Start a call; return a future for its result."""
        fut = asyncio.get_running_loop().create_future()
        method(self.target, call, timeout_s, fut.set_result)
        assert not fut.done()
        return fut

    def query(self, request="r1", version="v1", timeout_s=2.0):
        """Start a query for both shards."""
        call = QueryCall(request, 1, version, "sheets", ("a", "b"), b'{"q":1}')
        return self.start(self.transport.query, call, timeout_s)

    def submit(self, request="x1", timeout_s=2.0):
        """Start a submission."""
        call = SubmitCall(request, "sheets", "a", b'{"op":1}')
        return self.start(self.transport.submit, call, timeout_s)


def run_scenario(work, **behaviour):
    """Run ``work(fixture)`` on a real event loop with a running stand-in server."""

    async def run():
        fixture = TransportFixture(**behaviour)
        await fixture.standin.start()
        try:
            await asyncio.wait_for(work(fixture), 20.0)
        finally:
            fixture.transport.close()
            await fixture.standin.stop()

    asyncio.run(run())


class TestReplies:
    """Guard against replies that are truncated, mixed up or of another version."""

    def test_complete_reply_is_returned_unchanged(self):
        async def work(fixture):
            result = await fixture.query()
            assert result.code is Code.OK
            assert msgspec.json.decode(result.results["b"])["shard"] == "b"
            done = await fixture.submit()
            assert (done.outcome, done.code) == (Outcome.DONE, Code.OK)

        run_scenario(work)

    @pytest.mark.parametrize(
        "fault, code",
        [
            ("half_reply_share", Code.SHARD_TRUNCATED),
            ("wrong_identity_share", Code.SHARD_WRONG_IDENTITY),
            ("wrong_version_share", Code.SHARD_WRONG_VERSION),
            ("refusal_share", Code.SERVER_REFUSED),
            ("error_share", Code.SHARD_SERVER_ERROR),
        ],
    )
    def test_a_faulty_reply_has_its_code_and_no_result(self, fault, code):
        async def work(fixture):
            setattr(fixture.behaviour.faults, fault, 1.0)
            result = await fixture.query()
            assert (result.code, result.results) == (code, {})

        run_scenario(work)

    def test_truncated_reply_to_a_submission_leaves_its_outcome_unknown(self):
        async def work(fixture):
            fixture.behaviour.faults.half_reply_share = 1.0
            assert (await fixture.submit()).outcome is Outcome.UNKNOWN
            assert fixture.metrics.runs == {"x1": 1}

        run_scenario(work)

    def test_refusals_and_missing_versions_are_not_run(self):
        async def work(fixture):
            assert (await fixture.query(version="v9")).code is Code.VERSION_NOT_HELD
            fixture.behaviour.faults.refuses = True
            result = await fixture.submit()
            assert (result.outcome, result.code) == (
                Outcome.NOT_RUN,
                Code.SERVER_REFUSED,
            )
            assert fixture.metrics.runs == {}

        run_scenario(work)

    def test_a_server_that_is_down_did_not_run_anything(self):
        async def work(fixture):
            fixture.standin.kill()
            await asyncio.sleep(0.01)
            assert (await fixture.query()).code is Code.CONNECT_FAILED
            result = await fixture.submit()
            assert (result.outcome, result.code) == (
                Outcome.NOT_RUN,
                Code.CONNECT_FAILED,
            )

        run_scenario(work)


class TestConnections:
    """Guard against connections over the limit, and repeated submissions."""

    def test_connections_are_reused_and_stay_within_the_limit(self):
        async def work(fixture):
            for number in range(10):
                calls = [fixture.query(f"{number}-{i}") for i in range(2)]
                calls.append(fixture.submit(f"x{number}"))
                for result in await asyncio.gather(*calls):
                    assert result.code is Code.OK
            assert fixture.metrics.peak_connections <= DECLARED_CONNECTIONS
            assert fixture.transport.count_connections("s1") < DECLARED_CONNECTIONS
            assert fixture.metrics.opened_connections <= 3 + 10
            fixture.transport.close_connections("s1")
            await asyncio.sleep(0.05)
            assert fixture.metrics.connections == 0

        run_scenario(work, slots=3)

    def test_a_cancelled_query_ends_at_the_server_and_keeps_its_connection(self):
        async def work(fixture):
            fixture.behaviour.latency.fixed_s = 5.0
            fut = fixture.query(timeout_s=6.0)
            await asyncio.sleep(0.05)
            fixture.transport.cancel(fixture.target, "r1", 1)
            assert (await fut).code is Code.SHARD_CANCELLED
            assert fixture.metrics.cancelled == 1
            assert fixture.transport.count_connections("s1") == 2

        run_scenario(work)

    def test_running_requests_are_lost_when_their_connections_are_closed(self):
        async def work(fixture):
            fixture.behaviour.latency.fixed_s = 5.0
            query, submit = fixture.query(), fixture.submit()
            await asyncio.sleep(0.05)
            fixture.transport.close_connections("s1")
            assert (await query).code is Code.SHARD_CONNECTION_LOST
            assert (await submit).outcome is Outcome.UNKNOWN

        run_scenario(work)

    def test_slow_server_times_out(self):
        async def work(fixture):
            fixture.behaviour.latency.fixed_s = 5.0
            # The stand-in observes the deadline, so its error reply may come first.
            result = await fixture.query(timeout_s=0.1)
            assert result.code in (Code.SHARD_TIMEOUT, Code.SHARD_SERVER_ERROR)

        run_scenario(work)


class ClosingServer:
    """Answer one request per connection and close it on the next, unanswered.

    To a client this looks like a server that closes an idle connection just as the
    client sends a request.
    """

    def __init__(self):
        """Start with no recorded requests."""
        self.requests = []

    async def serve(self, reader, writer):
        """Serve one connection."""
        for number in range(2):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split()[0])
                body = msgspec.json.decode(await reader.readexactly(length))
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            self.requests.append(body["request_id"])
            if number == 1:
                break
            if "operation" in body:
                reply = {"request_id": body["request_id"], "answer": 1}
            else:
                reply = {name: body[name] for name in ("attempt", "version")}
                reply["request_id"] = body["request_id"]
                reply["results"] = {shard: 1 for shard in body["shards"]}
            text = msgspec.json.encode(reply)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text))
            writer.write(text)
        writer.close()


class TestClosedConnections:
    """Guard against curl repeating a request on a connection that was closed."""

    def run(self, work):
        async def scenario():
            closing_server = ClosingServer()
            server = await asyncio.start_server(closing_server.serve, "127.0.0.1", 0)
            fixture = TransportFixture()
            port = server.sockets[0].getsockname()[1]
            fixture.target = fixture.target._replace(address=f"127.0.0.1:{port}")
            await asyncio.wait_for(work(fixture, closing_server), 20.0)
            fixture.transport.close()
            server.close()

        asyncio.run(scenario())

    def test_curl_repeats_a_query_on_a_closed_connection(self):
        """Show the behaviour that submissions must be protected from."""

        async def work(fixture, closing_server):
            assert (await fixture.query("q1")).code is Code.OK
            assert (await fixture.query("q2")).code is Code.OK
            assert closing_server.requests == ["q1", "q2", "q2"]

        self.run(work)

    def test_a_submission_never_uses_a_reused_connection(self):
        async def work(fixture, closing_server):
            for number in range(5):
                assert (await fixture.query(f"q{number}")).code is Code.OK
                result = await fixture.submit(f"x{number}")
                assert result.outcome is Outcome.DONE
            sent = [name for name in closing_server.requests if name.startswith("x")]
            assert sent == [f"x{number}" for number in range(5)]

        self.run(work)

    def test_submission_on_a_closing_connection_is_sent_once_and_unknown(self):
        async def work(fixture, closing_server):
            async def close_unanswered(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                closing_server.requests.append("x")
                writer.close()

            server = await asyncio.start_server(close_unanswered, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            fixture.target = fixture.target._replace(address=f"127.0.0.1:{port}")
            assert (await fixture.submit()).outcome is Outcome.UNKNOWN
            assert closing_server.requests == ["x"]
            server.close()

        self.run(work)


WHOLE_REPLIES = {
    "answer": (b"200 OK", b'{"request_id":"x1","answer":1}', Outcome.DONE),
    "refusal": (b"503 Busy", b'{"code":"not_run","reason":"full"}', Outcome.NOT_RUN),
}
# SO_LINGER with a timeout of 0 s: the socket sends a reset when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ENDLESS_REPLIES = {
    "lines": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"f" * 1000 + b"\r\n"),
    "one line": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"f" * 1000),
    "no status line": (b"", b"f" * 1000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"f" * 4096),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"f" * 1024 + b"\r\n",
    ),
}


def run_with_raw_server(script, work):
    """Run ``work(fixture)`` with a server that writes what ``script`` says."""

    async def scenario():
        server = await start_raw_server(script)
        fixture = TransportFixture()
        fixture.target = fixture.target._replace(address=server.address)
        await asyncio.wait_for(work(fixture), 20.0)
        fixture.transport.close()
        server.server.close()

    asyncio.run(scenario())


class TestCutReplies:
    """Guard against a reply that stops in the middle and is taken for a whole one."""

    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("has_length", [False, True], ids=["no length", "length"])
    @pytest.mark.parametrize("name", WHOLE_REPLIES)
    def test_a_submission_whose_reply_is_cut_off_is_unknown(
        self, name, has_length, is_reset
    ):
        status, body, outcome = WHOLE_REPLIES[name]
        length = b"Content-Length: %d\r\n" % len(body) if has_length else b""
        data = b"HTTP/1.1 " + status + b"\r\n" + length + b"\r\n" + body
        size = 0

        async def script(request, writer):
            writer.write(data[:size])
            await writer.drain()
            if is_reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False

        async def work(fixture):
            nonlocal size
            taken = []
            for size in range(len(data)):
                result = await fixture.submit()
                if result.outcome is not Outcome.UNKNOWN:
                    taken.append((data[:size], result))
            assert not taken
            size = len(data)
            if not is_reset:
                assert (await fixture.submit()).outcome is outcome

        run_with_raw_server(script, work)


class TestEndlessReplies:
    """Guard against a reply without end that fills the memory until its timeout."""

    @pytest.mark.parametrize("name", ENDLESS_REPLIES)
    def test_a_reply_without_end_is_cut_off(self, name):
        first, repeated = ENDLESS_REPLIES[name]

        async def script(request, writer):
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()

        async def work(fixture):
            result = await fixture.query(timeout_s=15.0)
            assert result.code is Code.SHARD_CONNECTION_LOST
            assert (await fixture.submit(timeout_s=15.0)).outcome is Outcome.UNKNOWN

        run_with_raw_server(script, work)
