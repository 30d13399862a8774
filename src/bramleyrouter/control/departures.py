"""The replicated record of the backend servers that are leaving or have left.

What one control daemon acknowledges to a server must hold after that daemon is lost, as
another one may still list the server as ready. The functions are deterministic, like
those of the configuration.
"""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.ids import ServerId

# Departures are retained this long, in milliseconds of the log's time stamps. No other
# control daemon lists a server that was silent for as long.
RETENTION_MS = 60_000


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Hold the row of a server that is draining or gone, and its time stamp."""

    row: ServerRow
    stamp_ms: int


@dataclass
class Departures:
    """Hold the departures by server id, oldest first."""

    by_server: dict[ServerId, Departure] = field(default_factory=dict)


def has_departed(departures: Departures, row: ServerRow) -> bool:
    """Return whether this departure, or a later one of the server, is recorded."""
    recorded = departures.by_server.get(row.server_id)
    if recorded is None:
        return False
    is_final = recorded.row.phase is ServerPhase.GONE or row.phase is recorded.row.phase
    if recorded.row.incarnation == row.incarnation:
        return is_final
    return recorded.row.incarnation > row.incarnation


def record_departure(departures: Departures, row: ServerRow, now_ms: int) -> bool:
    """Record a departure and expire old ones; return false if it changes nothing."""
    _expire(departures, now_ms)
    if has_departed(departures, row):
        return False
    # Removed first, so that the order is that of the time stamps.
    departures.by_server.pop(row.server_id, None)
    departures.by_server[row.server_id] = Departure(row, now_ms)
    return True


def _expire(departures: Departures, now_ms: int) -> None:
    expired = []
    for server_id, departure in departures.by_server.items():
        if departure.stamp_ms >= now_ms - RETENTION_MS:
            break
        expired.append(server_id)
    for server_id in expired:
        del departures.by_server[server_id]
