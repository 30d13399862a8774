"""One view of all servers, merged from the streams of the control daemons.

Each control daemon streams only the announcements that it received itself, so an
older and a newer announcement of one server may arrive from two control daemons in
any order.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.fleet.records import ServerPhase, ServerRow, version_key
from bramleyrouter.ids import ServerId, ServiceName


@dataclass
class FleetView:
    """Hold the rows by source and the merged servers by service.

    A source is the address of a control daemon. ``gone`` maps a server id to its
    latest incarnation that is gone. ``waiting`` holds, by address, the servers that
    were refused because another server holds the address.
    """

    sources: dict[str, dict[ServerId, ServerRow]] = field(default_factory=dict)
    gone: dict[ServerId, int] = field(default_factory=dict)
    merged: dict[ServerId, ServerRow] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[ServerId, ServerRow]] = field(
        default_factory=dict
    )
    by_address: dict[str, ServerId] = field(default_factory=dict)
    waiting: dict[str, set[ServerId]] = field(default_factory=dict)


def merge_rows(rows: list[ServerRow], gone_incarnation: int) -> ServerRow | None:
    """Merge the rows of one server id; return None if all are of gone incarnations.

    The latest announcement decides. A server is silent only if every control
    daemon that has a row of this incarnation misses its heartbeats. An incarnation that
    is silent gives way to an older one that announces itself: the number of the newer
    one was that of another writer.
    """
    candidates = [row for row in rows if row.incarnation > gone_incarnation]
    if not candidates:
        return None
    not_silent = [row for row in candidates if not row.is_silent]
    if not not_silent:
        return max(candidates, key=version_key)
    incarnation = max(row.incarnation for row in not_silent)
    # One control daemon still receives heartbeats; every other field, such as the
    # phase, comes from the latest announcement.
    latest = max(
        (row for row in candidates if row.incarnation == incarnation), key=version_key
    )
    return msgspec.structs.replace(latest, is_silent=False)


def apply_rows(
    view: FleetView, source: str, rows: tuple[ServerRow, ...], is_full: bool
) -> set[ServiceName]:
    """Apply rows of one control daemon; return the services that changed.

    With ``is_full`` the rows replace all earlier rows of this control daemon.
    """
    source_rows = view.sources.setdefault(source, {})
    server_ids = {row.server_id for row in rows}
    if is_full:
        server_ids |= set(source_rows)
        source_rows.clear()
    for row in rows:
        source_rows[row.server_id] = row
        if row.phase is ServerPhase.GONE:
            last = view.gone.get(row.server_id, -1)
            view.gone[row.server_id] = max(last, row.incarnation)
    return _update_merged(view, server_ids)


def remove_source(view: FleetView, source: str) -> set[ServiceName]:
    """Remove the rows of a control daemon; return the services that changed."""
    source_rows = view.sources.pop(source, {})
    return _update_merged(view, set(source_rows))


def _update_merged(view: FleetView, server_ids: set[ServerId]) -> set[ServiceName]:
    """Merge the rows of servers anew; return the services that changed.

    Servers that wait for an address are merged too when it becomes free or its holder
    silent, the newest one first, so that the order in which rows arrive doesn't matter.
    """
    changed: set[ServiceName] = set()
    pending = deque(sorted(server_ids))
    while pending:
        server_id = pending.popleft()
        before = view.merged.get(server_id)
        row = _merge_sources(view, server_id)
        if before == row:
            continue
        changed |= _replace_row(view, server_id, before, row)
        if before is not None and _may_have_lost_address(view, before, row):
            waiting = view.waiting.pop(before.address, set())
            pending.extend(sorted(waiting, key=_get_age_key(view)))
    return changed


def _may_have_lost_address(
    view: FleetView, before: ServerRow, row: ServerRow | None
) -> bool:
    is_free = before.address not in view.by_address
    return is_free or (row is not None and row.is_silent and not before.is_silent)


def _get_age_key(view: FleetView) -> Callable[[ServerId], tuple[int, ServerId]]:
    """Return the sort key that puts the newest incarnation first."""

    def get_key(server_id: ServerId) -> tuple[int, ServerId]:
        row = _merge_sources(view, server_id)
        return (0 if row is None else -row.incarnation), server_id

    return get_key


def _merge_sources(view: FleetView, server_id: ServerId) -> ServerRow | None:
    rows = [
        source_rows[server_id]
        for source_rows in view.sources.values()
        if server_id in source_rows
    ]
    return merge_rows(rows, view.gone.get(server_id, -1))


def _replace_row(
    view: FleetView,
    server_id: ServerId,
    before: ServerRow | None,
    row: ServerRow | None,
) -> set[ServiceName]:
    changed = set()
    if before is not None:
        changed.add(before.service)
        _remove_row(view, before)
    if row is not None and _acquire_address(view, row, changed):
        changed.add(row.service)
        view.merged[server_id] = row
        view.by_service.setdefault(row.service, {})[server_id] = row
        view.by_address[row.address] = server_id
    return changed


def _remove_row(view: FleetView, row: ServerRow) -> None:
    view.merged.pop(row.server_id, None)
    view.by_service.get(row.service, {}).pop(row.server_id, None)
    if view.by_address.get(row.address) == row.server_id:
        del view.by_address[row.address]


def _acquire_address(
    view: FleetView, row: ServerRow, changed: set[ServiceName]
) -> bool:
    """Return whether ``row`` may use its address, and remove a former holder.

    The server with the newest incarnation holds an address, and one that announces
    itself goes before one that is silent. The others wait for it. The service of a
    holder that loses it is added to ``changed``.
    """
    holder_id = view.by_address.get(row.address)
    holder = view.merged.get(holder_id) if holder_id else None
    if holder is None:
        return True
    waiting = view.waiting.setdefault(row.address, set())
    if _address_key(holder) > _address_key(row):
        waiting.add(row.server_id)
        return False
    waiting.add(holder.server_id)
    changed.add(holder.service)
    _remove_row(view, holder)
    return True


def _address_key(row: ServerRow) -> tuple[bool, int]:
    """Return the sort key of the servers that announce one address."""
    return not row.is_silent, row.incarnation
