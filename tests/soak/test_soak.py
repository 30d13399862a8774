"""Tests of the soak's plans and checks, and a short run of it."""

from collections import Counter

import pytest

from tests.soak.plans import (
    CONTROLS,
    HARMLESS_TO_FOLDERS,
    SINGLE,
    Fault,
    Phase,
    make_plan,
)
from tests.soak.records import (
    APPLY_S,
    CONTACT_S,
    CROSSING_S,
    MAX_UNKNOWN,
    Cut,
    Record,
    judge_answer,
    judge_read,
    judge_requests,
)
from tests.soak.runner import run_seed

SEEDS = (3, 4, 6, 8, 13)


class TestPlans:
    """Guard against plans that can't be repeated or that lose more than is allowed."""

    def test_same_seed_gives_same_plan(self):
        assert make_plan(7) == make_plan(7)
        assert make_plan(7) != make_plan(8)

    def test_every_fault_and_phase_occurs(self):
        plans = [make_plan(seed) for seed in range(50)]
        assert {plan.phase for plan in plans} == set(Phase)
        assert {step.fault for plan in plans for step in plan.steps} == set(Fault)

    def test_no_second_loss_of_a_copy(self):
        for seed in range(500):
            steps = [step for step in make_plan(seed).steps if step.fault in SINGLE]
            assert len(steps) <= 1
            assert all(step.names[0] in CONTROLS for step in steps)

    def test_no_control_daemon_ends_while_another_never_starts(self):
        plans = [make_plan(seed) for seed in range(500)]
        kinds = [{step.fault for step in plan.steps} for plan in plans]
        without = [p for p, k in zip(plans, kinds, strict=True) if Fault.NO_START in k]
        assert without
        for step in [step for plan in without for step in plan.steps]:
            if step.fault not in (Fault.NO_START, *HARMLESS_TO_FOLDERS):
                assert not set(step.names) & set(CONTROLS)


def find_rules(record: Record) -> Counter:
    """Return the rules that a record holds as broken."""
    texts = [text.strip().split(" ", 1)[1] for text in record.violations]
    return Counter(text.split(":")[0] for text in texts)


class TestAnswers:
    """Guard against checks of answers that can't fail."""

    def test_answer_of_its_request(self):
        record = Record()
        record.replies["a"] = [("signature", b"body")]
        seal = {"bramleyrouter-server-seal": "signature"}
        judge_answer(record, "a", 200, seal, b"body")
        assert not record.violations
        judge_answer(record, "b", 200, seal, b"body")
        judge_answer(record, "a", 200, seal, b"bod")
        judge_answer(record, "a", 200, {}, b"body")
        assert find_rules(record) == {"answer of another request": 3}

    def test_submission_that_ran_after_a_refusal(self):
        record = Record()
        record.asked |= {"a", "b"}
        record.submissions.add("a")
        for request_id in ("a", "b"):
            judge_answer(record, request_id, 503, {}, b"")
            record.runs[request_id].append(1.0)
        judge_requests(record)
        assert find_rules(record) == {"promise": 1}

    def test_submission_that_ran_twice(self):
        record = Record()
        record.asked |= {"a", "b"}
        record.submissions.add("a")
        record.runs |= {"a": [1.0, 2.0], "b": [1.0, 2.0]}
        judge_requests(record)
        assert find_rules(record) == {"ran twice": 1}

    def test_request_that_nobody_sent(self):
        record = Record()
        record.runs["a"].append(1.0)
        judge_requests(record)
        assert find_rules(record) == {"unasked": 1}

    def test_configured_routes_that_are_unknown(self):
        record = Record()
        record.statuses[404] = MAX_UNKNOWN
        judge_requests(record)
        assert not record.violations
        record.statuses[404] += 1
        judge_requests(record)
        assert find_rules(record) == {"denied": 1}


class TestCuts:
    """Guard against a check of cut requests that can't fail."""

    def test_request_that_ran_is_never_cut_in_calm(self):
        record = Record()
        record.asked.add("a")
        record.cuts.append(Cut("a", "front-0", 10.0, 10.0 + CROSSING_S / 2))
        judge_requests(record)
        assert not record.violations
        record.runs["a"].append(10.01)
        judge_requests(record)
        assert find_rules(record) == {"cut request": 1}

    def test_request_that_was_held_is_never_cut_in_calm(self):
        record = Record()
        record.cuts.append(Cut("a", "front-0", 10.0, 10.1 + CROSSING_S))
        judge_requests(record)
        assert find_rules(record) == {"cut request": 1}

    def test_unplanned_fault_excuses_a_cut(self):
        record = Record()
        record.cuts.append(Cut("a", "front-0", 10.0, 11.0))
        record.unplanned.append((1.0, 10.1 - CONTACT_S))
        judge_requests(record)
        assert not record.violations


class TestReads:
    """Guard against a check of read tables that can't fail."""

    def test_older_table(self):
        record = Record()
        record.sent_tables |= {1: {"version": 1}, 2: {"version": 2}}
        record.acknowledged |= {1: 1.0, 2: 2.0}
        judge_read(record, 1.9 + APPLY_S, 200, {"version": 1})
        judge_read(record, 9.0, 503, {})
        assert not record.violations
        judge_read(record, 2.0 + APPLY_S, 200, {"version": 1})
        assert find_rules(record) == {"older table": 1}

    def test_other_content_of_a_version(self):
        record = Record()
        record.sent_tables[1] = {"version": 1, "routes": []}
        judge_read(record, 1.0, 200, {"version": 1, "routes": ["another"]})
        assert find_rules(record) == {"other table": 1}


class TestShortRun:
    """Guard against processes that end by themselves or never serve again."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_rule_is_broken(self, seed, tmp_path):
        plan, record = run_seed(seed, tmp_path)
        assert not record.violations, f"{plan.describe()}\nlogs: {tmp_path}"
