"""Tests of the common endpoint handler over loopback."""

import asyncio

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from bramleyrouter.codes import Code
from bramleyrouter.edges.http import EndpointSpec, HttpReply
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.utils.ports import reserve_address


async def fail(req, body):
    raise RuntimeError("a defect")


async def echo(req, body):
    return HttpReply(200, body)


SPECS = [
    EndpointSpec("/fail", "POST", fail, 10),
    EndpointSpec("/echo", "POST", echo, 10),
]


def post(path, body):
    async def scenario():
        address = reserve_address()
        stop = listen_http(address, SPECS)
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(f"http://{address}{path}", method="POST", body=body)
        response = await client.fetch(request, raise_error=False)
        client.close()
        await stop()
        return response.code, response.body

    return asyncio.run(scenario())


class TestEndpointHandler:
    """Guard against errors that wrongly say not_run, and against oversized bodies."""

    def test_internal_error_never_states_that_the_request_did_not_run(self):
        status, body = post("/fail", b"{}")
        error = msgspec.json.decode(body)
        assert status == 500 and error["not_run"] is False
        assert error["code"] == Code.OUTCOME_UNKNOWN

    def test_oversized_body_gets_a_numbered_error(self):
        assert post("/echo", b"x" * 10) == (200, b"x" * 10)
        status, body = post("/echo", b"x" * 11)
        assert status == 413
        assert msgspec.json.decode(body)["code"] == Code.BODY_TOO_LARGE


POST_HEAD = "POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n"


class TestStopping:
    """Guard against requests late in a planned stop that get no reply."""

    def run(self, handle, scenario):
        """Run ``scenario`` with the closure that stops a listener, and a connection."""

        async def run_with_listener():
            address = reserve_address()
            specs = [EndpointSpec("/a", "POST", handle, 10)]
            stop = listen_http(address, specs, last_replies_s=0.3)
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.wait_for(scenario(stop, reader, writer), 5.0)
            writer.close()

        asyncio.run(run_with_listener())

    async def read_reply(self, reader):
        """Return status, headers and body of a reply."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields["Content-Length"]))
        return int(lines[0].split()[1]), fields, body

    def test_a_running_request_is_answered(self):
        async def reply_later(req, body):
            await asyncio.sleep(0.1)
            return HttpReply(200, b"{}")

        async def scenario(stop, reader, writer):
            writer.write(POST_HEAD.format("/a", 0).encode())
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stop())
            status, fields, _ = await self.read_reply(reader)
            assert (status, fields["Connection"]) == (200, "close")
            await stopping

        self.run(reply_later, scenario)

    def test_a_request_that_outlasts_the_stop_gets_a_failure(self):
        async def hang(req, body):
            await asyncio.sleep(60.0)

        async def scenario(stop, reader, writer):
            writer.write(POST_HEAD.format("/a", 0).encode())
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stop())
            _, fields, body = await self.read_reply(reader)
            error = msgspec.json.decode(body)
            assert error["code"] == Code.OUTCOME_UNKNOWN and not error["not_run"]
            assert fields["Connection"] == "close"
            await stopping

        self.run(hang, scenario)

    def test_a_request_whose_body_is_late_did_not_run(self):
        async def scenario(stop, reader, writer):
            writer.write(POST_HEAD.format("/a", 10).encode() + b"half")
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stop())
            status, _, body = await self.read_reply(reader)
            error = msgspec.json.decode(body)
            assert (status, error["code"]) == (503, Code.STOPPING) and error["not_run"]
            await stopping

        self.run(echo, scenario)

    def test_the_stop_waits_until_a_reply_is_written(self):
        body = b"x" * 32_000_000

        async def reply_much(req, _):
            return HttpReply(200, body)

        async def scenario(stop, reader, writer):
            writer.write(POST_HEAD.format("/a", 0).encode())
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stop())
            await asyncio.sleep(0.05)
            assert not stopping.done()
            _, _, received = await self.read_reply(reader)
            assert received == body
            await stopping

        self.run(reply_much, scenario)

    def test_an_idle_connection_is_closed(self):
        async def scenario(stop, reader, writer):
            writer.write(POST_HEAD.format("/a", 0).encode())
            await self.read_reply(reader)
            await stop()
            assert await reader.read() == b""

        self.run(echo, scenario)
