"""Tests of the listeners for probes, metrics and control calls."""

import asyncio
import socket

import pytest
from aioprometheus import Registry

from bramleyrouter.platform.listeners import listen_metrics, listen_ready
from bramleyrouter.platform.operators import listen_control
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.ports import reserve_address
from bramleyrouter.utils.stalls import Stalls, read_boot_clock
from tests.platform.test_operators import Control
from tests.support.endless import MAX_WRITTEN_BYTES, write_until_closed


def build_stalls():
    return Stalls(read_boot_clock())


LISTENERS = {
    "ready": lambda address: listen_ready(address, lambda: True),
    "metrics": lambda address: listen_metrics(address, Registry(), lambda: None),
    "control": lambda address: listen_control(
        address, Control().build_calls(), build_stalls()
    ),
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


class TestAbandonedCalls:
    """Guard against a change that its client has given up and superseded (review 2).

    A control daemon that was frozen read such a call seconds later and took back an
    evacuation that had been acknowledged since.
    """

    CALL = b"DELETE /v1/evacuate/se-a HTTP/1.1\r\nHost: h\r\n\r\n"

    def serve(self, stalls, is_abandoned):
        """Send one call, before the daemon reads it; return the changes it makes."""
        control, address = Control(), reserve_address()

        async def scenario():
            server = listen_control(address, control.build_calls(), stalls)
            host, port = address.split(":")
            client = socket.create_connection((host, int(port)))
            client.sendall(self.CALL)
            if is_abandoned:
                client.close()
            await asyncio.sleep(0.1)
            server.stop()
            client.close()

        asyncio.run(scenario())
        return [operation.is_out for operation in control.operations]

    def test_call_whose_client_waits_is_carried_out(self):
        assert self.serve(build_stalls(), False) == [False]

    def test_call_whose_client_has_disconnected_is_not(self):
        assert self.serve(build_stalls(), True) == []

    def test_call_that_waited_while_the_process_stalled_is_not(self):
        assert self.serve(Stalls(read_boot_clock() - 5.0), False) == []


class TestStalledRequests:
    """Guard against bodies that are never complete and fill the memory (FAULT)."""

    HEAD = b"PUT /v1/config HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"

    def test_their_bodies_are_bounded_together_and_other_calls_are_served(self):
        async def scenario():
            memory = ByteBudget(2_000_000)
            control, address = Control(), reserve_address()
            server = listen_control(
                address, control.build_calls(), build_stalls(), memory
            )
            host, port = address.split(":")
            stalled = []
            for _ in range(8):
                stalled.append(await asyncio.open_connection(host, int(port)))
                stalled[-1][1].write(self.HEAD + b"x" * 900_000)
            while memory.ended_count < 6:
                await asyncio.sleep(0.005)
            assert 900_000 <= memory.held_bytes <= 2_000_000
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"DELETE /v1/evacuate/se-a HTTP/1.1\r\nHost: h\r\n\r\n")
            status = (await reader.readline()).split()[1]
            for _, other in [*stalled, (reader, writer)]:
                other.close()
            while memory.held_bytes:
                await asyncio.sleep(0.005)
            server.stop()
            return status, len(control.operations)

        assert asyncio.run(asyncio.wait_for(scenario(), 10.0)) == (b"200", 1)

    @pytest.mark.parametrize("size", [900_000, 1_000_000])
    def test_a_call_that_was_given_up_is_refused_and_not_carried_out(self, size):
        async def scenario():
            control, address = Control(), reserve_address()
            server = listen_control(
                address, control.build_calls(), build_stalls(), ByteBudget(500_000)
            )
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(self.HEAD + b"x" * size)
            status = (await reader.readline()).split()[1]
            writer.close()
            server.stop()
            return status, control.operations

        assert asyncio.run(asyncio.wait_for(scenario(), 10.0)) == (b"503", [])
