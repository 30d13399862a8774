"""Tests of the data folder: recovery after crashes, detection of corruption."""

import random

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import Entry, EntryKind, HardState, Snapshot
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.storage import (
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    encode_snapshot,
    open_durable_storage,
    open_storage,
    write_jobs,
)
from tests.support.memory_disk import MemoryDisk

SEGMENT = "log-0000000001.seg"


def generate_id():
    return "a"


def entry(index, term=1, size=9):
    return Entry(term, index, 1000 + index, EntryKind.COMMAND, b"%d" % index * size)


def entries(first, last, term=1):
    return SaveEntries(tuple(entry(index, term) for index in range(first, last + 1)))


def snapshot_job(index, term=1, replaces_log=False):
    data = encode_snapshot(Snapshot(index, term, 1000, (), b"state"))
    return SaveSnapshot(data, index, replaces_log)


def open_disk(disk, segment_bytes=1 << 20):
    return open_storage(disk.open(), generate_id, segment_bytes)


def recover(disk):
    return open_disk(disk).unwrap()[1]


def make_disk(*jobs):
    disk = MemoryDisk()
    storage, _ = open_disk(disk).unwrap()
    write_jobs(storage, [SaveHardState(HardState(9)), *jobs])
    return disk


def make_segments():
    """Return a disk with two segments of two entries each."""
    disk = MemoryDisk()
    storage, _ = open_disk(disk, segment_bytes=1).unwrap()
    write_jobs(storage, [SaveHardState(HardState(9)), entries(1, 2)])
    write_jobs(storage, [entries(3, 4)])
    return disk


class TestTornTail:
    """Guards against refusing or misreading a log that a power cut truncated."""

    @pytest.mark.parametrize("filler", [b"", b"\0"], ids=["cut off", "zeros"])
    def test_every_byte_of_the_last_record(self, filler):
        before = make_disk(entries(1, 2)).read(SEGMENT)
        original = make_disk(entries(1, 3)).read(SEGMENT)
        for size in range(len(before), len(original)):
            disk = make_disk(entries(1, 3))
            torn = original[:size] + filler * (len(original) - size)
            disk.overwrite(SEGMENT, torn)
            storage, recovered = open_disk(disk).unwrap()
            assert recovered.entries == [entry(1), entry(2)]
            assert disk.read(SEGMENT) == before
            write_jobs(storage, [entries(3, 4)])
            assert len(recover(disk).entries) == 4

    def test_torn_first_write_leaves_an_empty_log(self):
        disk = make_disk(entries(1, 1))
        disk.overwrite(SEGMENT, b"BRL")
        storage, recovered = open_disk(disk).unwrap()
        assert recovered.entries == []
        write_jobs(storage, [entries(1, 1)])
        assert recover(disk).entries == [entry(1)]


class TestCorruption:
    """Guards against losing committed entries because a byte changed."""

    def test_a_flipped_bit_anywhere_is_refused(self):
        disk = make_disk(entries(1, 3))
        original = disk.read(SEGMENT)
        for offset in range(len(original)):
            for bit in (0, 7):
                data = bytearray(original)
                data[offset] ^= 1 << bit
                disk.overwrite(SEGMENT, data)
                failure = open_disk(disk).unwrap_err()
                assert failure.code is Code.LOG_CORRUPT, offset
                assert SEGMENT in failure.text and "offset" in failure.text

    def test_the_offset_is_that_of_the_record(self):
        first = len(make_disk(entries(1, 1)).read(SEGMENT))
        disk = make_disk(entries(1, 3))
        data = bytearray(disk.read(SEGMENT))
        data[first + 20] ^= 1
        disk.overwrite(SEGMENT, data)
        assert f"offset {first}:" in open_disk(disk).unwrap_err().text

    def test_an_earlier_segment_must_be_complete(self):
        disk = make_segments()
        disk.overwrite(SEGMENT, disk.read(SEGMENT)[:-1])
        assert open_disk(disk).unwrap_err().code is Code.LOG_CORRUPT

    @pytest.mark.parametrize("name", ["member", "term", SEGMENT])
    def test_a_missing_file_is_refused(self, name):
        disk = make_segments()
        del disk.files[name]
        assert open_disk(disk).unwrap_err().code is Code.LOG_CORRUPT

    @pytest.mark.parametrize("name", ["member", "term", "snapshot"])
    def test_whole_files_are_checked(self, name):
        code = Code.SNAPSHOT_CORRUPT if name == "snapshot" else Code.LOG_CORRUPT
        disk = make_disk(entries(1, 3), snapshot_job(2))
        original = disk.read(name)
        for offset in range(len(original)):
            data = bytearray(original)
            data[offset] ^= 4
            disk.overwrite(name, data)
            failure = open_disk(disk).unwrap_err()
            assert failure.code is code and f'"{name}"' in failure.text


class CrashError(Exception):
    """Simulate the crash of a process in the middle of its writes."""


def crash_after(fs, budget):
    """Wrap ``fs`` so that writing operations crash after the first ``budget``."""
    remaining = [budget]

    def guard(operation):
        def call(*args):
            if remaining[0] == 0:
                raise CrashError
            remaining[0] -= 1
            return operation(*args)

        return call

    names = ("append", "sync", "truncate", "replace", "remove", "sync_folder")
    return fs._replace(**{name: guard(getattr(fs, name)) for name in names})


