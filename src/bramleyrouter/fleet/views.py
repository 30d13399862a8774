"""One view of all servers, merged from the streams of the control daemons.

Each control daemon tells only what it heard itself, so an announcement and
the one that overtook it may come from two of them, in any order.
"""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.fleet.records import ServerPhase, ServerRow, order_of
from bramleyrouter.ids import ServerId, ServiceName


@dataclass
class FleetView:
    """Hold the rows by source and the merged servers by service.

    ``gone`` maps a server id to its latest incarnation that is gone.
    """

    sources: dict[str, dict[ServerId, ServerRow]] = field(default_factory=dict)
    gone: dict[ServerId, int] = field(default_factory=dict)
    merged: dict[ServerId, ServerRow] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[ServerId, ServerRow]] = field(
        default_factory=dict
    )
    by_address: dict[str, ServerId] = field(default_factory=dict)


def merge_rows(rows: list[ServerRow], gone_incarnation: int) -> ServerRow | None:
    """Return what holds of one server id, or none if it must not be used.

    The latest announcement decides. A server is silent only where every
    control daemon that heard this incarnation misses its heartbeats.
    """
    alive = [row for row in rows if row.incarnation > gone_incarnation]
    if not alive:
        return None
    latest = max(alive, key=order_of)
    if not latest.is_silent:
        return latest
    heard = [
        row
        for row in alive
        if row.incarnation == latest.incarnation and not row.is_silent
    ]
    if not heard:
        return latest
    # Another control daemon hears it; the latest word on its phase still holds.
    return msgspec.structs.replace(latest, is_silent=False)


def apply_rows(
    view: FleetView, source: str, rows: tuple[ServerRow, ...], is_full: bool
) -> set[ServiceName]:
    """Take rows of one control daemon; return the services that changed.

    ``is_full`` replaces all that this control daemon told before.
    """
    told = view.sources.setdefault(source, {})
    touched = {row.server_id for row in rows}
    if is_full:
        touched |= set(told)
        told.clear()
    for row in rows:
        told[row.server_id] = row
        if row.phase is ServerPhase.GONE:
            last = view.gone.get(row.server_id, -1)
            view.gone[row.server_id] = max(last, row.incarnation)
    return _remerge(view, touched)


def drop_source(view: FleetView, source: str) -> set[ServiceName]:
    """Forget a control daemon that is no member any more."""
    told = view.sources.pop(source, {})
    return _remerge(view, set(told))


def _remerge(view: FleetView, server_ids: set[ServerId]) -> set[ServiceName]:
    changed: set[ServiceName] = set()
    for server_id in server_ids:
        rows = [told[server_id] for told in view.sources.values() if server_id in told]
        row = merge_rows(rows, view.gone.get(server_id, -1))
        changed |= _replace(view, server_id, row)
    return changed


def _replace(
    view: FleetView, server_id: ServerId, row: ServerRow | None
) -> set[ServiceName]:
    before = view.merged.get(server_id)
    if before == row:
        return set()
    changed = set()
    if before is not None:
        changed.add(before.service)
        _remove(view, before)
    if row is not None and _takes_address(view, row, changed):
        changed.add(row.service)
        view.merged[server_id] = row
        view.by_service.setdefault(row.service, {})[server_id] = row
        view.by_address[row.address] = server_id
    return changed


def _remove(view: FleetView, row: ServerRow) -> None:
    view.merged.pop(row.server_id, None)
    view.by_service.get(row.service, {}).pop(row.server_id, None)
    if view.by_address.get(row.address) == row.server_id:
        del view.by_address[row.address]


def _takes_address(view: FleetView, row: ServerRow, changed: set[ServiceName]) -> bool:
    """Let the youngest server have an address; its former holder is gone."""
    holder_id = view.by_address.get(row.address)
    holder = view.merged.get(holder_id) if holder_id else None
    if holder is None:
        return True
    if holder.incarnation > row.incarnation:
        return False
    changed.add(holder.service)
    _remove(view, holder)
    view.gone[holder.server_id] = max(
        view.gone.get(holder.server_id, -1), holder.incarnation
    )
    return True
