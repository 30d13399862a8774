"""Hold up the imports of a program, to signal it at a known point of its start."""

import signal
import time
from pathlib import Path

from tests.support.platform_processes import ROOT
from tests.support.process_events import LIMIT_S

# Takes the place of a library and holds up the import until a file exists.
GATE = """
import importlib, os, sys, time
folder = os.path.dirname(__file__)
open(os.path.join(folder, "reached"), "w").close()
while not os.path.exists(os.path.join(folder, "open")):
    time.sleep(0.005)
sys.path.remove(folder)
importlib.invalidate_caches()
del sys.modules["result"]
sys.modules["result"] = importlib.import_module("result")
"""


class Gate:
    """Hold up the imports of a program until ``open`` is called."""

    def __init__(self, folder: Path):
        self.folder = folder / "gate"
        self.folder.mkdir()
        (self.folder / "result.py").write_text(GATE)
        self.environment = {"PYTHONPATH": f"{self.folder}:{ROOT / 'src'}"}

    def open(self):
        """Let the imports continue."""
        (self.folder / "open").touch()

    def wait(self):
        """Wait until the program has reached the gate."""
        end = time.monotonic() + LIMIT_S
        while not (self.folder / "reached").exists():
            assert time.monotonic() < end
            time.sleep(0.005)


def catches_signals(child) -> bool:
    """Return whether a process has handlers for SIGHUP and SIGTERM."""
    status = Path(f"/proc/{child.pid}/status").read_text()
    caught = int(status.split("SigCgt:")[1].split()[0], 16)
    return all(caught >> (n - 1) & 1 for n in (signal.SIGHUP, signal.SIGTERM))


def wait_until_caught(child):
    end = time.monotonic() + LIMIT_S
    while not catches_signals(child):
        assert child.poll() is None and time.monotonic() < end
