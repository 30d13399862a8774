"""Execution of one query: requests out, replies matched, one answer."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import GroupReply, ServerGroup, ShardBatch
from bramleyrouter.ids import AttemptId, DaemonId, IndexVersion
from bramleyrouter.routing.budgets import can_spend, charge, earn, spend
from bramleyrouter.routing.contexts import Context, refresh_staleness
from bramleyrouter.routing.coverage import build_answer, check_reply, refuse_partial
from bramleyrouter.routing.hedging import (
    find_stragglers,
    hedge_delay,
    record_latency,
    typical_latency,
)
from bramleyrouter.routing.limits import note_query, note_request
from bramleyrouter.routing.loads import end_attempt
from bramleyrouter.routing.messages import Answer, Query, ShardKey
from bramleyrouter.routing.plans import (
    Attempt,
    ShardProgress,
    group_by_home,
    plan_attempts,
)
from bramleyrouter.routing.retries import (
    RetryKind,
    classify,
    may_retry,
    note_reply,
    query_units,
)
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


@dataclass(slots=True, eq=False)
class Batch:
    """Hold what one home was asked; ``attempts`` are those not ended."""

    home: DaemonId
    attempts: dict[AttemptId, Attempt]
    cancel: Callable[[], None] | None = None
    is_ended: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class Pass:
    """Hold one pass over the query, pinned to one version."""

    version: IndexVersion
    open_shards: dict[ShardKey, ShardProgress]
    results: dict[ShardKey, bytes] = field(default_factory=dict)
    reasons: dict[ShardKey, Code] = field(default_factory=dict)
    batches: list[Batch] = field(default_factory=list)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Run:
    """Hold a running query. ``current`` is the pass that replies count for.

    ``best`` is an earlier pass whose results stand if a restart gets less.
    """

    query: Query
    wanted: list[Wanted]
    keys: list[ShardKey]
    answer_by: float
    done: asyncio.Future
    current: Pass
    best: Pass | None = None
    tried_versions: set[IndexVersion] = field(default_factory=set)
    retry_units: float = 0.0
    hedges: int = 0
    retries: int = 0
    servers: dict[str, None] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    has_lost: bool = False


async def execute_query(
    ctx: Context, query: Query, wanted: list[Wanted], run_out: list[Run]
) -> Result[Answer, Failure]:
    """Run an admitted query and return its answer by the deadline.

    The run is put into ``run_out``, for the record of decisions. A cancelled
    caller cancels every request that is still out.
    """
    now = ctx.clock()
    choice = choose_version(ctx.index, wanted)
    if choice is None:
        text = "No index version is permitted for all services of the query."
        return Err(Failure(Code.NO_VERSION, text))
    if choice.covered == 0:
        text = "No usable server holds any of the query's shards."
        return Err(Failure(Code.NO_SERVER, text))
    left = query.deadline - now
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
        _start_pass(ctx, run)
        await run.done
    finally:
        timer.cancel()
        _note_outcome(ctx, run)
        _close_pass(ctx, run, run.current)
    return _conclude(ctx, run)


def _new_pass(choice: VersionChoice) -> Pass:
    return Pass(choice.version, {})


def _start_pass(ctx: Context, run: Run) -> None:
    current = run.current
    run.tried_versions.add(current.version)
    current.open_shards = {key: ShardProgress(key) for key in run.keys}
    started = ctx.clock()
    attempts = _plan(ctx, run, current.open_shards.values())
    ctx.observer.decided(ctx.clock() - started, len(attempts))
    run.retry_units = max(
        run.retry_units, query_units(ctx.cfg.retry_budget, len(attempts))
    )
    earn(ctx.hedge_bucket, len(attempts))
    earn(ctx.retry_budget.bucket, len(attempts))
    _dispatch(ctx, run, attempts)
    if run.current is current:
        _start_hedge_timers(ctx, run, attempts)
        _check_done(ctx, run)


def _plan(
    ctx: Context, run: Run, shards: Iterable[ShardProgress], only_free: bool = False
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
        only_free,
    )
    for progress in plan.unplaced:
        if progress.live == 0:
            current.reasons.setdefault(progress.key, Code.SHARD_NO_REPLICA)
            current.open_shards.pop(progress.key, None)
    return plan.attempts


def _dispatch(ctx: Context, run: Run, attempts: list[Attempt]) -> list[Batch]:
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
        _send_batch(ctx, run, current, batch)
    return batches


def _send_batch(ctx: Context, run: Run, current: Pass, batch: Batch) -> None:
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
        lambda reply: _on_reply(ctx, run, current, batch, reply),
        lambda end: _on_end(ctx, run, current, batch, end),
    )
    batch.cancel = cancel
    if batch.is_cancelled:
        cancel()


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
    _end(ctx, run, batch, attempt, code, reply)
    if code is Code.OK:
        for progress in attempt.shards:
            if current.open_shards.pop(progress.key, None) is not None:
                shard = progress.key.shard
                current.results[progress.key] = reply.results[shard]
        _cancel_losers(ctx, run, current)
    else:
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
        _end(ctx, run, batch, attempt, own, None)
        failed.append((attempt, own))
    if failed:
        _handle_failures(ctx, run, failed)
        _check_done(ctx, run)


def _end(ctx, run: Run, batch: Batch, attempt: Attempt, code: Code, reply) -> None:
    del batch.attempts[attempt.attempt]
    now = ctx.clock()
    elapsed = end_attempt(attempt, ctx.choice, code, reply, now)
    for progress in attempt.shards:
        progress.live -= 1
    # The latency of a cancelled or failed request is a lower bound; it counts
    # for the quantiles only where it may have been that of a straggler.
    if code is Code.OK or code is Code.SHARD_CANCELLED:
        record_latency(ctx.latencies, attempt.service, elapsed)
    if code is not Code.SHARD_CANCELLED:
        kind = None if code is Code.OK else classify(code)
        note_reply(ctx.retry_budget, kind)
        queue_s, service_s = (reply.queue_s, reply.service_s) if reply else (0.0, 0.0)
        is_lost = kind is RetryKind.SHED or code is Code.QUEUE_DEADLINE
        run.has_lost |= is_lost
        note_request(ctx.admission.state.limit, queue_s, service_s, is_lost)
    ctx.observer.shard_request_finished(attempt.service, elapsed, code)
    ctx.touch_load(now)


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
    if kind is RetryKind.REPEAT:
        _open_second_round(ctx, run, shards)
    attempts = _plan(ctx, run, shards, only_free=kind is RetryKind.SHED)
    if kind is not RetryKind.REDIRECT:
        units = 1 if code is Code.SHARD_HOME_LOST else len(attempts)
        run.retry_units -= units
        charge(ctx.retry_budget.bucket, units)
    run.retries += len(attempts)
    for planned in attempts:
        ctx.observer.retried(planned.service, code)
    _dispatch(ctx, run, attempts)


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


def _start_hedge_timers(ctx: Context, run: Run, attempts: list[Attempt]) -> None:
    loop = asyncio.get_running_loop()
    for service in {attempt.service for attempt in attempts}:
        delay = hedge_delay(ctx.latencies, service)
        if delay is not None and ctx.clock() + delay < run.answer_by:
            timer = loop.call_later(delay, _hedge, ctx, run, run.current, service)
            run.current.timers.append(timer)


def _hedge(ctx: Context, run: Run, current: Pass, service) -> None:
    """Send the stragglers of one service to other servers that are free."""
    if run.done.done() or current is not run.current or ctx.admission.is_overloaded():
        return
    left = run.answer_by - ctx.clock()
    if left < typical_latency(ctx.latencies, service):
        return
    open_attempts = [
        attempt for batch in current.batches for attempt in batch.attempts.values()
    ]
    for straggler in find_stragglers(open_attempts, service, ctx.clock()):
        if not can_spend(ctx.hedge_bucket, 1):
            return
        straggler.was_hedged = True
        _hedge_one(ctx, run, straggler)


def _hedge_one(ctx: Context, run: Run, straggler: Attempt) -> None:
    shards = [
        progress
        for progress in straggler.shards
        if progress.key in run.current.open_shards and progress.live == 1
    ]
    attempts = _plan(ctx, run, shards, only_free=True)
    affordable = []
    for attempt in attempts:
        if spend(ctx.hedge_bucket, 1):
            attempt.is_hedge = True
            affordable.append(attempt)
            ctx.observer.hedged(attempt.service)
        else:
            attempt.view.load.in_flight -= 1
            for progress in attempt.shards:
                progress.live -= 1
                progress.tried.discard(attempt.view.record.server_id)
    run.hedges += len(affordable)
    _dispatch(ctx, run, affordable)


def _cancel_losers(ctx: Context, run: Run, current: Pass) -> None:
    """Cancel each batch that can no longer add a result."""
    for batch in current.batches:
        if batch.is_ended or not batch.attempts:
            continue
        if not any(
            progress.key in current.open_shards
            for attempt in batch.attempts.values()
            for progress in attempt.shards
        ):
            _cancel_batch(ctx, run, batch)


def _cancel_batch(ctx: Context, run: Run, batch: Batch) -> None:
    batch.is_ended = batch.is_cancelled = True
    for attempt in list(batch.attempts.values()):
        _end(ctx, run, batch, attempt, Code.SHARD_CANCELLED, None)
    if batch.cancel is not None:
        batch.cancel()


def _close_pass(ctx: Context, run: Run, current: Pass) -> None:
    for timer in current.timers:
        timer.cancel()
    for batch in current.batches:
        if batch.attempts and not batch.is_ended:
            _cancel_batch(ctx, run, batch)
        batch.is_ended = True


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
    _close_pass(ctx, run, current)
    _keep_best(run)
    run.current = _new_pass(choice)
    _start_pass(ctx, run)
    return True


def _keep_best(run: Run) -> None:
    if run.best is None or len(run.current.results) > len(run.best.results):
        run.best = run.current


def _conclude(ctx: Context, run: Run) -> Result[Answer, Failure]:
    _keep_best(run)
    best = run.best
    assert best is not None
    best.reasons.update(dict.fromkeys(best.open_shards, Code.SHARD_TIMEOUT))
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
