"""Fakes of the homes, the ledger and the blackboard for tests of routing."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

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
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.control.messages import ClaimResult
from bramleyrouter.failures import Failure
from bramleyrouter.homes.interfaces import HomeClient
from bramleyrouter.homes.messages import GroupReply, SubmitReply
from bramleyrouter.ids import DaemonId, DaemonIncarnation
from bramleyrouter.routing.messages import Query, ServiceTarget, Submission
from bramleyrouter.routing.router import build_router
from bramleyrouter.states import CoverageMode, DaemonState, Outcome, ServerState
from tests.support.identities import make_identity

NEWEST, OLDER = "v2", "v1"


def make_settings(**changes) -> Settings:
    """Return settings with defaults for all that routing reads."""
    needed = {
        "daemon_id": "entry-1",
        "data_centre": "dc1",
        "internal_address": "127.0.0.1:7000",
        "http_address": "127.0.0.1:8000",
        "cluster_key": "c" * 32,
        "operator_token": "o" * 32,
        "control": ("127.0.0.1:7100",),
    }
    return Settings(**{**needed, **changes})


def make_record(
    name, shards, versions=(OLDER, NEWEST), home=None, service="s", **changes
) -> ServerRecord:
    """Return a ready server; its home is "home-" and its name by default."""
    holding = ServiceHolding(service, dict.fromkeys(shards, tuple(versions)))
    values = dict(
        server_id=name,
        incarnation=1,
        registration=1,
        data_centre="dc1",
        address="127.0.0.1:9000",
        state=ServerState.READY,
        slots=2,
        connection_limit=20,
        holdings=(holding,),
        home=home or f"home-{name}",
        home_incarnation=1,
    )
    return ServerRecord(**{**values, **changes})


def put_servers(board: Board, *records) -> None:
    """Add or replace records and tell the watchers."""
    for record in records:
        board.servers.records[record.server_id] = record
    board.touch(Section.SERVERS)


def put_services(board: Board, *specs) -> None:
    """Replace the manifest's services and tell the watchers."""
    board.config.services = {spec.name: spec for spec in specs}
    board.touch(Section.CONFIG)


def make_board(shards=("a", "b", "c"), replicas=2, versions=(OLDER, NEWEST)) -> Board:
    """Return a board with service "s": each shard on servers "a0", "a1", ..."""
    board = Board(make_identity("entry-1"))
    board.config.confirmed_at = float("inf")
    put_services(board, ServiceSpec("s", tuple(shards), tuple(versions)))
    put_servers(
        board,
        *(
            make_record(f"{shard}{number}", [shard], versions)
            for shard in shards
            for number in range(replicas)
        ),
    )
    return board


def make_query(coverage=CoverageMode.FULL, deadline=1.0, shards=(), **changes):
    """Return a query to service "s"."""
    values = dict(
        request_id="q1",
        tenant="t",
        class_name="default",
        deadline=deadline,
        targets=(ServiceTarget("s", tuple(shards)),),
        coverage=coverage,
        body=b"{}",
    )
    return Query(**{**values, **changes})


def make_submission(request_id="1-x", deadline=1.0, body=b"hold", **changes):
    """Return a submission to shard "a" of service "s"."""
    values = dict(tenant="t", class_name="default", service="s", shard="a")
    return Submission(
        request_id=request_id, deadline=deadline, body=body, **{**values, **changes}
    )


