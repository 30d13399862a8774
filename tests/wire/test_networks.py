"""Tests of the network over TCP and in memory."""

import asyncio

import pytest
from result import Err, Ok
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.utils.ports import reserve_ports
from bramleyrouter.wire.handshakes import Hello, authenticate_to_acceptor
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric
from tests.support.virtual_time import run_virtual

KEY = b"k" * 32


async def echo(peer, payload):
    return Ok(peer.daemon_id.encode() + b":" + payload)


async def send_numbers(peer, payload, send_item):
    for number in range(int(payload)):
        send_item(b"%d" % number)
    return Err(Failure(Code.OVERLOADED, "enough"))


async def exercise_network(first, second, address):
    """Make a call, a stream and a call of an unknown kind; return the results."""
    second.serve(MessageKind.CLAIM, echo)
    second.serve_stream(MessageKind.SHARD_BATCH, send_numbers)
    reply = await first.call(address, MessageKind.CLAIM, b"x" * 200_000, 2.0)
    items, ended = [], asyncio.get_running_loop().create_future()
    first.stream(address, MessageKind.SHARD_BATCH, b"3", items.append, ended.set_result)
    end = await asyncio.wait_for(ended, 2.0)
    unknown = await first.call(address, MessageKind.SETTLE, b"", 2.0)
    return reply, items, end, unknown


def assert_exercise_results(results):
    reply, items, end, unknown = results
    assert reply == Ok(b"one:" + b"x" * 200_000)
    assert items == [b"0", b"1", b"2"]
    assert end.err_value.code is Code.OVERLOADED
    assert unknown.err_value.code is Code.UNKNOWN_MESSAGE_KIND


