"""Tests of the tables of backend servers and their deltas."""

import asyncio

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.membership import tables
from bramleyrouter.membership.messages import Batch
from bramleyrouter.membership.records import own_entry
from bramleyrouter.membership.store import merge, open_state
from bramleyrouter.membership.tables import (
    HomeRows,
    apply_delta,
    delta_since,
    drop_record,
    put_record,
)
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import make_cluster, make_record, start_all, wait_until
from tests.support.identities import make_identity
from tests.support.virtual_time import run_virtual

HOME = make_identity("home", "dc1", 7100)
OTHER = make_identity("other", "dc1", 7200)


def index_of(board):
    """Build the index by shard anew from the records."""
    index = {}
    for server_id in sorted(board.servers.records):
        for holding in board.servers.records[server_id].holdings:
            for shard, versions in holding.shards.items():
                for version in versions:
                    key = holding.service, shard, version
                    index.setdefault(key, []).append(server_id)
    return index


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["put", "status", "drop", "copy"]),
        st.integers(0, 1),
        st.integers(0, 2),
    ),
    max_size=30,
)
# One copy sees a row change and change back; the next saw it in between.
CHANGED_BACK = [
    ("put", 0, 0),
    ("copy", 0, 0),
    ("put", 0, 1),
    ("copy", 0, 1),
    ("put", 0, 0),
]


class TestDeltas:
    @given(CHANGES)
    @example(CHANGED_BACK)
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_any_copy_is_completed_by_any_other(self, changes):
        """Guards against a copy that misses a change it was not sent itself.

        Three copies take deltas from the owner or from each other at any
        time; at the end each one is completed by the next.
        """
        owner, copies = HomeRows(1), [HomeRows(1) for _ in range(3)]
        tables_before = tables.MAX_REMOVALS
        tables.MAX_REMOVALS = 1
        try:
            for action, server, choice in changes:
                if action == "copy":
                    take(copies[choice], [owner, *copies][server * choice])
                else:
                    self.change(owner, action, f"s{server}", choice)
            for source, target in zip([owner, *copies], copies, strict=False):
                take(target, source)
        finally:
            tables.MAX_REMOVALS = tables_before
        for copy in copies:
            assert copy.records == owner.records
            assert copy.version == owner.version

    def change(self, owner, action, server, choice):
        version = owner.version + 1
        old = owner.records.get(server)
        if action == "put":
            record = make_record(server, HOME, address=f"127.0.0.1:{9000 + choice}")
            put_record(owner, record, version)
        elif old is None:
            return
        elif action == "status":
            changed = msgspec.structs.replace(old, headroom=choice / 2)
            put_record(owner, changed, version, is_status=True)
        else:
            drop_record(owner, server, version)
        owner.version = version

    def test_lost_delta_is_noticed(self):
        """Guards against a table that looks complete after a loss."""
        owner, copy = HomeRows(1), HomeRows(1)
        for number in (1, 2):
            put_record(owner, make_record(f"s{number}", HOME), number)
            owner.version = number
        late = delta_since(owner, HOME.daemon_id, 1)
        assert apply_delta(copy, late) is None
        assert not copy.records


def take(target, source):
    if source.version > target.version:
        apply_delta(target, delta_since(source, HOME.daemon_id, target.version))


class TestRegistrations:
    @pytest.mark.parametrize("newer_first", [True, False])
    def test_newer_registration_wins_whichever_arrives_first(self, newer_first):
        """Guards against requests to a home that lost the server."""
        state = open_state(Board(make_identity("own")), lambda: 0.0, SELF)
        news = [
            batch_of(HOME, make_record("s", HOME, 1)),
            batch_of(OTHER, make_record("s", OTHER, 2)),
        ]
        for batch in reversed(news) if newer_first else news:
            merge(state, batch)
        assert state.board.servers.records["s"].home == OTHER.daemon_id
        dead = msgspec.structs.replace(own_entry(OTHER, False), statement=1, state=4)
        merge(state, Batch(entries=(dead,)))
        assert "s" not in state.board.servers.records
        assert not state.board.servers.by_shard

    def test_one_batch_touches_the_section_once(self):
        """Guards against watchers that run once per row."""
        state = open_state(Board(make_identity("own")), lambda: 0.0, SELF)
        merge(state, batch_of(HOME, *(make_record(f"s{i}", HOME) for i in range(50))))
        assert state.board.versions[Section.SERVERS] == 1

    def test_records_of_a_former_life_are_spoken_above_a_few_times_only(self):
        """Guards against two daemons of one id that answer each other for ever."""
        state = open_state(Board(make_identity("own")), lambda: 0.0, SELF)
        former = make_identity("own", incarnation=5_000)
        answered = []
        for _ in range(20):
            above = state.own.statement + 1
            entry = msgspec.structs.replace(own_entry(former, False), statement=above)
            merge(state, Batch(entries=(entry,)))
            answered.append(state.own.statement > above)
        assert answered == [True] * 8 + [False] * 12


