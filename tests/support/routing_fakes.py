"""Fake homes and ledger, and builders of test data, for tests of routing."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from msgspec.structs import replace
from result import Err, Ok

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import (
    DaemonRecord,
    ServerRecord,
    ServiceHolding,
    ServiceSpec,
)
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control import ledger as ledgers
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.failures import Failure
from bramleyrouter.homes.interfaces import HomeClient
from bramleyrouter.homes.messages import GroupReply, SubmitReply
from bramleyrouter.routing.messages import Query, ServiceTarget, Submission
from bramleyrouter.routing.router import build_router
from bramleyrouter.states import CoverageMode, DaemonState, Outcome, ServerState
from tests.support.identities import make_identity

NEWEST, OLDER = "v2", "v1"
# Current time of the ledger. A request ID such as "1-x" starts with the time of
# its creation in milliseconds, so it is 1 ms old.
LEDGER_NOW_MS = 2


def make_settings(**changes) -> Settings:
    """Return settings with a default for every value that routing reads."""
    cfg = Settings("entry-1", "dc1", "a:1", "a:2", "", "", ("a:3",))
    return msgspec.structs.replace(cfg, **changes)


def make_record(
    name, shards, versions=(OLDER, NEWEST), home=None, service="s", **changes
) -> ServerRecord:
    """Return the record of a ready server; its home defaults to "home-<name>"."""
    holding = ServiceHolding(service, dict.fromkeys(shards, tuple(versions)))
    ready, home = ServerState.READY, home or f"home-{name}"
    record = ServerRecord(
        name, 1, 1, "dc1", "127.0.0.1:9000", ready, 2, 20, (holding,), home, 1
    )
    return replace(record, **changes)


def put_servers(board: Board, *records) -> None:
    """Add or replace server records and notify the watchers."""
    board.servers.records.update({record.server_id: record for record in records})
    board.notify_watchers(Section.SERVERS)


def put_services(board: Board, *specs) -> None:
    """Replace the services of the manifest and notify the watchers."""
    board.config.services = {spec.name: spec for spec in specs}
    board.notify_watchers(Section.CONFIG)


def make_board(shards=("a", "b", "c"), replicas=2, versions=(OLDER, NEWEST)) -> Board:
    """Return a blackboard with service "s"; shard "a" is on "a0", "a1", and so on."""
    board = Board(make_identity("entry-1"))
    board.config.confirmed_at = float("inf")
    put_services(board, ServiceSpec("s", tuple(shards), tuple(versions)))
    places = [(shard, number) for shard in shards for number in range(replicas)]
    put_servers(board, *(make_record(f"{s}{n}", [s], versions) for s, n in places))
    return board


def make_query(coverage=CoverageMode.FULL, deadline=1.0, **changes) -> Query:
    """Return a query for all shards of service "s"."""
    targets = (ServiceTarget("s"),)
    query = Query("q1", "t", "default", deadline, targets, coverage, b"{}")
    return replace(query, **changes)


def make_submission(request_id="1-x", deadline=1.0, body=b"hold", **changes):
    """Return a submission to shard "a" of service "s"."""
    req = Submission(request_id, "t", "default", deadline, "s", "a", body)
    return replace(req, **changes)


def make_reply(batch, group, **changes) -> GroupReply:
    """Return a complete reply to a group; its results name server and version."""
    text = f"{group.server_id}@{batch.version}".encode()
    reply = GroupReply(group.server_id, group.attempt, batch.version, Code.OK)
    return replace(reply, **{"results": dict.fromkeys(group.shards, text), **changes})


def make_refusal(batch, group, code) -> GroupReply:
    """Return a reply with an error code and without results."""
    return make_reply(batch, group, code=code, results={})


@dataclass
class FakeHomes:
    """Simulate homes with programmed replies and failures.

    ``replies_by_server`` maps a server to a function of (batch, group) that
    returns pairs of a delay in seconds and a reply; other servers reply completely
    after ``delay_s``. ``batch_ends`` maps a home to the delay and the result with which
    its batches end. A home in ``unreachable`` accepts no batch.
    ``submit_steps`` maps a server to what happens to its submissions, one step
    after another; the last step is repeated. ``attempts`` counts the groups
    received, ``runs`` the executions of submissions by tenant, request ID and body.
    """

    delay_s: float = 0.005
    replies_by_server: dict = field(default_factory=dict)
    batch_ends: dict = field(default_factory=dict)
    unreachable: set = field(default_factory=set)
    submit_steps: dict = field(default_factory=dict)
    batches: list = field(default_factory=list)
    cancelled: int = 0
    attempts: int = 0
    runs: Counter = field(default_factory=Counter)

    def list_contacted_servers(self):
        """Return the servers that received a group, in order."""
        return [group.server_id for _, b in self.batches for group in b.groups]

    def dispatch(self, home, batch, on_reply, on_end):
        """Stand in for ``HomeClient.dispatch``."""
        loop = asyncio.get_running_loop()
        if home in self.unreachable:
            loop.call_soon(on_end, Err(Failure(Code.PEER_UNREACHABLE, "unreachable")))
            return lambda: None
        self.batches.append((home, batch))
        self.attempts += len(batch.groups)
        timers, last = [], 0.0
        for group in batch.groups:
            replies = [(self.delay_s, make_reply(batch, group))]
            if group.server_id in self.replies_by_server:
                replies = self.replies_by_server[group.server_id](batch, group)
            for delay, reply in replies:
                timers.append(loop.call_later(delay, on_reply, reply))
                last = max(last, delay)
        # Timers that are due at the same time may fire in any order.
        after, result = self.batch_ends.get(home, (last + 1e-6, Ok(None)))
        if after is not None:
            timers.append(loop.call_later(after, on_end, result))

        def cancel():
            self.cancelled += 1
            for timer in timers:
                timer.cancel()

        return cancel

    async def submit(self, home, req):
        """Stand in for ``HomeClient.submit``."""
        planned = self.submit_steps.get(req.server_id, ["ok"])
        step = planned.pop(0) if len(planned) > 1 else planned[0]
        await asyncio.sleep(self.delay_s)
        if step == "refuse":
            return SubmitReply(Outcome.NOT_RUN, Code.QUEUE_FULL, "queue full")
        if step == "lost before":
            return SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, "lost")
        self.runs[(req.tenant, req.request_id, req.operation)] += 1
        if step == "lost after":
            return SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, "lost")
        if step == "silent":
            await asyncio.sleep(1000)
        return SubmitReply(Outcome.DONE, Code.OK, "", b"placed " + req.operation)

    def build_client(self):
        """Return a client of these homes."""
        return HomeClient(self.dispatch, self.submit)


@dataclass
class FakeLedger:
    """Run the real ledger state machine behind calls that can be lost.

    ``claim_losses`` and ``settle_losses`` have one entry for each call: "request"
    (the request is lost), "reply" (the command is applied, but the reply is lost)
    or "" (no loss). Later calls succeed. While ``is_down``, all calls fail.
    """

    ledger: ledgers.Ledger = field(default_factory=ledgers.Ledger)
    claim_losses: list = field(default_factory=list)
    settle_losses: list = field(default_factory=list)
    is_down: bool = False

    async def _call(self, losses, apply, request):
        loss = losses.pop(0) if losses else ""
        await asyncio.sleep(0.002)
        if not self.is_down and loss != "request":
            result = apply(self.ledger, request, LEDGER_NOW_MS)
            if loss != "reply":
                return Ok(result)
        return Err(Failure(Code.LEDGER_UNREACHABLE, "no leader"))

    async def claim(self, claim, timeout_s):
        """Stand in for ``ControlClient.claim``."""
        return await self._call(self.claim_losses, ledgers.claim, claim)

    async def settle(self, settle, timeout_s):
        """Stand in for ``ControlClient.settle``."""
        return await self._call(self.settle_losses, ledgers.settle, settle)

    def get_outcome(self, request_id="1-x"):
        """Return the outcome of a submission in the ledger."""
        return self.ledger.records[("t", request_id)].outcome

    def build_client(self):
        """Return a client of this ledger, without the calls of operators."""
        return ControlClient(None, self.claim, self.settle, None)


def start_router(board, homes, ledger=None, seed=1, observer=None, **settings):
    """Return a router that uses the fakes; requires a running event loop."""
    return build_router(
        board,
        homes.build_client() if isinstance(homes, FakeHomes) else homes,
        (ledger or FakeLedger()).build_client(),
        make_settings(**settings),
        asyncio.get_running_loop().time,
        random.Random(seed),
        observer,
    )


def put_daemon(board, name, incarnation=1, state=DaemonState.ALIVE):
    """Add the record of an entry daemon to the blackboard."""
    record = DaemonRecord(name, incarnation, "dc1", "a:1", "a:2", state)
    board.daemons.records[name] = record
