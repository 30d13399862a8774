"""When a gather stops waiting for its last shards.

A response is worth the square of its coverage while it is within the
objective, and little once it is late. So nothing is gained by answering before
the objective, and at the objective what has arrived is worth more than the
rest would be later.
"""

from typing import NamedTuple

# Time on the way between the caller's start and the arrival here, and between the
# decision here and the caller's receipt, together, in seconds: about 3 ms each
# way, and a connection that may have to be opened.
NETWORK_OVERHEAD_S = 0.012
# Processor time of reading a request, merging and writing, in seconds of a core.
PROCESSING_S = 0.002
# A late response waits for more coverage up to this multiple of the objective.
MAX_LATE_FACTOR = 1.6


class GatherProgress(NamedTuple):
    """Count the shards of a gather: answered, still open, and all."""

    included: int
    open: int
    total: int


def compute_request_overhead(cores: float) -> float:
    """Return the part of an objective that is not spent on waiting, in seconds.

    ``cores`` is the share of a core that the VM has. For example, 0.016 s on
    half a core.
    """
    return NETWORK_OVERHEAD_S + PROCESSING_S / cores


def has_enough_coverage(included: int, total: int, min_coverage: float) -> bool:
    """Return whether ``included`` of ``total`` shards are enough."""
    # The epsilon undoes the rounding of, say, 0.89 * 100.
    return included > 0 and included >= min_coverage * total - 1e-9


def should_answer(
    progress: GatherProgress,
    min_coverage: float,
    waited_s: float,
    objective_s: float,
    request_overhead_s: float,
) -> bool:
    """Return whether the gather ends with what has arrived.

    For example, 19 of 20 shards at a minimum of 0.89 are waited with until the
    objective is nearly reached, and then sent.
    """
    if not progress.open:
        return True
    if not has_enough_coverage(progress.included, progress.total, min_coverage):
        return False
    reply_time_s = objective_s - request_overhead_s
    if waited_s < reply_time_s:
        return False
    was_decided_in_time = waited_s < objective_s
    return was_decided_in_time or waited_s >= MAX_LATE_FACTOR * objective_s
