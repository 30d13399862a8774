"""Property tests of the share of a version on trial, over simulated entry daemons."""

import random

import pytest

from bramleyrouter.fleet.records import VersionedRow
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.gateway.servers import TrackedServer
from bramleyrouter.gateway.version_shares import (
    VersionShare,
    compute_allowance,
    may_try,
    split_servers,
)
from tests.support.rollout_simulation import LIMITS, Load, simulate

LOADS = {
    "reference": Load(),
    "few daemons get all": Load(daemons_used=3),
    "high rate": Load(rate=300.0),
    "late news": Load(news_s=3.0),
    "restarts": Load(restarts=25),
    "cut off": Load(cut_off=20, rate=60.0),
    "large fleet": Load(daemons=2300, daemons_used=2300, rate=200.0),
}


def build_good(seed):
    """Return answers of two equal versions, 3 of 100 during a pause of 0.2 s."""
    rng = random.Random(seed)

    def answer(is_trial, route, now):
        latency_s = {"fast": 0.02, "slow": 0.06}[route] * rng.lognormvariate(0.0, 0.3)
        return latency_s + (0.2 if rng.random() < 0.03 else 0.0)

    return answer


def build_bad(seed, is_bad, factor=None):
    """Return answers of which ``is_bad(route, now, rng)`` fail or take longer."""
    good, rng = build_good(seed), random.Random(-seed)

    def answer(is_trial, route, now):
        latency_s = good(is_trial, route, now)
        if not is_trial or not is_bad(route, now, rng):
            return latency_s
        return latency_s * factor if factor else None

    return answer


class TestExposure:
    """Guard against more requests to a bad version than its bound allows."""

    @pytest.mark.parametrize("name", LOADS)
    @pytest.mark.parametrize("seed", range(3))
    def test_bound_holds_over_all_daemons(self, name, seed):
        # A good version uses its share to the end, so it comes closest to the bound.
        found = simulate(seed, LOADS[name], build_good(seed))
        assert found.trial <= LIMITS.canary_share * found.total + LIMITS.canary_slack
        assert found.trial_after == 0

    @pytest.mark.parametrize("seed", range(3))
    def test_nothing_is_sent_long_after_the_50th_bad_answer(self, seed):
        # Daemons that are cut off keep answering as before, without any news.
        load = Load(rate=500.0, duration_s=40.0, cut_off=20)
        fails_later = build_bad(seed, lambda route, now, rng: now > 5)
        found = simulate(seed, load, fails_later)
        assert found.state is RolloutState.ROLLED_BACK
        assert found.late == 0

    def test_nothing_is_tried_without_a_known_number_of_daemons(self):
        rollout = VersionRollout(1, "search", "v2", 12.0, 0)
        share = VersionShare(rollout, 0.0, 0.99, arrived=1000)
        assert may_try(share, LIMITS, 62, 0.0, 1.0)
        assert not may_try(share, LIMITS, None, 0.0, 1.0)
        assert not may_try(share, LIMITS, 62, LIMITS.rollback_s, 1.0)
        assert not may_try(share, LIMITS, 62, 0.0, 12.0)

    @pytest.mark.parametrize("daemons", [1, 62, 2300, 100_000])
    def test_offsets_of_all_daemons_fit_in_the_slack(self, daemons):
        # Rounding errors are at most half of the square root of the number, six times.
        rollout = VersionRollout(1, "s", "v2", 12.0, 0, RolloutState.PROMOTING)
        share = VersionShare(rollout, 0.0, 0.5)
        mean = compute_allowance(share, LIMITS, daemons, 12.0) - 0.5
        noise = 6 * 0.5 * daemons**0.5
        assert mean * daemons + noise <= LIMITS.canary_slack + 1e-6


class TestVerdicts:
    """Guard against verdicts that are wrong or too late."""

    @pytest.mark.parametrize("seed", range(6))
    def test_good_version_succeeds_in_time(self, seed):
        found = simulate(seed, Load(), build_good(seed))
        assert found.state is RolloutState.SUCCEEDED
        assert found.ended_at <= Load().duration_s - 0.75

    @pytest.mark.parametrize("seed", range(6))
    def test_slow_moment_of_the_service_is_no_reason(self, seed):
        good = build_good(seed)

        def answer(is_trial, route, now):
            return good(is_trial, route, now) * (4 if 4 <= now < 6 else 1)

        found = simulate(seed, Load(), answer)
        assert found.state is RolloutState.SUCCEEDED

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("is_bad", "factor"),
        [
            (lambda route, now, rng: rng.random() < 1 / 3, None),
            (lambda route, now, rng: rng.random() < 1 / 3, 4.0),
            (lambda route, now, rng: route == "slow", 4.0),
            (lambda route, now, rng: True, 3.0),
            (lambda route, now, rng: now > 6, None),
        ],
    )
    def test_bad_version_is_rolled_back_in_time(self, seed, is_bad, factor):
        found = simulate(seed, Load(), build_bad(seed, is_bad, factor))
        assert found.state is RolloutState.ROLLED_BACK
        assert found.ended_at <= Load().duration_s - 0.75


class TestSplits:
    """Guard against servers that get requests in a state that excludes them."""

    def split(self, state, versions, may_try_next=False, rejected=()):
        rollout = VersionRollout(1, "s", "v2", 12.0, 0, state, rejected)
        servers = [
            TrackedServer(
                VersionedRow(f"i-{at}", 1, 1, "s", "10.0.0.1:1", "a", 2, version=name)
            )
            for at, name in enumerate(versions)
        ]
        split = split_servers(VersionShare(rollout, 0.0, 0.0), servers, may_try_next)
        return [
            [server.row.version for server in part]
            for part in (split.first, split.others)
        ]

    def test_each_state(self):
        state, both = RolloutState, ("v1", "v2")
        assert self.split(state.ACTIVE, both) == [[], ["v1"]]
        assert self.split(state.ACTIVE, both, True) == [["v2"], ["v1"]]
        assert self.split(state.ACTIVE, ("v2",)) == [[], []]
        assert self.split(state.SUCCEEDED, both) == [[], ["v2"]]
        assert self.split(state.SUCCEEDED, ("v1",)) == [[], ["v1"]]
        assert self.split(state.ROLLED_BACK, both, True, ("v2",)) == [[], ["v1"]]
        assert self.split(state.ACTIVE, ("v0", "v1"), False, ("v0",)) == [[], ["v1"]]

    def test_unknown_version_is_used_only_without_a_known_one(self):
        assert self.split(RolloutState.ACTIVE, ("", "v1")) == [[], ["v1"]]
        assert self.split(RolloutState.ACTIVE, ("", "v2")) == [[], [""]]
