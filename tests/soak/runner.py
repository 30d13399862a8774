"""Run the plan of one seed and return what was broken."""

import asyncio
import contextlib
import time
from pathlib import Path

from tests.soak.outside import Outside
from tests.soak.plans import CONTROLS, ENTRIES, Fault, Phase, Plan, Step, make_plan
from tests.soak.processes import POLL_INTERVAL_S, Supervisor
from tests.soak.records import CONTACT_S, RECOVERY_S, Record, judge_requests
from tests.support.platform_processes import DATA_CENTRES, PlatformProcesses

CALLERS = 6
SLOW_CALLERS = 12
OPERATORS = 2
LAG_CHECK_INTERVAL_S = 0.02
# Time after which a run is given up in which processes never all run.
BACK_LIMIT_S = 30.0


async def _measure_lag(record: Record) -> None:
    while True:
        before = time.monotonic()
        await asyncio.sleep(LAG_CHECK_INTERVAL_S)
        lag_s = time.monotonic() - before - LAG_CHECK_INTERVAL_S
        record.max_lag_s = max(record.max_lag_s, lag_s)


async def _wait_until(record: Record, condition, end: float) -> bool:
    while not await condition():
        if record.now_s() >= end:
            return False
        await asyncio.sleep(POLL_INTERVAL_S * 5)
    return True


async def _start_calmly(outside: Outside) -> None:
    """Wait until all serve and the start is over as a disturbance."""
    record, platform = outside.record, outside.platform
    end = record.now_s() + RECOVERY_S
    version = outside.next_version()
    if not await outside.publish(version, RECOVERY_S):
        record.add_violation("start", "no acknowledgement without any fault")
    for vm in platform.entries:
        serves = lambda vm=vm: outside.serves_version(vm, version)
        if not await _wait_until(record, serves, end):
            record.add_violation("start", f"{vm.name} doesn't serve without any fault")
    record.unplanned.append((0.0, record.now_s()))
    await asyncio.sleep(CONTACT_S)


async def _run_steps(supervisor: Supervisor, plan: Plan) -> None:
    begin = supervisor.record.now_s()
    running = []
    for step in plan.steps:
        await asyncio.sleep(max(0.0, begin + step.at_s - supervisor.record.now_s()))
        running.append(asyncio.create_task(supervisor.apply(step)))
    await asyncio.gather(*running)
    end = supervisor.record.now_s() + BACK_LIMIT_S
    while not supervisor.all_run() and supervisor.record.now_s() < end:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _check_recovery(outside: Outside) -> None:
    """Check that all is served again within the bound, counted from now on."""
    record, platform = outside.record, outside.platform
    begin = record.now_s()
    end = begin + RECOVERY_S
    version = outside.next_version()
    is_published = await outside.publish(version, RECOVERY_S)
    if not is_published:
        text = f"version {version} isn't acknowledged within {RECOVERY_S} s"
        record.add_violation("no acknowledgement", text)

    async def is_read_back():
        return await outside.read_back() >= max(record.acknowledged, default=1)

    if not await _wait_until(record, is_read_back, end):
        record.add_violation("lost", "what was acknowledged isn't read back in time")
    newest = max(record.acknowledged, default=0)
    for vm in platform.entries:
        serves = lambda vm=vm: outside.serves_version(vm, newest)
        if not await _wait_until(record, serves, end):
            record.add_violation("not served", f"{vm.name} within {RECOVERY_S} s")
        elif not await _wait_until(record, lambda vm=vm: platform.is_ready(vm), end):
            record.add_violation("not ready", f"{vm.name} within {RECOVERY_S} s")
    record.checks["recovery after, ms"] = round((record.now_s() - begin) * 1000)


async def _stop_in_calm(supervisor: Supervisor) -> None:
    """Stop two of the entry daemons at once, long after any unplanned fault."""
    await asyncio.sleep(CONTACT_S)
    await supervisor.apply(Step(0.0, Fault.TERMINATE, ENTRIES[:2]))


async def run_plan(plan: Plan, folder: Path) -> Record:
    """Run a plan; the settings, data folders and logs are kept in ``folder``."""
    record = Record()
    platform = PlatformProcesses(folder, len(ENTRIES), len(CONTROLS), plan.seed)
    outside = Outside(platform, record, plan.seed)
    supervisor = Supervisor(platform, record)
    supervisor.prepare(plan)
    loops = [_measure_lag(record), supervisor.keep_running(), outside.run_balancer()]
    for at, service in enumerate(("reads", "reads", "submissions", "submissions")):
        data_centre = DATA_CENTRES[at % len(DATA_CENTRES)]
        loops.append(outside.run_server(f"server-{at}", service, data_centre))
    operators = [outside.run_operator() for _ in range(OPERATORS)]
    loops += [outside.run_caller(f"caller-{at}") for at in range(CALLERS)]
    loops += [outside.run_caller(f"{at}", is_slow=True) for at in range(SLOW_CALLERS)]
    tasks = [asyncio.create_task(loop) for loop in loops]
    try:
        if plan.phase is not Phase.FIRST_START:
            await _start_calmly(outside)
        operator_tasks = [asyncio.create_task(loop) for loop in operators]
        tasks += operator_tasks
        await _run_steps(supervisor, plan)
        if plan.phase is Phase.FIRST_START:
            record.unplanned.append((0.0, record.now_s()))
        for task in operator_tasks:
            task.cancel()
        await _check_recovery(outside)
        if not record.violations:
            await _stop_in_calm(supervisor)
        # A loop ends only by an error of the soak itself.
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        supervisor.close()
    judge_requests(record)
    return record


def run_seed(seed: int, folder: Path) -> tuple[Plan, Record]:
    """Run the plan of a seed and write what was seen to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = make_plan(seed)
    (folder / "plan.txt").write_text(plan.describe() + "\n")
    record = asyncio.run(run_plan(plan, folder))
    text = "\n".join([*record.violations, "", f"{record.checks}", f"{record.statuses}"])
    (folder / "result.txt").write_text(text + "\n")
    return plan, record


def list_faults(plan: Plan) -> list[Fault]:
    """Return the kinds of faults in a plan."""
    return sorted({step.fault for step in plan.steps}, key=lambda fault: fault.value)
