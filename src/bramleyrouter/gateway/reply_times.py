"""Estimate how long before an objective a reply must leave to meet it.

The network's part is measured on the caller's connection. On a busy VM, the event loop
notices requests late and runs timers late; this lag is measured at the gathers' timers.
The timer at the reply time is later than others, because the results of all relays
arrive at about the same moment; it is measured by itself.
The functions perform no I/O: the time is a parameter.
"""

from dataclasses import dataclass

# Processor time to read a request, merge and write the reply, in seconds of one core.
PROCESSING_S = 0.002
# Least network time that is reserved, in seconds: 3 ms each way and a connection that
# had to be opened. With less, the results of relays on busy VMs arrive after the reply
# time, and the gather waits for them beyond its objective.
MIN_NETWORK_S = 0.012
# Variation of the network time between two messages, in seconds.
NETWORK_MARGIN_S = 0.001
# Weight of a new sample in the average lag and in its deviation, and the time in
# seconds in which both decay to half of them without new samples.
LAG_WEIGHT = 0.1
LAG_HALF_LIFE_S = 2.0
# Deviations added to the average: a late answer is worth little, and one that leaves
# some milliseconds early lacks few results.
LAG_DEVIATIONS = 2.0
# Largest share of an objective that is reserved; servers need the rest.
MAX_RESERVED_SHARE = 0.4


@dataclass
class LoopLag:
    """Hold the lateness of timers in seconds, as of the loop time ``at``.

    ``deviation_s`` is the average distance from the average.
    """

    average_s: float = 0.0
    deviation_s: float = 0.0
    at: float = 0.0


def estimate_lag(lag: LoopLag, now: float) -> float:
    """Return the lag to expect now, in seconds; most timers are less late."""
    return (lag.average_s + LAG_DEVIATIONS * lag.deviation_s) * _decay(lag, now)


def estimate_average_lag(lag: LoopLag, now: float) -> float:
    """Return the average lag to expect now, in seconds."""
    return lag.average_s * _decay(lag, now)


def _decay(lag: LoopLag, now: float) -> float:
    return 0.5 ** (max(0.0, now - lag.at) / LAG_HALF_LIFE_S)


def record_lateness(lag: LoopLag, lateness_s: float, now: float) -> None:
    """Record that a timer ran ``lateness_s`` seconds after its time."""
    decay = _decay(lag, now)
    average_s, deviation_s = lag.average_s * decay, lag.deviation_s * decay
    difference_s = max(0.0, lateness_s) - average_s
    lag.average_s = average_s + LAG_WEIGHT * difference_s
    lag.deviation_s = deviation_s + LAG_WEIGHT * (abs(difference_s) - deviation_s)
    lag.at = now


def compute_network_time(round_trip_s: float | None, is_new_connection: bool) -> float:
    """Return the network's part of a caller's latency, in seconds.

    A request takes one round trip, and another one if its connection had to be opened.
    ``round_trip_s`` is none if it can't be measured. For example, the time is 21 ms for
    the first request of a connection with a round trip of 10 ms.
    """
    if round_trip_s is None:
        return MIN_NETWORK_S
    round_trips = 2 if is_new_connection else 1
    return max(MIN_NETWORK_S, round_trip_s * round_trips + NETWORK_MARGIN_S)


def compute_reserved_time(
    objective_s: float, network_s: float, lag_s: float, cores: float
) -> float:
    """Return the part of an objective that is needed besides the servers' time.

    ``lag_s`` is the time until the loop notices the arrival, and until it runs the
    timer for the reply. ``cores`` is the number of processor cores of the VM, which may
    be a fraction. For example, 12 ms of network time and no lag make 16 ms on half a
    core.
    """
    reserved_s = network_s + PROCESSING_S / cores + lag_s
    return min(reserved_s, MAX_RESERVED_SHARE * objective_s)
