"""Tests of the listeners for probes, metrics and control calls."""

import asyncio

import pytest
from aioprometheus import Registry

from bramleyrouter.platform.listeners import listen_metrics, listen_ready
from bramleyrouter.platform.operators import listen_control
from bramleyrouter.utils.ports import reserve_address
from tests.platform.test_operators import Control
from tests.support.endless import MAX_WRITTEN_BYTES, write_until_closed

LISTENERS = {
    "ready": lambda address: listen_ready(address, lambda: True),
    "metrics": lambda address: listen_metrics(address, Registry(), lambda: None),
    "control": lambda address: listen_control(address, Control().build_calls()),
}


class TestEndlessRequests:
    """Guard against a request without end that fills the daemon's memory."""

    @pytest.mark.parametrize("name", LISTENERS)
    @pytest.mark.parametrize(
        "first, repeated",
        [
            ("GET / HTTP/1.1\r\n", "X-Filler: " + "f" * 1000 + "\r\n"),
            (
                "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4000\r\n" + "f" * 16384 + "\r\n",
            ),
        ],
        ids=["head", "body"],
    )
    def test_the_connection_is_closed(self, name, first, repeated):
        async def scenario():
            address = reserve_address()
            server = LISTENERS[name](address)
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            written = await write_until_closed(
                writer, first.encode(), repeated.encode()
            )
            writer.close()
            server.stop()
            assert written < MAX_WRITTEN_BYTES

        asyncio.run(scenario())
