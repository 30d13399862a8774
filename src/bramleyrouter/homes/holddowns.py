"""Hold-down of servers that flap or contradict themselves."""

from dataclasses import dataclass

# Registrations within the window that are normal: a rolling restart, one
# failed home, one more restart.
ALLOWED_REGISTRATIONS = 3
# A server that was steady for this long, in seconds, is forgiven everything.
RESET_AFTER_S = 60.0
# First hold-down and the longest, in seconds; each one doubles the last.
FIRST_HOLD_DOWN_S = 2.0
MAX_HOLD_DOWN_S = 60.0


@dataclass
class HoldDown:
    """Hold the strikes of one server; times are loop times in seconds."""

    registration_count: int = 0
    hold_down_count: int = 0
    last_event_at: float = float("-inf")
    held_until: float = float("-inf")


def is_held_down(hold_down: HoldDown, now: float) -> bool:
    """Return whether nothing is dispatched to the server."""
    return now < hold_down.held_until


def _reset_if_steady(hold_down: HoldDown, now: float) -> None:
    if now - max(hold_down.last_event_at, hold_down.held_until) >= RESET_AFTER_S:
        hold_down.registration_count = 0
        hold_down.hold_down_count = 0


def _start_hold_down(hold_down: HoldDown, now: float) -> None:
    seconds = min(MAX_HOLD_DOWN_S, FIRST_HOLD_DOWN_S * 2.0**hold_down.hold_down_count)
    hold_down.hold_down_count += 1
    hold_down.held_until = max(hold_down.held_until, now + seconds)


def record_registration(hold_down: HoldDown, now: float) -> None:
    """Count a new registration; hold the server down when they are many."""
    _reset_if_steady(hold_down, now)
    hold_down.registration_count += 1
    hold_down.last_event_at = now
    if hold_down.registration_count > ALLOWED_REGISTRATIONS:
        _start_hold_down(hold_down, now)


def record_limit_change(hold_down: HoldDown, now: float) -> None:
    """Hold down at once a server that changed what it had declared."""
    _reset_if_steady(hold_down, now)
    hold_down.last_event_at = now
    _start_hold_down(hold_down, now)
