"""Tests of the transport to backend servers over loopback sockets."""

import asyncio
import random

import msgspec
import pytest

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.client import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, SubmitCall, Target
from bramleyrouter.homes.dispatching import compute_max_connections
from bramleyrouter.standins.behaviours import Behaviour, Latency
from bramleyrouter.standins.servers import build_standin
from bramleyrouter.states import Outcome

DECLARED_CONNECTIONS = 4
HOLDINGS = (ServiceHolding("sheets", {"a": ("v1",), "b": ("v1",)}),)


class Bench:
    """Hold a stand-in, a transport to it, and shorthands."""

    def __init__(self, **behaviour):
        """Build both; needs a running loop."""
        self.behaviour = Behaviour(
            holdings=HOLDINGS, latency=Latency(0.005, 0.0), **behaviour
        )
        self.standin = build_standin("s1", "dc1", [], self.behaviour, random.Random(1))
        self.metrics = self.standin.metrics
        self.transport = build_curl_transport()
        most = compute_max_connections(DECLARED_CONNECTIONS, 3)
        self.target = Target("s1", 1, 1, self.standin.address, most)

    def start(self, method, call, timeout_s=2.0):
        """Start a call; return the future of its end."""
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


def scenario(work, **behaviour):
    """Run ``work(bench)`` on a real loop with a running stand-in."""

    async def run():
        bench = Bench(**behaviour)
        await bench.standin.start()
        try:
            await asyncio.wait_for(work(bench), 20.0)
        finally:
            bench.transport.close()
            await bench.standin.stop()

    asyncio.run(run())


class TestReplies:
    """Guard against answers that are cut off, swapped or of another version."""

    def test_a_whole_reply_is_handed_on_as_it_came(self):
        async def work(bench):
            end = await bench.query()
            assert end.code is Code.OK
            assert msgspec.json.decode(end.results["b"])["shard"] == "b"
            done = await bench.submit()
            assert (done.outcome, done.code) == (Outcome.DONE, Code.OK)

        scenario(work)

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
        async def work(bench):
            setattr(bench.behaviour.faults, fault, 1.0)
            end = await bench.query()
            assert (end.code, end.results) == (code, {})

        scenario(work)

    def test_a_cut_off_reply_to_a_submission_leaves_it_unknown(self):
        async def work(bench):
            bench.behaviour.faults.half_reply_share = 1.0
            assert (await bench.submit()).outcome is Outcome.UNKNOWN
            assert bench.metrics.runs == {"x1": 1}

        scenario(work)

    def test_refusals_and_missing_versions_are_not_run(self):
        async def work(bench):
            assert (await bench.query(version="v9")).code is Code.VERSION_NOT_HELD
            bench.behaviour.faults.refuses = True
            end = await bench.submit()
            assert (end.outcome, end.code) == (Outcome.NOT_RUN, Code.SERVER_REFUSED)
            assert bench.metrics.runs == {}

        scenario(work)

    def test_a_server_that_is_down_did_not_run_anything(self):
        async def work(bench):
            bench.standin.kill()
            await asyncio.sleep(0.01)
            assert (await bench.query()).code is Code.CONNECT_FAILED
            end = await bench.submit()
            assert (end.outcome, end.code) == (Outcome.NOT_RUN, Code.CONNECT_FAILED)

        scenario(work)


class TestConnections:
    """Guard against connections over the limit, and repeated submissions."""

    def test_connections_are_reused_and_stay_within_the_limit(self):
        async def work(bench):
            for number in range(10):
                calls = [bench.query(f"{number}-{i}") for i in range(2)]
                calls.append(bench.submit(f"x{number}"))
                for end in await asyncio.gather(*calls):
                    assert end.code is Code.OK
            assert bench.metrics.peak_connections <= DECLARED_CONNECTIONS
            assert bench.transport.open_connections("s1") < DECLARED_CONNECTIONS
            assert bench.metrics.opened_connections <= 3 + 10
            bench.transport.drop("s1")
            await asyncio.sleep(0.05)
            assert bench.metrics.connections == 0

        scenario(work, slots=3)

    def test_a_cancelled_query_ends_at_the_server_and_keeps_its_connection(self):
        async def work(bench):
            bench.behaviour.latency.fixed_s = 5.0
            fut = bench.query(timeout_s=6.0)
            await asyncio.sleep(0.05)
            bench.transport.cancel(bench.target, "r1", 1)
            assert (await fut).code is Code.SHARD_CANCELLED
            assert bench.metrics.cancelled == 1
            assert bench.transport.open_connections("s1") == 2

        scenario(work)

    def test_a_dropped_server_ends_what_runs_as_lost(self):
        async def work(bench):
            bench.behaviour.latency.fixed_s = 5.0
            query, submit = bench.query(), bench.submit()
            await asyncio.sleep(0.05)
            bench.transport.drop("s1")
            assert (await query).code is Code.SHARD_CONNECTION_LOST
            assert (await submit).outcome is Outcome.UNKNOWN

        scenario(work)

    def test_a_slow_server_times_out_in_time(self):
        async def work(bench):
            bench.behaviour.latency.fixed_s = 5.0
            # The stand-in honours its deadline, so its own word comes first.
            end = await bench.query(timeout_s=0.1)
            assert end.code in (Code.SHARD_TIMEOUT, Code.SHARD_SERVER_ERROR)

        scenario(work)


class DyingServer:
    """Answer one request per connection, then close on the next one unread.

    This is what a client sees of a server that closes idle connections at the
    moment when the client sends.
    """

    def __init__(self):
        """Count the requests by path."""
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


class TestDeadConnections:
    """Guard against curl repeating a request by itself on a dead connection."""

    def run(self, work):
        async def scene():
            dying = DyingServer()
            server = await asyncio.start_server(dying.serve, "127.0.0.1", 0)
            bench = Bench()
            port = server.sockets[0].getsockname()[1]
            bench.target = bench.target._replace(address=f"127.0.0.1:{port}")
            await asyncio.wait_for(work(bench, dying), 20.0)
            bench.transport.close()
            server.close()

        asyncio.run(scene())

    def test_curl_repeats_a_query_on_a_connection_that_dies(self):
        """Show the behaviour that makes the care for submissions necessary."""

        async def work(bench, dying):
            assert (await bench.query("q1")).code is Code.OK
            assert (await bench.query("q2")).code is Code.OK
            assert dying.requests == ["q1", "q2", "q2"]

        self.run(work)

    def test_a_submission_never_uses_a_reused_connection(self):
        async def work(bench, dying):
            for number in range(5):
                assert (await bench.query(f"q{number}")).code is Code.OK
                end = await bench.submit(f"x{number}")
                assert end.outcome is Outcome.DONE
            sent = [name for name in dying.requests if name.startswith("x")]
            assert sent == [f"x{number}" for number in range(5)]

        self.run(work)

    def test_a_submission_on_a_dying_connection_is_sent_once_and_unknown(self):
        async def work(bench, dying):
            async def close_unanswered(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                dying.requests.append("x")
                writer.close()

            server = await asyncio.start_server(close_unanswered, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            bench.target = bench.target._replace(address=f"127.0.0.1:{port}")
            assert (await bench.submit()).outcome is Outcome.UNKNOWN
            assert dying.requests == ["x"]
            server.close()

        self.run(work)
