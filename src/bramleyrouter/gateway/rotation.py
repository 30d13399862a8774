"""When the balancer stops sending callers to a daemon that is not ready.

All here is pure but for the state that it updates: time is passed in.
"""

from dataclasses import dataclass

# How often the balancer asks, in seconds, and how many answers other than
# "ready" take a daemon out of rotation, as the platform's protocol has it.
QUESTION_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2


@dataclass
class Rotation:
    """Hold when the balancer last asked, by the loop's clock, and its misses."""

    asked_at: float
    misses: int = 0


def record_readiness_probe(rotation: Rotation, is_ready: bool, now: float) -> None:
    """Note what the balancer was told."""
    rotation.asked_at = now
    rotation.misses = 0 if is_ready else rotation.misses + 1


def time_to_leave(rotation: Rotation, now: float) -> float:
    """Return the seconds until new connections go to other daemons.

    The daemon is taken to stay unready. It is 0 once the daemon is out of
    rotation.
    """
    missing = max(0, MISSES_TO_LEAVE - rotation.misses)
    return max(0.0, rotation.asked_at + missing * QUESTION_INTERVAL_S - now)
