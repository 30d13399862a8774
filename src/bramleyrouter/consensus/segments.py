"""Append-only segment files of log records.

Records are only ever appended: a record whose index is not larger than that of
the last one replaces the entry at its index and all after it. So a follower
that removes conflicting entries rewrites no file. A segment is synced before
the next one is started; therefore only the last segment may end in a torn
record.
"""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import Entry
from bramleyrouter.consensus.files import FileSystem
from bramleyrouter.consensus.records import TornRecord, decode_record, encode_record
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex

SEGMENT_BYTES = 4 * 1024 * 1024
MAGIC = b"BRLOG001"
_PREFIX = "log-"
_SUFFIX = ".seg"


@dataclass
class Segment:
    """Hold one segment file: its number, size and largest index."""

    number: int
    size: int = 0
    last_index: LogIndex = LogIndex(0)

    @property
    def name(self) -> str:
        """Return the file's name."""
        return f"{_PREFIX}{self.number:010d}{_SUFFIX}"


@dataclass
class SegmentState:
    """Hold the segments, oldest first; records go to the last one."""

    segments: list[Segment] = field(default_factory=list)
    next_number: int = 1


def build_corrupt_failure(name: str, offset: int, reason: str) -> Failure:
    """Build the failure that names the file and the offset in it."""
    text = f'"{name}" is corrupt at offset {offset}: {reason}.'
    return Failure(Code.LOG_CORRUPT, text)


def _list_segment_numbers(fs: FileSystem) -> list[int]:
    names = fs.list_names()
    number_texts = [
        name[len(_PREFIX) : -len(_SUFFIX)]
        for name in names
        if name.startswith(_PREFIX) and name.endswith(_SUFFIX)
    ]
    return sorted(int(text) for text in number_texts)


def _add_entry(entries: list[Entry], entry: Entry) -> bool:
    """Add a record's entry; return false if it does not follow the others."""
    if not entries or entry.index < entries[0].index:
        # An entry may replace all earlier records when the segments before them
        # were already removed. Recovery checks later that there is no gap between
        # the snapshot and the first entry.
        entries[:] = [entry]
        return True
    position = entry.index - entries[0].index
    if position > len(entries):
        return False
    if position and entry.term < entries[position - 1].term:
        return False
    del entries[position:]
    entries.append(entry)
    return True


def _read_segment(
    data: bytes, segment: Segment, is_last: bool, entries: list[Entry]
) -> Result[int, Failure]:
    """Add a segment's entries; return the offset after its last valid record."""
    if data[: len(MAGIC)] != MAGIC:
        if is_last and MAGIC.startswith(data.rstrip(b"\0")):
            return Ok(0)
        return Err(
            build_corrupt_failure(segment.name, 0, "the format's mark is missing")
        )
    offset = len(MAGIC)
    while offset < len(data):
        decoded = decode_record(data, offset)
        if isinstance(decoded, Err):
            if is_last and isinstance(decoded.err_value, TornRecord):
                return Ok(offset)
            return Err(
                build_corrupt_failure(
                    segment.name, offset, "a record's checksum is wrong"
                )
            )
        entry, end = decoded.ok_value
        if not _add_entry(entries, entry):
            reason = f'entry "{entry.index}" does not follow the one before it'
            return Err(build_corrupt_failure(segment.name, offset, reason))
        segment.last_index = max(segment.last_index, entry.index)
        offset = end
    return Ok(offset)


def read_segments(
    fs: FileSystem,
) -> Result[tuple[SegmentState, list[Entry]], Failure]:
    """Read all segments, truncate a torn tail and return the entries.

    Fails with ``LOG_CORRUPT``, which names the file and the offset in it.
    """
    numbers = _list_segment_numbers(fs)
    state = SegmentState()
    entries: list[Entry] = []
    for number in numbers:
        segment = Segment(number)
        if state.segments and number != state.segments[-1].number + 1:
            return Err(
                build_corrupt_failure(
                    segment.name, 0, "the segment before it is missing"
                )
            )
        data = fs.read(segment.name)
        valid_size = _read_segment(data, segment, number == numbers[-1], entries)
        if isinstance(valid_size, Err):
            return valid_size
        segment.size = valid_size.ok_value
        if segment.size < len(data):
            fs.truncate(segment.name, segment.size)
            fs.sync(segment.name)
        state.segments.append(segment)
        state.next_number = number + 1
    return Ok((state, entries))


def _start_segment(state: SegmentState, fs: FileSystem) -> Segment:
    segment = Segment(state.next_number)
    state.next_number += 1
    state.segments.append(segment)
    fs.append(segment.name, b"")
    fs.sync_folder()
    return segment


def append_entries(
    state: SegmentState, fs: FileSystem, entries: list[Entry], segment_bytes: int
) -> None:
    """Append and sync ``entries``; start a new segment after ``segment_bytes``."""
    if not state.segments or state.segments[-1].size >= segment_bytes:
        _start_segment(state, fs)
    segment = state.segments[-1]
    data = b"".join(map(encode_record, entries))
    if segment.size == 0:
        data = MAGIC + data
    fs.append(segment.name, data)
    fs.sync(segment.name)
    segment.size += len(data)
    last = max(entry.index for entry in entries)
    segment.last_index = max(segment.last_index, last)


def _remove_segment(state: SegmentState, fs: FileSystem, segment: Segment) -> None:
    """Remove the first or the last segment.

    The folder is synced each time. A loss of power could otherwise undo some of several
    removals and not others, and a log with a gap can't be recovered.
    """
    fs.remove(segment.name)
    fs.sync_folder()
    state.segments.remove(segment)


def remove_segments(state: SegmentState, fs: FileSystem, index: LogIndex) -> None:
    """Remove the oldest segments whose entries all have an index up to ``index``.

    If the last segment remains and is not empty, start a new one, so that a later
    call can remove it too.
    """
    while state.segments and state.segments[0].last_index <= index:
        _remove_segment(state, fs, state.segments[0])
    if state.segments and state.segments[-1].size:
        _start_segment(state, fs)


def remove_all_segments(state: SegmentState, fs: FileSystem) -> None:
    """Remove every segment, since a snapshot replaces the whole log.

    The newest is removed first: what an interruption leaves then still begins at or
    before the snapshot, and recovery removes it.
    """
    while state.segments:
        _remove_segment(state, fs, state.segments[-1])


def rewrite_segments(state: SegmentState, fs: FileSystem, entries: list[Entry]) -> None:
    """Write ``entries`` to a new segment, then remove all the others.

    If this fails or is interrupted, the old segments are still complete.
    """
    old_segments = [segment for segment in state.segments if segment.size]
    if not old_segments:
        return
    if state.segments[-1].size:
        _start_segment(state, fs)
    try:
        if entries:
            append_entries(state, fs, entries, SEGMENT_BYTES)
    except OSError:
        # Otherwise each attempt would leave another part of the log on a full disk.
        fs.remove(state.segments[-1].name)
        raise
    for segment in old_segments:
        _remove_segment(state, fs, segment)
