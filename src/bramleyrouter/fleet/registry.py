"""The servers that one control daemon heard of.

Backend servers send their heartbeats to any control daemon. Each control
daemon keeps what it heard itself and streams the changes; entry daemons merge
the streams of all control daemons.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.fleet.records import ServerPhase, ServerRow, order_of, says_the_same
from bramleyrouter.ids import ServerId, ServerIncarnation

# Heartbeat intervals without a heartbeat after which a server is silent: two
# may be late or go to another control daemon.
SILENT_INTERVALS = 3.0
# How long a server that is gone, or has been silent, is remembered, in
# seconds: longer than any announcement is delayed on its way.
FORGET_AFTER_S = 60.0


@dataclass
class Heard:
    """Hold a row with the loop times that age it."""

    row: ServerRow
    last_contact_at: float
    cold_until: float


@dataclass
class ServerRegistry:
    """Hold the servers by id and tell the subscribers of each change."""

    heartbeat_s: float
    servers: dict[ServerId, Heard] = field(default_factory=dict)
    by_address: dict[str, ServerId] = field(default_factory=dict)
    on_change: list[Callable[[ServerRow], None]] = field(default_factory=list)


def _store(registry: ServerRegistry, row: ServerRow, now: float) -> None:
    known = registry.servers.get(row.server_id)
    registry.servers[row.server_id] = Heard(row, now, now + row.cold_s)
    registry.by_address[row.address] = row.server_id
    if known is not None:
        aged = _aged(known, now)
        if says_the_same(aged, row):
            return
    for callback in registry.on_change:
        callback(row)


def _aged(heard: Heard, now: float) -> ServerRow:
    cold_s = max(0.0, heard.cold_until - now)
    if not heard.row.cold_s or cold_s == heard.row.cold_s:
        return heard.row
    return msgspec.structs.replace(heard.row, cold_s=cold_s)


def announce(registry: ServerRegistry, row: ServerRow, now: float) -> bool:
    """Take an announcement; return false for one that is out of date.

    Out of date are announcements of an incarnation that is gone, ones that a
    later one overtook, and those of a server whose address a younger server
    has taken: they were delayed on their way.
    """
    known = registry.servers.get(row.server_id)
    if known is not None:
        is_gone = known.row.phase is ServerPhase.GONE
        if is_gone and row.incarnation <= known.row.incarnation:
            return False
        if order_of(row) <= order_of(known.row):
            return False
    holder_id = registry.by_address.get(row.address)
    holder = registry.servers.get(holder_id) if holder_id else None
    if holder is not None and holder_id != row.server_id:
        if holder.row.incarnation > row.incarnation:
            return False
        if holder.row.phase is not ServerPhase.GONE:
            withdraw(registry, holder.row.server_id, None, now)
    _store(registry, row, now)
    return True


def withdraw(
    registry: ServerRegistry,
    server_id: ServerId,
    incarnation: ServerIncarnation | None,
    now: float,
) -> None:
    """Note that a server is gone; without an incarnation the known one is.

    A withdrawal of an older incarnation than the known one changes nothing.
    """
    known = registry.servers.get(server_id)
    if known is None:
        if incarnation is None:
            return
        row = ServerRow(server_id, incarnation, 0, "", "", "", 0, ServerPhase.GONE)  # type: ignore[arg-type]
        _store(registry, row, now)
        return
    if incarnation is not None and incarnation < known.row.incarnation:
        return
    gone = msgspec.structs.replace(
        known.row,
        incarnation=known.row.incarnation if incarnation is None else incarnation,
        phase=ServerPhase.GONE,
        cold_s=0.0,
    )
    _store(registry, gone, now)


def sweep(registry: ServerRegistry, now: float) -> None:
    """Mark the servers whose heartbeats stopped, and forget the oldest."""
    silent_after = SILENT_INTERVALS * registry.heartbeat_s
    for server_id, heard in list(registry.servers.items()):
        age = now - heard.last_contact_at
        row = heard.row
        if age > FORGET_AFTER_S:
            del registry.servers[server_id]
            if registry.by_address.get(row.address) == server_id:
                del registry.by_address[row.address]
        elif (
            age > silent_after
            and not row.is_silent
            and row.phase is not ServerPhase.GONE
        ):
            heard.row = msgspec.structs.replace(row, is_silent=True)
            for callback in registry.on_change:
                callback(heard.row)


def rows_of(registry: ServerRegistry, now: float) -> Iterable[ServerRow]:
    """Return every row as it stands now, for a new subscriber."""
    return [_aged(heard, now) for heard in registry.servers.values()]
