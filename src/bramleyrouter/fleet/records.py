"""What is known of one backend server, and which announcement is newer."""

from enum import Enum

import msgspec

from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName


class ServerPhase(Enum):
    """Say how far a backend server is in its life."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a backend server by its latest announcement.

    ``sequence`` grows with each announcement of one incarnation. ``cold_s`` is
    how long the server stays cold, in seconds from when the row was sent.
    ``is_silent`` is set when its heartbeats stopped without a word.
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


def order_of(row: ServerRow) -> tuple[int, int]:
    """Return what orders the announcements of one server id."""
    return row.incarnation, row.sequence


def says_the_same(first: ServerRow, second: ServerRow) -> bool:
    """Return whether two rows differ in nothing that routing depends on."""
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
