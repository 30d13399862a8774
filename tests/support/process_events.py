"""Read and await the events of the platform's processes."""

from tests.support.platform_processes import PlatformProcesses, Vm

# Upper limit of each wait for a process on a busy machine, in seconds.
LIMIT_S = 30.0


def read_names(vm: Vm) -> list[str]:
    """Return the names of the events that the daemon wrote of itself."""
    return [item["event"] for item in vm.read_events() if item["part"] == "daemon"]


async def wait_for_event(processes: PlatformProcesses, vm: Vm, name: str) -> None:
    """Wait until a daemon has written an event of itself."""

    async def is_written():
        return vm.log_path.exists() and name in read_names(vm)

    assert await processes.wait_until(is_written, LIMIT_S), vm.log_path.read_text()


def pick(processes: PlatformProcesses, role: str) -> Vm:
    """Return the first VM of a role."""
    return processes.controls[0] if role == "control" else processes.entries[0]
