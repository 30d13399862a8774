"""Property tests of the bounds that a requesting daemon and its relays share."""

import pytest

from tests.support.delegation_schedules import REQUESTS, play
from tests.support.virtual_time import run_virtual

SEEDS = range(60)


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
            excess = [
                (key, servers)
                for key, servers in schedule.runs.items()
                if len(servers) > attempts
            ]
            if excess:
                broken[seed] = excess[0]
        assert not broken

    def test_every_caller_gets_one_reply(self):
        for seed in SEEDS:
            schedule = run_virtual(play(seed))
            assert len(schedule.replies) == REQUESTS
            assert set(schedule.replies.values()) == {1}
