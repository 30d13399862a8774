"""State of membership and the rules by which updates change it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import log2

import msgspec
from absl import logging

from bramleyrouter.board import Board, Section
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre, ServerId
from bramleyrouter.membership.home_rows import HomeRows, apply_delta, build_delta
from bramleyrouter.membership.messages import (
    MAX_ROWS_PER_BATCH,
    Batch,
    Delta,
    Entry,
    Held,
)
from bramleyrouter.membership.records import (
    build_daemon_record,
    compute_entry_hash,
    get_state,
    get_state_number,
    is_dead,
    is_newer,
    version_key,
)
from bramleyrouter.membership.server_view import ServerView, refresh_servers
from bramleyrouter.states import DaemonState

# A suspected daemon that does not refute the suspicion in this time is declared dead.
SUSPICION_S = 1.5
# Daemons of another data centre become suspect after this time without contact. It
# grows with each doubling of the daemons in the own data centre, in which contacts
# spread from the relays through probes between random peers.
CENTRE_SUSPECT_S = 4.0
CENTRE_SUSPECT_PER_DOUBLING_S = 1.0
# After the time above, multiplied by this factor, the servers of the data centre are
# hidden; they return at the next contact.
CENTRE_HIDDEN_FACTOR = 2.0
# Seconds for which the record of a dead daemon is retained: longer than older records
# may be delayed, so that none of them revives the daemon.
TOMBSTONE_S = 3600.0

# Records of a former incarnation that may still arrive, each newer than the one before:
# its last statements, and the states that its peers declared after them.
MAX_FORMER_RECORDS = 8

Affected = set[tuple[DaemonId, ServerId]]


@dataclass
class MembershipState:
    """Hold the records of all daemons and the rows of their servers.

    ``last_contact_at`` is the loop time, in seconds, of the latest proven contact
    with each other data centre. ``digests`` combine the hashes of each data
    centre's entries that are not dead. ``suspicions`` maps suspects of the own data
    centre to the loop time at which they are declared dead. ``is_settled`` says
    whether the tables of this daemon are complete.
    """

    board: Board
    clock: Callable[[], float]
    own: Entry
    entries: dict[DaemonId, Entry] = field(default_factory=dict)
    rows: dict[DaemonId, HomeRows] = field(default_factory=dict)
    entry_hashes: dict[DaemonId, tuple[DataCentre, int]] = field(default_factory=dict)
    digests: dict[DataCentre, int] = field(default_factory=dict)
    last_contact_at: dict[DataCentre, float] = field(default_factory=dict)
    suspicions: dict[DaemonId, float] = field(default_factory=dict)
    died_at: dict[DaemonId, float] = field(default_factory=dict)
    # For each other incarnation with this daemon's id: how many records of it were
    # received that were newer than this daemon's own.
    former_record_counts: dict[DaemonIncarnation, int] = field(default_factory=dict)
    view: ServerView = field(default_factory=ServerView)
    hidden_centres: frozenset[DataCentre] = frozenset()
    suspected_centres: frozenset[DataCentre] = frozenset()
    is_settled: bool = False


def build_membership_state(
    board: Board, clock: Callable[[], float], own: Entry
) -> MembershipState:
    """Build the state of a daemon that has a record of itself only."""
    state = MembershipState(board, clock, own)
    _store_entry(state, own, set())
    _write_daemon_record(state, own)
    return state


def update_own_entry(
    state: MembershipState, daemon_state: DaemonState, above: int = 0
) -> Entry:
    """Set this daemon's own state, with a statement number larger than ``above``."""
    own = msgspec.structs.replace(
        state.own,
        statement=max(state.own.statement, above) + 1,
        state=get_state_number(daemon_state),
    )
    state.own = own
    _store_entry(state, own, set())
    _write_daemon_record(state, own)
    state.board.notify_watchers(Section.DAEMONS)
    return own


