"""Steps that run the real programs as processes on loopback."""

import asyncio
import signal
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from tornado.httpclient import HTTPRequest

from bramleyrouter.measure import deployments
from bramleyrouter.measure.loads import run_load
from bramleyrouter.measure.processes import Processes

# Two entry daemons in each data centre: a planned stop hands servers over to
# another daemon of their own data centre.
SIZE = deployments.Size("proof", 2, 3, 25, 0.002, 0.001)
# Time that a balancer has to see that a daemon is not ready, in seconds; half
# of the deployment's ``balancer_wait_s``.
BALANCER_POLL_S = 0.25
READY_TIMEOUT_S = 20.0


@given("three control daemons, six entry daemons and stand-ins as processes")
def start_processes(context):
    folder = tempfile.mkdtemp(prefix="bramley-proof-")
    context.process_folder = Path(folder)
    context.real_loop = asyncio.new_event_loop()
    context.add_cleanup(context.real_loop.close)
    context.real = context.real_loop.run_until_complete
    started = deployments.start_deployment(
        SIZE, context.process_folder, entries=6, baselines=0
    )
    context.deployment = context.real(started)
    context.add_cleanup(lambda: context.real(context.deployment.processes.stop_all()))


def start_again(processes: Processes, name, module):
    """Start a daemon with the settings file of its last run."""
    path = processes.folder / f"{name}.json"
    processes.start(name, module, msgspec.json.decode(path.read_bytes()), "--settings")


async def is_ready(deployment, address):
    """Return whether the platform's balancer would send callers there."""
    status, _ = await deployments.get(deployment, f"http://{address}/readyz")
    return status == 200


async def wait_ready(deployment, address, want=True):
    """Wait for a daemon to be ready, or not to be."""
    loop = asyncio.get_running_loop()
    until = loop.time() + READY_TIMEOUT_S
    while await is_ready(deployment, address) is not want:
        assert loop.time() < until, f"{address}: ready is not {want}."
        await asyncio.sleep(0.05)


@then("a wrong operators' token is refused everywhere")
def check_token(context):
    async def check():
        deployment = context.deployment
        for address in (*deployment.entries, *deployment.controls):
            for path in ("/v1/config/manifest", "/v1/config/availability"):
                for token in ("Bearer wrong-operator-token", "Bearer ", ""):
                    request = HTTPRequest(
                        f"http://{address}{path}",
                        method="POST",
                        body=b"{}",
                        headers={"Authorization": token},
                    )
                    status, _ = await deployments.fetch(deployment.client, request)
                    assert status == 401, (address, path, token, status)

    context.real(check())


@when("callers send queries while all entry daemons are restarted by SIGTERM")
def restart_entries(context):
    deployment = context.deployment
    addresses = list(deployment.entries)
    # Callers reach the daemons that the balancer takes for ready.
    in_service = list(addresses)

    async def restart():
        for number, address in enumerate(addresses):
            name = f"entry-{number + 1}"
            child = deployment.processes.children[name]
            child.send_signal(signal.SIGTERM)
            await asyncio.sleep(BALANCER_POLL_S)
            in_service.remove(address)
            while child.poll() is None:
                await asyncio.sleep(0.05)
            assert child.returncode == 0, child.returncode
            start_again(deployment.processes, name, "bramleyrouter.daemons.entry")
            await wait_ready(deployment, address)
            in_service.append(address)

    async def both():
        restarting = asyncio.ensure_future(restart())
        results = []
        while not restarting.done():
            results.append(
                await run_load(deployment, in_service, 40.0, 0.5, len(results))
            )
        await restarting
        return results

    context.results = context.real(both())


@then("no query was cut off or answered wrongly")
def check_queries(context):
    status = [one for result in context.results for one in result.status]
    wrong = [one for result in context.results for one in result.violations]
    assert len(status) >= 50 and set(status) == {200}, (len(status), set(status))
    assert not wrong, wrong
    coverage = [one for result in context.results for one in result.coverage]
    assert min(coverage) == 1.0, sorted(coverage)[:5]


async def read_revision(deployment, address):
    """Return the revision that a daemon shows to operators."""
    status, body = await deployments.get(deployment, f"http://{address}/v1/config")
    assert status == 200, (address, status, body)
    return msgspec.json.decode(body)["revision"]


@when("a configuration is accepted and a control daemon is killed with SIGKILL")
def kill_control(context):
    async def act():
        deployment = context.deployment
        assert await deployments.set_out(deployment, "dc2", True) == 200
        context.revision = await read_revision(deployment, deployment.controls[0])
        deployment.processes.signal("control-1", signal.SIGKILL)
        deployment.processes.children["control-1"].wait()
        start_again(deployment.processes, "control-1", "bramleyrouter.daemons.control")
        await wait_ready(deployment, deployment.controls[0])

    context.real(act())


@then("the accepted configuration is still in force after its restart")
def check_revision(context):
    async def check():
        deployment = context.deployment
        await asyncio.sleep(4.0)
        for address in (*deployment.controls, *deployment.entries):
            revision = await read_revision(deployment, address)
            assert revision >= context.revision >= 2, (address, revision)

    context.real(check())
