"""Tests of the judgement of a server version on trial."""

import pytest

from bramleyrouter.control.version_judge import compare_versions, judge
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.fleet.version_reports import BUCKETS, Cell

ROLLOUT = VersionRollout(1, "search", "v2", 12.0, 0)
# Buckets of an ordinary and of a slow latency.
ORDINARY, SLOW = 20, 30


def build_cells(moments):
    """Build cells from (old good, old slow, new good, new slow) of each moment."""
    return [
        Cell(is_trial, "r", moment, 0, {ORDINARY: good, SLOW: slow})
        for moment, counts in enumerate(moments)
        for is_trial, (good, slow) in ((False, counts[:2]), (True, counts[2:]))
    ]


class TestComparison:
    """Guard against a verdict by chance, or by different times or routes."""

    def test_answers_of_one_slow_moment_are_compared_with_each_other(self):
        moments = [(20, 0, 1, 0)] * 8 + [(0, 12, 0, 6)]
        assert judge(ROLLOUT, build_cells(moments), 9.0).state is RolloutState.PROMOTING
        # The same answers, spread over the moments, are those of a bad version.
        spread = [(20, 1, 1, 1)] * 6 + [(20, 2, 1, 0)] * 3
        verdict = judge(ROLLOUT, build_cells(spread), 8.0)
        assert verdict.state is RolloutState.ROLLED_BACK

    def test_one_slow_answer_is_no_reason(self):
        moments = [(20, 0, 2, 0)] * 8 + [(20, 0, 1, 1)]
        assert judge(ROLLOUT, build_cells(moments), 9.0).state is RolloutState.PROMOTING

    def test_a_few_milliseconds_of_a_new_connection_are_no_reason(self):
        # 2 ms and 8 ms; then 20 ms and 80 ms.
        for usual, new, is_bad in ((4, 12, False), (17, 25, True)):
            cells = [Cell(False, "r", 0, 0, {usual: 90})]
            cells.append(Cell(True, "r", 0, 0, {usual: 5, new: 5}))
            assert compare_versions(cells).bad == (5 if is_bad else 0)

    def test_routes_of_different_latency_are_not_mixed(self):
        old = [Cell(False, "a", 0, 0, {10: 90}), Cell(False, "b", 0, 0, {30: 90})]
        new = [Cell(True, "b", 0, 0, {30: 10})]
        assert compare_versions(old + new).bad == 0
        new = [Cell(True, "a", 0, 0, {30: 10})]
        assert compare_versions(old + new).bad == 10

    @pytest.mark.parametrize("errors", [0, 8])
    def test_errors_count_without_answers_of_another_version(self, errors):
        cells = [Cell(True, "r", 0, errors, {ORDINARY: 12})]
        verdict = judge(ROLLOUT, cells, 5.0)
        assert (verdict is not None) == bool(errors)

    def test_many_answers_need_little_work_and_are_judged_alike(self):
        old = Cell(False, "r", 0, 1000, {ORDINARY: 99_000})
        good = Cell(True, "r", 0, 105, {ORDINARY: 9_900})
        bad = Cell(True, "r", 0, 200, {ORDINARY: 9_900, BUCKETS - 1: 50})
        assert judge(ROLLOUT, [old, good], 5.0) is None
        assert judge(ROLLOUT, [old, bad], 5.0).state is RolloutState.ROLLED_BACK


class TestTimes:
    """Guard against a verdict too late for its commit, or without any evidence."""

    @pytest.mark.parametrize("duration_s", [0.5, 5.0, 12.0, 600.0])
    def test_phases_end_before_the_time_limit(self, duration_s):
        rollout = VersionRollout(1, "search", "v2", duration_s, 0)
        cells = build_cells([(200, 0, 20, 0)])
        assert judge(rollout, cells, 0.6 * duration_s) is None
        early = duration_s - min(3.0, 0.3 * duration_s)
        assert judge(rollout, cells, early + 1e-6).state is RolloutState.PROMOTING
        late = duration_s - min(1.2, 0.12 * duration_s)
        assert judge(rollout, cells, late + 1e-6).state is RolloutState.SUCCEEDED

    def test_version_without_answers_does_not_succeed(self):
        old = [Cell(False, "r", 0, 0, {ORDINARY: 200})]
        assert judge(ROLLOUT, old, 9.0).state is RolloutState.ROLLED_BACK
        few = [*old, Cell(True, "r", 0, 0, {ORDINARY: 2})]
        assert judge(ROLLOUT, few, 9.0).state is RolloutState.PROMOTING
        assert judge(ROLLOUT, few, 11.0).state is RolloutState.ROLLED_BACK
