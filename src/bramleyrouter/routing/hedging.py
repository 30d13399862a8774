"""When to send a second request for a straggler, and how many are allowed."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bramleyrouter.ids import ServiceName
from bramleyrouter.routing.plans import Attempt

# A straggler is later than this percentile times the factor. The 90th does not
# move when up to a tenth of the requests straggle; the factor keeps the tail of
# an ordinary spread from being hedged.
HEDGE_PERCENTILE = 90
HEDGE_FACTOR = 1.5
# Shortest time before a hedge, in seconds; below it the loop's own delays count.
MIN_HEDGE_DELAY_S = 0.002
# Samples needed before a service is hedged, and between two looks at its
# quantiles.
MIN_SAMPLES = 50
SAMPLES_PER_LOOK = 64
# Samples after which the older half of the window is dropped.
SAMPLES_PER_WINDOW = 512
# Share of latencies that is counted once there are enough: counting one costs
# about 3 microseconds. They are drawn at random, since every n-th one would
# miss the last replies of fan-outs of some widths.
SAMPLED_SHARE = 0.2
# Hedges that may be saved up in quiet times.
HEDGE_BURST = 10
# Histograms count microseconds, from 10 us to 60 s with one digit: a tenth of
# the value is precise enough for a time-out.
_LOWEST_US, _HIGHEST_US, _DIGITS = 10, 60_000_000, 1


@dataclass
class ServiceLatency:
    """Hold two windows of latencies and what was last computed from them."""

    current: HdrHistogram
    previous: HdrHistogram
    samples: int = 0
    hedge_delay_s: float | None = None
    typical_s: float = 0.0


@dataclass
class LatencyTable:
    """Hold the measured latencies by service, and of all services together.

    The latter stands in for a service until it has samples of its own. A small
    site asks each of its 50 services a few times a second in all, and would
    otherwise go without hedges for the first minute of each daemon.
    """

    services: dict[ServiceName, ServiceLatency] = field(default_factory=dict)
    overall: ServiceLatency = field(default_factory=lambda: _new_latency())


def record_latency(
    table: LatencyTable, service: ServiceName, latency_s: float, rng: random.Random
) -> None:
    """Offer one latency; the quantiles are recomputed every few samples."""
    one = table.services.get(service)
    if one is None:
        one = table.services[service] = _new_latency()
    if one.samples < MIN_SAMPLES:
        _count(table.overall, latency_s)
    if one.samples >= MIN_SAMPLES and rng.random() >= SAMPLED_SHARE:
        return
    _count(one, latency_s)


def _count(one: ServiceLatency, latency_s: float) -> None:
    micros = min(max(int(latency_s * 1e6), _LOWEST_US), _HIGHEST_US)
    one.current.record_value(micros)
    one.samples += 1
    if one.samples % SAMPLES_PER_LOOK == 0 or one.samples == MIN_SAMPLES:
        _compute_quantiles(one)
    if one.samples % SAMPLES_PER_WINDOW == 0:
        one.previous, one.current = one.current, _new_histogram()


def hedge_delay(table: LatencyTable, service: ServiceName) -> float | None:
    """Return after how many seconds a request straggles; None if unknown yet."""
    one = table.services.get(service)
    if one is None or one.hedge_delay_s is None:
        return table.overall.hedge_delay_s
    return one.hedge_delay_s


def typical_latency(table: LatencyTable, service: ServiceName) -> float:
    """Return the median latency in seconds, 0 if unknown yet."""
    one = table.services.get(service)
    return 0.0 if one is None else one.typical_s


def find_stragglers(
    attempts: Iterable[Attempt], services: Collection[ServiceName]
) -> list[Attempt]:
    """Return the first requests to ``services`` that have no hedge yet."""
    return [
        attempt
        for attempt in attempts
        if attempt.service in services
        and not attempt.is_hedge
        and not attempt.was_hedged
    ]


def _new_latency() -> ServiceLatency:
    return ServiceLatency(_new_histogram(), _new_histogram())


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _compute_quantiles(one: ServiceLatency) -> None:
    merged = _new_histogram()
    merged.add(one.previous)
    merged.add(one.current)
    values = merged.get_percentile_to_value_dict([50, HEDGE_PERCENTILE])
    one.typical_s = values[50] / 1e6
    delay = values[HEDGE_PERCENTILE] / 1e6 * HEDGE_FACTOR
    one.hedge_delay_s = max(delay, MIN_HEDGE_DELAY_S)
