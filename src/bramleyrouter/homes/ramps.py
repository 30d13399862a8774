"""Limit the requests in flight at a server that is cold.

A server that has just started can handle only little load. Its limit starts at one
request in flight and is raised by one after enough successes at a healthy latency.
If a server becomes cold later, its latency rises far above its own baseline or it
refuses requests; the limit is then cut to one and raised again.

The functions change only the ramp that they are given.
"""

from dataclasses import dataclass

# Successes, per request in flight, that are needed to raise the limit by one.
SUCCESSES_PER_RAISE = 8
# Shortest time between two raises, in seconds: a server needs time to warm up, not
# only requests.
MIN_RAISE_INTERVAL_S = 0.25
# Weight of the newest sample in the fast average. With this weight, two stragglers in
# a row at ten times the usual latency stay below the cold factor.
FAST_EWMA_WEIGHT = 0.15
# Weights of the newest sample in the baseline while the server is healthy and while
# it is not. The baseline also moves while the server is unhealthy, so that a server
# whose requests became more expensive for good is not limited for ever.
BASELINE_EWMA_WEIGHT = 0.02
UNHEALTHY_EWMA_WEIGHT = 0.005
# A server is cold if its fast average is above this multiple of the baseline.
COLD_FACTOR = 4.0
# A server is healthy if its fast average is at most this multiple of the baseline.
# The gap between both factors prevents the limit from oscillating.
HEALTHY_FACTOR = 2.0
# Number of samples from which the baseline is used.
MIN_BASELINE_SAMPLES = 20
# Latencies below this, in seconds, never count as cold: at this scale the network and
# the event loop dominate.
NOISE_FLOOR_S = 0.005
# The first samples after a raise are a trial of the new limit. The raise is reverted
# if this many of them are above the cold factor.
TRIAL_SAMPLES = 8
SLOW_SAMPLES_TO_REVERT = 2
# Each raise that was reverted doubles the number of successes that the next one needs,
# up to this factor. Otherwise each raise would overload a server that warms up slowly,
# and the overload would undo more warm-up than was gained between two raises.
MAX_RAISE_BACKOFF = 32
# Consecutive refusals, errors or timeouts after which the limit is cut.
FAILURES_TO_CUT = 3
# Shortest time between two cuts, in seconds: requests that are still in flight after
# a cut were sent before it.
MIN_CUT_INTERVAL_S = 0.5


@dataclass
class Ramp:
    """Hold the limit of requests in flight and the state from which it is computed.

    ``fast_average_s`` and ``baseline_s`` are a fast and a slow moving average of the
    server's latency, in seconds; zero before the first sample. ``successes`` counts
    towards the next raise; a failure or a change of the limit resets it.
    ``raise_backoff`` multiplies the successes that the next raise needs. Times are
    loop times in seconds.
    """

    slots: int
    limit: int = 1
    successes: int = 0
    failures_in_row: int = 0
    samples: int = 0
    fast_average_s: float = 0.0
    baseline_s: float = 0.0
    raise_backoff: int = 1
    trial_samples_left: int = 0
    trial_slow_samples: int = 0
    last_change_at: float = float("-inf")
    last_cut_at: float = float("-inf")
    cut_count: int = 0


def compute_headroom(ramp: Ramp) -> float:
    """Return the share of the slots that the ramp allows, 0 to 1."""
    return min(1.0, ramp.limit / ramp.slots)


def restart_ramp(ramp: Ramp, now: float) -> None:
    """Reset the limit to one request in flight, but retain the baseline."""
    ramp.limit = 1
    ramp.successes = 0
    ramp.failures_in_row = 0
    ramp.fast_average_s = 0.0
    ramp.raise_backoff = 1
    ramp.trial_samples_left = 0
    ramp.last_change_at = now


def record_success(ramp: Ramp, latency_s: float, now: float) -> bool:
    """Record a success; return whether its latency caused a cut of the limit."""
    ramp.failures_in_row = 0
    if _record_latency(ramp, latency_s, now):
        return True
    if ramp.limit < ramp.slots and not _is_latency_above(ramp, HEALTHY_FACTOR):
        ramp.successes += 1
        needed_successes = SUCCESSES_PER_RAISE * ramp.limit * ramp.raise_backoff
        # The baseline has to be sampled with one request in flight. Otherwise the
        # latency of an overloaded server would count as its usual one.
        has_baseline = ramp.samples >= MIN_BASELINE_SAMPLES
        is_raise_due = now - ramp.last_change_at >= MIN_RAISE_INTERVAL_S
        if has_baseline and is_raise_due and ramp.successes >= needed_successes:
            _raise_limit(ramp, now)
    return False


