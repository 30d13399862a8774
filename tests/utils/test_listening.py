"""Tests of listening sockets."""

import asyncio
import errno
import socket

import pytest
from tornado.tcpserver import TCPServer

from bramleyrouter.utils import listening
from bramleyrouter.utils.listening import listen_on
from bramleyrouter.utils.ports import reserve_address


class CountingServer(TCPServer):
    """Count the connections that were accepted."""

    accepted = 0

    def handle_stream(self, stream, address):
        self.accepted += 1
        stream.close()


class FailingAccept:
    """Make accepting connections fail with ``number`` while ``is_failing``."""

    def __init__(self, monkeypatch, number):
        self.is_failing, self.calls = True, 0
        accept = socket.socket.accept

        def fail_or_accept(sock):
            self.calls += 1
            if self.is_failing:
                raise OSError(number, "accept failed")
            return accept(sock)

        monkeypatch.setattr(socket.socket, "accept", fail_or_accept)


async def wait_until(condition):
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


class TestExhaustedFiles:
    """Guard against a daemon that spins while it has no file for a connection."""

    @pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
    def test_connection_is_accepted_later(self, monkeypatch, caplog, number):
        failing = FailingAccept(monkeypatch, number)
        monkeypatch.setattr(listening, "ACCEPT_PAUSE_S", 0.05)
        errors = []

        async def scenario():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            server, address = CountingServer(), reserve_address()
            listen_on(server, address)
            host, port = address.split(":")
            client = socket.create_connection((host, int(port)))
            await wait_until(lambda: failing.calls >= 3)
            # Without a pause the loop would call accept again in each iteration.
            calls = failing.calls
            for _ in range(20):
                await asyncio.sleep(0)
            assert failing.calls <= calls + 1
            failing.is_failing = False
            await wait_until(lambda: server.accepted == 1)
            server.stop()
            client.close()
            return address

        address = asyncio.run(scenario())
        assert errors == []
        lines = [line for line in caplog.messages if address in line]
        assert len(lines) == 1 and "accepts no connections" in lines[0]

    def test_server_can_stop_during_a_pause(self, monkeypatch):
        failing = FailingAccept(monkeypatch, errno.EMFILE)
        monkeypatch.setattr(listening, "ACCEPT_PAUSE_S", 0.05)
        errors = []

        async def scenario():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            server, address = CountingServer(), reserve_address()
            listen_on(server, address)
            host, port = address.split(":")
            client = socket.create_connection((host, int(port)))
            await wait_until(lambda: failing.calls >= 1)
            server.stop()
            await asyncio.sleep(0.2)
            client.close()

        asyncio.run(scenario())
        assert errors == []


class TestFailedConnection:
    """Guard against an error in the log for each connection that the network failed."""

    def test_next_connection_is_accepted(self, monkeypatch):
        errors = []
        accept, failures = socket.socket.accept, [errno.EHOSTUNREACH, errno.EPROTO]

        def fail_first(sock):
            if failures:
                raise OSError(failures.pop(), "accept failed")
            return accept(sock)

        monkeypatch.setattr(socket.socket, "accept", fail_first)

        async def scenario():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            server, address = CountingServer(), reserve_address()
            listen_on(server, address)
            host, port = address.split(":")
            client = socket.create_connection((host, int(port)))
            await wait_until(lambda: server.accepted == 1)
            server.stop()
            client.close()

        asyncio.run(scenario())
        assert errors == [] and failures == []


class TestFailedListen:
    """Guard against a socket that a failed attempt to listen leaves open."""

    def test_address_in_use_is_named_and_can_be_tried_again(self):
        async def scenario():
            address = reserve_address()
            host, port = address.split(":")
            holder = socket.create_server((host, int(port)))
            server = CountingServer()
            for _ in range(3):
                with pytest.raises(OSError, match=address):
                    listen_on(server, address)
            holder.close()
            listen_on(server, address)
            client = socket.create_connection((host, int(port)))
            await wait_until(lambda: server.accepted == 1)
            server.stop()
            client.close()

        asyncio.run(scenario())

    def test_socket_that_the_loop_can_not_watch_is_closed(self, monkeypatch):
        async def scenario():
            address = reserve_address()
            server = CountingServer()
            loop = asyncio.get_running_loop()

            def refuse(*args):
                raise OSError(errno.ENOSPC, "no watch left")

            with monkeypatch.context() as patch:
                patch.setattr(loop, "add_reader", refuse)
                with pytest.raises(OSError):
                    listen_on(server, address)
            listen_on(server, address)
            server.stop()

        asyncio.run(scenario())