def merge(state: MembershipState, batch: Batch) -> Batch | None:
    """Apply the newer parts of ``batch``; return them, or None if there are none."""
    affected: Affected = set()
    # Returns the stored entries: where this daemon refuted a record about itself,
    # the stored entry is the refutation, which is what peers have to receive.
    entries = tuple(
        state.entries[entry.daemon_id]
        for entry in batch.entries
        if _merge_entry(state, entry, affected)
    )
    deltas = tuple(
        delta for delta in batch.deltas if _merge_delta(state, delta, affected)
    )
    for entry in entries:
        _write_daemon_record(state, entry)
    refresh_server_table(state, affected)
    if entries:
        state.board.notify_watchers(Section.DAEMONS)
    if not entries and not deltas:
        return None
    return msgspec.structs.replace(batch, entries=entries, deltas=deltas)


def refresh_server_table(state: MembershipState, affected: Iterable) -> None:
    """Update the affected servers on the blackboard and notify watchers once."""
    table = state.board.servers
    is_visible = lambda home: _is_visible(state, home)
    if refresh_servers(state.view, table, state.rows, is_visible, affected):
        state.board.notify_watchers(Section.SERVERS)


def _is_visible(state: MembershipState, home: DaemonId) -> bool:
    entry = state.entries.get(home)
    return entry is not None and entry.data_centre not in state.hidden_centres


def _merge_entry(state: MembershipState, entry: Entry, affected: Affected) -> bool:
    if entry.daemon_id == state.own.daemon_id:
        return _refute_entry(state, entry)
    if not entry.daemon_id or not is_newer(entry, state.entries.get(entry.daemon_id)):
        return False
    _store_entry(state, entry, affected)
    return True


def _refute_entry(state: MembershipState, entry: Entry) -> bool:
    if not is_newer(entry, state.own):
        return False
    if entry.incarnation != state.own.incarnation and not _may_be_former_incarnation(
        state, entry
    ):
        return False
    logging.info('membership: refuting that this daemon is "%s".', get_state(entry))
    update_own_entry(state, get_state(state.own), entry.statement)
    return True


def _may_be_former_incarnation(state: MembershipState, entry: Entry) -> bool:
    """Return whether another incarnation of this daemon may be a former one.

    A former incarnation no longer runs, so only a few of its records can still
    arrive. If more arrive, another daemon runs with the same id.
    """
    count = state.former_record_counts.get(entry.incarnation, 0)
    state.former_record_counts[entry.incarnation] = count + 1
    if count < MAX_FORMER_RECORDS:
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
    daemon_id = entry.daemon_id
    old = state.entries.get(daemon_id)
    state.entries[daemon_id] = entry
    state.suspicions.pop(daemon_id, None)
    state.died_at.pop(daemon_id, None)
    if is_dead(entry):
        state.died_at[daemon_id] = state.clock()
        _remove_rows(state, daemon_id, affected)
    elif old is None or old.incarnation != entry.incarnation or is_dead(old):
        _remove_rows(state, daemon_id, affected)
        state.rows[daemon_id] = HomeRows(entry.incarnation)
    if get_state(entry) is DaemonState.SUSPECT:
        if entry.data_centre == state.own.data_centre:
            state.suspicions[daemon_id] = state.clock() + SUSPICION_S
    update_digest(state, daemon_id)


def _remove_rows(
    state: MembershipState, daemon_id: DaemonId, affected: Affected
) -> None:
    rows = state.rows.pop(daemon_id, None)
    affected.update(
        (daemon_id, server_id) for server_id in (rows.records if rows else ())
    )


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


def update_digest(state: MembershipState, daemon_id: DaemonId) -> None:
    """Update the digest of a daemon's data centre after a change of its entry."""
    if old := state.entry_hashes.pop(daemon_id, None):
        state.digests[old[0]] ^= old[1]
    entry = state.entries.get(daemon_id)
    if entry is None or is_dead(entry):
        return
    entry_hash = compute_entry_hash(entry, state.rows[daemon_id].version)
    centre = entry.data_centre
    state.entry_hashes[daemon_id] = (centre, entry_hash)
    state.digests[centre] = state.digests.get(centre, 0) ^ entry_hash


def _write_daemon_record(state: MembershipState, entry: Entry) -> None:
    is_reachable = entry.data_centre not in state.suspected_centres
    record = build_daemon_record(entry, is_reachable)
    state.board.daemons.records[entry.daemon_id] = record


def record_contact(state: MembershipState, centre: DataCentre, at: float) -> None:
    """Record a contact with another data centre at loop time ``at``."""
    if at > state.last_contact_at.get(centre, float("-inf")):
        state.last_contact_at[centre] = at


