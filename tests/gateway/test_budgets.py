import random

from bramleyrouter.gateway.budgets import (
    ExtraBudget,
    ExtraLimits,
    count_request,
    try_consume_extra_send,
)
from bramleyrouter.ids import ServiceName

SERVICE = ServiceName("s0")
LIMITS = ExtraLimits(ratio=0.2, slack=40.0, window_s=10.0)


def assert_bounded(requests, extras):
    """Check every window that starts at an extra send."""
    for start in extras:
        taken = sum(start <= at < start + 10.0 for at in extras)
        asked = sum(start <= at < start + 10.0 for at in requests)
        assert taken <= LIMITS.ratio * asked + LIMITS.slack


class TestExtraBudget:
    def test_every_window_keeps_the_bound_over_all_daemons(self):
        # Eight daemons that can't hear each other, with bursts of requests and
        # a wish for an extra send at each one.
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
            if try_consume_extra_send(budget, SERVICE):
                extras.append(now[0])
        assert len(extras) > 0.15 * len(requests)
        assert_bounded(requests, extras)

    def test_the_bound_holds_while_the_load_falls(self):
        # Each daemon counts its requests up to its own last extra send. With a
        # falling load these are more than those of the window that counts
        # (BUDGET by one on hunt-d9fe-11).
        rng = random.Random(5)
        now = [0.0]
        daemons = [
            ExtraBudget(LIMITS, lambda: now[0], lambda: 8, -10.0) for _ in range(8)
        ]
        requests, extras = [], []
        while now[0] < 40.0:
            now[0] += rng.expovariate(60.0 if now[0] < 20.0 else 30.0)
            alive = daemons if now[0] < 22.0 else daemons[:5]
            budget = rng.choice(alive)
            count_request(budget, SERVICE)
            requests.append(now[0])
            if try_consume_extra_send(budget, SERVICE):
                extras.append(now[0])
        assert_bounded(requests, extras)

    def test_hedges_leave_room_for_retries(self):
        budget = ExtraBudget(LIMITS, lambda: 1.0, lambda: 1, -10.0)
        while try_consume_extra_send(budget, SERVICE, is_hedge=True):
            pass
        assert try_consume_extra_send(budget, SERVICE)

    def test_services_do_not_share(self):
        budget = ExtraBudget(LIMITS, lambda: 1.0, lambda: 8, -10.0)
        while try_consume_extra_send(budget, SERVICE):
            pass
        assert try_consume_extra_send(budget, ServiceName("other"))

    def test_the_budget_comes_back_after_the_window(self):
        now = [0.0]
        budget = ExtraBudget(LIMITS, lambda: now[0], lambda: 1, -10.0)
        while try_consume_extra_send(budget, SERVICE):
            pass
        now[0] = 9.9
        assert not try_consume_extra_send(budget, SERVICE)
        now[0] = 10.6
        assert try_consume_extra_send(budget, SERVICE)

    def test_a_restart_does_not_double_the_constant(self):
        # Entry daemons that are restarted in turn forget what they sent.
        now = [0.0]
        fresh = ExtraBudget(LIMITS, lambda: now[0], lambda: 1, 0.0)
        assert not try_consume_extra_send(fresh, SERVICE)
        now[0] = 5.0
        taken = 0
        while try_consume_extra_send(fresh, SERVICE):
            taken += 1
        assert taken <= LIMITS.slack / 2
