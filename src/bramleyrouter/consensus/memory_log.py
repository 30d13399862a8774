"""Store the log entries that a member has in memory."""

from dataclasses import dataclass, field

from bramleyrouter.consensus.entries import Entry
from bramleyrouter.ids import LogIndex, Term


@dataclass
class MemoryLog:
    """Hold the entries after ``base_index``.

    ``base_term`` is the term of the entry at ``base_index``.
    """

    base_index: LogIndex = LogIndex(0)
    base_term: Term = Term(0)
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry, or of the base."""
        return LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry, or of the base."""
        return self.entries[-1].term if self.entries else self.base_term


def get_entry(log: MemoryLog, index: LogIndex) -> Entry:
    """Return the entry at ``index``, which must be in memory."""
    return log.entries[index - log.base_index - 1]


def get_term(log: MemoryLog, index: LogIndex) -> Term | None:
    """Return the term at ``index``, or none if it is not in memory."""
    if index == log.base_index:
        return log.base_term
    if log.base_index < index <= log.last_index:
        return get_entry(log, index).term
    return None


def get_entries_after(
    log: MemoryLog, index: LogIndex, max_count: int, max_bytes: int
) -> tuple[Entry, ...]:
    """Return the entries after ``index`` within both limits.

    The first entry is returned even if it alone is larger than ``max_bytes``.
    """
    start = index - log.base_index
    selected: list[Entry] = []
    size = 0
    for entry in log.entries[start : start + max_count]:
        size += len(entry.command)
        if selected and size > max_bytes:
            break
        selected.append(entry)
    return tuple(selected)


def find_first_index_of_term(log: MemoryLog, index: LogIndex) -> LogIndex:
    """Return the first index in memory that has the same term as ``index``."""
    term = get_term(log, index)
    while index - 1 > log.base_index and get_term(log, LogIndex(index - 1)) == term:
        index = LogIndex(index - 1)
    return index


def find_last_index_of_term(log: MemoryLog, term: Term) -> LogIndex | None:
    """Return the last index in memory whose entry has ``term``, or none."""
    for entry in reversed(log.entries):
        if entry.term == term:
            return entry.index
        if entry.term < term:
            return None
    return None


def truncate_from(log: MemoryLog, index: LogIndex) -> None:
    """Remove the entry at ``index`` and all after it."""
    del log.entries[index - log.base_index - 1 :]


def compact_until(log: MemoryLog, index: LogIndex) -> None:
    """Remove the entries up to ``index``, which becomes the base."""
    term = get_term(log, index)
    if term is None or index <= log.base_index:
        return
    del log.entries[: index - log.base_index]
    log.base_index, log.base_term = index, term


def reset_to_snapshot(log: MemoryLog, index: LogIndex, term: Term) -> None:
    """Make the snapshot's last entry the base.

    Entries after it are retained only if the log contains that entry.
    """
    if get_term(log, index) == term:
        compact_until(log, index)
        return
    log.entries.clear()
    log.base_index, log.base_term = index, term
