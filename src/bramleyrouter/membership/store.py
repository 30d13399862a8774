"""State of membership and the rules by which news changes it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import log2

import msgspec
from absl import logging

from bramleyrouter.board import Board, Section
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre, ServerId
from bramleyrouter.membership.messages import (
    MAX_ROWS_PER_BATCH,
    Batch,
    Delta,
    Entry,
    Held,
)
from bramleyrouter.membership.records import (
    hash_of,
    is_dead,
    is_newer,
    order_of,
    record_of,
    state_number,
    state_of,
)
from bramleyrouter.membership.server_view import ServerView, refresh_servers
from bramleyrouter.membership.tables import HomeRows, apply_delta, delta_since
from bramleyrouter.states import DaemonState

# A suspected daemon has this long to refute it.
SUSPICION_S = 1.5
# Another data centre without a sign of life for this long shows as suspect. The
# time grows with each doubling of the own data centre, through which signs of
# life spread from the relays by probes between random peers.
CENTRE_SUSPECT_S = 4.0
CENTRE_SUSPECT_PER_DOUBLING_S = 1.0
# After this many times as long its servers are hidden; they return with its next
# sign of life.
CENTRE_LOST_FACTOR = 2.0
# A dead daemon's record outlives the older records that may still be under way.
TOMBSTONE_S = 3600.0

# Records of a former incarnation that may still arrive, each newer than the one
# before: its last statements, and the verdicts of its peers on them.
MAX_FORMER_RECORDS = 8

Affected = set[tuple[DaemonId, ServerId]]


@dataclass
class MembershipState:
    """Hold what this daemon knows of all daemons and their servers.

    ``heard`` is the loop time, in seconds, of the latest proven sign of life
    from each other data centre. ``digests`` summarise each data centre's
    entries that are not dead. ``suspicions`` maps suspects of the own data
    centre to the time at which they are declared dead.
    """

    board: Board
    clock: Callable[[], float]
    own: Entry
    entries: dict[DaemonId, Entry] = field(default_factory=dict)
    rows: dict[DaemonId, HomeRows] = field(default_factory=dict)
    hashes: dict[DaemonId, tuple[DataCentre, int]] = field(default_factory=dict)
    digests: dict[DataCentre, int] = field(default_factory=dict)
    heard: dict[DataCentre, float] = field(default_factory=dict)
    suspicions: dict[DaemonId, float] = field(default_factory=dict)
    died_at: dict[DaemonId, float] = field(default_factory=dict)
    # Records of other incarnations of this daemon that it spoke above.
    refuted: dict[DaemonIncarnation, int] = field(default_factory=dict)
    view: ServerView = field(default_factory=ServerView)
    hidden: frozenset[DataCentre] = frozenset()
    suspected_centres: frozenset[DataCentre] = frozenset()
    is_settled: bool = False


def open_state(board: Board, clock: Callable[[], float], own: Entry) -> MembershipState:
    """Return the state of a daemon that knows only itself."""
    state = MembershipState(board, clock, own)
    _store_entry(state, own, set())
    _write_daemon(state, own)
    return state


def restate(state: MembershipState, daemon_state: DaemonState, above: int = 0) -> Entry:
    """State this daemon's own state anew, above an earlier ``statement``."""
    own = msgspec.structs.replace(
        state.own,
        statement=max(state.own.statement, above) + 1,
        state=state_number(daemon_state),
    )
    state.own = own
    _store_entry(state, own, set())
    _write_daemon(state, own)
    state.board.notify_watchers(Section.DAEMONS)
    return own


def merge(state: MembershipState, batch: Batch) -> Batch | None:
    """Take in what is news of ``batch``; return that part, or None."""
    affected: Affected = set()
    # What peers hear of a refuted suspicion is the refutation.
    entries = tuple(
        state.entries[entry.daemon_id]
        for entry in batch.entries
        if _merge_entry(state, entry, affected)
    )
    deltas = tuple(
        delta for delta in batch.deltas if _merge_delta(state, delta, affected)
    )
    for entry in entries:
        _write_daemon(state, entry)
    refresh(state, affected)
    if entries:
        state.board.notify_watchers(Section.DAEMONS)
    if not entries and not deltas:
        return None
    return msgspec.structs.replace(batch, entries=entries, deltas=deltas)


