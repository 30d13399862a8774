"""Tests of the transport to faulty backend servers over loopback."""

import asyncio
import socket
import struct

import pytest

from bramleyrouter.gateway.exchanges import CallerRequest, ExchangeOutcome
from bramleyrouter.platform.server_transport import build_server_transport
from tests.support.gateway_fakes import build_row
from tests.support.raw_server import get_header, start_raw_server

# SO_LINGER with a timeout of 0 s: the socket sends a reset when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEAL = "Bramleyrouter-Server-Seal: 3e1b.07\r\n"


def build_request(request_id="q1", method="GET", body=b"", headers=()):
    return CallerRequest(
        request_id, method, "/a/x?y=%20z", "h.example", headers, body, bool(body), 1.0
    )


def reply(body=b"hello", status="200 OK", extra=SEAL, length=None):
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{extra}\r\n"
    return head.encode() + body


def build_script(data, stays_open=True):
    async def script(request, writer):
        writer.write(data(request) if callable(data) else data)
        await writer.drain()
        return stays_open

    return script


async def exchange(transport, server, request, timeout_s=1.0):
    fut = asyncio.get_running_loop().create_future()
    target = build_row("i-1", address=server.address)
    transport(target, request, timeout_s, 3, fut.set_result)
    return await asyncio.wait_for(fut, 3.0)


def run(script, *requests, timeout_s=1.0):
    """Send requests in sequence; return the replies and the server."""

    async def scenario():
        server = await start_raw_server(script)
        transport, close_pools_except = build_server_transport()
        replies = [
            await exchange(transport, server, request, timeout_s)
            for request in requests
        ]
        close_pools_except(set())
        server.server.close()
        return replies, server

    return asyncio.run(scenario())


class TestRequest:
    """Guard against requests that the transport changes."""

    def test_request_is_forwarded_unchanged(self):
        headers = (("X-Own", "1"), ("Content-Type", "text/x"))
        request = build_request(method="POST", body=b"a=b&c", headers=headers)
        _, server = run(build_script(reply()), request)
        data = server.requests[0]
        assert data.startswith(b"POST /a/x?y=%20z HTTP/1.1\r\n")
        assert data.endswith(b"\r\n\r\na=b&c")
        assert get_header(data, "Host") == "h.example"
        assert get_header(data, "X-Own") == "1"
        assert get_header(data, "Content-Type") == "text/x"
        assert get_header(data, "Bramleyrouter-Request-Id") == "q1"
        assert get_header(data, "Bramleyrouter-Target-Instance") == "i-1"
        assert 900 <= int(get_header(data, "Bramleyrouter-Deadline-Ms")) <= 1000

    def test_no_header_is_added(self):
        _, server = run(build_script(reply()), build_request())
        for name in ("Accept", "User-Agent", "Expect", "Accept-Encoding"):
            assert get_header(server.requests[0], name) is None

    def test_no_content_type_is_added_to_a_body(self):
        _, server = run(build_script(reply()), build_request(method="PUT", body=b"x"))
        assert get_header(server.requests[0], "Content-Type") is None

    def test_a_redirect_is_not_followed(self):
        moved = reply(b"", "302 Found", SEAL + "Location: /other\r\n")
        replies, server = run(build_script(moved), build_request())
        assert replies[0].status == 302
        assert len(server.requests) == 1

    def test_idempotent_requests_share_a_connection(self):
        _, server = run(
            build_script(reply()), build_request(), build_request(), build_request()
        )
        assert server.connections == 1


