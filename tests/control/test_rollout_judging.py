"""Tests of what the leader knows of rollouts: their age and the newest reports."""

import pytest

from bramleyrouter.control.rollout_judging import (
    LEADER_WAIT_S,
    REPLAY_S,
    JudgeState,
    decide,
    note_open_rollouts,
    store_report,
)
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.fleet.version_reports import Cell, VersionReport

ROLLOUT = VersionRollout(7, "s0", "v2", 12.0, 1_000_000)


def build_state(now_s, wall_s=1000.0, leading_since=0.0):
    state = JudgeState(lambda: now_s[0], lambda: wall_s, 0.0)
    state.leading_since = leading_since
    return state


def build_report(start, errors, good=0):
    return VersionReport(start, "s0", 7, (Cell(True, "r", 0, errors, {9: good}),))


class TestAges:
    """Guard against a clock that was stepped and ends a rollout at once."""

    @pytest.mark.parametrize(
        ("now_s", "wall_s", "age_s"),
        [(1.0, 1004.0, 4.0), (1.0, 9000.0, 12.0), (1.0, 900.0, 0.0)],
    )
    def test_order_from_the_log_of_an_earlier_run(self, now_s, wall_s, age_s):
        state = build_state([now_s], wall_s)
        note_open_rollouts(state, [ROLLOUT])
        assert state.started_at[7] == now_s - age_s

    def test_order_that_arrives_now_has_no_age_whatever_the_clock_says(self):
        state = build_state([REPLAY_S + 1.0], 9000.0)
        note_open_rollouts(state, [ROLLOUT])
        assert state.started_at[7] == REPLAY_S + 1.0


class TestReports:
    """Guard against counts that are lost, doubled or of another rollout."""

    def test_each_start_counts_once_and_older_reports_change_nothing(self):
        now_s = [6.0]
        state = build_state(now_s)
        note_open_rollouts(state, [ROLLOUT])
        for start, errors in ((1, 2), (1, 1), (2, 1), (1, 2)):
            store_report(state, "e0", build_report(start, errors))
        now_s[0] += LEADER_WAIT_S
        verdict = decide(state, ROLLOUT)
        assert verdict.state is RolloutState.ROLLED_BACK
        assert verdict.reason.startswith("3 of 3 answers bad")
        note_open_rollouts(state, [])
        store_report(state, "e0", build_report(1, 2))
        assert state.reports == {}

    def test_new_leader_waits_for_reports_but_not_beyond_the_time_limit(self):
        now_s = [6.0]
        state = build_state(now_s, leading_since=10.0)
        note_open_rollouts(state, [ROLLOUT])
        now_s[0] = 15.1
        state.leading_since = 15.0
        assert decide(state, ROLLOUT) is None
        now_s[0] = 17.5
        assert decide(state, ROLLOUT).state is RolloutState.ROLLED_BACK
        state.leading_since = None
        assert decide(state, ROLLOUT) is None
