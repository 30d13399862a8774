"""HTTP handlers of a stand-in server."""

import asyncio

import msgspec
from tornado.web import RequestHandler

from bramleyrouter.edges.servers.formats import (
    CANCELLED_CODE,
    NOT_RUN_CODE,
    NOT_RUN_STATUS,
    CancelBody,
    HealthBody,
    LoadBody,
    QueryBody,
    ServerErrorBody,
    SubmitBody,
)
from bramleyrouter.standins.behaviours import draw_latency
from bramleyrouter.standins.servers import StandinState
from bramleyrouter.states import ServerState

_query_decoder = msgspec.json.Decoder(QueryBody)
_submit_decoder = msgspec.json.Decoder(SubmitBody)
_cancel_decoder = msgspec.json.Decoder(CancelBody)


class _StandinHandler(RequestHandler):
    _running: asyncio.Future | None = None

    def initialize(self, state: StandinState):
        """Take the stand-in's state."""
        self._state = state

    def on_connection_close(self):
        """Stop the work that nobody waits for."""
        if self._running is not None and not self._running.done():
            self._running.set_result(CANCELLED_CODE)

    def write_json(self, value, status: int = 200) -> None:
        """Write ``value`` as JSON, or half of it under the half-reply fault."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if self._state.behaviour.faults.closes_after_reply:
            self.set_header("Connection", "close")
        self.finish(msgspec.json.encode(value))

    def write_half(self, value) -> None:
        """Announce the whole length, send half and close."""
        body = msgspec.json.encode(value)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        stream = self.detach()
        stream.write(head.encode() + body[: len(body) // 2])
        stream.close()

    def refuse(self, reason: str) -> None:
        """Say that the request did not run."""
        self._state.metrics.refused += 1
        faults = self._state.behaviour.faults
        body = ServerErrorBody(
            NOT_RUN_CODE, reason, faults.says_leaving, faults.retry_after_s
        )
        self.write_json(body, NOT_RUN_STATUS)

    def find_refusal(self, incarnation: int, registration: int) -> str | None:
        """Return why a request is refused before it runs."""
        state = self._state
        announcer, faults = state.announcer, state.behaviour.faults
        if incarnation != announcer.incarnation:
            return "other_incarnation"
        if registration < announcer.registration:
            return "old_home"
        if announcer.server_state is ServerState.DRAINING:
            return "draining"
        if faults.refuses or state.rng.random() < faults.refusal_share:
            return "overloaded"
        if state.behaviour.sheds and state.busy >= state.behaviour.slots:
            return "no_free_slot"
        return None

    async def work(self, key: tuple[str, int], deadline_ms: int) -> str:
        """Wait for a slot, take as long as a request takes; return how it ended."""
        state = self._state
        loop = asyncio.get_running_loop()
        until = loop.time() + deadline_ms / 1000
        while state.busy >= state.behaviour.slots:
            waiter = loop.create_future()
            state.waiters.append(waiter)
            await waiter
        state.busy += 1
        self._running = state.running[key] = loop.create_future()
        try:
            seconds = draw_latency(state.behaviour, state.busy, state.rng)
            left_s = until - loop.time()
            try:
                return await asyncio.wait_for(self._running, min(seconds, left_s))
            except TimeoutError:
                return "served" if seconds <= left_s else "deadline"
        finally:
            state.busy -= 1
            state.running.pop(key, None)
            if state.waiters:
                state.waiters.pop(0).set_result(None)

    async def post(self):
        """Count the request while it is under way."""
        with _counted(self._state):
            await self.handle()

    async def handle(self):
        """Do the work of one request."""
        raise NotImplementedError


class _counted:
    """Count a request as in flight inside a ``with`` block."""

    def __init__(self, state: StandinState):
        self._metrics = state.metrics

    def __enter__(self):
        metrics = self._metrics
        metrics.in_flight += 1
        metrics.peak_in_flight = max(metrics.peak_in_flight, metrics.in_flight)

    def __exit__(self, *_):
        self._metrics.in_flight -= 1


class QueryHandler(_StandinHandler):
    """Serve ``POST /shards/query``."""

    async def handle(self):
        """Answer with one result for each shard."""
        state = self._state
        body = _query_decoder.decode(self.request.body)
        reason = self.find_refusal(body.incarnation, body.registration)
        if reason is None and not _holds(state, body):
            reason = "version_not_held"
        if reason is not None:
            self.refuse(reason)
            return
        state.metrics.last_work_at = asyncio.get_running_loop().time()
        ended = await self.work((body.request_id, body.attempt), body.deadline_ms)
        if ended == CANCELLED_CODE:
            state.metrics.cancelled += 1
            self.write_json(ServerErrorBody(CANCELLED_CODE, "asked to"), 409)
        elif ended == "deadline":
            self.write_json(ServerErrorBody("deadline", "the deadline passed"), 504)
        else:
            state.metrics.served += 1
            self._reply(body)

    def _reply(self, body: QueryBody) -> None:
        faults, rng = self._state.behaviour.faults, self._state.rng
        if rng.random() < faults.error_share:
            self.write_json(ServerErrorBody("error", "an injected error"), 500)
            return
        reply = {
            "request_id": body.request_id,
            "attempt": body.attempt,
            "version": body.version,
            "results": {
                shard: {
                    "server": self._state.announcer.server_id,
                    "shard": shard,
                    "version": body.version,
                    # Shows the checkers whose answer this is.
                    "query": body.query,
                }
                for shard in body.shards
            },
            "leaving": faults.says_leaving,
        }
        if rng.random() < faults.wrong_identity_share:
            reply["request_id"] = body.request_id + "-other"
        if rng.random() < faults.wrong_version_share:
            reply["version"] = body.version + "-other"
        if rng.random() < faults.half_reply_share:
            self.write_half(reply)
        else:
            self.write_json(reply)


def _holds(state: StandinState, body: QueryBody) -> bool:
    for holding in state.behaviour.holdings:
        if holding.service == body.service:
            return all(
                body.version in holding.shards.get(shard, ()) for shard in body.shards
            )
    return False


class SubmitHandler(_StandinHandler):
    """Serve ``POST /shards/submit``."""

    async def handle(self):
        """Run the operation and count it by its request id."""
        state = self._state
        body = _submit_decoder.decode(self.request.body)
        reason = self.find_refusal(body.incarnation, body.registration)
        if reason is not None:
            self.refuse(reason)
            return
        runs = state.metrics.runs
        runs[body.request_id] = runs.get(body.request_id, 0) + 1
        state.metrics.last_work_at = asyncio.get_running_loop().time()
        await self.work((body.request_id, 0), body.deadline_ms)
        answer = {"run": runs[body.request_id], "operation": body.operation}
        reply = {
            "request_id": body.request_id,
            "answer": answer,
            "leaving": state.behaviour.faults.says_leaving,
        }
        if state.rng.random() < state.behaviour.faults.half_reply_share:
            self.write_half(reply)
        else:
            self.write_json(reply)


class CancelHandler(_StandinHandler):
    """Serve ``POST /shards/cancel``; it takes no slot."""

    async def post(self):
        """Stop a running query."""
        body = _cancel_decoder.decode(self.request.body)
        fut = self._state.running.get((body.request_id, body.attempt))
        ignores = self._state.behaviour.faults.ignores_cancel
        if fut is not None and not fut.done() and not ignores:
            fut.set_result(CANCELLED_CODE)
        self.write_json({})


class HealthHandler(_StandinHandler):
    """Serve ``GET /health``."""

    def get(self):
        """Say what the faults want said."""
        with _counted(self._state):
            self._state.metrics.probes += 1
            is_healthy = not self._state.behaviour.faults.says_unhealthy
            self.write_json(HealthBody(is_healthy))


class LoadHandler(_StandinHandler):
    """Serve ``GET /load``."""

    def get(self):
        """Say how much is under way, or what the faults want said."""
        state = self._state
        with _counted(state):
            queued = state.behaviour.faults.says_queued or len(state.waiters)
            self.write_json(LoadBody(state.busy, queued))


def build_standin_endpoints(state: StandinState) -> list[tuple]:
    """Return the routes of a stand-in."""
    options = {"state": state}
    return [
        ("/shards/query", QueryHandler, options),
        ("/shards/submit", SubmitHandler, options),
        ("/shards/cancel", CancelHandler, options),
        ("/health", HealthHandler, options),
        ("/load", LoadHandler, options),
    ]
