"""Make the plan of faults of a seed."""

import random
from enum import Enum
from typing import NamedTuple

from tests.support.platform_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    INTERNAL_PORT,
    METRICS_PORT,
    READY_PORT,
)

CONTROLS = ("core-0", "core-1", "core-2")
ENTRIES = ("front-0", "front-1", "front-2")
MAX_HELD_S = 3.0
MAX_FREEZE_S = 6.0


class Fault(Enum):
    """Say what happens to a process."""

    TERMINATE = "SIGTERM"
    RELOAD = "SIGHUP"
    KILL = "SIGKILL"
    FREEZE = "SIGSTOP, SIGCONT"
    ADDRESS_HELD = "address held at a restart"
    FOLDER_HELD = "data folder held at a restart"
    SETTINGS_SPOILT = "settings unusable at a restart"
    SETTINGS_REWRITTEN = "settings unusable while running"
    OUTPUT_CLOSED = "reader of the output gone"
    OUTPUT_UNREAD = "output not read"
    DISK_LOST = "data folder lost"
    LATE_START = "late first start"
    NO_START = "never started"


PLANNED = (Fault.TERMINATE, Fault.RELOAD)
# Faults that happen at most once in a plan: no more than one VM may be lost with its
# disk, and one that hasn't started holds no copy of what is acknowledged.
SINGLE = (Fault.DISK_LOST, Fault.LATE_START, Fault.NO_START)
# Faults that end no process.
HARMLESS_TO_FOLDERS = (Fault.RELOAD, Fault.FREEZE, Fault.SETTINGS_REWRITTEN)
CONTROL_ONLY = (Fault.FOLDER_HELD, Fault.DISK_LOST, Fault.NO_START)


class Phase(Enum):
    """Say when the steps of a plan happen."""

    FIRST_START = "from the first start on"
    RUNNING = "while running"
    PLANNED = "planned work only, while running"


class Step(NamedTuple):
    """Apply a fault to VMs ``at_s`` after the start of the plan."""

    at_s: float
    fault: Fault
    names: tuple[str, ...]
    duration_s: float = 0.0
    detail: str = ""


class Plan(NamedTuple):
    """Hold the steps of a seed, in order."""

    seed: int
    phase: Phase
    steps: tuple[Step, ...]

    def describe(self) -> str:
        """Return the plan as text, with one step a line."""
        lines = [f"seed {self.seed}: {self.phase.value}"]
        for step in self.steps:
            names, extra = " ".join(step.names), f"{step.duration_s:.2f} s"
            what = f"{step.fault.value} {names} {extra} {step.detail}"
            lines.append(f"  {step.at_s:6.2f} {what.strip()}")
        return "\n".join(lines)


def _choose_names(rng: random.Random, fault: Fault) -> tuple[str, ...]:
    if fault in SINGLE:
        return (rng.choice(CONTROLS),)
    if fault in CONTROL_ONLY:
        return tuple(rng.sample(CONTROLS, rng.choice((1, 1, 2, 3))))
    group = rng.choice((CONTROLS, ENTRIES, CONTROLS + ENTRIES))
    count = rng.choice((1, 1, 1, 2, len(group) // 2, len(group)))
    return tuple(rng.sample(group, max(1, count)))


def _choose_detail(rng: random.Random, fault: Fault, names) -> str:
    if fault is Fault.ADDRESS_HELD:
        ports = [INTERNAL_PORT, METRICS_PORT]
        ports += [CONTROL_PORT] if names[0] in CONTROLS else [CALLER_PORT, READY_PORT]
        return str(rng.choice(ports))
    if fault in (Fault.SETTINGS_SPOILT, Fault.SETTINGS_REWRITTEN):
        return rng.choice(("missing", "empty", "cut"))
    return ""


def _make_step(rng: random.Random, fault: Fault, at_s: float) -> Step:
    names = _choose_names(rng, fault)
    limit_s = MAX_FREEZE_S if fault is Fault.FREEZE else MAX_HELD_S
    duration_s = round(rng.uniform(0.1, limit_s), 2)
    has_duration = fault not in (Fault.TERMINATE, Fault.RELOAD, Fault.KILL)
    detail = _choose_detail(rng, fault, names)
    return Step(at_s, fault, names, duration_s if has_duration else 0.0, detail)


def _spare_controls(steps: list[Step]) -> list[Step]:
    """Leave out the ends of control daemons in a plan in which one never starts.

    One that ends before it has created its folder can't be told from one with a lost
    disk. With the one that never starts, two VMs would be lost, and one may be.
    """
    spared = []
    for step in steps:
        names = step.names
        if step.fault not in (Fault.NO_START, *HARMLESS_TO_FOLDERS):
            names = tuple(name for name in names if name not in CONTROLS)
        if names:
            spared.append(step._replace(names=names))
    return spared


def make_plan(seed: int) -> Plan:
    """Return the plan of a seed; the same seed gives the same plan."""
    rng = random.Random(seed)
    phase = rng.choice(list(Phase))
    faults = list(PLANNED)
    if phase is not Phase.PLANNED:
        first = [Fault.LATE_START, Fault.NO_START]
        faults = [fault for fault in Fault if fault not in first]
    span_s = rng.choice((2.0, 5.0, 10.0))
    steps = []
    if phase is Phase.FIRST_START and rng.random() < 0.4:
        single = rng.choice((Fault.LATE_START, Fault.NO_START))
        steps.append(_make_step(rng, single, 0.0))
        faults.remove(Fault.DISK_LOST)
    for _ in range(rng.randint(2, 9)):
        # Faults of the first start must be able to hit a process at any moment of it.
        at_s = round(rng.uniform(0.0, span_s), 2)
        step = _make_step(rng, rng.choice(faults), at_s)
        if step.fault in SINGLE:
            faults.remove(step.fault)
        steps.append(step)
    if any(step.fault is Fault.NO_START for step in steps):
        steps = _spare_controls(steps)
    return Plan(seed, phase, tuple(sorted(steps, key=lambda step: step.at_s)))
