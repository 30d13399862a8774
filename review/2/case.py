"""EVAC: a control daemon that was frozen applies an order that was superseded."""

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

# The freeze of a machine lasts 5 s, the default of the kind `node_freeze`.
FREEZE_S = 5.0
TRAFFIC_S = 28.0


async def send_forever(case, entry):
    """Send ten requests a second to one entry daemon."""
    while True:
        case.tasks.append(asyncio.create_task(case.request(entry, "/fetch/1")))
        await asyncio.sleep(0.1)


async def play(case):
    """Evacuate zone-b, take it back, evacuate it again; freeze a daemon meanwhile."""
    case.start_processes()
    config = build_config(1, [build_route("fetch", "store")], [build_service("store")])
    if await case.order("PUT", "/v1/config", 0, config) is None:
        raise RuntimeError("the first desired state was not acknowledged")
    await case.add_replica("i-a", "store", 40, "zone-a", 0)
    await case.add_replica("i-b", "store", 41, "zone-b", 1)
    await case.add_replica("i-c", "store", 42, "zone-c", 2)
    await case.wait_until_served("/fetch/1", 5)
    for entry in case.entries:
        case.tasks.append(asyncio.create_task(send_forever(case, entry)))
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)

    await case.order("POST", "/v1/evacuate/zone-b", 0)
    await asyncio.sleep(2.0)
    frozen = case.controls[2]
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    frozen_at = case.record.now()
    # The operator picks the frozen daemon, and after a second another one.
    await case.order("DELETE", "/v1/evacuate/zone-b", 2)
    await asyncio.sleep(1.0)
    acked_at = await case.order("POST", "/v1/evacuate/zone-b", 0)
    if acked_at is None:
        raise RuntimeError("the second evacuation was not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - case.record.now()))
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    thawed_at = case.record.now()
    await asyncio.sleep(TRAFFIC_S)
    # All machines are in touch again contactMs after the freeze has ended, and
    # maxSkewMs is the most by which the unstable core may stretch evacuateMs.
    due_at = max(
        acked_at + (BOUNDS["evacuateMs"] + BOUNDS["maxSkewMs"]) / 1000,
        thawed_at + BOUNDS["contactMs"] / 1000,
    )
    late = [item for item in case.runs if item[1] == "i-b" and item[0] > due_at]
    others = sum(item[0] > due_at for item in case.runs) - len(late)
    case.record.add("judged", due_at=round(due_at, 2), late=len(late), others=others)
    if not late and not others:
        raise RuntimeError("no requests ran after the bound")
    return [f"{rid} ran at {name} at {at:.2f} s" for at, name, rid in late]


run_case(FOLDER, play)
