"""Naive fan-out over the same transport: the baseline of the measurements.

Run as ``python -m bramleyrouter.measure.baseline CONFIG`` with a JSON file that
holds a ``BaselineConfig``. It sends each shard to a random replica from a fixed
list, waits for all until the deadline, and decides nothing else: no limits, no
hedges, no retries, no versions, no health.
"""

import asyncio
import itertools
import random
import signal
import sys
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest

from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.edges.callers.formats import (
    decode_query,
    encode_answer,
    read_query_defaults,
)
from bramleyrouter.edges.http import EndpointSpec, HttpReply
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, QueryResult, Target
from bramleyrouter.ids import (
    AttemptId,
    IndexVersion,
    Registration,
    RequestId,
    Revision,
    ServerId,
    ServerIncarnation,
)
from bramleyrouter.routing.messages import Answer, MissingShard, Query, ShardKey
from bramleyrouter.telemetry.logs import configure_logging

MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 1000
# Above any registration, so that a stand-in never refuses the baseline.
REGISTRATION = Registration(1_000_000)


class Replica(msgspec.Struct):
    """Name one stand-in and where it listens."""

    server_id: str
    address: str


class BaselineConfig(msgspec.Struct):
    """Describe the fixed world of the baseline; all shards are named "s0"."""

    http_address: str
    version: str
    replicas: dict[str, tuple[Replica, ...]]


def _target_of(replica: Replica) -> Target:
    return Target(
        ServerId(replica.server_id),
        ServerIncarnation(1),
        REGISTRATION,
        replica.address,
        MAX_CONNECTIONS,
    )


async def _ask(transport, target: Target, call: QueryCall, timeout_s: float):
    fut: asyncio.Future[QueryResult] = asyncio.get_running_loop().create_future()
    transport.query(target, call, timeout_s, fut.set_result)
    return await fut


async def _fan_out(transport, cfg: BaselineConfig, query: Query, rng) -> Answer:
    keys, work = [], []
    timeout_s = query.deadline - asyncio.get_running_loop().time()
    for number, target in enumerate(query.targets):
        replica = rng.choice(cfg.replicas[target.service])
        for shard in target.shards:
            call = QueryCall(
                query.request_id,
                AttemptId(number),
                IndexVersion(cfg.version),
                target.service,
                (shard,),
                query.body,
            )
            keys.append(ShardKey(target.service, shard))
            work.append(_ask(transport, _target_of(replica), call, timeout_s))
    ends = await asyncio.gather(*work)
    results: dict[ShardKey, bytes] = {}
    missing = []
    for key, end in zip(keys, ends, strict=True):
        if end.code is Code.OK:
            results[key] = end.results[key.shard]
        else:
            missing.append(MissingShard(key.service, key.shard, end.code))
    return Answer(
        query.request_id,
        IndexVersion(cfg.version),
        Revision(0),
        tuple(results),
        tuple(missing),
        results,
    )


async def _run(cfg: BaselineConfig) -> None:
    transport = build_curl_transport()
    rng = random.Random(cfg.http_address)
    numbers = itertools.count(1)
    loop = asyncio.get_running_loop()
    decoding = read_query_defaults(Settings("baseline", "", "", "", "", "", ()))

    async def query(req: HTTPServerRequest, body: bytes) -> HttpReply:
        run_id = RequestId(f"{cfg.http_address}.{next(numbers)}")
        message, caller_id = decode_query(body, run_id, loop.time(), decoding).unwrap()
        answer = await _fan_out(transport, cfg, message, rng)
        return HttpReply(200, encode_answer(answer, caller_id))

    listen_http(
        cfg.http_address, [EndpointSpec("/v1/query", "POST", query, MAX_BODY_BYTES)]
    )
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


def main() -> None:
    """Run the baseline until SIGTERM."""
    configure_logging("error")
    cfg = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=BaselineConfig)
    asyncio.run(_run(cfg))


if __name__ == "__main__":
    main()
