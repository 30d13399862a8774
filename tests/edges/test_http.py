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
