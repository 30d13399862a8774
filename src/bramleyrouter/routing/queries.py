"""Execution of one query: scatter attempts, gather replies, build the answer."""

import asyncio

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.attempts import (
    BatchHandlers,
    cancel_redundant_batches,
    close_pass,
    dispatch,
    fail_attempt,
    finish_attempt,
    plan_next_attempts,
)
from bramleyrouter.routing.concurrency_limit import record_attempt, record_query
from bramleyrouter.routing.contexts import Context
from bramleyrouter.routing.coverage import (
    build_answer,
    build_partial_failure,
    check_reply,
)
from bramleyrouter.routing.hedge_scheduling import schedule_hedges
from bramleyrouter.routing.hedging import get_median_latency
from bramleyrouter.routing.messages import Answer, Query
from bramleyrouter.routing.plans import Attempt, ShardProgress
from bramleyrouter.routing.replica_choice import NO_MAX_LOAD
from bramleyrouter.routing.retries import (
    RetryKind,
    classify_failure,
    compute_query_retry_limit,
    may_retry,
)
from bramleyrouter.routing.runs import Batch, Pass, QueryRun
from bramleyrouter.routing.token_buckets import consume_into_debt, refill
from bramleyrouter.routing.version_choice import (
    RequestedShards,
    VersionChoice,
    choose_version,
    list_keys,
)
from bramleyrouter.states import CoverageMode

# Time reserved before the deadline to send the answer to the caller: a share of
# the remaining time, up to a maximum in seconds.
ANSWER_MARGIN_SHARE = 0.1
MAX_ANSWER_MARGIN_S = 0.005
# Times that a query may restart on another index version.
MAX_RESTARTS = 2


async def execute_query(
    ctx: Context,
    query: Query,
    requested: list[RequestedShards],
    started_runs: list[QueryRun],
) -> Result[Answer, Failure]:
    """Execute an admitted query and return its answer by the deadline.

    The run is appended to ``started_runs``, for the record of decisions. If the
    calling task is cancelled, all running attempts are cancelled.
    """
    started = ctx.clock()
    choice = choose_version(ctx.index, requested)
    if choice is None:
        text = "No index version is permitted for all services of the query."
        return Err(Failure(Code.NO_VERSION, text))
    if choice.covered == 0:
        text = "No usable server holds any of the query's shards."
        return Err(Failure(Code.NO_SERVER, text))
    remaining_s = query.deadline - started
    if remaining_s <= 0:
        return Err(Failure(Code.DEADLINE_PASSED, "The deadline passed while waiting."))
    loop = asyncio.get_running_loop()
    keys = list_keys(ctx.index, requested)
    margin = min(MAX_ANSWER_MARGIN_S, remaining_s * ANSWER_MARGIN_SHARE)
    answer_deadline = query.deadline - margin
    run = QueryRun(
        query,
        requested,
        keys,
        answer_deadline,
        loop.create_future(),
        _build_pass(choice),
    )
    started_runs.append(run)
    timer = loop.call_later(remaining_s - margin, _finish, run)
    try:
        _start_pass(ctx, run, started)
        await run.done
    finally:
        timer.cancel()
        _record_outcome(ctx, run)
        close_pass(ctx, run.current_pass)
    return _build_result(ctx, run)


def _build_pass(choice: VersionChoice) -> Pass:
    return Pass(choice.version, {})


def _start_pass(ctx: Context, run: QueryRun, started: float) -> None:
    """Plan and dispatch the first attempts of a pass.

    ``started`` is the loop time at which the choice of the version began.
    """
    current_pass = run.current_pass
    run.tried_versions.add(current_pass.version)
    current_pass.open_shards = {key: ShardProgress(key) for key in run.keys}
    attempts = plan_next_attempts(ctx, run, current_pass.open_shards.values())
    ctx.observer.attempts_planned(ctx.clock() - started, len(attempts))
    run.retries_left = max(
        run.retries_left, compute_query_retry_limit(ctx.cfg.retry_budget, len(attempts))
    )
    refill(ctx.hedge_bucket, len(attempts))
    refill(ctx.retry_budget.bucket, len(attempts))
    dispatch(ctx, run, attempts, HANDLERS)
    if run.current_pass is current_pass:
        schedule_hedges(ctx, run, attempts, HANDLERS)
        _finish_or_restart(ctx, run)


