"""Tests of the order in which waiting connections are parsed."""

from bramleyrouter.utils.parse_turns import (
    HALF_LIFE_S,
    ClientLimits,
    ParseTurns,
    TurnTaker,
    add_waiting,
    pop_turn,
)

LIMITS = ClientLimits(turn_steps=100, max_waiting=3)


def wait(turns, steps, granted=0.0, now=0.0):
    taker = TurnTaker(granted, waiting_steps=steps)
    return taker, add_waiting(turns, taker, now)


class TestTurns:
    """Guard against a connection that takes the turns of all others (hard-load F)."""

    def test_a_turn_has_one_large_head_or_some_small_ones(self):
        turns = ParseTurns(LIMITS)
        large, small, last = (wait(turns, steps)[0] for steps in (4000, 60, 40))
        assert pop_turn(turns) == [large]
        assert pop_turn(turns) == [small, last]
        assert pop_turn(turns) == []

    def test_connections_that_come_back_take_turns(self):
        turns = ParseTurns(LIMITS)
        takers = [wait(turns, 100)[0] for _ in range(3)]
        order = []
        for _ in range(9):
            (taker,) = pop_turn(turns)
            order.append(takers.index(taker))
            add_waiting(turns, taker, 0.0)
        assert order == [0, 1, 2] * 3

    def test_the_one_with_the_most_steps_is_refused(self):
        turns = ParseTurns(LIMITS)
        takers = [wait(turns, 10, granted)[0] for granted in (5, 900, 30)]
        _, refused = wait(turns, 10)
        assert refused is takers[1]
        newest, refused = wait(turns, 10, 1000)
        assert refused is newest
        assert len(turns.waiting) == 3

    def test_steps_of_long_ago_count_less(self):
        turns = ParseTurns(LIMITS)
        old, _ = wait(turns, 100, 3200, now=8 * HALF_LIFE_S)
        recent, _ = wait(turns, 100, 20)
        assert pop_turn(turns) == [old]
        assert pop_turn(turns) == [recent]
