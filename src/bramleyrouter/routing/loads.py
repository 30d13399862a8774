"""Bookkeeping of what this daemon measures of servers and homes."""

from collections.abc import Callable

from bramleyrouter.board import Board, Section
from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.plans import Attempt
from bramleyrouter.routing.replicas import (
    HOME_AVOID_S,
    REST_S,
    UNMEASURED_DISTANCE_S,
    ChoiceState,
)
from bramleyrouter.routing.retries import RetryKind, classify

# Weight of one reply in the moving averages of latency and distance.
LATENCY_WEIGHT = 0.1
# Watchers of the load section hear of changes at most so often, in seconds.
TOUCH_INTERVAL_S = 0.25


def end_attempt(
    attempt: Attempt, state: ChoiceState, code: Code, reply: GroupReply | None, now
) -> float:
    """Count an attempt as ended and return its latency in seconds.

    ``reply`` is given when the home sent one for this attempt; its hints are
    taken over whatever its code is.
    """
    load, elapsed = attempt.view.load, now - attempt.sent_at
    load.in_flight -= 1
    if reply is not None:
        take_hints(attempt, reply, now)
    if code is Code.OK and reply is not None:
        load.replies += 1
        _average_latency(attempt, state, reply, elapsed)
    elif code is Code.SHARD_CANCELLED:
        # The time until the cancel is a lower bound of the latency.
        if elapsed > load.latency_s:
            load.latency_s += LATENCY_WEIGHT * (elapsed - load.latency_s)
    else:
        load.failures += 1
        attempt.view.rest_until = now + REST_S
        if code is Code.PEER_UNREACHABLE or code is Code.SHARD_HOME_LOST:
            _avoid_home(state, attempt, now)
    return elapsed


def _avoid_home(state: ChoiceState, attempt: Attempt, now: float) -> None:
    expired = [home for home, until in state.avoid_until.items() if until <= now]
    for home in expired:
        del state.avoid_until[home]
    state.avoid_until[attempt.home] = now + HOME_AVOID_S


def take_hints(attempt: Attempt, reply: GroupReply, now: float) -> None:
    """Take over the home's state; it tells of other daemons' requests."""
    view = attempt.view
    view.others_in_flight = max(0, reply.in_flight - view.load.in_flight)
    view.hint_at = now
    if classify(reply.code) is not RetryKind.REDIRECT:
        view.capacity = max(view.record.slots * reply.headroom, 1e-9)


def _average_latency(
    attempt: Attempt, state: ChoiceState, reply: GroupReply, elapsed: float
) -> None:
    view = attempt.view
    if not view.is_own:
        centre = view.record.data_centre
        known = state.distance_s.get(centre, UNMEASURED_DISTANCE_S)
        way = max(0.0, elapsed - reply.queue_s - reply.service_s)
        if reply.service_s > 0:
            known += LATENCY_WEIGHT * (way - known)
            state.distance_s[centre] = known
        elapsed = max(0.0, elapsed - known)
    load = view.load
    if load.latency_s == 0.0:
        load.latency_s = elapsed
    else:
        load.latency_s += LATENCY_WEIGHT * (elapsed - load.latency_s)


def build_load_toucher(board: Board) -> Callable[[float], None]:
    """Return a closure that tells the watchers of the load, but not too often."""
    touched_at = float("-inf")

    def touch(now: float) -> None:
        nonlocal touched_at
        if now - touched_at >= TOUCH_INTERVAL_S:
            touched_at = now
            board.touch(Section.LOAD)

    return touch
