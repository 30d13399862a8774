"""Construction of the query path from its parts."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Result

from bramleyrouter.board import Board
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.failures import Failure
from bramleyrouter.homes.interfaces import HomeClient
from bramleyrouter.routing.contexts import Context, build_context
from bramleyrouter.routing.decisions import build_recent_decisions
from bramleyrouter.routing.interfaces import Decision, Router
from bramleyrouter.routing.messages import (
    Answer,
    Query,
    Submission,
    SubmissionAnswer,
)
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.routing.queries import QueryRun, execute_query
from bramleyrouter.routing.submissions import (
    SubmissionState,
    drain_submissions,
    execute_submission,
)
from bramleyrouter.routing.version_choice import resolve_targets
from bramleyrouter.states import Outcome

DRAIN_POLL_S = 0.01


def build_router(
    board: Board,
    home_client: HomeClient,
    control_client: ControlClient,
    cfg: Settings,
    clock: Callable[[], float],
    rng: random.Random,
    observer: RoutingObserver | None = None,
) -> Router:
    """Return the query path with the given blackboard and clients.

    ``clock`` returns loop time in seconds.
    """
    observer = observer or RoutingObserver()
    ctx = build_context(board, home_client, control_client, cfg, clock, rng, observer)
    decisions = build_recent_decisions(cfg.recent_decisions)
    submissions = SubmissionState()
    running = 0

    async def run_query(
        req: Query, started_runs: list[QueryRun]
    ) -> Result[Answer, Failure]:
        requested = resolve_targets(ctx.index, req.targets)
        if isinstance(requested, Err):
            return requested
        admitted = await ctx.admission.admit(req)
        if isinstance(admitted, Err):
            code = admitted.err_value.code
            observer.refused(req.tenant, req.class_name, code)
            return admitted
        try:
            return await execute_query(ctx, req, requested.ok_value, started_runs)
        finally:
            admitted.ok_value(bool(started_runs) and started_runs[0].has_drops)

    async def query(req: Query) -> Result[Answer, Failure]:
        nonlocal running
        started, started_runs = clock(), []  # type: tuple[float, list[QueryRun]]
        running += 1
        try:
            result = await run_query(req, started_runs)
        finally:
            running -= 1
        _report_query(ctx, req, result, started)
        decisions.record(
            lambda: _build_query_decision(req, result, started_runs, started, clock())
        )
        return result

    async def submit(req: Submission) -> SubmissionAnswer:
        nonlocal running
        started = clock()
        running += 1
        try:
            answer = await execute_submission(ctx, submissions, req)
        finally:
            running -= 1
        latency = clock() - started
        observer.submission_finished(req.tenant, req.class_name, answer.code, latency)
        decisions.record(
            lambda: _build_submission_decision(req, answer, started, latency)
        )
        return answer

    async def drain() -> None:
        while running:
            await asyncio.sleep(DRAIN_POLL_S)
        await drain_submissions(submissions)

    return Router(query, submit, decisions.recent, drain)


def _report_query(
    ctx: Context, req: Query, result: Result[Answer, Failure], started: float
) -> None:
    code, share = Code.OK, 0.0
    if isinstance(result, Err):
        code = result.err_value.code
    else:
        answer = result.ok_value
        total = len(answer.included) + len(answer.missing)
        share = len(answer.included) / total if total else 1.0
    latency = ctx.clock() - started
    ctx.observer.query_finished(req.tenant, req.class_name, code, latency, share)


def _build_query_decision(
    req: Query,
    result: Result[Answer, Failure],
    runs: list[QueryRun],
    started: float,
    ended: float,
) -> Decision:
    run = runs[0] if runs else None
    notes = list(run.notes) if run else []
    code, missing, version = Code.OK, 0, run.current_pass.version if run else ""
    if isinstance(result, Err):
        code = result.err_value.code
        missing = len(run.keys) - len(run.current_pass.results) if run else 0
        notes.append(result.err_value.text)
    else:
        version, missing = result.ok_value.version, len(result.ok_value.missing)
    return Decision(
        request_id=req.request_id,
        tenant=req.tenant,
        class_name=req.class_name,
        at_s=started,
        code=int(code),
        version=version,
        latency_s=ended - started,
        shards=len(run.keys) if run else 0,
        missing=missing,
        hedges=run.hedges if run else 0,
        retries=run.retries if run else 0,
        servers=tuple(run.servers) if run else (),
        notes=tuple(notes),
    )


def _build_submission_decision(
    req: Submission, answer: SubmissionAnswer, started: float, latency: float
) -> Decision:
    is_done = answer.outcome is Outcome.DONE
    return Decision(
        request_id=req.request_id,
        tenant=req.tenant,
        class_name=req.class_name,
        at_s=started,
        code=int(answer.code),
        version="",
        latency_s=latency,
        shards=1,
        missing=0 if is_done else 1,
        hedges=0,
        retries=0,
        servers=(),
        notes=(f"outcome {answer.outcome.value}",),
    )
