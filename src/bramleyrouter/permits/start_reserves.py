"""Let one run of an issuer issue the start reserve, and no run soon after it.

Load pattern: all control daemons start together, after a power loss for example, and
callers return at once. Without the reserve, every customer with a quota would be
refused until the permits of the runs before have left the window.

The reserve consists of the parts for members that were removed while isolated. So it is
used only while no member was removed as far as this one knows. A member that restarts
without knowing of a removal counts as a tolerated loss, like the removed one.

A file in the data folder stands for the reserve and names the members. A run that
starts removes it and may then issue the reserve; the file is written again once the run
has lasted long enough. So of two runs within one window only the first has the reserve,
and none has it on a disk that was lost. No clock has to survive a restart.
"""

import asyncio
from collections.abc import Callable

import msgspec

from bramleyrouter.consensus.files import FileSystem
from bramleyrouter.permits.issuing import Issuer, compute_wait
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.decoding import DECODE_ERRORS

RESERVE_FILE = "permits.reserve"
# Interval of the check whether the run has lasted long enough, in seconds.
CHECK_INTERVAL_S = 0.5


def _claim(fs: FileSystem) -> frozenset[str] | None:
    """Remove the file and return its members, or none if there is no file."""
    if RESERVE_FILE not in fs.list_names():
        return None
    data = fs.read(RESERVE_FILE)
    fs.remove(RESERVE_FILE)
    # If the removal were lost with the power, the next run would have the reserve too.
    fs.sync_folder()
    return decode_members(data)


def decode_members(data: bytes) -> frozenset[str] | None:
    """Decode the members, or return none if the process ended while it wrote them."""
    try:
        return msgspec.json.decode(data, type=frozenset[str])
    except DECODE_ERRORS:
        return None


def _store(fs: FileSystem, members: frozenset[str]) -> None:
    fs.append(RESERVE_FILE, msgspec.json.encode(sorted(members)))
    fs.sync(RESERVE_FILE)
    fs.sync_folder()


async def maintain_start_reserve(
    fs: FileSystem,
    issuer: Issuer,
    list_members: Callable[[], frozenset[str]],
    clock: Callable[[], float],
    record: RecordEvent,
) -> None:
    """Claim the start reserve for this run, and store the one for the next run.

    A disk that fails costs the reserve only, and so does the removal of a member.
    """
    try:
        known = await fs.run(lambda: _claim(fs))
        issuer.reserve_members = known or frozenset()
        record("permits", "start_reserve", members=len(issuer.reserve_members))
        while compute_wait(issuer, clock()) != 0.0:
            await asyncio.sleep(CHECK_INTERVAL_S)
        members = list_members()
        if issuer.reserve_members <= members:
            await fs.run(lambda: _store(fs, members))
    except OSError as exc:
        record("permits", "start_reserve_failed", reason=str(exc))
