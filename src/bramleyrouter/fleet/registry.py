"""The registry of servers that send their heartbeats to one control daemon.

A backend server may send its heartbeats to any control daemon. Each control daemon
stores only the announcements that it received itself and streams the changes; entry
daemons merge the streams of all control daemons.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.fleet.records import (
    ServerPhase,
    ServerRow,
    is_same_for_routing,
    version_key,
)
from bramleyrouter.ids import ServerId, ServerIncarnation

# Heartbeat intervals without a heartbeat after which a server counts as silent: two
# heartbeats may be late or be sent to another control daemon.
SILENT_INTERVALS = 3.0
# Seconds for which a gone or silent server stays in the registry. This is longer
# than any delay of an announcement, so a late one can't bring the server back.
RETENTION_S = 60.0


@dataclass
class RegisteredServer:
    """Hold a row and the loop time of its last announcement.

    The server counts as cold until the loop time ``cold_until``. ``is_displaced`` is
    set while another server has its address; then it takes no new requests.
    """

    row: ServerRow
    last_contact_at: float
    cold_until: float
    is_displaced: bool = False


@dataclass
class OutdatedAnnouncements:
    """Hold the announcements of one server that were refused as out of date.

    ``since`` is the loop time of the first one and ``sequence`` that of the latest one.
    """

    incarnation: ServerIncarnation
    since: float
    sequence: int
    count: int = 1


@dataclass
class ServerRegistry:
    """Hold the servers by id and the callbacks that are notified of each change.

    ``heartbeat_s`` is the interval at which servers send heartbeats, in seconds.
    ``on_minor_change`` is notified of changes that subscribers most probably have from
    another control daemon. ``departures`` holds, by server id, the rows of those that
    drain or are gone, with the loop time until which they are retained.
    """

    heartbeat_s: float
    servers: dict[ServerId, RegisteredServer] = field(default_factory=dict)
    outdated: dict[ServerId, OutdatedAnnouncements] = field(default_factory=dict)
    by_address: dict[str, ServerId] = field(default_factory=dict)
    on_change: list[Callable[[ServerRow], None]] = field(default_factory=list)
    on_minor_change: list[Callable[[ServerRow], None]] = field(default_factory=list)
    departures: dict[ServerId, tuple[ServerRow, float]] = field(default_factory=dict)


def _store(
    registry: ServerRegistry,
    row: ServerRow,
    now: float,
    callbacks: list[Callable[[ServerRow], None]],
) -> None:
    current = registry.servers.get(row.server_id)
    if current is not None and current.row.address != row.address:
        # Another server may use the former address now.
        _release_address(registry, current.row)
    registry.servers[row.server_id] = RegisteredServer(row, now, now + row.cold_s)
    if row.phase is not ServerPhase.GONE or row.address not in registry.by_address:
        # A server that has left takes no address from one that has it now.
        registry.by_address[row.address] = row.server_id
    if current is not None:
        aged = _with_current_cold_time(current, now)
        if is_same_for_routing(aged, row):
            return
    for callback in callbacks:
        callback(row)


def _release_address(registry: ServerRegistry, row: ServerRow) -> None:
    if registry.by_address.get(row.address) == row.server_id:
        del registry.by_address[row.address]


def _with_current_cold_time(registered: RegisteredServer, now: float) -> ServerRow:
    cold_s = max(0.0, registered.cold_until - now)
    if not registered.row.cold_s or cold_s == registered.row.cold_s:
        return registered.row
    return msgspec.structs.replace(registered.row, cold_s=cold_s)


def apply_announcement(registry: ServerRegistry, row: ServerRow, now: float) -> bool:
    """Apply an announcement; return false for one that is out of date.

    An announcement is out of date if its incarnation is gone, if a later one was
    applied before it, or if a server with a newer incarnation has its address. It
    was then delayed on its way, unless the newer announcement was that of another
    writer, see ``_is_disproved``.
    """
    current = registry.servers.get(row.server_id)
    holder_id = registry.by_address.get(row.address)
    holder = registry.servers.get(holder_id) if holder_id else None
    if holder_id == row.server_id:
        holder = None
    if _is_before_departure(registry, row):
        return False
    newer = _find_newer(row, current, holder)
    if newer is not None and not _is_disproved(registry, row, newer, now):
        return False
    registry.outdated.pop(row.server_id, None)
    if holder is not None and holder.row.phase is not ServerPhase.GONE:
        _displace(registry, holder)
    _store(registry, row, now, registry.on_change)
    return True


def _displace(registry: ServerRegistry, holder: RegisteredServer) -> None:
    """Let a server drain whose address was announced by another one.

    Nearly always its process has ended. It isn't marked as gone, since the other
    announcement may be the odd one, and then it returns, see ``_is_disproved``.
    """
    holder.is_displaced = True
    if holder.row.phase is ServerPhase.DRAINING:
        return
    holder.row = msgspec.structs.replace(holder.row, phase=ServerPhase.DRAINING)
    for callback in registry.on_change:
        callback(holder.row)


def _is_before_departure(registry: ServerRegistry, row: ServerRow) -> bool:
    """Return whether a row is older than a departure that the log has accepted."""
    departure, _ = registry.departures.get(row.server_id, (None, 0.0))
    if departure is None or row.incarnation > departure.incarnation:
        return False
    if departure.phase is ServerPhase.GONE or row.incarnation < departure.incarnation:
        return True
    return row.phase is ServerPhase.READY


def apply_departure(
    registry: ServerRegistry, row: ServerRow, age_s: float, now: float
) -> None:
    """Apply a departure that the log accepted ``age_s`` seconds ago.

    A member that starts reads old departures again; these concern nothing that is
    still listed. Servers that are not listed here need no row while they drain, since
    the control daemon that lists them streams it. That they are gone is streamed by
    all, as that daemon may be lost.
    """
    if age_s > RETENTION_S:
        return
    registry.departures[row.server_id] = (row, now + RETENTION_S)
    current = registry.servers.get(row.server_id)
    is_listed = current is not None and current.row.incarnation == row.incarnation
    if row.phase is ServerPhase.GONE:
        callbacks = registry.on_change if is_listed else registry.on_minor_change
        _withdraw(registry, row.server_id, row.incarnation, now, callbacks)
    elif current is not None and is_listed and current.row.phase is ServerPhase.READY:
        _store(registry, row, now, registry.on_change)


def _find_newer(
    row: ServerRow, current: RegisteredServer | None, holder: RegisteredServer | None
) -> RegisteredServer | None:
    """Return the entry by which an announcement is out of date, if there is one."""
    if current is not None:
        is_gone = current.row.phase is ServerPhase.GONE
        if is_gone and row.incarnation <= current.row.incarnation:
            return current
        if version_key(row) <= version_key(current.row):
            return current
    if holder is None or holder.row.incarnation < row.incarnation:
        return None
    # Of two servers with the same incarnation the later one holds the address.
    is_displaced = current is not None and current.is_displaced
    is_newer = holder.row.incarnation > row.incarnation
    return holder if is_newer or is_displaced else None


def _is_disproved(
    registry: ServerRegistry, row: ServerRow, newer: RegisteredServer, now: float
) -> bool:
    """Return whether a server goes on announcing itself against a newer entry.

    An entry that another writer left with a high number would shut out the true
    server. It is overruled if it was not repeated for as long as a silent server, while
    the true one announced itself all the time. Announcements that were delayed on their
    way arrive together. A server that has withdrawn never returns.
    """
    if newer.row.phase is ServerPhase.GONE:
        return False
    seen = registry.outdated.get(row.server_id)
    if seen is None or seen.incarnation != row.incarnation:
        registry.outdated[row.server_id] = OutdatedAnnouncements(
            ServerIncarnation(row.incarnation), now, row.sequence
        )
        return False
    if row.sequence <= seen.sequence:
        return False
    seen.sequence = row.sequence
    seen.count += 1
    silent_s = SILENT_INTERVALS * registry.heartbeat_s
    return (
        seen.count > SILENT_INTERVALS
        and now - seen.since >= silent_s
        and now - newer.last_contact_at >= silent_s
    )


def apply_withdrawal(
    registry: ServerRegistry,
    server_id: ServerId,
    incarnation: ServerIncarnation | None,
    now: float,
) -> None:
    """Mark a server as gone; without ``incarnation``, mark the registered one.

    A withdrawal of an incarnation older than the registered one changes nothing.
    """
    _withdraw(registry, server_id, incarnation, now, registry.on_change)


def _withdraw(
    registry: ServerRegistry,
    server_id: ServerId,
    incarnation: ServerIncarnation | None,
    now: float,
    callbacks: list[Callable[[ServerRow], None]],
) -> None:
    current = registry.servers.get(server_id)
    if current is None:
        if incarnation is None:
            return
        # The row stores only the incarnation, so that a late announcement of it is
        # recognised as out of date.
        row = ServerRow(server_id, incarnation, 0, "", "", "", 0, ServerPhase.GONE)  # type: ignore[arg-type]
        _store(registry, row, now, callbacks)
        return
    if incarnation is not None and incarnation < current.row.incarnation:
        return
    gone = msgspec.structs.replace(
        current.row,
        incarnation=current.row.incarnation if incarnation is None else incarnation,
        phase=ServerPhase.GONE,
        cold_s=0.0,
    )
    _store(registry, gone, now, callbacks)


def sweep(registry: ServerRegistry, now: float) -> None:
    """Mark servers whose heartbeats stopped as silent, and expire old entries."""
    silent_after = SILENT_INTERVALS * registry.heartbeat_s
    for server_id, outdated in list(registry.outdated.items()):
        if now - outdated.since > RETENTION_S:
            del registry.outdated[server_id]
    for server_id, (_, retained_until) in list(registry.departures.items()):
        if now > retained_until:
            del registry.departures[server_id]
    for server_id, registered in list(registry.servers.items()):
        age = now - registered.last_contact_at
        row = registered.row
        if age > RETENTION_S:
            del registry.servers[server_id]
            _release_address(registry, row)
        elif (
            age > silent_after
            and not row.is_silent
            and row.phase is not ServerPhase.GONE
        ):
            registered.row = msgspec.structs.replace(row, is_silent=True)
            for callback in registry.on_change:
                callback(registered.row)


def list_rows(registry: ServerRegistry, now: float) -> Iterable[ServerRow]:
    """Return every row with its remaining cold time, for a new subscriber."""
    return [
        _with_current_cold_time(registered, now)
        for registered in registry.servers.values()
    ]