def _is_active(run: QueryRun, current_pass: Pass, batch: Batch) -> bool:
    return not (batch.is_ended or run.done.done()) and current_pass is run.current_pass


def _on_reply(
    ctx: Context, run: QueryRun, current_pass: Pass, batch: Batch, reply: GroupReply
) -> None:
    """Handle a reply; ignore it if its attempt is unknown or already finished."""
    attempt = batch.attempts.get(reply.attempt)
    if attempt is None or not _is_active(run, current_pass, batch):
        return
    shards = [progress.key.shard for progress in attempt.shards]
    code = check_reply(
        reply, current_pass.version, attempt.view.record.server_id, shards
    )
    if reply.server_id != attempt.view.record.server_id:
        # A reply of another server is ignored: the right reply may still arrive.
        attempt.has_reply_of_other_server = True
        return
    if code is Code.OK:
        finish_attempt(ctx, run, batch, attempt, reply)
        has_duplicates = False
        for progress in attempt.shards:
            if current_pass.open_shards.pop(progress.key, None) is not None:
                shard = progress.key.shard
                current_pass.results[progress.key] = reply.results[shard]
            has_duplicates |= progress.running_attempts > 0
        if has_duplicates:
            cancel_redundant_batches(ctx, current_pass)
    else:
        fail_attempt(ctx, run, batch, attempt, code, reply)
        _handle_failures(ctx, run, [(attempt, code)])
    _finish_or_restart(ctx, run)


def _on_end(
    ctx: Context,
    run: QueryRun,
    current_pass: Pass,
    batch: Batch,
    outcome: Result[None, Failure],
) -> None:
    """Fail the attempts of a batch that ended without their replies."""
    if not _is_active(run, current_pass, batch):
        return
    batch.is_ended = True
    code = Code.SHARD_CONNECTION_LOST
    if isinstance(outcome, Err):
        code = Code.SHARD_HOME_LOST
        if outcome.err_value.code is Code.PEER_UNREACHABLE:
            code = Code.PEER_UNREACHABLE
        logging.info(
            "routing: batch to home %s failed: %s", batch.home, outcome.err_value
        )
    failed = []
    for attempt in list(batch.attempts.values()):
        own_code = (
            Code.SHARD_WRONG_IDENTITY if attempt.has_reply_of_other_server else code
        )
        fail_attempt(ctx, run, batch, attempt, own_code)
        failed.append((attempt, own_code))
    if failed:
        _handle_failures(ctx, run, failed)
        _finish_or_restart(ctx, run)


def _handle_failures(
    ctx: Context, run: QueryRun, failed: list[tuple[Attempt, Code]]
) -> None:
    """Retry failed shards on other servers, or give them up.

    The retry budgets and the remaining time decide. Attempts that were lost
    together with their home count as one retry, because the loss of the home also
    removed their load from its servers.
    """
    current_pass = run.current_pass
    retryable: dict[RetryKind, tuple[Attempt, Code, list[ShardProgress]]] = {}
    for attempt, code in failed:
        kind = classify_failure(code)
        for progress in attempt.shards:
            if progress.key not in current_pass.open_shards:
                continue
            current_pass.reasons[progress.key] = code
            if progress.running_attempts == 0:
                retryable.setdefault(kind, (attempt, code, []))[2].append(progress)
    for kind, (attempt, code, shards) in retryable.items():
        remaining_s = run.answer_deadline - ctx.clock()
        median = get_median_latency(ctx.latencies, attempt.service)
        if may_retry(kind, ctx.retry_budget, run.retries_left, remaining_s, median):
            _retry_shards(ctx, run, kind, code, shards)
        else:
            for progress in shards:
                current_pass.open_shards.pop(progress.key, None)


