"""Tests of the submission ledger."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.codes import Code
from bramleyrouter.control import ledger as ledgers
from bramleyrouter.control.ledger import Ledger, claim, expire_records, settle
from bramleyrouter.control.limits import MAX_ANSWER_BYTES, MAX_IDENTITY_LEAD_MS
from bramleyrouter.states import Outcome
from tests.control.builders import DAY_MS, NOW_MS, make_claim, make_settle

TOKENS = st.sampled_from([b"t1", b"t2", b"t3"])
IDENTITIES = [f"{NOW_MS}-a", f"{NOW_MS + MAX_IDENTITY_LEAD_MS}-b"]
# A number advances the ledger's time by as many milliseconds.
STEPS = st.one_of(
    st.builds(make_claim, TOKENS, st.sampled_from(IDENTITIES)),
    st.builds(
        make_settle,
        TOKENS,
        st.sampled_from(list(Outcome)),
        st.sampled_from(IDENTITIES),
    ),
    st.sampled_from([1, 1000, MAX_IDENTITY_LEAD_MS, DAY_MS // 2]),
)


class GrantChecker:
    """Check the ledger's replies for one identity against its open grant."""

    def __init__(self):
        self.open_token, self.final_outcome = None, None

    def check_claim(self, request, result):
        if result.is_granted:
            assert self.open_token in (None, request.attempt_token), "two open grants"
            assert self.final_outcome is None, "granted after it may have run"
            self.open_token = request.attempt_token
        elif result.failure is None:
            assert result.outcome is self.final_outcome or self.final_outcome is None
            assert self.open_token is None or result.outcome is None

    def record_settle(self, request):
        if request.attempt_token != self.open_token:
            return
        self.open_token = None
        if request.outcome is not Outcome.NOT_RUN:
            self.final_outcome = request.outcome


class TestAtMostOnce:
    """Guard against granting the dispatch of one request to two attempts."""

    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(st.lists(STEPS, max_size=40))
    def test_one_open_grant_at_most_and_none_after_it_may_have_run(self, steps):
        ledger, now_ms = Ledger(), NOW_MS
        checkers = {identity: GrantChecker() for identity in IDENTITIES}
        for step in steps:
            if isinstance(step, int):
                now_ms += step
                continue
            expire_records(ledger, now_ms)
            checker = checkers[step.request_id]
            if hasattr(step, "outcome"):
                settle(ledger, step, now_ms)
                checker.record_settle(step)
            else:
                checker.check_claim(step, claim(ledger, step, now_ms))

    def test_request_not_run_may_be_claimed_again_but_not_by_a_delayed_copy(self):
        ledger = Ledger()
        assert claim(ledger, make_claim(b"t1"), NOW_MS).is_granted
        assert claim(ledger, make_claim(b"t1"), NOW_MS).is_granted
        settle(ledger, make_settle(b"t1", Outcome.NOT_RUN), NOW_MS)
        assert not claim(ledger, make_claim(b"t1"), NOW_MS).is_granted
        assert claim(ledger, make_claim(b"t2"), NOW_MS).is_granted

    def test_lost_claimant_leaves_an_open_claim_that_names_it(self):
        ledger = Ledger()
        claim(ledger, make_claim(b"t1", claimant="e7"), NOW_MS)
        result = claim(ledger, make_claim(b"t2", claimant="e8"), NOW_MS + 3600_000)
        assert (result.is_granted, result.outcome, result.claimant) == (
            False,
            None,
            "e7",
        )
        settle(ledger, make_settle(b"t2"), NOW_MS)
        assert claim(ledger, make_claim(b"t3"), NOW_MS).outcome is None

    def test_later_settlement_does_not_replace_the_first(self):
        ledger = Ledger()
        claim(ledger, make_claim(), NOW_MS)
        settle(ledger, make_settle(answer=b"first"), NOW_MS)
        settle(ledger, make_settle(outcome=Outcome.NOT_RUN), NOW_MS)
        result = claim(ledger, make_claim(b"t2"), NOW_MS)
        assert (result.outcome, result.answer) == (Outcome.DONE, b"first")

    def test_another_body_is_refused(self):
        ledger = Ledger()
        claim(ledger, make_claim(), NOW_MS)
        result = claim(ledger, make_claim(b"t2", body=b"other"), NOW_MS)
        assert result.failure.code is Code.IDENTITY_REUSED


