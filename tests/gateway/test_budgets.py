"""Tests of the budget of extra sends."""

import random

from bramleyrouter.gateway.budgets import (
    ExtraBudget,
    ExtraLimits,
    count_request,
    end_extra_send,
    try_consume_extra_send,
)
from bramleyrouter.ids import ServiceName

SERVICE = ServiceName("s0")
LIMITS = ExtraLimits(ratio=0.2, slack=40.0, window_s=10.0)


def assert_bounded(requests, extras):
    """Assert the bound in every window that starts at an extra send."""
    for start in extras:
        extra_count = sum(start <= at < start + 10.0 for at in extras)
        request_count = sum(start <= at < start + 10.0 for at in requests)
        assert extra_count <= LIMITS.ratio * request_count + LIMITS.slack


def send_extra(budget):
    """Return whether an extra send is allowed; if so, its exchange ends at once."""
    is_allowed = try_consume_extra_send(budget, SERVICE)
    if is_allowed:
        end_extra_send(budget, SERVICE, may_have_arrived=True)
    return is_allowed


class TestExtraBudget:
    def test_extra_sends_of_all_daemons_stay_bounded_in_every_window(self):
        # Eight daemons that can't communicate, with bursts of requests and an attempt
        # at an extra send for each request.
        rng = random.Random(3)
        now = [0.0]
        daemons = [
            ExtraBudget(LIMITS, lambda: now[0], lambda: 8, -10.0) for _ in range(8)
        ]
        requests, extras = [], []
        while now[0] < 60.0:
            rate = 200.0 if int(now[0]) % 13 == 5 else 20.0
            now[0] += rng.expovariate(rate)
            budget = rng.choice(daemons)
            count_request(budget, SERVICE)
            requests.append(now[0])
            if send_extra(budget):
                extras.append(now[0])
        assert len(extras) > 0.15 * len(requests)
        assert_bounded(requests, extras)

    def test_extra_sends_stay_bounded_while_the_load_falls(self):
        # Guards against exceeding the bound by one extra send. Each daemon counts its
        # requests up to its own last extra send; under falling load these are more than
        # the requests within the window.
        rng = random.Random(5)
        now = [0.0]
        daemons = [
            ExtraBudget(LIMITS, lambda: now[0], lambda: 8, -10.0) for _ in range(8)
        ]
        requests, extras = [], []
        while now[0] < 40.0:
            now[0] += rng.expovariate(60.0 if now[0] < 20.0 else 30.0)
            running = daemons if now[0] < 22.0 else daemons[:5]
            budget = rng.choice(running)
            count_request(budget, SERVICE)
            requests.append(now[0])
            if send_extra(budget):
                extras.append(now[0])
        assert_bounded(requests, extras)

    def test_daemons_that_do_not_know_their_number_stay_within_the_constant(self):
        """Guard against an assumed number that is smaller than the fleet."""
        now = [5.0]
        daemons = [
            ExtraBudget(LIMITS, lambda: now[0], lambda: None, -10.0) for _ in range(84)
        ]
        extras = sum(
            try_consume_extra_send(budget, SERVICE)
            for budget in daemons
            for _ in range(10)
        )
        assert extras <= LIMITS.slack

    def test_the_share_of_requests_needs_no_number_of_daemons(self):
        budget = ExtraBudget(LIMITS, lambda: 5.0, lambda: None, -10.0)
        for _ in range(100):
            count_request(budget, SERVICE)
        assert try_consume_extra_send(budget, SERVICE)

    def test_hedges_leave_budget_for_retries(self):
        budget = ExtraBudget(LIMITS, lambda: 1.0, lambda: 1, -10.0)
        while try_consume_extra_send(budget, SERVICE, is_hedge=True):
            pass
        assert try_consume_extra_send(budget, SERVICE)

    def test_each_service_has_its_own_budget(self):
        budget = ExtraBudget(LIMITS, lambda: 1.0, lambda: 8, -10.0)
        while try_consume_extra_send(budget, SERVICE):
            pass
        assert try_consume_extra_send(budget, ServiceName("other"))

    def test_the_budget_is_restored_after_the_window(self):
        now = [0.0]
        budget = ExtraBudget(LIMITS, lambda: now[0], lambda: 1, -10.0)
        while send_extra(budget):
            pass
        now[0] = 9.9
        assert not send_extra(budget)
        now[0] = 10.6
        assert send_extra(budget)

    def test_an_extra_send_counts_until_a_window_after_its_end(self):
        # An extra send may arrive until its exchange has ended.
        now = [0.0]
        budget = ExtraBudget(LIMITS, lambda: now[0], lambda: 1, -10.0)
        while try_consume_extra_send(budget, SERVICE):
            pass
        now[0] = 30.0
        assert not try_consume_extra_send(budget, SERVICE)
        end_extra_send(budget, SERVICE, may_have_arrived=True)
        now[0] = 39.9
        assert not try_consume_extra_send(budget, SERVICE)
        now[0] = 40.6
        assert try_consume_extra_send(budget, SERVICE)

    def test_an_extra_send_that_did_not_arrive_is_available_again(self):
        budget = ExtraBudget(LIMITS, lambda: 1.0, lambda: 1, -10.0)
        while try_consume_extra_send(budget, SERVICE):
            pass
        end_extra_send(budget, SERVICE, may_have_arrived=False)
        assert try_consume_extra_send(budget, SERVICE)
        assert not try_consume_extra_send(budget, SERVICE)

    def test_a_restart_does_not_grant_the_constant_again(self):
        # A restarted daemon has lost the record of its earlier extra sends, so restarts
        # in turn must not grant the constant again each time.
        now = [0.0]
        restarted = ExtraBudget(LIMITS, lambda: now[0], lambda: 1, 0.0)
        assert not try_consume_extra_send(restarted, SERVICE)
        now[0] = 5.0
        consumed = 0
        while try_consume_extra_send(restarted, SERVICE):
            consumed += 1
        assert consumed <= LIMITS.slack / 2
