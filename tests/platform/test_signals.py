"""Tests of signals to the platform's programs at any moment, as real processes."""

import asyncio
import signal
import time
from pathlib import Path

import pytest

from tests.support.import_gates import Gate, catches_signals, wait_until_caught
from tests.support.platform_processes import PlatformProcesses
from tests.support.process_events import LIMIT_S, pick, read_names, wait_for_event

SIGNAL_INTERVAL_S = 0.003


@pytest.fixture
def gate(tmp_path):
    return Gate(tmp_path)


@pytest.mark.parametrize("role", ["control", "entry"])
class TestEarlySignals:
    """Guard against a signal during the start that ends a process or is lost."""

    def test_signals_are_caught_before_the_imports(self, deployment, gate, role):
        vm = pick(deployment, role)
        deployment.start(vm, gate.environment)
        gate.wait()
        assert catches_signals(vm.child)
        assert "capnp" not in Path(f"/proc/{vm.child.pid}/maps").read_text()

    def test_early_sighup_leads_to_a_reload(self, deployment, gate, role):
        vm = pick(deployment, role)
        deployment.start(vm, gate.environment)
        gate.wait()
        for _ in range(3):
            vm.child.send_signal(signal.SIGHUP)
        gate.open()
        asyncio.run(wait_for_event(deployment, vm, "reloaded"))
        asyncio.run(wait_for_event(deployment, vm, "started"))
        received = [item for item in vm.read_events() if item["event"] == "signal"]
        assert [(item["name"], item["phase"]) for item in received] == [
            ("SIGHUP", "starting")
        ]
        vm.child.send_signal(signal.SIGTERM)
        assert vm.child.wait(LIMIT_S) == 0

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    def test_early_stop_ends_the_process_with_success(
        self,
        deployment,
        gate,
        role,
        number,
    ):
        vm = pick(deployment, role)
        deployment.start(vm, gate.environment)
        gate.wait()
        vm.child.send_signal(number)
        vm.child.send_signal(signal.SIGHUP)
        gate.open()
        assert vm.child.wait(LIMIT_S) == 0
        ended = vm.read_events()[-1]
        assert (ended["event"], ended["reason"]) == ("ended", "stopped")
        assert ended["signals"] == ["SIGHUP", number.name]
        assert "settings_read" not in read_names(vm)

    def test_many_sighups_do_not_end_a_start(self, deployment, role):
        vm = pick(deployment, role)
        deployment.start(vm)
        wait_until_caught(vm.child)
        end = time.monotonic() + LIMIT_S
        while "started" not in read_names(vm):
            assert vm.child.poll() is None and time.monotonic() < end
            vm.child.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
        asyncio.run(wait_for_event(deployment, vm, "reloaded"))
        vm.child.send_signal(signal.SIGTERM)
        assert vm.child.wait(LIMIT_S) == 0

    @pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.15, 0.3, 0.5])
    def test_signals_until_the_end_do_not_change_the_exit_code(
        self,
        deployment,
        role,
        delay_s,
    ):
        # Signals after the event loop has closed met the default action.
        vm = pick(deployment, role)
        deployment.start(vm)
        wait_until_caught(vm.child)
        time.sleep(delay_s)
        end = time.monotonic() + LIMIT_S
        while vm.child.poll() is None:
            assert time.monotonic() < end
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                vm.child.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        assert vm.child.returncode == 0
        assert vm.read_events()[-1]["event"] == "ended"


class TestDelayedStart:
    """Guard against a start that waits and can't be stopped."""

    def test_stop_while_the_data_folder_cannot_be_used(self, deployment):
        vm = deployment.controls[0]
        (deployment.folder / vm.name).write_text("not a folder")
        deployment.start(vm)
        asyncio.run(wait_for_event(deployment, vm, "start_delayed"))
        vm.child.send_signal(signal.SIGHUP)
        vm.child.send_signal(signal.SIGTERM)
        assert vm.child.wait(LIMIT_S) == 0
        names = read_names(vm)
        assert names[-2:] == ["stopped", "ended"] and "built" not in names


class TestDeployment:
    """Guard against a first start that never completes, as a signal ended a process."""

    def test_every_process_gets_sighup_while_it_starts(self, tmp_path):
        processes = PlatformProcesses(tmp_path, entries=2, controls=3)
        try:
            processes.start_all()
            for vm in processes.vms:
                wait_until_caught(vm.child)
            for _ in range(20):
                for vm in processes.vms:
                    vm.child.send_signal(signal.SIGHUP)
                time.sleep(SIGNAL_INTERVAL_S)
            assert asyncio.run(processes.publish(LIMIT_S)) is not None
            assert [vm.child.poll() for vm in processes.vms] == [None] * 5
            for vm in processes.vms:
                vm.child.send_signal(signal.SIGTERM)
            assert [vm.child.wait(LIMIT_S) for vm in processes.vms] == [0] * 5
        finally:
            processes.stop_all()
