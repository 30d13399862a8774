"""Messages by which entry daemons ask control daemons for permits.

They are encoded as MessagePack arrays, as in ``fleet.messages``.
"""

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.ids import TableVersion, TenantName
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Limit on the permits in one request.
MAX_WANTED = 1000
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WANTED)]
# Limit on a slot or wait, in seconds.
_Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for permits: customers with counts, by the table of ``version``."""

    version: TableVersion
    wanted: tuple[tuple[TenantName, _Count], ...]


class PermitGrant(msgspec.Struct, frozen=True, array_like=True):
    """Report the permits issued to one customer, and a slot for each refused one.

    Slots are seconds from the reply, and ``free_in_s`` is when any permit is free.
    ``is_known`` is false if the issuer's route table has no such customer with a limit;
    the issuer then can't tell anything.
    """

    granted: _Count = 0
    slots: tuple[_Seconds, ...] = ()
    free_in_s: _Seconds = 0.0
    is_known: bool = True


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer a request in its order of customers.

    ``grants`` is empty while the issuer may not issue; ``wait_s`` is then the time in
    seconds after which it may, or none if it is no member of the log.
    """

    grants: tuple[PermitGrant, ...] = ()
    wait_s: _Seconds | None = None


_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER = msgspec.msgpack.Decoder(PermitRequest)
_REPLY_DECODER = msgspec.msgpack.Decoder(PermitReply)


def encode_message(message: PermitRequest | PermitReply) -> bytes:
    """Encode a request for permits or a reply."""
    return _ENCODER.encode(message)


def decode_request(payload: bytes) -> Result[PermitRequest, Failure]:
    """Decode a request; fail with ``WIRE_MALFORMED``."""
    return _decode(_REQUEST_DECODER, payload)


def decode_reply(payload: bytes) -> Result[PermitReply, Failure]:
    """Decode a reply; fail with ``WIRE_MALFORMED``."""
    return _decode(_REPLY_DECODER, payload)


def _decode(decoder, payload: bytes):
    try:
        return Ok(decoder.decode(payload))
    except DECODE_ERRORS as exc:
        text = f"The message about permits can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
