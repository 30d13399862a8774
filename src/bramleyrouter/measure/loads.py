"""Open-loop load with a seed, and the figures of its answers."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import numpy
from tornado.httpclient import HTTPRequest

from bramleyrouter.edges.callers.formats import AnswerBody
from bramleyrouter.histories.requests import (
    QueryRecord,
    ShardResult,
    check_query,
)
from bramleyrouter.measure.deployments import Deployment, fetch, query_body

MILLISECONDS = 1000.0
# Time beyond the deadline that an answer may take to arrive, in seconds.
LATE_S = 2.0

_decoder = msgspec.json.Decoder(AnswerBody)


class StandinResult(msgspec.Struct):
    """What a stand-in puts into a shard's result."""

    shard: str
    version: str
    query: dict[str, str]


@dataclass
class LoadResult:
    """Hold what callers saw; times in seconds from the start of the load."""

    sent_at: list[float] = field(default_factory=list)
    latency_s: list[float] = field(default_factory=list)
    coverage: list[float] = field(default_factory=list)
    status: list[int] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    duration_s: float = 0.0
    shards: int = 0

    def figures(self) -> dict[str, float]:
        """Return rates, percentiles of answered queries, and mean coverage.

        Refused queries count into ``refused`` alone; goodput counts answers
        with full coverage.
        """
        status = numpy.array(self.status)
        answered = status == 200
        latency = numpy.array(self.latency_s)[answered] * MILLISECONDS
        coverage = numpy.array(self.coverage)[answered]
        if not len(latency):
            latency, coverage = numpy.array([float("nan")]), numpy.array([0.0])
        whole = int((coverage >= 1).sum())
        return {
            "queries": len(status),
            "answered": int(answered.sum()),
            "refused": int((~answered).sum()),
            "p50_ms": float(numpy.percentile(latency, 50)),
            "p99_ms": float(numpy.percentile(latency, 99)),
            "p999_ms": float(numpy.percentile(latency, 99.9)),
            "coverage": float(coverage.mean()),
            "goodput_qps": whole / self.duration_s if self.duration_s else 0.0,
            "violations": len(self.violations),
        }


async def run_load(
    deployment: Deployment,
    addresses: list[str],
    rate: float,
    duration_s: float,
    seed: int,
    deadline_ms: float = 1000.0,
    coverage: str = "best",
) -> LoadResult:
    """Send queries at Poisson times to ``addresses`` in turn; check each answer.

    ``rate`` is in queries per second. Each answer is checked for one version,
    true coverage and its own content.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    result = LoadResult(shards=len(deployment.services))
    tasks = []
    started = loop.time()
    due = 0.0
    number = 0
    while due < duration_s:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, started + due - loop.time()))
        address = addresses[number % len(addresses)]
        number += 1
        body = query_body(deployment, f"{seed}.{number}", deadline_ms, coverage)
        tasks.append(asyncio.create_task(_send(deployment, address, body, result, due)))
    await asyncio.gather(*tasks)
    result.duration_s = duration_s
    return result


async def _send(deployment, address, body, result: LoadResult, due: float) -> None:
    loop = asyncio.get_running_loop()
    request = HTTPRequest(
        f"http://{address}/v1/query",
        method="POST",
        body=msgspec.json.encode(body),
        request_timeout=body["deadline_ms"] / MILLISECONDS + LATE_S,
    )
    started = loop.time()
    status, text = await fetch(deployment.client, request)
    result.sent_at.append(due)
    result.latency_s.append(loop.time() - started)
    result.status.append(status)
    if status != 200:
        result.coverage.append(0.0)
        return
    answer = _decoder.decode(text)
    result.coverage.append(answer.shards_included / answer.shards_requested)
    wrong = check_query(_record_of(body, answer))
    if wrong is not None:
        result.violations.append(f"{body['request_id']}: {wrong}")


def _record_of(body: dict, answer: AnswerBody) -> QueryRecord:
    results = {}
    for service, shards in answer.results.items():
        for shard, raw in shards.items():
            one = msgspec.json.decode(raw, type=StandinResult)
            nonce = one.query["nonce"]
            found = ShardResult(one.version, nonce, (service, one.shard))
            results[(service, shard)] = found
    requested = {
        (target["service"], shard)
        for target in body["targets"]
        for shard in target["shards"]
    }
    included = {
        (service, shard)
        for service, shards in answer.included.items()
        for shard in shards
    }
    missing = {(item.service, item.shard) for item in answer.missing}
    return QueryRecord(
        body["query"]["nonce"],
        frozenset(requested),
        frozenset({"v1", "v2", "v3", "v4", "v5"}),
        True,
        answer.version,
        frozenset(included),
        frozenset(missing),
        results,
    )