class TestTcpNetwork:
    """Guard against split or mixed-up frames and unauthenticated peers."""

    def test_calls_and_streams_reach_their_handlers(self):
        async def scenario():
            first_identity = make_identity("one", port=reserve_ports(1)[0])
            second_identity = make_identity("two", port=reserve_ports(1)[0])
            first, _ = build_tcp_network(first_identity, KEY)
            second, listen = build_tcp_network(second_identity, KEY)
            listen()
            results = await exercise_network(
                first, second, second_identity.internal_address
            )
            await first.close()
            await second.close()
            return results

        assert_exercise_results(asyncio.run(scenario()))

    def test_an_item_that_can_not_be_processed_ends_the_connection(self):
        """Guards against a connection that stays open without a reader."""

        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            first, _ = build_tcp_network(make_identity("one"), KEY)
            second, listen = build_tcp_network(identity, KEY)
            cancelled = asyncio.get_running_loop().create_future()

            async def send_without_end(peer, payload, send_item):
                send_item(b"odd")
                try:
                    await asyncio.get_running_loop().create_future()
                finally:
                    cancelled.set_result(True)

            second.serve(MessageKind.CLAIM, echo)
            second.serve_stream(MessageKind.SHARD_BATCH, send_without_end)
            listen()
            ended = asyncio.get_running_loop().create_future()

            def fail(payload):
                raise IndexError("odd item")

            address = identity.internal_address
            first.stream(address, MessageKind.SHARD_BATCH, b"", fail, ended.set_result)
            outcome = await asyncio.wait_for(ended, 2.0)
            assert outcome.err_value.code is Code.PEER_DISCONNECTED
            assert await asyncio.wait_for(cancelled, 2.0)
            reply = await first.call(address, MessageKind.CLAIM, b"x", 2.0)
            assert reply == Ok(b"one:x")
            await first.close()
            await second.close()

        asyncio.run(scenario())

    def test_peer_without_the_key_is_refused(self):
        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            unauthenticated, _ = build_tcp_network(make_identity("one"), b"other" * 8)
            server, listen = build_tcp_network(identity, KEY)
            server.serve(MessageKind.CLAIM, echo)
            listen()
            address = identity.internal_address
            refused = await unauthenticated.call(address, MessageKind.CLAIM, b"", 2.0)
            await server.close()
            return refused

        assert isinstance(asyncio.run(scenario()), Err)

    def test_unreachable_peer_is_distinguished_from_a_lost_reply(self):
        async def scenario():
            first, _ = build_tcp_network(make_identity("one"), KEY)
            return await first.call(
                f"127.0.0.1:{reserve_ports(1)[0]}", MessageKind.CLAIM, b"", 2.0
            )

        refused = asyncio.run(scenario())
        assert refused.err_value.code is Code.PEER_UNREACHABLE

    @pytest.mark.parametrize("address", ["", "odd", "127.0.0.1:odd", "127.0.0.1:0"])
    def test_an_odd_address_is_an_unreachable_peer(self, address):
        """Guards against an exception that ends the caller's loop over its peers."""

        async def scenario():
            first, _ = build_tcp_network(make_identity("one"), KEY)
            ended = asyncio.get_running_loop().create_future()
            first.stream(
                address,
                MessageKind.SHARD_BATCH,
                b"",
                lambda item: None,
                ended.set_result,
            )
            first.send(address, MessageKind.CLAIM, b"")
            outcomes = [
                await first.call(address, MessageKind.CLAIM, b"", 2.0),
                await asyncio.wait_for(ended, 2.0),
            ]
            await first.close()
            return [outcome.err_value.code for outcome in outcomes]

        unreachable = Code.PEER_UNREACHABLE
        assert asyncio.run(scenario()) == [unreachable, unreachable]

    def test_a_connection_whose_peer_says_nothing_is_closed(self):
        """Guards against a connection left open by each attempt to a paused peer."""

        async def scenario():
            port = reserve_ports(1)[0]
            ended = asyncio.Event()

            async def say_nothing(reader, writer):
                await reader.read()
                ended.set()
                writer.close()

            server = await asyncio.start_server(say_nothing, "127.0.0.1", port)
            first, _ = build_tcp_network(make_identity("one"), KEY)
            address = f"127.0.0.1:{port}"
            outcome = await first.call(address, MessageKind.CLAIM, b"", 2.0)
            await asyncio.sleep(0.2)
            is_closed = ended.is_set()
            await first.close()
            await asyncio.sleep(0.2)
            server.close()
            return outcome, is_closed

        outcome, is_closed = asyncio.run(scenario())
        assert outcome.err_value.code is Code.PEER_UNREACHABLE
        assert is_closed


class TestClosedTcpNetwork:
    """Guard against connections that outlive the network that opened them."""

    def test_a_connection_that_opens_after_the_close_sends_nothing(self):
        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            first, _ = build_tcp_network(make_identity("one"), KEY)
            second, listen = build_tcp_network(identity, KEY)
            handled = []

            async def handle(peer, payload):
                handled.append(payload)
                return Ok(b"")

            second.serve(MessageKind.CLAIM, handle)
            listen()
            call = first.call(identity.internal_address, MessageKind.CLAIM, b"x", 2.0)
            task = asyncio.ensure_future(call)
            await asyncio.sleep(0)
            await first.close()
            pending = await asyncio.wait_for(task, 2.0)
            later = await first.call(
                identity.internal_address, MessageKind.CLAIM, b"y", 2.0
            )
            await second.close()
            return pending, later, handled

        pending, later, handled = asyncio.run(scenario())
        assert pending.err_value.code is Code.PEER_UNREACHABLE
        assert later.err_value.code is Code.PEER_UNREACHABLE
        assert handled == []

    def test_a_peer_that_authenticates_after_the_close_is_not_served(self):
        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            second, listen = build_tcp_network(identity, KEY)
            listen()
            stream = await TCPClient().connect(
                *split_address(identity.internal_address)
            )
            # The acceptor waits for the greeting by then.
            await asyncio.sleep(0.1)
            await second.close()
            hello = Hello("one", "dc1", "127.0.0.1:1")
            try:
                await asyncio.wait_for(
                    authenticate_to_acceptor(stream, KEY, hello), 2.0
                )
            finally:
                stream.close()

        with pytest.raises(StreamClosedError):
            asyncio.run(scenario())


