import itertools

from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.views import FleetView, apply_rows, drop_source
from tests.support.gateway_fakes import build_row


def usable(view, service="s0"):
    return {
        server_id: item.phase
        for server_id, item in view.by_service.get(service, {}).items()
    }


class TestApplyRows:
    def test_the_order_of_the_sources_does_not_matter(self):
        # A server reported to one control daemon, then drained and left at two
        # others; its successor has the address.
        told = [
            ("c1", build_row("a", sequence=3)),
            ("c2", build_row("a", sequence=4, phase=ServerPhase.DRAINING)),
            ("c3", build_row("a", sequence=4, phase=ServerPhase.GONE)),
            ("c1", build_row("b", address=build_row("a").address, incarnation=2)),
            ("c2", build_row("c", service="s1", address="10.9.9.9:1")),
        ]
        outcomes = set()
        for order in itertools.permutations(told):
            view = FleetView()
            for source, item in order:
                apply_rows(view, source, (item,), False)
            outcomes.add((tuple(usable(view)), tuple(usable(view, "s1"))))
        assert outcomes == {(("b",), ("c",))}

    def test_the_latest_word_on_the_phase_holds(self):
        view = FleetView()
        apply_rows(
            view, "c1", (build_row("a", sequence=4, phase=ServerPhase.DRAINING),), False
        )
        apply_rows(view, "c2", (build_row("a", sequence=3),), False)
        assert usable(view) == {"a": ServerPhase.DRAINING}

    def test_silent_only_where_no_control_daemon_hears_it(self):
        view = FleetView()
        apply_rows(view, "c1", (build_row("a", sequence=9, is_silent=True),), False)
        apply_rows(view, "c2", (build_row("a", sequence=3),), False)
        assert not view.merged["a"].is_silent
        apply_rows(view, "c2", (build_row("a", sequence=3, is_silent=True),), False)
        assert view.merged["a"].is_silent

    def test_a_full_update_replaces_what_its_source_told(self):
        view = FleetView()
        apply_rows(
            view, "c1", (build_row("a"), build_row("b", address="10.0.0.2:1")), False
        )
        changed = apply_rows(view, "c1", (build_row("a"),), True)
        assert usable(view) == {"a": ServerPhase.READY}
        assert changed == {"s0"}

    def test_a_restarted_source_does_not_bring_back_what_is_gone(self):
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        apply_rows(view, "c2", (build_row("a", phase=ServerPhase.GONE),), False)
        apply_rows(view, "c2", (), True)
        apply_rows(view, "c1", (build_row("a", sequence=8),), True)
        assert usable(view) == {}

    def test_repeats_change_nothing(self):
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        assert apply_rows(view, "c1", (build_row("a"),), False) == set()

    def test_a_dropped_source(self):
        view = FleetView()
        apply_rows(view, "c1", (build_row("a"),), False)
        assert drop_source(view, "c1") == {"s0"}
        assert usable(view) == {}
