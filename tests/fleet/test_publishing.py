"""Tests of what a control daemon sends its subscribers, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from bramleyrouter.control.messages import EndRollout, StartRollout
from bramleyrouter.control.version_rollouts import (
    VersionRollouts,
    end_rollout,
    start_rollout,
)
from bramleyrouter.fleet.messages import Update, decode_update
from bramleyrouter.fleet.publishing import (
    COUNT_STARTUP_DELAY_S,
    ENTRY_DAEMON_RETENTION_S,
    NAMED_RELAYS_PER_DATA_CENTRE,
    FleetPublisherState,
    Subscriber,
    _send_updates,
)
from bramleyrouter.fleet.records import VersionedRow, drop_version
from bramleyrouter.fleet.registry import ServerRegistry, apply_announcement
from bramleyrouter.fleet.rollout_records import RolloutState
from bramleyrouter.wire.network import Peer
from tests.fleet.fleet_cluster import EntryDaemon, FleetCluster
from tests.support.gateway_fakes import build_row
from tests.support.log_cluster import in_virtual_time


class CountingStateMachine:
    """Count how often the configuration is read."""

    def __init__(self):
        self.reads = 0

    def routes(self):
        self.reads += 1
        return SimpleNamespace(document=b"x", version=3)

    def config(self):
        return SimpleNamespace(revision=2, data_centres_out=())

    def rollouts(self):
        return VersionRollouts()


def build_publisher(subscribers, send):
    status = SimpleNamespace(members=[SimpleNamespace(address="c1")], commit_index=5)
    log = SimpleNamespace(status=lambda: status)
    publisher = FleetPublisherState(
        ServerRegistry(1.2), CountingStateMachine(), log, lambda: 100.0, "d0", 0.0
    )
    for at in range(subscribers):
        peer = Peer(f"e{at}", f"d{at % 6}", f"10.{at % 6}.0.{at}:7")
        publisher.subscribers[f"e{at}"] = Subscriber(peer, send(at))
    return publisher


class TestSendUpdates:
    def test_the_work_for_all_subscribers_is_done_once(self):
        """Guards against work that grows with the square of the entry daemons."""
        sent = {}
        publisher = build_publisher(
            240, lambda at: lambda item: sent.update({at: item})
        )
        _send_updates(publisher, True)
        assert publisher.state_machine.reads == 1
        assert len(sent) == 240
        _send_updates(publisher, True)
        # All of them get the same keepalive, which is encoded once.
        assert len({id(item) for item in sent.values()}) == 1

    def test_subscribers_nearby_get_all_relays_and_others_some(self):
        sent = {}
        publisher = build_publisher(60, lambda at: lambda item: sent.update({at: item}))
        _send_updates(publisher, True)

        def count_relays(at, data_centre):
            relays = decode_update(sent[at]).ok_value.update.relays
            return sum(name == data_centre for _, name in relays)

        assert count_relays(0, "d0") == 10
        assert count_relays(1, "d0") == NAMED_RELAYS_PER_DATA_CENTRE
        assert count_relays(0, "d1") == NAMED_RELAYS_PER_DATA_CENTRE

    @pytest.mark.parametrize(
        "fields", [{"sequence": 2**70}, {"slots": 2**70}, {"address": "10.0.0.9:0"}]
    )
    def test_a_row_that_can_not_be_sent_costs_no_other_its_change(self, fields):
        """Guards against an encoding error that stops the stream of all servers."""
        sent = []
        publisher = build_publisher(1, lambda at: sent.append)
        publisher.queued_rows["odd"] = build_row("odd", **fields)
        publisher.queued_rows["sound"] = build_row("sound")
        _send_updates(publisher)
        rows = decode_update(sent[-1]).ok_value.update.rows
        assert [row.server_id for row in rows] == ["sound"]
        assert publisher.queued_rows == {}

    def test_rows_stay_queued_until_they_were_sent(self):
        """Guards against changes that are lost because a subscriber's send failed."""

        def fail(item):
            raise RuntimeError("the send failed")

        publisher = build_publisher(1, lambda at: fail)
        publisher.queued_rows["sound"] = build_row("sound")
        with pytest.raises(RuntimeError):
            _send_updates(publisher)
        assert set(publisher.queued_rows) == {"sound"}


