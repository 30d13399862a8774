"""Latencies of the shards and servers of a route, and when to hedge."""

from dataclasses import dataclass, field

# Latest samples that a quantile is taken from, and samples between two looks.
WINDOW_SAMPLES = 400
SAMPLES_PER_UPDATE = 40
# Samples needed before the measured quantile is used.
MIN_SAMPLES = 40
# A reply later than this quantile times the factor is a straggler: the tail of
# an ordinary spread stays below it.
HEDGE_QUANTILE = 0.90
HEDGE_FACTOR = 1.3
# Bounds of the delay before a hedge: the loop's own delays count below the
# first, in seconds; above the second, a share of the objective, a second
# server has too little time left to answer.
MIN_HEDGE_DELAY_S = 0.006
MAX_HEDGE_SHARE = 0.33


@dataclass
class LatencyWindow:
    """Hold the latest latencies in seconds, of all servers of one route."""

    samples: list[float] = field(default_factory=list)
    next_index: int = 0
    samples_since_update: int = 0
    hedge_quantile_s: float = 0.0
    median_s: float = 0.0


def add_sample(window: LatencyWindow, latency_s: float) -> None:
    """Take one latency, and look at the quantiles now and then."""
    if len(window.samples) < WINDOW_SAMPLES:
        window.samples.append(latency_s)
    else:
        window.samples[window.next_index] = latency_s
        window.next_index = (window.next_index + 1) % WINDOW_SAMPLES
    window.samples_since_update += 1
    if window.samples_since_update >= SAMPLES_PER_UPDATE:
        window.samples_since_update = 0
        ordered = sorted(window.samples)
        window.hedge_quantile_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
        window.median_s = ordered[len(ordered) // 2]


def compute_hedge_delay(window: LatencyWindow, objective_s: float) -> float:
    """Return how long a server may take before another one is asked, seconds."""
    max_delay_s = MAX_HEDGE_SHARE * objective_s
    if len(window.samples) < MIN_SAMPLES:
        return max_delay_s
    return min(
        max_delay_s, max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * window.hedge_quantile_s)
    )
