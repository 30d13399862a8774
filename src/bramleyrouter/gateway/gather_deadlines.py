"""Decide when a gather replies without waiting for its remaining shards.

The value of a reply is the square of its coverage within the objective, and little
after it. A reply before the objective therefore gains nothing, and at the objective the
results that have arrived are worth more than a complete reply would be later.
"""

from collections.abc import Iterable
from typing import NamedTuple

# A late reply waits for more coverage up to this multiple of the objective.
MAX_LATE_FACTOR = 1.6


class GatherProgress(NamedTuple):
    """Count the shards of a gather: answered, still open, and all."""

    included: int
    open_count: int
    total: int


def has_enough_coverage(included: int, total: int, min_coverage: float) -> bool:
    """Return whether ``included`` of ``total`` shards reach the minimum coverage."""
    # The epsilon compensates rounding errors of products such as 0.89 * 100.
    return included > 0 and included >= min_coverage * total - 1e-9


def compute_wait_for_coverage(
    served: int, total: int, min_coverage: float, waits: Iterable[float | None]
) -> float | None:
    """Return the seconds until enough shards of a refused gather have a server.

    ``waits`` holds, for each shard without a server, the seconds until one of its
    servers wants requests again, or none. The result is none if too few will return.
    For example, with 17 of 20 shards served, a minimum of 0.9 and waits of 0.4 s, 2 s
    and none, it is 0.4 s.
    """
    for wait_s in sorted(wait_s for wait_s in waits if wait_s is not None):
        served += 1
        if has_enough_coverage(served, total, min_coverage):
            return wait_s
    return None


def should_reply(
    progress: GatherProgress,
    min_coverage: float,
    waited_s: float,
    objective_s: float,
    reserved_s: float,
) -> bool:
    """Return whether the gather replies now with the results that have arrived.

    For example, with 19 of 20 shards and a minimum of 0.89 it waits until the objective
    is nearly reached, and replies then; ``reserved_s`` is the time that the reply needs
    besides. Past the objective it waits again, up to ``MAX_LATE_FACTOR`` times the
    objective.
    """
    if not progress.open_count:
        return True
    if not has_enough_coverage(progress.included, progress.total, min_coverage):
        return False
    max_wait_s = objective_s - reserved_s
    if waited_s < max_wait_s:
        return False
    # After the objective the reply is late anyway and waits for more coverage.
    is_within_objective = waited_s < objective_s
    return is_within_objective or waited_s >= MAX_LATE_FACTOR * objective_s
