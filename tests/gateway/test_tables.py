"""Tests of the route table: matching routes and checking a table."""

from bramleyrouter.gateway.checks import check_table
from bramleyrouter.gateway.tables import (
    RouteTable,
    Service,
    WeightedService,
    build_index,
    match_route,
)
from bramleyrouter.ids import ServiceName, TableVersion
from tests.support.gateway_fakes import (
    HOST,
    build_gather_route,
    build_route,
    build_single_route,
)


def build_table(*routes, services=("s0", "s1")):
    known = tuple(Service(ServiceName(name)) for name in services)
    return RouteTable(TableVersion(1), tuple(routes), known)


class TestMatchRoute:
    def test_the_longest_prefix_wins(self):
        short = build_single_route(name="short", prefix="/a/")
        long = build_single_route(name="long", prefix="/a/b/")
        index = build_index(build_table(short, long))
        assert match_route(index, HOST, "/a/b/c").name == "long"
        assert match_route(index, HOST, "/a/bc").name == "short"

    def test_a_prefix_matches_whole_segments_only(self):
        index = build_index(build_table(build_single_route(prefix="/a/")))
        assert match_route(index, HOST, "/ab/c") is None
        assert match_route(index, HOST, "/a") is None

    def test_another_host_has_no_route(self):
        index = build_index(build_table(build_single_route(prefix="/")))
        assert match_route(index, "other.example", "/a") is None
        assert match_route(index, HOST, "/a").name == "r"


class TestCheckTable:
    def find_codes(self, *routes, **fields):
        return [finding.code for finding in check_table(build_table(*routes, **fields))]

    def test_a_valid_table_has_no_findings(self):
        assert (
            self.find_codes(build_single_route(), build_gather_route(2, prefix="/g/"))
            == []
        )

    def test_two_routes_with_one_host_and_prefix(self):
        assert self.find_codes(build_single_route(), build_single_route(name="b")) == [
            "routes.E001"
        ]

    def test_a_route_to_an_undefined_service(self):
        assert self.find_codes(build_single_route("unknown")) == ["routes.E002"]
        assert self.find_codes(build_gather_route(3)) == ["routes.E002"]

    def test_a_route_with_neither_service_nor_shards(self):
        assert self.find_codes(build_gather_route(0)) == ["routes.E003"]

    def test_a_split_without_positive_weight(self):
        split = (
            WeightedService(ServiceName("s0"), 0.0),
            WeightedService(ServiceName("s1"), 0.0),
        )
        assert self.find_codes(build_gather_route(0, targets=split)) == ["routes.E004"]

    def test_a_timeout_of_zero(self):
        assert self.find_codes(build_single_route(timeout_s=0.0)) == ["routes.E005"]

    def test_a_prefix_without_trailing_slash(self):
        assert self.find_codes(build_single_route(prefix="/a")) == ["routes.E006"]

    def test_a_shard_named_twice(self):
        doubled = (ServiceName("s0"), ServiceName("s0"))
        assert self.find_codes(build_route(shards=doubled)) == ["routes.E007"]