class TestReply:
    """Guard against truncated or foreign replies that count as answers."""

    def test_complete_reply(self):
        replies, _ = run(build_script(reply()), build_request())
        assert replies[0].is_success
        assert (replies[0].body, replies[0].signature) == (b"hello", "3e1b.07")
        names = {name.lower() for name, _ in replies[0].headers}
        assert "content-length" not in names

    def test_reply_without_length_ends_with_the_connection(self):
        data = f"HTTP/1.1 200 OK\r\n{SEAL}\r\nhello".encode()
        replies, _ = run(build_script(data, stays_open=False), build_request())
        assert replies[0].body == b"hello"

    def test_chunked_reply(self):
        data = (
            f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{SEAL}\r\n"
            "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        ).encode()
        replies, _ = run(build_script(data), build_request())
        assert replies[0].body == b"hello"

    def test_chunked_reply_with_trailers(self):
        """Guard against a whole reply that is taken for one with a cut head."""
        chunks = b"5\r\nhello\r\n0\r\nX-Checksum: 1\r\n\r\n"
        replies, server = run(
            build_script(CHUNKED_HEAD + chunks), build_request(), build_request()
        )
        for item in replies:
            assert (item.outcome, item.body) == (ExchangeOutcome.ANSWERED, b"hello")
            assert "X-Checksum" not in dict(item.headers)
        assert server.connections == 1

    def test_final_reply_after_interim_replies(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
        replies, _ = run(build_script(interim + reply()), build_request())
        assert replies[0].is_success
        assert "A" not in dict(replies[0].headers)

    def test_truncated_reply_is_lost(self):
        for data in (reply(length=9), reply()[:20], b"", b"no http at all"):
            replies, _ = run(build_script(data, stays_open=False), build_request())
            assert replies[0].outcome is ExchangeOutcome.LOST

    def test_reply_cut_off_by_a_reset_is_lost(self):
        async def script(request, writer):
            writer.write(f"HTTP/1.1 200 OK\r\n{SEAL}\r\nhel".encode())
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return False

        replies, _ = run(script, build_request())
        assert replies[0].outcome is ExchangeOutcome.LOST

    def test_bytes_after_a_reply_are_discarded(self):
        def twice(request):
            name = get_header(request, "Bramleyrouter-Request-Id")
            own = reply(name.encode())
            return own + reply(b"extra") if name == "q1" else own

        replies, _ = run(build_script(twice), build_request("q1"), build_request("q2"))
        assert [item.body for item in replies] == [b"q1", b"q2"]

    def test_late_reply_to_another_request_is_lost(self):
        stale = reply(b"old", extra=SEAL + "Bramleyrouter-Request-Id: q0\r\n")
        replies, server = run(build_script(stale), build_request("q1"))
        assert replies[0].outcome is ExchangeOutcome.LOST
        assert server.closed_by_peer == 1

    def test_not_executed_header_is_a_refusal(self):
        data = reply(b"", "503 Busy", "Bramleyrouter-Not-Executed: 1\r\n")
        replies, _ = run(build_script(data), build_request())
        assert replies[0].outcome is ExchangeOutcome.REFUSED

    def test_status_421_is_misdirected(self):
        replies, _ = run(
            build_script(reply(b"", "421 Misdirected", "")), build_request()
        )
        assert replies[0].outcome is ExchangeOutcome.MISDIRECTED

    def test_server_error_is_forwarded(self):
        replies, _ = run(build_script(reply(b"no", "500 Oops")), build_request())
        assert (replies[0].outcome, replies[0].status) == (
            ExchangeOutcome.ANSWERED,
            500,
        )
        assert not replies[0].is_success

    def test_success_without_a_signature_is_lost(self):
        replies, _ = run(build_script(reply(extra="")), build_request())
        assert replies[0].outcome is ExchangeOutcome.LOST

    def test_refusal_sent_before_the_body_is_read(self):
        async def script(request, writer):
            writer.write(reply(b"no", "400 Bad", "Bramleyrouter-Not-Executed: 1\r\n"))
            await writer.drain()
            return False

        replies, _ = run(script, build_request(method="POST", body=b"x" * 100_000))
        assert replies[0].outcome is ExchangeOutcome.REFUSED


class TestStatuses:
    """Guard against statuses outside 200 to 599 that reach a caller as answers."""

    @pytest.mark.parametrize("status", ["000", "007", "099", "600", "999"])
    @pytest.mark.parametrize("method", ["GET", "HEAD"])
    def test_another_status_is_no_answer(self, status, method):
        data = reply(b"" if method == "HEAD" else b"hello", f"{status} Odd")
        replies, server = run(
            build_script(data), build_request(method=method), build_request()
        )
        assert replies[0].outcome is ExchangeOutcome.LOST
        assert status in replies[0].text
        # What may follow on the connection must not be read as the next answer.
        assert server.connections == 2

    @pytest.mark.parametrize("status", ["200 OK", "304 Not Modified", "599 Odd"])
    def test_the_statuses_of_answers_are_forwarded(self, status):
        replies, _ = run(build_script(reply(b"", status)), build_request())
        assert replies[0].outcome is ExchangeOutcome.ANSWERED
        assert replies[0].status == int(status[:3])

    def test_interim_replies_without_end_are_no_answer(self):
        interim = b"HTTP/1.1 199 Odd\r\n\r\n"
        replies, _ = run(build_script(20 * interim), build_request())
        assert replies[0].outcome is ExchangeOutcome.LOST

    def test_silence_after_an_interim_reply_costs_an_attempt_only(self):
        """The exchange would otherwise last until the caller's deadline."""
        interim = b"HTTP/1.1 199 Odd\r\n\r\n"
        replies, _ = run(build_script(interim), build_request())
        assert replies[0].outcome is ExchangeOutcome.LOST
        assert "interim" in replies[0].text


class TestConnections:
    """Guard against repeated requests and wrongly classified failures."""

    def test_no_request_is_repeated(self):
        # HTTP clients usually repeat a request if a reused connection closes without
        # a reply; here the gateway decides that.
        async def script(request, writer):
            if get_header(request, "Bramleyrouter-Request-Id") == "q1":
                writer.write(reply())
                await writer.drain()
                return True
            return False

        replies, server = run(script, build_request("q1"), build_request("q2"))
        assert replies[1].outcome is ExchangeOutcome.LOST
        ids = [get_header(item, "Bramleyrouter-Request-Id") for item in server.requests]
        assert ids == ["q1", "q2"]

    def test_refused_connection_is_unreached(self):
        async def scenario():
            server = await start_raw_server(build_script(reply()))
            server.server.close()
            await server.server.wait_closed()
            transport, _ = build_server_transport()
            return await exchange(transport, server, build_request())

        assert asyncio.run(scenario()).outcome is ExchangeOutcome.UNREACHED

    def test_silent_connection_times_out(self):
        async def script(request, writer):
            await asyncio.sleep(1.0)
            return False

        replies, _ = run(script, build_request(), timeout_s=0.1)
        assert replies[0].outcome is ExchangeOutcome.TIMED_OUT

    def test_cancelling_closes_the_connection(self):
        async def scenario():
            async def script(request, writer):
                return True

            server = await start_raw_server(script)
            transport, _ = build_server_transport()
            replies = []
            target = build_row("i-1", address=server.address)
            cancel = transport(target, build_request(), 5.0, 3, replies.append)
            while not server.requests:
                await asyncio.sleep(0.005)
            cancel()
            while not server.closed_by_peer:
                await asyncio.sleep(0.005)
            return replies

        assert asyncio.run(asyncio.wait_for(scenario(), 3.0)) == []

    def test_wait_for_a_free_connection_does_not_count_against_the_server(
        self,
    ):
        # After a restart, more queries than connections waited for one server. When
        # the connect timeout of 300 ms passed, the server was suspected (inc-1673).
        async def scenario():
            async def script(request, writer):
                await asyncio.sleep(0.35)
                writer.write(reply())
                await writer.drain()
                return True

            server = await start_raw_server(script)
            transport, close_pools_except = build_server_transport()
            target = build_row("i-1", address=server.address)
            loop = asyncio.get_running_loop()
            futs = []
            for number, timeout_s in enumerate((2.0, 2.0, 0.2)):
                fut = loop.create_future()
                request = build_request(f"q{number}")
                transport(target, request, timeout_s, 1, fut.set_result)
                futs.append(fut)
            outcomes = [item.outcome for item in await asyncio.gather(*futs)]
            close_pools_except(set())
            server.server.close()
            return outcomes

        outcomes = asyncio.run(asyncio.wait_for(scenario(), 5.0))
        answered = ExchangeOutcome.ANSWERED
        assert outcomes == [answered, answered, ExchangeOutcome.UNSENT]


async def _write_until_closed(writer, first, repeated):
    """Write ``first`` and then ``repeated`` until the peer closes the connection."""
    writer.write(first)
    while True:
        writer.write(repeated)
        await writer.drain()


def build_endless_script(first, repeated):
    async def script(request, writer):
        await _write_until_closed(writer, first, repeated)

    return script


OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_LINE + SEAL.encode() + b"Transfer-Encoding: chunked\r\n\r\n"


class TestEndlessReplies:
    """Guard against a reply without end that fills the memory until its timeout."""

    @pytest.mark.parametrize(
        "first, repeated",
        [
            (OK_LINE, b"X-Filler: " + b"f" * 1000 + b"\r\n"),
            (OK_LINE + b"X-Filler: ", b"f" * 1000),
            (b"", b"f" * 1000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 40),
        ],
        ids=["lines", "one line", "no status line", "interim", "early hints"],
    )
    def test_a_head_without_end_is_lost(self, first, repeated):
        replies, _ = run(
            build_endless_script(first, repeated), build_request(), timeout_s=20.0
        )
        assert replies[0].outcome is ExchangeOutcome.LOST

    @pytest.mark.parametrize(
        "first, repeated",
        [
            (OK_LINE + SEAL.encode() + b"\r\n", b"f" * 4096),
            (CHUNKED_HEAD, b"400\r\n" + b"f" * 1024 + b"\r\n"),
            (OK_LINE + SEAL.encode() + b"Content-Length: 99999999999\r\n\r\n", b"f"),
            (CHUNKED_HEAD + b"0\r\n", b"X-Filler: " + b"f" * 1000 + b"\r\n"),
        ],
        ids=["no length", "chunked", "declared", "trailers"],
    )
    def test_a_body_without_end_is_lost(self, first, repeated):
        replies, _ = run(
            build_endless_script(first, repeated), build_request(), timeout_s=20.0
        )
        assert replies[0].outcome is ExchangeOutcome.LOST

    def test_a_chunk_extension_without_end_lasts_until_the_timeout(self):
        """Guard against a request that never ends; the extension is not stored."""
        script = build_endless_script(CHUNKED_HEAD + b"1;", b"x=y;" * 250)
        replies, _ = run(script, build_request(), timeout_s=0.3)
        assert replies[0].outcome is ExchangeOutcome.TIMED_OUT


WHOLE_HEAD = OK_LINE + SEAL.encode() + b"Bramleyrouter-Request-Id: q1\r\n\r\n"


class TestCutHead:
    """Guard against a head that stops in the middle and is taken for a whole one."""

    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("has_length", [False, True], ids=["no length", "length"])
    def test_a_reply_cut_off_in_its_head_is_lost(self, has_length, is_reset):
        head = WHOLE_HEAD
        if has_length:
            head = head[:-2] + b"Content-Length: 0\r\n\r\n"
        taken = []
        for size in range(1, len(head)):
            reply = self.receive(head[:size], is_reset)
            if reply.outcome is not ExchangeOutcome.LOST:
                taken.append((head[:size], reply))
        assert not taken
        if not is_reset:
            assert self.receive(head, is_reset).is_success

    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    def test_a_head_cut_off_after_an_interim_reply_is_lost(self, is_reset):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        for size in range(len(WHOLE_HEAD)):
            reply = self.receive(interim + WHOLE_HEAD[:size], is_reset)
            assert reply.outcome is ExchangeOutcome.LOST, WHOLE_HEAD[:size]

    def receive(self, data, is_reset):
        """Return the reply read from ``data``, after which the connection ends."""

        async def script(request, writer):
            writer.write(data)
            await writer.drain()
            if is_reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False

        replies, _ = run(script, build_request())
        return replies[0]


def refuse(extra):
    return reply(b"", "503 Service Unavailable", extra)


NOT_EXECUTED = "Bramleyrouter-Not-Executed: 1\r\n"


class TestServerBackoff:
    """Guard against ignored or misread statements about further requests."""

    @pytest.mark.parametrize(
        "data",
        [
            reply(extra=SEAL + "Server-Leaving: 1\r\n"),
            reply(b"", "500 Error", SEAL + "Server-Leaving: 1\r\n"),
            refuse(NOT_EXECUTED + "server-leaving: 1\r\n"),
        ],
        ids=["success", "failure", "refusal"],
    )
    def test_a_server_that_leaves_says_so_in_any_reply(self, data):
        replies, _ = run(build_script(data), build_request())
        assert replies[0].is_leaving

    @pytest.mark.parametrize("value", ["0", "", "yes"])
    def test_other_values_say_nothing(self, value):
        data = reply(extra=SEAL + f"Server-Leaving: {value}\r\n")
        replies, _ = run(build_script(data), build_request())
        assert not replies[0].is_leaving

    @pytest.mark.parametrize(
        "text, expected_s",
        [
            ("2", 2.0),
            ("0.25", 0.25),
            ("99999999999", 3600.0),
            ("", 0.0),
            ("soon", 0.0),
            ("-1", 0.0),
            ("1e9", 0.0),
            ("nan", 0.0),
            ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ],
    )
    def test_retry_after_of_a_refusal(self, text, expected_s):
        data = refuse(NOT_EXECUTED + f"Retry-After: {text}\r\n")
        replies, _ = run(build_script(data), build_request())
        assert replies[0].outcome is ExchangeOutcome.REFUSED
        assert replies[0].retry_after_s == expected_s

    def test_retry_after_of_another_status_says_nothing(self):
        data = reply(extra=SEAL + "Retry-After: 5\r\n")
        replies, _ = run(build_script(data), build_request())
        assert replies[0].retry_after_s == 0.0

    def test_a_refusal_of_another_request_is_no_refusal(self):
        """Guards against "not run" for a request that may have run."""
        data = refuse(NOT_EXECUTED + "Bramleyrouter-Request-Id: q0\r\n")
        replies, _ = run(build_script(data), build_request("q1"))
        assert replies[0].outcome is ExchangeOutcome.LOST


class TestHeads:
    """Guard against heads that the transport changes or can't send."""

    @pytest.mark.parametrize(
        "target", ["/a/x#y", "/a/\xe9", "//x/y", "/a/../b", "/a\\b"]
    )
    def test_the_target_is_sent_unchanged(self, target):
        request = build_request()._replace(target=target)
        replies, server = run(build_script(reply()), request)
        assert replies[0].is_success
        line = server.requests[0].split(b"\r\n")[0]
        assert line == b"GET " + target.encode("latin-1") + b" HTTP/1.1"

    def test_header_bytes_that_are_no_text_are_sent_unchanged(self):
        request = build_request(headers=(("X-Own", "caf\xe9"),))
        replies, server = run(build_script(reply()), request)
        assert replies[0].is_success
        assert b"X-Own: caf\xe9\r\n" in server.requests[0]


class TestPool:
    """Guard against more connections than allowed, and against unsound ones."""

    def test_connections_stay_within_the_limit(self):
        async def scenario():
            open_now, most = 0, 0

            async def script(request, writer):
                nonlocal open_now, most
                open_now += 1
                most = max(most, open_now)
                await asyncio.sleep(0.01)
                open_now -= 1
                writer.write(reply())
                await writer.drain()
                return True

            server = await start_raw_server(script)
            transport, _ = build_server_transport()
            row = build_row("i-1", address=server.address)
            futs = [asyncio.get_running_loop().create_future() for _ in range(9)]
            for fut in futs:
                transport(row, build_request(), 2.0, 3, fut.set_result)
            replies = await asyncio.gather(*futs)
            assert all(item.is_success for item in replies)
            assert (most, server.connections) == (3, 3)
            transport(row, build_request(), 2.0, 1, lambda result: None)
            server.server.close()

        asyncio.run(scenario())

    @pytest.mark.parametrize("is_reused", [False, True])
    def test_a_request_that_may_no_longer_be_sent_is_not_written(self, is_reused):
        # Opening a connection or waiting for one can outlast the request's permit.
        async def scenario():
            server = await start_raw_server(build_script(reply(), reply()))
            transport, _ = build_server_transport()
            row = build_row("i-1", address=server.address)
            if is_reused:
                assert (await exchange(transport, server, build_request())).is_success
            sent = len(server.requests)
            fut = asyncio.get_running_loop().create_future()
            transport(row, build_request(), 2.0, 1, fut.set_result, lambda: False)
            assert (await fut).outcome is ExchangeOutcome.UNSENT
            assert len(server.requests) == sent
            # The connection that was opened for it must not count as in use.
            fut = asyncio.get_running_loop().create_future()
            transport(row, build_request(), 2.0, 1, fut.set_result, lambda: True)
            assert (await fut).is_success
            server.server.close()

        asyncio.run(scenario())

    def test_a_request_that_gets_no_connection_is_unsent(self):
        async def scenario():
            async def script(request, writer):
                await asyncio.sleep(0.5)
                return False

            server = await start_raw_server(script)
            transport, _ = build_server_transport()
            row = build_row("i-1", address=server.address)
            fut = asyncio.get_running_loop().create_future()
            transport(row, build_request(), 2.0, 1, lambda result: None)
            transport(row, build_request("q2"), 0.1, 1, fut.set_result)
            result = await fut
            assert result.outcome is ExchangeOutcome.UNSENT
            assert len(server.requests) <= 1
            server.server.close()

        asyncio.run(scenario())

    def test_a_connection_is_not_used_beyond_its_announced_idle_time(self):
        data = reply(extra=SEAL + "Keep-Alive: timeout=0\r\n")
        replies, server = run(build_script(data), build_request(), build_request())
        assert all(item.is_success for item in replies)
        assert server.connections == 2

    def test_a_cancelled_request_closes_its_connection(self):
        async def scenario():
            async def script(request, writer):
                if get_header(request, "Bramleyrouter-Request-Id") == "q1":
                    return True
                writer.write(reply())
                await writer.drain()
                return True

            server = await start_raw_server(script)
            transport, _ = build_server_transport()
            row = build_row("i-1", address=server.address)
            results = []
            cancel = transport(row, build_request(), 5.0, 1, results.append)
            while not server.requests:
                await asyncio.sleep(0.005)
            cancel()
            assert (await exchange(transport, server, build_request("q2"))).is_success
            assert results == []
            assert (server.connections, server.closed_by_peer) == (2, 1)
            server.server.close()

        asyncio.run(scenario())

    def test_an_early_reply_to_a_long_body_ends_the_connection(self):
        """Guards against another request where the rest of the body is due."""

        async def scenario():
            heads = []

            async def serve(reader, writer):
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(reply())
                await writer.drain()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            transport, _ = build_server_transport()
            row = build_row("i-1", address=f"127.0.0.1:{port}")
            long = build_request("q1", method="PUT", body=b"x" * 20_000_000)
            for request in (long, build_request("q2")):
                fut = asyncio.get_running_loop().create_future()
                transport(row, request, 2.0, 3, fut.set_result)
                assert (await fut).is_success
            # Each request has a connection of its own.
            assert [get_header(item, "Bramleyrouter-Request-Id") for item in heads] == [
                "q1",
                "q2",
            ]
            server.close()

        asyncio.run(scenario())
