"""Backend servers in virtual time that record what they were asked to do."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.formats import REPLY_MARGIN_S
from bramleyrouter.edges.servers.transport import (
    ProbeResult,
    QueryCall,
    QueryResult,
    ServerTransport,
    SubmitResult,
)
from bramleyrouter.histories.requests import Dispatch, LoadSample, Run
from bramleyrouter.standins.announcers import AnnouncerState
from bramleyrouter.states import Outcome

DELAY_S = 0.001
SERVICE = "sheets"


@dataclass
class RecordingServer:
    """A server that fences off nothing but requests to an earlier incarnation.

    So only the homes keep its limits. ``loses_replies`` runs submissions and
    loses their answers; ``warm_after`` is the number of requests after which a
    cold server bears two at once.
    """

    announcer: AnnouncerState
    rng: random.Random
    latency_s: float = 0.004
    straggler_share: float = 0.01
    is_up: bool = True
    loses_replies: bool = False
    warm_after: int = 0
    served: int = 0
    cold_overloads: int = 0
    running: dict = field(default_factory=dict)
    dispatches: list[Dispatch] = field(default_factory=list)
    samples: list[LoadSample] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    task: asyncio.Task | None = None

    @property
    def name(self):
        return self.announcer.server_id

    def holds(self, call: QueryCall):
        """Return whether all shards of a query are held in its version."""
        shards = self.announcer.holdings[0].shards
        return all(call.version in shards.get(shard, ()) for shard in call.shards)

    def begin(self, key, leave):
        """Note the start of one piece of work or of a probe."""
        self.running[key] = leave
        used, state = len(self.running), self.announcer
        limits = (state.slots, used, state.connection_limit)
        self.samples.append(LoadSample(self.name, used, *limits))
        if used > 1 and self.served < self.warm_after:
            self.cold_overloads += 1

    def draw_s(self):
        """Return the time that the next request takes, in seconds."""
        seconds = self.latency_s + self.rng.expovariate(1000)
        return seconds * (10 if self.rng.random() < self.straggler_share else 1)

    def crash(self):
        """End the process: what runs gets no answer, and connections break."""
        self.is_up = False
        self.task.cancel()
        for leave in list(self.running.values()):
            leave(is_lost=True)


def set_versions(server, versions):
    """Let a server hold its shards in other index versions."""
    shards = dict.fromkeys(server.announcer.holdings[0].shards, tuple(versions))
    server.announcer.holdings = (ServiceHolding(SERVICE, shards),)
    server.announcer.wake.set()


def _result_of(server, call, shard):
    value = dict(shard=shard, version=call.version, server=server.name)
    value["nonce"] = msgspec.json.decode(call.query)["nonce"]
    return msgspec.json.encode(value)


def _run(server, call):
    run = f"{server.name}#{len(server.runs)}"
    identity = msgspec.json.decode(call.operation)["identity"]
    server.runs.append(Run(identity, run))
    return SubmitResult(Outcome.DONE, Code.OK, "", run.encode())


def make_transport(servers, can_reach):
    """Return a transport; ``can_reach(server)`` says whether bytes arrive."""
    loop = asyncio.get_running_loop()
    waiting = {}

    def start(target, call, timeout_s, on_end, refuse, lost):
        server, key = servers[target.server_id], (call.request_id, object())
        calls = waiting.setdefault(server.name, {})
        calls[key] = on_end, lost

        def answer(end):
            if calls.pop(key, None):
                on_end(end)

        def leave(end=lost, is_lost=False):
            if server.running.pop(key, None) is None or not can_reach(server):
                return
            if isinstance(end, SubmitResult) and server.loses_replies:
                is_lost = True
            loop.call_later(DELAY_S, answer, lost if is_lost else end)

        def arrive():
            if not can_reach(server):
                return
            if not server.is_up:
                answer(refuse(Code.CONNECT_FAILED))
            elif target.incarnation != server.announcer.incarnation:
                answer(refuse(Code.SERVER_REFUSED))
            elif isinstance(call, QueryCall) and not server.holds(call):
                answer(refuse(Code.VERSION_NOT_HELD))
            else:
                work(server, call, timeout_s - DELAY_S - REPLY_MARGIN_S, key, leave)

        loop.call_later(DELAY_S, arrive)
        loop.call_later(timeout_s, answer, lost)

    def work(server, call, left_s, key, leave):
        server.dispatches.append(Dispatch(server.name, loop.time()))
        server.begin(key, leave)
        seconds = server.draw_s()
        if isinstance(call, QueryCall):
            end = QueryResult(
                Code.OK, "", {one: _result_of(server, call, one) for one in call.shards}
            )
        else:
            end = _run(server, call)

        def finish():
            server.served += 1
            leave(end)

        if seconds <= left_s:
            loop.call_later(seconds, finish)
        else:
            loop.call_later(max(0, left_s), lambda: leave(is_lost=True))

    def query(target, call, timeout_s, on_end):
        lost = QueryResult(Code.SHARD_TIMEOUT)
        start(target, call, timeout_s, on_end, QueryResult, lost)

    def submit(target, call, timeout_s, on_end):
        lost = SubmitResult(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN)

        def refuse(code):
            return SubmitResult(Outcome.NOT_RUN, code)

        start(target, call, timeout_s, on_end, refuse, lost)

    def cancel(target, request_id, attempt):
        server = servers[target.server_id]

        def arrive():
            for key, leave in list(server.running.items()):
                if key[0] == request_id and can_reach(server):
                    leave(QueryResult(Code.SHARD_CANCELLED))

        loop.call_later(DELAY_S, arrive)

    def probe(target, timeout_s, on_end):
        server, key = servers[target.server_id], ("probe", object())
        if not server.is_up or not can_reach(server):
            loop.call_later(timeout_s, on_end, ProbeResult(False))
            return
        server.begin(key, lambda is_lost=False: None)

        def leave():
            server.running.pop(key, None)
            on_end(ProbeResult(True))

        loop.call_later(DELAY_S, leave)

    def drop(server_id):
        for on_end, lost in waiting.pop(server_id, {}).values():
            gone = QueryResult(Code.SHARD_CONNECTION_LOST)
            loop.call_soon(on_end, gone if isinstance(lost, QueryResult) else lost)

    return ServerTransport(
        query, submit, cancel, probe, drop, lambda _: 0, lambda: None
    )
