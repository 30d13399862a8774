"""Measure goodput under overload and the tail with and without hedges.

Run ``python -m bramleyrouter.measure.routing_trials [--seconds N]``. The query
path of one or several daemons runs over simulated homes in simulated time:
each shard has two replicas of two slots, and a request takes 10 ms with 40%
spread. The offered load is a Poisson stream, as a multiple of what the slots
can serve; each query reaches a random daemon. Daemons know of each other's
requests only by the homes' hints and queue times.
"""

import argparse
import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Ok

from bramleyrouter.conf import defaults
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.ids import ClassName, DataCentre, RequestId, ServiceName, TenantName
from bramleyrouter.measure.decision_cost import DATA_CENTRES, REPLICAS, build_board
from bramleyrouter.measure.simulated_homes import (
    SimulatedHomes,
    build_simulated_client,
)
from bramleyrouter.measure.simulated_time import run_simulated
from bramleyrouter.routing.interfaces import Router
from bramleyrouter.routing.messages import Query, ServiceTarget
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.routing.router import build_router
from bramleyrouter.states import CoverageMode

MEAN_SERVICE_S, SPREAD, SLOTS = 0.010, 0.4, 2
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.01, 10.0
# Time before the figures count, in seconds: the limit and the quantiles settle.
WARM_UP_S = 1.0
SEED = 3


@dataclass(frozen=True)
class Trial:
    """Describe one run; ``load`` is a multiple of the capacity."""

    shards: int
    load: float
    deadline_s: float = 1.0
    max_queue: int = 20
    hedge_budget: float = defaults.HEDGE_BUDGET
    has_stragglers: bool = False
    daemons: int = 1


@dataclass
class Outcome:
    """Hold the counts and latencies of a run after its warm-up."""

    counts: Counter = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)


def draw_even(rng: random.Random, _server_id) -> float:
    """Return a service time without stragglers."""
    return MEAN_SERVICE_S * rng.uniform(1 - SPREAD, 1 + SPREAD)


def draw_with_stragglers(rng: random.Random, server_id) -> float:
    """Return a service time of which a small share is much longer."""
    factor = STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0
    return factor * draw_even(rng, server_id)


async def run_trial(trial: Trial, seconds: float) -> dict[str, Any]:
    """Offer the load for ``seconds`` after the warm-up and return the figures."""
    loop, outcome = asyncio.get_running_loop(), Outcome()
    arrivals = random.Random(SEED + 1)
    draw = draw_with_stragglers if trial.has_stragglers else draw_even
    homes = SimulatedHomes(random.Random(SEED), draw, SLOTS, trial.max_queue)
    routers = [
        _build_router(trial, homes, outcome, number) for number in range(trial.daemons)
    ]
    capacity = REPLICAS * SLOTS / MEAN_SERVICE_S
    started, tasks, number = loop.time(), [], 0
    next_at = started
    while next_at < started + WARM_UP_S + seconds:
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        counts = next_at - started >= WARM_UP_S
        query = _make_query(number, loop.time() + trial.deadline_s)
        router = routers[arrivals.randrange(trial.daemons)]
        tasks.append(loop.create_task(_ask(router, query, outcome if counts else None)))
        next_at += arrivals.expovariate(trial.load * capacity)
        number += 1
    await asyncio.gather(*tasks)
    return _summarise(trial, outcome, capacity * seconds)


def _build_router(
    trial: Trial, homes: SimulatedHomes, outcome: Outcome, number: int
) -> Router:
    observer = RoutingObserver(
        attempts_planned=lambda _, requests: outcome.counts.update(requests=requests),
        hedged=lambda _: outcome.counts.update(hedges=1),
    )
    board = build_board(1, trial.shards, 24, trial.shards * REPLICAS)
    board.identity = msgspec.structs.replace(
        board.identity, data_centre=DataCentre(f"dc{number % DATA_CENTRES}")
    )
    cfg = Settings("e", "dc0", "", "", "", "", (), hedge_budget=trial.hedge_budget)
    control: Any = ControlClient(None, None, None, None)  # type: ignore[arg-type]
    clock, rng = asyncio.get_running_loop().time, random.Random(SEED + number)
    client = build_simulated_client(homes)
    return build_router(board, client, control, cfg, clock, rng, observer)


def _make_query(number: int, deadline: float) -> Query:
    return Query(
        request_id=RequestId(f"q{number}"),
        tenant=TenantName("t"),
        class_name=ClassName("default"),
        deadline=deadline,
        targets=(ServiceTarget(ServiceName("service-0")),),
        coverage=CoverageMode.FULL,
        body=b"{}",
    )


async def _ask(router: Router, query: Query, outcome: Outcome | None) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    result = await router.query(query)
    if outcome is None:
        return
    is_good = isinstance(result, Ok) and loop.time() <= query.deadline
    outcome.counts.update(good=int(is_good), bad=int(not is_good))
    if is_good:
        outcome.latencies_s.append(loop.time() - started)


def _summarise(trial: Trial, outcome: Outcome, possible: float) -> dict[str, Any]:
    latencies = sorted(outcome.latencies_s) or [0.0]
    counts = outcome.counts

    def quantile_ms(share: float) -> float:
        return round(latencies[int(share * (len(latencies) - 1))] * 1e3, 1)

    return {
        "daemons": trial.daemons,
        "shards": trial.shards,
        "load": trial.load,
        "deadline_s": trial.deadline_s,
        "max_queue": trial.max_queue,
        "hedge_budget": trial.hedge_budget,
        "goodput_of_capacity": round(counts["good"] / possible, 3),
        "refused_or_failed": counts["bad"],
        "p50_ms": quantile_ms(0.50),
        "p99_ms": quantile_ms(0.99),
        "hedges_of_requests": round(counts["hedges"] / max(counts["requests"], 1), 4),
    }


TRIALS = (
    *(Trial(3, load, 0.2) for load in (0.8, 1.0, 2.0, 4.0)),
    Trial(3, 2.0, 0.05),
    Trial(3, 2.0, 0.2, max_queue=4),
    Trial(3, 0.8, 0.2, daemons=8),
    Trial(3, 2.0, 0.2, daemons=8),
    Trial(3, 2.0, 0.05, daemons=8),
    Trial(10, 2.0, 0.2, daemons=8),
    Trial(10, 2.0, 0.2, max_queue=4, daemons=8),
    *(
        Trial(shards, load, hedge_budget=budget, has_stragglers=True)
        for shards in (10, 50)
        for load in (0.2, 0.5)
        for budget in (0.0, defaults.HEDGE_BUDGET)
    ),
)


def main(arguments: list[str] | None = None) -> None:
    """Run all trials one after the other and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args(arguments)
    for trial in TRIALS:
        print(json.dumps(run_simulated(run_trial(trial, options.seconds))), flush=True)


if __name__ == "__main__":
    main()
