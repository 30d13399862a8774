"""Latencies of a route's servers, and the delay before a hedge."""

from dataclasses import dataclass, field

# Number of latest samples from which quantiles are computed, and number of samples
# between two computations.
WINDOW_SAMPLES = 400
SAMPLES_PER_UPDATE = 40
# Number of samples needed before the computed quantile is used.
MIN_SAMPLES = 40
# A reply that takes longer than this quantile times the factor is a straggler. The
# factor keeps the tail of an ordinary distribution below the limit.
HEDGE_QUANTILE = 0.90
HEDGE_FACTOR = 1.3
# Quantile within which a second server is expected to reply. It lies below the replies
# of servers that pause.
REPLY_QUANTILE = 0.75
# Bounds of the delay before a hedge. Below the minimum, in seconds, delays of the event
# loop itself would cause hedges. Above the maximum, a share of the objective, a second
# server would have too little time left to reply.
MIN_HEDGE_DELAY_S = 0.006
MAX_HEDGE_SHARE = 0.33


@dataclass
class LatencyWindow:
    """Hold the latest latencies of all servers of one route, in seconds."""

    samples: list[float] = field(default_factory=list)
    next_index: int = 0
    samples_since_update: int = 0
    hedge_quantile_s: float = 0.0
    median_s: float = 0.0
    reply_quantile_s: float = 0.0
    route: str = ""


def add_sample(window: LatencyWindow, latency_s: float) -> None:
    """Add a latency; update the quantiles every ``SAMPLES_PER_UPDATE`` samples."""
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
        window.reply_quantile_s = ordered[int(REPLY_QUANTILE * (len(ordered) - 1))]


def compute_hedge_delay(window: LatencyWindow, objective_s: float) -> float:
    """Return the seconds after which a second server gets the request as a hedge."""
    max_delay_s = MAX_HEDGE_SHARE * objective_s
    if len(window.samples) < MIN_SAMPLES:
        return max_delay_s
    return min(
        max_delay_s, max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * window.hedge_quantile_s)
    )
