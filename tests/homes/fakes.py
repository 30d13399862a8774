"""Provide fake backend servers and a cluster of daemons on virtual time."""

import asyncio
import random
from dataclasses import dataclass, field

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import DaemonRecord, ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.formats import REPLY_MARGIN_S
from bramleyrouter.edges.servers.transport import (
    ProbeResult,
    QueryResult,
    ServerTransport,
    SubmitResult,
)
from bramleyrouter.homes.build import build_homes
from bramleyrouter.homes.messages import (
    Announcement,
    ServerGroup,
    ShardBatch,
    SubmitRequest,
)
from bramleyrouter.states import DaemonState, Outcome, ServerState
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric

HOLDINGS = (ServiceHolding("sheets", {"a": ("v1",), "b": ("v1",)}),)


@dataclass
class FakeServer:
    """Execute every request and record what was requested.

    The server enforces no limits and continues after a closed connection until the
    deadline of the request, so that only the homes enforce its limits. If ``code`` is
    not ``OK``, it executes nothing and replies with this code.
    """

    latency_s: float = 0.01
    delay_s: float = 0.0
    code: Code = Code.OK
    is_leaving: bool = False
    retry_after_s: float = 0.0
    body: bytes = b"1"
    in_flight: int = 0
    peak_in_flight: int = 0
    started_count: int = 0
    cancels: list = field(default_factory=list)
    drop_count: int = 0
    last_ended_at: float = 0.0
    deadlines: list = field(default_factory=list)
    running: dict = field(default_factory=dict)
    probe: ProbeResult = ProbeResult(True)


def make_transport(servers):
    """Build a transport to ``servers``, a dict by server id."""
    loop = asyncio.get_running_loop()
    pending_calls = {}

    def run(target, call, timeout_s, on_end, ok_result, timeout_result):
        server = servers[target.server_id]
        server_timeout_s = timeout_s - REPLY_MARGIN_S
        server.deadlines.append(loop.time() + timeout_s)
        key = object()
        calls = pending_calls.setdefault(target.server_id, {})
        calls[key] = on_end

        def reply(result):
            if calls.pop(key, None):
                on_end(result)

        def finish(result):
            if server.running.pop(key, None):
                server.in_flight -= 1
                server.last_ended_at = loop.time()
                reply(result._replace(is_leaving=server.is_leaving))

        def arrive():
            server.started_count += 1
            server.in_flight += 1
            server.peak_in_flight = max(server.peak_in_flight, server.in_flight)
            is_late = server.latency_s > server_timeout_s
            seconds = min(server.latency_s, server_timeout_s)
            server.running[key] = finish
            loop.call_later(seconds, finish, timeout_result if is_late else ok_result)

        if server.code is not Code.OK:
            refusal = QueryResult(
                server.code,
                is_leaving=server.is_leaving,
                retry_after_s=server.retry_after_s,
            )
            loop.call_soon(reply, refusal)
        else:
            loop.call_later(server.delay_s, arrive)
            loop.call_later(timeout_s, reply, timeout_result)

    def query(target, call, timeout_s, on_end):
        ok_result = QueryResult(
            Code.OK, "", dict.fromkeys(call.shards, servers[target.server_id].body)
        )
        run(target, call, timeout_s, on_end, ok_result, QueryResult(Code.SHARD_TIMEOUT))

    def submit(target, call, timeout_s, on_end):
        ok_result = SubmitResult(Outcome.DONE, Code.OK, "", b"1")
        timeout_result = SubmitResult(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN)
        run(target, call, timeout_s, on_end, ok_result, timeout_result)

    def cancel(target, request_id, attempt):
        servers[target.server_id].cancels.append((request_id, attempt))

    def probe(target, timeout_s, on_end):
        server = servers[target.server_id]
        server.in_flight += 1
        server.peak_in_flight = max(server.peak_in_flight, server.in_flight)

        def finish():
            server.in_flight -= 1
            on_end(server.probe)

        loop.call_later(0.001, finish)

    def close_connections(server_id):
        servers[server_id].drop_count += 1
        for on_end in pending_calls.pop(server_id, {}).values():
            loop.call_soon(on_end, QueryResult(Code.SHARD_CONNECTION_LOST))

    return ServerTransport(
        query, submit, cancel, probe, close_connections, lambda _: 0, lambda: None
    )


def make_announcement(server_id="s1", **changes):
    """Build the first announcement of a ready server with two slots."""
    values = dict(
        server_id=server_id,
        incarnation=1,
        registration=1,
        sequence=1,
        data_centre="dc1",
        address="127.0.0.1:9000",
        state=ServerState.READY,
        slots=2,
        connection_limit=25,
        holdings=HOLDINGS,
        lease=None,
    )
    return Announcement(**(values | changes))


