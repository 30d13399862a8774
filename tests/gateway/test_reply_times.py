"""Tests of when a gather replies with what has arrived."""

import socket

import pytest

from bramleyrouter.gateway.exchanges import ReplyKind
from bramleyrouter.gateway.reply_times import (
    LAG_HALF_LIFE_S,
    MAX_RESERVED_SHARE,
    MIN_NETWORK_S,
    LoopLag,
    compute_network_time,
    compute_reserved_time,
    estimate_lag,
    record_lateness,
)
from bramleyrouter.utils.sockets import measure_round_trip
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
        assert compute_network_time(0.02, False) == pytest.approx(0.021)
        assert compute_network_time(0.02, True) == pytest.approx(0.041)
        assert compute_network_time(0.002, True) == MIN_NETWORK_S
        assert compute_network_time(None, True) == MIN_NETWORK_S

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
        assert compute_reserved_time(0.1, 0.012, 0.003, 0.5) == pytest.approx(0.019)

    def test_servers_keep_the_larger_part(self):
        """Guards against a gather that gives its servers no time on a busy VM."""
        reserved_s = compute_reserved_time(0.056, 0.4, 0.2, 0.05)
        assert reserved_s == pytest.approx(MAX_RESERVED_SHARE * 0.056)


class TestLag:
    def test_the_average_follows_the_lateness_and_decays(self):
        lag = LoopLag()
        for at in range(300):
            record_lateness(lag, 0.01, at * 0.001)
        assert estimate_lag(lag, 0.3) == pytest.approx(0.01, rel=0.1)
        later = estimate_lag(lag, lag.at + LAG_HALF_LIFE_S)
        assert later == pytest.approx(estimate_lag(lag, lag.at) / 2)

    def test_most_timers_are_less_late_than_the_estimate(self):
        lag = LoopLag()
        for at in range(300):
            record_lateness(lag, 0.02 if at % 5 == 0 else 0.002, at * 0.001)
        assert 0.012 < estimate_lag(lag, 0.3) < 0.03

    def test_early_timers_count_as_none(self):
        lag = LoopLag()
        record_lateness(lag, -0.001, 1.0)
        assert lag.average_s == 0.0


class TestGathers:
    @pytest.mark.parametrize(
        "network_s, included", [(0.012, 4), (0.02, 3)], ids=["near", "far"]
    )
    def test_the_reply_to_a_far_caller_leaves_earlier(self, network_s, included):
        """Guards against late answers to callers that are far away."""

        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            harness = build_harness([build_gather_route(4, objective_s=0.058)], rows)
            harness.servers.behaviours["a3"] = answer_after(0.04)
            fut = harness.servers.loop.create_future()
            harness.gateway.handle(build_request(), fut.set_result, network_s)
            started = harness.servers.loop.time()
            reply = await fut
            assert reply.kind is ReplyKind.GATHERED
            assert len(reply.signatures) == included
            assert harness.servers.loop.time() - started + network_s <= 0.058

        run_virtual(scenario())
