"""Merge the records of shards into the greatest ones."""

import heapq
from collections.abc import Iterable

# Length of one record, in bytes.
RECORD_BYTES = 16


def split_records(part: bytes) -> list[bytes]:
    """Split a part into records; drop an incomplete record at its end."""
    end = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_greatest(parts: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all parts, in descending order.

    Equal records are all retained. For example, ``merge_greatest([b"a" * 16 + b"b" *
    16], 1)`` is ``b"b" * 16``.
    """
    records = (record for part in parts for record in split_records(part))
    return b"".join(heapq.nlargest(count, records))


def drop_useless_records(part: bytes, count: int) -> bytes:
    """Return a part without records that can't be among the ``count`` greatest.

    A part that is short enough is returned as it is, also if it is not sorted. Merging
    gives the same result with and without this.
    """
    if len(part) <= count * RECORD_BYTES:
        return part
    return merge_greatest((part,), count)
