"""Hedge delays, computed from the measured latencies of each service."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bramleyrouter.ids import ServiceName
from bramleyrouter.routing.plans import Attempt

# An attempt is a straggler when it takes longer than this percentile times the
# factor. The 90th percentile does not move while up to a tenth of the attempts
# straggle; the factor keeps the tail of an ordinary distribution unhedged.
HEDGE_PERCENTILE = 90
HEDGE_FACTOR = 1.5
# Shortest hedge delay, in seconds; below it the delays of the event loop matter.
MIN_HEDGE_DELAY_S = 0.002
# Samples needed before a service has a hedge delay of its own, and samples
# between two updates of its percentiles.
MIN_SAMPLES = 50
SAMPLES_PER_UPDATE = 64
# Samples after which the older of the two windows is discarded.
SAMPLES_PER_WINDOW = 512
# Share of latencies that is sampled once MIN_SAMPLES is reached, because adding
# one costs about 3 microseconds. Samples are chosen at random: every n-th one
# would always miss the last replies of fan-outs of some widths.
SAMPLED_SHARE = 0.2
# Maximum number of hedges that may be sent in a burst after an idle time.
HEDGE_BURST = 10
# Histograms hold microseconds, from 10 us to 60 s, with one significant digit:
# a precision of a tenth of the value is enough for a hedge delay.
_LOWEST_US, _HIGHEST_US, _DIGITS = 10, 60_000_000, 1


@dataclass
class ServiceLatency:
    """Hold two windows of latencies and the statistics last computed from them."""

    current: HdrHistogram
    previous: HdrHistogram
    samples: int = 0
    hedge_delay_s: float | None = None
    median_s: float = 0.0


@dataclass
class LatencyTable:
    """Hold the measured latencies by service, and of all services together.

    The latencies of all services are used for a service that has too few samples
    of its own. In a small site each of 50 services gets a few requests a second
    from all daemons together, so that a daemon would otherwise send no hedges in
    its first minute.
    """

    services: dict[ServiceName, ServiceLatency] = field(default_factory=dict)
    overall: ServiceLatency = field(default_factory=lambda: _build_latency())


def record_latency(
    table: LatencyTable, service: ServiceName, latency_s: float, rng: random.Random
) -> None:
    """Add one latency, or skip it by sampling.

    The percentiles are updated every SAMPLES_PER_UPDATE samples.
    """
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
        _update_percentiles(stats)
    if stats.samples % SAMPLES_PER_WINDOW == 0:
        stats.previous, stats.current = stats.current, _build_histogram()


def get_hedge_delay(table: LatencyTable, service: ServiceName) -> float | None:
    """Return the seconds after which an attempt is a straggler.

    Return None while too few latencies have been measured.
    """
    stats = table.services.get(service)
    if stats is None or stats.hedge_delay_s is None:
        return table.overall.hedge_delay_s
    return stats.hedge_delay_s


def get_median_latency(table: LatencyTable, service: ServiceName) -> float:
    """Return the median latency in seconds, or 0 before enough samples."""
    stats = table.services.get(service)
    return 0.0 if stats is None else stats.median_s


def find_stragglers(
    attempts: Iterable[Attempt], services: Collection[ServiceName]
) -> list[Attempt]:
    """Return the attempts for ``services`` that are no hedge and have none.

    The calling function names only services whose hedge delay has passed.
    """
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


def _update_percentiles(stats: ServiceLatency) -> None:
    merged = _build_histogram()
    merged.add(stats.previous)
    merged.add(stats.current)
    values = merged.get_percentile_to_value_dict([50, HEDGE_PERCENTILE])
    stats.median_s = values[50] / 1e6
    delay = values[HEDGE_PERCENTILE] / 1e6 * HEDGE_FACTOR
    stats.hedge_delay_s = max(delay, MIN_HEDGE_DELAY_S)
