"""Tests of the pool of connections to one backend server."""

import asyncio
import errno

from bramleyrouter.edges.servers import forwarding
from bramleyrouter.edges.servers.forwarding import (
    ExchangeEnd,
    ForwardedRequest,
    Pool,
    start_exchange,
)
from bramleyrouter.utils.byte_budgets import ByteBudget
from tests.support.log_cluster import in_virtual_time

REQUEST = ForwardedRequest(b"GET / HTTP/1.1\r\n\r\n", lambda name, value: True)


class TestNoFileLeft:
    """Guard against requests that wait for a connection whose socket can't be made."""

    @in_virtual_time
    async def test_requests_end_at_once_and_the_pool_stays_usable(self, monkeypatch):
        loop = asyncio.get_running_loop()

        class NoSocket:
            AF_INET = AF_INET6 = 0

            @staticmethod
            def socket(family):
                raise OSError(errno.EMFILE, "Too many open files")

        pool, ends = Pool("127.0.0.1", 9, 2, loop, ByteBudget()), []
        monkeypatch.setattr(forwarding, "socket", NoSocket)
        for _ in range(5):
            start_exchange(pool, REQUEST, 3.0, ends.append)
        await asyncio.sleep(0.1)
        assert [reply.end for reply in ends] == [ExchangeEnd.UNREACHED] * 5
        assert "Too many open files" in ends[0].text
        assert not pool.connections and not pool.waiting
