"""Tests of the decoding of route tables."""

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.gateway.checks import check_table
from bramleyrouter.gateway.tables import RequestKind
from bramleyrouter.platform.route_documents import decode_route_table

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
