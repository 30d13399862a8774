"""Rows of the fleet stream: one backend server each, and the order of its versions."""

from enum import Enum
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName
from bramleyrouter.utils.addresses import check_peer_address


class ServerPhase(Enum):
    """Name the phase of a backend server's life cycle."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# Largest incarnation or sequence number: the largest integer that all messages carry.
MAX_VERSION_NUMBER = 2**63 - 1
# Largest number of slots that a server may declare.
MAX_SLOTS = 10_000
# Longest time for which a server may declare to stay cold, in seconds.
MAX_COLD_S = 3600.0
# Largest number of characters of a name.
MAX_NAME_CHARACTERS = 200

VersionNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION_NUMBER)]
SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
ColdSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COLD_S)]
# Names are sent in HTTP headers and paths, so they hold printable ASCII only.
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]*$", max_length=MAX_NAME_CHARACTERS)]


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


class VersionedRow(ServerRow, frozen=True, array_like=True):
    """Describe a backend server that announced the version of its software.

    Rows are sent in this form only for services that have a rollout; without one,
    messages have the form that earlier releases read.
    """

    version: str = ""


class _RowFields(msgspec.Struct, frozen=True, array_like=True):
    """Declare the ranges of a row's fields; msgspec checks them only in decoding."""

    server_id: Name
    incarnation: VersionNumber
    sequence: VersionNumber
    service: Name
    address: Name
    data_centre: Name
    slots: SlotCount
    phase: ServerPhase = ServerPhase.READY
    cold_s: ColdSeconds = 0.0
    is_silent: bool = False
    version: Name = ""


def check_row(row: ServerRow) -> Result[ServerRow, Failure]:
    """Return the row; fail with ``INVALID_ANNOUNCEMENT`` if a field is out of range."""
    try:
        msgspec.convert(msgspec.structs.astuple(row), _RowFields)
        if not row.server_id:
            raise ValueError("The server id is empty.")
        if row.phase is not ServerPhase.GONE:
            check_peer_address(row.address)
    except (msgspec.ValidationError, ValueError, OverflowError) as exc:
        text = f'The row of "{row.server_id[:MAX_NAME_CHARACTERS]}" is invalid: {exc}.'
        return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))
    return Ok(row)


def get_version(row: ServerRow) -> str:
    """Return the version of the server's software, empty if it is not known."""
    return row.version if isinstance(row, VersionedRow) else ""


def drop_version(row: ServerRow) -> ServerRow:
    """Return the row without the version of the server's software."""
    if not isinstance(row, VersionedRow):
        return row
    fields = ServerRow.__struct_fields__
    return ServerRow(*(getattr(row, name) for name in fields))


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
        and get_version(first) == get_version(second)
        and second.cold_s <= first.cold_s
    )
