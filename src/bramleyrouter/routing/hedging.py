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
SAMPLES_PER_UPDATE = 64
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
    median_s: float = 0.0


@dataclass
class LatencyTable:
    """Hold the measured latencies by service, and of all services together.

    The latter stands in for a service until it has samples of its own. A small
    site asks each of its 50 services a few times a second in all, and would
    otherwise go without hedges for the first minute of each daemon.
    """

    services: dict[ServiceName, ServiceLatency] = field(default_factory=dict)
    overall: ServiceLatency = field(default_factory=lambda: _build_latency())


def record_latency(
    table: LatencyTable, service: ServiceName, latency_s: float, rng: random.Random
) -> None:
    """Offer one latency; the quantiles are recomputed every few samples."""
    stats = table.services.get(service)
    if stats is None:
        stats = table.services[service] = _build_latency()
    if stats.samples < MIN_SAMPLES:
        _add_sample(table.overall, latency_s)
    if stats.samples >= MIN_SAMPLES and rng.random() >= SAMPLED_SHARE:
        return
    _add_sample(stats, latency_s)


def _add_sample(stats: ServiceLatency, latency_s: float) -> None:
    micros = min(max(int(latency_s * 1e6), _LOWEST_US), _HIGHEST_US)
    stats.current.record_value(micros)
    stats.samples += 1
    if stats.samples % SAMPLES_PER_UPDATE == 0 or stats.samples == MIN_SAMPLES:
        _update_quantiles(stats)
    if stats.samples % SAMPLES_PER_WINDOW == 0:
        stats.previous, stats.current = stats.current, _build_histogram()


def get_hedge_delay(table: LatencyTable, service: ServiceName) -> float | None:
    """Return after how many seconds a request straggles; None if unknown yet."""
    stats = table.services.get(service)
    if stats is None or stats.hedge_delay_s is None:
        return table.overall.hedge_delay_s
    return stats.hedge_delay_s


def get_median_latency(table: LatencyTable, service: ServiceName) -> float:
    """Return the median latency in seconds, 0 if unknown yet."""
    stats = table.services.get(service)
    return 0.0 if stats is None else stats.median_s


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


def _build_latency() -> ServiceLatency:
    return ServiceLatency(_build_histogram(), _build_histogram())


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _update_quantiles(stats: ServiceLatency) -> None:
    merged = _build_histogram()
    merged.add(stats.previous)
    merged.add(stats.current)
    values = merged.get_percentile_to_value_dict([50, HEDGE_PERCENTILE])
    stats.median_s = values[50] / 1e6
    delay = values[HEDGE_PERCENTILE] / 1e6 * HEDGE_FACTOR
    stats.hedge_delay_s = max(delay, MIN_HEDGE_DELAY_S)
