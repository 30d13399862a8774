"""Tests of how the platform's programs start and end, as real processes."""

import asyncio
import signal
from http.client import HTTPConnection

import pytest

from bramleyrouter.platform.programs import EXIT_START_FAILED
from tests.support.platform_processes import CALLER_PORT
from tests.support.process_events import LIMIT_S, pick, read_names, wait_for_event


@pytest.mark.parametrize("role", ["control", "entry"])
class TestLog:
    """Guard against a start or an end that leaves no line."""

    def test_log_tells_each_step_of_a_start_and_the_end(self, deployment, role):
        vm = pick(deployment, role)
        deployment.start(vm)
        asyncio.run(wait_for_event(deployment, vm, "started"))
        vm.child.send_signal(signal.SIGTERM)
        assert vm.child.wait(LIMIT_S) == 0
        names = read_names(vm)
        wanted = ["starting", "settings_read", "built", "started", "stopped", "ended"]
        assert [name for name in names if name in wanted] == wanted
        events = {item["event"]: item for item in vm.read_events()}
        assert events["starting"]["pid"] == vm.child.pid
        assert events["started"]["seconds"] >= events["built"]["seconds"] > 0
        ended = events["ended"]
        assert (ended["code"], ended["reason"]) == (0, "stopped")
        assert ended["daemon"] == vm.name

    def test_failed_start_is_told_by_its_last_line(self, deployment, role):
        vm = pick(deployment, role)
        text = deployment.build_settings(vm)
        vm.settings_path.write_text(
            text.replace(f'ip = "{vm.ip}"', 'ip = "no address"')
        )
        deployment.start_program(vm)
        assert vm.child.wait(LIMIT_S) == EXIT_START_FAILED
        *events, ended = vm.read_events()
        failures = [item for item in events if item["event"] == "start_failed"]
        assert failures and all("no address" in item["reason"] for item in failures)
        assert (ended["event"], ended["reason"]) == ("ended", "start_failed")

    def test_failed_import_is_told_by_its_last_line(self, deployment, role, tmp_path):
        # Shadows a library, as a damaged installation does.
        (tmp_path / "result.py").write_text('raise OSError("damaged")\n')
        vm = pick(deployment, role)
        deployment.write_settings(vm)
        source = f"{tmp_path}:src"
        deployment.start_program(vm, {"PYTHONPATH": source})
        assert vm.child.wait(LIMIT_S) == 1
        ended = vm.read_events()[-1]
        assert (ended["event"], ended["reason"]) == ("ended", "exception")
        assert (ended["type"], ended["text"]) == ("OSError", "damaged")


class TestConnections:
    """Guard against connections that are closed after each reply without a need."""

    def test_ready_daemon_keeps_connections(self, deployment):
        vm = deployment.entries[0]
        deployment.start_all()

        async def wait_until_ready():
            assert await deployment.publish(LIMIT_S) is not None
            is_ready = lambda: deployment.is_ready(vm)
            assert await deployment.wait_until(is_ready, LIMIT_S)

        asyncio.run(wait_until_ready())
        conn = HTTPConnection(vm.ip, CALLER_PORT, timeout=LIMIT_S)
        for _ in range(2):
            conn.request("GET", "/")
            reply = conn.getresponse()
            reply.read()
            assert reply.getheader("Connection") != "close"
        conn.close()
