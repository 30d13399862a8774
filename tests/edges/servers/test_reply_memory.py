"""Tests of the memory that replies of faulty servers may take in one process."""

import asyncio
from types import SimpleNamespace

from bramleyrouter.edges.servers.forwarding import (
    Connection,
    Exchange,
    ExchangeEnd,
    ForwardedRequest,
    open_pool,
)

# Half of the least memory that a deployment grants a process (200 MB); a process that
# uses more than all of it is killed.
MAX_HELD_BYTES = 100 * 1024 * 1024
BLOCK = b"x" * (256 * 1024)
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def start_reply(pool, ends):
    """Return a connection on which a reply without a length has begun."""
    request = ForwardedRequest(b"", lambda name, value: True)
    connection = Connection(pool)
    connection.transport = SimpleNamespace(
        abort=lambda: None, get_write_buffer_size=lambda: 0
    )
    connection.exchange = Exchange(request, ends.append)
    pool.connections.add(connection)
    connection.data_received(HEAD)
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
