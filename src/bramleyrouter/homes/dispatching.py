"""Dispatch work to the servers of this home, within all their limits."""

import asyncio

from absl import logging

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import QueryCall, QueryResult, SubmitResult
from bramleyrouter.homes.limits import (
    AUTHORITY_MARGIN_S,
    MAX_QUEUED_PER_SLOT,
    MAX_TRANSIT_S,
    MIN_ATTEMPT_S,
    SERVICE_EWMA_WEIGHT,
)
from bramleyrouter.homes.queues import count_ahead, pop, pop_all, push, remove
from bramleyrouter.homes.ramps import record_cancelled, record_failure, record_success
from bramleyrouter.homes.refusals import Refusal, find_refusal
from bramleyrouter.homes.rows import schedule_row_update
from bramleyrouter.homes.state import HomesState, ServerEntry, Work, WorkResult
from bramleyrouter.states import Outcome

# Backoff after a failed connection, in seconds; it doubles up to the maximum.
# Without it a dead server would attract work, because it fails quickly.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0

# Codes that count as failures of the server. A refusal because the server does not
# hold a version, or because it drains, says nothing about its load.
_FAILURE_CODES = frozenset(
    {
        Code.SERVER_REFUSED,
        Code.CONNECT_FAILED,
        Code.SHARD_TIMEOUT,
        Code.SHARD_TRUNCATED,
        Code.SHARD_WRONG_IDENTITY,
        Code.SHARD_SERVER_ERROR,
        Code.SHARD_CONNECTION_LOST,
        Code.OUTCOME_UNKNOWN,
    }
)


# Codes after which the server may still execute the request until the deadline that
# was sent with it. The slot stays occupied until then.
_MAY_STILL_RUN_CODES = frozenset(
    {Code.SHARD_TIMEOUT, Code.SHARD_CONNECTION_LOST, Code.OUTCOME_UNKNOWN}
)


def compute_max_connections(connection_limit: int, slots: int) -> int:
    """Return how many connections may be opened to a server.

    One connection more than the slots serves cancellations and probes. If the
    declared limit is two or more, one declared connection stays unused: when a
    connection replaces another, the server may accept the new one before it notices
    that the old one was closed.
    """
    return max(1, min(connection_limit - 1, slots + 1))


def compute_capacity(entry: ServerEntry) -> int:
    """Return how many requests to the server may be in flight."""
    connections = entry.target.max_connections
    return max(1, min(entry.slots, connections - 1, entry.ramp.limit))


def has_free_slot(entry: ServerEntry) -> bool:
    """Return whether one more request or probe may be sent to the server."""
    used = len(entry.running) + entry.is_probing
    return not entry.is_handing_over and used < compute_capacity(entry)


def admit_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Dispatch, queue or refuse a piece of work."""
    now = state.clock()
    refusal = find_refusal(state, entry, work.has_stale_remote_sender, now)
    if refusal is not None:
        refuse_work(state, work, refusal)
    elif not entry.queue.size and has_free_slot(entry):
        _start_attempt(state, entry, work, now)
    elif refusal := _find_queue_refusal(entry, work, now):
        refuse_work(state, work, refusal)
    else:
        push(entry.queue, work)
        loop = asyncio.get_running_loop()
        wait_s = max(0.0, work.deadline - MIN_ATTEMPT_S - now)
        work.expiry_timer = loop.call_later(wait_s, _expire_work, state, entry, work)
        dispatch_queued(state, entry)


def _find_queue_refusal(entry: ServerEntry, work: Work, now: float) -> Refusal | None:
    """Return why work can't be queued, or None.

    Work whose deadline would pass before it could finish is refused at once.
    """
    if entry.queue.size >= MAX_QUEUED_PER_SLOT * entry.slots:
        return Code.QUEUE_FULL, f'"{entry.queue.size}" requests wait already.'
    queued_ahead = count_ahead(entry.queue, work.deadline)
    wait_s = (queued_ahead + 1) * entry.mean_service_s / compute_capacity(entry)
    if now + wait_s + entry.mean_service_s > work.deadline:
        text = f"A wait of {wait_s:.3f} s is expected, too long for the deadline."
        return Code.QUEUE_DEADLINE, text
    return None


def _expire_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    work.expiry_timer = None
    if remove(entry.queue, work):
        refuse_work(
            state, work, (Code.QUEUE_DEADLINE, "The deadline came in the queue.")
        )


def refuse_work(state: HomesState, work: Work, refusal: Refusal) -> None:
    """Finish work that did not run with a refusal."""
    code, text = refusal
    if isinstance(work.call, QueryCall):
        _finish_work(state, work, QueryResult(code, text))
    else:
        _finish_work(state, work, SubmitResult(Outcome.NOT_RUN, code, text))


def _finish_work(state: HomesState, work: Work, result: WorkResult) -> None:
    if work.expiry_timer is not None:
        work.expiry_timer.cancel()
        work.expiry_timer = None
    work.ended_at = state.clock()
    state.ended_by_code[result.code] = state.ended_by_code.get(result.code, 0) + 1
    on_end = work.on_end
    work.on_end = None
    if on_end is not None:
        on_end(work, result)


def dispatch_queued(state: HomesState, entry: ServerEntry) -> None:
    """Start queued work while there are free slots."""
    while entry.queue.size and has_free_slot(entry):
        work = pop(entry.queue)
        if work is None:
            return
        now = state.clock()
        refusal = find_refusal(state, entry, work.has_stale_remote_sender, now)
        if refusal is not None:
            refuse_work(state, work, refusal)
        else:
            _start_attempt(state, entry, work, now)


def refuse_queued(state: HomesState, entry: ServerEntry, refusal: Refusal) -> None:
    """Refuse all work in a server's queue."""
    for work in pop_all(entry.queue):
        refuse_work(state, work, refusal)


