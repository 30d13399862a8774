"""Estimate when the balancer stops sending callers to a daemon that is not ready.

The functions perform no I/O: they update only the passed state, and the time is a
parameter.
"""

from dataclasses import dataclass

# Interval of the balancer's readiness probes, in seconds, and number of consecutive
# failed probes that take a daemon out of rotation, as the platform's protocol defines
# them.
PROBE_INTERVAL_S = 1.0
FAILED_PROBES_TO_LEAVE = 2


@dataclass
class Rotation:
    """Hold the loop time of the last readiness probe and the failed probes in a row."""

    last_probe_at: float
    failed_probes: int = 0


def record_readiness_probe(rotation: Rotation, is_ready: bool, now: float) -> None:
    """Record the reply to a readiness probe of the balancer."""
    rotation.last_probe_at = now
    rotation.failed_probes = 0 if is_ready else rotation.failed_probes + 1


def compute_time_to_leave_rotation(rotation: Rotation, now: float) -> float:
    """Return the seconds until the balancer sends new connections to other daemons.

    This daemon is assumed to stay unready. The result is 0 once it is out of rotation.
    """
    remaining_probes = max(0, FAILED_PROBES_TO_LEAVE - rotation.failed_probes)
    return max(0.0, rotation.last_probe_at + remaining_probes * PROBE_INTERVAL_S - now)
