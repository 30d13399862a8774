"""Tests of starts of the platform's programs that something delays, as processes."""

import asyncio
import contextlib
import signal
import socket

import pytest

from bramleyrouter.platform.programs import EXIT_INVALID_SETTINGS, EXIT_START_FAILED
from tests.support.platform_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    INTERNAL_PORT,
    METRICS_PORT,
    READY_PORT,
    PlatformProcesses,
    fetch_status,
)

# Limit of each wait, in seconds, on a machine that other tests keep busy.
LIMIT_S = 30.0


@contextlib.contextmanager
def run_system(folder, **counts):
    """Provide the processes of a deployment and kill them at the end."""
    system = PlatformProcesses(folder, **counts)
    try:
        yield system
    finally:
        system.stop_all()


def hold(vm, port):
    """Occupy one port of a VM, as another process would."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((vm.ip, port))
    sock.listen()
    return sock


def has_event(vm, name, **fields):
    """Return a condition: the process has written the event with these fields."""

    async def is_written():
        return any(
            event.get("event") == name and fields.items() <= event.items()
            for event in vm.read_events()
        )

    return is_written


async def wait_for_exit(system, vm):
    """Return the exit code of a VM's process."""

    async def has_ended():
        return vm.child.poll() is not None

    assert await system.wait_until(has_ended, LIMIT_S)
    return vm.child.returncode


async def wait_for(system, vm, name, **fields):
    """Wait until a process that still runs has written the event."""
    is_written = has_event(vm, name, **fields)

    async def is_written_or_ended():
        return vm.child.poll() is not None or await is_written()

    assert await system.wait_until(is_written_or_ended, LIMIT_S), name
    assert vm.child.poll() is None, vm.log_path.read_text()


async def is_scraped(vm):
    """Return whether the metrics are served."""
    return await fetch_status(f"http://{vm.ip}:{METRICS_PORT}/metrics") == 200


class TestAddressInUse:
    """Guard against a process that ends because another one still holds an address."""

    @pytest.mark.parametrize(
        "port, step",
        [
            (CALLER_PORT, "caller listener"),
            (INTERNAL_PORT, "internal listener"),
            (READY_PORT, "ready listener"),
        ],
    )
    def test_entry_daemon_is_ready_once_it_is_free(self, tmp_path, port, step):
        async def scenario(system):
            entry = system.entries[0]
            system.start_all((entry,))
            assert await system.publish(LIMIT_S) is not None
            holder = hold(entry, port)
            system.start(entry)
            await wait_for(system, entry, "start_delayed", step=step)
            await wait_for(system, entry, "table")
            assert not await system.is_ready(entry)
            holder.close()
            assert await system.wait_until(lambda: system.is_ready(entry), LIMIT_S)
            await wait_for(system, entry, "start_resumed", step=step)
            await wait_for(system, entry, "started")

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))

    @pytest.mark.parametrize(
        "port, step",
        [(CONTROL_PORT, "control listener"), (INTERNAL_PORT, "build")],
    )
    def test_control_daemon_serves_once_it_is_free(self, tmp_path, port, step):
        async def scenario(system):
            control = system.controls[0]
            holder = hold(control, port)
            system.start(control)
            await wait_for(system, control, "start_delayed", step=step)
            holder.close()
            assert await system.publish(LIMIT_S) is not None
            await wait_for(system, control, "started")

        with run_system(tmp_path, entries=0, controls=1) as system:
            asyncio.run(scenario(system))

    def test_control_daemon_without_internal_address_takes_no_part(self, tmp_path):
        # It could vote and lead, but no other daemon could reach it as the leader.
        async def scenario(system):
            first, second, _ = system.controls
            system.start_all()
            assert await system.publish(LIMIT_S) is not None
            first.child.kill()
            first.child.wait()
            first.log_path.unlink()
            holder = hold(first, INTERNAL_PORT)
            system.start(first)
            await wait_for(system, first, "start_delayed", step="build")
            second.child.kill()
            # Long enough for the election that needs the vote of the first one.
            await asyncio.sleep(3.0)
            assert not await has_event(first, "leader")()
            holder.close()
            assert await system.publish(LIMIT_S, version=2) is not None
            await wait_for(system, first, "leader")

        with run_system(tmp_path, entries=0, controls=3) as system:
            asyncio.run(scenario(system))

    def test_metrics_delay_no_start(self, tmp_path):
        async def scenario(system):
            holders = [hold(vm, METRICS_PORT) for vm in system.vms]
            system.start_all()
            assert await system.publish(LIMIT_S) is not None
            for vm, holder in zip(system.vms, holders, strict=True):
                await wait_for(system, vm, "started")
                await wait_for(system, vm, "start_delayed", step="metrics listener")
                holder.close()
                assert await system.wait_until(lambda vm=vm: is_scraped(vm), LIMIT_S)
            entry = system.entries[0]
            assert await system.wait_until(lambda: system.is_ready(entry), LIMIT_S)

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))

    @pytest.mark.parametrize("role", ["entry", "control"])
    def test_stop_during_the_wait(self, tmp_path, role):
        async def scenario(system):
            vm = system.entries[0] if role == "entry" else system.controls[0]
            with hold(vm, INTERNAL_PORT):
                system.start(vm)
                await wait_for(system, vm, "start_delayed")
                vm.child.send_signal(signal.SIGTERM)
                assert await wait_for_exit(system, vm) == 0
            assert await has_event(vm, "stopped")()

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))


