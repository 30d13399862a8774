"""Property tests of the bounds that a requesting daemon and its relays share."""

from collections import defaultdict

import pytest

from bramleyrouter.gateway.budgets import ExtraLimits
from tests.support.delegation_schedules import REQUESTS, Load, play
from tests.support.virtual_time import run_virtual

SEEDS = range(60)
# The window is as long as the time limit of a request, so that waits matter.
EXTRA = ExtraLimits(ratio=0.2, slack=2.0, window_s=1.0)
BUSY = Load(requests=80, interval_s=0.025, daemons=5, extra=EXTRA)


def find_excess(schedule, attempts):
    """Return the shards of requests that ran at more servers than allowed."""
    return {
        key: servers
        for key, servers in schedule.runs.items()
        if len(servers) > attempts
    }


def list_extra_arrivals(schedule):
    """Return the times of the arrivals beyond a request's first, by service."""
    seen, extras = set(), defaultdict(list)
    for arrival in schedule.arrivals:
        key = (arrival.request_id, arrival.service)
        if key in seen:
            extras[arrival.service].append(arrival.at)
        seen.add(key)
    return extras


def count_allowed(schedule, start):
    """Return how many extra sends the window that begins at ``start`` allows.

    The window may be compared with the requests of an earlier one, as these may cause
    extra sends in it.
    """
    most = max(
        sum(begin <= at < begin + EXTRA.window_s for at in schedule.requested_at)
        for begin in (start, start - EXTRA.window_s / 2, start - EXTRA.window_s)
    )
    return EXTRA.ratio * most + EXTRA.slack


class TestServersPerShard:
    """Guard against a shard that runs at more servers than its route allows.

    A requesting daemon gave up a late relay and used the second server itself, while
    the relay, which had not received the cancellation, sent the shard to a second
    server as well.
    """

    @pytest.mark.parametrize("restarts", [0, 3])
    @pytest.mark.parametrize("attempts", [1, 2, 3])
    def test_no_schedule_exceeds_the_attempts_of_a_route(self, attempts, restarts):
        broken = {}
        for seed in SEEDS:
            schedule = run_virtual(play(seed, attempts, restarts))
            if excess := find_excess(schedule, attempts):
                broken[seed] = excess
        assert not broken

    def test_no_schedule_exceeds_them_while_callers_leave(self):
        broken, replies = {}, 0
        for seed in SEEDS:
            schedule = run_virtual(play(seed, load=Load(leaving_share=0.5)))
            replies += len(schedule.replies)
            if excess := find_excess(schedule, 2):
                broken[seed] = excess
        assert not broken
        assert replies < 0.8 * REQUESTS * len(SEEDS)

    def test_every_caller_gets_one_reply(self):
        for seed in SEEDS:
            schedule = run_virtual(play(seed))
            assert len(schedule.replies) == REQUESTS
            assert set(schedule.replies.values()) == {1}


class TestExtraSendsOfAllDaemons:
    """Guard against more extra sends to a service than all daemons together may use.

    Requesting daemons and relays send them for the same requests, each from its own
    part of the bound.
    """

    @pytest.mark.parametrize("seed", range(10))
    def test_no_schedule_exceeds_the_bound_in_any_window(self, seed):
        schedule = run_virtual(play(seed, load=BUSY))
        extras = list_extra_arrivals(schedule)
        assert sum(len(times) for times in extras.values()) > 50
        for times in extras.values():
            for start in times:
                count = sum(start <= at < start + EXTRA.window_s for at in times)
                assert count <= count_allowed(schedule, start)
