"""DRAIN: a replica that has left is used again after processes were killed."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from harness import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    build_config,
    build_route,
    build_service,
    run_case,
)

# The leaving replica serves for this long after its ack, then it exits.
SERVES_S = 14.0
KILLED_AFTER_S = 1.0
RESTART_S = 1.0
LEAVING = "i-s"


async def send_forever(case, entry):
    """Send ten requests a second to one entry daemon."""
    while True:
        case.tasks.append(asyncio.create_task(case.request(entry, "/fetch/1")))
        await asyncio.sleep(0.1)


async def play(case):
    """Let one of two replicas leave, then kill half of the processes."""
    case.start_processes()
    config = build_config(1, [build_route("fetch", "store")], [build_service("store")])
    if await case.order("PUT", "/v1/config", 0, config) is None:
        raise RuntimeError("the first desired state was not acknowledged")
    # Its first liveness report goes to the daemon of zone-b, which names the one of
    # its own zone for the later ones.
    leaving = await case.add_replica(LEAVING, "store", 40, "zone-a", 1, work_s=0.06)
    await case.add_replica("i-r", "store", 41, "zone-b", 1, work_s=0.06)
    await case.wait_until_served("/fetch/1", 5)
    for entry in case.entries:
        case.tasks.append(asyncio.create_task(send_forever(case, entry)))
    await asyncio.sleep(2 * BOUNDS["contactMs"] / 1000)

    acked_at = await leaving.leave()
    if acked_at is None:
        raise RuntimeError("the withdrawal was not acknowledged")
    await asyncio.sleep(KILLED_AFTER_S)
    if TROUBLE:
        killed = [case.controls[0], case.entries[0], case.entries[1]]
        for process in killed:
            process.signal(signal.SIGKILL)
        for process in killed:
            process.popen.wait()
        await asyncio.sleep(RESTART_S)
        for process in killed:
            process.start()
    # One second more than contactMs, for the start of the processes.
    calm_at = case.record.now() + 1.0 + BOUNDS["contactMs"] / 1000
    await asyncio.sleep(max(0.0, acked_at + SERVES_S - case.record.now()))
    await leaving.exit()
    await asyncio.sleep(1.0)
    # Counted are requests that clients sent when all machines were in touch again.
    due_at = max(calm_at, acked_at + BOUNDS["drainMs"] / 1000)
    late = [
        (at, rid)
        for at, name, rid in case.runs
        if name == LEAVING and at > due_at and case.sent_at[rid] > due_at
    ]
    others = sum(at > due_at and name == "i-r" for at, name, _ in case.runs)
    case.record.add("judged", due_at=round(due_at, 2), late=len(late), others=others)
    if not others:
        raise RuntimeError("no requests ran after the bound")
    return [
        f"{rid} ran at {LEAVING} {at - acked_at:.2f} s after its ack"
        for at, rid in late
    ]


run_case(FOLDER, play)
