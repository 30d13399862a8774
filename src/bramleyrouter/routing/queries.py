"""Execution of one query: requests out, replies matched, one answer."""

import asyncio

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.budgets import charge, earn
from bramleyrouter.routing.contexts import Context
from bramleyrouter.routing.coverage import build_answer, check_reply, refuse_partial
from bramleyrouter.routing.dispatches import (
    Handlers,
    cancel_losers,
    close_pass,
    dispatch,
    end_answered,
    end_failed,
    plan_step,
)
from bramleyrouter.routing.hedge_rounds import schedule_hedges
from bramleyrouter.routing.hedging import typical_latency
from bramleyrouter.routing.limits import note_query, note_request
from bramleyrouter.routing.messages import Answer, Query
from bramleyrouter.routing.plans import Attempt, ShardProgress
from bramleyrouter.routing.replicas import NO_MAX_LOAD
from bramleyrouter.routing.retries import RetryKind, classify, may_retry, query_units
from bramleyrouter.routing.runs import Batch, Pass, Run
from bramleyrouter.routing.snapshots import (
    VersionChoice,
    Wanted,
    choose_version,
    list_keys,
)
from bramleyrouter.states import CoverageMode

# Time kept back from the deadline for the answer's way to the caller: a share
# of what is left, and at most so many seconds.
ANSWER_MARGIN_SHARE = 0.1
MAX_ANSWER_MARGIN_S = 0.005
# Times that a query may start again on another version.
MAX_RESTARTS = 2


async def execute_query(
    ctx: Context, query: Query, wanted: list[Wanted], run_out: list[Run]
) -> Result[Answer, Failure]:
    """Run an admitted query and return its answer by the deadline.

    The run is put into ``run_out``, for the record of decisions. A cancelled
    caller cancels every request that is still out.
    """
    started = ctx.clock()
    choice = choose_version(ctx.index, wanted)
    if choice is None:
        text = "No index version is permitted for all services of the query."
        return Err(Failure(Code.NO_VERSION, text))
    if choice.covered == 0:
        text = "No usable server holds any of the query's shards."
        return Err(Failure(Code.NO_SERVER, text))
    left = query.deadline - started
    if left <= 0:
        return Err(Failure(Code.DEADLINE_PASSED, "The deadline passed while waiting."))
    loop = asyncio.get_running_loop()
    keys = list_keys(ctx.index, wanted)
    margin = min(MAX_ANSWER_MARGIN_S, left * ANSWER_MARGIN_SHARE)
    answer_by = query.deadline - margin
    run = Run(query, wanted, keys, answer_by, loop.create_future(), _new_pass(choice))
    run_out.append(run)
    timer = loop.call_later(left - margin, _finish, run)
    try:
        _start_pass(ctx, run, started)
        await run.done
    finally:
        timer.cancel()
        _note_outcome(ctx, run)
        close_pass(ctx, run.current)
    return _conclude(ctx, run)


def _new_pass(choice: VersionChoice) -> Pass:
    return Pass(choice.version, {})


def _start_pass(ctx: Context, run: Run, started: float) -> None:
    """Plan and send; ``started`` is when the choice of the version began."""
    current = run.current
    run.tried_versions.add(current.version)
    current.open_shards = {key: ShardProgress(key) for key in run.keys}
    attempts = plan_step(ctx, run, current.open_shards.values())
    ctx.observer.decided(ctx.clock() - started, len(attempts))
    run.retry_units = max(
        run.retry_units, query_units(ctx.cfg.retry_budget, len(attempts))
    )
    earn(ctx.hedge_bucket, len(attempts))
    earn(ctx.retry_budget.bucket, len(attempts))
    dispatch(ctx, run, attempts, HANDLERS)
    if run.current is current:
        schedule_hedges(ctx, run, attempts, HANDLERS)
        _check_done(ctx, run)


def _is_open(run: Run, current: Pass, batch: Batch) -> bool:
    return not (batch.is_ended or run.done.done()) and current is run.current


def _on_reply(
    ctx: Context, run: Run, current: Pass, batch: Batch, reply: GroupReply
) -> None:
    """Count a reply, unless its request has ended or never was."""
    attempt = batch.attempts.get(reply.attempt)
    if attempt is None or not _is_open(run, current, batch):
        return
    shards = [progress.key.shard for progress in attempt.shards]
    code = check_reply(reply, current.version, attempt.view.record.server_id, shards)
    if reply.server_id != attempt.view.record.server_id:
        # Another server's reply says nothing of this request; its own may come.
        attempt.has_crossed_reply = True
        return
    if code is Code.OK:
        end_answered(ctx, run, batch, attempt, reply)
        has_rivals = False
        for progress in attempt.shards:
            if current.open_shards.pop(progress.key, None) is not None:
                shard = progress.key.shard
                current.results[progress.key] = reply.results[shard]
            has_rivals |= progress.live > 0
        if has_rivals:
            cancel_losers(ctx, current)
    else:
        end_failed(ctx, run, batch, attempt, code, reply)
        _handle_failures(ctx, run, [(attempt, code)])
    _check_done(ctx, run)


