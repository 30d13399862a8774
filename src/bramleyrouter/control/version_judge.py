"""Judge a server version on trial by its answers and those of the other versions.

The load pattern: about twenty answers of the new version against two hundred of the
old one, with moments in which the whole service is slow. Answers are therefore compared
only on the same route and in the same moment. The functions perform no I/O.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.fleet.version_reports import (
    BUCKET_RATIO,
    FIRST_BOUND_S,
    Cell,
    find_bucket,
)

# An answer is slow if it is this many buckets above the median of the other versions on
# its route: more than 2.1 times, and at most 3 times, as long.
SLOW_BUCKETS = 5
# An answer that took less than this longer than the median is not slow, in seconds. The
# first request to a server also opens a connection, and servers on trial get few. With
# answers of 2 ms, 5 of 17 of a good version were counted as slow without this.
MIN_EXCESS_S = 0.01
# Answers of the other versions on a route that are needed for its median.
MIN_MEDIAN_ANSWERS = 5
# A version is rolled back if it has this many bad answers and a good version would have
# as many with at most this probability. The first is small as the test is repeated.
BAD_ANSWERS = 3
BAD_PROBABILITY = 3e-4
# The same for the decisions to promote and to succeed, which are made once.
DOUBTFUL_ANSWERS = 3
DOUBTFUL_PROBABILITY = 3e-3
# Answers of the new version without which a rollout doesn't succeed.
MIN_ANSWERS = 3
# Assumed bad and all answers that are added to those of the other versions, so that
# one bad answer more or less doesn't decide.
PRIOR_BAD, PRIOR_ANSWERS = 0.2, 10.0
# Answers of the whole route that are added to those of one moment.
MOMENT_PRIOR_ANSWERS = 4.0
# Largest number of answers for which probabilities are computed exactly.
MAX_EXACT_ANSWERS = 300
# Parts of the duration, and the most seconds, before the time limit at which a version
# is promoted and at which it succeeds. The rest is for the commit and for the news to
# reach all entry daemons.
PROMOTE_LEAD, MAX_PROMOTE_LEAD_S = 0.3, 3.0
SUCCEED_LEAD, MAX_SUCCEED_LEAD_S = 0.12, 1.2


class Comparison(NamedTuple):
    """Hold the answers of the version on trial, the bad ones, and how likely these are.

    ``probability`` is that of at least as many bad answers from a version that is as
    good as the others.
    """

    answers: int
    bad: int
    probability: float


class Verdict(NamedTuple):
    """Hold the next state of a rollout and the reason for the log."""

    state: RolloutState
    reason: str


def compare_versions(cells: Iterable[Cell]) -> Comparison:
    """Compare the version on trial with the others on each route and moment."""
    by_route: dict[str, list[Cell]] = defaultdict(list)
    for cell in cells:
        by_route[cell.route].append(cell)
    chances: list[tuple[int, float]] = []
    bad = 0
    for route_cells in by_route.values():
        route_bad, route_chances = _compare_on_route(route_cells)
        bad += route_bad
        chances += route_chances
    answers = sum(count for count, _ in chances)
    return Comparison(answers, bad, _compute_tail(chances, bad))


def _compare_on_route(cells: list[Cell]) -> tuple[int, list[tuple[int, float]]]:
    """Return the trial's bad answers, and its answers with the chance to be bad."""
    limit = _find_slow_bucket(cells)
    counts: dict[tuple[bool, int], tuple[int, int]] = defaultdict(lambda: (0, 0))
    for cell in cells:
        slow = sum(count for at, count in cell.latencies.items() if at >= limit)
        total = cell.errors + sum(cell.latencies.values())
        for moment in (cell.moment, -1):
            bad_so_far, all_so_far = counts[cell.is_trial, moment]
            counts[cell.is_trial, moment] = (
                bad_so_far + cell.errors + slow,
                all_so_far + total,
            )
    old_bad, old_total = counts[False, -1]
    chance = (old_bad + PRIOR_BAD) / (old_total + PRIOR_ANSWERS)
    chances = []
    for is_trial, moment in sorted(counts):
        if not is_trial or moment < 0:
            continue
        moment_bad, moment_total = counts.get((False, moment), (0, 0))
        weighted = moment_bad + MOMENT_PRIOR_ANSWERS * chance
        moment_chance = weighted / (moment_total + MOMENT_PRIOR_ANSWERS)
        chances.append((counts[True, moment][1], moment_chance))
    return counts[True, -1][0], chances


