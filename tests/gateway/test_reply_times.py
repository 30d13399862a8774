"""Tests of when a gather replies with what has arrived."""

import socket

import pytest

from bramleyrouter.gateway.exchanges import ReplyKind
from bramleyrouter.gateway.reply_times import (
    DEFAULT_NETWORK_S,
    LAG_HALF_LIFE_S,
    MAX_RESERVED_SHARE,
    LoopLag,
    compute_network_time,
    compute_reserved_time,
    estimate_lag,
    record_lateness,
)
from bramleyrouter.utils.round_trips import measure_round_trip
from tests.support.gateway_fakes import (
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
)
from tests.support.virtual_time import run_virtual


class TestNetworkTime:
    def test_a_new_connection_takes_another_round_trip(self):
        assert compute_network_time(0.002, False) == pytest.approx(0.003)
        assert compute_network_time(0.002, True) == pytest.approx(0.005)
        assert compute_network_time(None, True) == DEFAULT_NETWORK_S

    def test_the_round_trip_of_a_connection_is_measured(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            with socket.create_connection(server.getsockname()) as conn:
                round_trip_s = measure_round_trip(conn)
        if hasattr(socket, "TCP_INFO"):
            assert round_trip_s is not None and 0 < round_trip_s < 0.5
        else:
            assert round_trip_s is None

    def test_a_socket_without_a_round_trip_has_none(self):
        first, second = socket.socketpair()
        with first, second:
            assert measure_round_trip(first) is None
        assert measure_round_trip(None) is None


class TestReservedTime:
    def test_examples(self):
        assert compute_reserved_time(0.1, 0.012, 0.0, 0.5) == pytest.approx(0.016)
        assert compute_reserved_time(0.1, 0.012, 0.003, 0.5) == pytest.approx(0.022)

    def test_servers_keep_the_larger_part(self):
        """Guards against a gather that gives its servers no time on a busy VM."""
        reserved_s = compute_reserved_time(0.056, 0.4, 0.2, 0.05)
        assert reserved_s == pytest.approx(MAX_RESERVED_SHARE * 0.056)


class TestLag:
    def test_the_average_follows_the_lateness_and_decays(self):
        lag = LoopLag()
        for at in range(100):
            record_lateness(lag, 0.01, at * 0.01)
        assert estimate_lag(lag, 1.0) == pytest.approx(0.01, rel=0.1)
        later = estimate_lag(lag, 0.99 + LAG_HALF_LIFE_S)
        assert later == pytest.approx(lag.average_s / 2)

    def test_early_timers_count_as_none(self):
        lag = LoopLag()
        record_lateness(lag, -0.001, 1.0)
        assert lag.average_s == 0.0


class TestGathers:
    @pytest.mark.parametrize(
        "network_s, included", [(0.003, 4), (0.012, 3)], ids=["near", "far"]
    )
    def test_a_near_caller_gets_what_arrives_later(self, network_s, included):
        """Guards against a fixed part of each objective kept for a far network."""

        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            harness = build_harness([build_gather_route(4, objective_s=0.058)], rows)
            harness.servers.behaviours["a3"] = answer_after(0.05)
            fut = harness.servers.loop.create_future()
            harness.gateway.handle(build_request(), fut.set_result, network_s)
            started = harness.servers.loop.time()
            reply = await fut
            assert reply.kind is ReplyKind.GATHERED
            assert len(reply.signatures) == included
            assert harness.servers.loop.time() - started + network_s <= 0.058

        run_virtual(scenario())
