"""Hedging of a running query: its stragglers are looked for by a timer."""

import asyncio

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

# A hedge goes to a server with at most this much running, as a multiple of its
# capacity: it then waits for about one service time, far less than a straggler
# takes. With 1 a sixth of the stragglers found no server at a fifth of the load.
MAX_HEDGE_LOAD = 2.0


def schedule_hedges(
    ctx: Context, run: Run, attempts: list[Attempt], handlers: Handlers
) -> None:
    """Look for stragglers when the first service's delay is over.

    One timer per pass serves all services, the one with the shortest delay
    first: most requests have been answered by then, so few looks follow.
    """
    current, services = run.current, {attempt.service for attempt in attempts}
    delays = []
    for service in services:
        delay = hedge_delay(ctx.latencies, service)
        if delay is not None:
            delays.append((delay, service))
    started = ctx.clock()
    _schedule(ctx, run, current, sorted(delays), started, handlers)


def _schedule(ctx, run: Run, current: Pass, delays, started, handlers) -> None:
    if not delays or started + delays[0][0] >= run.answer_by:
        return
    wait_s = max(0.0, started + delays[0][0] - ctx.clock())

    def look() -> None:
        if run.done.done() or current is not run.current:
            return
        elapsed = ctx.clock() - started
        due = {service for delay, service in delays if delay <= elapsed}
        due.add(delays[0][1])
        _hedge(ctx, run, due, handlers)
        waiting = {
            attempt.service
            for batch in current.batches
            for attempt in batch.attempts.values()
        }
        later = [one for one in delays if one[1] in waiting and one[1] not in due]
        _schedule(ctx, run, current, later, started, handlers)

    current.hedge_timer = asyncio.get_running_loop().call_later(wait_s, look)


def _hedge(ctx: Context, run: Run, services, handlers: Handlers) -> None:
    """Send the stragglers of the services to other servers that are free."""
    if ctx.admission.is_overloaded():
        return
    left = run.answer_by - ctx.clock()
    open_attempts = [
        attempt for batch in run.current.batches for attempt in batch.attempts.values()
    ]
    for straggler in find_stragglers(open_attempts, services):
        if not can_spend(ctx.hedge_bucket, 1):
            return
        if left >= typical_latency(ctx.latencies, straggler.service):
            straggler.was_hedged = True
            _hedge_one(ctx, run, straggler, handlers)


def _hedge_one(ctx: Context, run: Run, straggler: Attempt, handlers: Handlers) -> None:
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


def _take_back(attempt: Attempt) -> None:
    attempt.view.load.in_flight -= 1
    for progress in attempt.shards:
        progress.live -= 1
        progress.tried.discard(attempt.view.record.server_id)
