"""Retry policy: which failed attempts are retried, within which budgets."""

from dataclasses import dataclass
from enum import Enum

from bramleyrouter.codes import Code
from bramleyrouter.routing.token_buckets import TokenBucket, has_tokens

# Retries that each query may make in addition to its share of attempts.
MIN_QUERY_RETRIES = 2
# Maximum number of retries of the daemon in a burst, such as after the loss of a home.
DAEMON_RETRY_BURST = 100
# Weight of one reply in the moving average of the share of shed requests.
SHED_WEIGHT = 0.02
# Share of shed requests above which requests that were shed are not retried.
MAX_SHED_SHARE = 0.3
# Shortest remaining time for a retry, in seconds.
MIN_RETRY_TIME_S = 0.002


class RetryKind(Enum):
    """Distinguish failures by what a retry costs the backend servers."""

    # The request did not run and used no server. The retry needs no budget,
    # because each server is tried at most once.
    REDIRECT = "redirect"
    # The request did not run, because the server lacks capacity.
    SHED = "shed"
    # The request may have run. Queries are idempotent, so it may run again.
    REPEAT = "repeat"
    # The request may have run, but the server or its home failed, which also
    # removed the load. The retry uses the daemon's budget only: the failure of
    # many servers at once would exhaust a query's own budget and lose coverage.
    LOST = "lost"
    # A retry would fail in the same way, or no time remains.
    NEVER = "never"


_REDIRECT_CODES = {
    Code.NOT_READY,
    Code.STOPPING,
    Code.NO_SERVER,
    Code.CONNECT_FAILED,
    Code.NO_AUTHORITY,
    Code.SERVER_OUT,
    Code.SERVER_LEAVING,
    Code.STALE_HOME,
    Code.NOT_HOME,
    Code.VERSION_NOT_HELD,
    Code.HELD_DOWN,
    Code.PEER_UNREACHABLE,
}
_SHED_CODES = {
    Code.OVERLOADED,
    Code.TENANT_LIMIT,
    Code.SERVER_REFUSED,
    Code.QUEUE_FULL,
}
_REPEAT_CODES = {
    Code.SHARD_TIMEOUT,
    Code.SHARD_TRUNCATED,
    Code.SHARD_WRONG_VERSION,
    Code.SHARD_WRONG_IDENTITY,
    Code.SHARD_SERVER_ERROR,
    Code.SHARD_CANCELLED,
}
_LOST_CODES = {
    Code.SHARD_CONNECTION_LOST,
    Code.SHARD_HOME_LOST,
}


@dataclass
class RetryBudget:
    """Hold the daemon's retry bucket and the share of recent requests shed."""

    bucket: TokenBucket
    shed_share: float = 0.0


def classify_failure(code: Code) -> RetryKind:
    """Return the kind of retry for an attempt that failed with ``code``."""
    if code in _REDIRECT_CODES:
        return RetryKind.REDIRECT
    if code in _SHED_CODES:
        return RetryKind.SHED
    if code in _LOST_CODES:
        return RetryKind.LOST
    return RetryKind.REPEAT if code in _REPEAT_CODES else RetryKind.NEVER


def record_reply(budget: RetryBudget, kind: RetryKind | None) -> None:
    """Record one finished attempt; ``kind`` is None if it succeeded."""
    target = 1.0 if kind is RetryKind.SHED else 0.0
    budget.shed_share += SHED_WEIGHT * (target - budget.shed_share)


def compute_query_retry_limit(share: float, attempts: int) -> float:
    """Return the retries that a query with ``attempts`` first attempts may make."""
    return MIN_QUERY_RETRIES + share * attempts


def may_retry(
    kind: RetryKind,
    budget: RetryBudget,
    query_retries_left: float,
    remaining_s: float,
    median_latency_s: float,
) -> bool:
    """Return whether a failed attempt may be retried.

    ``query_retries_left`` is the query's own budget, ``median_latency_s`` that of
    the service. The calling function must consume both budgets for the attempts
    that follow, except that a redirect consumes neither and a lost request only
    the daemon's.
    """
    if kind is RetryKind.NEVER or remaining_s < max(MIN_RETRY_TIME_S, median_latency_s):
        return False
    if kind is RetryKind.REDIRECT:
        return True
    if kind is RetryKind.SHED and budget.shed_share > MAX_SHED_SHARE:
        return False
    is_within_query_budget = kind is RetryKind.LOST or query_retries_left >= 1
    return is_within_query_budget and has_tokens(budget.bucket, 1)
