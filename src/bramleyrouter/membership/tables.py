"""Rows of one home, the changes between two of their versions, and digests."""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.board.sections import ServerRecord
from bramleyrouter.ids import DaemonId, DaemonIncarnation, ServerId
from bramleyrouter.membership.messages import Delta, Status, record_of, row_of

# Removals that a holder of rows can still tell of; a copy that is further
# behind gets all rows instead.
MAX_REMOVALS = 500


@dataclass
class HomeRows:
    """Hold one home's rows, each with the version at which it changed.

    ``floor`` is the version up to which removals were forgotten.
    """

    incarnation: DaemonIncarnation
    version: int = 0
    floor: int = 0
    records: dict[ServerId, ServerRecord] = field(default_factory=dict)
    row_versions: dict[ServerId, int] = field(default_factory=dict)
    status_versions: dict[ServerId, int] = field(default_factory=dict)
    removals: dict[ServerId, int] = field(default_factory=dict)


def is_status_only(old: ServerRecord | None, new: ServerRecord) -> bool:
    """Return whether ``usable`` and ``headroom`` are all that changed."""
    if old is None:
        return False
    same = msgspec.structs.replace(old, usable=new.usable, headroom=new.headroom)
    return same == new


def put_record(
    rows: HomeRows, record: ServerRecord, version: int, *, is_status: bool = False
) -> None:
    """Store a changed record; ``is_status`` when only its status changed."""
    server_id = record.server_id
    if not is_status:
        rows.row_versions[server_id] = version
    rows.status_versions[server_id] = version
    rows.records[server_id] = record
    rows.removals.pop(server_id, None)


def drop_record(rows: HomeRows, server_id: ServerId, version: int) -> bool:
    """Remove a record and keep for a while that it was removed."""
    rows.removals.pop(server_id, None)
    rows.removals[server_id] = version
    while len(rows.removals) > MAX_REMOVALS:
        oldest = next(iter(rows.removals))
        rows.floor = max(rows.floor, rows.removals.pop(oldest))
    rows.row_versions.pop(server_id, None)
    rows.status_versions.pop(server_id, None)
    return rows.records.pop(server_id, None) is not None


def delta_since(rows: HomeRows, home: DaemonId, version: int) -> Delta:
    """Return what brings a copy at ``version`` to the current version."""
    is_full = version < rows.floor
    since = 0 if is_full else version
    changed = [
        (rows.row_versions[server_id] > since, server_id)
        for server_id, status_version in rows.status_versions.items()
        if status_version > since
    ]
    removed = (server_id for server_id, at in rows.removals.items() if at > since)
    return Delta(
        home,
        rows.incarnation,
        since,
        rows.version,
        is_full,
        tuple(row_of(rows.records[key]) for is_row, key in changed if is_row),
        tuple(_status_of(rows.records[key]) for is_row, key in changed if not is_row),
        () if is_full else tuple(removed),
    )


def _status_of(record: ServerRecord) -> Status:
    return Status(record.server_id, record.usable, record.headroom)


def apply_delta(rows: HomeRows, delta: Delta) -> set[ServerId] | None:
    """Apply ``delta``; return the servers it may have changed.

    Returns None, and changes nothing, when the delta is old or one before it
    was lost.
    """
    if delta.incarnation != rows.incarnation or delta.version <= rows.version:
        return None
    if delta.base_version > rows.version:
        return None
    affected: set[ServerId] = set()
    if delta.is_full:
        affected.update(rows.records)
        for table in (rows.records, rows.row_versions, rows.status_versions):
            table.clear()
        rows.removals.clear()
        rows.floor = delta.version
    for row in delta.rows:
        put_record(rows, record_of(row, delta), delta.version)
        affected.add(row.server_id)
    for status in delta.statuses:
        if old := rows.records.get(status.server_id):
            changes = {"usable": status.usable, "headroom": status.headroom}
            record = msgspec.structs.replace(old, **changes)
            put_record(rows, record, delta.version, is_status=True)
            affected.add(status.server_id)
    for server_id in delta.removed:
        drop_record(rows, server_id, delta.version)
        affected.add(server_id)
    rows.version = delta.version
    return affected
