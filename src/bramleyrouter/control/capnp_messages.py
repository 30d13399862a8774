"""Load the Cap'n Proto schema; helpers for this package's encoders and decoders."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import capnp
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.wire.envelopes import PROTOCOL_VERSION

T = TypeVar("T")

SCHEMA = capnp.load(str(Path(__file__).with_name("control.capnp")))


def new_message(struct: Any) -> Any:
    """Create an empty message and set its protocol version."""
    message = struct.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    return message


def decode_message(
    struct: Any, data: bytes, limit: int, convert: Callable[[Any], T]
) -> Result[T, Failure]:
    """Decode ``data`` and pass the message to ``convert``.

    ``convert`` raises ``ValueError`` for values that it rejects. Fail with
    ``WIRE_TOO_LARGE``, ``WIRE_VERSION`` or ``WIRE_MALFORMED``.
    """
    if len(data) > limit:
        text = f"{len(data)} bytes were received; at most {limit} are accepted."
        return Err(Failure(Code.WIRE_TOO_LARGE, text))
    try:
        with struct.from_bytes(data) as message:
            version = message.protocolVersion
            if version != PROTOCOL_VERSION:
                text = (
                    f'Protocol version "{version}" was received; '
                    f'"{PROTOCOL_VERSION}" was expected.'
                )
                return Err(Failure(Code.WIRE_VERSION, text))
            return Ok(convert(message))
    except (capnp.KjException, RuntimeError, *DECODE_ERRORS) as exc:
        # pycapnp raises a plain RuntimeError for an unknown enumerant.
        text = f"The message can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


def check_length(
    value: Any, limit: int, field: str, is_empty_allowed: bool = False
) -> Any:
    """Return ``value`` (text or bytes); raise ``ValueError`` if its length is wrong."""
    if len(value) > limit or not (value or is_empty_allowed):
        raise ValueError(f'"{field}" has length {len(value)}; 1 to {limit} expected')
    return value
