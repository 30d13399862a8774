"""Hedging of a running query: its stragglers are looked for by a timer."""

import asyncio

from bramleyrouter.ids import ServiceName
from bramleyrouter.routing.budgets import can_spend, spend
from bramleyrouter.routing.contexts import Context
from bramleyrouter.routing.dispatches import Handlers, dispatch, plan_step
from bramleyrouter.routing.hedging import (
    find_stragglers,
    hedge_delay,
    typical_latency,
)
from bramleyrouter.routing.plans import Attempt
from bramleyrouter.routing.runs import Pass, Run

# A hedge goes to a server with less than this running, as a multiple of its
# capacity: it then waits for about one service time, far less than a straggler
# takes. With 1 a sixth of the stragglers found no server at a fifth of the load.
MAX_HEDGE_LOAD = 2.0
# A straggler that got no hedge, for want of a server or of budget, is looked at
# again after this share of its service's delay.
LOOK_AGAIN_SHARE = 0.25


def schedule_hedges(
    ctx: Context, run: Run, attempts: list[Attempt], handlers: Handlers
) -> None:
    """Look for stragglers when the first service's delay is over.

    One timer per pass serves all services, the one with the shortest delay
    first: most requests have been answered by then, so few looks follow.
    """
    due = []
    for service in {attempt.service for attempt in attempts}:
        delay = hedge_delay(ctx.latencies, service)
        if delay is not None:
            due.append((delay, service))
    _schedule(ctx, run, run.current, sorted(due), ctx.clock(), handlers)


def _schedule(ctx, run: Run, current: Pass, due, started, handlers) -> None:
    """Set the timer for the earliest of ``due``, pairs of seconds and service."""
    if not due or started + due[0][0] >= run.answer_by:
        return

    def look() -> None:
        if run.done.done() or current is not run.current:
            return
        elapsed = max(ctx.clock() - started, due[0][0])
        now_due = {service for delay, service in due if delay <= elapsed}
        later = [one for one in due if one[0] > elapsed]
        for service in _hedge(ctx, run, now_due, handlers):
            again = elapsed + LOOK_AGAIN_SHARE * (
                hedge_delay(ctx.latencies, service) or elapsed
            )
            later.append((again, service))
        _schedule(ctx, run, current, sorted(later), started, handlers)

    wait_s = max(0.0, started + due[0][0] - ctx.clock())
    current.hedge_timer = asyncio.get_running_loop().call_later(wait_s, look)


def _hedge(
    ctx: Context, run: Run, services: set[ServiceName], handlers: Handlers
) -> set[ServiceName]:
    """Send stragglers to other servers; return where some still want a hedge."""
    open_attempts = [
        attempt for batch in run.current.batches for attempt in batch.attempts.values()
    ]
    left, unmet = run.answer_by - ctx.clock(), set()
    for straggler in find_stragglers(open_attempts, services):
        if left < typical_latency(ctx.latencies, straggler.service):
            continue
        if ctx.admission.is_overloaded() or not can_spend(ctx.hedge_bucket, 1):
            unmet.add(straggler.service)
            continue
        straggler.was_hedged = _hedge_one(ctx, run, straggler, handlers)
        if not straggler.was_hedged:
            unmet.add(straggler.service)
    return unmet


def _hedge_one(ctx: Context, run: Run, straggler: Attempt, handlers: Handlers) -> bool:
    shards = [
        progress
        for progress in straggler.shards
        if progress.key in run.current.open_shards and progress.live == 1
    ]
    affordable = []
    for attempt in plan_step(ctx, run, shards, MAX_HEDGE_LOAD):
        if spend(ctx.hedge_bucket, 1):
            attempt.is_hedge = True
            affordable.append(attempt)
            ctx.observer.hedged(attempt.service)
        else:
            _take_back(attempt)
    run.hedges += len(affordable)
    dispatch(ctx, run, affordable, handlers)
    return bool(affordable)


def _take_back(attempt: Attempt) -> None:
    attempt.view.load.in_flight -= 1
    for progress in attempt.shards:
        progress.live -= 1
        progress.tried.discard(attempt.view.record.server_id)