SELF = own_entry(make_identity("own"), False)


def batch_of(identity, *records):
    rows = HomeRows(identity.incarnation, version=1)
    for record in records:
        put_record(rows, record, 1)
    entry = own_entry(identity, False)
    return Batch(entries=(entry,), deltas=(delta_since(rows, identity.daemon_id, 0),))


class TestConvergence:
    @pytest.mark.parametrize("seed", range(4))
    def test_tables_agree_after_losses_and_cuts(self, seed):
        """Guards against rows that a lost, doubled or late push leaves wrong."""

        async def scenario():
            cluster = make_cluster(seed)
            await start_all(cluster)
            cluster.fabric.duplicate = cluster.fabric.reorder = 0.3
            lose_pushes(cluster, 0.3)
            rng = cluster.rng
            for step in range(60):
                daemon = rng.choice(cluster.entry_daemons())
                change_rows(daemon, rng, step)
                if step % 20 == 5:
                    centre = rng.choice(["dc1", "dc2", "dc3"])
                    near = set(cluster.addresses(centre))
                    far = set(cluster.addresses("dc1", "dc2", "dc3")) - near
                    cluster.fabric.cut_groups(near, far)
                if step % 20 == 15:
                    cluster.fabric.heal()
                await asyncio.sleep(rng.uniform(0, 0.5))
            await wait_until(lambda: agree(cluster), 10.0)
            for daemon in cluster.daemons.values():
                assert daemon.board.servers.by_shard == index_of(daemon.board)
                states = {r.state for r in daemon.board.daemons.records.values()}
                assert states == {DaemonState.ALIVE}

        run_virtual(scenario())

    def test_status_changes_are_collected(self):
        """Guards against a ramp that sends each of its steps to everyone."""

        async def scenario():
            cluster = make_cluster()
            await start_all(cluster)
            daemon = cluster.daemons["e0dc1"]
            record = make_record("s", daemon.identity, headroom=0.0)
            daemon.membership.publish_rows([record], [])
            await asyncio.sleep(2)
            other = cluster.daemons["e0dc3"].board
            before = other.versions[Section.SERVERS]
            for step in range(100):
                record = msgspec.structs.replace(record, headroom=(step + 1) / 100)
                daemon.membership.publish_rows([record], [])
                await asyncio.sleep(0.03)
            await asyncio.sleep(1.5)
            assert other.servers.records["s"].headroom == 1.0
            # 3 s of changes, at most one a second, and the first at once.
            assert 2 <= other.versions[Section.SERVERS] - before <= 5

        run_virtual(scenario())


def lose_pushes(cluster, chance):
    """Drop a share of the one-way pushes at their receivers."""
    for daemon in cluster.daemons.values():
        handlers = cluster.fabric.handlers[daemon.address].calls
        handlers[MessageKind.TABLE_DELTA] = lossy(
            handlers[MessageKind.TABLE_DELTA], cluster.rng, chance
        )


def lossy(handler, rng, chance):
    async def maybe(peer, payload):
        if rng.random() >= chance:
            return await handler(peer, payload)

    return maybe


def change_rows(daemon, rng, step):
    identity = daemon.identity
    name = f"{identity.daemon_id}-{rng.randrange(5)}"
    if rng.random() < 0.3:
        daemon.membership.publish_rows([], [name])
        return
    holding = ServiceHolding("rods", {f"s{step % 3}": (f"v{step % 4}",)})
    record = make_record(
        name, identity, holdings=(holding,), headroom=rng.choice([0.5, 1.0])
    )
    daemon.membership.publish_rows([record], [])


def agree(cluster):
    daemons = list(cluster.daemons.values())
    own = {}
    for daemon in daemons:
        mine = daemon.identity.daemon_id
        records = daemon.board.servers.records
        own.update((k, r) for k, r in records.items() if r.home == mine)
    return all(daemon.board.servers.records == own for daemon in daemons)
