"""Load, latency and reachability of servers and homes, as this daemon sees them."""

from collections.abc import Callable

from bramleyrouter.board import Board, Section
from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.plans import Attempt
from bramleyrouter.routing.replica_choice import (
    BACKOFF_S,
    DEFAULT_NETWORK_DELAY_S,
    HOME_AVOIDANCE_S,
    ChoiceState,
)
from bramleyrouter.routing.replica_index import ReplicaView
from bramleyrouter.routing.retries import RetryKind, classify_failure

# Weight of one reply in the moving averages of latency and network delay.
LATENCY_WEIGHT = 0.1
# Shortest time between two notifications of the load watchers, in seconds.
NOTIFY_INTERVAL_S = 0.25


def record_success(
    attempt: Attempt, state: ChoiceState, reply: GroupReply, now: float
) -> None:
    """Record a complete reply, its latency and the load hints of its home."""
    view = attempt.view
    load = view.load
    load.in_flight -= 1
    load.replies += 1
    _apply_hints(view, reply, now)
    latency = now - attempt.sent_at
    if not view.is_in_own_data_centre:
        latency -= _update_network_delay(view, state, reply, latency)
    if load.latency_s == 0.0:
        load.latency_s = latency
    else:
        load.latency_s += LATENCY_WEIGHT * (latency - load.latency_s)


def record_failure(
    attempt: Attempt,
    state: ChoiceState,
    code: Code,
    reply: GroupReply | None,
    now: float,
) -> None:
    """Record an attempt without a result; ``reply`` is its reply, if any."""
    view = attempt.view
    load, elapsed = view.load, now - attempt.sent_at
    load.in_flight -= 1
    # A daemon that refuses because it is not the home has no hints for the server.
    if reply is not None and classify_failure(reply.code) is not RetryKind.REDIRECT:
        _apply_hints(view, reply, now)
    if code is Code.SHARD_CANCELLED:
        # The time until the cancellation is a lower bound of the latency.
        if elapsed > load.latency_s:
            load.latency_s += LATENCY_WEIGHT * (elapsed - load.latency_s)
        return
    load.failures += 1
    view.backoff_until = now + BACKOFF_S
    if code is Code.PEER_UNREACHABLE or code is Code.SHARD_HOME_LOST:
        _mark_home_unreachable(state, attempt, now)


def _apply_hints(view: ReplicaView, reply: GroupReply, now: float) -> None:
    """Apply the load hints of a reply.

    The home reports the requests of all daemons; what exceeds this daemon's own
    is the load of the others.
    """
    others = reply.in_flight - view.load.in_flight
    view.others_in_flight = others if others > 0 else 0
    view.hint_received_at = now
    if reply.headroom > 0:
        view.capacity = view.record.slots * reply.headroom


def _update_network_delay(
    view: ReplicaView, state: ChoiceState, reply: GroupReply, elapsed: float
) -> float:
    """Update and return the average network delay to the server's data centre.

    The result is in seconds, and at most ``elapsed``.
    """
    data_centre = view.record.data_centre
    average = state.network_delay_s.get(data_centre, DEFAULT_NETWORK_DELAY_S)
    if reply.service_s > 0:
        network_s = max(0.0, elapsed - reply.queue_s - reply.service_s)
        average += LATENCY_WEIGHT * (network_s - average)
        state.network_delay_s[data_centre] = average
    return min(average, elapsed)


def _mark_home_unreachable(state: ChoiceState, attempt: Attempt, now: float) -> None:
    expired = [home for home, until in state.avoid_until.items() if until <= now]
    for home in expired:
        del state.avoid_until[home]
    state.avoid_until[attempt.home] = now + HOME_AVOIDANCE_S


def build_load_notifier(board: Board) -> Callable[[float], None]:
    """Return a closure that notifies the load watchers at a limited rate."""
    notified_at = float("-inf")

    def notify(now: float) -> None:
        nonlocal notified_at
        if now - notified_at >= NOTIFY_INTERVAL_S:
            notified_at = now
            board.notify_watchers(Section.LOAD)

    return notify
