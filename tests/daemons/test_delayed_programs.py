"""Tests of how bramley-entry and bramley-control start, as processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from bramleyrouter.consensus.files import open_folder
from bramleyrouter.daemons.arguments import EXIT_INVALID_SETTINGS
from bramleyrouter.utils.ports import reserve_address

ROOT = Path(__file__).resolve().parents[2]
# Limit of each wait, in seconds, on a machine that other tests keep busy.
LIMIT_S = 30.0


class Program:
    """Run one daemon with its settings in ``folder``."""

    def __init__(self, folder, role):
        self.role, self.folder = role, folder
        self.internal, self.http = reserve_address(), reserve_address()
        self.log_path = folder / "output.log"
        self.settings_path = folder / "settings.json"
        self.data_folder = folder / "data"
        cfg = {
            "daemon_id": f"{role}-1",
            "data_centre": "dc1",
            "internal_address": self.internal,
            "http_address": self.http,
            "cluster_key": "k" * 32,
            "operator_token": "t" * 32,
            "control": [self.internal],
            "balancer_wait_s": 0.0,
        }
        if role == "control":
            cfg |= {"data_folder": str(self.data_folder), "members": [self.internal]}
        self.settings_path.write_text(json.dumps(cfg))

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT / "src")}
        module = f"bramleyrouter.daemons.{self.role}"
        with open(self.log_path, "ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, "-m", module, "--settings", str(self.settings_path)],
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def wait_for(self, condition):
        end = time.monotonic() + LIMIT_S
        while not condition():
            assert self.child.poll() is None, self.log_path.read_text()
            assert time.monotonic() < end, self.log_path.read_text()
            time.sleep(0.05)

    def has_line(self, *parts):
        lines = self.log_path.read_text().splitlines()
        return any(all(part in line for part in parts) for line in lines)

    def is_listening(self):
        host, port = self.http.split(":")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except OSError:
            return False
        return True

    def stop(self):
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(LIMIT_S)


def hold(address):
    """Occupy an address, as another process would."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen()
    return sock


@pytest.fixture(params=["entry", "control"])
def program(tmp_path, request):
    made = Program(tmp_path, request.param)
    yield made
    if made.child.poll() is None:
        made.child.kill()
        made.child.wait()


class TestDelayedStart:
    """Guard against a daemon that ends as an address or its folder is still in use."""

    @pytest.mark.parametrize("name", ["internal", "http"])
    def test_daemon_starts_once_the_address_is_free(self, program, name):
        holder = hold(getattr(program, name))
        program.start()
        address = getattr(program, name)
        program.wait_for(lambda: program.has_line("start_delayed", address))
        holder.close()
        program.wait_for(lambda: program.has_line("start_resumed"))
        program.wait_for(program.is_listening)
        assert program.stop() == 0

    @pytest.mark.parametrize("program", ["control"], indirect=True)
    def test_daemon_starts_once_the_data_folder_is_free(self, program):
        holder = open_folder(program.data_folder)
        program.start()
        program.wait_for(lambda: program.has_line("start_delayed", "[603]"))
        holder.close()
        program.wait_for(program.is_listening)
        assert program.stop() == 0

    @pytest.mark.parametrize("name", ["internal", "http"])
    def test_stop_during_the_wait(self, program, name):
        with hold(getattr(program, name)):
            program.start()
            program.wait_for(lambda: program.has_line("start_delayed"))
            assert program.stop() == 0

    @pytest.mark.parametrize("content", [None, "{", "{}"])
    def test_settings_in_error_end_it_at_once(self, program, content):
        # An operator or a service manager starts it and must see the findings.
        if content is None:
            program.settings_path.unlink()
        else:
            program.settings_path.write_text(content)
        program.start()
        assert program.child.wait(LIMIT_S) == EXIT_INVALID_SETTINGS
