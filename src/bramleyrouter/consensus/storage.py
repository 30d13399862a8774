"""Store and recover the state of a member in its data folder.

The file ``member`` stores the member record, ``term`` the hard state,
``snapshot`` the latest snapshot, and the ``log-*.seg`` files the entries. The
first three are replaced as a whole: the new content is written under a
temporary name, synced and renamed, and then the folder is synced. All functions
here block; the driver runs them outside the event loop.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import Entry, HardState, MemberRecord, Snapshot
from bramleyrouter.consensus.files import FileSystem
from bramleyrouter.consensus.records import decode_file, encode_file
from bramleyrouter.consensus.segments import (
    SEGMENT_BYTES,
    SegmentState,
    append_entries,
    build_corrupt_failure,
    read_segments,
    remove_all_segments,
    remove_segments,
    rewrite_segments,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, MemberId
from bramleyrouter.utils.decoding import DECODE_ERRORS

MEMBER_FILE = "member"
TERM_FILE = "term"
SNAPSHOT_FILE = "snapshot"
_TEMPORARY_SUFFIX = ".new"
_MAGIC = {MEMBER_FILE: b"BRM1", TERM_FILE: b"BRT1", SNAPSHOT_FILE: b"BRS1"}


class SaveHardState(NamedTuple):
    """Replace the hard state."""

    hard: HardState


class SaveMemberRecord(NamedTuple):
    """Replace the member record."""

    member_record: MemberRecord


class SaveEntries(NamedTuple):
    """Append entries; they replace all stored ones from the first index."""

    entries: tuple[Entry, ...]


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot; ``replaces_log`` also removes every entry."""

    data: bytes
    index: LogIndex
    replaces_log: bool


WriteJob = SaveHardState | SaveMemberRecord | SaveEntries | SaveSnapshot


@dataclass
class Storage:
    """Hold an open data folder and its segments."""

    fs: FileSystem
    segments: SegmentState
    segment_bytes: int = SEGMENT_BYTES


class Recovered(NamedTuple):
    """Hold the state that was recovered from a data folder."""

    member_record: MemberRecord
    hard: HardState
    snapshot: Snapshot | None
    snapshot_bytes: int
    entries: list[Entry]


def _replace_file(fs: FileSystem, name: str, body: bytes) -> None:
    temporary = name + _TEMPORARY_SUFFIX
    if temporary in fs.list_names():
        # A crash may have left an incomplete file.
        fs.remove(temporary)
    fs.append(temporary, body)
    fs.sync(temporary)
    fs.replace(temporary, name)
    fs.sync_folder()


def _encode_whole_file(name: str, value: msgspec.Struct) -> bytes:
    return encode_file(_MAGIC[name], msgspec.msgpack.encode(value))


