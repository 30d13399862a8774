"""How many sends beyond the first an entry daemon may make to a service.

All entry daemons together keep within a share of a service's requests plus a
constant in any window. Each takes that share of its own requests and an equal
part of the constant, so that the sum holds while they can't hear each other.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.ids import ServiceName

# Buckets in a window. Extra sends are counted over one bucket more than the
# window has, requests over one less, so that the bound holds at any position.
BUCKETS = 20
# Part of the constant that is used, since the number of entry daemons that
# each of them knows lags behind, and part of the ratio, since the requests of
# each are counted up to its own last extra send while the load may fall.
USED_SLACK_SHARE = 0.8
USED_RATIO_SHARE = 0.85
# Part of the allowance that hedges may take; the rest stays for retries.
HEDGE_SHARE = 0.75


class ExtraLimits(NamedTuple):
    """Bound the extra sends: share of requests, constant, window in seconds."""

    ratio: float
    slack: float
    window_s: float


@dataclass
class _Counts:
    """Count the requests and extra sends of a service by bucket number."""

    requests: dict[int, int] = field(default_factory=dict)
    extras: dict[int, int] = field(default_factory=dict)


@dataclass
class ExtraBudget:
    """Hold the counts of one entry daemon; ``started`` is by its clock."""

    limits: ExtraLimits
    clock: Callable[[], float]
    count_entry_daemons: Callable[[], int]
    started_at: float
    services: dict[ServiceName, _Counts] = field(default_factory=dict)


def _get_bucket_number(budget: ExtraBudget) -> int:
    return int(budget.clock() * BUCKETS / budget.limits.window_s)


def _get_counts(budget: ExtraBudget, service: ServiceName) -> _Counts:
    counts = budget.services.get(service)
    if counts is None:
        counts = budget.services[service] = _Counts()
    return counts


def _increment(counts: dict[int, int], now: int) -> None:
    counts[now] = counts.get(now, 0) + 1
    if len(counts) > 2 * BUCKETS:
        for old in [number for number in counts if number < now - BUCKETS]:
            del counts[old]


def count_request(budget: ExtraBudget, service: ServiceName) -> None:
    """Count the first send of a request to a service."""
    _increment(_get_counts(budget, service).requests, _get_bucket_number(budget))


def compute_remaining_allowance(budget: ExtraBudget, service: ServiceName) -> float:
    """Return how many more extra sends fit into the window now."""
    counts, now, limits = (
        _get_counts(budget, service),
        _get_bucket_number(budget),
        budget.limits,
    )
    requests = sum(n for at, n in counts.requests.items() if at > now - BUCKETS + 1)
    extras = sum(n for at, n in counts.extras.items() if at >= now - BUCKETS)
    # What this daemon sent before a restart is forgotten, so its part of the
    # constant grows over one window.
    elapsed_share = min(1.0, (budget.clock() - budget.started_at) / limits.window_s)
    slack = (
        elapsed_share
        * limits.slack
        * USED_SLACK_SHARE
        / max(1, budget.count_entry_daemons())
    )
    return USED_RATIO_SHARE * limits.ratio * requests + slack - extras


def try_consume_extra_send(
    budget: ExtraBudget, service: ServiceName, is_hedge: bool = False
) -> bool:
    """Count an extra send if one is allowed; hedges leave room for retries."""
    counts, now = _get_counts(budget, service), _get_bucket_number(budget)
    remaining = compute_remaining_allowance(budget, service)
    if is_hedge:
        used = sum(n for at, n in counts.extras.items() if at >= now - BUCKETS)
        remaining -= (1.0 - HEDGE_SHARE) * (remaining + used)
    if remaining < 1.0:
        return False
    _increment(counts.extras, now)
    return True
