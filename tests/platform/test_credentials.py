"""Tests of keys of customers from the caller's head to the server's."""

import asyncio
import logging

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from bramleyrouter.gateway.customers import IdentityResult, identify_customer
from bramleyrouter.gateway.exchanges import GatewayReply, ReplyKind
from bramleyrouter.gateway.tables import CallerLimits, build_index
from bramleyrouter.platform.callers import encode_reply, listen_callers, read_request
from bramleyrouter.platform.route_documents import decode_route_table
from bramleyrouter.platform.server_transport import encode_request
from bramleyrouter.utils.ports import reserve_address
from tests.platform.test_callers import read_reply
from tests.platform.test_route_documents import ROUTE, document
from tests.support.gateway_fakes import build_harness, build_row

KEY = "s3cr\u00e9t-k1"
TENANTS = [{"name": "Caf\u00e9", "apiKeys": [KEY]}, {"name": "other"}]
WIRE_KEY = KEY.encode()
TOKEN = b"Authorization: Token " + WIRE_KEY
BASIC = b"Authorization: Basic abc"


def forward(*lines, is_public=False, tenants=TENANTS):
    """Return the result of the identification and the lines sent to the server."""
    body = document({**ROUTE, "public": is_public}, tenants=tenants)
    index = build_index(decode_route_table(body).ok_value)
    headers = HTTPHeaders.parse(b"\r\n".join(lines).decode("latin-1"))
    start_line = RequestStartLine("GET", "/a/x", "HTTP/1.1")
    request = read_request(start_line, headers, b"")
    assert "-k1" not in repr(request)
    identification = identify_customer(index, index.table.routes[0], request)
    sent = encode_request(identification.request, "i-1", 1.0)
    return identification.result, sent.split(b"\r\n")


class TestIdentifiedRequests:
    """Guard against a key at a server, and a customer that the caller chose."""

    @pytest.mark.parametrize("is_public", [False, True])
    @pytest.mark.parametrize(
        "lines",
        [
            (TOKEN,),
            (TOKEN.lower(),),
            (TOKEN, TOKEN.replace(b"Auth", b"AUTH")),
            (TOKEN, b"Connection: Authorization, Bramleyrouter-Tenant"),
            (TOKEN, b"bramleyrouter-tenant: other", b"Bramleyrouter_Tenant: other"),
            (TOKEN.replace(b" T", b" \t t") + b" \t",),
        ],
    )
    def test_the_server_gets_the_customer_and_no_key(self, lines, is_public):
        result, sent = forward(*lines, is_public=is_public)
        assert result is IdentityResult.IDENTIFIED
        named = [line for line in sent if b"tenant" in line.lower()]
        assert named == ["Bramleyrouter-Tenant: Caf\u00e9".encode()]
        assert WIRE_KEY not in b"".join(sent)
        assert not any(line.lower().startswith(b"authorization") for line in sent)


class TestOtherRequests:
    """Guard against keys that are accepted wrongly, and changes without customers."""

    @pytest.mark.parametrize(
        ("lines", "passed"),
        [
            ((), []),
            ((BASIC,), [BASIC]),
            ((b"Authorization: Token",), []),
            ((TOKEN + b"x",), []),
            ((TOKEN, TOKEN + b"x"), []),
            ((TOKEN, BASIC), [BASIC]),
            ((BASIC + b", Token " + WIRE_KEY,), []),
            ((b"Bramleyrouter-Tenant: other",), []),
        ],
    )
    def test_without_a_known_key_only_public_routes_are_served(self, lines, passed):
        refused, _ = forward(*lines)
        assert refused in (IdentityResult.NO_KEY, IdentityResult.UNKNOWN_KEY)
        result, sent = forward(*lines, is_public=True)
        assert result is IdentityResult.ANONYMOUS
        names = (b"authorization", b"bramleyrouter-tenant")
        assert [line for line in sent if line.lower().startswith(names)] == passed

    @pytest.mark.parametrize("tenants", [None, []])
    def test_without_customers_everything_passes(self, tenants):
        lines = (TOKEN, BASIC, b"Bramleyrouter-Tenant: other")
        result, sent = forward(*lines, tenants=tenants)
        assert result is IdentityResult.UNCHECKED
        assert set(lines) <= set(sent)

    def test_a_refusal_names_the_scheme(self):
        status, headers, _ = encode_reply(GatewayReply(ReplyKind.UNAUTHORIZED), "q1")
        assert (status, headers["WWW-Authenticate"]) == (401, "Token")


class TestOpenConnections:
    """Guard against a withdrawn key that stays valid, and keys in log lines."""

    def test_a_withdrawn_key_is_refused_on_an_open_connection(self, caplog):
        caplog.set_level(logging.WARNING)

        async def scenario():
            # The harness sets back a clock that only virtual time has.
            asyncio.get_running_loop().virtual_now = 0.0
            harness = build_harness([], [build_row("a0")])
            address = reserve_address()
            listener = listen_callers(address, harness.gateway.handle, CallerLimits())
            reader, writer = await asyncio.open_connection(*address.split(":"))
            statuses = []
            for name in ("Caf\u00e9", "other"):
                tenants = [{"name": name, "apiKeys": [KEY] if name != "other" else []}]
                decoded = decode_route_table(document(tenants=tenants)).ok_value
                harness.gateway.set_table(decoded)
                head = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\n" + TOKEN
                writer.write(head + b"\r\n\r\n")
                statuses.append((await read_reply(reader))[0])
            # The listener refuses a value that ends a line early and logs it.
            writer.write(head + b"\x00\r\n\r\n")
            await reader.read()
            writer.close()
            listener.server.stop()
            return statuses, harness

        statuses, harness = asyncio.run(scenario())
        assert statuses == [200, 401]
        assert len(harness.servers.arrivals) == 1
        assert "-k1" not in caplog.text + str(harness.events)