def refresh(state: MembershipState, affected: Iterable) -> None:
    """Write the board's servers that are affected; touch it once."""
    table = state.board.servers
    visible = lambda home: _is_visible(state, home)
    if refresh_servers(state.view, table, state.rows, visible, affected):
        state.board.notify_watchers(Section.SERVERS)


def _is_visible(state: MembershipState, home: DaemonId) -> bool:
    entry = state.entries.get(home)
    return entry is not None and entry.data_centre not in state.hidden


def _merge_entry(state: MembershipState, entry: Entry, affected: Affected) -> bool:
    if entry.daemon_id == state.own.daemon_id:
        return _hear_of_self(state, entry)
    if not entry.daemon_id or not is_newer(entry, state.entries.get(entry.daemon_id)):
        return False
    _store_entry(state, entry, affected)
    return True


def _hear_of_self(state: MembershipState, entry: Entry) -> bool:
    if not is_newer(entry, state.own):
        return False
    if entry.incarnation != state.own.incarnation and not _is_former(state, entry):
        return False
    logging.info('membership: refuting that this daemon is "%s".', state_of(entry))
    restate(state, state_of(state.own), entry.statement)
    return True


def _is_former(state: MembershipState, entry: Entry) -> bool:
    """Return whether another incarnation of this daemon can be a former one.

    A former one no longer answers, so only a few of its records can still be
    under way; one that goes on speaking runs at the same time.
    """
    heard = state.refuted.get(entry.incarnation, 0)
    state.refuted[entry.incarnation] = heard + 1
    if heard < MAX_FORMER_RECORDS:
        return True
    logging.log_first_n(
        logging.ERROR,
        'membership: another "%s" runs with the incarnation %d.',
        1,
        entry.daemon_id,
        entry.incarnation,
    )
    return False


def _store_entry(state: MembershipState, entry: Entry, affected: Affected) -> None:
    name = entry.daemon_id
    old = state.entries.get(name)
    state.entries[name] = entry
    state.suspicions.pop(name, None)
    state.died_at.pop(name, None)
    if is_dead(entry):
        state.died_at[name] = state.clock()
        _drop_rows(state, name, affected)
    elif old is None or old.incarnation != entry.incarnation or is_dead(old):
        _drop_rows(state, name, affected)
        state.rows[name] = HomeRows(entry.incarnation)
    if state_of(entry) is DaemonState.SUSPECT:
        if entry.data_centre == state.own.data_centre:
            state.suspicions[name] = state.clock() + SUSPICION_S
    update_digest(state, name)


def _drop_rows(state: MembershipState, name: DaemonId, affected: Affected) -> None:
    rows = state.rows.pop(name, None)
    affected.update((name, server_id) for server_id in (rows.records if rows else ()))


def _merge_delta(state: MembershipState, delta: Delta, affected: Affected) -> bool:
    rows = state.rows.get(delta.home)
    if rows is None or delta.home == state.own.daemon_id:
        return False
    servers = apply_delta(rows, delta)
    if servers is None:
        return False
    affected.update((delta.home, server_id) for server_id in servers)
    update_digest(state, delta.home)
    return True


def update_digest(state: MembershipState, name: DaemonId) -> None:
    """Bring the digest of a daemon's data centre in step with its entry."""
    if old := state.hashes.pop(name, None):
        state.digests[old[0]] ^= old[1]
    entry = state.entries.get(name)
    if entry is None or is_dead(entry):
        return
    number = hash_of(entry, state.rows[name].version)
    centre = entry.data_centre
    state.hashes[name] = (centre, number)
    state.digests[centre] = state.digests.get(centre, 0) ^ number


