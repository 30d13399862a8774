"""Tests of bounds that all entry daemons share, summed over a large fleet."""

import pytest

from bramleyrouter.gateway.attempts import compute_connection_share
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    choose_server,
    compute_cold_interval,
    record_sent,
)
from tests.support.gateway_fakes import HERE, build_row

COLD_RATE, COLD_FACTOR, COLD_SLACK = 10.0, 1.5, 5.0


class TestConnections:
    """Guard against more connections to a server than it accepts."""

    @pytest.mark.parametrize("max_connections, daemons", [(560, 84), (64, 60)])
    def test_the_shares_of_all_daemons_fit(self, max_connections, daemons):
        share = compute_connection_share(max_connections, daemons)
        assert share * daemons <= max_connections

    def test_the_shares_fit_if_there_are_more_daemons_than_connections(self):
        assert compute_connection_share(54, 65) * 65 <= 54


def count_cold_requests(daemons, seconds):
    """Return the requests to a server that just became cold, within some seconds."""
    interval_s = compute_cold_interval(COLD_RATE, COLD_FACTOR, COLD_SLACK, daemons)
    requests = 0
    for _ in range(daemons):
        server = TrackedServer(build_row("i-1"), cold_until=60.0)
        for step in range(int(1000 * seconds)):
            context = ChoiceContext(step / 1000, HERE, frozenset(), interval_s)
            if choose_server([server], context) is not None:
                record_sent(server, context)
                requests += 1
    return requests


class TestColdServers:
    """Guard against more requests to a cold server than its rate allows."""

    @pytest.mark.parametrize("daemons", [1, 8])
    def test_the_first_second_of_a_small_fleet(self, daemons):
        allowed = COLD_RATE * COLD_FACTOR + COLD_SLACK
        assert count_cold_requests(daemons, 1.0) <= allowed

    def test_the_first_second_of_a_large_fleet(self):
        allowed = COLD_RATE * COLD_FACTOR + COLD_SLACK
        assert count_cold_requests(65, 1.0) <= allowed
