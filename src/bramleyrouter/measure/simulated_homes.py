"""Simulated homes whose servers have slots, bounded queues and service times.

They stand behind ``HomeClient`` in trials and tests of the query path, without
a network. A cancelled request leaves the queue at once, but keeps its slot
until its service ends, as a server that does not notice does.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.homes.interfaces import HomeClient, OnEnd, OnReply
from bramleyrouter.homes.messages import GroupReply, ServerGroup, ShardBatch
from bramleyrouter.ids import AttemptId, DaemonId, ServerId

# Draws the seconds that one request takes at a server.
DrawService = Callable[[random.Random, ServerId], float]


@dataclass(eq=False)
class SimulatedBatch:
    """Hold a batch and its attempts that were neither answered nor cancelled."""

    batch: ShardBatch
    expires_at: float
    on_reply: OnReply
    on_end: OnEnd
    open_attempts: set[AttemptId]


@dataclass
class SimulatedServer:
    """Hold one server's slots in use and the queue at its home.

    A queue entry is the batch, the group and the loop time of its arrival.
    """

    in_flight: int = 0
    queue: deque[tuple[SimulatedBatch, ServerGroup, float]] = field(
        default_factory=deque
    )


@dataclass
class SimulatedHomes:
    """Hold servers of ``slots`` each; more than ``max_queue`` waiting are shed."""

    rng: random.Random
    draw_service: DrawService
    slots: int = 2
    max_queue: int = 20
    servers: dict[ServerId, SimulatedServer] = field(default_factory=dict)


def build_simulated_client(homes: SimulatedHomes) -> HomeClient:
    """Return the interface of the homes; submissions are not simulated."""

    def dispatch(
        home: DaemonId, batch: ShardBatch, on_reply: OnReply, on_end: OnEnd
    ) -> Callable[[], None]:
        loop = asyncio.get_running_loop()
        attempts = {group.attempt for group in batch.groups}
        expires_at = loop.time() + batch.remaining_s
        simulated = SimulatedBatch(batch, expires_at, on_reply, on_end, attempts)
        for group in batch.groups:
            server = homes.servers.setdefault(group.server_id, SimulatedServer())
            if len(server.queue) >= homes.max_queue:
                loop.call_soon(_reply, server, simulated, group, Code.QUEUE_FULL)
            else:
                server.queue.append((simulated, group, loop.time()))
                _serve(homes, server)
        return simulated.open_attempts.clear

    return HomeClient(dispatch, None)  # type: ignore[arg-type]


def _serve(homes: SimulatedHomes, server: SimulatedServer) -> None:
    loop = asyncio.get_running_loop()
    while server.queue and server.in_flight < homes.slots:
        simulated, group, queued_at = server.queue.popleft()
        queue_s = loop.time() - queued_at
        if group.attempt not in simulated.open_attempts:
            continue
        if loop.time() >= simulated.expires_at:
            code = Code.QUEUE_DEADLINE
            loop.call_soon(_reply, server, simulated, group, code, queue_s)
            continue
        service_s = homes.draw_service(homes.rng, group.server_id)
        server.in_flight += 1
        times = (queue_s, service_s)
        loop.call_later(service_s, _end, homes, server, simulated, group, times)


def _end(homes, server: SimulatedServer, simulated, group, times) -> None:
    server.in_flight -= 1
    _reply(server, simulated, group, Code.OK, *times)
    _serve(homes, server)


def _reply(
    server: SimulatedServer,
    simulated: SimulatedBatch,
    group: ServerGroup,
    code: Code,
    queue_s: float = 0.0,
    service_s: float = 0.0,
) -> None:
    if group.attempt not in simulated.open_attempts:
        return
    simulated.open_attempts.discard(group.attempt)
    reply = GroupReply(
        server_id=group.server_id,
        attempt=group.attempt,
        version=simulated.batch.version,
        code=code,
        results=dict.fromkeys(group.shards, b"{}") if code is Code.OK else {},
        queue_s=queue_s,
        service_s=service_s,
        in_flight=server.in_flight + len(server.queue),
    )
    simulated.on_reply(reply)
    if not simulated.open_attempts:
        simulated.on_end(Ok(None))