def update_centre_reachability(state: MembershipState) -> None:
    """Update which data centres are suspected and which are hidden."""
    now = state.clock()
    contact_ages = {
        centre: now - state.last_contact_at.setdefault(centre, now)
        for centre, digest in state.digests.items()
        if centre != state.own.data_centre and digest
    }
    limit = _compute_centre_suspect_limit(state)
    suspected = frozenset(c for c, age in contact_ages.items() if age > limit)
    limit *= CENTRE_HIDDEN_FACTOR
    hidden_centres = frozenset(c for c, age in contact_ages.items() if age > limit)
    if suspected != state.suspected_centres:
        _log_reachability_changes(state.suspected_centres, suspected)
        state.suspected_centres = suspected
        for entry in state.entries.values():
            _write_daemon_record(state, entry)
        state.board.notify_watchers(Section.DAEMONS)
    if hidden_centres != state.hidden_centres:
        changed = hidden_centres ^ state.hidden_centres
        state.hidden_centres = hidden_centres
        refresh_server_table(state, _list_rows_of_centres(state, changed))


def _compute_centre_suspect_limit(state: MembershipState) -> float:
    own = state.own.data_centre
    daemon_count = sum(1 for centre, _ in state.entry_hashes.values() if centre == own)
    return CENTRE_SUSPECT_S + CENTRE_SUSPECT_PER_DOUBLING_S * log2(max(daemon_count, 1))


def _log_reachability_changes(
    old: frozenset[DataCentre], new: frozenset[DataCentre]
) -> None:
    for centre in sorted(new - old):
        logging.warning('membership: no sign of life from data centre "%s".', centre)
    for centre in sorted(old - new):
        logging.info('membership: data centre "%s" answers again.', centre)


def _list_rows_of_centres(state: MembershipState, centres) -> Affected:
    return {
        (daemon_id, server_id)
        for daemon_id, rows in state.rows.items()
        if state.entries[daemon_id].data_centre in centres
        for server_id in rows.records
    }


def expire_dead_daemons(state: MembershipState) -> None:
    """Remove the records of daemons that died longer than ``TOMBSTONE_S`` ago."""
    limit = state.clock() - TOMBSTONE_S
    old = [daemon_id for daemon_id, at in state.died_at.items() if at < limit]
    for daemon_id in old:
        del state.died_at[daemon_id], state.entries[daemon_id]
        del state.board.daemons.records[daemon_id]
    if old:
        state.board.notify_watchers(Section.DAEMONS)


def build_held(state: MembershipState, daemon_id: DaemonId) -> Held:
    """Return the versions of a daemon's entry and rows that are held here."""
    entry = state.entries.get(daemon_id)
    if entry is None:
        return Held(daemon_id)
    rows = state.rows.get(daemon_id)
    version = rows.version if rows else 0
    return Held(daemon_id, entry.incarnation, entry.statement, entry.state, version)


def is_ahead(held: Held, than: Held) -> bool:
    """Return whether ``held`` has a newer entry or newer rows than ``than``."""
    return _version_key(held) > _version_key(than) or (
        held.incarnation == than.incarnation and held.version > than.version
    )


def build_batch(state: MembershipState, held: Iterable[Held]) -> tuple[Batch, bool]:
    """Build the updates that a peer with ``held`` lacks; return whether more remain."""
    entries, deltas = [], []
    budget = MAX_ROWS_PER_BATCH
    for item in held:
        entry = state.entries.get(item.daemon_id)
        if entry is None:
            continue
        if _version_key(entry) > _version_key(item):
            entries.append(entry)
        rows = state.rows.get(item.daemon_id)
        version = item.version if item.incarnation == entry.incarnation else 0
        if rows is None or rows.version <= version or budget <= 0:
            continue
        delta = build_delta(rows, item.daemon_id, version)
        deltas.append(delta)
        budget -= len(delta.rows) + len(delta.statuses) + 1
    return Batch(entries=tuple(entries), deltas=tuple(deltas)), budget <= 0


def _version_key(item: Entry | Held) -> tuple[int, int, int]:
    return version_key(item.incarnation, item.statement, item.state)
