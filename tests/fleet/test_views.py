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
