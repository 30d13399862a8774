"""Run the platform's programs as processes on loopback, one address a VM."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

ROOT = Path(__file__).resolve().parents[2]
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
INTERNAL_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7380, 8106, 8104, 8108
METRICS_PORT = 9464
# Delay after which the platform starts a process again that has ended, in seconds.
RESTART_DELAY_S = 0.5
EMPTY_TABLE = {
    "routes": [],
    "services": [],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def find_network(rng: random.Random) -> str:
    """Return the first three numbers of loopback addresses that are not in use."""
    for _ in range(50):
        network = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((f"{network}.10", INTERNAL_PORT))
            return network
    raise RuntimeError("No free loopback addresses were found.")


@dataclass
class Vm:
    """Hold one VM: its role, its address and its process."""

    name: str
    role: str
    ip: str
    data_centre: str
    folder: Path
    is_first_start: bool = True
    child: subprocess.Popen | None = None
    ends: list[int] = field(default_factory=list)

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.toml"

    @property
    def log_path(self) -> Path:
        """Return the path of the process's output."""
        return self.folder / f"{self.name}.log"

    def read_events(self) -> list[dict]:
        """Return the events that the process has written, without other lines."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        events = []
        for line in lines:
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return [item for item in events if isinstance(item, dict)]


class PlatformProcesses:
    """Start, signal and end the processes of a small deployment."""

    def __init__(
        self, folder: Path, entries: int = 2, controls: int = 3, seed: int = 0
    ):
        self.folder, self.rng = folder, random.Random(seed)
        self.network = find_network(random.Random())
        self.controls = [
            self._make_vm(f"core-{at}", "control", 10 + at, at)
            for at in range(controls)
        ]
        self.entries = [
            self._make_vm(f"front-{at}", "entry", 40 + at, at) for at in range(entries)
        ]
        self.memory_mb = 300
        # Further fields of the section "limits", by name.
        self.extra_limits: dict[str, int] = {}
        self.keeper: asyncio.Task | None = None
        # All processes that were started, also those that a successor has replaced.
        self.children: list[subprocess.Popen] = []

    def _make_vm(self, name: str, role: str, last: int, at: int) -> Vm:
        data_centre = DATA_CENTRES[at % len(DATA_CENTRES)]
        return Vm(name, role, f"{self.network}.{last}", data_centre, self.folder)

    @property
    def vms(self) -> list[Vm]:
        """Return all VMs."""
        return [*self.controls, *self.entries]

    def build_settings(self, vm: Vm) -> str:
        """Return the text of a VM's settings file."""
        seeds = [f"{item.ip}:{CONTROL_PORT}" for item in self.controls[:3]]
        is_control = vm.role == "control"
        lines = [
            f'node = "{vm.name}"',
            f'ip = "{vm.ip}"',
            f'zone = "{vm.data_centre}"',
            f"internalPorts = [{INTERNAL_PORT},{INTERNAL_PORT + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(vm.is_first_start)}",
            "heartbeatMs = 1200",
        ]
        if is_control:
            lines.append(f'dataDir = "{self.folder / vm.name}"')
        lines += ["[zones]", *(f'{name} = "region-1"' for name in DATA_CENTRES)]
        lines.append("[listen]")
        if is_control:
            lines.append(f'control = "{vm.ip}:{CONTROL_PORT}"')
        else:
            lines.append(f'front = "{vm.ip}:{CALLER_PORT}"')
            lines.append(f'ready = "{vm.ip}:{READY_PORT}"')
        lines += ["[limits]", "cpuShare = 0.5", "cores = 2"]
        lines.append(f"memoryMb = {self.memory_mb}")
        lines += [f"{name} = {value}" for name, value in self.extra_limits.items()]
        lines += ["[faultTolerance]", "machines = 1"]
        return "\n".join(lines) + "\n"

    def write_settings(self, vm: Vm) -> None:
        """Write a VM's settings file."""
        vm.settings_path.write_text(self.build_settings(vm))

    def start(self, vm: Vm, environment: dict[str, str] | None = None) -> None:
        """Start a VM's process with the settings that now apply."""
        self.write_settings(vm)
        vm.is_first_start = False
        self.start_program(vm, environment)

    def start_program(
        self,
        vm: Vm,
        environment: dict[str, str] | None = None,
        outputs: dict[str, int] | None = None,
    ) -> None:
        """Start a VM's process with the settings file as it is.

        ``outputs`` gives descriptors for "stdout" and "stderr" in place of the log.
        """
        env = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "src"),
            "BRAMLEYROUTER_CONFIG": str(vm.settings_path),
            **(environment or {}),
        }
        with open(vm.log_path, "ab") as output:
            child = subprocess.Popen(
                [sys.executable, "-m", f"bramleyrouter.platform.{vm.role}"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                **{"stdout": output, "stderr": output, **(outputs or {})},
            )
        self.children.append(child)
        vm.child = child

    def start_all(self, but: tuple[Vm, ...] = ()) -> None:
        """Start all processes except those of ``but``."""
        for vm in self.vms:
            if vm not in but:
                self.start(vm)

    def keep_running(self) -> None:
        """Start each process that ends again, as the platform does."""
        self.keeper = asyncio.get_running_loop().create_task(self._keep_running())

    async def _keep_running(self) -> None:
        due: dict[str, float] = {}
        while True:
            for vm in self.vms:
                code = vm.child.poll() if vm.child is not None else None
                if code is None:
                    continue
                if vm.name not in due:
                    vm.ends.append(code)
                    due[vm.name] = time.monotonic() + RESTART_DELAY_S
                elif time.monotonic() >= due[vm.name]:
                    del due[vm.name]
                    self.start(vm)
            await asyncio.sleep(0.02)

    async def publish(self, limit_s: float, version: int = 1) -> float | None:
        """Send a route table until it is acknowledged.

        Return the seconds that this took, or none if it was not acknowledged.
        """
        started = time.monotonic()
        body = json.dumps({"version": version, **EMPTY_TABLE})
        at = 0
        while time.monotonic() < started + limit_s:
            address = f"{self.controls[at % len(self.controls)].ip}:{CONTROL_PORT}"
            status = await fetch_status(f"http://{address}/v1/config", "PUT", body)
            if status == 200:
                return time.monotonic() - started
            at += 1
            await asyncio.sleep(0.1)
        return None

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether the balancer would send callers to an entry daemon."""
        url = f"http://{vm.ip}:{READY_PORT}/v1/ready"
        return await fetch_status(url) == 200

    async def wait_until(self, condition, limit_s: float) -> bool:
        """Wait until ``await condition()`` is true; return whether it became so."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    def stop_all(self) -> None:
        """Kill every process that this deployment started."""
        if self.keeper is not None:
            self.keeper.cancel()
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()


def runs_dependencies(vm: Vm) -> bool:
    """Return whether the process has loaded a native library of a dependency.

    By then the program runs; before, only the interpreter's own start does.
    """
    with contextlib.suppress(OSError), open(f"/proc/{vm.child.pid}/maps") as file:
        return "/site-packages/" in file.read()
    return False


async def fetch_status(url: str, method: str = "GET", body: str | None = None) -> int:
    """Return the status of a reply, or 0 if there is none within a second."""
    req = HTTPRequest(url, method=method, body=body, request_timeout=1.0)
    try:
        return (await AsyncHTTPClient().fetch(req, raise_error=False)).code
    except Exception:
        # The client reports a refused connection by many types of exception.
        return 0
