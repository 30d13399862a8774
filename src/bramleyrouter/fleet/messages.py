"""Messages of the fleet stream from control daemons to entry daemons.

They are MessagePack arrays, since the rows are many and small.
"""

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import DataCentre, Revision, TableVersion


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Carry what changed; a field that is none did not change.

    An update without any field is a sign of life. The first one names the data
    centre of the control daemon. ``members_index`` and ``revision`` order the
    values of different control daemons. ``entry_daemons`` counts those that
    follow this control daemon directly, by data centre. A route table travels
    only when it is fetched: most entry daemons then get it inside their data
    centre.
    """

    rows: tuple[ServerRow, ...] = ()
    is_full: bool = False
    table_version: TableVersion | None = None
    revision: Revision | None = None
    data_centres_out: tuple[DataCentre, ...] = ()
    members_index: int | None = None
    members: tuple[str, ...] = ()
    entry_daemons: dict[DataCentre, int] | None = None
    data_centre: DataCentre | None = None
    relays: tuple[tuple[str, DataCentre], ...] | None = None


# What a subscriber asks for: the stream itself as an entry daemon (nothing), the
# stream to pass it on, or that of another control daemon (its address).
DIRECT = b""
MIRROR = b"mirror"

_ENCODER = msgspec.msgpack.Encoder()
_UPDATE = msgspec.msgpack.Decoder(Update)


def encode_update(update: Update) -> bytes:
    """Return an update as bytes."""
    return _ENCODER.encode(update)


def decode_update(payload: bytes) -> Result[Update, Failure]:
    """Decode an update; fail with ``WIRE_MALFORMED``."""
    try:
        return Ok(_UPDATE.decode(payload))
    except msgspec.MsgspecError as exc:
        text = f"The fleet update can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
