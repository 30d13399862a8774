"""Hold-down of servers that flap or contradict themselves."""

from dataclasses import dataclass

# Registrations within the window that are normal: a rolling restart, one
# failed home, one more restart.
FREE_REGISTRATIONS = 3
# A server that was steady for this long, in seconds, is forgiven everything.
FORGIVE_AFTER_S = 60.0
# First hold-down and the longest, in seconds; each one doubles the last.
FIRST_HOLD_S = 2.0
LONGEST_HOLD_S = 60.0


@dataclass
class HoldDown:
    """Hold the strikes of one server; times are loop times in seconds."""

    registrations: int = 0
    holds: int = 0
    last_strike_at: float = float("-inf")
    until: float = float("-inf")


def is_held(hold: HoldDown, now: float) -> bool:
    """Return whether nothing is dispatched to the server."""
    return now < hold.until


def _forgive(hold: HoldDown, now: float) -> None:
    if now - max(hold.last_strike_at, hold.until) >= FORGIVE_AFTER_S:
        hold.registrations = 0
        hold.holds = 0


def _hold(hold: HoldDown, now: float) -> None:
    seconds = min(LONGEST_HOLD_S, FIRST_HOLD_S * 2.0**hold.holds)
    hold.holds += 1
    hold.until = max(hold.until, now + seconds)


def note_registration(hold: HoldDown, now: float) -> None:
    """Count a new registration; hold the server down when they are many."""
    _forgive(hold, now)
    hold.registrations += 1
    hold.last_strike_at = now
    if hold.registrations > FREE_REGISTRATIONS:
        _hold(hold, now)


def note_contradiction(hold: HoldDown, now: float) -> None:
    """Hold down at once a server that changed what it had declared."""
    _forgive(hold, now)
    hold.last_strike_at = now
    _hold(hold, now)
