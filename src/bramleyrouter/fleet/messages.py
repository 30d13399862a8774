"""Messages of the fleet stream from control daemons to entry daemons.

They are encoded as MessagePack arrays, which are compact for many small rows.
"""

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import DataCentre, Revision, TableVersion


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Carry changes; a field that is None did not change.

    An update without any field is a keepalive. With ``is_full``, ``rows`` replaces
    all earlier rows of the stream. The first update of a stream names the data
    centre of the control daemon. ``data_centres_out`` is valid only together with
    ``revision`` and ``members`` only together with ``members_index``; these two
    numbers order the values of different control daemons. ``entry_daemons`` is the
    number of entry daemons subscribed directly to this control daemon, by data
    centre. ``relays`` holds the address and data centre of each relay. An
    update names only the version of the route table; subscribers fetch the table
    itself, most of them from a control daemon in their own data centre.
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


# Payload of a subscription. An entry daemon sends DIRECT for the control daemon's own
# stream, or the address of another control daemon whose stream is to be forwarded. A
# control daemon sends MIRROR for a stream that it forwards to entry daemons.
DIRECT = b""
MIRROR = b"mirror"

_ENCODER = msgspec.msgpack.Encoder()
_UPDATE_DECODER = msgspec.msgpack.Decoder(Update)


def encode_update(update: Update) -> bytes:
    """Encode an update as MessagePack."""
    return _ENCODER.encode(update)


def decode_update(payload: bytes) -> Result[Update, Failure]:
    """Decode an update; fail with ``WIRE_MALFORMED``."""
    try:
        return Ok(_UPDATE_DECODER.decode(payload))
    except msgspec.MsgspecError as exc:
        text = f"The fleet update can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
