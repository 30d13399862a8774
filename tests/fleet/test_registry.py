"""Tests of the servers that one control daemon received heartbeats from."""

from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.registry import (
    RETENTION_S,
    ServerRegistry,
    apply_announcement,
    apply_withdrawal,
    list_rows,
    sweep,
)
from bramleyrouter.fleet.views import FleetView, apply_rows
from tests.support.gateway_fakes import build_row


def make_registry():
    changes = []
    registry = ServerRegistry(1.2)
    registry.on_change.append(changes.append)
    return registry, changes


def get_phases(registry, now=0.0):
    return {item.server_id: item.phase for item in list_rows(registry, now)}


class TestAnnounce:
    def test_callbacks_are_notified_of_changes_only(self):
        """Guards against a streamed row for each heartbeat."""
        registry, changes = make_registry()
        for sequence in range(1, 5):
            apply_announcement(registry, build_row("a", sequence=sequence), 0.0)
        assert len(changes) == 1
        apply_announcement(
            registry, build_row("a", sequence=5, phase=ServerPhase.DRAINING), 0.0
        )
        assert [item.phase for item in changes] == [
            ServerPhase.READY,
            ServerPhase.DRAINING,
        ]

    def test_older_announcement_changes_nothing(self):
        """Guards against a late announcement that undoes a newer one."""
        registry, _ = make_registry()
        apply_announcement(
            registry, build_row("a", sequence=5, phase=ServerPhase.DRAINING), 0.0
        )
        assert not apply_announcement(registry, build_row("a", sequence=4), 0.0)
        assert get_phases(registry) == {"a": ServerPhase.DRAINING}

    def test_gone_incarnation_does_not_return(self):
        """Guards against a late announcement that restores a withdrawn server."""
        registry, _ = make_registry()
        apply_announcement(registry, build_row("a", sequence=1), 0.0)
        apply_withdrawal(registry, "a", None, 0.0)
        assert not apply_announcement(registry, build_row("a", sequence=9), 0.0)
        assert apply_announcement(
            registry, build_row("a", sequence=1, incarnation=2), 0.0
        )
        assert get_phases(registry) == {"a": ServerPhase.READY}

    def test_new_incarnation_restarts_the_sequence(self):
        """Guards against a restarted server that is refused as out of date."""
        registry, changes = make_registry()
        apply_announcement(registry, build_row("a", sequence=50), 0.0)
        assert apply_announcement(
            registry, build_row("a", sequence=1, incarnation=2), 0.0
        )
        assert changes[-1].incarnation == 2

    def test_delayed_announcement_does_not_regain_an_address(self):
        """Guards against an announcement that a partition delayed until its
        sender had a successor at the same address.
        """
        registry, _ = make_registry()
        apply_announcement(
            registry, build_row("old", address="10.0.0.1:80", incarnation=5), 0.0
        )
        apply_announcement(
            registry, build_row("new", address="10.0.0.1:80", incarnation=9), 0.0
        )
        late = build_row("old", address="10.0.0.1:80", incarnation=5, sequence=7)
        assert not apply_announcement(registry, late, 0.0)
        assert get_phases(registry) == {
            "old": ServerPhase.DRAINING,
            "new": ServerPhase.READY,
        }


class TestMovedServers:
    """A server may start again at another address, and others use its former one."""

    def test_a_server_at_a_former_address_withdraws_no_other(self):
        """Guards against a live server that is marked as gone for its old address."""
        registry, _ = make_registry()
        first, second = "10.0.0.1:9000", "10.0.0.2:9000"
        apply_announcement(registry, build_row("a", address=first), 0.0)
        apply_announcement(registry, build_row("a", incarnation=2, address=second), 1.0)
        assert apply_announcement(
            registry, build_row("b", incarnation=3, address=first), 2.0
        )
        ready = ServerPhase.READY
        assert get_phases(registry) == {"a": ready, "b": ready}

    def test_a_former_address_refuses_no_older_incarnation(self):
        """Guards against a server that never gets a free address."""
        registry, _ = make_registry()
        first, second = "10.0.0.1:9000", "10.0.0.2:9000"
        apply_announcement(registry, build_row("a", address=first), 0.0)
        apply_announcement(registry, build_row("a", incarnation=9, address=second), 1.0)
        assert apply_announcement(
            registry, build_row("b", incarnation=3, address=first), 2.0
        )

    def test_a_late_expiry_keeps_the_holder_of_the_address(self):
        """Guards against an expired server that frees an address in use."""
        registry, _ = make_registry()
        first, second = "10.0.0.1:9000", "10.0.0.2:9000"
        apply_announcement(registry, build_row("a", address=first), 0.0)
        apply_announcement(registry, build_row("a", incarnation=2, address=second), 1.0)
        apply_announcement(
            registry, build_row("b", incarnation=3, address=first), RETENTION_S
        )
        sweep(registry, RETENTION_S + 5.0)
        assert registry.by_address == {first: "b"}


class TestWithdraw:
    def test_withdrawal_of_an_older_incarnation_changes_nothing(self):
        """Guards against a late withdrawal that removes a restarted server."""
        registry, _ = make_registry()
        apply_announcement(registry, build_row("a", incarnation=7), 0.0)
        apply_withdrawal(registry, "a", 6, 0.0)
        assert get_phases(registry) == {"a": ServerPhase.READY}

    def test_withdrawal_of_an_unknown_server_is_stored(self):
        """Guards against an announcement that arrives after its withdrawal."""
        registry, _ = make_registry()
        apply_withdrawal(registry, "a", 7, 0.0)
        assert not apply_announcement(registry, build_row("a", incarnation=7), 0.0)


