"""Requests of a running query: planned, sent, ended and cancelled."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import GroupReply, ServerGroup, ShardBatch
from bramleyrouter.routing.contexts import Context, refresh_staleness
from bramleyrouter.routing.hedging import record_latency
from bramleyrouter.routing.limits import note_request
from bramleyrouter.routing.loads import count_failure, count_success
from bramleyrouter.routing.plans import (
    Attempt,
    ShardProgress,
    group_by_home,
    plan_attempts,
)
from bramleyrouter.routing.replicas import NO_MAX_LOAD
from bramleyrouter.routing.retries import RetryKind, classify, note_reply
from bramleyrouter.routing.runs import Batch, Pass, Run


class Handlers(NamedTuple):
    """Bundle what is called with a reply to a batch and with its end."""

    on_reply: Callable[[Context, Run, Pass, Batch, GroupReply], None]
    on_end: Callable[[Context, Run, Pass, Batch, Result[None, Failure]], None]


def plan_step(
    ctx: Context,
    run: Run,
    shards: Iterable[ShardProgress],
    max_load: float = NO_MAX_LOAD,
) -> list[Attempt]:
    """Plan requests for ``shards``; what finds no replica is given up."""
    current, now = run.current, ctx.clock()
    refresh_staleness(ctx, now)
    plan = plan_attempts(
        ctx.index,
        current.version,
        shards,
        ctx.choice,
        ctx.rng,
        now,
        ctx.next_attempt,
        max_load,
    )
    for progress in plan.unplaced:
        if progress.live == 0:
            current.reasons.setdefault(progress.key, Code.SHARD_NO_REPLICA)
            current.open_shards.pop(progress.key, None)
    return plan.attempts


def dispatch(
    ctx: Context, run: Run, attempts: list[Attempt], handlers: Handlers
) -> None:
    """Send one batch to each home."""
    current, batches = run.current, []
    for home, group in group_by_home(attempts).items():
        batch = Batch(home, {attempt.attempt: attempt for attempt in group})
        current.batches.append(batch)
        batches.append(batch)
        for attempt in group:
            run.servers[attempt.view.record.server_id] = None
    for batch in batches:
        # An earlier batch may have failed at once and ended the pass.
        if batch.is_ended:
            continue
        _send_batch(ctx, run, current, batch, handlers)


def _send_batch(
    ctx: Context, run: Run, current: Pass, batch: Batch, handlers: Handlers
) -> None:
    query = run.query
    message = ShardBatch(
        request_id=query.request_id,
        tenant=query.tenant,
        class_name=query.class_name,
        version=current.version,
        revision=ctx.board.config.revision,
        remaining_s=max(0.0, run.answer_by - ctx.clock()),
        is_stale=ctx.choice.is_stale,
        groups=tuple(
            ServerGroup(
                attempt.view.record.server_id,
                attempt.attempt,
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
        lambda reply: handlers.on_reply(ctx, run, current, batch, reply),
        lambda end: handlers.on_end(ctx, run, current, batch, end),
    )
    batch.cancel = cancel
    if batch.is_cancelled:
        cancel()


def end_answered(
    ctx: Context, run: Run, batch: Batch, attempt: Attempt, reply: GroupReply
) -> None:
    """End an attempt whose reply counts."""
    now = ctx.clock()
    elapsed = now - attempt.sent_at
    del batch.attempts[attempt.attempt]
    for progress in attempt.shards:
        progress.live -= 1
    count_success(attempt, ctx.choice, reply, now)
    record_latency(ctx.latencies, attempt.service, elapsed, ctx.rng)
    note_reply(ctx.retry_budget, None)
    limit = ctx.admission.state.limit
    note_request(limit, reply.queue_s, reply.service_s, False)
    ctx.observer.shard_request_finished(attempt.service, elapsed, Code.OK)
    ctx.touch_load(now)


def end_failed(
    ctx: Context,
    run: Run,
    batch: Batch,
    attempt: Attempt,
    code: Code,
    reply: GroupReply | None = None,
) -> None:
    """End an attempt that brought no result; ``reply`` is its own, if any."""
    now = ctx.clock()
    del batch.attempts[attempt.attempt]
    for progress in attempt.shards:
        progress.live -= 1
    count_failure(attempt, ctx.choice, code, reply, now)
    kind = classify(code)
    note_reply(ctx.retry_budget, kind)
    queue_s, service_s = (reply.queue_s, reply.service_s) if reply else (0.0, 0.0)
    is_lost = kind is RetryKind.SHED or code is Code.QUEUE_DEADLINE
    run.has_lost |= is_lost
    note_request(ctx.admission.state.limit, queue_s, service_s, is_lost)
    elapsed = now - attempt.sent_at
    ctx.observer.shard_request_finished(attempt.service, elapsed, code)
    ctx.touch_load(now)


def _end_cancelled(ctx: Context, batch: Batch, attempt: Attempt) -> None:
    now = ctx.clock()
    elapsed = now - attempt.sent_at
    del batch.attempts[attempt.attempt]
    for progress in attempt.shards:
        progress.live -= 1
    count_failure(attempt, ctx.choice, Code.SHARD_CANCELLED, None, now)
    # The time until then is a lower bound of the latency of a straggler; left
    # out, the quantiles would only know the fast ones.
    record_latency(ctx.latencies, attempt.service, elapsed, ctx.rng)
    code = Code.SHARD_CANCELLED
    ctx.observer.shard_request_finished(attempt.service, elapsed, code)


def cancel_losers(ctx: Context, current: Pass) -> None:
    """Cancel each batch that can no longer add a result."""
    for batch in current.batches:
        if batch.is_ended or not batch.attempts:
            continue
        if not any(
            progress.key in current.open_shards
            for attempt in batch.attempts.values()
            for progress in attempt.shards
        ):
            _cancel_batch(ctx, batch)


def _cancel_batch(ctx: Context, batch: Batch) -> None:
    batch.is_ended = batch.is_cancelled = True
    for attempt in list(batch.attempts.values()):
        _end_cancelled(ctx, batch, attempt)
    if batch.cancel is not None:
        batch.cancel()


def close_pass(ctx: Context, current: Pass) -> None:
    """Cancel whatever the pass still has out."""
    if current.hedge_timer is not None:
        current.hedge_timer.cancel()
    for batch in current.batches:
        if batch.attempts and not batch.is_ended:
            _cancel_batch(ctx, batch)
        batch.is_ended = True
