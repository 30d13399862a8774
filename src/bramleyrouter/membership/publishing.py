"""Publication of the rows of this home's servers."""

from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.board.sections import ServerRecord
from bramleyrouter.ids import ServerId
from bramleyrouter.membership.flooding import Flooding
from bramleyrouter.membership.home_rows import (
    build_delta,
    is_status_only,
    put_record,
    remove_record,
)
from bramleyrouter.membership.messages import Batch
from bramleyrouter.membership.store import (
    MembershipState,
    refresh_server_table,
    update_digest,
)

# Changes of usable and headroom alone are sent at most once in this time. Otherwise the
# ramp of a cold server would send an update to every daemon at each of its steps.
STATUS_INTERVAL_S = 1.0


class Publishing(NamedTuple):
    """Bundle the functions that ``build_publishing`` returns.

    ``publish_rows(changed, removed)`` sends changes or collects them, and
    ``send_due_changes()`` sends collected changes that are due.
    """

    publish_rows: Callable[[list[ServerRecord], list[ServerId]], None]
    send_due_changes: Callable[[], None]


def build_publishing(state: MembershipState, flooding: Flooding) -> Publishing:
    """Return the functions that publish rows."""
    own = state.own.daemon_id
    rows = state.rows[own]
    pending: dict[ServerId, ServerRecord] = {}
    sent_at = [float("-inf")]

    def publish_rows(changed: list[ServerRecord], removed: list[ServerId]) -> None:
        is_urgent = bool(removed)
        for record in changed:
            old = pending.get(record.server_id) or rows.records.get(record.server_id)
            if old == record:
                continue
            pending[record.server_id] = record
            is_only_status = is_status_only(rows.records.get(record.server_id), record)
            is_urgent = is_urgent or not is_only_status
        for server_id in removed:
            pending.pop(server_id, None)
        if is_urgent or has_due_changes():
            send(removed)

    def has_due_changes() -> bool:
        return bool(pending) and state.clock() >= sent_at[0] + STATUS_INTERVAL_S

    def send_due_changes() -> None:
        if has_due_changes():
            send([])

    def send(removed: list[ServerId]) -> None:
        base, version = rows.version, rows.version + 1
        for record in pending.values():
            old = rows.records.get(record.server_id)
            is_status = is_status_only(old, record)
            put_record(rows, record, version, is_status=is_status)
        existing = [server_id for server_id in removed if server_id in rows.records]
        for server_id in existing:
            remove_record(rows, server_id, version)
        affected = {(own, server_id) for server_id in (*pending, *existing)}
        pending.clear()
        sent_at[0] = state.clock()
        if not affected:
            return
        rows.version = version
        update_digest(state, own)
        refresh_server_table(state, affected)
        delta = build_delta(rows, own, base)
        flooding.push(Batch(entries=(state.own,), deltas=(delta,)))

    return Publishing(publish_rows, send_due_changes)