def _retry_shards(
    ctx: Context,
    run: QueryRun,
    kind: RetryKind,
    code: Code,
    shards: list[ShardProgress],
) -> None:
    if kind in (RetryKind.REPEAT, RetryKind.LOST):
        _allow_second_round(ctx, run, shards)
    # Shards that were shed are retried only on a server with a free slot.
    max_load = 1.0 if kind is RetryKind.SHED else NO_MAX_LOAD
    attempts = plan_next_attempts(ctx, run, shards, max_load)
    if kind is not RetryKind.REDIRECT:
        count = 1 if code is Code.SHARD_HOME_LOST else len(attempts)
        if kind is not RetryKind.LOST:
            run.retries_left -= count
        consume_into_debt(ctx.retry_budget.bucket, count)
    run.retries += len(attempts)
    for attempt in attempts:
        ctx.observer.retried(attempt.service, code)
    dispatch(ctx, run, attempts, HANDLERS)


def _allow_second_round(
    ctx: Context, run: QueryRun, shards: list[ShardProgress]
) -> None:
    """Allow a second attempt on each replica of a shard once all were tried."""
    for progress in shards:
        key = (progress.key.service, run.current_pass.version)
        views = ctx.index.holders.get(key, {}).get(progress.key.shard, ())
        if progress.is_second_round or any(
            view.record.server_id not in progress.tried for view in views
        ):
            continue
        progress.is_second_round = True
        progress.tried.clear()


def _record_outcome(ctx: Context, run: QueryRun) -> None:
    """Record the query, and the attempts that timed out, in the adaptive limit."""
    now, limit = ctx.clock(), ctx.admission.state.limit
    if now >= run.answer_deadline and run.current_pass.open_shards:
        run.has_drops = True
        for batch in run.current_pass.batches:
            for _ in batch.attempts:
                record_attempt(limit, 0.0, 0.0, True)
    record_query(limit, run.has_drops, now)


def _finish(run: QueryRun) -> None:
    if not run.done.done():
        run.done.set_result(None)


def _finish_or_restart(ctx: Context, run: QueryRun) -> None:
    """Finish or restart the query when the pass can add no further result.

    A query that requires full coverage does so as soon as one shard is given up.
    """
    current_pass = run.current_pass
    if run.done.done():
        return
    missing = len(run.keys) - len(current_pass.results) - len(current_pass.open_shards)
    is_full_impossible = missing and run.query.coverage is CoverageMode.FULL
    if current_pass.open_shards and not is_full_impossible:
        return
    if missing and _restart(ctx, run):
        return
    _finish(run)


def _restart(ctx: Context, run: QueryRun) -> bool:
    """Restart on a version that covers more shards, if the deadline permits.

    Results of different versions are never mixed: the old pass is used only as a
    whole, if the new pass returns fewer results.
    """
    if len(run.tried_versions) > MAX_RESTARTS:
        return False
    started = ctx.clock()
    choice = choose_version(ctx.index, run.requested, run.tried_versions)
    current_pass = run.current_pass
    attainable = len(current_pass.results) + len(current_pass.open_shards)
    if choice is None or choice.covered <= attainable:
        return False
    slowest = max(
        get_median_latency(ctx.latencies, service_shards.spec.name)
        for service_shards in run.requested
    )
    if run.answer_deadline - ctx.clock() <= slowest:
        return False
    run.notes.append(f"restarted from {current_pass.version} on {choice.version}")
    close_pass(ctx, current_pass)
    _update_best_pass(run)
    run.current_pass = _build_pass(choice)
    _start_pass(ctx, run, started)
    return True


def _update_best_pass(run: QueryRun) -> None:
    if run.best_pass is None or len(run.current_pass.results) > len(
        run.best_pass.results
    ):
        run.best_pass = run.current_pass


def _build_result(ctx: Context, run: QueryRun) -> Result[Answer, Failure]:
    _update_best_pass(run)
    best_pass = run.best_pass
    assert best_pass is not None
    is_late = ctx.clock() >= run.answer_deadline
    code = Code.SHARD_TIMEOUT if is_late else Code.SHARD_CANCELLED
    best_pass.reasons.update(dict.fromkeys(best_pass.open_shards, code))
    answer = build_answer(
        run.query,
        best_pass.version,
        ctx.board.config.revision,
        run.keys,
        best_pass.results,
        best_pass.reasons,
    )
    if answer.missing and run.query.coverage is CoverageMode.FULL:
        return Err(build_partial_failure(answer))
    return Ok(answer)


HANDLERS = BatchHandlers(_on_reply, _on_end)
