"""Decide which servers of a service may be used while a version of it is on trial.

The load pattern: a service gets some twenty requests a second over dozens of entry
daemons, so a daemon sees one every few seconds, and a new version must get a tenth of
all of them at most, whatever the other daemons do. The functions perform no I/O.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerPhase, get_version
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.fleet.version_reports import (
    MAX_CELLS,
    Cell,
    VersionReport,
    find_bucket,
    find_moment,
)
from bramleyrouter.gateway.servers import TrackedServer

# Part of ``rollback_s`` after which a rollout that is not confirmed is not tried any
# more. The rest is for the judgement and for the age of what is confirmed: up to 1 s at
# the control daemon and some tenths of a second on the way.
CONFIRMED_SHARE = 0.6
# Part of the allowed share that the trial uses before the last phase; the rest is for
# that phase.
TRIAL_SHARE = 0.9
# Parts of the allowed slack that all daemons together use during the trial, as answers
# are few, and until the end of the last phase. The first is released evenly during
# ``RELEASE_SHARE`` of the duration: if it is used at once, all answers are from the
# first moments of the new servers.
TRIAL_SLACK, PROMOTING_SLACK = 0.4, 0.5
RELEASE_SHARE = 0.5
# Part of the slack that the rounding of all daemons' shares may use. Each daemon rounds
# its share up or down at random. The sum of their errors has a mean of 0 and a
# deviation of at most half the square root of their number. If ``ROUNDING_DEVIATIONS``
# of these exceed this part, all daemons round down more often.
ROUNDING_SLACK = 0.5
ROUNDING_DEVIATIONS = 6.0


class ShareLimits(NamedTuple):
    """Hold the bounds of a version under trial; see ``FleetBounds``."""

    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0


DEFAULT_SHARE_LIMITS = ShareLimits()


@dataclass(eq=False)
class VersionShare:
    """Hold a service's newest rollout and what this daemon sent since it learned of it.

    ``offset`` is drawn at random between 0 and 1 for each rollout and each start of the
    daemon. ``arrived`` counts the requests that reached the service's servers of any
    version, ``trial_sends`` those that were assigned to the version on trial.
    ``has_changed`` is set if ``cells`` hold counts that were not reported yet.
    """

    rollout: VersionRollout
    learned_at: float
    offset: float
    arrived: int = 0
    trial_sends: int = 0
    cells: dict[tuple[bool, str, int], Cell] = field(default_factory=dict)
    has_changed: bool = False


class VersionSplit(NamedTuple):
    """Hold the servers to be tried first, and those used if none of these can be."""

    first: list[TrackedServer]
    others: list[TrackedServer]


def compute_allowance(
    share: VersionShare, limits: ShareLimits, entry_daemons: int, now: float
) -> float:
    """Return how many requests this daemon may have sent to the version on trial.

    Over all daemons this is at most the bound: the whole part is proportional to the
    requests that arrived, and the random offset replaces rounding.
    """
    daemons = max(1, entry_daemons)
    deviation = ROUNDING_DEVIATIONS * 0.5 * math.sqrt(daemons)
    surplus = deviation - ROUNDING_SLACK * limits.canary_slack
    is_promoting = share.rollout.state is RolloutState.PROMOTING
    release_s = RELEASE_SHARE * share.rollout.duration_s
    released = min(1.0, max(0.0, now - share.learned_at) / release_s)
    slack_share = PROMOTING_SLACK if is_promoting else TRIAL_SLACK * released
    slack = slack_share * limits.canary_slack
    ratio = (1.0 if is_promoting else TRIAL_SHARE) * limits.canary_share
    start = share.offset + (slack - max(0.0, surplus)) / daemons
    return start + ratio * share.arrived


def may_try(
    share: VersionShare,
    limits: ShareLimits,
    entry_daemons: int | None,
    silence_s: float,
    now: float,
) -> bool:
    """Return whether the next request may go to the version on trial.

    It may not while the number of entry daemons is unknown, after the time limit, and
    if ``silence_s``, the time since the rollout was last confirmed, is so long that
    this daemon may have missed the verdict.
    """
    return (
        entry_daemons is not None
        and is_trial_open(share, limits, silence_s, now)
        and share.trial_sends + 1
        <= compute_allowance(share, limits, entry_daemons, now)
    )


def is_trial_open(
    share: VersionShare, limits: ShareLimits, silence_s: float, now: float
) -> bool:
    """Return whether a request that was assigned to the trial may still be sent."""
    return (
        share.rollout.is_open
        and silence_s < CONFIRMED_SHARE * limits.rollback_s
        and now - share.learned_at < share.rollout.duration_s
    )


def is_on_trial(share: VersionShare, server: TrackedServer) -> bool:
    """Return whether a server has the version that is being tried."""
    is_version = get_version(server.row) == share.rollout.version
    return share.rollout.is_open and is_version


def is_rejected(share: VersionShare, server: TrackedServer) -> bool:
    """Return whether a server has a version that was rolled back."""
    return get_version(server.row) in share.rollout.rejected


def split_servers(
    share: VersionShare, servers: Iterable[TrackedServer], may_try_next: bool
) -> VersionSplit:
    """Split the servers that may be used into those tried first and the others.

    Servers whose version is not known yet are used only if no server has another known
    version. Once a rollout has succeeded, servers of other versions are used only while
    none of its version is announced as ready.
    """
    trial: list[TrackedServer] = []
    known: list[TrackedServer] = []
    unknown: list[TrackedServer] = []
    for server in servers:
        version = get_version(server.row)
        if version == share.rollout.version:
            trial.append(server)
        elif not version:
            unknown.append(server)
        elif version not in share.rollout.rejected:
            known.append(server)
    others = known or unknown
    if share.rollout.state is RolloutState.ROLLED_BACK:
        return VersionSplit([], others)
    if share.rollout.state is RolloutState.SUCCEEDED:
        is_started = any(server.row.phase is ServerPhase.READY for server in trial)
        return VersionSplit([], trial if is_started else others)
    return VersionSplit(trial if may_try_next else [], others)


def count_answer(
    share: VersionShare,
    is_trial: bool,
    route: str,
    now: float,
    latency_s: float | None,
) -> None:
    """Count an answer and its latency in seconds, none if it is a failure."""
    moment = find_moment(now - share.learned_at, share.rollout.duration_s)
    key = (is_trial, route, moment)
    cell = share.cells.get(key)
    if cell is None:
        if len(share.cells) >= MAX_CELLS:
            return
        cell = share.cells[key] = Cell(is_trial, route, moment, latencies={})
    share.has_changed = True
    if latency_s is None:
        cell.errors += 1
        return
    bucket = find_bucket(latency_s)
    cell.latencies[bucket] = cell.latencies.get(bucket, 0) + 1


def build_report(share: VersionShare, start: int) -> VersionReport:
    """Build the report of all counts of a rollout."""
    rollout = share.rollout
    cells = tuple(share.cells.values())
    return VersionReport(start, rollout.service, rollout.sequence, cells)