class TestIdentities:
    """Guard against identities accepted after their record was removed."""

    @pytest.mark.parametrize(
        "request_id, code",
        [
            (f"{NOW_MS}", Code.INVALID_IDENTITY),
            (f"{NOW_MS}-", Code.INVALID_IDENTITY),
            ("x-1", Code.INVALID_IDENTITY),
            ("\u0661-a", Code.INVALID_IDENTITY),
            (f"{NOW_MS - DAY_MS}-a", None),
            (f"{NOW_MS - DAY_MS - 1}-a", Code.IDENTITY_EXPIRED),
            (f"{NOW_MS + MAX_IDENTITY_LEAD_MS}-a", None),
            (f"{NOW_MS + MAX_IDENTITY_LEAD_MS + 1}-a", Code.INVALID_IDENTITY),
        ],
    )
    def test_creation_time_decides_whether_a_claim_is_granted(self, request_id, code):
        result = claim(Ledger(), make_claim(request_id=request_id), NOW_MS)
        assert (result.failure.code if result.failure else None) is code
        assert result.is_granted == (code is None)

    def test_record_is_stored_until_its_identity_is_refused(self):
        """Guard against a request run twice if the caller's clock is 5 min ahead."""
        ledger = Ledger()
        ahead = make_claim(request_id=IDENTITIES[1])
        claim(ledger, ahead, NOW_MS)
        settle(ledger, make_settle(request_id=IDENTITIES[1]), NOW_MS)
        last_ms = NOW_MS + MAX_IDENTITY_LEAD_MS + DAY_MS
        expire_records(ledger, last_ms)
        assert claim(ledger, ahead, last_ms).outcome is Outcome.DONE
        expire_records(ledger, last_ms + 1)
        assert claim(ledger, ahead, last_ms + 1).failure.code is Code.IDENTITY_EXPIRED
        assert (ledger.records, ledger.expiries, ledger.answer_bytes) == ({}, [], 0)


class TestBounds:
    """Guard against unbounded growth of the ledger."""

    def test_full_ledger_refuses_new_identities_only(self, monkeypatch):
        monkeypatch.setattr(ledgers, "MAX_LEDGER_RECORDS", 1)
        ledger = Ledger()
        claim(ledger, make_claim(), NOW_MS)
        other = make_claim(request_id=f"{NOW_MS}-b")
        assert claim(ledger, other, NOW_MS).failure.code is Code.LEDGER_FULL
        early_settle = make_settle(outcome=Outcome.NOT_RUN, request_id=f"{NOW_MS}-c")
        settle(ledger, early_settle, NOW_MS)
        assert len(ledger.records) == 1
        assert claim(ledger, make_claim(), NOW_MS).is_granted

    @pytest.mark.parametrize("total", [MAX_ANSWER_BYTES, 10**9])
    def test_large_answer_is_recorded_as_done_without_its_content(
        self, monkeypatch, total
    ):
        monkeypatch.setattr(ledgers, "MAX_LEDGER_ANSWER_BYTES", total)
        ledger = Ledger()
        sizes = {"a": MAX_ANSWER_BYTES, "b": MAX_ANSWER_BYTES + 1, "c": 1}
        stored = {}
        for name, size in sizes.items():
            request_id = f"{NOW_MS}-{name}"
            claim(ledger, make_claim(request_id=request_id), NOW_MS)
            settle(
                ledger, make_settle(request_id=request_id, answer=b"x" * size), NOW_MS
            )
            result = claim(ledger, make_claim(request_id=request_id), NOW_MS)
            assert result.outcome is Outcome.DONE
            stored[name] = (len(result.answer), result.code)
        not_kept = (0, Code.ANSWER_NOT_KEPT)
        assert stored == {
            "a": (MAX_ANSWER_BYTES, 0),
            "b": not_kept,
            "c": (1, 0) if total > MAX_ANSWER_BYTES else not_kept,
        }
