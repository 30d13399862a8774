"""Simulate a data folder in memory that loses unsynced data in a crash."""

import asyncio
import errno
from dataclasses import dataclass, field

from bramleyrouter.consensus.files import FileSystem


@dataclass
class MemoryDisk:
    """Hold the written and the durable content of the files.

    Files have numbers, like inodes. ``files`` maps the current names to them, and
    ``durable_names`` the names that survive a crash.
    ``fail_syncs`` makes every later sync raise, ``is_full`` makes appends raise after
    half of their data, ``sync_s`` is the virtual time in seconds that a job takes, and
    ``syncs`` counts the syncs of files. After a failed sync of a file, later ones
    report success without making its content durable, as on Linux.
    """

    files: dict[str, int] = field(default_factory=dict)
    durable_names: dict[str, int] = field(default_factory=dict)
    written: dict[int, bytearray] = field(default_factory=dict)
    durable: dict[int, bytes] = field(default_factory=dict)
    fail_syncs: bool = False
    is_full: bool = False
    # Files of which a sync failed.
    unsyncable: set[int] = field(default_factory=set)
    sync_s: float = 0.0
    syncs: int = 0
    last_file_number: int = 0
    # Raised by a crash, so that the process from before it can't write any more.
    epoch: int = 0

    def crash(self, torn_bytes=0, keeps_name=lambda name: False):
        """Lose unsynced data, except ``torn_bytes`` of the data appended to a file.

        ``keeps_name`` returns whether an unsynced change of a name survives; each of
        them may survive or be lost by itself.
        """
        self.epoch += 1
        names = sorted(set(self.files) | set(self.durable_names))
        kept = {
            name: self.files.get(name)
            if keeps_name(name)
            else self.durable_names.get(name)
            for name in names
        }
        self.files = {name: number for name, number in kept.items() if number}
        self.durable_names = dict(self.files)
        self.unsyncable.clear()
        for number in self.files.values():
            written, retained = self.written[number], self.durable.get(number, b"")
            if written.startswith(retained):
                retained += bytes(written[len(retained) : len(retained) + torn_bytes])
            self.written[number] = bytearray(retained)
            self.durable[number] = retained

    def read(self, name):
        """Return a file's bytes as written."""
        return bytes(self.written[self.files[name]])

    def overwrite(self, name, data):
        """Replace a file's written and durable bytes, to simulate corruption."""
        number = self.files[name]
        self.written[number] = bytearray(data)
        self.durable[number] = bytes(data)

    def total_bytes(self):
        """Return the size of all files."""
        return sum(len(self.written[number]) for number in self.files.values())

    def open(self) -> FileSystem:
        """Return the file system of one process on this disk."""
        epoch = self.epoch

        def check():
            if self.epoch != epoch:
                raise OSError("the process that wrote this has ended")

        def get_file_number(name):
            check()
            if name not in self.files:
                self.last_file_number += 1
                self.files[name] = self.last_file_number
                self.written[self.last_file_number] = bytearray()
            return self.files[name]

        def append(name, data):
            written = self.written[get_file_number(name)]
            written.extend(data[: len(data) // 2] if self.is_full else data)
            if self.is_full and data:
                raise OSError(errno.ENOSPC, "the disk is full")

        def sync(name):
            check()
            number = get_file_number(name)
            if self.fail_syncs:
                self.unsyncable.add(number)
                raise OSError("sync failed")
            self.syncs += 1
            if number not in self.unsyncable:
                self.durable[number] = bytes(self.written[number])

        def truncate(name, size):
            del self.written[get_file_number(name)][size:]

        def replace(source, target):
            check()
            self.files[target] = self.files.pop(source)

        def remove(name):
            check()
            del self.files[name]

        def sync_folder():
            check()
            if self.fail_syncs:
                raise OSError("sync of the folder failed")
            self.durable_names = dict(self.files)

        async def run(job):
            if self.sync_s:
                await asyncio.sleep(self.sync_s)
            return job()

        return FileSystem(
            list_names=lambda: sorted(self.files),
            read=self.read,
            read_part=lambda name, start, size: self.read(name)[start : start + size],
            append=append,
            sync=sync,
            truncate=truncate,
            replace=replace,
            remove=remove,
            sync_folder=sync_folder,
            run=run,
            close=lambda: None,
        )
