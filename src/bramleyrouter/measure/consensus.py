"""Measure the replicated log: ``python -m bramleyrouter.measure.consensus``.

Three members run in this process over TCP on loopback and sync to real files.
So the three share one processor core and one disk; on VMs of their own each
has its own.
"""

import argparse
import asyncio
import os
import random
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import msgspec
from absl import logging
from hdrh.histogram import HdrHistogram
from result import Ok

from bramleyrouter.board.sections import Identity
from bramleyrouter.consensus.files import open_folder
from bramleyrouter.consensus.interfaces import ReplicatedLog, StateMachine
from bramleyrouter.consensus.replicated_log import build_replicated_log, generate_id
from bramleyrouter.consensus.storage import open_storage
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre
from bramleyrouter.utils.ports import reserve_address
from bramleyrouter.wire.network import Network
from bramleyrouter.wire.tcp import build_tcp_network

COMMAND_BYTES = 200
PROPOSE_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
CLIENT_COUNTS = (1, 16, 64, 256)
ENTRY_COUNTS = (500, 2_000, 8_000)
RUN_S = 3.0
FAILOVERS = 5
MICROSECONDS = 1_000_000


class Running(NamedTuple):
    """Hold one member that runs in this process."""

    address: str
    network: Network
    log: ReplicatedLog


class Rate(msgspec.Struct):
    """Hold what a number of concurrent proposers saw."""

    clients: int
    per_s: float
    p50_ms: float
    p99_ms: float


class Recovery(msgspec.Struct):
    """Hold how a lone member with so many entries starts again."""

    entries: int
    disk_kib: float
    open_ms: float
    restart_ms: float


class Report(msgspec.Struct):
    """Hold all figures; times of failover in seconds, sorted."""

    sync_ms: float
    rates: list[Rate]
    reads: list[Rate]
    failover_s: list[float]
    recoveries: list[Recovery]


def _make_machine() -> StateMachine:
    """Keep the last 1,000 commands by number, as a ledger would."""
    held: dict[int, bytes] = {}

    def apply(index, stamp_ms, command):
        held[index % 1000] = command
        return b"done"

    def restore(state):
        held.clear()
        held.update(msgspec.msgpack.decode(state, type=dict[int, bytes]))

    return StateMachine(apply, lambda: msgspec.msgpack.encode(held), restore)


def _start(
    address: str, members: tuple[str, ...], folder: Path, key: bytes, seed: int
) -> Running:
    identity = Identity(
        DaemonId(address),
        DaemonIncarnation(1),
        DataCentre("dc1"),
        address,
        address,
    )
    network, listen = build_tcp_network(identity, key)
    listen()
    log = build_replicated_log(
        identity,
        members,
        network,
        random.Random(seed),
        _make_machine(),
        open_folder(folder),
    ).unwrap()
    return Running(address, network, log)


async def _leader(running: list[Running]) -> Running:
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        for item in running:
            if item.log.status().is_leader and item.log.is_current():
                return item
        await asyncio.sleep(0.002)
    raise RuntimeError(f"No member led within {START_TIMEOUT_S} s.")


async def _stop(item: Running) -> None:
    await item.log.close()
    await item.network.close()


async def _measure_rate(clients: int, work) -> Rate:
    histogram = HdrHistogram(1, 60 * MICROSECONDS, 3)
    start = time.monotonic()

    async def client() -> None:
        while time.monotonic() - start < RUN_S:
            before = time.monotonic()
            outcome = await work()
            assert isinstance(outcome, Ok), outcome
            histogram.record_value(int((time.monotonic() - before) * MICROSECONDS))

    await asyncio.gather(*(client() for _ in range(clients)))
    elapsed = time.monotonic() - start
    return Rate(
        clients,
        round(histogram.get_total_count() / elapsed),
        round(histogram.get_value_at_percentile(50) / 1000, 2),
        round(histogram.get_value_at_percentile(99) / 1000, 2),
    )


