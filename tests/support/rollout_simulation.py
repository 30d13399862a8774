"""Canary rollouts over many simulated entry daemons, in virtual time without I/O."""

import heapq
import random
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass

import msgspec

from bramleyrouter.control.version_judge import judge
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.gateway.version_shares import (
    ShareLimits,
    VersionShare,
    build_report,
    count_answer,
    may_try,
)

LIMITS = ShareLimits(0.1, 50.0, 5.0)
TICK_S = 0.25
REPORT_S = 0.5

# ``answer(is_trial, route, now)`` returns a latency in seconds, none for a failure.
Answer = Callable[[bool, str, float], float | None]


@dataclass
class Load:
    """Describe the requests and disturbances of one simulated rollout.

    ``daemons_used`` receive the requests. ``news_s`` is the longest delay of news to a
    daemon, ``restarts`` the number of daemons that restart, ``cut_off`` that of daemons
    which get no news after the order.
    """

    rate: float = 20.0
    duration_s: float = 12.0
    daemons: int = 62
    daemons_used: int = 62
    news_s: float = 0.3
    restarts: int = 0
    cut_off: int = 0


@dataclass
class Result:
    """Hold the final state, the requests until the time limit and when it ended.

    ``late`` counts requests to the version on trial after ``rollback_s`` from its 50th
    bad answer. ``trial_after`` counts those after the time limit.
    """

    state: RolloutState
    total: int = 0
    trial: int = 0
    ended_at: float = 0.0
    late: int = 0
    trial_after: int = 0


def simulate(seed: int, load: Load, answer: Answer) -> Result:
    """Run one rollout to twice its time limit and return what happened."""
    rng = random.Random(seed)
    start = VersionRollout(1, "search", "v2", load.duration_s, 0)  # type: ignore[arg-type]
    leader, result = start, Result(RolloutState.ACTIVE)
    shares: dict[int, VersionShare | None] = dict.fromkeys(range(load.daemons))
    silent_since = {at: 0.0 for at in range(load.cut_off)}
    reported: dict[tuple[int, int], tuple] = {}
    starts = dict.fromkeys(shares, 0)
    events: list = []
    sequence = iter(range(10**9))

    def push(at, action, *args):
        heapq.heappush(events, (at, next(sequence), action, args))

    def learn(now, daemon, rollout):
        share = shares[daemon]
        if share is None:
            shares[daemon] = VersionShare(rollout, now, rng.random())
        else:
            share.rollout = rollout

    def announce(now, rollout):
        for daemon in shares:
            if daemon not in silent_since or rollout.state is RolloutState.ACTIVE:
                push(now + rng.uniform(0.0, load.news_s), learn, daemon, rollout)

    def restart(now, daemon):
        shares[daemon], starts[daemon] = None, starts[daemon] + 1
        push(now + rng.uniform(0.0, load.news_s), learn, daemon, leader)

    bad_at: list[float] = []

    def request(now):
        daemon = rng.randrange(load.daemons_used)
        push(now + rng.expovariate(load.rate), request)
        share, silence = shares[daemon], now - silent_since.get(daemon, now)
        is_succeeded = share is not None and share.rollout.state is (
            RolloutState.SUCCEEDED
        )
        is_trial = is_succeeded or (
            share is not None and may_try(share, LIMITS, load.daemons, silence, now)
        )
        if share is not None and is_trial:
            share.trial_sends += 1
        if now <= load.duration_s and not is_succeeded:
            result.total += 1
            result.trial += is_trial
        if is_trial and not is_succeeded:
            result.trial_after += now > load.duration_s + load.news_s
            is_late = len(bad_at) >= 50 and now > bad_at[49] + LIMITS.rollback_s
            result.late += is_late
        route = rng.choice(("fast", "slow"))
        latency = answer(is_trial, route, now)
        push(now + (latency or 0.01), reply, daemon, share, is_trial, route, latency)

    def reply(now, daemon, share, is_trial, route, latency):
        if share is None or shares[daemon] is not share:
            return
        share.arrived += 1
        if is_trial and latency is None:
            bad_at.append(now)
        if share.rollout.is_open:
            count_answer(share, is_trial, route, now, latency)

    def report(now, daemon):
        push(now + REPORT_S, report, daemon)
        share = shares[daemon]
        if share is not None and daemon not in silent_since and share.cells:
            cells = build_report(share, starts[daemon]).cells
            reported[daemon, starts[daemon]] = deepcopy(cells)

    def tick(now):
        nonlocal leader
        if not leader.is_open:
            return
        push(now + TICK_S, tick)
        cells = [cell for item in reported.values() for cell in item]
        verdict = judge(leader, cells, now)
        if verdict is not None:
            leader = msgspec.structs.replace(leader, state=verdict.state)
            result.state, result.ended_at = verdict.state, now
            announce(now, leader)

    announce(0.0, start)
    push(0.0, request)
    push(TICK_S, tick)
    for daemon in shares:
        push(rng.uniform(0.0, REPORT_S), report, daemon)
    for _ in range(load.restarts):
        push(rng.uniform(0.0, load.duration_s), restart, rng.randrange(load.daemons))
    while events:
        now, _, action, args = heapq.heappop(events)
        if now > 2 * load.duration_s:
            break
        action(now, *args)
    return result
