"""Processes of one measurement: started, found ready, and stopped by their id."""

import asyncio
import os
import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

STOP_TIMEOUT_S = 20.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class Processes:
    """Hold the child processes by name; ``folder`` takes settings and logs."""

    folder: Path
    children: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, module: str, config: Any, *options: str) -> None:
        """Start ``python -m module`` with ``config`` written to a JSON file."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(config))
        log = open(self.folder / f"{name}.log", "ab")
        command = [sys.executable, "-m", module, *options, str(path)]
        self.children[name] = subprocess.Popen(command, stderr=log, stdout=log)
        log.close()

    def is_alive(self, name: str) -> bool:
        """Return whether the process still runs."""
        return self.children[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one child."""
        self.children[name].send_signal(number)

    async def stop(self, name: str) -> int:
        """Ask a child to stop; return its exit code, or kill it after a while."""
        child = self.children.pop(name)
        child.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        until = loop.time() + STOP_TIMEOUT_S
        while child.poll() is None and loop.time() < until:
            await asyncio.sleep(0.05)
        if child.poll() is None:
            child.kill()
        return child.wait()

    async def stop_all(self) -> None:
        """Stop all children at once."""
        await asyncio.gather(*(self.stop(name) for name in list(self.children)))

    def processor_time(self, name: str) -> float:
        """Return the processor time of a child so far, in seconds."""
        stat = Path(f"/proc/{self.children[name].pid}/stat").read_text()
        parts = stat.rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / _TICKS_PER_S

    def resident_bytes(self, name: str) -> int:
        """Return the resident memory of a child in bytes."""
        statm = Path(f"/proc/{self.children[name].pid}/statm").read_text()
        return int(statm.split()[1]) * resource.getpagesize()
