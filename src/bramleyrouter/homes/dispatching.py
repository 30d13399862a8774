"""Dispatch to the servers of this home, inside all of their limits."""

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
from bramleyrouter.homes.rows import mark_changed
from bramleyrouter.homes.state import HomesState, ServerEntry, Work, WorkResult
from bramleyrouter.states import Outcome

# Pause after a connection was refused, in seconds; it doubles up to the
# longest. Without it a dead server would attract work by failing quickly.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0

# Ends that show a server in trouble. A refusal for a version that it does not
# hold, or because it drains, says nothing about its load.
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


# Ends that say nothing of the server, which may work on until the deadline
# that it was told. The slot is kept until then.
_END_UNKNOWN_CODES = frozenset(
    {Code.SHARD_TIMEOUT, Code.SHARD_CONNECTION_LOST, Code.OUTCOME_UNKNOWN}
)


def compute_max_connections(connection_limit: int, slots: int) -> int:
    """Return how many connections are opened to a server.

    One is for cancellations and probes. One that was declared stays unused
    where there are two: when a connection takes the place of another, the
    server may see the new one before it notices that the old one ended.
    """
    return max(1, min(connection_limit - 1, slots + 1))


def compute_capacity(entry: ServerEntry) -> int:
    """Return how many requests may be in flight."""
    connections = entry.target.max_connections
    return max(1, min(entry.slots, connections - 1, entry.ramp.limit))


def has_free_slot(entry: ServerEntry) -> bool:
    """Return whether one more request, or a probe, fits in."""
    used = len(entry.running) + entry.is_probing
    return not entry.is_handing_over and used < compute_capacity(entry)


def admit_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Dispatch, queue or refuse a piece of work."""
    now = state.clock()
    refusal = find_refusal(state, entry, work.is_remote_stale, now)
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
        work.expiry = loop.call_later(wait_s, _expire_work, state, entry, work)
        dispatch_queued(state, entry)


def _find_queue_refusal(entry: ServerEntry, work: Work, now: float) -> Refusal | None:
    """Refuse early what would only wait until its deadline has passed."""
    if entry.queue.size >= MAX_QUEUED_PER_SLOT * entry.slots:
        return Code.QUEUE_FULL, f'"{entry.queue.size}" requests wait already.'
    ahead = count_ahead(entry.queue, work.deadline)
    wait_s = (ahead + 1) * entry.mean_service_s / compute_capacity(entry)
    if now + wait_s + entry.mean_service_s > work.deadline:
        text = f"A wait of {wait_s:.3f} s is expected, too long for the deadline."
        return Code.QUEUE_DEADLINE, text
    return None


def _expire_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    work.expiry = None
    if remove(entry.queue, work):
        refuse_work(
            state, work, (Code.QUEUE_DEADLINE, "The deadline came in the queue.")
        )


def refuse_work(state: HomesState, work: Work, refusal: Refusal) -> None:
    """End work that did not run."""
    code, text = refusal
    if isinstance(work.call, QueryCall):
        _finish_work(state, work, QueryResult(code, text))
    else:
        _finish_work(state, work, SubmitResult(Outcome.NOT_RUN, code, text))


def _finish_work(state: HomesState, work: Work, result: WorkResult) -> None:
    if work.expiry is not None:
        work.expiry.cancel()
        work.expiry = None
    work.ended_at = state.clock()
    state.ended_by_code[result.code] = state.ended_by_code.get(result.code, 0) + 1
    on_end = work.on_end
    work.on_end = None
    if on_end is not None:
        on_end(work, result)


def dispatch_queued(state: HomesState, entry: ServerEntry) -> None:
    """Start what waits while there are free slots."""
    while entry.queue.size and has_free_slot(entry):
        work = pop(entry.queue)
        if work is None:
            return
        now = state.clock()
        refusal = find_refusal(state, entry, work.is_remote_stale, now)
        if refusal is not None:
            refuse_work(state, work, refusal)
        else:
            _start_attempt(state, entry, work, now)


def refuse_queued(state: HomesState, entry: ServerEntry, refusal: Refusal) -> None:
    """Refuse all that waits for a server."""
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
    # What waited and has less than half of the usual time left would mostly
    # take a slot for nothing.
    needed_s = entry.mean_service_s / 2 if work.expiry is not None else 0.0
    if timeout_s < max(MIN_ATTEMPT_S, needed_s):
        refuse_work(state, work, (Code.QUEUE_DEADLINE, "Too little time is left."))
        return
    if work.expiry is not None:
        work.expiry.cancel()
        work.expiry = None
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
        result.code in _END_UNKNOWN_CODES
        and work.attempt_deadline + MAX_TRANSIT_S > now
    ):
        wait_s = work.attempt_deadline + MAX_TRANSIT_S - now
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, _release_slot, state, entry, work)
    else:
        entry.running.discard(work)
    _record_attempt_result(entry, work, result, now, state.loop_lag_s)
    if state.entries.get(entry.target.server_id) is entry:
        mark_changed(state, entry)
    _finish_work(state, work, result)
    dispatch_queued(state, entry)


def _release_slot(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Free the slot of an attempt whose end at the server was not seen."""
    entry.running.discard(work)
    dispatch_queued(state, entry)


def _record_attempt_result(
    entry: ServerEntry, work: Work, result: WorkResult, now: float, loop_lag_s: float
) -> None:
    """Let the ramp and the estimate of waits follow how an attempt ended."""
    started_at = work.started_at if work.started_at is not None else now
    # A late event loop sees every server late; that is no sign of cold.
    elapsed_s = max(0.0, now - started_at - loop_lag_s)
    was_cut = False
    if result.code is Code.OK:
        entry.backoff_s = 0.0
        was_cut = record_success(entry.ramp, elapsed_s, now)
        share = max(SERVICE_EWMA_WEIGHT, 1 / entry.ramp.samples)
        entry.mean_service_s += share * (elapsed_s - entry.mean_service_s)
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
            "homes: %s looks cold (%s); its ramp begins again.", server_id, result.code
        )


def cancel_work(state: HomesState, entry: ServerEntry, work: Work) -> None:
    """Stop work that nobody waits for any more.

    Queued work ends at once. A running query is cancelled at the server and
    keeps its slot until it has ended there. A running submission goes on.
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
