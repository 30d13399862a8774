"""Tests of the budget of bytes that are held for peers."""

import random

import pytest

from bramleyrouter.utils.byte_budgets import (
    DEFAULT_MEMORY_BYTES,
    SUSPECT_WEIGHT,
    ByteBudget,
    Holding,
    compute_held_limit,
    hold,
    release,
    release_all,
)


def build_holding(budget, ended, name, weight=1.0):
    return Holding(budget, "server", name, lambda: ended.append(name), lambda: weight)


class TestHoldings:
    """Guard against bytes that are counted after their holder let go of them."""

    def test_released_bytes_are_not_counted(self):
        budget = ByteBudget(100)
        holding = build_holding(budget, [], "a")
        assert hold(holding, 60)
        release(holding, 20)
        assert (holding.held_bytes, budget.held_bytes) == (40, 40)
        release_all(holding)
        release_all(holding)
        release(holding, 5)
        assert (holding.held_bytes, budget.held_bytes) == (0, 0)
        assert not budget.holdings

    def test_a_holder_of_nothing_is_not_listed(self):
        budget = ByteBudget(100)
        assert hold(build_holding(budget, [], "a"), 0)
        assert not budget.holdings

    @pytest.mark.parametrize("seed", range(5))
    def test_the_sum_is_that_of_all_holders_and_within_the_limit(self, seed):
        rng = random.Random(seed)
        budget, ended = ByteBudget(1000), []
        holdings = [build_holding(budget, ended, str(at)) for at in range(20)]
        for _ in range(2000):
            holding = rng.choice(holdings)
            if rng.random() < 0.6:
                hold(holding, rng.randint(1, 150))
            else:
                release(holding, rng.randint(1, 150))
            assert budget.held_bytes == sum(item.held_bytes for item in holdings)
            assert budget.held_bytes <= 1000
            assert budget.holdings == {item for item in holdings if item.held_bytes}
        assert ended


class TestLargestHolder:
    """Guard against the end of small holders, which other peers need."""

    def test_the_largest_holder_is_ended(self):
        budget, ended = ByteBudget(100), []
        small = build_holding(budget, ended, "small")
        large = build_holding(budget, ended, "large")
        hold(small, 30)
        hold(large, 60)
        assert hold(small, 20)
        assert ended == ["large"]
        assert budget.held_bytes == 50
        assert budget.ended_count == 1

    def test_a_suspect_holder_is_ended_before_a_larger_one(self):
        budget, ended = ByteBudget(100), []
        suspect = build_holding(budget, ended, "suspect", SUSPECT_WEIGHT)
        large = build_holding(budget, ended, "large")
        hold(suspect, 25)
        hold(large, 70)
        assert hold(large, 10)
        assert ended == ["suspect"]

    def test_a_holder_that_exceeds_the_limit_alone_is_ended(self):
        budget, ended = ByteBudget(100), []
        holding = build_holding(budget, ended, "a")
        assert not hold(holding, 101)
        assert ended == ["a"]
        assert budget.held_bytes == 0

    def test_the_end_of_a_holder_is_reported_with_its_size(self):
        reports = []
        budget = ByteBudget(100, lambda holding, size: reports.append(size))
        hold(build_holding(budget, [], "a"), 101)
        assert reports == [101]

    def test_the_default_leaves_more_than_half_of_the_least_memory(self):
        assert compute_held_limit(DEFAULT_MEMORY_BYTES) < DEFAULT_MEMORY_BYTES / 2
