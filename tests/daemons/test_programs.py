"""Tests of signals to ``bramley-entry``, ``bramley-control`` and ``bramley-local``."""

import json
import os
import random
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from bramleyrouter.conf.settings import Settings
from tests.support.import_gates import Gate, wait_until_caught
from tests.support.platform_processes import ROOT, find_network
from tests.support.process_events import LIMIT_S

PROGRAMS = ("entry", "control", "local")


class Program:
    """Run one of the product's programs on a loopback address of its own."""

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.log_path = folder / "log"

    def start(self, environment=None):
        command = [sys.executable, "-m", f"bramleyrouter.daemons.{self.name}"]
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "src"),
            "TMPDIR": str(self.folder),
            **(environment or {}),
        }
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(
                [*command, *self._build_arguments()],
                env=env,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _build_arguments(self):
        if self.name == "local":
            return ["--port", str(random.randint(20_000, 30_000))]
        ip = find_network(random.Random()) + ".10"
        cfg = Settings(
            daemon_id=f"{self.name}-1",
            data_centre="dc1",
            internal_address=f"{ip}:7380",
            http_address=f"{ip}:8800",
            cluster_key="a cluster key of the test",
            operator_token="a token of the test",
            control=(f"{ip}:7380",),
            data_folder=str(self.folder / "data") if self.name == "control" else "",
            members=(f"{ip}:7380",) if self.name == "control" else (),
            balancer_wait_s=0.1,
        )
        path = self.folder / "settings.json"
        path.write_bytes(msgspec.json.encode(cfg))
        return ["--settings", str(path)]

    def read_ended(self):
        lines = self.log_path.read_text().splitlines()
        return json.loads([line for line in lines if line.startswith("{")][-1])


@pytest.fixture
def program(tmp_path, request):
    """Return a program; kill its process at the end of the test."""
    running = Program(tmp_path, request.param)
    yield running
    if running.child.poll() is None:
        running.child.kill()
        running.child.wait()


@pytest.mark.parametrize("program", PROGRAMS, indirect=True)
class TestSignals:
    """Guard against a signal during the start or the end that ends a process."""

    def test_early_stop_ends_the_process_with_success(self, program, tmp_path):
        gate = Gate(tmp_path)
        program.start(gate.environment)
        gate.wait()
        program.child.send_signal(signal.SIGHUP)
        program.child.send_signal(signal.SIGTERM)
        gate.open()
        assert program.child.wait(LIMIT_S) == 0, program.log_path.read_text()
        assert program.read_ended()["signals"] == ["SIGHUP", "SIGTERM"]

    @pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 1.2])
    def test_repeated_stops_at_any_time(self, program, delay_s):
        program.start()
        wait_until_caught(program.child)
        time.sleep(delay_s)
        end = time.monotonic() + LIMIT_S
        while program.child.poll() is None:
            assert time.monotonic() < end
            program.child.send_signal(signal.SIGTERM)
            program.child.send_signal(signal.SIGHUP)
            time.sleep(0.003)
        log = program.log_path.read_text()
        assert program.child.returncode == 0, log
        assert program.read_ended()["reason"] == "stopped"
        assert "Traceback" not in log
