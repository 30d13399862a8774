"""Rows of one home and the changes between two of their versions."""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.board.sections import ServerRecord
from bramleyrouter.ids import DaemonId, DaemonIncarnation, ServerId
from bramleyrouter.membership.messages import (
    Delta,
    Status,
    build_row,
    build_server_record,
)

# Number of removals that are retained; a copy that lacks an older one gets all rows
# instead of a delta.
MAX_REMOVALS = 500


@dataclass
class HomeRows:
    """Hold one home's rows and the versions at which they changed.

    ``status_versions`` holds the version of each row's last change of any kind,
    ``row_versions`` that of its last change other than of the status alone. A copy
    older than ``min_base_version`` gets all rows instead of a delta, as removals up
    to that version are no longer retained.
    """

    incarnation: DaemonIncarnation
    version: int = 0
    min_base_version: int = 0
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
    """Store a changed record; ``is_status`` says that only its status changed."""
    server_id = record.server_id
    if not is_status:
        rows.row_versions[server_id] = version
    rows.status_versions[server_id] = version
    rows.records[server_id] = record
    rows.removals.pop(server_id, None)


def remove_record(rows: HomeRows, server_id: ServerId, version: int) -> bool:
    """Remove a record and retain the removal; return whether there was a record.

    Only the last ``MAX_REMOVALS`` removals are retained.
    """
    rows.removals.pop(server_id, None)
    rows.removals[server_id] = version
    while len(rows.removals) > MAX_REMOVALS:
        oldest = next(iter(rows.removals))
        rows.min_base_version = max(rows.min_base_version, rows.removals.pop(oldest))
    rows.row_versions.pop(server_id, None)
    rows.status_versions.pop(server_id, None)
    return rows.records.pop(server_id, None) is not None


def build_delta(rows: HomeRows, home: DaemonId, version: int) -> Delta:
    """Build the delta that updates a copy at ``version`` to the current version."""
    is_full = version < rows.min_base_version
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
        tuple(build_row(rows.records[key]) for is_row, key in changed if is_row),
        tuple(
            _build_status(rows.records[key]) for is_row, key in changed if not is_row
        ),
        () if is_full else tuple(removed),
    )


def _build_status(record: ServerRecord) -> Status:
    return Status(record.server_id, record.usable, record.headroom)


def apply_delta(rows: HomeRows, delta: Delta) -> set[ServerId] | None:
    """Apply ``delta``; return the servers that it may have changed.

    Return None and change nothing if the delta is old or if an earlier one was
    lost.
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
        rows.min_base_version = delta.version
    for row in delta.rows:
        put_record(rows, build_server_record(row, delta), delta.version)
        affected.add(row.server_id)
    for status in delta.statuses:
        if old := rows.records.get(status.server_id):
            changes = {"usable": status.usable, "headroom": status.headroom}
            record = msgspec.structs.replace(old, **changes)
            put_record(rows, record, delta.version, is_status=True)
            affected.add(status.server_id)
    for server_id in delta.removed:
        remove_record(rows, server_id, delta.version)
        affected.add(server_id)
    rows.version = delta.version
    return affected
