"""Tests of daemons that are started, signalled and started again as real processes."""

import asyncio
import contextlib
import shutil
import signal
import socket

import pytest

from tests.support.platform_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    INTERNAL_PORT,
    METRICS_PORT,
    READY_PORT,
    PlatformProcesses,
    Vm,
    fetch_status,
    runs_dependencies,
)

START_LIMIT_S = 20.0
# Bound within which a process must serve after the last fault.
RECOVERY_LIMIT_S = 12.0
ADDRESS_HELD_S = 3.0
SIGNAL_INTERVAL_S = 0.05
SIGNALS_PER_START = 8


@pytest.fixture
def make_platform(tmp_path):
    """Return a function that prepares deployments; they are ended after the test."""
    made = []

    def make(name: str, entries: int = 2) -> PlatformProcesses:
        folder = tmp_path / name
        folder.mkdir()
        made.append(PlatformProcesses(folder, entries))
        return made[-1]

    yield make
    for platform in made:
        platform.stop_all()


async def all_are_ready(platform: PlatformProcesses) -> bool:
    """Return whether all entry daemons are ready."""
    answers = [platform.is_ready(vm) for vm in platform.entries]
    return all(await asyncio.gather(*answers))


async def is_serving(platform: PlatformProcesses, vm: Vm) -> bool:
    """Return whether a daemon serves at each of its addresses."""
    urls = [f"http://{vm.ip}:{METRICS_PORT}/metrics"]
    if vm.role == "control":
        urls.append(f"http://{vm.ip}:{CONTROL_PORT}/v1/config")
    else:
        urls.append(f"http://{vm.ip}:{READY_PORT}/v1/ready")
    statuses = await asyncio.gather(*(fetch_status(url) for url in urls))
    if any(status != 200 for status in statuses):
        return False
    if vm.role == "control":
        return True
    # No route is configured, so any reply shows that callers are served.
    return await fetch_status(f"http://{vm.ip}:{CALLER_PORT}/") != 0


def find_ends(vms: list[Vm]) -> dict[str, int]:
    """Return the exit statuses of the processes that have ended."""
    codes = {vm.name: vm.child.poll() for vm in vms if vm.child is not None}
    return {name: code for name, code in codes.items() if code is not None}


async def start_and_publish(platform: PlatformProcesses, absent=()) -> None:
    """Start a deployment and wait until it has a route table and is ready."""
    platform.start_all(but=absent)
    assert await platform.publish(START_LIMIT_S) is not None, "no acknowledgement"
    is_ready = lambda: all_are_ready(platform)
    assert await platform.wait_until(is_ready, RECOVERY_LIMIT_S), "not ready"


class TestFirstStart:
    """Guard against a deployment that one absent control daemon keeps from starting."""

    def test_a_control_daemon_that_never_starts(self, make_platform):
        async def start_all():
            starts = []
            for at in range(3):
                platform = make_platform(f"without-{at}")
                starts.append(start_and_publish(platform, (platform.controls[at],)))
            return await asyncio.gather(*starts, return_exceptions=True)

        assert asyncio.run(start_all()) == [None, None, None]


class TestSignalsDuringStart:
    """Guard against a process that a reload signal ends while it starts."""

    @pytest.mark.parametrize("role", ["control", "entry"])
    def test_reload_signals_from_the_first_import_on(self, make_platform, role):
        platform = make_platform(role)
        vm = (platform.controls if role == "control" else platform.entries)[0]

        async def signal_while_starting():
            platform.start_all(but=(vm,))
            platform.start(vm)
            while not runs_dependencies(vm) and vm.child.poll() is None:
                await asyncio.sleep(0)
            for _ in range(SIGNALS_PER_START):
                if vm.child.poll() is None:
                    vm.child.send_signal(signal.SIGHUP)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            assert find_ends(platform.vms) == {}
            assert await platform.publish(START_LIMIT_S) is not None
            serving = lambda: is_serving(platform, vm)
            assert await platform.wait_until(serving, RECOVERY_LIMIT_S)

        asyncio.run(signal_while_starting())


