"""Hold down servers that flap or change their declared limits.

Nothing is dispatched to a server while it is held down.
"""

from dataclasses import dataclass

# Number of registrations that cause no hold-down. Three are normal: a rolling restart,
# one failed home and one more restart.
ALLOWED_REGISTRATIONS = 3
# Time without registrations or hold-downs, in seconds, after which the counts of both
# are reset.
RESET_AFTER_S = 60.0
# Shortest and longest hold-down, in seconds; each one doubles the last.
FIRST_HOLD_DOWN_S = 2.0
MAX_HOLD_DOWN_S = 60.0


@dataclass
class HoldDown:
    """Store the hold-down state of one server; times are loop times in seconds.

    ``last_event_at`` is the time of the last registration or limit change.
    """

    registration_count: int = 0
    hold_down_count: int = 0
    last_event_at: float = float("-inf")
    held_until: float = float("-inf")


def is_held_down(hold_down: HoldDown, now: float) -> bool:
    """Return whether the server is held down at ``now``."""
    return now < hold_down.held_until


def _reset_counts_if_stable(hold_down: HoldDown, now: float) -> None:
    if now - max(hold_down.last_event_at, hold_down.held_until) >= RESET_AFTER_S:
        hold_down.registration_count = 0
        hold_down.hold_down_count = 0


def _start_hold_down(hold_down: HoldDown, now: float) -> None:
    seconds = min(MAX_HOLD_DOWN_S, FIRST_HOLD_DOWN_S * 2.0**hold_down.hold_down_count)
    hold_down.hold_down_count += 1
    hold_down.held_until = max(hold_down.held_until, now + seconds)


def record_registration(hold_down: HoldDown, now: float) -> None:
    """Count a registration; hold the server down if it registers too often."""
    _reset_counts_if_stable(hold_down, now)
    hold_down.registration_count += 1
    hold_down.last_event_at = now
    if hold_down.registration_count > ALLOWED_REGISTRATIONS:
        _start_hold_down(hold_down, now)


def record_limit_change(hold_down: HoldDown, now: float) -> None:
    """Hold a server down at once because it changed its declared limits."""
    _reset_counts_if_stable(hold_down, now)
    hold_down.last_event_at = now
    _start_hold_down(hold_down, now)
