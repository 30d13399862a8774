"""Rows of the fleet stream: one backend server each, and the order of its versions."""

from enum import Enum

import msgspec

from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName


class ServerPhase(Enum):
    """Name the phase of a backend server's life cycle."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a backend server by its latest announcement.

    ``sequence`` increases with each announcement of one incarnation. ``cold_s`` is
    how long the server stays cold, in seconds from when the row was sent.
    ``is_silent`` is set when its heartbeats stopped without a withdrawal.
    """

    server_id: ServerId
    incarnation: ServerIncarnation
    sequence: int
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int
    phase: ServerPhase = ServerPhase.READY
    cold_s: float = 0.0
    is_silent: bool = False


def version_key(row: ServerRow) -> tuple[int, int]:
    """Return the sort key that orders the announcements of one server id."""
    return row.incarnation, row.sequence


def is_same_for_routing(first: ServerRow, second: ServerRow) -> bool:
    """Return whether ``second`` changes nothing that routing depends on.

    A shorter remaining cold time is no change, since it only counts down.
    """
    return (
        first.incarnation == second.incarnation
        and first.service == second.service
        and first.address == second.address
        and first.data_centre == second.data_centre
        and first.slots == second.slots
        and first.phase is second.phase
        and first.is_silent == second.is_silent
        and second.cold_s <= first.cold_s
    )
