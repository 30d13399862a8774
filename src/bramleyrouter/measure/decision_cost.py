"""Measure what the decisions of the query path cost per shard request.

Run ``python -m bramleyrouter.measure.decision_cost [--queries N]``. The homes
are replaced by a closure that replies at the next turn of the loop, and the
time spent in it is subtracted. For each size come out, in microseconds per
shard request: the plan (version, replicas, grouping), the bookkeeping of the
replies (matching, in-flight counts, latency, budgets), and everything from the
query to its answer, which adds messages to homes and turns of the loop.
"""

import argparse
import asyncio
import json
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Ok

from bramleyrouter.board import Board
from bramleyrouter.board.sections import (
    Identity,
    ServerRecord,
    ServiceHolding,
    ServiceSpec,
)
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.homes.interfaces import HomeClient
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.ids import (
    ClassName,
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    IndexVersion,
    Registration,
    RequestId,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
    TenantName,
)
from bramleyrouter.routing.messages import Query, ServiceTarget
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.routing.replica_index import build_replica_index, refresh_servers
from bramleyrouter.routing.router import build_router
from bramleyrouter.states import CoverageMode, ServerState

TARGET_S = 25e-6
REPLICAS = 2
DATA_CENTRES = 3
VERSIONS = (IndexVersion("v1"), IndexVersion("v2"))
# Services with 120 shards of two replicas each, 57,000 replicas in all.
LARGE_SERVICES, LARGE_SHARDS, LARGE_REPLICAS = 238, 120, 57_000
LARGE_HOMES, SMALL_HOMES = 2_300, 24


def build_board(services: int, shards: int, homes: int, replicas: int) -> Board:
    """Return a board with at most ``replicas`` servers over three data centres."""
    identity = Identity(
        DaemonId("entry"), DaemonIncarnation(1), DataCentre("dc0"), "a:1", "a:2"
    )
    board = Board(identity)
    board.config.confirmed_at = float("inf")
    names = tuple(ShardName(f"shard-{number}") for number in range(shards))
    for number in range(services):
        service = ServiceName(f"service-{number}")
        board.config.services[service] = ServiceSpec(service, names, VERSIONS)
        for shard in names:
            for _ in range(REPLICAS):
                if len(board.servers.records) < replicas:
                    _add_server(board, service, shard, homes)
    return board


def _add_server(board: Board, service, shard, homes: int) -> None:
    number = len(board.servers.records)
    server_id = ServerId(f"server-{number}")
    board.servers.records[server_id] = ServerRecord(
        server_id=server_id,
        incarnation=ServerIncarnation(1),
        registration=Registration(1),
        data_centre=DataCentre(f"dc{number % DATA_CENTRES}"),
        address="127.0.0.1:1",
        state=ServerState.READY,
        slots=2,
        connection_limit=25,
        holdings=(ServiceHolding(service, {shard: VERSIONS}),),
        home=DaemonId(f"home-{number % homes}"),
        home_incarnation=DaemonIncarnation(1),
    )


@dataclass
class Spent:
    """Sum the seconds spent in the fake homes and in the router's callbacks."""

    homes_s: float = 0.0
    replies_s: float = 0.0


def build_instant_homes(spent: Spent) -> HomeClient:
    """Return homes that reply at the next turn of the loop."""

    def dispatch(home, batch, on_reply, on_end) -> Callable[[], None]:
        started = time.perf_counter()
        replies = [
            GroupReply(
                server_id=group.server_id,
                attempt=group.attempt,
                version=batch.version,
                code=Code.OK,
                results=dict.fromkeys(group.shards, b"{}"),
                queue_s=0.001,
                service_s=0.005,
                in_flight=1,
            )
            for group in batch.groups
        ]

        def deliver() -> None:
            began = time.perf_counter()
            for reply in replies:
                on_reply(reply)
            on_end(Ok(None))
            spent.replies_s += time.perf_counter() - began

        asyncio.get_running_loop().call_soon(deliver)
        spent.homes_s += time.perf_counter() - started
        return lambda: None

    return HomeClient(dispatch, None)  # type: ignore[arg-type]


async def measure_queries(board: Board, targets, queries: int) -> dict[str, Any]:
    """Return the medians over ``queries`` runs, in microseconds per request."""
    spent = Spent()
    plans: list[tuple[float, int]] = []
    observer = RoutingObserver(
        attempts_planned=lambda seconds, requests: plans.append((seconds, requests))
    )
    control: Any = ControlClient(None, None, None, None)  # type: ignore[arg-type]
    cfg = Settings("entry", "dc0", "a:1", "a:2", "", "", ())
    router = build_router(
        board,
        build_instant_homes(spent),
        control,
        cfg,
        time.perf_counter,
        random.Random(1),
        observer,
    )
    whole, bookkeeping, decisions = [], [], []
    for number in range(queries):
        query = Query(
            request_id=RequestId(f"q{number}"),
            tenant=TenantName("t"),
            class_name=ClassName("default"),
            deadline=time.perf_counter() + 5.0,
            targets=targets,
            coverage=CoverageMode.FULL,
            body=b"{}",
        )
        spent.homes_s = spent.replies_s = 0.0
        started = time.perf_counter()
        result = await router.query(query)
        elapsed = time.perf_counter() - started - spent.homes_s
        result.unwrap()
        plan_s, requests = plans[-1]
        whole.append(elapsed / requests)
        bookkeeping.append(spent.replies_s / requests)
        decisions.append((plan_s + spent.replies_s) / requests)
    return {
        "requests_per_query": plans[-1][1],
        "plan_us": _micros(seconds / requests for seconds, requests in plans),
        "bookkeeping_us": _micros(bookkeeping),
        "plan_and_bookkeeping_us": _micros(decisions),
        "whole_us": _micros(whole),
    }


def measure_change(board: Board, rounds: int) -> dict[str, float]:
    """Return the milliseconds that one changed server costs the index."""
    index = build_replica_index(board, time.perf_counter)
    server_id = next(iter(board.servers.records))
    times = []
    for number in range(rounds):
        old = board.servers.records[server_id]
        changed = msgspec.structs.replace(old, usable=bool(number % 2))
        board.servers.records[server_id] = changed
        started = time.perf_counter()
        refresh_servers(index, board)
        times.append(time.perf_counter() - started)
    return {"change_ms": round(statistics.median(times) * 1e3, 3)}


def _micros(values) -> dict[str, float]:
    values = sorted(values)
    return {
        "p50": round(statistics.median(values) * 1e6, 2),
        "p99": round(values[int(len(values) * 0.99)] * 1e6, 2),
    }


def main(arguments: list[str] | None = None) -> None:
    """Measure both sizes and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=2000)
    options = parser.parse_args(arguments)
    small = build_board(50, 1, SMALL_HOMES, 100)
    small_targets = tuple(ServiceTarget(name) for name in small.config.services)
    large = build_board(LARGE_SERVICES, LARGE_SHARDS, LARGE_HOMES, LARGE_REPLICAS)
    large_targets = (ServiceTarget(ServiceName("service-7")),)
    report = {
        "target_us": TARGET_S * 1e6,
        "50 services x 2 replicas, all in one query": asyncio.run(
            measure_queries(small, small_targets, options.queries)
        ),
        "120 of 57,000 replicas in one query": asyncio.run(
            measure_queries(large, large_targets, options.queries)
        ),
        "one server of 57,000 changes": measure_change(large, 50),
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