class Cluster:
    """Hold several daemons that act as homes, and the fake servers."""

    def __init__(self, names=("d1",), data_centres=None, clocks=None):
        """Build the homes; requires a running event loop."""
        self.loop = asyncio.get_running_loop()
        self.fabric = MemoryFabric()
        self.servers = {}
        self.boards, self.homes, self.published_updates = {}, {}, []
        data_centre_names = data_centres or ["dc1"] * len(names)
        for index, (name, centre) in enumerate(
            zip(names, data_centre_names, strict=True)
        ):
            self.boards[name] = Board(make_identity(name, centre, 7000 + 10 * index))
        for name, board in self.boards.items():
            for other in self.boards.values():
                self.set_daemon(board, other.identity)
            clock = (clocks or {}).get(name)
            self.homes[name] = build_homes(
                board,
                self.fabric.build_network(board.identity),
                make_transport(self.servers),
                self._publish,
                random.Random(name),
                clock=clock,
            )
            self.confirm_config(name)

    def set_daemon(self, board, identity, state=DaemonState.ALIVE):
        """Set the record of a daemon on ``board``."""
        board.daemons.records[identity.daemon_id] = DaemonRecord(
            identity.daemon_id,
            identity.incarnation,
            identity.data_centre,
            identity.internal_address,
            identity.http_address,
            state,
        )

    def confirm_config(self, name, until=float("inf")):
        """Confirm the configuration of a daemon until a loop time."""
        self.boards[name].config.confirmed_at = until

    def _publish(self, changed, removed):
        self.published_updates.append((changed, removed))
        for board in self.boards.values():
            for row in changed:
                board.servers.records[row.server_id] = row
            for server_id in removed:
                board.servers.records.pop(server_id, None)

    def notify_config_change(self):
        """Notify every daemon that its configuration changed."""
        for board in self.boards.values():
            board.notify_watchers(Section.CONFIG)

    def get_row(self, server_id="s1"):
        """Return the last published row of a server, or None."""
        return next(iter(self.boards.values())).servers.records.get(server_id)

    async def register_server(self, name="d1", server=None, **changes):
        """Register a server through ``name`` and echo its first token."""
        first = make_announcement(**changes)
        self.servers.setdefault(first.server_id, server or FakeServer())
        reply = (await self.homes[name].announce(first)).unwrap()
        return await self.renew(name, first, reply.lease, 2)

    async def renew(self, name, announcement, lease, sequence, **changes):
        """Echo ``lease`` at ``name``; return the announcement and the new lease."""
        values = {"lease": lease, "sequence": sequence} | changes
        renewal = Announcement(
            **{f: getattr(announcement, f) for f in announcement.__struct_fields__}
            | values
        )
        reply = (await self.homes[name].announce(renewal)).unwrap()
        # Rows are published in the next iteration of the loop.
        await asyncio.sleep(0)
        return renewal, reply.lease

    def query(self, name="d1", home=None, server_id="s1", request="r", **changes):
        """Dispatch one group; return its replies, its end and the cancel closure."""
        values = dict(
            request_id=request,
            tenant="t",
            class_name="c",
            version="v1",
            revision=0,
            remaining_s=1.0,
            is_stale=False,
            groups=(ServerGroup(server_id, 1, "sheets", ("a",)),),
            query=b"{}",
        )
        replies, end = [], self.loop.create_future()
        cancel = self.homes[name].client.dispatch(
            home or name,
            ShardBatch(**(values | changes)),
            replies.append,
            lambda outcome: end.done() or end.set_result(outcome),
        )
        return replies, end, cancel

    async def query_code(self, *args, **kwargs):
        """Dispatch one group and return the code of its reply or of its failure."""
        replies, end, _ = self.query(*args, **kwargs)
        await end
        return replies[0].code if replies else end.result().err_value.code

    async def submit(self, name="d1", home=None, remaining_s=1.0, server_id="s1"):
        """Submit one operation and return the reply."""
        request = SubmitRequest(
            "x", "t", "c", 0, remaining_s, False, server_id, "sheets", "a", b"{}"
        )
        return await self.homes[name].client.submit(home or name, request)

    async def warm_up(self, name="d1", seconds=2.0, **changes):
        """Send pairs of queries for ``seconds``, so that the ramp rises."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            await asyncio.gather(
                *(self.query_code(name, request=f"w{i}", **changes) for i in range(2))
            )