def _find_slow_bucket(cells: list[Cell]) -> float:
    """Return the first bucket of slow answers, infinite if there are too few."""
    latencies: dict[int, int] = defaultdict(int)
    for cell in cells:
        if not cell.is_trial:
            for bucket, count in cell.latencies.items():
                latencies[bucket] += count
    total, so_far = sum(latencies.values()), 0
    if total < MIN_MEDIAN_ANSWERS:
        return float("inf")
    for bucket in sorted(latencies):
        so_far += latencies[bucket]
        if 2 * so_far >= total:
            median_s = FIRST_BOUND_S * BUCKET_RATIO**bucket
            floor = find_bucket(median_s + MIN_EXCESS_S) + 1
            return max(bucket + SLOW_BUCKETS, floor)
    return float("inf")


def _compute_tail(chances: list[tuple[int, float]], bad: int) -> float:
    """Return the probability of at least ``bad`` bad answers.

    Above ``MAX_EXACT_ANSWERS`` it is that of the Poisson distribution with the same
    mean, which is larger in the tail and needs work only for each bad answer.
    """
    if bad <= 0:
        return 1.0
    if sum(count for count, _ in chances) > MAX_EXACT_ANSWERS:
        mean = sum(count * chance for count, chance in chances)
        below_sum = sum(
            math.exp(at * math.log(mean) - mean - math.lgamma(at + 1))
            for at in range(bad)
        )
        return max(0.0, 1.0 - below_sum)
    # below[k] is the probability of k bad answers so far.
    below = [1.0] + [0.0] * (bad - 1)
    for count, chance in chances:
        for _ in range(count):
            for at in range(bad - 1, 0, -1):
                below[at] += chance * (below[at - 1] - below[at])
            below[0] *= 1.0 - chance
    return max(0.0, 1.0 - sum(below))


def judge(
    rollout: VersionRollout, cells: Iterable[Cell], elapsed_s: float
) -> Verdict | None:
    """Return the next state of an open rollout, none while it stays as it is.

    ``elapsed_s`` is the time since the order, in seconds.
    """
    left_s = rollout.duration_s - elapsed_s
    promote_s = min(MAX_PROMOTE_LEAD_S, PROMOTE_LEAD * rollout.duration_s)
    succeed_s = min(MAX_SUCCEED_LEAD_S, SUCCEED_LEAD * rollout.duration_s)
    found = compare_versions(cells)
    text = f"{found.bad} of {found.answers} answers bad, chance {found.probability:.2g}"
    if found.bad >= BAD_ANSWERS and found.probability <= BAD_PROBABILITY:
        return Verdict(RolloutState.ROLLED_BACK, text)
    is_promoted = rollout.state is RolloutState.PROMOTING
    if left_s > (succeed_s if is_promoted else promote_s):
        return None
    is_doubtful = (
        found.bad >= DOUBTFUL_ANSWERS and found.probability <= DOUBTFUL_PROBABILITY
    )
    if is_doubtful:
        return Verdict(RolloutState.ROLLED_BACK, text)
    is_last = left_s <= succeed_s
    if found.answers < (MIN_ANSWERS if is_last else 1):
        return Verdict(RolloutState.ROLLED_BACK, f"{text}; too few")
    return Verdict(RolloutState.SUCCEEDED if is_last else RolloutState.PROMOTING, text)
