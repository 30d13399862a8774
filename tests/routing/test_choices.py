"""Tests of version choice, replica choice, the replica index and planning."""

import random
from itertools import count

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.board import Section
from bramleyrouter.board.sections import ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.routing.messages import ServiceTarget, ShardKey
from bramleyrouter.routing.plans import (
    MAX_SHARDS_PER_ATTEMPT,
    ShardProgress,
    group_by_home,
    plan_attempts,
)
from bramleyrouter.routing.replica_choice import ChoiceState, choose_replica
from bramleyrouter.routing.replica_index import build_replica_index, throttle
from bramleyrouter.routing.version_choice import choose_version, resolve_targets
from bramleyrouter.states import ServerState
from tests.support.routing_fakes import (
    make_board,
    make_record,
    put_servers,
    put_services,
)


def build_index(board):
    """Return an index with a constant clock, so that it is updated at once."""
    return build_replica_index(board, lambda: 0.0)


def choose_version_on(board, *targets):
    """Return the version chosen for the targets, by default all of service "s"."""
    index = build_index(board)
    requested = resolve_targets(index, targets or [ServiceTarget("s")]).ok_value
    return choose_version(index, requested)


class TestChooseVersion:
    """Guard against versions that are not permitted or cover fewer shards."""

    def test_newest_version_wins_ties_and_coverage_wins_over_age(self):
        board = make_board("ab", 1)
        assert choose_version_on(board) == ("v2", 2)
        put_servers(board, make_record("b0", "b", ["v1"]))
        assert choose_version_on(board) == ("v1", 2)
        assert choose_version_on(board, ServiceTarget("s", ("a",))) == ("v2", 1)

    def test_version_must_be_permitted_for_every_service(self):
        board = make_board("a", 1)
        other = ServiceSpec("o", ("x",), ("v0", "v1"))
        put_services(board, *board.config.services.values(), other)
        put_servers(board, make_record("x0", "x", ["v0", "v1", "v2"], service="o"))
        assert choose_version_on(board, ServiceTarget("s"), ServiceTarget("o")) == (
            "v1",
            2,
        )
        put_services(board, ServiceSpec("s", ("a",), ("v2",)), other)
        assert choose_version_on(board, ServiceTarget("s"), ServiceTarget("o")) is None

    def test_unusable_servers_do_not_count(self):
        for change in (
            dict(usable=False),
            dict(state=ServerState.DRAINING),
            dict(headroom=0.0),
        ):
            board = make_board("ab", 1)
            put_servers(board, make_record("a0", "a", **change))
            assert choose_version_on(board).covered == 1
        board = make_board("ab", 1)
        index = build_index(board)
        board.config.servers_out = frozenset({"a0"})
        board.notify_watchers(Section.CONFIG)
        assert index.covered[("s", "v2")] == 1

    def test_unknown_services_and_shards_are_rejected(self):
        index = build_index(make_board())
        for target, code in (
            (ServiceTarget("z"), Code.UNKNOWN_SERVICE),
            (ServiceTarget("s", ("z",)), Code.UNKNOWN_SHARD),
        ):
            assert resolve_targets(index, [target]).err_value.code is code


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["add", "drop", "out", "spec"]),
        st.sampled_from(["s1", "s2", "s3", "s4"]),
        st.sets(st.sampled_from("abc"), min_size=1),
        st.sets(st.sampled_from(["v1", "v2"]), min_size=1),
        st.booleans(),
    ),
    max_size=25,
)