def _read_whole_file(fs: FileSystem, name: str, value_type):
    data = fs.read(name)
    body = decode_file(_MAGIC[name], data)
    if body is None:
        return Err(build_corrupt_failure(name, 0, "the checksum is wrong"))
    try:
        return Ok(msgspec.msgpack.decode(body, type=value_type))
    except DECODE_ERRORS as exc:
        return Err(build_corrupt_failure(name, 0, str(exc)))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot file; chunks of it are also sent to followers."""
    return _encode_whole_file(SNAPSHOT_FILE, snapshot)


def decode_snapshot(data: bytes) -> Result[Snapshot, Failure]:
    """Decode a snapshot file; fail with ``SNAPSHOT_CORRUPT``."""
    body = decode_file(_MAGIC[SNAPSHOT_FILE], data)
    try:
        if body is not None:
            return Ok(msgspec.msgpack.decode(body, type=Snapshot))
        reason = "the checksum is wrong"
    except DECODE_ERRORS as exc:
        reason = str(exc)
    text = f'"{SNAPSHOT_FILE}" of {len(data)} bytes is corrupt: {reason}.'
    return Err(Failure(Code.SNAPSHOT_CORRUPT, text))


def _read_member_record(
    fs: FileSystem, new_id: Callable[[], str], first_record: MemberRecord | None
) -> Result[MemberRecord, Failure]:
    names = fs.list_names()
    if MEMBER_FILE in names:
        return _read_whole_file(fs, MEMBER_FILE, MemberRecord)
    remaining = [name for name in names if not name.endswith(_TEMPORARY_SUFFIX)]
    if remaining:
        # With a new id beside the old state, a member could vote twice in a term.
        reason = f'the file is missing beside "{remaining[0]}"'
        return Err(build_corrupt_failure(MEMBER_FILE, 0, reason))
    member_record = first_record or MemberRecord(MemberId(new_id()))
    _replace_file(fs, MEMBER_FILE, _encode_whole_file(MEMBER_FILE, member_record))
    return Ok(member_record)


def _read_hard_state(fs: FileSystem, is_needed: bool) -> Result[HardState, Failure]:
    if TERM_FILE in fs.list_names():
        return _read_whole_file(fs, TERM_FILE, HardState)
    if is_needed:
        return Err(
            build_corrupt_failure(TERM_FILE, 0, "the file is missing beside the log")
        )
    return Ok(HardState())


def _match_entries_to_snapshot(
    segments: SegmentState,
    fs: FileSystem,
    snapshot: Snapshot | None,
    entries: list[Entry],
) -> Result[list[Entry], Failure]:
    """Return the entries that continue the snapshot.

    If the log ends before the snapshot or has another entry at its index, a
    crash interrupted the replacement of the log by a leader's snapshot. The
    replacement is then completed: all segments are removed.
    """
    if not entries:
        return Ok([])
    start = snapshot.index if snapshot else LogIndex(0)
    if entries[0].index > start + 1:
        name = segments.segments[0].name
        reason = f'entries "{start + 1}" to "{entries[0].index - 1}" are missing'
        return Err(build_corrupt_failure(name, 0, reason))
    if snapshot is None:
        return Ok(entries)
    position = snapshot.index - entries[0].index
    is_continued = -1 <= position < len(entries) and (
        position == -1 or entries[position].term == snapshot.term
    )
    if is_continued:
        return Ok(entries)
    remove_all_segments(segments, fs)
    return Ok([])


def _recover(
    fs: FileSystem, new_id: Callable[[], str], first_record: MemberRecord | None
) -> Result[tuple[SegmentState, Recovered], Failure]:
    member_record = _read_member_record(fs, new_id, first_record)
    if isinstance(member_record, Err):
        return member_record
    snapshot, size = None, 0
    if SNAPSHOT_FILE in fs.list_names():
        data = fs.read(SNAPSHOT_FILE)
        decoded = decode_snapshot(data)
        if isinstance(decoded, Err):
            return decoded
        snapshot, size = decoded.ok_value, len(data)
    read = read_segments(fs)
    if isinstance(read, Err):
        return read
    segments, entries = read.ok_value
    matched = _match_entries_to_snapshot(segments, fs, snapshot, entries)
    if isinstance(matched, Err):
        return matched
    entries = matched.ok_value
    hard = _read_hard_state(fs, bool(entries) or snapshot is not None)
    if isinstance(hard, Err):
        return hard
    if entries and entries[-1].term > hard.ok_value.term:
        reason = f'term "{entries[-1].term}" of the log is larger'
        return Err(build_corrupt_failure(TERM_FILE, 0, reason))
    recovered = Recovered(
        member_record.ok_value, hard.ok_value, snapshot, size, entries
    )
    return Ok((segments, recovered))


def build_disk_failure(exc: OSError) -> Failure:
    """Build the failure for an error of the file system."""
    return Failure(Code.DISK_FAILED, f"The data folder failed: {exc}.")


def open_storage(
    fs: FileSystem,
    new_id: Callable[[], str],
    segment_bytes: int = SEGMENT_BYTES,
    first_record: MemberRecord | None = None,
) -> Result[tuple[Storage, Recovered], Failure]:
    """Open and recover the data folder; create the member id if it is empty.

    ``new_id`` must never return the same text twice on any VM: otherwise a
    member that lost its disk could vote again under its old id. ``first_record`` is
    stored in an empty folder in place of a record with only a new id. Fails with
    ``LOG_CORRUPT`` or ``SNAPSHOT_CORRUPT``, which name the file, or with
    ``DISK_FAILED``.
    """
    try:
        outcome = _recover(fs, new_id, first_record)
    except OSError as exc:
        return Err(build_disk_failure(exc))
    if isinstance(outcome, Err):
        return outcome
    segments, recovered = outcome.ok_value
    logging.info(
        "consensus: member %s recovered term %d and %d entries.",
        recovered.member_record.member_id,
        recovered.hard.term,
        len(recovered.entries),
    )
    return Ok((Storage(fs, segments, segment_bytes), recovered))


def open_durable_storage(
    fs: FileSystem,
    new_id: Callable[[], str],
    segment_bytes: int = SEGMENT_BYTES,
    first_record: MemberRecord | None = None,
) -> Result[tuple[Storage, Recovered], Failure]:
    """Open and recover the data folder, and make all of it durable.

    A process may have ended between a write and its sync, or after a failed sync. The
    operating system then returns content that isn't durable, and after a failed sync a
    later one of the same file doesn't report it. So all files are written again. Fails
    like ``open_storage``; it can then be called again.
    """
    opened = open_storage(fs, new_id, segment_bytes, first_record)
    if isinstance(opened, Err):
        return opened
    storage, recovered = opened.ok_value
    try:
        for name in (MEMBER_FILE, TERM_FILE, SNAPSHOT_FILE):
            if name in fs.list_names():
                _replace_file(fs, name, fs.read(name))
        rewrite_segments(storage.segments, fs, recovered.entries)
    except OSError as exc:
        return Err(build_disk_failure(exc))
    return opened


def _save_snapshot(storage: Storage, job: SaveSnapshot) -> None:
    _replace_file(storage.fs, SNAPSHOT_FILE, job.data)
    if job.replaces_log:
        remove_all_segments(storage.segments, storage.fs)
    else:
        remove_segments(storage.segments, storage.fs, job.index)


def _merge_entries(jobs: list[WriteJob]) -> list[WriteJob]:
    """Merge neighbouring jobs of one kind, so that they share one sync."""
    merged: list[WriteJob] = []
    for job in jobs:
        last = merged[-1] if merged else None
        if isinstance(job, SaveEntries) and isinstance(last, SaveEntries):
            merged[-1] = SaveEntries(last.entries + job.entries)
        elif isinstance(job, SaveHardState) and isinstance(last, SaveHardState):
            merged[-1] = job
        else:
            merged.append(job)
    return merged


def write_jobs(storage: Storage, jobs: list[WriteJob]) -> None:
    """Make all ``jobs`` durable, in order; raise ``OSError`` on failure.

    After an error the data folder must not be written again: after a failed
    sync the operating system may have discarded earlier writes from its cache.
    """
    for job in _merge_entries(jobs):
        if isinstance(job, SaveEntries):
            append_entries(
                storage.segments, storage.fs, list(job.entries), storage.segment_bytes
            )
        elif isinstance(job, SaveHardState):
            body = _encode_whole_file(TERM_FILE, job.hard)
            _replace_file(storage.fs, TERM_FILE, body)
        elif isinstance(job, SaveMemberRecord):
            body = _encode_whole_file(MEMBER_FILE, job.member_record)
            _replace_file(storage.fs, MEMBER_FILE, body)
        else:
            _save_snapshot(storage, job)