class TestSweep:
    def test_server_is_silent_after_missed_heartbeats(self):
        """Guards against a server marked silent too early, or for too long."""
        registry, changes = make_registry()
        apply_announcement(registry, build_row("a", sequence=1), 0.0)
        sweep(registry, 3.0)
        assert not changes[-1].is_silent
        sweep(registry, 3.7)
        assert changes[-1].is_silent
        apply_announcement(registry, build_row("a", sequence=2), 4.0)
        assert not changes[-1].is_silent

    def test_old_entries_expire(self):
        """Guards against a registry that grows without bound."""
        registry, _ = make_registry()
        apply_announcement(registry, build_row("a"), 0.0)
        sweep(registry, RETENTION_S + 1)
        assert list(list_rows(registry, RETENTION_S + 1)) == []

    def test_new_subscriber_gets_the_remaining_cold_time(self):
        """Guards against a server that counts as cold for too long."""
        registry, _ = make_registry()
        apply_announcement(registry, build_row("a", cold_s=3.0), 0.0)
        assert list_rows(registry, 1.0)[0].cold_s == 2.0
        assert list_rows(registry, 9.0)[0].cold_s == 0.0


class TestOddEntries:
    """Guard against an entry of another writer that shuts the true server out."""

    def announce(self, registry, now, sequence, **fields):
        row = build_row("a", sequence=sequence, **fields)
        return apply_announcement(registry, row, now)

    def test_the_true_server_overrules_an_odd_entry(self):
        registry, _ = make_registry()
        odd = {"incarnation": 9_000, "address": "10.9.9.9:9"}
        assert self.announce(registry, 0.0, 2**60, **odd)
        accepted = [
            self.announce(registry, 1.2 * at, at, incarnation=5) for at in range(1, 8)
        ]
        assert accepted[:3] == [False] * 3
        assert accepted[-1]
        assert registry.servers["a"].row.incarnation == 5

    def test_a_sequence_that_is_too_high_is_overruled(self):
        registry, _ = make_registry()
        assert self.announce(registry, 0.0, 2**60)
        accepted = [self.announce(registry, 1.2 * at, at) for at in range(1, 8)]
        assert accepted[-1]

    def test_delayed_announcements_overrule_nothing(self):
        registry, _ = make_registry()
        assert self.announce(registry, 0.0, 1, incarnation=7)
        for at in range(1, 30):
            assert not self.announce(registry, 10.0, at, incarnation=5)

    def test_a_live_server_is_not_overruled(self):
        registry, _ = make_registry()
        for at in range(1, 30):
            assert self.announce(registry, 1.2 * at, at, incarnation=7)
            assert not self.announce(registry, 1.2 * at + 0.1, at, incarnation=5)

    def test_a_withdrawn_server_does_not_return(self):
        registry, _ = make_registry()
        assert self.announce(registry, 0.0, 1, incarnation=5)
        apply_withdrawal(registry, "a", 5, 0.5)
        for at in range(2, 30):
            assert not self.announce(registry, 1.2 * at, at, incarnation=5)

    def test_an_odd_holder_of_the_address_is_overruled(self):
        registry, _ = make_registry()
        address = build_row("a").address
        odd = build_row("odd", incarnation=9_000, address=address)
        assert apply_announcement(registry, odd, 0.0)
        accepted = [
            self.announce(registry, 1.2 * at, at, incarnation=5) for at in range(1, 8)
        ]
        assert accepted[-1]
        assert registry.by_address[address] == "a"

    def test_an_odd_newcomer_at_the_address_is_overruled(self):
        """The same entry as above, but it comes after the true server."""
        registry, changes = make_registry()
        address = build_row("a").address
        assert self.announce(registry, 0.0, 1, incarnation=5)
        odd = build_row("odd", incarnation=9_000, address=address)
        assert apply_announcement(registry, odd, 0.5)
        assert changes[-2].phase is ServerPhase.DRAINING
        accepted = []
        for at in range(1, 8):
            sweep(registry, 1.2 * at)
            accepted.append(self.announce(registry, 1.2 * at, at + 1, incarnation=5))
        assert accepted[:3] == [False] * 3
        assert accepted[-1]
        assert registry.by_address[address] == "a"
        assert get_phases(registry) == {
            "a": ServerPhase.READY,
            "odd": ServerPhase.DRAINING,
        }
        # An entry daemon that got the same changes lists it as well.
        view = FleetView()
        for row in changes:
            apply_rows(view, "c1", (row,), False)
        assert view.merged["a"].phase is ServerPhase.READY
        assert set(view.merged) == {"a"}

    def test_a_live_newcomer_at_the_address_is_not_overruled(self):
        for incarnation in (5, 6):
            registry, _ = make_registry()
            address = build_row("a").address
            assert self.announce(registry, 0.0, 1, incarnation=5)
            for at in range(1, 30):
                newcomer = build_row(
                    "b", incarnation=incarnation, sequence=at, address=address
                )
                assert apply_announcement(registry, newcomer, 1.2 * at)
                assert not self.announce(
                    registry, 1.2 * at + 0.1, at + 1, incarnation=5
                )

    def test_a_withdrawal_of_a_former_holder_frees_or_takes_no_address(self):
        """Guards against a live server that is refused once the odd entry is gone."""
        registry, _ = make_registry()
        address = build_row("a").address
        odd = build_row("odd", incarnation=9_000, address=address)
        assert apply_announcement(registry, odd, 0.0)
        for at in range(1, 8):
            self.announce(registry, 1.2 * at, at, incarnation=5)
        assert registry.by_address[address] == "a"
        apply_withdrawal(registry, "odd", 9_000, 9.0)
        assert registry.by_address[address] == "a"
        assert self.announce(registry, 9.6, 8, incarnation=5)