def _write_daemon(state: MembershipState, entry: Entry) -> None:
    is_reachable = entry.data_centre not in state.suspected_centres
    record = record_of(entry, is_reachable)
    state.board.daemons.records[entry.daemon_id] = record


def note_heard(state: MembershipState, centre: DataCentre, at: float) -> None:
    """Note a sign of life of another data centre at loop time ``at``."""
    if at > state.heard.get(centre, float("-inf")):
        state.heard[centre] = at


def review_centres(state: MembershipState) -> None:
    """Mark and hide the data centres that gave no sign of life for long."""
    now = state.clock()
    silent = {
        centre: now - state.heard.setdefault(centre, now)
        for centre, digest in state.digests.items()
        if centre != state.own.data_centre and digest
    }
    limit = _centre_limit(state)
    suspected = frozenset(c for c, age in silent.items() if age > limit)
    limit *= CENTRE_LOST_FACTOR
    hidden = frozenset(c for c, age in silent.items() if age > limit)
    if suspected != state.suspected_centres:
        _log_centres(state.suspected_centres, suspected)
        state.suspected_centres = suspected
        for entry in state.entries.values():
            _write_daemon(state, entry)
        state.board.notify_watchers(Section.DAEMONS)
    if hidden != state.hidden:
        changed = hidden ^ state.hidden
        state.hidden = hidden
        refresh(state, _rows_of_centres(state, changed))


def _centre_limit(state: MembershipState) -> float:
    own = state.own.data_centre
    members = sum(1 for centre, _ in state.hashes.values() if centre == own)
    return CENTRE_SUSPECT_S + CENTRE_SUSPECT_PER_DOUBLING_S * log2(max(members, 1))


def _log_centres(old: frozenset[DataCentre], new: frozenset[DataCentre]) -> None:
    for centre in sorted(new - old):
        logging.warning('membership: no sign of life from data centre "%s".', centre)
    for centre in sorted(old - new):
        logging.info('membership: data centre "%s" answers again.', centre)


def _rows_of_centres(state: MembershipState, centres) -> Affected:
    return {
        (name, server_id)
        for name, rows in state.rows.items()
        if state.entries[name].data_centre in centres
        for server_id in rows.records
    }


def forget_old(state: MembershipState) -> None:
    """Forget daemons that died long ago."""
    limit = state.clock() - TOMBSTONE_S
    old = [name for name, at in state.died_at.items() if at < limit]
    for name in old:
        del state.died_at[name], state.entries[name]
        del state.board.daemons.records[name]
    if old:
        state.board.notify_watchers(Section.DAEMONS)


def held_of(state: MembershipState, name: DaemonId) -> Held:
    """Return what is held of a daemon and of its rows."""
    entry = state.entries.get(name)
    if entry is None:
        return Held(name)
    rows = state.rows.get(name)
    version = rows.version if rows else 0
    return Held(name, entry.incarnation, entry.statement, entry.state, version)


def is_ahead(held: Held, of: Held) -> bool:
    """Return whether ``held`` has a newer entry or newer rows than ``of``."""
    return _order(held) > _order(of) or (
        held.incarnation == of.incarnation and held.version > of.version
    )


def batch_for(state: MembershipState, held: Iterable[Held]) -> tuple[Batch, bool]:
    """Return what a peer that has ``held`` lacks, and whether more remains."""
    entries, deltas = [], []
    budget = MAX_ROWS_PER_BATCH
    for item in held:
        entry = state.entries.get(item.daemon_id)
        if entry is None:
            continue
        if _order(entry) > _order(item):
            entries.append(entry)
        rows = state.rows.get(item.daemon_id)
        version = item.version if item.incarnation == entry.incarnation else 0
        if rows is None or rows.version <= version or budget <= 0:
            continue
        delta = delta_since(rows, item.daemon_id, version)
        deltas.append(delta)
        budget -= len(delta.rows) + len(delta.statuses) + 1
    return Batch(entries=tuple(entries), deltas=tuple(deltas)), budget <= 0


def _order(item: Entry | Held) -> tuple[int, int, int]:
    return order_of(item.incarnation, item.statement, item.state)
