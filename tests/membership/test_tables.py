"""Tests of the tables of backend servers and their deltas."""

import asyncio

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.membership import home_rows
from bramleyrouter.membership.home_rows import (
    HomeRows,
    apply_delta,
    build_delta,
    put_record,
    remove_record,
)
from bramleyrouter.membership.messages import Batch
from bramleyrouter.membership.records import build_own_entry
from bramleyrouter.membership.store import build_membership_state, merge
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind
from tests.support.clusters import make_cluster, make_record, start_all, wait_until
from tests.support.identities import make_identity
from tests.support.virtual_time import run_virtual

HOME = make_identity("home", "dc1", 7100)
OTHER = make_identity("other", "dc1", 7200)


def build_index(board):
    """Build the expected index by shard from the records."""
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
# One copy receives a row before and after a change that is reverted; another copy
# received it in between.
REVERTED_CHANGE = [
    ("put", 0, 0),
    ("copy", 0, 0),
    ("put", 0, 1),
    ("copy", 0, 1),
    ("put", 0, 0),
]


class TestDeltas:
    @given(CHANGES)
    @example(REVERTED_CHANGE)
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_any_copy_can_update_any_other(self, changes):
        """Guards against a copy that misses a change when updated by another copy.

        Three copies apply deltas from the owner or from each other at any time.
        At the end the first is updated from the owner, and each other one from the
        copy before it.
        """
        owner, copies = HomeRows(1), [HomeRows(1) for _ in range(3)]
        max_removals = home_rows.MAX_REMOVALS
        home_rows.MAX_REMOVALS = 1
        try:
            for action, server, choice in changes:
                if action == "copy":
                    sync_copy(copies[choice], [owner, *copies][server * choice])
                else:
                    self.change(owner, action, f"s{server}", choice)
            for source, target in zip([owner, *copies], copies, strict=False):
                sync_copy(target, source)
        finally:
            home_rows.MAX_REMOVALS = max_removals
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
            remove_record(owner, server, version)
        owner.version = version

    def test_lost_delta_is_detected(self):
        """Guards against a table that counts as complete after a lost delta."""
        owner, copy = HomeRows(1), HomeRows(1)
        for number in (1, 2):
            put_record(owner, make_record(f"s{number}", HOME), number)
            owner.version = number
        late = build_delta(owner, HOME.daemon_id, 1)
        assert apply_delta(copy, late) is None
        assert not copy.records


def sync_copy(target, source):
    if source.version > target.version:
        apply_delta(target, build_delta(source, HOME.daemon_id, target.version))


class TestRegistrations:
    @pytest.mark.parametrize("newer_first", [True, False])
    def test_newer_registration_wins_whichever_arrives_first(self, newer_first):
        """Guards against requests to a former home of a server."""
        state = build_membership_state(Board(make_identity("own")), lambda: 0.0, SELF)
        batches = [
            make_batch(HOME, make_record("s", HOME, 1)),
            make_batch(OTHER, make_record("s", OTHER, 2)),
        ]
        for batch in reversed(batches) if newer_first else batches:
            merge(state, batch)
        assert state.board.servers.records["s"].home == OTHER.daemon_id
        dead = msgspec.structs.replace(
            build_own_entry(OTHER, False), statement=1, state=4
        )
        merge(state, Batch(entries=(dead,)))
        assert "s" not in state.board.servers.records
        assert not state.board.servers.by_shard

    def test_one_batch_notifies_watchers_once(self):
        """Guards against watchers that run once per row."""
        state = build_membership_state(Board(make_identity("own")), lambda: 0.0, SELF)
        merge(state, make_batch(HOME, *(make_record(f"s{i}", HOME) for i in range(50))))
        assert state.board.versions[Section.SERVERS] == 1

    def test_few_records_of_a_former_incarnation_are_refuted(self):
        """Guards against two daemons with one id that refute each other forever."""
        state = build_membership_state(Board(make_identity("own")), lambda: 0.0, SELF)
        former = make_identity("own", incarnation=5_000)
        was_refuted = []
        for _ in range(20):
            above = state.own.statement + 1
            entry = msgspec.structs.replace(
                build_own_entry(former, False), statement=above
            )
            merge(state, Batch(entries=(entry,)))
            was_refuted.append(state.own.statement > above)
        assert was_refuted == [True] * 8 + [False] * 12


SELF = build_own_entry(make_identity("own"), False)


def make_batch(identity, *records):
    rows = HomeRows(identity.incarnation, version=1)
    for record in records:
        put_record(rows, record, 1)
    entry = build_own_entry(identity, False)
    return Batch(entries=(entry,), deltas=(build_delta(rows, identity.daemon_id, 0),))


class TestConvergence:
    @pytest.mark.parametrize("seed", range(4))
    def test_tables_agree_after_losses_and_cuts(self, seed):
        """Guards against wrong rows after lost, duplicated or reordered pushes."""

        async def scenario():
            cluster = make_cluster(seed)
            await start_all(cluster)
            cluster.fabric.duplicate = cluster.fabric.reorder = 0.3
            lose_pushes(cluster, 0.3)
            rng = cluster.rng
            for step in range(60):
                daemon = rng.choice(cluster.get_entry_daemons())
                change_rows(daemon, rng, step)
                if step % 20 == 5:
                    centre = rng.choice(["dc1", "dc2", "dc3"])
                    local = set(cluster.get_addresses(centre))
                    remote = set(cluster.get_addresses("dc1", "dc2", "dc3")) - local
                    cluster.fabric.cut_groups(local, remote)
                if step % 20 == 15:
                    cluster.fabric.heal()
                await asyncio.sleep(rng.uniform(0, 0.5))
            await wait_until(lambda: tables_agree(cluster), 10.0)
            for daemon in cluster.daemons.values():
                assert daemon.board.servers.by_shard == build_index(daemon.board)
                states = {r.state for r in daemon.board.daemons.records.values()}
                assert states == {DaemonState.ALIVE}

        run_virtual(scenario())

    def test_status_changes_are_collected(self):
        """Guards against a ramp that sends each of its steps to every daemon."""

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
            # The changes last 3 s; at most one update is sent per second, the first
            # at once.
            assert 2 <= other.versions[Section.SERVERS] - before <= 5

        run_virtual(scenario())


def lose_pushes(cluster, chance):
    """Make receivers discard pushes with probability ``chance``."""
    for daemon in cluster.daemons.values():
        handlers = cluster.fabric.handlers[daemon.address].calls
        handlers[MessageKind.TABLE_DELTA] = make_lossy(
            handlers[MessageKind.TABLE_DELTA], cluster.rng, chance
        )


def make_lossy(handler, rng, chance):
    async def handle(peer, payload):
        if rng.random() >= chance:
            return await handler(peer, payload)

    return handle


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


def tables_agree(cluster):
    daemons = list(cluster.daemons.values())
    own = {}
    for daemon in daemons:
        own_id = daemon.identity.daemon_id
        records = daemon.board.servers.records
        own.update((k, r) for k, r in records.items() if r.home == own_id)
    return all(daemon.board.servers.records == own for daemon in daemons)