def ok_reply(batch, group, **changes) -> GroupReply:
    """Return the whole reply to a group; results name server and version."""
    text = f"{group.server_id}@{batch.version}".encode()
    values = dict(
        server_id=group.server_id,
        attempt=group.attempt,
        version=batch.version,
        code=Code.OK,
        results=dict.fromkeys(group.shards, text),
    )
    return GroupReply(**{**values, **changes})


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
    ends: dict = field(default_factory=dict)
    unreachable: set = field(default_factory=set)
    submits: dict = field(default_factory=dict)
    batches: list = field(default_factory=list)
    cancelled: int = 0
    requests: int = 0
    runs: Counter = field(default_factory=Counter)

    def asked(self):
        """Return the servers asked, in order."""
        return [group.server_id for _, b in self.batches for group in b.groups]

    def dispatch(self, home, batch, on_reply, on_end):
        """Take a batch as ``HomeClient.dispatch`` does."""
        loop = asyncio.get_running_loop()
        if home in self.unreachable:
            failure = Failure(Code.PEER_UNREACHABLE, "unreachable")
            loop.call_soon(on_end, Err(failure))
            return lambda: None
        self.batches.append((home, batch))
        timers, last = [], 0.0
        for group in batch.groups:
            self.requests += 1
            answer = self.answers.get(group.server_id)
            replies = (
                answer(batch, group)
                if answer
                else [(self.delay_s, ok_reply(batch, group))]
            )
            for delay, reply in replies:
                timers.append(loop.call_later(delay, on_reply, reply))
                last = max(last, delay)
        # The loop does not keep the order of timers that are due together.
        after, end = self.ends.get(home, (last + 1e-6, Ok(None)))
        if after is not None:
            timers.append(loop.call_later(after, on_end, end))

        def cancel():
            self.cancelled += 1
            for timer in timers:
                timer.cancel()

        return cancel

    async def submit(self, home, req):
        """Take a submission as ``HomeClient.submit`` does."""
        planned = self.submits.get(req.server_id, ["ok"])
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
    """Hold a ledger with the rules of the design page.

    ``losses`` lists, call by call, "request" (never arrives), "reply" (acts,
    and the reply is lost) or "" (works); then all work.
    """

    records: dict = field(default_factory=dict)
    claim_losses: list = field(default_factory=list)
    settle_losses: list = field(default_factory=list)
    is_down: bool = False
    delay_s: float = 0.002

    async def _pass(self, losses, act):
        loss = losses.pop(0) if losses else ""
        await asyncio.sleep(self.delay_s)
        unreachable = Err(Failure(Code.LEDGER_UNREACHABLE, "no leader"))
        if self.is_down or loss == "request":
            return unreachable
        result = act()
        return unreachable if loss == "reply" else result

    async def claim(self, claim, timeout_s):
        """Take a claim as ``ControlClient.claim`` does."""
        return await self._pass(self.claim_losses, lambda: self._claim(claim))

    async def settle(self, settle, timeout_s):
        """Take a settlement as ``ControlClient.settle`` does."""
        return await self._pass(self.settle_losses, lambda: self._settle(settle))

    def _claim(self, claim):
        key = (claim.tenant, claim.request_id)
        first, outcome = self.records.get(key, (None, None))
        if first is not None and first.body_digest != claim.body_digest:
            reused = Failure(Code.IDENTITY_REUSED, "another body")
            return Ok(ClaimResult(False, failure=reused))
        is_free = first is None or (
            outcome is not None and outcome.outcome is Outcome.NOT_RUN
        )
        if is_free and (first is None or first.attempt_token != claim.attempt_token):
            self.records[key] = (claim, None)
            return Ok(ClaimResult(True, claim.claimant, claim.claimant_incarnation))
        owner = (first.claimant, first.claimant_incarnation)
        if outcome is not None:
            done = (outcome.outcome, outcome.code, outcome.answer)
            return Ok(ClaimResult(False, *owner, *done))
        return Ok(ClaimResult(first.attempt_token == claim.attempt_token, *owner))

    def _settle(self, settle):
        key = (settle.tenant, settle.request_id)
        first, outcome = self.records.get(key, (None, None))
        if first is None or first.attempt_token != settle.attempt_token:
            return Err(Failure(Code.IDENTITY_REUSED, "not the claimant"))
        if outcome is None:
            self.records[key] = (first, settle)
        return Ok(None)

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
    board.daemons.records[DaemonId(name)] = DaemonRecord(
        DaemonId(name), DaemonIncarnation(incarnation), "dc1", "a:1", "a:2", state
    )
