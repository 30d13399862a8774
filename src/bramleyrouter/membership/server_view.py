"""The board's table of servers, chosen from the rows of all homes."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyrouter.board.sections import ServerRecord, ServerTable
from bramleyrouter.ids import DaemonId, ServerId
from bramleyrouter.membership.tables import HomeRows

Order = tuple[int, int]


@dataclass(slots=True)
class Claims:
    """Hold which homes have a row of a server, and the newest registration.

    A registration that was replaced does not come back when the home of its
    successor dies: the server announces again with a larger number.
    """

    homes: tuple[DaemonId, ...] = ()
    newest: Order = (0, 0)


@dataclass
class ServerView:
    """Hold what is needed to choose among several homes' rows."""

    claims: dict[ServerId, Claims] = field(default_factory=dict)


def refresh_servers(
    view: ServerView,
    table: ServerTable,
    rows_by_home: dict[DaemonId, HomeRows],
    is_visible: Callable[[DaemonId], bool],
    affected: Iterable[tuple[DaemonId, ServerId]],
) -> bool:
    """Choose anew for each affected (home, server); return whether any changed."""
    changed = False
    for home, server_id in affected:
        chosen = _choose(view, rows_by_home, is_visible, home, server_id)
        changed |= _replace(table, server_id, chosen)
    return changed


def _choose(view, rows_by_home, is_visible, home, server_id) -> ServerRecord | None:
    claims = view.claims.setdefault(server_id, Claims())
    homes = []
    candidates = []
    for name in {*claims.homes, home}:
        rows = rows_by_home.get(name)
        record = rows.records.get(server_id) if rows else None
        if record is None:
            continue
        homes.append(name)
        claims.newest = max(claims.newest, _order(record))
        candidates.append(record)
    claims.homes = tuple(homes)
    if not homes:
        del view.claims[server_id]
    # Equal registrations occur for a moment while a home hands a server over.
    return max(
        (
            record
            for record in candidates
            if _order(record) == claims.newest and is_visible(record.home)
        ),
        key=lambda record: (record.usable, record.home_incarnation, record.home),
        default=None,
    )


def _order(record: ServerRecord) -> Order:
    return record.incarnation, record.registration


def _replace(table: ServerTable, server_id, chosen: ServerRecord | None) -> bool:
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


def _keys(record: ServerRecord | None):
    for holding in record.holdings if record else ():
        for shard, versions in holding.shards.items():
            for version in versions:
                yield holding.service, shard, version


def _unindex(table: ServerTable, record: ServerRecord | None) -> None:
    for key in _keys(record):
        ids = table.by_shard[key]
        ids.pop(bisect_left(ids, record.server_id))  # type: ignore[union-attr]
        if not ids:
            del table.by_shard[key]


def _index(table: ServerTable, record: ServerRecord | None) -> None:
    for key in _keys(record):
        insort(table.by_shard.setdefault(key, []), record.server_id)  # type: ignore[union-attr]
