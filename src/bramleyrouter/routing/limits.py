"""Adaptive limit of running queries, from the queue times at the homes."""

from dataclasses import dataclass

# The limit before anything was measured, and the least that it falls to.
INITIAL_LIMIT = 32.0
MIN_LIMIT = 1.0
# A window has at least so many seconds and ended queries.
MIN_WINDOW_S = 0.05
MIN_WINDOW_QUERIES = 8
# A request is delayed when it waited at its home for longer than this multiple
# of its time in service, or was shed or timed out. At 1 a slot always has its
# next request at hand.
QUEUE_TARGET = 1.0
# Share of delayed requests from which the servers are overloaded. Shares, not
# means, decide: one hot service must not lower the limit of all others.
DELAYED_SHARE = 0.5
# The share is lower when more than LOSSY_SHARE of the queries lost a request to
# full queues or the deadline: with a wide fan-out few such requests harm many
# queries.
LOSSY_SHARE = 0.05
DELAYED_SHARE_WHEN_LOSSY = 0.25
# One window lowers the limit by these factors at most and at least, and raises
# it by the last one (or by one query), when at least BUSY_SHARE of it was used.
MAX_DECREASE, MIN_DECREASE, INCREASE = 0.5, 0.8, 0.05
BUSY_SHARE = 0.8
# Hedges pause for so long after an overloaded window, in seconds.
OVERLOAD_HOLD_S = 1.0


@dataclass
class Limit:
    """Hold the limit, and sums over what ended in this window.

    ``queue_s`` and ``service_s`` are seconds over all requests.
    """

    value: float
    highest: float
    window_started: float
    queries: int = 0
    lossy_queries: int = 0
    requests: int = 0
    delayed: int = 0
    queue_s: float = 0.0
    service_s: float = 0.0
    peak_running: int = 0
    overloaded_until: float = float("-inf")


def build_limit(highest: int, now: float) -> Limit:
    """Return a limit of at most ``highest`` running queries."""
    return Limit(min(INITIAL_LIMIT, highest), highest, now)


def note_request(limit: Limit, queue_s: float, service_s: float, is_lost: bool) -> None:
    """Count one ended request; ``is_lost`` when it was shed or timed out."""
    limit.requests += 1
    limit.delayed += is_lost or queue_s > QUEUE_TARGET * service_s
    limit.queue_s += queue_s
    limit.service_s += service_s


def note_query(limit: Limit, is_lossy: bool, now: float) -> None:
    """Count one ended query; ``is_lossy`` when one of its requests was lost."""
    limit.queries += 1
    limit.lossy_queries += is_lossy
    is_long = now - limit.window_started >= MIN_WINDOW_S
    if is_long and limit.queries >= MIN_WINDOW_QUERIES:
        _end_window(limit, now)


def note_running(limit: Limit, running: int) -> None:
    """Keep the most queries that ran at once in this window."""
    if running > limit.peak_running:
        limit.peak_running = running


def is_overload(limit: Limit) -> bool:
    """Return whether the window shows servers with more work than they serve."""
    delayed_share = limit.delayed / limit.requests if limit.requests else 0.0
    if limit.lossy_queries > LOSSY_SHARE * limit.queries:
        return delayed_share > DELAYED_SHARE_WHEN_LOSSY
    return delayed_share > DELAYED_SHARE


def _end_window(limit: Limit, now: float) -> None:
    if is_overload(limit):
        # By Little's law concurrency is in proportion to the time in the
        # system, so this factor brings the queue back to its target.
        waiting = limit.queue_s / limit.service_s if limit.service_s > 0 else 0.0
        factor = (1 + QUEUE_TARGET) / (1 + waiting)
        factor = min(max(factor, MAX_DECREASE), MIN_DECREASE)
        used = min(limit.value, max(limit.peak_running, MIN_LIMIT))
        limit.value = max(MIN_LIMIT, used * factor)
        limit.overloaded_until = now + OVERLOAD_HOLD_S
    elif limit.peak_running >= BUSY_SHARE * limit.value:
        step = max(1.0, INCREASE * limit.value)
        limit.value = min(limit.highest, limit.value + step)
    limit.window_started = now
    limit.queries = limit.lossy_queries = limit.requests = limit.delayed = 0
    limit.queue_s = limit.service_s = 0.0
    limit.peak_running = 0