def _on_end(
    ctx: Context, run: Run, current: Pass, batch: Batch, end: Result[None, Failure]
) -> None:
    """Fail the requests of a batch that ended without their replies."""
    if not _is_open(run, current, batch):
        return
    batch.is_ended = True
    code = Code.SHARD_CONNECTION_LOST
    if isinstance(end, Err):
        code = Code.SHARD_HOME_LOST
        if end.err_value.code is Code.PEER_UNREACHABLE:
            code = Code.PEER_UNREACHABLE
        logging.info("routing: batch to home %s failed: %s", batch.home, end.err_value)
    failed = []
    for attempt in list(batch.attempts.values()):
        own = Code.SHARD_WRONG_IDENTITY if attempt.has_crossed_reply else code
        end_failed(ctx, run, batch, attempt, own)
        failed.append((attempt, own))
    if failed:
        _handle_failures(ctx, run, failed)
        _check_done(ctx, run)


def _handle_failures(
    ctx: Context, run: Run, failed: list[tuple[Attempt, Code]]
) -> None:
    """Send what failed elsewhere if the budgets permit, or give it up.

    Requests that were lost with their home count as one: the home's loss took
    their load off its servers.
    """
    current = run.current
    again: dict[RetryKind, tuple[Attempt, Code, list[ShardProgress]]] = {}
    for attempt, code in failed:
        kind = classify(code)
        for progress in attempt.shards:
            if progress.key not in current.open_shards:
                continue
            current.reasons[progress.key] = code
            if progress.live == 0:
                again.setdefault(kind, (attempt, code, []))[2].append(progress)
    for kind, (attempt, code, shards) in again.items():
        left = run.answer_by - ctx.clock()
        typical = typical_latency(ctx.latencies, attempt.service)
        if may_retry(kind, ctx.retry_budget, run.retry_units, left, typical):
            _retry(ctx, run, kind, code, shards)
        else:
            for progress in shards:
                current.open_shards.pop(progress.key, None)


def _retry(
    ctx: Context, run: Run, kind: RetryKind, code: Code, shards: list[ShardProgress]
) -> None:
    if kind in (RetryKind.REPEAT, RetryKind.LOST):
        _open_second_round(ctx, run, shards)
    # What was shed goes only where a slot is free.
    max_load = 1.0 if kind is RetryKind.SHED else NO_MAX_LOAD
    attempts = plan_step(ctx, run, shards, max_load)
    if kind is not RetryKind.REDIRECT:
        units = 1 if code is Code.SHARD_HOME_LOST else len(attempts)
        if kind is not RetryKind.LOST:
            run.retry_units -= units
        charge(ctx.retry_budget.bucket, units)
    run.retries += len(attempts)
    for planned in attempts:
        ctx.observer.retried(planned.service, code)
    dispatch(ctx, run, attempts, HANDLERS)


def _open_second_round(ctx: Context, run: Run, shards: list[ShardProgress]) -> None:
    """Let a shard whose every replica was tried be tried once more."""
    for progress in shards:
        key = (progress.key.service, run.current.version)
        views = ctx.index.holders.get(key, {}).get(progress.key.shard, ())
        if progress.is_second_round or any(
            view.record.server_id not in progress.tried for view in views
        ):
            continue
        progress.is_second_round = True
        progress.tried.clear()


def _note_outcome(ctx: Context, run: Run) -> None:
    """Count the query, and what the deadline cut off, for the adaptive limit."""
    now, limit = ctx.clock(), ctx.admission.state.limit
    if now >= run.answer_by and run.current.open_shards:
        run.has_lost = True
        for batch in run.current.batches:
            for _ in batch.attempts:
                note_request(limit, 0.0, 0.0, True)
    note_query(limit, run.has_lost, now)


def _finish(run: Run) -> None:
    if not run.done.done():
        run.done.set_result(None)


def _check_done(ctx: Context, run: Run) -> None:
    """Finish or restart when the pass can get no further."""
    current = run.current
    if run.done.done():
        return
    missing = len(run.keys) - len(current.results) - len(current.open_shards)
    is_hopeless = missing and run.query.coverage is CoverageMode.FULL
    if current.open_shards and not is_hopeless:
        return
    if missing and _restart(ctx, run):
        return
    _finish(run)


def _restart(ctx: Context, run: Run) -> bool:
    """Start again on a version that covers more, if the deadline permits.

    Nothing of the old pass enters the new one; the old pass is the answer
    only as a whole, should the new one get less.
    """
    if len(run.tried_versions) > MAX_RESTARTS:
        return False
    started = ctx.clock()
    choice = choose_version(ctx.index, run.wanted, run.tried_versions)
    current = run.current
    within_reach = len(current.results) + len(current.open_shards)
    if choice is None or choice.covered <= within_reach:
        return False
    slowest = max(
        typical_latency(ctx.latencies, wanted.spec.name) for wanted in run.wanted
    )
    if run.answer_by - ctx.clock() <= slowest:
        return False
    run.notes.append(f"restarted from {current.version} on {choice.version}")
    close_pass(ctx, current)
    _keep_best(run)
    run.current = _new_pass(choice)
    _start_pass(ctx, run, started)
    return True


def _keep_best(run: Run) -> None:
    if run.best is None or len(run.current.results) > len(run.best.results):
        run.best = run.current


def _conclude(ctx: Context, run: Run) -> Result[Answer, Failure]:
    _keep_best(run)
    best = run.best
    assert best is not None
    is_late = ctx.clock() >= run.answer_by
    code = Code.SHARD_TIMEOUT if is_late else Code.SHARD_CANCELLED
    best.reasons.update(dict.fromkeys(best.open_shards, code))
    answer = build_answer(
        run.query,
        best.version,
        ctx.board.config.revision,
        run.keys,
        best.results,
        best.reasons,
    )
    if answer.missing and run.query.coverage is CoverageMode.FULL:
        return Err(refuse_partial(answer))
    return Ok(answer)


HANDLERS = Handlers(_on_reply, _on_end)
