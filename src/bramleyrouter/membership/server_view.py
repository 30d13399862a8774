"""The blackboard's table of servers, chosen from the rows of all homes."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyrouter.board.sections import ServerRecord, ServerTable
from bramleyrouter.ids import DaemonId, ServerId
from bramleyrouter.membership.home_rows import HomeRows

VersionKey = tuple[int, int]


@dataclass(slots=True)
class ServerHomes:
    """Hold the homes that have a row of one server, and its newest registration.

    ``newest`` stays when the home that has this registration dies, so that an older
    registration at another home is not used again. The server announces itself with
    a larger registration number instead.
    """

    homes: tuple[DaemonId, ...] = ()
    newest: VersionKey = (0, 0)


@dataclass
class ServerView:
    """Hold the state that is needed to choose among the rows of several homes."""

    homes_by_server: dict[ServerId, ServerHomes] = field(default_factory=dict)


def refresh_servers(
    view: ServerView,
    table: ServerTable,
    rows_by_home: dict[DaemonId, HomeRows],
    is_visible: Callable[[DaemonId], bool],
    affected: Iterable[tuple[DaemonId, ServerId]],
) -> bool:
    """Update the table for each affected (home, server); return whether it changed."""
    changed = False
    for home, server_id in affected:
        chosen = _choose_record(view, rows_by_home, is_visible, home, server_id)
        changed |= _replace_record(table, server_id, chosen)
    return changed


def _choose_record(
    view, rows_by_home, is_visible, home, server_id
) -> ServerRecord | None:
    server_homes = view.homes_by_server.setdefault(server_id, ServerHomes())
    homes = []
    candidates = []
    for candidate in {*server_homes.homes, home}:
        rows = rows_by_home.get(candidate)
        record = rows.records.get(server_id) if rows else None
        if record is None:
            continue
        homes.append(candidate)
        server_homes.newest = max(server_homes.newest, _version_key(record))
        candidates.append(record)
    server_homes.homes = tuple(homes)
    if not homes:
        del view.homes_by_server[server_id]
    # Two homes have the same registration for a moment during a handover.
    return max(
        (
            record
            for record in candidates
            if _version_key(record) == server_homes.newest and is_visible(record.home)
        ),
        key=lambda record: (record.usable, record.home_incarnation, record.home),
        default=None,
    )


def _version_key(record: ServerRecord) -> VersionKey:
    return record.incarnation, record.registration


def _replace_record(table: ServerTable, server_id, chosen: ServerRecord | None) -> bool:
    old = table.records.get(server_id)
    if old == chosen:
        return False
    if chosen is None:
        del table.records[server_id]
    else:
        table.records[server_id] = chosen
    if old is None or chosen is None or old.holdings != chosen.holdings:
        _unindex(table, old)
        _index(table, chosen)
    return True


def _list_index_keys(record: ServerRecord | None):
    for holding in record.holdings if record else ():
        for shard, versions in holding.shards.items():
            for version in versions:
                yield holding.service, shard, version


def _unindex(table: ServerTable, record: ServerRecord | None) -> None:
    for key in _list_index_keys(record):
        ids = table.by_shard[key]
        ids.pop(bisect_left(ids, record.server_id))  # type: ignore[union-attr]
        if not ids:
            del table.by_shard[key]


def _index(table: ServerTable, record: ServerRecord | None) -> None:
    for key in _list_index_keys(record):
        insort(table.by_shard.setdefault(key, []), record.server_id)  # type: ignore[union-attr]
