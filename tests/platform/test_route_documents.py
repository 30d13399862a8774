"""Tests of the decoding of route tables."""

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.gateway.checks import check_table
from bramleyrouter.gateway.customers import compute_key_digest
from bramleyrouter.gateway.tables import RequestKind
from bramleyrouter.platform.route_documents import (
    _DOCUMENT_DECODER,
    decode_route_table,
)

ROUTE = {
    "name": "r1",
    "host": "h.example",
    "pathPrefix": "/a/",
    "type": "idempotent",
    "timeoutMs": 1200,
    "sloMs": 95,
    "priority": 2,
    "service": "s0",
    "attempts": 2,
}
SERVICE = {"name": "s0", "maxConns": 31, "warmupS": 3.0, "warmupPerS": 8.0}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def document(*routes, **fields):
    value = {"version": 7, "routes": routes or (ROUTE,), "services": [SERVICE]}
    return msgspec.json.encode({**value, "limits": LIMITS, **fields})


class TestDecodeRouteTable:
    """Guard against misread fields, and routes that wrongly become idempotent."""

    def test_route_to_one_service(self):
        table = decode_route_table(document()).ok_value
        route = table.routes[0]
        assert table.version == 7
        assert (route.timeout_s, route.objective_s) == (1.2, 0.095)
        assert route.kind is RequestKind.IDEMPOTENT
        assert [part.service for part in route.targets] == ["s0"]
        assert table.services[0].cold_rate == 8.0
        assert table.limits.idle_timeout_s == 15.0
        assert check_table(table) == ()

    def test_gather_route(self):
        route = {**ROUTE, "gather": ["s0"], "topK": 20, "minCoverage": 0.89}
        del route["service"]
        decoded = decode_route_table(document(route)).ok_value.routes[0]
        assert decoded.shards == ("s0",)
        assert (decoded.top_records, decoded.min_coverage) == (20, 0.89)

    def test_traffic_split(self):
        split = [{"service": "s0", "weight": 3}, {"service": "s1", "weight": 1}]
        route = {**ROUTE, "trafficSplit": split}
        del route["service"]
        decoded = decode_route_table(document(route)).ok_value.routes[0]
        assert [part.weight for part in decoded.targets] == [3.0, 1.0]

    def test_unknown_kind_must_not_run_twice(self):
        decoded = decode_route_table(document({**ROUTE, "type": "other"})).ok_value
        assert decoded.routes[0].kind is RequestKind.NON_IDEMPOTENT

    def test_unknown_fields_are_ignored(self):
        assert isinstance(decode_route_table(document(later=1)), Ok)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            document()[:-7],
            b"[]",
            b"\xff\xfe",
            document(version="7"),
            document({**ROUTE, "timeoutMs": None}),
        ],
    )
    def test_undecodable_document_is_rejected(self, body):
        assert isinstance(decode_route_table(body), Err)


KEY = "s3cret-k1"


class TestCustomers:
    """Guard against misread customers, and keys in texts that are logged."""

    def test_customers_hold_digests_and_no_keys(self):
        tenant = {"name": "a", "apiKeys": [KEY, ""], "ratePerS": 2, "priority": 3}
        body = document({**ROUTE, "public": True}, tenants=[tenant, {"name": "b"}])
        table = decode_route_table(body).ok_value
        first, second = table.customers
        assert first.key_digests == (compute_key_digest(KEY.encode()),)
        assert (first.rate_per_s, first.burst, first.priority) == (2.0, 0.0, 3)
        assert (second.key_digests, second.rate_per_s) == ((), 0.0)
        assert table.routes[0].is_public
        assert check_table(table) == ()
        assert KEY not in repr(table) + repr(_DOCUMENT_DECODER.decode(body))

    @pytest.mark.parametrize(
        ("tenants", "code"),
        [
            ([{"name": "a"}, {"name": "a"}], "E001"),
            (
                [{"name": "a", "apiKeys": [KEY]}, {"name": "b", "apiKeys": [KEY]}],
                "E002",
            ),
            ([{"name": ""}], "E003"),
            ([{"name": "a", "ratePerS": -1}], "E004"),
            ([{"name": "a", "burst": -0.5}], "E004"),
            ([{"name": "a\r\nX: 1", "apiKeys": [KEY]}], "E005"),
        ],
    )
    def test_invalid_customers_are_found(self, tenants, code):
        findings = check_table(decode_route_table(document(tenants=tenants)).ok_value)
        assert [item.code for item in findings] == [f"customers.{code}"]
        assert KEY not in str(findings)

    @pytest.mark.parametrize(
        "tenants",
        [
            KEY,
            [KEY],
            {KEY: 1},
            [{"name": "a", "apiKeys": KEY}],
            [{"name": "a", "apiKeys": {KEY: KEY}}],
            [{"name": "a", "apiKeys": [KEY, 5]}],
            [{"apiKeys": [KEY]}],
            [{"name": "a", "ratePerS": KEY}],
            [{"name": "a", "priority": KEY}],
        ],
    )
    def test_a_decoding_error_holds_no_key(self, tenants):
        failure = decode_route_table(document(tenants=tenants)).err_value
        assert KEY not in str(failure) + repr(failure)

    @pytest.mark.parametrize("end", [b"", b"\xff", b'\\ud800"', b"\x00", b'": 1e999'])
    def test_an_error_of_a_malformed_document_holds_no_key(self, end):
        body = document(tenants=[{"name": "a", "apiKeys": [KEY]}])
        failure = decode_route_table(body.partition(b'"]')[0] + end).err_value
        assert KEY not in str(failure) + repr(failure)
        rate = body.replace(b'"name":"a"', b'"name":"a","ratePerS":1e999')
        assert KEY not in str(decode_route_table(rate).err_value)