@contextlib.contextmanager
def hold_address(vm: Vm, port: int):
    """Listen at one of a daemon's addresses."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((vm.ip, port))
        sock.listen()
        yield


async def restart_without_address(
    platform: PlatformProcesses, ports: dict[str, int]
) -> None:
    """Start daemons again while an address of each is held for some seconds."""
    vms = [vm for vm in platform.vms if vm.name in ports]
    await start_and_publish(platform)
    for vm in vms:
        vm.child.kill()
        vm.child.wait()
    with contextlib.ExitStack() as held:
        for vm in vms:
            held.enter_context(hold_address(vm, ports[vm.name]))
            platform.start(vm)
        await asyncio.sleep(ADDRESS_HELD_S)
    assert find_ends(vms) == {}
    for vm in vms:
        serving = lambda vm=vm: is_serving(platform, vm)
        assert await platform.wait_until(serving, RECOVERY_LIMIT_S), vm.name
    assert find_ends(platform.vms) == {}


class TestAddressInUse:
    """Guard against a process that ends because one of its addresses is in use."""

    def test_entry_daemons_wait_for_their_addresses(self, make_platform):
        ports = (CALLER_PORT, READY_PORT, METRICS_PORT, INTERNAL_PORT)
        held = {f"front-{at}": port for at, port in enumerate(ports)}
        platform = make_platform("entries", entries=len(ports))
        asyncio.run(restart_without_address(platform, held))

    def test_control_daemons_wait_for_their_addresses(self, make_platform):
        ports = (CONTROL_PORT, METRICS_PORT, INTERNAL_PORT)
        held = {f"core-{at}": port for at, port in enumerate(ports)}
        asyncio.run(restart_without_address(make_platform("controls"), held))


def cut_in_a_line(text: str) -> str:
    """Return a settings file whose last line is incomplete."""
    return text[: text.index("[zones]") + 3]


def cut_before_addresses(text: str) -> str:
    """Return a settings file that is valid TOML but lacks the listen addresses."""
    return text[: text.index("[listen]")]


async def wait_for_delays(vms: list[Vm]) -> None:
    """Wait until each process has met its settings: it waits for others, or has ended.

    A fixed time could pass before a process on a busy machine reads them.
    """
    async with asyncio.timeout(START_LIMIT_S):
        for vm in vms:
            while vm.child.poll() is None and not any(
                event.get("event") == "start_delayed" for event in vm.read_events()
            ):
                await asyncio.sleep(0.05)


class TestSettingsBeingWritten:
    """Guard against a process that ends because its settings aren't complete yet."""

    @pytest.mark.parametrize("role", ["control", "entry"])
    def test_start_waits_for_complete_settings(self, make_platform, role):
        platform = make_platform(role, entries=4)
        changes = [cut_in_a_line, cut_before_addresses, lambda _: "", None]
        vms = platform.controls if role == "control" else platform.entries

        async def start_with_unusable_settings():
            platform.start_all(but=tuple(vms))
            # The control daemons are three, so only they leave one change out.
            for vm, change in zip(vms, changes[-len(vms) :], strict=True):
                if change is not None:
                    vm.settings_path.write_text(change(platform.build_settings(vm)))
                platform.start_program(vm)
            await wait_for_delays(vms)
            assert find_ends(platform.vms) == {}
            for vm in vms:
                platform.write_settings(vm)
            assert await platform.publish(START_LIMIT_S) is not None
            for vm in vms:
                serving = lambda vm=vm: is_serving(platform, vm)
                assert await platform.wait_until(serving, RECOVERY_LIMIT_S), vm.name
            assert find_ends(platform.vms) == {}

        asyncio.run(start_with_unusable_settings())


class TestLossesDuringFirstStart:
    """Guard against a first start that a lost disk and an early end stop for good."""

    def test_a_disk_is_lost_before_a_killed_member_is_back(self, make_platform):
        platform = make_platform("losses")
        lost, kept, killed = platform.controls

        async def lose_both():
            platform.start_all()
            # It ends before it has created its data folder.
            killed.child.kill()
            killed.child.wait()
            assert not (platform.folder / killed.name).exists()
            assert await platform.publish(START_LIMIT_S) is not None
            lost.child.kill()
            lost.child.wait()
            shutil.rmtree(platform.folder / lost.name)
            platform.start(lost)
            platform.start(killed)
            version_2 = platform.publish(RECOVERY_LIMIT_S, version=2)
            assert await version_2 is not None, "no acknowledgement"

        asyncio.run(lose_both())
