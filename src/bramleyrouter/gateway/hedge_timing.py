"""Decide when a shard or a single request is hedged, and which hedges the budget pays.

The load pattern: servers are mostly idle, but each pauses for a moment every few
seconds, and the extra sends that the bound allows are fewer than the requests that meet
a pause. A hedge of a request that would have been answered in time anyway then takes
the allowance from one that would not.

While the allowance of a service is ample, a hedge is sent early. The scarcer it is, the
later, up to the last moment at which a second server still replies in the useful time:
until then, many first servers have replied. Routes that share a service with a more
urgent route leave it a part of the allowance, because they have more time left to wait
for the first server. At their last moment they may use that part too: a gather that
then lacks a few shards ends late as a whole. The functions perform no I/O, and all
times are in seconds since the arrival of the request.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bramleyrouter.gateway.latencies import (
    MIN_SAMPLES,
    LatencyWindow,
    compute_hedge_delay,
)
from bramleyrouter.gateway.tables import RequestKind, Route
from bramleyrouter.ids import ServiceName

# Number of regular checks for stragglers. Later checks retry the hedges for which an
# earlier one had no budget or no server.
MAX_HEDGE_CHECKS = 3
# Number of further checks between the earliest and the latest hedge. They take place
# only while a hedge is postponed.
POSTPONED_CHECKS = 4
# Share of the allowance for hedges above which it is ample.
AMPLE_SHARE = 0.5
# Share of the allowance for hedges that a route leaves to more urgent routes of the
# same service.
URGENT_SHARE = 0.5
# Time in seconds in which a relay gets the requesting daemon's grant of an attempt:
# a round trip of 2 ms, and the lag of two event loops.
GRANT_S = 0.005
# Tolerance when times are compared, in seconds.
EPSILON_S = 1e-6


class HedgeTiming(NamedTuple):
    """Hold the earliest and the latest useful delay of a hedge, in seconds.

    ``is_known`` is false if the latencies of the route are not known yet.
    """

    earliest_s: float
    latest_s: float
    is_known: bool = True


class HedgeAllowance(NamedTuple):
    """Hold how many hedges of a service the window allows: still, and altogether."""

    remaining: float
    total: float


def compute_hedge_timing(
    window: LatencyWindow, objective_s: float, useful_s: float
) -> HedgeTiming:
    """Return when a request may be hedged.

    A reply is useful if it arrives within ``useful_s`` seconds. The latest delay equals
    the earliest one if a second server has no time to spare, or if the latencies of the
    route are not known yet.
    """
    earliest_s = compute_hedge_delay(window, objective_s)
    if len(window.samples) < MIN_SAMPLES:
        return HedgeTiming(earliest_s, earliest_s, is_known=False)
    return HedgeTiming(earliest_s, max(earliest_s, useful_s - window.reply_quantile_s))


def deduct_grant(timing: HedgeTiming) -> HedgeTiming:
    """Return the timing of a hedge that waits for a grant before it is sent."""
    return timing._replace(latest_s=max(timing.earliest_s, timing.latest_s - GRANT_S))


def compute_scarcity(allowance: HedgeAllowance) -> float:
    """Return how scarce the allowance is, from 0 (ample) to 1 (exhausted)."""
    if allowance.remaining < 1.0:
        return 1.0
    share = allowance.remaining / allowance.total
    return min(1.0, max(0.0, 1.0 - share / AMPLE_SHARE))


def is_hedge_due(
    timing: HedgeTiming, allowance: HedgeAllowance, waited_s: float
) -> bool:
    """Return whether a request that has waited ``waited_s`` seconds is hedged now.

    After the latest delay, it is hedged only while the allowance is ample.
    """
    scarcity = compute_scarcity(allowance)
    if waited_s > timing.latest_s + EPSILON_S:
        return scarcity == 0.0
    delay_s = timing.earliest_s + scarcity * (timing.latest_s - timing.earliest_s)
    return waited_s >= delay_s - EPSILON_S


def is_last_moment(timing: HedgeTiming, waited_s: float) -> bool:
    """Return whether a hedge that is not sent now would be too late."""
    return timing.is_known and waited_s >= timing.latest_s - EPSILON_S


def find_next_check(
    timing: HedgeTiming, last_check_s: float, is_postponed: bool
) -> float | None:
    """Return the delay of the next check for stragglers, or none after the last one.

    ``last_check_s`` is the delay of the check before, 0 if there was none.
    ``is_postponed`` states whether that check postponed a hedge.
    """
    span_s = timing.latest_s - timing.earliest_s
    delays = [timing.earliest_s * (at + 1) for at in range(MAX_HEDGE_CHECKS)]
    if is_postponed:
        delays += [
            timing.earliest_s + span_s * (at + 1) / POSTPONED_CHECKS
            for at in range(POSTPONED_CHECKS)
        ]
    return min(
        (delay for delay in delays if delay > last_check_s + EPSILON_S), default=None
    )


def find_most_urgent(routes: Iterable[Route]) -> dict[ServiceName, int]:
    """Return the priority of the most urgent route that may hedge, by service."""
    priorities: dict[ServiceName, int] = {}
    for route in routes:
        is_single = bool(route.targets)
        if route.attempts < 2 or (
            is_single and route.kind is RequestKind.NON_IDEMPOTENT
        ):
            continue
        services = (*route.shards, *(target.service for target in route.targets))
        for service in services:
            priority = priorities.get(service, route.priority)
            priorities[service] = min(priority, route.priority)
    return priorities


def compute_reserved_share(
    most_urgent: dict[ServiceName, int], service: ServiceName, priority: int
) -> float:
    """Return the share of a service's hedges that a route leaves to more urgent ones.

    A daemon that serves a delegated query may not know the service; it then reserves
    nothing.
    """
    return URGENT_SHARE if priority > most_urgent.get(service, priority) else 0.0
