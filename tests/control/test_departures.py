"""Tests of the replicated record of servers that leave."""

import msgspec

from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.departures import (
    RETENTION_MS,
    Departures,
    has_departed,
    record_departure,
)
from bramleyrouter.control.messages import Depart
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.fleet.records import ServerPhase
from tests.support.gateway_fakes import build_row

DRAINING = build_row("a", sequence=5, phase=ServerPhase.DRAINING)
GONE = build_row("a", phase=ServerPhase.GONE)


class TestRecord:
    """Guard against a record that forgets, reverts or grows without bound."""

    def test_gone_follows_draining_and_not_the_reverse(self):
        departures = Departures()
        assert record_departure(departures, DRAINING, 1)
        assert not has_departed(departures, GONE)
        assert record_departure(departures, GONE, 2)
        assert not record_departure(departures, DRAINING, 3)
        assert departures.by_server["a"].row.phase is ServerPhase.GONE

    def test_later_start_replaces_an_earlier_one(self):
        departures = Departures()
        later = msgspec.structs.replace(DRAINING, incarnation=2)
        assert record_departure(departures, GONE, 1)
        assert record_departure(departures, later, 2)
        assert not record_departure(departures, GONE, 3)
        assert departures.by_server["a"].row is later

    def test_old_departures_expire(self):
        departures = Departures()
        for number in range(100):
            row = build_row(f"s{number}", phase=ServerPhase.GONE)
            record_departure(departures, row, number * RETENTION_MS // 10)
        assert len(departures.by_server) == 11


class TestReplication:
    """Guard against a member that loses departures in a snapshot or applies none."""

    def test_snapshot_retains_departures_and_notifies_of_them(self):
        first, second = build_control_state_machine(), build_control_state_machine()
        seen, late = [], []
        second.watch_departures(lambda item: seen.append((item.row, item.stamp_ms)))
        for stamp_ms, row in ((7, DRAINING), (8, GONE)):
            first.for_log.apply(1, stamp_ms, encode_command(Depart(row)))
        second.for_log.restore(first.for_log.snapshot())
        assert seen == [(GONE, 8)] and second.has_departed(DRAINING)
        second.watch_departures(lambda item: late.append(item.row))
        assert late == [GONE]

    def test_failing_watcher_stops_nothing(self):
        state_machine, seen = build_control_state_machine(), []

        def fail(departure):
            raise ValueError("a watcher failed")

        state_machine.watch_departures(fail)
        state_machine.watch_departures(seen.append)
        state_machine.for_log.apply(1, 7, encode_command(Depart(GONE)))
        assert len(seen) == 1
