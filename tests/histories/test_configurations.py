"""Tests of the checkers of configuration histories."""

from bramleyrouter.histories.configurations import (
    Accepted,
    AvailabilityOp,
    Conflict,
    Observation,
    PublishOp,
    ReadOp,
    Seen,
    check_configuration,
    check_growth,
)
from bramleyrouter.histories.linearizations import Operation

FIRST = PublishOp("r1", 1, "a")
RIVAL = PublishOp("r2", 1, "b")
READ = ReadOp()


def seen(revision, content, out=()):
    generation = 1 if content else 0
    return Seen(revision, generation, content, frozenset(out))


class TestCheckConfiguration:
    """Guard against a checker that accepts what the guarantees forbid."""

    def test_race_with_one_winner_is_accepted(self):
        history = [
            Operation("p", FIRST, 0, 5, Accepted(1)),
            Operation("q", RIVAL, 1, 4, Conflict("r1")),
            Operation("q", READ, 6, 7, seen(1, "a")),
        ]
        assert check_configuration(history) is None

    def test_resend_after_a_lost_answer_is_accepted(self):
        history = [
            Operation("p", FIRST, 0),
            Operation("p", FIRST, 3, 4, Accepted(1)),
            Operation("q", RIVAL, 5, 6, Conflict("r1")),
        ]
        assert check_configuration(history) is None

    def test_two_winners_are_rejected(self):
        history = [
            Operation("p", FIRST, 0, 5, Accepted(1)),
            Operation("q", RIVAL, 1, 4, Accepted(2)),
        ]
        assert check_configuration(history)

    def test_wrong_winner_is_rejected(self):
        history = [
            Operation("p", FIRST, 0, 2, Accepted(1)),
            Operation("q", RIVAL, 3, 4, Conflict("r9")),
        ]
        assert check_configuration(history)

    def test_resend_with_another_answer_is_rejected(self):
        history = [
            Operation("p", FIRST, 0, 2, Accepted(1)),
            Operation("p", FIRST, 3, 4, Conflict("r1")),
        ]
        assert check_configuration(history)

    def test_stale_read_is_rejected(self):
        history = [
            Operation("p", FIRST, 0, 2, Accepted(1)),
            Operation("q", READ, 3, 4, seen(0, "")),
        ]
        assert check_configuration(history)

    def test_lost_change_is_rejected(self):
        out = AvailabilityOp("r3", "dc1", True)
        history = [
            Operation("p", out, 0, 1, Accepted(1)),
            Operation("p", FIRST, 2, 3, Accepted(2)),
            Operation("q", READ, 4, 5, seen(2, "a")),
        ]
        assert check_configuration(history)
        history[-1] = Operation("q", READ, 4, 5, seen(2, "a", ["dc1"]))
        assert check_configuration(history) is None


class TestCheckGrowth:
    """Guard against a revision that reverts unseen."""

    def test_growing_revisions_are_accepted(self):
        observations = [Observation("d", 1, 1), Observation("d", 2, 2)]
        assert check_growth(observations) is None

    def test_reverted_revision_is_rejected(self):
        observations = [
            Observation("d", 2, 1),
            Observation("d", 1, 2),
            Observation("e", 3, 1),
        ]
        assert '"d" had revision 2' in check_growth(observations)
