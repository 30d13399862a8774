"""Apply the faults of a plan to processes, and start ended ones again."""

import asyncio
import contextlib
import dataclasses
import fcntl
import os
import shutil
import signal
import socket
from dataclasses import dataclass, field

from tests.soak.plans import PLANNED, Fault, Plan, Step
from tests.soak.records import STOP_S, Record
from tests.support.platform_processes import (
    RESTART_DELAY_S,
    PlatformProcesses,
    Vm,
    runs_dependencies,
)

POLL_INTERVAL_S = 0.01
ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGKILL})


@dataclass
class Watched:
    """Hold what the soak did to one VM and what the next start is like."""

    vm: Vm
    signals: set[int] = field(default_factory=set)
    # Time before which the process isn't started again; none if it never starts.
    due_at: float | None = 0.0
    # Whether the settings that now apply say that this is the first start.
    is_first_start: bool = False
    # How the settings are spoilt at the next start, or "".
    spoilt: str = ""
    stdout: int | None = None
    opened: list[int] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.vm.child is not None and self.vm.child.poll() is None


class Supervisor:
    """Start, end and disturb the processes of one deployment."""

    def __init__(self, platform: PlatformProcesses, record: Record):
        self.platform, self.record = platform, record
        self.watched = {vm.name: Watched(vm) for vm in platform.vms}
        self.keeper: asyncio.Task | None = None

    def prepare(self, plan: Plan) -> None:
        """Delay the first start of the processes that the plan names."""
        for step in plan.steps:
            if step.fault is Fault.LATE_START:
                due_at = self.record.now_s() + step.duration_s
                self.watched[step.names[0]].due_at = due_at
            elif step.fault is Fault.NO_START:
                self.watched[step.names[0]].due_at = None

    def send(self, item: Watched, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if item.is_running:
            item.signals.add(number)
            item.vm.child.send_signal(number)

    def _start(self, item: Watched) -> None:
        vm = item.vm
        item.signals.clear()
        item.is_first_start, vm.is_first_start = vm.is_first_start, False
        self._write_settings(item)
        if item.spoilt:
            self._spoil_settings(item)
        outputs = None if item.stdout is None else {"stdout": item.stdout}
        self.platform.start_program(vm, outputs=outputs)
        if item.stdout is not None:
            os.close(item.stdout)
            item.stdout = None

    def _build_settings(self, item: Watched) -> str:
        """Return the settings of the current start."""
        vm = dataclasses.replace(item.vm, is_first_start=item.is_first_start)
        return self.platform.build_settings(vm)

    def _write_settings(self, item: Watched) -> None:
        item.vm.settings_path.write_text(self._build_settings(item))

    def _spoil_settings(self, item: Watched) -> None:
        path = item.vm.settings_path
        if item.spoilt == "missing":
            path.unlink(missing_ok=True)
        else:
            text = self._build_settings(item)
            path.write_text(text[: len(text) // 2] if item.spoilt == "cut" else "")

    async def keep_running(self) -> None:
        """Start each process that isn't running and is due; judge how it ended."""
        while True:
            now = self.record.now_s()
            for item in self.watched.values():
                if item.is_running or item.due_at is None:
                    continue
                if item.vm.child is not None:
                    self._judge_end(item)
                    item.vm.child = None
                    item.due_at = max(item.due_at, now + RESTART_DELAY_S)
                elif now >= item.due_at:
                    self._start(item)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _judge_end(self, item: Watched) -> None:
        code = item.vm.child.returncode
        self.record.checks["ends"] += 1
        if not item.signals & ENDING_SIGNALS:
            names = sorted(signal.Signals(number).name for number in item.signals)
            text = f"{item.vm.name} with {code} after {names or 'no signal'}"
            self.record.add_violation("ended by itself", text)

    def all_run(self) -> bool:
        """Return whether all processes run that are ever started."""
        items = self.watched.values()
        return all(item.is_running for item in items if item.due_at is not None)

    async def apply(self, step: Step) -> None:
        """Apply a fault to its VMs and wait until they are all back."""
        begin = self.record.now_s()
        self.record.faults[step.fault] += len(step.names)
        items = [self.watched[name] for name in step.names]
        items = [item for item in items if item.due_at is not None]
        if step.fault not in PLANNED:
            # The span has no end until the processes are back.
            self.record.unplanned.append((begin, float("inf")))
            span_at = len(self.record.unplanned) - 1
        await asyncio.gather(*(self._apply_to(item, step) for item in items))
        while not all(item.is_running for item in items):
            await asyncio.sleep(POLL_INTERVAL_S)
        if step.fault not in PLANNED:
            self.record.unplanned[span_at] = (begin, self.record.now_s())

    async def _apply_to(self, item: Watched, step: Step) -> None:
        if step.fault is Fault.TERMINATE:
            await self._terminate(item)
        elif step.fault is Fault.RELOAD:
            await self._reload(item)
        elif step.fault is Fault.KILL:
            self.send(item, signal.SIGKILL)
        elif step.fault is Fault.FREEZE:
            self.send(item, signal.SIGSTOP)
            await asyncio.sleep(step.duration_s)
            self.send(item, signal.SIGCONT)
        elif step.fault is Fault.SETTINGS_REWRITTEN:
            await self._rewrite_settings(item, step)
        elif step.fault in (Fault.LATE_START, Fault.NO_START):
            await asyncio.sleep(step.duration_s)
        else:
            await self._restart(item, step)

    async def _terminate(self, item: Watched) -> None:
        child = item.vm.child
        self.send(item, signal.SIGTERM)
        end = self.record.now_s() + STOP_S
        while item.vm.child is child and item.is_running:
            if self.record.now_s() > end:
                self.send(item, signal.SIGKILL)
                self.record.checks["killed after SIGTERM"] += 1
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _reload(self, item: Watched) -> None:
        # Before the program's first line, nothing can keep the signal from ending
        # the interpreter.
        while item.is_running and not runs_dependencies(item.vm):
            await asyncio.sleep(0)
        self.send(item, signal.SIGHUP)

    async def _rewrite_settings(self, item: Watched, step: Step) -> None:
        item.spoilt = step.detail
        self._spoil_settings(item)
        await self._reload(item)
        await asyncio.sleep(step.duration_s)
        item.spoilt = ""
        self._write_settings(item)
        await self._reload(item)

    async def _restart(self, item: Watched, step: Step) -> None:
        """Kill the process and let it start again under the fault of the step."""
        child = item.vm.child
        item.due_at = float("inf")
        self.send(item, signal.SIGKILL)
        while item.vm.child is not None and item.vm.child is child:
            await asyncio.sleep(POLL_INTERVAL_S)
        with contextlib.ExitStack() as held:
            self._prepare_restart(item, step, held)
            item.due_at = self.record.now_s() + RESTART_DELAY_S
            await asyncio.sleep(RESTART_DELAY_S + step.duration_s)
        if step.fault is Fault.SETTINGS_SPOILT:
            item.spoilt = ""
            self._write_settings(item)

    def _prepare_restart(self, item: Watched, step: Step, held) -> None:
        folder = self.platform.folder / item.vm.name
        if step.fault is Fault.ADDRESS_HELD:
            _hold_address(item.vm.ip, int(step.detail), held)
        elif step.fault is Fault.FOLDER_HELD:
            folder.mkdir(exist_ok=True)
            handle = os.open(folder, os.O_RDONLY)
            held.callback(os.close, handle)
            with contextlib.suppress(BlockingIOError):
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        elif step.fault is Fault.SETTINGS_SPOILT:
            item.spoilt = step.detail
        elif step.fault is Fault.DISK_LOST:
            shutil.rmtree(folder, ignore_errors=True)
        elif step.fault in (Fault.OUTPUT_CLOSED, Fault.OUTPUT_UNREAD):
            reader, item.stdout = os.pipe()
            if step.fault is Fault.OUTPUT_CLOSED:
                os.close(reader)
            else:
                item.opened.append(reader)

    def close(self) -> None:
        """Kill all processes and close what they write to."""
        self.platform.stop_all()
        for item in self.watched.values():
            for handle in item.opened:
                os.close(handle)


def _hold_address(ip: str, port: int, held: contextlib.ExitStack) -> None:
    sock = held.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Another step may hold the address already.
    with contextlib.suppress(OSError):
        sock.bind((ip, port))
        sock.listen()
