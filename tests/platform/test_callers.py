"""Tests of the HTTP server for callers over loopback."""

import asyncio

import pytest

from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    ExchangeOutcome,
    GatewayReply,
    ReplyKind,
    ServerReply,
)
from bramleyrouter.gateway.tables import CallerLimits
from bramleyrouter.platform.callers import (
    is_well_formed,
    listen_callers,
    set_close_after_replies,
    stop_listening,
)
from bramleyrouter.utils.ports import reserve_address
from tests.support.endless import MAX_WRITTEN_BYTES, write_until_closed

HEAD = (
    "{method} /a/x?q=1 HTTP/1.1\r\nHost: h.example:80\r\n"
    "Bramleyrouter-Request-Id: q1\r\nBramleyrouter-Deadline-Ms: 250\r\n"
)


SERVER_REPLY = ServerReply(ExchangeOutcome.ANSWERED, 200, (), b"x", "3e1b")


class Handler:
    """Record requests; reply at once if ``reply`` is set."""

    def __init__(self):
        self.requests = []
        self.replies = []
        self.cancelled = 0
        self.reply = None

    def handle(self, request, on_reply, network_s):
        self.requests.append(request)
        self.replies.append(on_reply)
        if self.reply is not None:
            on_reply(self.reply)

        def cancel():
            self.cancelled += 1

        return cancel


def run(scenario):
    async def run_with_listener():
        handler = Handler()
        address = reserve_address()
        listener = listen_callers(address, handler.handle, CallerLimits())
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            return await asyncio.wait_for(
                scenario(handler, listener, reader, writer), 5.0
            )
        finally:
            writer.close()
            listener.server.stop()

    return asyncio.run(run_with_listener())


async def read_reply(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(fields["Content-Length"]))
    return int(lines[0].split()[1]), fields, body


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