def _start_attempt(
    state: HomesState, entry: ServerEntry, work: Work, now: float
) -> None:
    authority_s = entry.registered.authority_until - AUTHORITY_MARGIN_S - now
    if authority_s < MIN_ATTEMPT_S:
        refuse_work(state, work, (Code.NO_AUTHORITY, "The home's authority ends now."))
        return
    timeout_s = min(work.deadline - now, authority_s)
    # Queued work with less than half of the mean service time left would mostly
    # occupy a slot without finishing in time.
    needed_s = entry.mean_service_s / 2 if work.expiry_timer is not None else 0.0
    if timeout_s < max(MIN_ATTEMPT_S, needed_s):
        refuse_work(state, work, (Code.QUEUE_DEADLINE, "Too little time is left."))
        return
    if work.expiry_timer is not None:
        work.expiry_timer.cancel()
        work.expiry_timer = None
    work.started_at = now
    work.attempt_deadline = now + timeout_s
    entry.running.add(work)

    def on_end(result: WorkResult) -> None:
        _handle_attempt_end(state, entry, work, result)

    if isinstance(work.call, QueryCall):
        state.transport.query(entry.target, work.call, timeout_s, on_end)
    else:
        state.transport.submit(entry.target, work.call, timeout_s, on_end)


def _handle_attempt_end(
    state: HomesState, entry: ServerEntry, work: Work, result: WorkResult
) -> None:
    now = state.clock()
    if (
        result.code in _MAY_STILL_RUN_CODES
        and work.attempt_deadline + MAX_TRANSIT_S > now
    ):
        wait_s = work.attempt_deadline + MAX_TRANSIT_S - now
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, _release_slot, state, entry, work)
    else:
        entry.running.discard(work)
    _record_attempt_result(entry, work, result, now, state.loop_lag_s)
    entry.is_leaving |= result.is_leaving
    if result.retry_after_s > 0:
        wanted_at = now + result.retry_after_s
        entry.wants_none_until = max(entry.wants_none_until, wanted_at)
    if state.entries.get(entry.target.server_id) is entry:
        schedule_row_update(state, entry)
    _finish_work(state, work, result)
    dispatch_queued(state, entry)


def _release_slot(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Free the slot of an attempt whose end at the server is unknown."""
    entry.running.discard(work)
    dispatch_queued(state, entry)


def _record_attempt_result(
    entry: ServerEntry, work: Work, result: WorkResult, now: float, loop_lag_s: float
) -> None:
    """Update the ramp, the mean service time and the backoff from a result."""
    started_at = work.started_at if work.started_at is not None else now
    # A delayed event loop makes every server look slow. The delay is subtracted, so
    # that it is not taken for the latency of a cold server.
    elapsed_s = max(0.0, now - started_at - loop_lag_s)
    was_cut = False
    if result.code is Code.OK:
        entry.backoff_s = 0.0
        was_cut = record_success(entry.ramp, elapsed_s, now)
        weight = max(SERVICE_EWMA_WEIGHT, 1 / entry.ramp.samples)
        entry.mean_service_s += weight * (elapsed_s - entry.mean_service_s)
    elif result.code is Code.SHARD_CANCELLED:
        was_cut = record_cancelled(entry.ramp, elapsed_s, now)
    elif result.code in _FAILURE_CODES:
        was_cut = record_failure(entry.ramp, now)
    if result.code is Code.CONNECT_FAILED:
        doubled_s = max(FIRST_BACKOFF_S, 2 * entry.backoff_s)
        entry.backoff_s = min(MAX_BACKOFF_S, doubled_s)
        entry.retry_at = now + entry.backoff_s
    if was_cut:
        server_id = entry.target.server_id
        logging.warning(
            "homes: %s looks cold (%s); its ramp begins again.",
            server_id,
            result.code,
        )


def cancel_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Cancel work whose result is no longer needed.

    Queued work ends at once. A running query is cancelled at the server and
    occupies its slot until it has ended there. A running submission continues.
    """
    if work.ended_at is not None:
        return
    if work.on_end is not None:
        work.on_end = None
    if work.started_at is None:
        if remove(entry.queue, work):
            refuse_work(
                state, work, (Code.CANCELLED_IN_QUEUE, "Cancelled in the queue.")
            )
    elif isinstance(work.call, QueryCall):
        request_id = work.call.request_id
        state.transport.cancel(entry.target, request_id, work.attempt)
