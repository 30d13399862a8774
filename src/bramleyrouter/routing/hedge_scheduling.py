"""Hedging of a running query: a timer checks for stragglers."""

import asyncio

from bramleyrouter.ids import ServiceName
from bramleyrouter.routing.attempts import BatchHandlers, dispatch, plan_next_attempts
from bramleyrouter.routing.contexts import Context
from bramleyrouter.routing.hedging import (
    find_stragglers,
    get_hedge_delay,
    get_median_latency,
)
from bramleyrouter.routing.plans import Attempt
from bramleyrouter.routing.runs import Pass, QueryRun
from bramleyrouter.routing.token_buckets import has_tokens, try_consume

# Load, as a multiple of its capacity, from which a server gets no hedge. Below
# it a hedge waits for about one service time, far less than a straggler takes.
# With a maximum of 1, one straggler in six finds no server, even when the servers
# have a fifth of the load that they can take.
MAX_HEDGE_LOAD = 2.0
# A straggler without a hedge, because no server or no budget was available, is
# checked again after this share of its service's hedge delay.
RECHECK_SHARE = 0.25


def schedule_hedges(
    ctx: Context, run: QueryRun, attempts: list[Attempt], handlers: BatchHandlers
) -> None:
    """Schedule the first check for stragglers, after the shortest hedge delay.

    One timer per pass serves all services, the one with the shortest delay
    first: most attempts have been answered by then, so few checks follow.
    """
    checks = []
    for service in {attempt.service for attempt in attempts}:
        delay = get_hedge_delay(ctx.latencies, service)
        if delay is not None:
            checks.append((delay, service))
    _schedule_check(ctx, run, run.current_pass, sorted(checks), ctx.clock(), handlers)


def _schedule_check(
    ctx, run: QueryRun, current_pass: Pass, checks, started, handlers
) -> None:
    """Set the timer for the earliest of ``checks``.

    Each check is a pair: its time in seconds after ``started``, and a service. A
    check that would come after the deadline gets no timer.
    """
    if not checks or started + checks[0][0] >= run.answer_deadline:
        return

    def check_stragglers() -> None:
        if run.done.done() or current_pass is not run.current_pass:
            return
        elapsed = max(ctx.clock() - started, checks[0][0])
        due_services = {service for delay, service in checks if delay <= elapsed}
        next_checks = [check for check in checks if check[0] > elapsed]
        for service in _hedge_stragglers(ctx, run, due_services, handlers):
            next_check_s = elapsed + RECHECK_SHARE * (
                get_hedge_delay(ctx.latencies, service) or elapsed
            )
            next_checks.append((next_check_s, service))
        _schedule_check(ctx, run, current_pass, sorted(next_checks), started, handlers)

    wait_s = max(0.0, started + checks[0][0] - ctx.clock())
    current_pass.hedge_timer = asyncio.get_running_loop().call_later(
        wait_s, check_stragglers
    )


def _hedge_stragglers(
    ctx: Context, run: QueryRun, services: set[ServiceName], handlers: BatchHandlers
) -> set[ServiceName]:
    """Send hedges for stragglers; return the services with unhedged stragglers."""
    unfinished_attempts = [
        attempt
        for batch in run.current_pass.batches
        for attempt in batch.attempts.values()
    ]
    remaining_s, unhedged = run.answer_deadline - ctx.clock(), set()
    for straggler in find_stragglers(unfinished_attempts, services):
        if remaining_s < get_median_latency(ctx.latencies, straggler.service):
            continue
        if ctx.admission.is_overloaded() or not has_tokens(ctx.hedge_bucket, 1):
            unhedged.add(straggler.service)
            continue
        straggler.was_hedged = _hedge_straggler(ctx, run, straggler, handlers)
        if not straggler.was_hedged:
            unhedged.add(straggler.service)
    return unhedged


def _hedge_straggler(
    ctx: Context, run: QueryRun, straggler: Attempt, handlers: BatchHandlers
) -> bool:
    shards = [
        progress
        for progress in straggler.shards
        if progress.key in run.current_pass.open_shards
        and progress.running_attempts == 1
    ]
    affordable = []
    for attempt in plan_next_attempts(ctx, run, shards, MAX_HEDGE_LOAD):
        if try_consume(ctx.hedge_bucket, 1):
            attempt.is_hedge = True
            affordable.append(attempt)
            ctx.observer.hedged(attempt.service)
        else:
            _undo_planned_attempt(attempt)
    run.hedges += len(affordable)
    dispatch(ctx, run, affordable, handlers)
    return bool(affordable)


def _undo_planned_attempt(attempt: Attempt) -> None:
    attempt.view.load.in_flight -= 1
    for progress in attempt.shards:
        progress.running_attempts -= 1
        progress.tried.discard(attempt.view.record.server_id)
