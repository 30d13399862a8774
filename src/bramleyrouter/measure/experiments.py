"""The experiments: each runs the system and the baseline in one cluster."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bramleyrouter.histories.requests import LoadSample, check_limits
from bramleyrouter.measure.deployments import (
    Deployment,
    Size,
    figures,
    order,
    set_out,
    wait_usable,
)
from bramleyrouter.measure.loads import LoadResult, run_load
from bramleyrouter.measure.standin_host import Order, ServerFigures

Figures = dict[str, Any]
Experiment = Callable[[Deployment, float, float], Awaitable[Figures]]

STRAGGLER_SHARE = 0.01
SETTLE_S = 3.0
OUT_BOUND_S = 3.0
# Time to let the cold-start ramps of all servers end before a measurement.
WARM_UP_S = 6.0

# Load that warms all stand-ins up before some of them restart cold.
COLD_WARM_UP_S = 20.0
# The servers take long against what this machine's processors spend on a
# request, so that the figures show the decisions.
TERRE_SURE = Size("terre-sure", 50, 2, 25, 0.030, 0.010)
PORCHLIGHT = Size("porchlight", 50, 3, 30, 0.030, 0.010)
# Few services and slow servers, so that slots and not this machine's
# processors are what an overload exhausts.
OVERLOAD = Size("overload", 5, 2, 25, 0.040, 0.0)
COLD = Size("cold", 5, 3, 30, 0.020, 0.005, warm_after=200)


async def reset(deployment: Deployment) -> None:
    """Forget the counts of the stand-ins and end all stragglers."""
    await order(deployment, Order("stragglers", share=0.0))
    await order(deployment, Order("reset"))


def load_figures(
    load: LoadResult, servers: list[ServerFigures], watches_limits: bool = True
) -> Figures:
    """Join what callers saw to what the stand-ins counted."""
    found: Figures = load.figures()
    # What was cancelled had been started, and was load as well.
    served = sum(server.served + server.cancelled for server in servers)
    wanted = found["answered"] * load.shards
    found["extra_load"] = served / wanted - 1 if wanted else 0.0
    found["refused_by_servers"] = sum(server.refused for server in servers)
    found["peak_over_slots"] = max(
        server.peak_in_flight / server.slots for server in servers
    )
    if watches_limits:
        samples = [
            LoadSample(
                server.server_id,
                server.peak_in_flight,
                server.slots,
                server.peak_connections,
                server.connection_limit,
            )
            for server in servers
        ]
        found["limit_violation"] = check_limits(samples) or ""
    if load.violations:
        found["first_violation"] = load.violations[0]
    return found


async def _both(deployment: Deployment, rate, duration_s, prepare=None) -> Figures:
    """Run the same load against the system and then the baseline."""
    found: Figures = {}
    for name, addresses in (
        ("bramleyrouter", deployment.entries),
        ("baseline", deployment.baselines),
    ):
        await reset(deployment)
        if prepare is not None:
            await prepare()
        load = await run_load(deployment, addresses, rate, duration_s, seed=7)
        servers = await figures(deployment)
        found[name] = load_figures(load, servers, name == "bramleyrouter")
    await reset(deployment)
    return found


async def measure_steady(deployment: Deployment, rate: float, duration_s: float):
    """Measure steady load."""
    return await _both(deployment, rate, duration_s)


async def measure_stragglers(deployment: Deployment, rate: float, duration_s: float):
    """Measure with 1% of requests at 10 times the latency."""

    async def prepare() -> None:
        await order(deployment, Order("stragglers", share=STRAGGLER_SHARE))

    return await _both(deployment, rate, duration_s, prepare)


async def measure_replica_lost(deployment: Deployment, rate: float, duration_s: float):
    """Measure after one replica of each shard was killed."""
    lost = tuple(f"{name}-1" for name in deployment.services)
    await reset(deployment)
    load = asyncio.create_task(
        run_load(deployment, deployment.entries, rate, duration_s + SETTLE_S, seed=11)
    )
    await asyncio.sleep(SETTLE_S)
    await order(deployment, Order("kill", servers=lost))
    seen = load_figures(await load, await figures(deployment))
    await reset(deployment)
    naive = await run_load(deployment, deployment.baselines, rate, duration_s, seed=11)
    found = {
        "bramleyrouter": seen,
        "baseline": load_figures(naive, await figures(deployment), False),
    }
    await order(deployment, Order("restart", servers=lost))
    await wait_usable(deployment)
    await asyncio.sleep(WARM_UP_S)
    return found


async def measure_versions(deployment: Deployment, rate: float, duration_s: float):
    """Measure while every server moves from v1 to v2 and back, one by one."""
    await reset(deployment)
    load = asyncio.create_task(
        run_load(deployment, deployment.entries, rate, duration_s, seed=13)
    )
    pause_s = duration_s / 12
    for versions in (("v1", "v2"), ("v2",), ("v1", "v2"), ("v1",)):
        for replica in (0, 1):
            names = tuple(f"{name}-{replica}" for name in deployment.services)
            await order(deployment, Order("versions", names, versions=versions))
            await asyncio.sleep(pause_s)
    return {"bramleyrouter": load_figures(await load, await figures(deployment))}


async def measure_data_centre_out(
    deployment: Deployment, rate: float, duration_s: float
):
    """Measure while a data centre is taken out and comes back."""
    await reset(deployment)
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(
        run_load(deployment, deployment.entries, rate, duration_s, seed=17)
    )
    await asyncio.sleep(duration_s / 4)
    await set_out(deployment, "dc1", True)
    closed_at = loop.time()
    await asyncio.sleep(duration_s / 2)
    servers = await figures(deployment)
    open_s = loop.time() - closed_at
    late = [
        max(0.0, open_s - server.last_work_age_s)
        for server in servers
        if server.data_centre == "dc1"
    ]
    await set_out(deployment, "dc1", False)
    found = load_figures(await load, await figures(deployment))
    await asyncio.sleep(SETTLE_S)
    served = await figures(deployment)
    found["last_new_work_after_out_s"] = max(late)
    found["is_within_3_s"] = max(late) <= OUT_BOUND_S
    found["servers_back"] = sum(
        server.last_work_age_s < SETTLE_S + duration_s / 4
        for server in served
        if server.data_centre == "dc1"
    )
    return {"bramleyrouter": found}


async def measure_overload(deployment: Deployment, rate: float, duration_s: float):
    """Measure at the capacity and at twice the capacity of the slots.

    ``rate`` is ignored: the capacity follows from the slots and the latency.
    """
    size = deployment.size
    seconds = size.fixed_s + size.mean_extra_s
    capacity = size.replicas * size.slots / seconds
    found: Figures = {"capacity_qps": capacity}
    for name, addresses in (
        ("bramleyrouter", deployment.entries),
        ("baseline", deployment.baselines),
    ):
        for label, factor in (("at 0.9 of capacity", 0.9), ("at twice", 2.0)):
            await reset(deployment)
            load = await run_load(
                deployment, addresses, capacity * factor, duration_s, seed=19
            )
            servers = await figures(deployment)
            figure = load_figures(load, servers, name == "bramleyrouter")
            figure["goodput_over_capacity"] = figure["goodput_qps"] / capacity
            found[f"{name} {label}"] = figure
    return found


async def measure_cold(deployment: Deployment, rate: float, duration_s: float):
    """Measure while one server of each service restarts cold under load."""
    found: Figures = {}
    cold = tuple(f"{name}-1" for name in deployment.services)
    await run_load(deployment, deployment.entries, rate, COLD_WARM_UP_S, seed=29)
    for name, addresses in (
        ("bramleyrouter", deployment.entries),
        ("baseline", deployment.baselines),
    ):
        await reset(deployment)
        load = asyncio.create_task(
            run_load(deployment, addresses, rate, duration_s, seed=23)
        )
        await asyncio.sleep(duration_s / 4)
        await order(deployment, Order("restart", servers=cold))
        found[name] = load_figures(
            await load, await figures(deployment), name == "bramleyrouter"
        )
    return found
