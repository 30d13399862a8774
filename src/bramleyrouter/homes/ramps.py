"""Cold-start ramp of one server: pure functions on its state.

A server that has just started can handle only a little load. The ramp begins
at one request in flight and is raised by one after enough successes at a
healthy latency. A server that turns cold without warning shows a latency far
above its own baseline, or refuses: the ramp is cut to one and begins again.
"""

from dataclasses import dataclass

# Successes per request in flight that raise the limit by one.
SUCCESSES_PER_RAISE = 8
# Shortest time between two raises, in seconds; a cold server needs time, not
# only requests.
MIN_RAISE_INTERVAL_S = 0.25
# Share of the newest sample in the fast average. Two stragglers in a row at
# ten times the latency stay below the cold factor.
FAST_EWMA_WEIGHT = 0.15
# Share in the baseline while the server is healthy, and while it is not: then
# the baseline still moves, so that a server whose work became more costly for
# good is not held back for ever.
BASELINE_EWMA_WEIGHT = 0.02
UNHEALTHY_EWMA_WEIGHT = 0.005
# A fast average above this multiple of the baseline means cold ...
COLD_FACTOR = 4.0
# ... and one below this multiple means healthy. The gap between both keeps
# the limit from swinging.
HEALTHY_FACTOR = 2.0
# Samples before the baseline is trusted.
MIN_BASELINE_SAMPLES = 20
# Latencies below this, in seconds, are never taken for a sign of cold: at
# this scale the network and the event loop dominate.
NOISE_FLOOR_S = 0.005
# After a raise, so many samples are a trial of the new limit; so many of them
# above the cold factor take the raise back.
TRIAL_SAMPLES = 8
SLOW_SAMPLES_TO_REVERT = 2
# Each raise that failed doubles the successes needed for the next one, up to
# this factor. A server that warms up slowly would otherwise be overloaded by
# each raise and lose more warmth than it gained between two of them.
MAX_RAISE_BACKOFF = 32
# Refusals or errors in a row that mean cold.
FAILURES_TO_CUT = 3
# A cut is followed by no other for this time, in seconds: what is still in
# flight was sent before it.
MIN_CUT_INTERVAL_S = 0.5


@dataclass
class Ramp:
    """Hold the limit of requests in flight and what it follows from.

    ``fast_s`` and ``baseline_s`` are moving averages of the latency at the
    server, in seconds; zero before the first sample.
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
    """Begin again at one request in flight; the baseline is kept."""
    ramp.limit = 1
    ramp.successes = 0
    ramp.failures_in_row = 0
    ramp.fast_average_s = 0.0
    ramp.raise_backoff = 1
    ramp.trial_samples_left = 0
    ramp.last_change_at = now


def record_success(ramp: Ramp, latency_s: float, now: float) -> bool:
    """Take one success; return whether the ramp was cut for its latency."""
    ramp.failures_in_row = 0
    if _record_latency(ramp, latency_s, now):
        return True
    if ramp.limit < ramp.slots and not _is_above(ramp, HEALTHY_FACTOR):
        ramp.successes += 1
        needed_successes = SUCCESSES_PER_RAISE * ramp.limit * ramp.raise_backoff
        # Without a baseline from one request in flight, the latency of an
        # overloaded server would pass for its usual one.
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
    """Judge the last raise by the first latencies that follow it."""
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
    """Take an attempt that was cancelled after ``elapsed_s``.

    The time is a lower bound of its latency. Without it a server that turned
    cold would never be seen to, when hedges win against it every time.
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
    share = (
        UNHEALTHY_EWMA_WEIGHT
        if _is_above(ramp, HEALTHY_FACTOR)
        else BASELINE_EWMA_WEIGHT
    )
    share = max(share, 1 / ramp.samples)
    ramp.baseline_s += share * (latency_s - ramp.baseline_s)
    return _is_above(ramp, COLD_FACTOR) and cut_limit(ramp, now)


def _is_above(ramp: Ramp, factor: float) -> bool:
    if ramp.samples < MIN_BASELINE_SAMPLES:
        return False
    return ramp.fast_average_s > max(NOISE_FLOOR_S, factor * ramp.baseline_s)


def record_failure(ramp: Ramp, now: float) -> bool:
    """Take a refusal, an error or a timeout; return whether the ramp was cut."""
    ramp.failures_in_row += 1
    ramp.successes = 0
    if ramp.failures_in_row < FAILURES_TO_CUT:
        return False
    return cut_limit(ramp, now)


def cut_limit(ramp: Ramp, now: float) -> bool:
    """Cut the limit to one, at most once per pause."""
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


def apply_load_hint(ramp: Ramp, is_healthy: bool, queued: int, now: float) -> bool:
    """Take a server's word on itself, which can only lower the limit.

    Words may mislead, so they never take more than half of the slots; what is
    measured may take more.
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
