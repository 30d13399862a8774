"""Tests of the checkers of queries, submissions, limits and closures."""

import pytest

from bramleyrouter.histories.requests import (
    Closure,
    Dispatch,
    LoadSample,
    QueryRecord,
    Run,
    ShardResult,
    SubmissionRecord,
    check_closures,
    check_limits,
    check_query,
    check_submissions,
)

S1, S2 = ("svc", "s1"), ("svc", "s2")
RESULTS = {S1: ShardResult("v1", "n1", S1), S2: ShardResult("v1", "n1", S2)}
GOOD = QueryRecord(
    nonce="n1",
    requested=frozenset({S1, S2}),
    permitted=frozenset({"v1", "v2"}),
    answered=True,
    version="v1",
    included=frozenset({S1, S2}),
    results=RESULTS,
)


class TestCheckQuery:
    """Guard against a checker that accepts a broken answer."""

    def test_whole_answer_and_refusal_are_accepted(self):
        assert check_query(GOOD) is None
        assert check_query(GOOD._replace(answered=False, version="")) is None

    @pytest.mark.parametrize(
        "change",
        [
            {"version": "v3"},
            {"results": {**RESULTS, S2: ShardResult("v2", "n1", S2)}},
            {"results": {**RESULTS, S2: ShardResult("v1", "n2", S2)}},
            {"results": {**RESULTS, S2: ShardResult("v1", "n1", S1)}},
            {"results": {S1: RESULTS[S1]}},
            {"included": frozenset({S1})},
            {"missing": frozenset({S2})},
        ],
        ids=[
            "version not permitted",
            "mixed versions",
            "another request's result",
            "another shard's result",
            "included without a result",
            "result not included",
            "included and missing",
        ],
    )
    def test_broken_answer_is_rejected(self, change):
        assert check_query(GOOD._replace(**change))


class TestCheckSubmissions:
    """Guard against a checker that accepts doubled or lost requests."""

    def test_true_outcomes_are_accepted(self):
        records = [
            SubmissionRecord("a", "done", "run1"),
            SubmissionRecord("b", "not_run"),
            SubmissionRecord("c", "unknown"),
            SubmissionRecord("d", "not_run"),
            SubmissionRecord("d", "done", "run2"),
        ]
        assert check_submissions(records, [Run("a", "run1"), Run("d", "run2")]) is None

    @pytest.mark.parametrize(
        "records, runs",
        [
            ([], [Run("a", "run1"), Run("a", "run2")]),
            ([SubmissionRecord("a", "done", "run1")], []),
            ([SubmissionRecord("a", "done", "run2")], [Run("a", "run1")]),
            ([SubmissionRecord("a", "not_run")], [Run("a", "run1")]),
        ],
        ids=["doubled", "lost", "another's answer", "ran though told not run"],
    )
    def test_false_outcome_is_rejected(self, records, runs):
        assert check_submissions(records, runs)


class TestCheckLimits:
    """Guard against an unseen excess over a declared limit."""

    def test_limits_are_inclusive(self):
        assert check_limits([LoadSample("s", 2, 2, 25, 25)]) is None
        assert check_limits([LoadSample("s", 3, 2, 1, 25)])
        assert check_limits([LoadSample("s", 1, 2, 26, 25)])


class TestCheckClosures:
    """Guard against unseen work for a server that was taken out."""

    def test_work_after_the_grace_is_rejected(self):
        closures = [Closure("s", 10, 20)]
        allowed = [Dispatch("s", 12.9), Dispatch("s", 20.1), Dispatch("t", 15)]
        assert check_closures(allowed, closures, 3) is None
        assert check_closures([Dispatch("s", 13.1)], closures, 3)
