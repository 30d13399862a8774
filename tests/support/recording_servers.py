"""Provide backend servers on virtual time that record the requests they get."""

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

# Delay of each message between a home and a server, in seconds.
NETWORK_DELAY_S = 0.001
SERVICE = "sheets"


@dataclass
class RecordingServer:
    """Execute and record requests of one backend server.

    The server refuses only requests to an earlier incarnation and queries for
    versions that it does not hold, so that only the homes enforce its limits. If
    ``loses_replies`` is true, it executes submissions and their replies are lost.
    ``warm_after`` is the number of requests after which a cold server can execute two
    at the same time; ``cold_overloads`` counts how often it had more than one before.
    """

    announcer: AnnouncerState
    rng: random.Random
    latency_s: float = 0.004
    straggler_share: float = 0.01
    is_up: bool = True
    loses_replies: bool = False
    warm_after: int = 0
    served_count: int = 0
    cold_overloads: int = 0
    running: dict = field(default_factory=dict)
    dispatches: list[Dispatch] = field(default_factory=list)
    samples: list[LoadSample] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    task: asyncio.Task | None = None

    @property
    def name(self):
        return self.announcer.server_id

    def holds_shards(self, call: QueryCall):
        """Return whether the server holds all shards of a query in its version."""
        shards = self.announcer.holdings[0].shards
        return all(call.version in shards.get(shard, ()) for shard in call.shards)

    def record_start(self, key, complete):
        """Record the start of a request or a probe and the load at this time."""
        self.running[key] = complete
        used, state = len(self.running), self.announcer
        limits = (state.slots, used, state.connection_limit)
        self.samples.append(LoadSample(self.name, used, *limits))
        if used > 1 and self.served_count < self.warm_after:
            self.cold_overloads += 1

    def draw_service_time_s(self):
        """Draw the service time of the next request, in seconds."""
        seconds = self.latency_s + self.rng.expovariate(1000)
        return seconds * (10 if self.rng.random() < self.straggler_share else 1)

    def crash(self):
        """End the process; connections break and running requests get no reply."""
        self.is_up = False
        self.task.cancel()
        for complete in list(self.running.values()):
            complete(is_lost=True)


def set_versions(server, versions):
    """Replace the index versions in which a server holds its shards."""
    shards = dict.fromkeys(server.announcer.holdings[0].shards, tuple(versions))
    server.announcer.holdings = (ServiceHolding(SERVICE, shards),)
    server.announcer.wake.set()


def _build_result(server, call, shard):
    value = dict(shard=shard, version=call.version, server=server.name)
    value["nonce"] = msgspec.json.decode(call.query)["nonce"]
    return msgspec.json.encode(value)


def _run_submission(server, call):
    run = f"{server.name}#{len(server.runs)}"
    identity = msgspec.json.decode(call.operation)["identity"]
    server.runs.append(Run(identity, run))
    return SubmitResult(Outcome.DONE, Code.OK, "", run.encode())


def make_transport(servers, can_reach):
    """Build a transport; ``can_reach(server)`` returns whether bytes arrive."""
    loop = asyncio.get_running_loop()
    pending_calls = {}

    def start(target, call, timeout_s, on_end, refuse, lost_result):
        server, key = servers[target.server_id], (call.request_id, object())
        calls = pending_calls.setdefault(server.name, {})
        calls[key] = on_end, lost_result

        def reply(result):
            if calls.pop(key, None):
                on_end(result)

        def complete(result=lost_result, is_lost=False):
            if server.running.pop(key, None) is None or not can_reach(server):
                return
            if isinstance(result, SubmitResult) and server.loses_replies:
                is_lost = True
            loop.call_later(NETWORK_DELAY_S, reply, lost_result if is_lost else result)

        def arrive():
            if not can_reach(server):
                return
            if not server.is_up:
                reply(refuse(Code.CONNECT_FAILED))
            elif target.incarnation != server.announcer.incarnation:
                reply(refuse(Code.SERVER_REFUSED))
            elif isinstance(call, QueryCall) and not server.holds_shards(call):
                reply(refuse(Code.VERSION_NOT_HELD))
            else:
                execute(
                    server,
                    call,
                    timeout_s - NETWORK_DELAY_S - REPLY_MARGIN_S,
                    key,
                    complete,
                )

        loop.call_later(NETWORK_DELAY_S, arrive)
        loop.call_later(timeout_s, reply, lost_result)

    def execute(server, call, remaining_s, key, complete):
        server.dispatches.append(Dispatch(server.name, loop.time()))
        server.record_start(key, complete)
        seconds = server.draw_service_time_s()
        if isinstance(call, QueryCall):
            result = QueryResult(
                Code.OK,
                "",
                {shard: _build_result(server, call, shard) for shard in call.shards},
            )
        else:
            result = _run_submission(server, call)

        def finish():
            server.served_count += 1
            complete(result)

        if seconds <= remaining_s:
            loop.call_later(seconds, finish)
        else:
            loop.call_later(max(0, remaining_s), lambda: complete(is_lost=True))

    def query(target, call, timeout_s, on_end):
        lost_result = QueryResult(Code.SHARD_TIMEOUT)
        start(target, call, timeout_s, on_end, QueryResult, lost_result)

    def submit(target, call, timeout_s, on_end):
        lost_result = SubmitResult(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN)

        def refuse(code):
            return SubmitResult(Outcome.NOT_RUN, code)

        start(target, call, timeout_s, on_end, refuse, lost_result)

    def cancel(target, request_id, attempt):
        server = servers[target.server_id]

        def arrive():
            for key, complete in list(server.running.items()):
                if key[0] == request_id and can_reach(server):
                    complete(QueryResult(Code.SHARD_CANCELLED))

        loop.call_later(NETWORK_DELAY_S, arrive)

    def probe(target, timeout_s, on_end):
        server, key = servers[target.server_id], ("probe", object())
        if not server.is_up or not can_reach(server):
            loop.call_later(timeout_s, on_end, ProbeResult(False))
            return
        server.record_start(key, lambda is_lost=False: None)

        def complete():
            server.running.pop(key, None)
            on_end(ProbeResult(True))

        loop.call_later(NETWORK_DELAY_S, complete)

    def close_connections(server_id):
        for on_end, lost_result in pending_calls.pop(server_id, {}).values():
            connection_lost = QueryResult(Code.SHARD_CONNECTION_LOST)
            loop.call_soon(
                on_end,
                connection_lost
                if isinstance(lost_result, QueryResult)
                else lost_result,
            )

    return ServerTransport(
        query, submit, cancel, probe, close_connections, lambda _: 0, lambda: None
    )