class TestCrashes:
    """Guards against losing durable entries, whenever the process crashes."""

    STEPS = (
        [SaveHardState(HardState(1)), entries(1, 4)],
        [entries(5, 8)],
        [snapshot_job(6)],
        [SaveHardState(HardState(2)), entries(8, 9, term=2)],
        [snapshot_job(20, term=2, replaces_log=True)],
        [entries(21, 23, term=2)],
        [snapshot_job(23, term=2)],
        [entries(24, 24, term=2)],
        [entries(25, 26, term=2)],
        [entries(27, 28, term=2)],
        [entries(29, 30, term=2)],
        [snapshot_job(28, term=2)],
        [entries(31, 31, term=2)],
        [snapshot_job(40, term=2, replaces_log=True)],
    )
    # Index and term of the last entry before the first step and after each step.
    LAST = [(0, 0), (4, 1), (8, 1), (8, 1), (9, 2), (20, 2), (23, 2), (23, 2), (24, 2)]
    LAST += [(26, 2), (28, 2), (30, 2), (30, 2), (31, 2), (40, 2)]
    # Index of the snapshot before the first step and after each step.
    STARTS = [0, 0, 0, 6, 6, 20, 20, 23, 23, 23, 23, 23, 28, 28, 40]

    def run_until_crash(self, disk, budget):
        """Run the steps and return the number of completed ones."""
        completed = 0
        try:
            fs = crash_after(disk.open(), budget)
            storage, _ = open_storage(fs, generate_id, 64).unwrap()
            for jobs in self.STEPS:
                write_jobs(storage, jobs)
                completed += 1
        except CrashError:
            pass
        return completed

    @staticmethod
    def get_last_entry(recovered):
        if recovered.entries:
            return recovered.entries[-1].index, recovered.entries[-1].term
        if recovered.snapshot:
            return recovered.snapshot.index, recovered.snapshot.term
        return 0, 0

    @pytest.mark.parametrize("seed", [None, *range(6)])
    @pytest.mark.parametrize("torn_bytes", [0, 30, 10_000])
    def test_every_operation(self, torn_bytes, seed):
        """Also guards against a log that never starts again after a loss of power.

        With a seed, each unsynced change of a name is lost or kept by itself.
        """
        rng = random.Random(seed)
        keeps_name = lambda name: seed is not None and rng.random() < 0.5
        budget, completed = 0, 0
        while completed < len(self.STEPS):
            disk = MemoryDisk()
            completed = self.run_until_crash(disk, budget)
            disk.crash(torn_bytes, keeps_name)
            recovered = recover(disk)
            last, following = (self.LAST + self.LAST[-1:])[completed : completed + 2]
            assert last <= self.get_last_entry(recovered) <= following, budget
            start = recovered.snapshot.index if recovered.snapshot else 0
            indices = [item.index for item in recovered.entries if item.index > start]
            assert indices == list(range(start + 1, start + 1 + len(indices)))
            starts = self.STARTS + self.STARTS[-1:]
            assert start in starts[completed : completed + 2], budget
            assert recover(disk) == recovered
            budget += 1
        assert budget > 40

    def test_entries_replaced_after_their_predecessors_were_removed(self):
        disk = MemoryDisk()
        storage, _ = open_disk(disk, segment_bytes=1).unwrap()
        write_jobs(storage, [SaveHardState(HardState(9)), entries(1, 4)])
        write_jobs(storage, [entries(5, 5)])
        storage.segment_bytes = 1 << 20
        write_jobs(storage, [entries(4, 6, term=2), snapshot_job(4, term=2)])
        assert SEGMENT not in disk.files
        assert recover(disk).entries == [entry(index, 2) for index in (4, 5, 6)]


class TestFailedSync:
    """Guards against continuing after a failed sync."""

    def test_the_error_is_raised(self):
        disk = MemoryDisk()
        storage, _ = open_disk(disk).unwrap()
        disk.fail_syncs = True
        for job in (entries(1, 1), SaveHardState(HardState(1)), snapshot_job(1)):
            with pytest.raises(OSError, match="sync"):
                write_jobs(storage, [job])

    def test_attempts_to_open_the_folder_leave_nothing_behind(self):
        """Guards against a disk that fills up further while it is full."""
        disk = make_disk(entries(1, 4))
        open_durable_storage(disk.open(), generate_id).unwrap()
        names, size = sorted(disk.files), disk.total_bytes()
        fs = disk.open()

        def append(name, data):
            # The small files still fit.
            disk.is_full = name.endswith(".seg") and bool(data)
            fs.append(name, data)

        for _ in range(10):
            opened = open_durable_storage(fs._replace(append=append), generate_id)
            assert opened.unwrap_err().code is Code.DISK_FAILED
        assert sorted(disk.files) == names and disk.total_bytes() == size
        disk.is_full = False
        assert recover(disk).entries == list(entries(1, 4).entries)

    def test_a_start_is_refused(self):
        disk = MemoryDisk(fail_syncs=True)
        assert open_disk(disk).unwrap_err().code is Code.DISK_FAILED


class TestRealFolder:
    """Guards against differences between ``MemoryDisk`` and a real folder."""

    def test_entries_survive(self, tmp_path):
        for last in (3, 6):
            fs = open_folder(tmp_path / "data")
            with pytest.raises(OSError):  # Two processes would mix their entries.
                open_folder(tmp_path / "data")
            storage, recovered = open_storage(fs, generate_id, 64).unwrap()
            assert len(recovered.entries) == last - 3
            write_jobs(storage, [SaveHardState(HardState(last))])
            write_jobs(storage, [entries(last - 2, last)])
            write_jobs(storage, [snapshot_job(1)])
            fs.close()
        assert recovered.hard == HardState(3) and recovered.snapshot.index == 1
        assert recovered.entries == [entry(index) for index in (1, 2, 3)]
