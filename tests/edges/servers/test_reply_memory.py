"""Tests of the memory that replies of faulty servers may take in one process."""

import asyncio
import tracemalloc
from types import SimpleNamespace

import pytest

from bramleyrouter.edges.servers.forwarding import (
    MEMORY_TEXT,
    Connection,
    Exchange,
    ExchangeEnd,
    ForwardedRequest,
    cancel_exchange,
    close_pool,
    open_pool,
)
from bramleyrouter.utils.byte_budgets import ByteBudget

# Half of the least memory that a deployment grants a process (200 MB); a process that
# uses more than all of it is killed.
MAX_HELD_BYTES = 100 * 1024 * 1024
MB = 1_000_000
BLOCK = b"x" * (256 * 1024)
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def build_transport():
    return SimpleNamespace(
        abort=lambda: None, get_write_buffer_size=lambda: 0, write=lambda data: None
    )


def start_reply(pool, ends, head=HEAD):
    """Return a connection on which a reply has begun, by default without a length."""
    request = ForwardedRequest(b"", lambda name, value: True)
    connection = Connection(pool)
    connection.transport = build_transport()
    connection.exchange = Exchange(request, ends.append)
    pool.connections.add(connection)
    connection.data_received(head)
    return connection


class TestEndlessReplies:
    """Guard against replies without end that together fill the memory (FAULT, LOST).

    Each of them is bounded, but a server may send many at once. The process was killed,
    and the requests of all other callers ended with it.
    """

    def test_replies_that_are_read_at_once_are_bounded_together(self):
        async def scenario():
            pool = open_pool("127.0.0.1:1", 100)
            ends, good_ends = [], []
            good = start_reply(pool, good_ends)
            connections = [start_reply(pool, ends) for _ in range(40)]
            most = 0
            for _ in range(15):
                for connection in connections:
                    if connection.exchange is not None:
                        connection.data_received(BLOCK)
                most = max(most, sum(map(count_held_bytes, connections)))
            good.data_received(b"short")
            good.eof_received()
            assert good_ends[0].end is ExchangeEnd.COMPLETE
            assert most <= MAX_HELD_BYTES
            assert len(ends) < len(connections)

        def count_held_bytes(connection):
            if connection.exchange is None:
                return 0
            return sum(map(len, connection.chunks))

        asyncio.run(scenario())


def run_with_pool(scenario, limit_bytes=8 * MB):
    """Run a scenario with a pool and the budget that its replies share."""

    async def run():
        memory = ByteBudget(limit_bytes)
        scenario(open_pool("127.0.0.1:1", 100, memory), memory)
        await asyncio.sleep(0)

    asyncio.run(run())


def start_declared_reply(pool, ends, length):
    return start_reply(pool, ends, HEAD_WITH_LENGTH % length)


class TestGoodServers:
    """Guard against good replies that end because of those of faulty servers."""

    def test_replies_without_end_do_not_end_those_with_a_length(self):
        ends, good_ends, most = [], [], 0

        def scenario(pool, memory):
            nonlocal most
            good = [start_declared_reply(pool, good_ends, MB) for _ in range(4)]
            endless = [start_reply(pool, ends) for _ in range(20)]
            for _ in range(10):
                for connection in good:
                    connection.data_received(b"x" * (MB // 10))
                for connection in endless:
                    connection.data_received(BLOCK)
                    most = max(most, memory.held_bytes)

        run_with_pool(scenario)
        assert [reply.end for reply in good_ends] == [ExchangeEnd.COMPLETE] * 4
        assert [len(reply.body) for reply in good_ends] == [MB] * 4
        assert {reply.end for reply in ends} == {ExchangeEnd.LOST}
        assert most <= 8 * MB

    def test_replies_that_never_reach_their_length_leave_room_for_others(self):
        good_ends, most = [], 0

        def scenario(pool, memory):
            nonlocal most
            stalled = [start_declared_reply(pool, [], 3 * MB) for _ in range(20)]
            for _ in range(11):
                for connection in stalled:
                    connection.data_received(BLOCK)
                    most = max(most, memory.held_bytes)
            good = start_declared_reply(pool, good_ends, MB // 2)
            good.data_received(b"x" * (MB // 4))
            good.data_received(b"x" * (MB // 4))

        run_with_pool(scenario)
        assert good_ends[0].end is ExchangeEnd.COMPLETE
        assert 5 * MB <= most <= 8 * MB

    def test_a_short_reply_without_a_length_outlives_long_ones(self):
        good_ends = []

        def scenario(pool, memory):
            good = start_reply(pool, good_ends)
            good.data_received(b"x" * 100_000)
            endless = [start_reply(pool, []) for _ in range(20)]
            for _ in range(10):
                for connection in endless:
                    connection.data_received(BLOCK)
            good.eof_received()

        run_with_pool(scenario)
        assert good_ends[0].end is ExchangeEnd.COMPLETE
        assert len(good_ends[0].body) == 100_000

    def test_an_ended_reply_is_reported_once_and_its_server_named(self):
        ends, named = [], []

        def scenario(pool, memory):
            memory.on_holder_ended = lambda holding, size: named.append(
                (holding.kind, holding.name)
            )
            connection = start_reply(pool, ends)
            for _ in range(20):
                connection.data_received(BLOCK)
            assert not connection.chunks
            assert connection not in pool.connections

        run_with_pool(scenario, 2 * MB)
        assert [reply.text for reply in ends] == [MEMORY_TEXT]
        assert named == [("server", "127.0.0.1:1")]


class TestCountedBytes:
    """Guard against bytes that are counted too low or for too long."""

    @pytest.mark.parametrize("end", ["complete", "lost", "cancelled", "closed"])
    def test_nothing_is_counted_after_the_end(self, end):
        def scenario(pool, memory):
            connection = start_declared_reply(pool, [], MB)
            connection.data_received(b"x" * 1000)
            assert memory.held_bytes >= 1000
            if end == "complete":
                connection.data_received(b"x" * (MB - 1000))
            elif end == "lost":
                connection.connection_lost(None)
            elif end == "cancelled":
                connection.exchange.connection = connection
                cancel_exchange(pool, connection.exchange)
            else:
                close_pool(pool, "The server is gone.")
            assert memory.held_bytes == 0

        run_with_pool(scenario)

    def test_the_request_is_counted_while_it_is_sent(self):
        def scenario(pool, memory):
            transport = build_transport()
            connection = Connection(pool)
            request = ForwardedRequest(b"x" * 5000, lambda name, value: True)
            connection.exchange = Exchange(request, lambda reply: None)
            connection.connection_made(transport)
            assert memory.held_bytes == 5000

        run_with_pool(scenario)

    def test_a_reply_in_tiny_parts_takes_no_more_memory_than_its_bytes(self):
        # As separate objects, these parts took 20 times as much as their bytes.
        def scenario(pool, memory):
            connection = start_reply(
                pool, [], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            part = b"2\r\nxy\r\n" * 10_000
            tracemalloc.start()
            for _ in range(10):
                connection.data_received(part)
            taken = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert sum(map(len, connection.chunks)) == 200_000
            assert memory.held_bytes == 200_000
            assert taken <= 2 * memory.held_bytes

        run_with_pool(scenario)

    def test_a_head_of_many_short_fields_is_counted(self):
        def scenario(pool, memory):
            connection = start_reply(pool, [], b"HTTP/1.1 200 OK\r\n")
            tracemalloc.start()
            connection.data_received(b"a:b\r\n" * 10_000)
            taken = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert memory.held_bytes >= taken

        run_with_pool(scenario)
