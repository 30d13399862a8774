"""Encode and decode the frame around every internal message.

The frame has a fixed binary header because it is read for every message: a Cap'n
Proto envelope would cost three times as much as the rest of the codec. The payload
is Cap'n Proto, in the schema of the package that owns the message kind. An
``Envelope`` is the decoded form of a frame.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure

PROTOCOL_VERSION = 1
# Larger than the largest manifest (4 MiB) and snapshot chunk (1 MiB) together.
MAX_FRAME_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4
MAX_TEXT_BYTES = 1024

# Protocol version, frame type, kind, correlation, code, length of the text.
_HEADER = struct.Struct(">HBHQHH")


class FrameType(IntEnum):
    """Distinguish requests, replies, streams and one-way messages."""

    REQUEST = 0
    REPLY = 1
    STREAM = 2
    ITEM = 3
    END = 4
    CANCEL = 5
    ONE_WAY = 6


_FRAME_TYPES = tuple(FrameType)


class Envelope(NamedTuple):
    """Hold a decoded frame as a tuple, which is cheap to build for every message.

    ``correlation`` matches replies to their request on one connection. ``code``
    is a result code, zero for success; ``text`` describes a failure.
    """

    frame_type: FrameType
    kind: int
    correlation: int
    payload: bytes = b""
    code: int = 0
    text: str = ""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame, prefixed by its length as four big-endian bytes."""
    frame_type, kind, correlation, payload, code, text = envelope
    encoded_text = text.encode()[:MAX_TEXT_BYTES] if text else b""
    header = _HEADER.pack(
        PROTOCOL_VERSION, frame_type, kind, correlation, code, len(encoded_text)
    )
    length = _HEADER.size + len(encoded_text) + len(payload)
    return length.to_bytes(LENGTH_BYTES, "big") + header + encoded_text + payload


def _build_malformed_failure(text: str) -> Err[Failure]:
    return Err(Failure(Code.WIRE_MALFORMED, f"The frame can't be decoded: {text}."))


def decode_envelope(body: bytes) -> Result[Envelope, Failure]:
    """Decode a frame without its length prefix; fail with a ``WIRE_*`` code."""
    if len(body) < _HEADER.size:
        return _build_malformed_failure(
            f'"{len(body)}" bytes are fewer than the header has'
        )
    version, frame_type, kind, correlation, code, text_length = _HEADER.unpack_from(
        body
    )
    if version != PROTOCOL_VERSION:
        return Err(
            Failure(
                Code.WIRE_VERSION,
                f'Protocol version "{version}" was received; '
                f'"{PROTOCOL_VERSION}" was expected.',
            )
        )
    if frame_type >= len(_FRAME_TYPES):
        return _build_malformed_failure(f'"{frame_type}" is not a frame type')
    start = _HEADER.size + text_length
    if len(body) < start:
        return _build_malformed_failure("its text is longer than the frame")
    text = body[_HEADER.size : start].decode(errors="replace") if text_length else ""
    return Ok(
        Envelope(_FRAME_TYPES[frame_type], kind, correlation, body[start:], code, text)
    )
