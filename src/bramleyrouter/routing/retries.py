"""Which failed requests are sent again, and how many of them."""

from dataclasses import dataclass
from enum import Enum

from bramleyrouter.codes import Code
from bramleyrouter.routing.token_buckets import TokenBucket, has_tokens

# Retries that every query may make beyond its share of the budget.
MIN_QUERY_RETRIES = 2
# Retries that the daemon may make in a burst, such as after the loss of a home.
DAEMON_RETRY_BURST = 100
# Weight of one reply in the share of replies that shed load.
SHED_WEIGHT = 0.02
# With a larger share of replies shed, no request that was shed is sent again.
MAX_SHED_SHARE = 0.3
# Shortest time left, in seconds, that is worth a retry.
MIN_RETRY_TIME_S = 0.002


class RetryKind(Enum):
    """Tell apart what a retry costs the backend servers."""

    # It did not run and cost no server anything: free of the budgets, since
    # each server is asked at most once.
    REDIRECT = "redirect"
    # It did not run, but the server is short of capacity.
    SHED = "shed"
    # It may have run; a query is idempotent, so it may run again.
    REPEAT = "repeat"
    # It may have run, but the server or its home died and took the load along.
    # Charged to the daemon's budget alone: the death of many servers at once
    # would spend a query's own budget and leave shards out.
    LOST = "lost"
    # Another request would end alike, or there is no time left.
    NEVER = "never"


_REDIRECTS = {
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
_SHEDS = {
    Code.OVERLOADED,
    Code.TENANT_LIMIT,
    Code.SERVER_REFUSED,
    Code.QUEUE_FULL,
}
_REPEATS = {
    Code.SHARD_TIMEOUT,
    Code.SHARD_TRUNCATED,
    Code.SHARD_WRONG_VERSION,
    Code.SHARD_WRONG_IDENTITY,
    Code.SHARD_SERVER_ERROR,
    Code.SHARD_CANCELLED,
}
_LOST = {
    Code.SHARD_CONNECTION_LOST,
    Code.SHARD_HOME_LOST,
}


@dataclass
class RetryBudget:
    """Hold the daemon's bucket and the share of recent replies that shed."""

    bucket: TokenBucket
    shed_share: float = 0.0


def classify_failure(code: Code) -> RetryKind:
    """Return what sending again after ``code`` means."""
    if code in _REDIRECTS:
        return RetryKind.REDIRECT
    if code in _SHEDS:
        return RetryKind.SHED
    if code in _LOST:
        return RetryKind.LOST
    return RetryKind.REPEAT if code in _REPEATS else RetryKind.NEVER


def record_reply(budget: RetryBudget, kind: RetryKind | None) -> None:
    """Count one ended request; ``kind`` is None when it succeeded."""
    target = 1.0 if kind is RetryKind.SHED else 0.0
    budget.shed_share += SHED_WEIGHT * (target - budget.shed_share)


def compute_query_retry_limit(share: float, requests: int) -> float:
    """Return the retries that a query of so many requests may make."""
    return MIN_QUERY_RETRIES + share * requests


def may_retry(
    kind: RetryKind,
    budget: RetryBudget,
    query_retries_left: float,
    time_left_s: float,
    median_latency_s: float,
) -> bool:
    """Return whether to send again; ``units_left`` is the query's own budget.

    The caller charges the requests that come of it to both budgets; a redirect
    to none of them, and a lost request to the daemon's alone.
    """
    if kind is RetryKind.NEVER or time_left_s < max(MIN_RETRY_TIME_S, median_latency_s):
        return False
    if kind is RetryKind.REDIRECT:
        return True
    if kind is RetryKind.SHED and budget.shed_share > MAX_SHED_SHARE:
        return False
    is_within_query_budget = kind is RetryKind.LOST or query_retries_left >= 1
    return is_within_query_budget and has_tokens(budget.bucket, 1)
