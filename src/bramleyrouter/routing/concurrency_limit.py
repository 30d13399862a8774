"""Adaptive concurrency limit of queries, from the queue times at the homes.

An attempt is dropped when it was shed or timed out in a queue. An attempt is
delayed when it was dropped or waited longer than the target.
"""

from dataclasses import dataclass

# Initial value of the limit, and its lowest value.
INITIAL_LIMIT = 32.0
MIN_LIMIT = 1.0
# Shortest time and fewest finished queries of a measurement window.
MIN_WINDOW_S = 0.05
MIN_WINDOW_QUERIES = 8
# Longest queue time of an attempt that is not delayed, as a multiple of its
# service time. At 1, the next attempt is always queued when a slot becomes free.
TARGET_QUEUE_RATIO = 1.0
# Share of delayed attempts above which the servers are overloaded. The share is
# used rather than the mean queue time, because one hot service must not lower
# the limit for all others.
MAX_DELAYED_SHARE = 0.5
# The lower share applies when more than MAX_DROP_SHARE of the queries have a
# dropped attempt: with a wide fan-out, few such attempts harm many queries.
MAX_DROP_SHARE = 0.05
MAX_DELAYED_SHARE_WITH_DROPS = 0.25
# An overloaded window multiplies the limit by a factor in this range. Another
# window raises it by INCREASE_SHARE, or by one query if that is more, provided
# that at least MIN_USED_SHARE of the limit was used.
MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR, INCREASE_SHARE = 0.5, 0.8, 0.05
MIN_USED_SHARE = 0.8
# Time after an overloaded window for which the daemon counts as overloaded and sends
# no hedges, in seconds.
OVERLOAD_DURATION_S = 1.0


@dataclass
class ConcurrencyLimit:
    """Hold the limit, and the sums over the current measurement window.

    ``queue_s`` and ``service_s`` are sums over all attempts, in seconds.
    """

    value: float
    max_value: float
    window_started_at: float
    queries: int = 0
    queries_with_drops: int = 0
    attempts: int = 0
    delayed: int = 0
    queue_s: float = 0.0
    service_s: float = 0.0
    peak_running: int = 0
    overloaded_until: float = float("-inf")


def build_concurrency_limit(max_value: int, now: float) -> ConcurrencyLimit:
    """Return a limit of at most ``max_value`` running queries."""
    return ConcurrencyLimit(min(INITIAL_LIMIT, max_value), max_value, now)


def record_attempt(
    limit: ConcurrencyLimit, queue_s: float, service_s: float, is_dropped: bool
) -> None:
    """Count one finished attempt; ``is_dropped`` if it was shed or timed out."""
    limit.attempts += 1
    limit.delayed += is_dropped or queue_s > TARGET_QUEUE_RATIO * service_s
    limit.queue_s += queue_s
    limit.service_s += service_s


def record_query(limit: ConcurrencyLimit, has_drops: bool, now: float) -> None:
    """Count one finished query, and close the window if it is complete."""
    limit.queries += 1
    limit.queries_with_drops += has_drops
    is_long = now - limit.window_started_at >= MIN_WINDOW_S
    if is_long and limit.queries >= MIN_WINDOW_QUERIES:
        _close_window(limit, now)


def update_peak_running(limit: ConcurrencyLimit, running: int) -> None:
    """Update the largest number of queries that ran at once in this window."""
    if running > limit.peak_running:
        limit.peak_running = running


def is_window_overloaded(limit: ConcurrencyLimit) -> bool:
    """Return whether the servers received more work than they could execute."""
    delayed_share = limit.delayed / limit.attempts if limit.attempts else 0.0
    if limit.queries_with_drops > MAX_DROP_SHARE * limit.queries:
        return delayed_share > MAX_DELAYED_SHARE_WITH_DROPS
    return delayed_share > MAX_DELAYED_SHARE


def _close_window(limit: ConcurrencyLimit, now: float) -> None:
    if is_window_overloaded(limit):
        # By Little's law, concurrency is proportional to the time in the system,
        # so this factor brings the queue back to its target.
        queue_ratio = limit.queue_s / limit.service_s if limit.service_s > 0 else 0.0
        factor = (1 + TARGET_QUEUE_RATIO) / (1 + queue_ratio)
        factor = min(max(factor, MIN_DECREASE_FACTOR), MAX_DECREASE_FACTOR)
        used = min(limit.value, max(limit.peak_running, MIN_LIMIT))
        limit.value = max(MIN_LIMIT, used * factor)
        limit.overloaded_until = now + OVERLOAD_DURATION_S
    elif limit.peak_running >= MIN_USED_SHARE * limit.value:
        step = max(1.0, INCREASE_SHARE * limit.value)
        limit.value = min(limit.max_value, limit.value + step)
    limit.window_started_at = now
    limit.queries = limit.queries_with_drops = limit.attempts = limit.delayed = 0
    limit.queue_s = limit.service_s = 0.0
    limit.peak_running = 0