class TestMemoryNetwork:
    """Guard against an in-memory network that behaves differently from TCP."""

    def build_pair(self):
        fabric = MemoryFabric()
        identities = make_identity("one", port=1), make_identity("two", port=3)
        return fabric, [fabric.build_network(one) for one in identities]

    def test_calls_and_streams_reach_their_handlers(self):
        async def scenario():
            _, (first, second) = self.build_pair()
            return await exercise_network(first, second, "127.0.0.1:3")

        assert_exercise_results(run_virtual(scenario()))

    def test_cancelled_call_ends_the_peers_handler(self):
        async def scenario():
            _, (first, second) = self.build_pair()
            ended = []

            async def slow(peer, payload):
                try:
                    await asyncio.sleep(10)
                finally:
                    ended.append(asyncio.get_running_loop().time())

            second.serve(MessageKind.CLAIM, slow)
            fut = asyncio.ensure_future(
                first.call("127.0.0.1:3", MessageKind.CLAIM, b"", 5.0)
            )
            await asyncio.sleep(1)
            fut.cancel()
            await asyncio.sleep(1)
            return ended

        assert run_virtual(scenario())[0] < 1.1

    @pytest.mark.parametrize(
        "fault, code",
        [("cut", Code.PEER_TIMEOUT), ("kill", Code.PEER_DISCONNECTED)],
    )
    def test_lost_reply_is_reported_as_possibly_executed(self, fault, code):
        async def scenario():
            fabric, (first, second) = self.build_pair()
            second.serve(MessageKind.CLAIM, lambda peer, payload: asyncio.sleep(10))
            fut = asyncio.ensure_future(
                first.call("127.0.0.1:3", MessageKind.CLAIM, b"", 2.0)
            )
            await asyncio.sleep(0.5)
            if fault == "cut":
                fabric.cut("127.0.0.1:1", "127.0.0.1:3")
            else:
                fabric.kill("127.0.0.1:3")
            return await fut

        assert run_virtual(scenario()).err_value.code is code


def refuse_threads(*args, **kwargs):
    raise RuntimeError("can't start new thread")


class TestUnexpectedErrors:
    """Guard against a stream that is never opened again, as its end isn't reported."""

    def connect(self, monkeypatch, target, name):
        """Make a call and a stream; return both results."""

        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            first, _ = build_tcp_network(make_identity("one"), KEY)
            second, listen = build_tcp_network(identity, KEY)
            second.serve(MessageKind.CLAIM, echo)
            second.serve_stream(MessageKind.SHARD_BATCH, send_numbers)
            listen()
            address = identity.internal_address
            ended = asyncio.get_running_loop().create_future()
            monkeypatch.setattr(target, name, refuse_threads)
            first.stream(
                address, MessageKind.SHARD_BATCH, b"3", lambda _: None, ended.set_result
            )
            end = await asyncio.wait_for(ended, 5.0)
            reply = await first.call(address, MessageKind.CLAIM, b"x", 2.0)
            await first.close()
            await second.close()
            return end, reply

        return asyncio.run(scenario())

    def test_connections_need_no_thread(self, monkeypatch):
        loop_type = asyncio.SelectorEventLoop
        end, reply = self.connect(monkeypatch, loop_type, "run_in_executor")
        assert end.err_value.code is Code.OVERLOADED
        assert reply == Ok(b"one:x")

    def test_error_of_the_client_ends_calls_and_streams(self, monkeypatch):
        end, reply = self.connect(monkeypatch, TCPClient, "connect")
        for outcome in (end, reply):
            assert outcome.err_value.code is Code.PEER_UNREACHABLE
            assert "can't start new thread" in outcome.err_value.text