async def _measure_failovers(running: list[Running], start_again) -> list[float]:
    """Stop the leader and time how long until the others accept an entry."""
    times = []
    for _ in range(FAILOVERS):
        leader = await _leader(running)
        running.remove(leader)
        before = time.monotonic()
        await _stop(leader)
        successor = await _leader(running)
        outcome = await successor.log.propose(b"after", PROPOSE_TIMEOUT_S)
        assert isinstance(outcome, Ok), outcome
        times.append(round(time.monotonic() - before, 2))
        running.append(start_again(leader.address))
        await asyncio.sleep(1.0)
    return sorted(times)


async def _measure_cluster(folder: Path):
    key = os.urandom(32)
    addresses = tuple(reserve_address() for _ in range(3))

    def start_again(address: str) -> Running:
        seed = random.getrandbits(32)
        return _start(address, addresses, folder / address, key, seed)

    running = [start_again(address) for address in addresses]
    log = (await _leader(running)).log
    command = b"x" * COMMAND_BYTES
    rates = [
        await _measure_rate(clients, lambda: log.propose(command, PROPOSE_TIMEOUT_S))
        for clients in CLIENT_COUNTS
    ]
    reads = [
        await _measure_rate(clients, lambda: log.read_barrier(PROPOSE_TIMEOUT_S))
        for clients in CLIENT_COUNTS
    ]
    failovers = await _measure_failovers(running, start_again)
    for item in running:
        await _stop(item)
    return rates, reads, failovers


async def _fill(log: ReplicatedLog, count: int) -> None:
    command = b"x" * COMMAND_BYTES
    for _ in range(0, count, 50):
        batch = [log.propose(command, PROPOSE_TIMEOUT_S) for _ in range(50)]
        outcomes = await asyncio.gather(*batch)
        assert all(isinstance(item, Ok) for item in outcomes)


async def _measure_recovery(folder: Path, entries: int) -> Recovery:
    address, key = reserve_address(), os.urandom(32)
    running = _start(address, (address,), folder, key, 1)
    await _leader([running])
    await _fill(running.log, entries)
    await _stop(running)
    disk = sum(path.stat().st_size for path in folder.iterdir())
    before = time.monotonic()
    fs = open_folder(folder)
    open_storage(fs, generate_id).unwrap()
    opened = time.monotonic() - before
    fs.close()
    before = time.monotonic()
    running = _start(address, (address,), folder, key, 1)
    await _leader([running])
    restarted = time.monotonic() - before
    await _stop(running)
    return Recovery(
        entries,
        round(disk / 1024, 1),
        round(opened * 1000, 1),
        round(restarted * 1000, 1),
    )


def _measure_sync(folder: Path) -> float:
    """Return the median milliseconds of one small append and sync."""
    fs = open_folder(folder)
    times = []
    for _ in range(200):
        before = time.monotonic()
        fs.append("probe", b"x" * COMMAND_BYTES)
        fs.sync("probe")
        times.append(time.monotonic() - before)
    fs.close()
    return round(sorted(times)[len(times) // 2] * 1000, 2)


async def measure(folder: Path) -> Report:
    """Run all measurements below ``folder``."""
    sync_ms = _measure_sync(folder / "sync")
    rates, reads, failovers = await _measure_cluster(folder)
    recoveries = [
        await _measure_recovery(folder / f"recovery-{entries}", entries)
        for entries in ENTRY_COUNTS
    ]
    return Report(sync_ms, rates, reads, failovers, recoveries)


def main() -> None:
    """Print the report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", help="where to write; a new temporary folder")
    folder = parser.parse_args().folder
    logging.set_verbosity(logging.WARNING)
    with tempfile.TemporaryDirectory(dir=folder) as temporary:
        report = asyncio.run(measure(Path(temporary)))
    print(msgspec.json.format(msgspec.json.encode(report), indent=1).decode())


if __name__ == "__main__":
    main()
