"""Detect that this process did not run for a while.

What it reads shortly afterwards may have been sent long before.
"""

import math
import time
from dataclasses import dataclass

# A process that did not run for this time, in seconds, has stalled.
STALL_S = 0.5
# Time in seconds after a stall in which messages from before it may still be read.
AFTERMATH_S = 1.0


def read_boot_clock() -> float:
    """Return a clock in seconds that also counts while the VM is suspended."""
    clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock_id)


@dataclass
class Stalls:
    """Hold when the process last ran and when its last stall ended.

    Both are times of one clock, in seconds.
    """

    ran_at: float
    ended_at: float = -math.inf


def observe_run(stalls: Stalls, now: float) -> None:
    """Note that the process runs; called more often than every ``STALL_S``."""
    if now - stalls.ran_at >= STALL_S:
        stalls.ended_at = now
    stalls.ran_at = now


def is_after_stall(stalls: Stalls, now: float) -> bool:
    """Return whether what is read now may have arrived before or during a stall."""
    observe_run(stalls, now)
    return now - stalls.ended_at < AFTERMATH_S
