from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import (
    FORGET_AFTER_S,
    ServerRegistry,
    announce,
    rows_of,
    sweep,
    withdraw,
)
from tests.support.gateway_fakes import build_row


def registry():
    changes = []
    made = ServerRegistry(1.2)
    made.on_change.append(changes.append)
    return made, changes


def phases(made, now=0.0):
    return {item.server_id: item.phase for item in rows_of(made, now)}


class TestAnnounce:
    def test_only_changes_are_told(self):
        made, changes = registry()
        for sequence in range(1, 5):
            announce(made, build_row("a", sequence=sequence), 0.0)
        assert len(changes) == 1
        announce(made, build_row("a", sequence=5, phase=ServerPhase.DRAINING), 0.0)
        assert [item.phase for item in changes] == [
            ServerPhase.READY,
            ServerPhase.DRAINING,
        ]

    def test_one_that_was_overtaken_changes_nothing(self):
        made, _ = registry()
        announce(made, build_row("a", sequence=5, phase=ServerPhase.DRAINING), 0.0)
        assert not announce(made, build_row("a", sequence=4), 0.0)
        assert phases(made) == {"a": ServerPhase.DRAINING}

    def test_none_brings_back_an_incarnation_that_is_gone(self):
        made, _ = registry()
        announce(made, build_row("a", sequence=1), 0.0)
        withdraw(made, "a", None, 0.0)
        assert not announce(made, build_row("a", sequence=9), 0.0)
        assert announce(made, build_row("a", sequence=1, incarnation=2), 0.0)
        assert phases(made) == {"a": ServerPhase.READY}

    def test_the_same_id_started_again_counts_anew(self):
        made, changes = registry()
        announce(made, build_row("a", sequence=50), 0.0)
        assert announce(made, build_row("a", sequence=1, incarnation=2), 0.0)
        assert changes[-1].incarnation == 2

    def test_a_delayed_one_does_not_take_an_address_back(self):
        # It was held up by a partition and came after its sender's successor.
        made, _ = registry()
        announce(made, build_row("old", address="10.0.0.1:80", incarnation=5), 0.0)
        announce(made, build_row("new", address="10.0.0.1:80", incarnation=9), 0.0)
        late = build_row("old", address="10.0.0.1:80", incarnation=5, sequence=7)
        assert not announce(made, late, 0.0)
        assert phases(made) == {"old": ServerPhase.GONE, "new": ServerPhase.READY}


class TestWithdraw:
    def test_of_an_older_incarnation_changes_nothing(self):
        made, _ = registry()
        announce(made, build_row("a", incarnation=7), 0.0)
        withdraw(made, "a", 6, 0.0)
        assert phases(made) == {"a": ServerPhase.READY}

    def test_one_not_heard_of_is_remembered(self):
        made, _ = registry()
        withdraw(made, "a", 7, 0.0)
        assert not announce(made, build_row("a", incarnation=7), 0.0)


class TestSweep:
    def test_silent_after_some_missed_heartbeats(self):
        made, changes = registry()
        announce(made, build_row("a", sequence=1), 0.0)
        sweep(made, 3.0)
        assert not changes[-1].is_silent
        sweep(made, 3.7)
        assert changes[-1].is_silent
        announce(made, build_row("a", sequence=2), 4.0)
        assert not changes[-1].is_silent

    def test_forgotten_at_last(self):
        made, _ = registry()
        announce(made, build_row("a"), 0.0)
        sweep(made, FORGET_AFTER_S + 1)
        assert list(rows_of(made, FORGET_AFTER_S + 1)) == []

    def test_a_new_subscriber_is_told_what_is_left_of_the_cold_time(self):
        made, _ = registry()
        announce(made, build_row("a", cold_s=3.0), 0.0)
        assert rows_of(made, 1.0)[0].cold_s == 2.0
        assert rows_of(made, 9.0)[0].cold_s == 0.0