def _raise_limit(ramp: Ramp, now: float) -> None:
    ramp.limit += 1
    ramp.raise_backoff = (
        max(1, ramp.raise_backoff // 2)
        if ramp.limit == ramp.slots
        else ramp.raise_backoff
    )
    ramp.successes = 0
    ramp.trial_samples_left = TRIAL_SAMPLES
    ramp.trial_slow_samples = 0
    ramp.last_change_at = now


def _record_trial_sample(ramp: Ramp, latency_s: float, now: float) -> None:
    """Record a sample after a raise; revert the raise after too many slow ones."""
    ramp.trial_samples_left -= 1
    if latency_s > max(NOISE_FLOOR_S, COLD_FACTOR * ramp.baseline_s):
        ramp.trial_slow_samples += 1
    if ramp.trial_slow_samples < SLOW_SAMPLES_TO_REVERT:
        return
    ramp.trial_samples_left = 0
    ramp.limit = max(1, ramp.limit - 1)
    ramp.successes = 0
    ramp.fast_average_s = 0.0
    ramp.raise_backoff = min(2 * ramp.raise_backoff, MAX_RAISE_BACKOFF)
    ramp.last_change_at = now


def record_cancelled(ramp: Ramp, elapsed_s: float, now: float) -> bool:
    """Record an attempt that was cancelled after ``elapsed_s``.

    The elapsed time is a lower bound of the latency. If it were ignored, a server that
    became cold would stay undetected as long as hedged requests to other servers
    always finish first. Returns whether the limit was cut.
    """
    if elapsed_s <= ramp.fast_average_s:
        return False
    return _record_latency(ramp, elapsed_s, now)


def _record_latency(ramp: Ramp, latency_s: float, now: float) -> bool:
    ramp.samples += 1
    if ramp.trial_samples_left and ramp.samples >= MIN_BASELINE_SAMPLES:
        _record_trial_sample(ramp, latency_s, now)
    if not ramp.baseline_s:
        ramp.baseline_s = latency_s
    if ramp.fast_average_s:
        ramp.fast_average_s += FAST_EWMA_WEIGHT * (latency_s - ramp.fast_average_s)
    else:
        ramp.fast_average_s = latency_s
    weight = (
        UNHEALTHY_EWMA_WEIGHT
        if _is_latency_above(ramp, HEALTHY_FACTOR)
        else BASELINE_EWMA_WEIGHT
    )
    weight = max(weight, 1 / ramp.samples)
    ramp.baseline_s += weight * (latency_s - ramp.baseline_s)
    return _is_latency_above(ramp, COLD_FACTOR) and cut_limit(ramp, now)


def _is_latency_above(ramp: Ramp, factor: float) -> bool:
    if ramp.samples < MIN_BASELINE_SAMPLES:
        return False
    return ramp.fast_average_s > max(NOISE_FLOOR_S, factor * ramp.baseline_s)


def record_failure(ramp: Ramp, now: float) -> bool:
    """Record a refusal, an error or a timeout; return whether the limit was cut."""
    ramp.failures_in_row += 1
    ramp.successes = 0
    if ramp.failures_in_row < FAILURES_TO_CUT:
        return False
    return cut_limit(ramp, now)


def cut_limit(ramp: Ramp, now: float) -> bool:
    """Cut the limit to one, at most once per ``MIN_CUT_INTERVAL_S``.

    Returns whether the limit was lowered.
    """
    ramp.successes = 0
    if now - ramp.last_cut_at < MIN_CUT_INTERVAL_S:
        return False
    was_above_one = ramp.limit > 1
    if was_above_one:
        ramp.raise_backoff = min(2 * ramp.raise_backoff, MAX_RAISE_BACKOFF)
    ramp.limit = 1
    ramp.trial_samples_left = 0
    ramp.fast_average_s = 0.0
    ramp.last_cut_at = ramp.last_change_at = now
    ramp.failures_in_row = 0
    ramp.cut_count += was_above_one
    return was_above_one


def apply_load_report(ramp: Ramp, is_healthy: bool, queued: int, now: float) -> bool:
    """Lower the limit if the server reports that it is unhealthy or has a queue.

    A server's report may be wrong, so it never lowers the limit below half of the
    slots; only measured latencies and failures do. Returns whether the limit changed.
    """
    if is_healthy and queued == 0:
        return False
    half_of_slots = (ramp.slots + 1) // 2
    lowered = half_of_slots if not is_healthy else max(half_of_slots, ramp.limit - 1)
    if lowered >= ramp.limit:
        return False
    ramp.limit = lowered
    ramp.successes = 0
    ramp.last_change_at = now
    return True