class TestPredecessorStillRuns:
    """Guard against a process that ends as its predecessor takes seconds to stop."""

    @pytest.mark.parametrize("role", ["entry", "control"])
    def test_successor_takes_over(self, tmp_path, role):
        async def scenario(system):
            vm = system.entries[0] if role == "entry" else system.controls[0]
            system.start_all()
            assert await system.publish(LIMIT_S) is not None
            await wait_for(system, vm, "started")
            old = vm.child
            system.start(vm)
            await wait_for(system, vm, "start_delayed")
            old.send_signal(signal.SIGTERM)
            await asyncio.to_thread(old.wait, LIMIT_S)
            await wait_for(system, vm, "start_resumed")
            assert await system.publish(LIMIT_S, version=2) is not None
            entry = system.entries[0]
            assert await system.wait_until(lambda: system.is_ready(entry), LIMIT_S)
            assert vm.child.poll() is None

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))


class TestSettingsAtTheStart:
    """Guard against a process that ends as its settings are just being written."""

    @pytest.mark.parametrize("role", ["entry", "control"])
    def test_start_waits_for_the_whole_file(self, tmp_path, role):
        async def scenario(system):
            vm = system.entries[0] if role == "entry" else system.controls[0]
            text = system.build_settings(vm)
            system.start_program(vm)
            await wait_for(system, vm, "start_delayed", step="settings")
            # Ends in a value and between two fields, once as a file that can be parsed.
            for end in ('["', "seeds =", "heartbeatMs"):
                events = len(vm.read_events())
                vm.settings_path.write_text(text.partition(end)[0])

                async def is_reported(events=events):
                    return len(vm.read_events()) > events

                assert await system.wait_until(is_reported, LIMIT_S), end
                assert vm.child.poll() is None
            assert not await has_event(vm, "started")()
            vm.settings_path.write_text(text)
            await wait_for(system, vm, "start_resumed", step="settings")
            await wait_for(system, vm, "started")

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))

    def test_stop_during_the_wait(self, tmp_path):
        async def scenario(system):
            vm = system.entries[0]
            system.start_program(vm)
            await wait_for(system, vm, "start_delayed", step="settings")
            vm.child.send_signal(signal.SIGTERM)
            assert await wait_for_exit(system, vm) == 0

        with run_system(tmp_path, entries=1, controls=0) as system:
            asyncio.run(scenario(system))

    def test_unset_path_ends_the_process(self, tmp_path):
        with run_system(tmp_path, entries=1, controls=0) as system:
            vm = system.entries[0]
            system.start_program(vm, {"BRAMLEYROUTER_CONFIG": ""})
            assert vm.child.wait(LIMIT_S) == EXIT_INVALID_SETTINGS
            assert "BRAMLEYROUTER_CONFIG" in vm.log_path.read_text()


class TestLastingFailure:
    """Guard against a process that tries again, or says nothing, if it can't start."""

    async def check_end(self, system, vm, step, reason):
        assert await wait_for_exit(system, vm) == EXIT_START_FAILED
        events = [event for event in vm.read_events() if event["part"] == "daemon"]
        (failed,) = (event for event in events if event["event"] == "start_failed")
        assert failed["step"] == step and reason in failed["reason"]
        assert not any(event["event"] == "start_delayed" for event in events)
        assert (events[-1]["event"], events[-1]["reason"]) == ("ended", "start_failed")

    def test_damaged_log(self, tmp_path):
        async def scenario(system):
            vm = system.controls[0]
            system.start(vm)
            assert await system.publish(LIMIT_S) is not None
            vm.child.kill()
            vm.child.wait()
            vm.log_path.unlink()
            for path in (system.folder / vm.name).iterdir():
                path.write_bytes(b"\x00damaged" * 100)
            system.start(vm)
            await self.check_end(system, vm, "build", "[602]")

        with run_system(tmp_path, entries=0, controls=1) as system:
            asyncio.run(scenario(system))

    @pytest.mark.parametrize(
        "role, step", [("entry", "caller listener"), ("control", "control listener")]
    )
    def test_address_that_can_not_be_parsed(self, tmp_path, role, step):
        async def scenario(system):
            vm = system.entries[0] if role == "entry" else system.controls[0]
            text = system.build_settings(vm)
            port = CALLER_PORT if role == "entry" else CONTROL_PORT
            name = "front" if role == "entry" else "control"
            address = f'{name} = "{vm.ip}:{port}"'
            assert address in text
            vm.settings_path.write_text(text.replace(address, f'{name} = "nowhere"'))
            system.start_program(vm)
            await self.check_end(system, vm, step, "nowhere")

        with run_system(tmp_path, entries=1, controls=1) as system:
            asyncio.run(scenario(system))