class TestRequests:
    """Guard against hop-by-hop headers that are forwarded, and misread requests."""

    def test_request_is_decoded_without_hop_by_hop_headers(self):
        async def scenario(handler, listener, reader, writer):
            handler.reply = GatewayReply(ReplyKind.FAILED)
            head = HEAD.format(method="POST")
            head += "X-Own: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 2\r\n"
            writer.write((head + "Content-Length: 3\r\n\r\nabc").encode())
            await read_reply(reader)
            return handler.requests[0]

        request = run(scenario)
        assert request.request_id == "q1"
        assert (request.method, request.target) == ("POST", "/a/x?q=1")
        assert (request.path, request.host) == ("/a/x", "h.example")
        assert (request.body, request.has_body) == (b"abc", True)
        assert request.deadline_s == 0.25
        assert request.headers == (("X-Own", "1"),)

    @pytest.mark.parametrize(
        "fields",
        [
            {"method": "GE T"},
            {"method": "G\xe9T"},
            {"target": "/a\x00"},
            {"host": "h\r\nX: 1"},
            {"request_id": "q\n1"},
            {"headers": (("X-Own", "a\x00b"),)},
            {"headers": (("X\rOwn", "a"),)},
        ],
    )
    def test_a_head_that_can_not_be_forwarded_is_malformed(self, fields):
        request = CallerRequest("q1", "GET", "/a", "h", (), b"", False, 1.0)
        assert is_well_formed(request)
        assert not is_well_formed(request._replace(**fields))

    def test_header_bytes_that_are_no_text_are_well_formed(self):
        headers = (("X-Own", "caf\xe9\tx"),)
        request = CallerRequest("q1", "GET", "/\xe9", "h", headers, b"", False, 1.0)
        assert is_well_formed(request)

    def test_chunked_body_is_joined(self):
        async def scenario(handler, listener, reader, writer):
            handler.reply = GatewayReply(ReplyKind.FAILED)
            head = HEAD.format(method="POST") + "Transfer-Encoding: chunked\r\n\r\n"
            writer.write((head + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n").encode())
            await read_reply(reader)
            return handler.requests[0]

        request = run(scenario)
        assert (request.body, request.has_body) == (b"abc", True)
        assert request.headers == ()


class TestReplies:
    """Guard against replies without their headers or with a misleading status."""

    def send_request(self, reply):
        async def scenario(handler, listener, reader, writer):
            handler.reply = reply
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            return await read_reply(reader)

        return run(scenario)

    def test_gathered_reply_has_seals_and_missing_parts(self):
        reply = GatewayReply(
            ReplyKind.GATHERED, body=b"r" * 16, signatures=("a", "b"), missing=1
        )
        status, fields, body = self.send_request(reply)
        assert (status, body) == (200, b"r" * 16)
        assert fields["Bramleyrouter-Part-Seals"] == "a, b"
        assert fields["Bramleyrouter-Missing-Parts"] == "1"

    def test_reply_of_a_server_is_forwarded(self):
        headers = (("Bramleyrouter-Server-Seal", "s"), ("X-Own", "1"))
        server = ServerReply(ExchangeOutcome.ANSWERED, 404, headers, b"none", "s")
        reply = GatewayReply(ReplyKind.SERVER, server=server)
        status, fields, body = self.send_request(reply)
        assert (status, body) == (404, b"none")
        assert fields["Bramleyrouter-Server-Seal"] == "s"
        assert fields["X-Own"] == "1"

    def test_refusal_has_a_retry_after_header(self):
        reply = GatewayReply(ReplyKind.REFUSED, retry_after_s=0.25)
        status, fields, _ = self.send_request(reply)
        assert (status, fields["Retry-After"]) == (503, "0.250")

    def test_a_request_over_the_quota_has_a_retry_after_header(self):
        reply = GatewayReply(ReplyKind.OVER_QUOTA, retry_after_s=1.5)
        status, fields, _ = self.send_request(reply)
        assert (status, fields["Retry-After"]) == (429, "1.500")

    def test_only_a_refusal_promises_that_nothing_ran(self):
        not_run_statuses = {408, 421, 429, 503}
        for kind in (ReplyKind.FAILED, ReplyKind.DEADLINE):
            assert self.send_request(GatewayReply(kind))[0] not in not_run_statuses


class TestDisconnects:
    """Guard against requests that run on after their caller disconnected."""

    def test_request_is_cancelled_when_the_caller_disconnects(self):
        async def scenario(handler, listener, reader, writer):
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            writer.close()
            await wait_until(lambda: handler.cancelled)
            # A reply after the disconnect is discarded without an error.
            handler.replies[0](GatewayReply(ReplyKind.FAILED))

        run(scenario)


class TestEndlessRequests:
    """Guard against a request without end that fills the daemon's memory."""

    @pytest.mark.parametrize(
        "first, repeated",
        [
            ("GET /a/x HTTP/1.1\r\n", "X-Filler: " + "f" * 1000 + "\r\n"),
            ("GET /a/x HTTP/1.1\r\nX-Filler: ", "f" * 1000),
            ("GET /a/", "f" * 1000),
            (
                HEAD.format(method="POST") + "Transfer-Encoding: chunked\r\n\r\n",
                "400\r\n" + "f" * 1024 + "\r\n",
            ),
            (
                HEAD.format(method="POST") + "Content-Length: 99999999999\r\n\r\n",
                "f" * 1024,
            ),
            (
                HEAD.format(method="POST") + "Transfer-Encoding: chunked\r\n\r\n1;",
                "x=y;" * 250,
            ),
        ],
        ids=["lines", "one line", "path", "chunked", "declared", "chunk extension"],
    )
    def test_the_connection_is_closed(self, first, repeated):
        async def scenario(handler, listener, reader, writer):
            written = await write_until_closed(
                writer, first.encode(), repeated.encode()
            )
            assert written < MAX_WRITTEN_BYTES
            assert not handler.requests

        run(scenario)


class TestStopping:
    """Guard against requests that are lost when a daemon stops."""

    def test_running_request_is_answered_and_its_connection_closed(self):
        async def scenario(handler, listener, reader, writer):
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            set_close_after_replies(listener, True)
            stopping = asyncio.ensure_future(stop_listening(listener, 2.0))
            await asyncio.sleep(0.05)
            assert not stopping.done()
            handler.replies[0](GatewayReply(ReplyKind.GATHERED, body=b"x" * 200_000))
            status, fields, body = await read_reply(reader)
            assert (status, len(body)) == (200, 200_000)
            assert fields["Connection"] == "close"
            await stopping
            assert await reader.read() == b""

        run(scenario)

    def test_a_request_that_outlasts_the_stop_gets_a_failure(self):
        """Guard against a connection that ends without a reply to its request."""

        async def scenario(handler, listener, reader, writer):
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            await stop_listening(listener, 0.05)
            status, fields, _ = await read_reply(reader)
            assert (status, fields["Connection"]) == (502, "close")
            assert fields["Bramleyrouter-Request-Id"] == "q1"
            assert await reader.read() == b""
            assert handler.cancelled == 1

        run(scenario)

    def test_a_request_that_has_just_arrived_is_answered(self):
        """Guard against a reset in place of a reply to a request not read yet."""

        async def scenario(handler, listener, reader, writer):
            handler.reply = GatewayReply(ReplyKind.GATHERED, body=b"r" * 16)
            await wait_until(lambda: listener.state.connections)
            # The bytes are on their way before the event loop can read them.
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            stopping = asyncio.ensure_future(stop_listening(listener, 1.0))
            status, fields, body = await read_reply(reader)
            assert (status, fields["Connection"]) == (200, "close")
            assert body == b"r" * 16
            await stopping
            assert await reader.read() == b""

        run(scenario)

    @pytest.mark.parametrize("iterations", range(8))
    def test_a_request_that_is_being_read_is_answered(self, iterations):
        """The head has left the socket, but the request is not known as busy yet."""

        async def scenario(handler, listener, reader, writer):
            await wait_until(lambda: listener.state.connections)
            handler.reply = GatewayReply(ReplyKind.SERVER, server=SERVER_REPLY)
            # Written at once, so that the listener reads it in the next iteration.
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            for _ in range(iterations):
                await asyncio.sleep(0)
            stopping = asyncio.ensure_future(stop_listening(listener, 2.0))
            status, _, _ = await read_reply(reader)
            await stopping
            return status

        assert run(scenario) == 200

    def test_a_caller_that_has_disconnected_does_not_end_the_stop(self):
        """Guard against requests that are cut off because the stop fails."""

        async def scenario(handler, listener, reader, writer):
            host, port = writer.get_extra_info("peername")
            _, gone = await asyncio.open_connection(host, port)
            await wait_until(lambda: len(listener.state.connections) == 2)
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            idle = next(iter(listener.state.connections - listener.state.busy.keys()))
            # The stream is closed, and its connection is not removed yet.
            idle.stream.close()
            stopping = asyncio.ensure_future(stop_listening(listener, 2.0))
            await asyncio.sleep(0.05)
            assert not stopping.done()
            handler.replies[0](GatewayReply(ReplyKind.GATHERED, body=b"r" * 16))
            assert (await read_reply(reader))[0] == 200
            await stopping
            gone.close()

        run(scenario)

    def test_a_request_whose_body_is_late_is_refused(self):
        """Guard against a cut connection of a request that certainly did not run."""

        async def scenario(handler, listener, reader, writer):
            head = HEAD.format(method="POST") + "Content-Length: 10\r\n\r\nhello"
            writer.write(head.encode())
            await wait_until(lambda: listener.state.busy)
            await stop_listening(listener, 0.05)
            status, fields, _ = await read_reply(reader)
            assert (status, fields["Connection"]) == (503, "close")
            assert float(fields["Retry-After"]) > 0
            assert await reader.read() == b""
            assert not handler.requests

        run(scenario)

    def test_the_stop_waits_until_a_reply_is_written(self):
        """Guard against a reply that is cut off because the process ends."""

        async def scenario(handler, listener, reader, writer):
            body = b"x" * 32_000_000
            handler.reply = GatewayReply(ReplyKind.GATHERED, body=body)
            set_close_after_replies(listener, True)
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            stopping = asyncio.ensure_future(stop_listening(listener, 4.0))
            await asyncio.sleep(0.1)
            assert not stopping.done()
            _, _, received = await read_reply(reader)
            assert received == body
            await stopping

        run(scenario)

    def test_requests_are_still_served_before_the_listener_closes(self):
        async def scenario(handler, listener, reader, writer):
            handler.reply = GatewayReply(ReplyKind.FAILED)
            set_close_after_replies(listener, True)
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            status, fields, _ = await read_reply(reader)
            assert fields["Connection"] == "close"

        run(scenario)

    def test_idle_connections_are_closed(self):
        async def scenario(handler, listener, reader, writer):
            handler.reply = GatewayReply(ReplyKind.FAILED)
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await read_reply(reader)
            await stop_listening(listener, 2.0)
            assert await reader.read() == b""

        run(scenario)


class TestClosedConnections:
    """Guard against closed connections that are kept until the process ends (FAULT)."""

    @pytest.mark.parametrize("is_busy", [False, True])
    def test_a_closed_connection_is_forgotten(self, is_busy):
        async def scenario(handler, listener, reader, writer):
            if not is_busy:
                handler.reply = GatewayReply(ReplyKind.FAILED)
            writer.write((HEAD.format(method="GET") + "\r\n").encode())
            await wait_until(lambda: handler.requests)
            writer.close()
            state = listener.state
            await wait_until(lambda: not state.connections)
            assert not state.reused
            assert not state.busy

        run(scenario)
