"""When the balancer stops sending callers to a daemon that is not ready.

All here is pure but for the state that it updates: time is passed in.
"""

from dataclasses import dataclass

# How often the balancer asks, in seconds, and how many answers other than
# "ready" take a daemon out of rotation, as the platform's protocol has it.
PROBE_INTERVAL_S = 1.0
FAILED_PROBES_TO_LEAVE = 2


@dataclass
class Rotation:
    """Hold when the balancer last asked, by the loop's clock, and its misses."""

    last_probe_at: float
    failed_probes: int = 0


def record_readiness_probe(rotation: Rotation, is_ready: bool, now: float) -> None:
    """Note what the balancer was told."""
    rotation.last_probe_at = now
    rotation.failed_probes = 0 if is_ready else rotation.failed_probes + 1


def compute_time_to_leave(rotation: Rotation, now: float) -> float:
    """Return the seconds until new connections go to other daemons.

    The daemon is taken to stay unready. It is 0 once the daemon is out of
    rotation.
    """
    missing = max(0, FAILED_PROBES_TO_LEAVE - rotation.failed_probes)
    return max(0.0, rotation.last_probe_at + missing * PROBE_INTERVAL_S - now)
