"""Encode and decode log records and small checksummed files.

A record is ``length, checksum of the length, checksum of the body, body, end
mark``. The length has a checksum of its own, so that a flipped bit in it is
not mistaken for a truncated record. The end mark is never zero, so that blocks
that the file system allocated but did not write are recognised as torn.
"""

import struct
import zlib
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.consensus.entries import MAX_COMMAND_BYTES, Entry, EntryKind
from bramleyrouter.ids import LogIndex, Term

_HEADER = struct.Struct(">III")
_BODY = struct.Struct(">QQQB")
_LENGTH = struct.Struct(">I")
END_MARK = b"\xa5"
HEADER_BYTES = _HEADER.size
MAX_BODY_BYTES = _BODY.size + MAX_COMMAND_BYTES
_FILE_HEADER = struct.Struct(">4sQI")


class TornRecord(NamedTuple):
    """Report a record at ``offset`` that was only partly written."""

    offset: int


class CorruptRecord(NamedTuple):
    """Report that the record at ``offset`` changed after it was written."""

    offset: int


def encode_record(entry: Entry) -> bytes:
    """Encode an entry as a record."""
    fixed = _BODY.pack(entry.term, entry.index, entry.stamp_ms, entry.kind)
    body = fixed + entry.command
    length = _LENGTH.pack(len(body))
    header = _HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body))
    return header + body + END_MARK


def _decode_body(body: bytes) -> Entry:
    term, index, stamp_ms, kind = _BODY.unpack_from(body)
    command = body[_BODY.size :]
    return Entry(Term(term), LogIndex(index), stamp_ms, EntryKind(kind), command)


def _classify_damage(data: bytes, offset: int, end: int) -> TornRecord | CorruptRecord:
    """Distinguish an unwritten tail from corruption of the record up to ``end``."""
    is_unwritten = data[-1] == 0 and len(data.rstrip(b"\0")) < end
    return TornRecord(offset) if is_unwritten else CorruptRecord(offset)


def decode_record(
    data: bytes, offset: int
) -> Result[tuple[Entry, int], TornRecord | CorruptRecord]:
    """Decode the record at ``offset``; return its entry and the offset after it.

    Only a record that extends past the end of the data, or whose bytes are zero
    up to the end, counts as torn. A complete record with a wrong checksum is
    corrupt even if it is the last one, since it may have been committed.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return Err(TornRecord(offset))
    length, length_sum, body_sum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _LENGTH.size]) != length_sum:
        return Err(_classify_damage(data, offset, start))
    end = start + length + len(END_MARK)
    if not _BODY.size <= length <= MAX_BODY_BYTES:
        return Err(CorruptRecord(offset))
    if end > len(data):
        return Err(TornRecord(offset))
    body = data[start : start + length]
    if zlib.crc32(body) != body_sum or data[end - 1 : end] != END_MARK:
        return Err(_classify_damage(data, offset, end))
    try:
        return Ok((_decode_body(body), end))
    except ValueError:
        return Err(CorruptRecord(offset))


def encode_file(magic: bytes, body: bytes) -> bytes:
    """Encode a file that is always replaced as a whole."""
    return _FILE_HEADER.pack(magic, len(body), zlib.crc32(body)) + body


def decode_file(magic: bytes, data: bytes) -> bytes | None:
    """Return the body of a file that is replaced as a whole, or none if damaged."""
    if len(data) < _FILE_HEADER.size:
        return None
    found_magic, length, checksum = _FILE_HEADER.unpack_from(data)
    body = data[_FILE_HEADER.size :]
    is_valid = (
        found_magic == magic and length == len(body) and zlib.crc32(body) == checksum
    )
    return body if is_valid else None
