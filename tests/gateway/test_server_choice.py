"""Tests of the choice of a server with old measurements."""

from collections import Counter
from functools import cache

import pytest

from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.server_choice import (
    Candidate,
    choose_candidate,
    compute_own_order,
)
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    choose_server,
    explain_remote_choice,
    record_reply,
)
from tests.support.balance_trial import (
    build_perfect_choice,
    choose_as_built,
    choose_at_random,
    run_trial,
)
from tests.support.gateway_fakes import HERE, THERE, build_row

DAEMONS = [f"10.0.0.{number}:7380" for number in range(2000)]
UTILISATION, SEED = 0.7, 1
# Release 0.7.0 in the same trial (seed 1), by the number of daemons: 99th percentile in
# seconds, share of sends to other data centres, and new connections.
BEFORE = {62: (0.5806, 0.0734, 629), 3: (0.5012, 0.1436, 118)}


def build_candidate(server_id, daemon, cost=1.0, slots=2, is_local=True):
    order = compute_own_order(daemon, server_id)
    place = HERE if is_local else THERE
    return Candidate(0, 0, cost, order, slots, is_local, place)


def count_choices(specs):
    """Return how many daemons choose each server of ``{id: fields}``."""
    choices = Counter()
    for daemon in DAEMONS:
        items = {name: build_candidate(name, daemon, **specs[name]) for name in specs}
        chosen = choose_candidate(list(items.values()))
        choices[next(name for name in items if items[name] is chosen)] += 1
    return choices


@cache
def run(choose, daemons):
    return run_trial(choose, UTILISATION, SEED, daemon_count=daemons)


class TestOwnOrder:
    def test_daemons_share_similar_servers_by_their_slots(self):
        # Guards against all daemons preferring the server that is listed first.
        choices = count_choices({"a": {"slots": 2}, "b": {"slots": 6}})
        assert 0.21 < choices["a"] / len(DAEMONS) < 0.29

    def test_the_fastest_local_server_gets_most(self):
        # Guards against even use of unequal servers while load is low.
        choices = count_choices({"a": {"cost": 0.77}, "b": {"cost": 1.25}})
        assert choices["a"] > 0.9 * len(DAEMONS)

    def test_a_small_change_moves_few_daemons(self):
        # Guards against daemons that leave a server together and open connections.
        before = count_choices({"a": {}, "b": {}})
        after = count_choices({"a": {"cost": 1.03}, "b": {}})
        assert 0 < before["a"] - after["a"] < 0.08 * len(DAEMONS)


class TestRemoteServers:
    def test_a_data_centre_with_many_slots_sends_less_elsewhere(self):
        # Guards against paying for bytes because of pauses that have already ended.
        remote = {"cost": 1.0, "is_local": False}
        for slots, expected in ((2, "far"), (4, "near")):
            near = {"cost": 3.5, "slots": slots}
            choices = count_choices({"near": near, "far": remote})
            assert choices[expected] == len(DAEMONS)

    def test_the_log_names_the_local_server_and_the_age_of_its_measurement(self):
        near = TrackedServer(build_row("near"), slowness=5.0, slowness_at=97.0)
        far = TrackedServer(build_row("far", data_centre=THERE))
        context = ChoiceContext(97.5, HERE, (), 0.0)
        reason = explain_remote_choice([near, far], far, context)
        assert (reason.local_server, reason.age_s) == ("near", 0.5)
        assert reason.is_by_cost
        tried = explain_remote_choice([near, far], far, context._replace(now=200.0))
        assert not tried.is_by_cost
        assert explain_remote_choice([near, far], near, context) is None


class TestAge:
    def test_a_failure_is_forgotten_without_further_requests(self):
        # Guards against a server that is avoided for good after one refusal, because
        # only a reply of the same server lowered its share of failures.
        server = TrackedServer(build_row("a"))
        other = TrackedServer(build_row("b"), slowness=1.5, lasting_slowness=1.5)
        refused = ServerReply(ExchangeOutcome.REFUSED, 503)
        record_reply(server, refused, 0.001, 0.016, 100.0)
        other.slowness_at = 99.0
        for now, expected in ((101.0, other), (160.0, server)):
            other.slowness_at = now
            context = ChoiceContext(now, HERE, (), 0.0)
            assert choose_server([server, other], context) is expected


class TestTrial:
    """Guard against choices that overload servers while others idle."""

    @pytest.mark.parametrize("daemons", BEFORE)
    def test_neither_latency_nor_remote_traffic_is_worse_than_before(self, daemons):
        p99_s, remote_share, _ = BEFORE[daemons]
        figures = run(choose_as_built, daemons)
        assert figures["p99"] < p99_s
        assert figures["remote_share"] < remote_share

    @pytest.mark.parametrize("daemons", BEFORE)
    def test_no_more_connections_are_opened_than_before(self, daemons):
        assert run(choose_as_built, daemons)["connections"] < BEFORE[daemons][2]

    def test_fewer_refusals_while_servers_idle_than_at_random(self):
        figures, random = run(choose_as_built, 62), run(choose_at_random, 62)
        assert figures["refused_while_idle"] < random["refused_while_idle"] / 2
        assert figures["p99"] < random["p99"]

    @pytest.mark.parametrize("daemons", BEFORE)
    def test_half_of_the_distance_to_perfect_knowledge_is_gone(self, daemons):
        perfect_s = run(build_perfect_choice(), daemons)["p99"]
        target_s = (BEFORE[daemons][0] + perfect_s) / 2
        assert run(choose_as_built, daemons)["p99"] <= target_s
