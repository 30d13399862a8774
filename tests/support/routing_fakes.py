"""Fakes of the homes, the ledger and the blackboard for tests of routing."""

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
# The ledger's time; identities such as "1-x" were created a moment before.
LEDGER_NOW_MS = 2


def make_settings(**changes) -> Settings:
    """Return settings with defaults for all that routing reads."""
    cfg = Settings("entry-1", "dc1", "a:1", "a:2", "", "", ("a:3",))
    return msgspec.structs.replace(cfg, **changes)


def make_record(
    name, shards, versions=(OLDER, NEWEST), home=None, service="s", **changes
) -> ServerRecord:
    """Return a ready server; its home is "home-" and its name by default."""
    holding = ServiceHolding(service, dict.fromkeys(shards, tuple(versions)))
    ready, home = ServerState.READY, home or f"home-{name}"
    record = ServerRecord(
        name, 1, 1, "dc1", "127.0.0.1:9000", ready, 2, 20, (holding,), home, 1
    )
    return replace(record, **changes)


def put_servers(board: Board, *records) -> None:
    """Add or replace records and tell the watchers."""
    board.servers.records.update({record.server_id: record for record in records})
    board.notify_watchers(Section.SERVERS)


def put_services(board: Board, *specs) -> None:
    """Replace the manifest's services and tell the watchers."""
    board.config.services = {spec.name: spec for spec in specs}
    board.notify_watchers(Section.CONFIG)


def make_board(shards=("a", "b", "c"), replicas=2, versions=(OLDER, NEWEST)) -> Board:
    """Return a board with service "s": each shard on servers "a0", "a1", ..."""
    board = Board(make_identity("entry-1"))
    board.config.confirmed_at = float("inf")
    put_services(board, ServiceSpec("s", tuple(shards), tuple(versions)))
    places = [(shard, number) for shard in shards for number in range(replicas)]
    put_servers(board, *(make_record(f"{s}{n}", [s], versions) for s, n in places))
    return board


def make_query(coverage=CoverageMode.FULL, deadline=1.0, **changes) -> Query:
    """Return a query to all of service "s"."""
    targets = (ServiceTarget("s"),)
    query = Query("q1", "t", "default", deadline, targets, coverage, b"{}")
    return replace(query, **changes)


def make_submission(request_id="1-x", deadline=1.0, body=b"hold", **changes):
    """Return a submission to shard "a" of service "s"."""
    req = Submission(request_id, "t", "default", deadline, "s", "a", body)
    return replace(req, **changes)


def make_reply(batch, group, **changes) -> GroupReply:
    """Return the whole reply to a group; results name server and version."""
    text = f"{group.server_id}@{batch.version}".encode()
    reply = GroupReply(group.server_id, group.attempt, batch.version, Code.OK)
    return replace(reply, **{"results": dict.fromkeys(group.shards, text), **changes})


def make_refusal(batch, group, code) -> GroupReply:
    """Return a reply without results."""
    return make_reply(batch, group, code=code, results={})


@dataclass
class FakeHomes:
    """Hold programmable homes.

    ``answers`` maps a server to a function of (batch, group) that returns
    pairs of a delay in seconds and a reply; others reply whole after
    ``delay_s``. ``ends`` maps a home to how and after how long its batches
    end; a home in ``unreachable`` takes nothing. ``submits`` holds, by server,
    replies to submissions; a string names a loss point. ``runs`` counts what
    ran, by identity and body.
    """

    delay_s: float = 0.005
    answers: dict = field(default_factory=dict)
    batch_ends: dict = field(default_factory=dict)
    unreachable: set = field(default_factory=set)
    submit_steps: dict = field(default_factory=dict)
    batches: list = field(default_factory=list)
    cancelled: int = 0
    requests: int = 0
    runs: Counter = field(default_factory=Counter)

    def list_asked_servers(self):
        """Return the servers asked, in order."""
        return [group.server_id for _, b in self.batches for group in b.groups]

    def dispatch(self, home, batch, on_reply, on_end):
        """Take a batch as ``HomeClient.dispatch`` does."""
        loop = asyncio.get_running_loop()
        if home in self.unreachable:
            loop.call_soon(on_end, Err(Failure(Code.PEER_UNREACHABLE, "unreachable")))
            return lambda: None
        self.batches.append((home, batch))
        self.requests += len(batch.groups)
        timers, last = [], 0.0
        for group in batch.groups:
            replies = [(self.delay_s, make_reply(batch, group))]
            if group.server_id in self.answers:
                replies = self.answers[group.server_id](batch, group)
            for delay, reply in replies:
                timers.append(loop.call_later(delay, on_reply, reply))
                last = max(last, delay)
        # The loop does not keep the order of timers that are due together.
        after, end = self.batch_ends.get(home, (last + 1e-6, Ok(None)))
        if after is not None:
            timers.append(loop.call_later(after, on_end, end))

        def cancel():
            self.cancelled += 1
            for timer in timers:
                timer.cancel()

        return cancel

    async def submit(self, home, req):
        """Take a submission as ``HomeClient.submit`` does."""
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

    def client(self):
        """Return the interface."""
        return HomeClient(self.dispatch, self.submit)


@dataclass
class FakeLedger:
    """Hold the ledger's real state machine behind calls that can be lost.

    The lists of losses name, call by call, "request" (never arrives), "reply"
    (acts, and the reply is lost) or "" (works); then all calls work.
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
        """Take a claim as ``ControlClient.claim`` does."""
        return await self._call(self.claim_losses, ledgers.claim, claim)

    async def settle(self, settle, timeout_s):
        """Take a settlement as ``ControlClient.settle`` does."""
        return await self._call(self.settle_losses, ledgers.settle, settle)

    def get_outcome(self, request_id="1-x"):
        """Return what the ledger holds of a submission."""
        return self.ledger.records[("t", request_id)].outcome

    def client(self):
        """Return the interface; operators' calls are not used here."""
        return ControlClient(None, self.claim, self.settle, None)


def start_router(board, homes, ledger=None, seed=1, observer=None, **settings):
    """Return a router over the fakes; call it inside the running loop."""
    return build_router(
        board,
        homes.client() if isinstance(homes, FakeHomes) else homes,
        (ledger or FakeLedger()).client(),
        make_settings(**settings),
        asyncio.get_running_loop().time,
        random.Random(seed),
        observer,
    )


def put_daemon(board, name, incarnation=1, state=DaemonState.ALIVE):
    """Make a daemon known to the board."""
    record = DaemonRecord(name, incarnation, "dc1", "a:1", "a:2", state)
    board.daemons.records[name] = record
