"""Budget of extra sends: retries and hedges that an entry daemon may send.

In any window of time, the extra sends of all entry daemons to a service stay below a
share of its requests plus a constant. Each daemon applies the share to its own requests
and uses an equal part of the constant, so that the bound holds even while the daemons
can't communicate.

An extra send may reach its server at any time until its exchange has ended, and the
other sends of its request may arrive after it. So it counts from the decision on it
until one window after the last of them has ended, and not at all if it never left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.gateway.hedge_timing import HedgeAllowance
from bramleyrouter.ids import ServiceName

# Extra sends are summed over one bucket more than the window, requests over one fewer,
# so that the bound holds wherever a window starts.
BUCKETS_PER_WINDOW = 20
# Share of the constant that is used. It is below 1 because a daemon's count of entry
# daemons may be out of date.
USED_SLACK_SHARE = 0.8
# Share of the ratio that is used. It is below 1 because each daemon applies the ratio
# to the requests before its own last extra send. While the load falls, these are more
# than the requests of a later window that still contains the extra send.
USED_RATIO_SHARE = 0.85
# Share of the allowance that hedges may use; the rest is reserved for retries.
HEDGE_SHARE = 0.75


class ExtraLimits(NamedTuple):
    """Hold the bound on extra sends: share of requests, constant, window in seconds."""

    ratio: float
    slack: float
    window_s: float


@dataclass
class _Counts:
    """Count the requests and extra sends of a service by bucket number.

    ``extras`` holds the extra sends that have ended, and ``open_extras`` the number of
    those that have not.
    """

    requests: dict[int, int] = field(default_factory=dict)
    extras: dict[int, int] = field(default_factory=dict)
    open_extras: int = 0


@dataclass
class ExtraBudget:
    """Hold the counts of one entry daemon; ``started_at`` is a time of ``clock``."""

    limits: ExtraLimits
    clock: Callable[[], float]
    count_entry_daemons: Callable[[], int | None]
    started_at: float
    services: dict[ServiceName, _Counts] = field(default_factory=dict)


def _get_bucket_number(budget: ExtraBudget) -> int:
    return int(budget.clock() * BUCKETS_PER_WINDOW / budget.limits.window_s)


def _get_counts(budget: ExtraBudget, service: ServiceName) -> _Counts:
    counts = budget.services.get(service)
    if counts is None:
        counts = budget.services[service] = _Counts()
    return counts


def _increment(counts: dict[int, int], bucket: int) -> None:
    counts[bucket] = counts.get(bucket, 0) + 1
    if len(counts) > 2 * BUCKETS_PER_WINDOW:
        for old in [
            number for number in counts if number < bucket - BUCKETS_PER_WINDOW
        ]:
            del counts[old]


def count_request(budget: ExtraBudget, service: ServiceName) -> None:
    """Count the first attempt of a request to a service."""
    _increment(_get_counts(budget, service).requests, _get_bucket_number(budget))


def compute_remaining_allowance(budget: ExtraBudget, service: ServiceName) -> float:
    """Return how many extra sends the current window still allows."""
    counts, bucket, limits = (
        _get_counts(budget, service),
        _get_bucket_number(budget),
        budget.limits,
    )
    requests = sum(
        n for at, n in counts.requests.items() if at > bucket - BUCKETS_PER_WINDOW + 1
    )
    # The extra sends before a restart are not stored, so the daemon's part of the
    # constant grows from 0 to its full value over the first window.
    elapsed_share = min(1.0, (budget.clock() - budget.started_at) / limits.window_s)
    entry_daemons = budget.count_entry_daemons()
    slack = elapsed_share * limits.slack * USED_SLACK_SHARE
    # While the number of daemons is unknown, no part of the constant is used.
    slack = slack / max(1, entry_daemons) if entry_daemons is not None else 0.0
    used = _count_extras(budget, service)
    return USED_RATIO_SHARE * limits.ratio * requests + slack - used


def _count_extras(budget: ExtraBudget, service: ServiceName) -> int:
    """Count the extra sends that may reach the service in the current window."""
    counts, bucket = _get_counts(budget, service), _get_bucket_number(budget)
    ended = sum(
        n for at, n in counts.extras.items() if at >= bucket - BUCKETS_PER_WINDOW
    )
    return counts.open_extras + ended


def try_consume_extra_send(
    budget: ExtraBudget,
    service: ServiceName,
    is_hedge: bool = False,
    reserved_share: float = 0.0,
) -> bool:
    """Count an extra send if the budget allows one; return whether it does.

    Hedges may use only ``HEDGE_SHARE`` of the allowance, so that retries remain
    possible, and of this not the share that is reserved for more urgent routes. If it
    returns true, the caller must call ``end_extra_send`` later.
    """
    if not has_allowance(budget, service, is_hedge, reserved_share):
        return False
    _get_counts(budget, service).open_extras += 1
    return True


def end_extra_send(
    budget: ExtraBudget, service: ServiceName, may_have_arrived: bool
) -> None:
    """Record that the exchange of an extra send has ended, or was never started."""
    counts = _get_counts(budget, service)
    counts.open_extras -= 1
    if may_have_arrived:
        _increment(counts.extras, _get_bucket_number(budget))


def has_allowance(
    budget: ExtraBudget,
    service: ServiceName,
    is_hedge: bool,
    reserved_share: float = 0.0,
) -> bool:
    """Return whether the budget allows an extra send now."""
    if is_hedge:
        allowance = compute_hedge_allowance(budget, service, reserved_share)
        return allowance.remaining >= 1.0
    return compute_remaining_allowance(budget, service) >= 1.0


def compute_hedge_allowance(
    budget: ExtraBudget, service: ServiceName, reserved_share: float
) -> HedgeAllowance:
    """Return how many hedges the window allows to a route, still and altogether.

    The route leaves ``reserved_share`` of the hedges to more urgent routes.
    """
    remaining = compute_remaining_allowance(budget, service)
    used = _count_extras(budget, service)
    total = remaining + used
    # Subtracted, as rounding must not change what a route without reserve may send.
    reserved = (1.0 - HEDGE_SHARE) * total + reserved_share * HEDGE_SHARE * total
    return HedgeAllowance(remaining - reserved, total - reserved)