class TestReplicaIndex:
    """Guard against an index that differs from the server table after changes."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(CHANGES)
    def test_incremental_changes_give_the_same_index_as_a_rebuild(self, changes):
        board = make_board("abc", 0)
        index = build_index(board)
        for kind, name, shards, versions, usable in changes:
            if kind == "add":
                put_servers(board, make_record(name, shards, versions, usable=usable))
            elif kind == "drop":
                board.servers.records.pop(name, None)
                put_servers(board)
            elif kind == "out":
                board.config.servers_out = frozenset({name} if usable else ())
                board.notify_watchers(Section.CONFIG)
            else:
                put_services(board, ServiceSpec("s", tuple(shards), ("v1", "v2")))
        rebuilt = build_index(board)
        assert {key: n for key, n in index.covered.items() if n} == rebuilt.covered

        def list_holders(listed_index):
            return {
                (key, shard): sorted(view.record.server_id for view in views)
                for key, holders in listed_index.holders.items()
                for shard, views in holders.items()
            }

        assert list_holders(index) == list_holders(rebuilt)

    def test_changes_in_quick_succession_share_a_pass(self):
        now, runs = [0.0], []

        def refresh():
            runs.append(now[0])
            now[0] += 0.01

        call = throttle(refresh, lambda: now[0])
        call()
        now[0] += 1.0
        call()
        assert runs == [0.0, 1.01]


class TestChooseReplica:
    """Guard against load concentrated on one server or on a server without capacity."""

    def choose(self, views, state=None, tried=(), seed=0, **options):
        rng = random.Random(seed)
        return choose_replica(views, tried, state or ChoiceState(), rng, 0.0, **options)

    def make_views(self, *changes):
        board = make_board("a", 0)
        records = [
            make_record(f"a{n}", "a", **change) for n, change in enumerate(changes)
        ]
        put_servers(board, *records)
        return list(build_index(board).views.values())

    def test_own_data_centre_is_preferred_then_the_nearest_with_a_free_slot(self):
        own, far, near = self.make_views(
            {}, dict(data_centre="dc2"), dict(data_centre="dc3")
        )
        state = ChoiceState(network_delay_s={"dc2": 0.030, "dc3": 0.002})
        assert self.choose([own, far, near], state) is own
        own.load.in_flight = 2
        assert self.choose([own, far, near], state) is near
        state.is_stale = True
        assert self.choose([own, far, near], state) is own
        far.load.in_flight = near.load.in_flight = 2
        assert self.choose([own, far, near], state) is own
        state.is_stale = False
        own.load.in_flight, own.chosen_at = 6, 0.0
        assert self.choose([own, near], state) is near
        assert self.choose([own, far, near], max_load=1.0) is None

    def test_headroom_limits_the_slots_of_a_cold_server(self):
        cold, warm = self.make_views(dict(headroom=0.4), {})
        cold.load.in_flight = warm.load.in_flight = 1
        assert self.choose([cold, warm]) is warm

    def test_tried_servers_are_excluded_and_unreachable_homes_come_last(self):
        one, other = self.make_views({}, {})
        assert self.choose([one, other], tried={"a0"}) is other
        state = ChoiceState(avoid_until={"home-a0": 1.0})
        assert self.choose([one, other], state) is other
        assert self.choose([one], state) is one

    def test_equal_servers_share_the_load_and_a_slow_one_gets_less(self):
        views = self.make_views({}, {}, {}, {})
        choices = [self.choose(views, seed=seed) for seed in range(400)]
        assert all(70 < choices.count(view) < 130 for view in views)
        views[0].load.latency_s = 0.5
        views[0].chosen_at = -0.5
        choices = [self.choose(views, seed=seed) for seed in range(400)]
        assert choices.count(views[0]) == 0
        views[0].chosen_at = -1.5
        choices = [self.choose(views, seed=seed) for seed in range(400)]
        assert 150 < choices.count(views[0]) < 250


class TestPlans:
    """Guard against shards planned twice, omitted, or all sent to one server."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(1, 40), st.integers(0, 3), st.integers(0, 99))
    def test_every_shard_is_planned_once_or_reported(self, shards, servers, seed):
        shard_names = [f"s{n}" for n in range(shards)]
        board = make_board(shard_names, 0)
        put_servers(
            board,
            *(
                make_record(f"r{n}", shard_names[n:], home=f"h{n % 2}")
                for n in range(servers)
            ),
        )
        index = build_index(board)
        progress = [ShardProgress(ShardKey("s", name)) for name in shard_names]
        args = (ChoiceState(), random.Random(seed), 0.0, count(1).__next__)
        plan = plan_attempts(index, "v2", progress, *args)
        planned = [one for attempt in plan.attempts for one in attempt.shards]
        assert sorted(map(id, planned + plan.unplaced)) == sorted(map(id, progress))
        for attempt in plan.attempts:
            assert len(attempt.shards) <= MAX_SHARDS_PER_ATTEMPT
            held = attempt.view.record.holdings[0].shards
            assert all(one.key.shard in held for one in attempt.shards)
        in_flight = sum(view.load.in_flight for view in index.views.values())
        assert in_flight == len(plan.attempts)
        homes = group_by_home(plan.attempts)
        assert sum(map(len, homes.values())) == len(plan.attempts)

    def test_new_incarnation_resets_the_backoff_of_the_old_one(self):
        board = make_board("a", 1)
        index = build_index(board)
        index.views["a0"].backoff_until = 9.0
        old = board.servers.records["a0"]
        put_servers(board, msgspec.structs.replace(old, incarnation=2))
        assert index.views["a0"].backoff_until < 0
