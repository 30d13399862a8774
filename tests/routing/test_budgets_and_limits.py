"""Tests of token buckets, hedge delays, the retry policy and the adaptive limit."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.codes import Code
from bramleyrouter.routing.concurrency_limit import (
    MIN_LIMIT,
    build_concurrency_limit,
    record_attempt,
    record_query,
    update_peak_running,
)
from bramleyrouter.routing.coverage import get_missing_reason
from bramleyrouter.routing.hedging import (
    MIN_SAMPLES,
    LatencyTable,
    get_hedge_delay,
    record_latency,
)
from bramleyrouter.routing.retries import (
    DAEMON_RETRY_BURST,
    RetryBudget,
    RetryKind,
    classify_failure,
    may_retry,
    record_reply,
)
from bramleyrouter.routing.token_buckets import (
    MICROTOKENS_PER_TOKEN,
    build_token_bucket,
    consume_into_debt,
    refill,
    try_consume,
)


class TestBuckets:
    """Guard against extra sends beyond their share of the first attempts."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 130), st.integers(0, 9)), max_size=60),
        st.floats(0, 0.2),
    )
    def test_hedges_never_exceed_their_share_of_first_attempts(self, steps, share):
        bucket, first_attempts, extra = build_token_bucket(share, 10), 0, 0
        for requests, hedges in steps:
            refill(bucket, requests)
            first_attempts += requests
            extra += sum(try_consume(bucket, 1) for _ in range(hedges))
            assert extra <= share * first_attempts


class TestLatencies:
    """Guard against hedges on too few samples, or for ordinary latencies."""

    def test_hedge_delay_follows_most_latencies_and_not_the_stragglers(self):
        table, rng = LatencyTable(), random.Random(1)
        for _ in range(MIN_SAMPLES - 1):
            record_latency(table, "s", 0.010, rng)
        assert get_hedge_delay(table, "s") is None
        for number in range(5000):
            record_latency(table, "s", 0.1 if number % 20 == 0 else 0.010, rng)
        assert 0.012 < get_hedge_delay(table, "s") < 0.02
        for _ in range(20000):
            record_latency(table, "s", 0.030, rng)
        assert 0.04 < get_hedge_delay(table, "s") < 0.06

    def test_service_with_few_samples_uses_latencies_of_all_services(self):
        table, rng = LatencyTable(), random.Random(1)
        for number in range(MIN_SAMPLES):
            record_latency(table, f"s{number}", 0.010, rng)
        assert 0.012 < get_hedge_delay(table, "s0") < 0.02
        for _ in range(MIN_SAMPLES):
            record_latency(table, "slow", 0.100, rng)
        assert 0.12 < get_hedge_delay(table, "slow") < 0.2


class TestRetries:
    """Guard against retries that amplify an overload, and against lost coverage."""

    def is_retry_allowed(
        self, kind, budget=None, query_retries_left=2.0, remaining_s=1.0, median=0.01
    ):
        budget = budget or RetryBudget(
            build_token_bucket(0.1, DAEMON_RETRY_BURST, True)
        )
        return may_retry(kind, budget, query_retries_left, remaining_s, median)

    def test_every_code_has_a_retry_kind_of_its_range(self):
        for code in Code:
            if classify_failure(code) in (RetryKind.REDIRECT, RetryKind.SHED):
                assert 200 <= code < 300 or code is Code.PEER_UNREACHABLE
            assert 400 <= get_missing_reason(code) < 500

    def test_budgets_and_deadline_limit_retries_of_what_may_have_run(self):
        assert self.is_retry_allowed(RetryKind.REPEAT)
        assert not self.is_retry_allowed(RetryKind.REPEAT, query_retries_left=0.9)
        assert not self.is_retry_allowed(RetryKind.REPEAT, remaining_s=0.005)
        empty = RetryBudget(build_token_bucket(0.1, DAEMON_RETRY_BURST))
        assert not self.is_retry_allowed(RetryKind.REPEAT, empty)
        assert self.is_retry_allowed(RetryKind.REDIRECT, empty, query_retries_left=0.0)
        assert not self.is_retry_allowed(RetryKind.NEVER)

    def test_retries_of_lost_requests_use_only_the_daemons_budget(self):
        assert self.is_retry_allowed(RetryKind.LOST, query_retries_left=0.0)
        assert not self.is_retry_allowed(RetryKind.LOST, remaining_s=0.005)
        empty = RetryBudget(build_token_bucket(0.1, DAEMON_RETRY_BURST))
        assert not self.is_retry_allowed(RetryKind.LOST, empty)

    def test_debt_of_a_wide_retry_is_refilled_before_the_next(self):
        bucket = build_token_bucket(0.5, 1, is_full=True)
        consume_into_debt(bucket, 3)
        refill(bucket, 5)
        assert bucket.microtokens == MICROTOKENS_PER_TOKEN // 2 and not try_consume(
            bucket, 1
        )

    def test_shed_requests_are_not_retried_while_many_are_shed(self):
        budget = RetryBudget(build_token_bucket(0.1, DAEMON_RETRY_BURST, True))
        assert self.is_retry_allowed(RetryKind.SHED, budget)
        for _ in range(50):
            record_reply(budget, RetryKind.SHED)
        assert not self.is_retry_allowed(RetryKind.SHED, budget)
        assert self.is_retry_allowed(RetryKind.REPEAT, budget)


class TestLimit:
    """Guard against a limit that ignores overload or falls without need."""

    def record_window(
        self, limit, now, queue_s, queries_with_drops=0, delayed=1.0, running=99
    ):
        update_peak_running(limit, running)
        for number in range(100):
            record_attempt(limit, queue_s if number < delayed * 100 else 0, 0.01, False)
        for number in range(100):
            at = now if number == 99 else limit.window_started_at
            record_query(limit, number < queries_with_drops, at)
        return limit.value

    def test_long_queues_lower_the_limit_and_use_without_queues_raises_it(self):
        limit = build_concurrency_limit(64, 0.0)
        assert self.record_window(limit, 1.0, queue_s=0.050) == 16
        assert self.record_window(limit, 2.0, queue_s=0.0) == 17
        assert self.record_window(limit, 3.0, queue_s=0.0, running=3) == 17
        for now in range(4, 90):
            self.record_window(limit, now, queue_s=0.0)
        assert limit.value == 64

    def test_drops_lower_the_limit_only_together_with_queues(self):
        limit = build_concurrency_limit(64, 0.0)
        self.record_window(
            limit, 1.0, 0.05, queries_with_drops=20, delayed=0.1, running=3
        )
        assert limit.value == 32
        self.record_window(limit, 2.0, 0.05, queries_with_drops=20, delayed=0.3)
        assert limit.value < 32

    def test_limit_never_falls_below_its_minimum(self):
        limit = build_concurrency_limit(64, 0.0)
        for now in range(1, 50):
            self.record_window(limit, now, queue_s=1.0)
        assert limit.value == MIN_LIMIT
