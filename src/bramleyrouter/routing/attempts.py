"""Attempts of a running query: planning, dispatch, completion and cancellation."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import GroupReply, ServerGroup, ShardBatch
from bramleyrouter.routing.concurrency_limit import record_attempt
from bramleyrouter.routing.contexts import Context, update_staleness
from bramleyrouter.routing.hedging import record_latency
from bramleyrouter.routing.load_tracking import record_failure, record_success
from bramleyrouter.routing.plans import (
    Attempt,
    ShardProgress,
    group_by_home,
    plan_attempts,
)
from bramleyrouter.routing.replica_choice import NO_MAX_LOAD
from bramleyrouter.routing.retries import RetryKind, classify_failure, record_reply
from bramleyrouter.routing.runs import Batch, Pass, QueryRun


class BatchHandlers(NamedTuple):
    """Bundle the callbacks for a reply to a batch and for the end of a batch."""

    on_reply: Callable[[Context, QueryRun, Pass, Batch, GroupReply], None]
    on_end: Callable[[Context, QueryRun, Pass, Batch, Result[None, Failure]], None]


def plan_next_attempts(
    ctx: Context,
    run: QueryRun,
    shards: Iterable[ShardProgress],
    max_load: float = NO_MAX_LOAD,
) -> list[Attempt]:
    """Plan attempts for ``shards``.

    A shard for which no replica is available is given up, unless another attempt
    for it still runs.
    """
    current_pass, now = run.current_pass, ctx.clock()
    update_staleness(ctx, now)
    plan = plan_attempts(
        ctx.index,
        current_pass.version,
        shards,
        ctx.choice_state,
        ctx.rng,
        now,
        ctx.next_attempt_id,
        max_load,
    )
    for progress in plan.unplaced:
        if progress.running_attempts == 0:
            current_pass.reasons.setdefault(progress.key, Code.SHARD_NO_REPLICA)
            current_pass.open_shards.pop(progress.key, None)
    return plan.attempts


def dispatch(
    ctx: Context, run: QueryRun, attempts: list[Attempt], handlers: BatchHandlers
) -> None:
    """Send the attempts, in one batch for each home."""
    current_pass, batches = run.current_pass, []
    for home, home_attempts in group_by_home(attempts).items():
        batch = Batch(home, {attempt.attempt_id: attempt for attempt in home_attempts})
        current_pass.batches.append(batch)
        batches.append(batch)
        for attempt in home_attempts:
            run.servers[attempt.view.record.server_id] = None
    for batch in batches:
        # An earlier batch may have failed at once and so closed the pass.
        if batch.is_ended:
            continue
        _send_batch(ctx, run, current_pass, batch, handlers)


def _send_batch(
    ctx: Context,
    run: QueryRun,
    current_pass: Pass,
    batch: Batch,
    handlers: BatchHandlers,
) -> None:
    query = run.query
    message = ShardBatch(
        request_id=query.request_id,
        tenant=query.tenant,
        class_name=query.class_name,
        version=current_pass.version,
        revision=ctx.board.config.revision,
        remaining_s=max(0.0, run.answer_deadline - ctx.clock()),
        is_stale=ctx.choice_state.is_stale,
        groups=tuple(
            ServerGroup(
                attempt.view.record.server_id,
                attempt.attempt_id,
                attempt.service,
                tuple([progress.key.shard for progress in attempt.shards]),
            )
            for attempt in batch.attempts.values()
        ),
        query=query.body,
    )
    cancel = ctx.home_client.dispatch(
        batch.home,
        message,
        lambda reply: handlers.on_reply(ctx, run, current_pass, batch, reply),
        lambda outcome: handlers.on_end(ctx, run, current_pass, batch, outcome),
    )
    batch.cancel = cancel
    # The batch may have been cancelled before its ``cancel`` was set.
    if batch.is_cancelled:
        cancel()


def finish_attempt(
    ctx: Context, run: QueryRun, batch: Batch, attempt: Attempt, reply: GroupReply
) -> None:
    """Record an attempt with a valid reply."""
    now = ctx.clock()
    elapsed = now - attempt.sent_at
    del batch.attempts[attempt.attempt_id]
    for progress in attempt.shards:
        progress.running_attempts -= 1
    record_success(attempt, ctx.choice_state, reply, now)
    record_latency(ctx.latencies, attempt.service, elapsed, ctx.rng)
    record_reply(ctx.retry_budget, None)
    limit = ctx.admission.state.limit
    record_attempt(limit, reply.queue_s, reply.service_s, False)
    ctx.observer.shard_request_finished(attempt.service, elapsed, Code.OK)
    ctx.notify_load(now)


def fail_attempt(
    ctx: Context,
    run: QueryRun,
    batch: Batch,
    attempt: Attempt,
    code: Code,
    reply: GroupReply | None = None,
) -> None:
    """Record an attempt without a result; ``reply`` is its reply, if any."""
    now = ctx.clock()
    del batch.attempts[attempt.attempt_id]
    for progress in attempt.shards:
        progress.running_attempts -= 1
    record_failure(attempt, ctx.choice_state, code, reply, now)
    kind = classify_failure(code)
    record_reply(ctx.retry_budget, kind)
    queue_s, service_s = (reply.queue_s, reply.service_s) if reply else (0.0, 0.0)
    is_dropped = kind is RetryKind.SHED or code is Code.QUEUE_DEADLINE
    run.has_drops |= is_dropped
    record_attempt(ctx.admission.state.limit, queue_s, service_s, is_dropped)
    elapsed = now - attempt.sent_at
    ctx.observer.shard_request_finished(attempt.service, elapsed, code)
    ctx.notify_load(now)


def _finish_cancelled_attempt(ctx: Context, batch: Batch, attempt: Attempt) -> None:
    now = ctx.clock()
    elapsed = now - attempt.sent_at
    del batch.attempts[attempt.attempt_id]
    for progress in attempt.shards:
        progress.running_attempts -= 1
    record_failure(attempt, ctx.choice_state, Code.SHARD_CANCELLED, None, now)
    # The time until the cancellation is a lower bound of a straggler's latency.
    # Without it the percentiles would contain only fast attempts.
    record_latency(ctx.latencies, attempt.service, elapsed, ctx.rng)
    code = Code.SHARD_CANCELLED
    ctx.observer.shard_request_finished(attempt.service, elapsed, code)


def cancel_redundant_batches(ctx: Context, current_pass: Pass) -> None:
    """Cancel each batch whose remaining attempts can't add a result any more."""
    for batch in current_pass.batches:
        if batch.is_ended or not batch.attempts:
            continue
        if not any(
            progress.key in current_pass.open_shards
            for attempt in batch.attempts.values()
            for progress in attempt.shards
        ):
            _cancel_batch(ctx, batch)


def _cancel_batch(ctx: Context, batch: Batch) -> None:
    batch.is_ended = batch.is_cancelled = True
    for attempt in list(batch.attempts.values()):
        _finish_cancelled_attempt(ctx, batch, attempt)
    if batch.cancel is not None:
        batch.cancel()


def close_pass(ctx: Context, current_pass: Pass) -> None:
    """Cancel the hedge timer and all running batches of the pass."""
    if current_pass.hedge_timer is not None:
        current_pass.hedge_timer.cancel()
    for batch in current_pass.batches:
        if batch.attempts and not batch.is_ended:
            _cancel_batch(ctx, batch)
        batch.is_ended = True
