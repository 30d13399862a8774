"""Publication of this home's own rows."""

from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.board.sections import ServerRecord
from bramleyrouter.ids import ServerId
from bramleyrouter.membership.flooding import Flooding
from bramleyrouter.membership.messages import Batch
from bramleyrouter.membership.store import MembershipState, refresh, update_digest
from bramleyrouter.membership.tables import (
    delta_since,
    drop_record,
    is_status_only,
    put_record,
)

# Changes of usable and headroom alone are sent at most this often; the ramp of
# a cold server would otherwise send one per step to every daemon.
STATUS_INTERVAL_S = 1.0


class Publishing(NamedTuple):
    """Bundle ``publish_rows(changed, removed)`` and ``tick()``."""

    publish_rows: Callable[[list[ServerRecord], list[ServerId]], None]
    tick: Callable[[], None]


def build_publishing(state: MembershipState, flooding: Flooding) -> Publishing:
    """Return the closures that publish rows."""
    own = state.own.daemon_id
    rows = state.rows[own]
    waiting: dict[ServerId, ServerRecord] = {}
    sent_at = [float("-inf")]

    def publish_rows(changed: list[ServerRecord], removed: list[ServerId]) -> None:
        urgent = bool(removed)
        for record in changed:
            old = waiting.get(record.server_id) or rows.records.get(record.server_id)
            if old == record:
                continue
            waiting[record.server_id] = record
            is_minor = is_status_only(rows.records.get(record.server_id), record)
            urgent = urgent or not is_minor
        for server_id in removed:
            waiting.pop(server_id, None)
        if urgent or is_due():
            send(removed)

    def is_due() -> bool:
        return bool(waiting) and state.clock() >= sent_at[0] + STATUS_INTERVAL_S

    def tick() -> None:
        if is_due():
            send([])

    def send(removed: list[ServerId]) -> None:
        base, version = rows.version, rows.version + 1
        for record in waiting.values():
            old = rows.records.get(record.server_id)
            is_status = is_status_only(old, record)
            put_record(rows, record, version, is_status=is_status)
        known = [server_id for server_id in removed if server_id in rows.records]
        for server_id in known:
            drop_record(rows, server_id, version)
        affected = {(own, server_id) for server_id in (*waiting, *known)}
        waiting.clear()
        sent_at[0] = state.clock()
        if not affected:
            return
        rows.version = version
        update_digest(state, own)
        refresh(state, affected)
        delta = delta_since(rows, own, base)
        flooding.originate(Batch(entries=(state.own,), deltas=(delta,)))

    return Publishing(publish_rows, tick)