class TestSubscriptions:
    @pytest.mark.parametrize(
        "fields", [{"sequence": 2**70}, {"slots": 2**70}, {"address": "10.0.0.9:0"}]
    )
    @in_virtual_time
    async def test_an_odd_row_costs_new_subscribers_nothing_else(self, fields):
        """Guards against a first update that can't be encoded or that is refused."""
        cluster = FleetCluster()
        cluster.start(0, 1, 2)
        registry = cluster.controls[0].registry
        apply_announcement(registry, build_row("odd", **fields), 0.0)
        apply_announcement(registry, build_row("sound"), 0.0)
        entry = EntryDaemon(cluster, "e0", 7500)
        await asyncio.sleep(0.5)
        assert set(entry.state.view.merged) == {"sound"}
        assert cluster.controls[0].address in entry.state.last_contact_at
        assert "bad_rows" not in [event for event, _ in entry.events]

    @in_virtual_time
    async def test_a_failed_subscription_leaves_no_subscriber(self):
        """Guards against entry daemons that are counted without being there."""
        cluster = FleetCluster()
        cluster.start(0, 1, 2)
        control = cluster.controls[0]
        rows = control.registry.servers
        rows["odd"] = None
        entry = EntryDaemon(cluster, "e0", 7500)
        await asyncio.sleep(0.5)
        assert control.address not in entry.state.last_contact_at
        assert control.publisher.count_subscribers() == 0
        del rows["odd"]
        await asyncio.sleep(1.0)
        assert control.publisher.count_subscribers() == 1


class TestCountsAfterAPause:
    """A paused control daemon must not take its subscribers for lost when it goes on.

    Entry daemons divide common budgets by the count; their streams have ended by then
    and come back one by one.
    """

    def start(self, started_at):
        """Return the publisher of ten subscribers, its clock and the counts sent."""
        sent, now = [], [100.0]

        def append_count(item):
            counts = decode_update(item).ok_value.update.entry_daemons
            if counts is not None:
                sent.append(sum(counts.values()))

        publisher = build_publisher(10, lambda at: append_count)
        publisher.clock = lambda: now[0]
        publisher.started_at = started_at
        _send_updates(publisher, True)
        return publisher, now, sent

    def keep_one_subscriber(self, publisher):
        first = next(iter(publisher.subscribers))
        publisher.subscribers = {first: publisher.subscribers[first]}

    def run(self, publisher, now, seconds):
        """Send a keepalive every half second."""
        for _ in range(int(2 * seconds)):
            now[0] += 0.5
            _send_updates(publisher, True)

    def test_subscribers_are_counted_for_the_usual_time(self):
        publisher, now, sent = self.start(0.0)
        assert sent[-1] == 10
        now[0] += 60.0
        self.keep_one_subscriber(publisher)
        self.run(publisher, now, ENTRY_DAEMON_RETENTION_S - 3.0)
        assert sent[-1] == 10
        self.run(publisher, now, 4.0)
        assert sent[-1] == 1

    def test_the_first_count_waits_for_the_usual_time(self):
        publisher, now, sent = self.start(100.0)
        self.keep_one_subscriber(publisher)
        publisher.last_subscribed.clear()
        now[0] += 60.0
        _send_updates(publisher, True)
        assert sent == []
        self.run(publisher, now, COUNT_STARTUP_DELAY_S)
        assert sent == [1]


class TestRollouts:
    """Guard against a trial that goes on without the verdict, and against new bytes."""

    def build(self, is_current):
        sent = []
        publisher = build_publisher(1, lambda at: sent.append)
        rollouts = VersionRollouts()
        publisher.state_machine.rollouts = lambda: rollouts
        publisher.log.is_current = lambda: is_current
        return publisher, rollouts, sent

    def test_only_a_current_log_confirms_an_open_rollout(self):
        for is_current in (False, True):
            publisher, rollouts, sent = self.build(is_current)
            start_rollout(rollouts, StartRollout("s0", "v2", 9.0), 0)
            _send_updates(publisher, is_keepalive=True)
            _send_updates(publisher, is_keepalive=True)
            first, second = (decode_update(item).ok_value.update for item in sent)
            assert first.rollouts == tuple(rollouts.by_service.values())
            confirmed = getattr(second, "confirmed_revision", None)
            assert confirmed == (1 if is_current else None)
            end_rollout(rollouts, EndRollout("s0", 1, RolloutState.ROLLED_BACK))
            _send_updates(publisher, is_keepalive=True)
            _send_updates(publisher, is_keepalive=True)
            assert decode_update(sent[-1]).ok_value.update == Update()

    def test_versions_are_sent_only_for_services_with_a_rollout(self):
        publisher, rollouts, sent = self.build(True)
        row = VersionedRow("i", 1, 1, "s0", "10.0.0.1:1", "d0", 2, version="v2")
        apply_announcement(publisher.registry, row, 100.0)
        publisher.queued_rows["i"] = row
        _send_updates(publisher)
        plain = decode_update(sent[-1]).ok_value.update.rows
        assert plain == (drop_version(row),)
        start_rollout(rollouts, StartRollout("s0", "v2", 9.0), 0)
        _send_updates(publisher)
        assert decode_update(sent[-1]).ok_value.update.rows == (row,)
