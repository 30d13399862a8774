"""Tests of merging the streams of several control daemons."""

import itertools

from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.views import FleetView, apply_rows, remove_source
from tests.support.gateway_fakes import build_row


def get_phases(view, service="s0"):
    return {
        server_id: item.phase
        for server_id, item in view.by_service.get(service, {}).items()
    }


class TestApplyRows:
    def test_result_does_not_depend_on_the_order_of_sources(self):
        """Guards against entry daemons whose views differ by arrival order."""
        # A server announces to one control daemon, then drains and withdraws at two
        # others; its successor has the same address.
        updates = [
            ("c1", build_row("a", sequence=3)),
            ("c2", build_row("a", sequence=4, phase=ServerPhase.DRAINING)),
            ("c3", build_row("a", sequence=4, phase=ServerPhase.GONE)),
            ("c1", build_row("b", address=build_row("a").address, incarnation=2)),
            ("c2", build_row("c", service="s1", address="10.9.9.9:1")),
        ]
        outcomes = set()
        for order in itertools.permutations(updates):
            view = FleetView()
            for source, item in order:
                apply_rows(view, source, (item,), False)
            outcomes.add((tuple(get_phases(view)), tuple(get_phases(view, "s1"))))
        assert outcomes == {(("b",), ("c",))}

    def test_phase_of_the_latest_announcement_applies(self):
        """Guards against requests to a server that is draining."""
        view = FleetView()
        apply_rows(
            view, "c1", (build_row("a", sequence=4, phase=ServerPhase.DRAINING),), False
        )
        apply_rows(view, "c2", (build_row("a", sequence=3),), False)
        assert get_phases(view) == {"a": ServerPhase.DRAINING}

    def test_server_is_silent_only_if_all_control_daemons_miss_it(self):
        """Guards against a silent mark after a change of the control daemon."""
        view = FleetView()
        apply_rows(view, "c1", (build_row("a", sequence=9, is_silent=True),), False)
        apply_rows(view, "c2", (build_row("a", sequence=3),), False)
        assert not view.merged["a"].is_silent
        apply_rows(view, "c2", (build_row("a", sequence=3, is_silent=True),), False)
        assert view.merged["a"].is_silent

    def test_full_update_replaces_the_rows_of_its_source(self):
        """Guards against servers that stay after a full update left them out."""
        view = FleetView()
        apply_rows(
            view, "c1", (build_row("a"), build_row("b", address="10.0.0.2:1")), False
        )
        changed = apply_rows(view, "c1", (build_row("a"),), True)
        assert get_phases(view) == {"a": ServerPhase.READY}
        assert changed == {"s0"}

    def test_restarted_source_does_not_restore_a_gone_server(self):
        """Guards against a gone server that an outdated source adds again."""
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        apply_rows(view, "c2", (build_row("a", phase=ServerPhase.GONE),), False)
        apply_rows(view, "c2", (), True)
        apply_rows(view, "c1", (build_row("a", sequence=8),), True)
        assert get_phases(view) == {}

    def test_repeated_row_changes_nothing(self):
        """Guards against needless updates of the gateway."""
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        assert apply_rows(view, "c1", (build_row("a"),), False) == set()

    def test_removed_source_takes_its_rows_along(self):
        """Guards against servers that stay with a removed control daemon."""
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        assert remove_source(view, "c1") == {"s0"}
        assert get_phases(view) == {}


class TestAddresses:
    """Guard against a server that is shut out because its row came too early."""

    def test_a_refused_server_gets_its_address_once_it_is_free(self):
        """The odd entry's control daemon withdraws it after the true server came."""
        address = build_row("true").address
        odd = build_row("odd", incarnation=9_000, address=address)
        gone = build_row(
            "odd", incarnation=9_000, address=address, phase=ServerPhase.GONE
        )
        true = build_row("true", incarnation=5)
        for updates in itertools.permutations([("c1", gone), ("c2", true)]):
            view = FleetView()
            apply_rows(view, "c1", (odd,), False)
            changed = set()
            for source, item in updates:
                changed |= apply_rows(view, source, (item,), False)
            assert get_phases(view) == {"true": ServerPhase.READY}
            assert view.by_address == {address: "true"}
            assert changed == {"s0"}

    def test_the_order_within_an_update_does_not_matter(self):
        for number in range(20):
            names = f"odd-{number}", f"true-{number}"
            address = f"10.1.1.{number}:80"
            odd = build_row(names[0], incarnation=9_000, address=address)
            true = build_row(names[1], incarnation=5, address=address)
            view = FleetView()
            apply_rows(view, "c1", (odd,), False)
            apply_rows(view, "c1", (true,), True)
            assert get_phases(view) == {names[1]: ServerPhase.READY}

    def test_the_newest_of_the_refused_servers_gets_the_address(self):
        view, address = FleetView(), "10.1.1.1:80"
        for incarnation in (9, 3, 5, 4):
            row = build_row(
                f"s-{incarnation}", incarnation=incarnation, address=address
            )
            apply_rows(view, "c1", (row,), False)
        remove = build_row(
            "s-9", incarnation=9, address=address, phase=ServerPhase.GONE
        )
        apply_rows(view, "c1", (remove,), False)
        assert get_phases(view) == {"s-5": ServerPhase.READY}

    def test_a_server_that_moves_frees_its_address(self):
        view, address = FleetView(), "10.1.1.1:80"
        apply_rows(view, "c1", (build_row("a", incarnation=9, address=address),), False)
        apply_rows(view, "c2", (build_row("b", incarnation=5, address=address),), False)
        moved = build_row("a", incarnation=10, address="10.1.1.2:80")
        apply_rows(view, "c1", (moved,), False)
        assert view.by_address == {address: "b", "10.1.1.2:80": "a"}

    def test_a_silent_holder_gives_way_to_a_server_that_announces_itself(self):
        """An odd entry stays silent at its control daemon until it expires."""
        view, address = FleetView(), "10.1.1.1:80"
        odd = {"incarnation": 9, "address": address}
        true = {"incarnation": 5, "address": address}
        apply_rows(view, "c2", (build_row("true", **true),), False)
        apply_rows(view, "c1", (build_row("odd", **odd),), False)
        assert set(view.merged) == {"odd"}
        apply_rows(view, "c1", (build_row("odd", is_silent=True, **odd),), False)
        assert set(view.merged) == {"true"}
        apply_rows(view, "c2", (build_row("true", is_silent=True, **true),), False)
        assert set(view.merged) == {"odd"}
        apply_rows(view, "c2", (build_row("true", **true),), False)
        assert set(view.merged) == {"true"}
        apply_rows(view, "c1", (build_row("odd", sequence=2, **odd),), False)
        assert set(view.merged) == {"odd"}
