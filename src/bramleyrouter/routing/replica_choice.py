"""Choice of one replica among the servers that hold a shard.

Replicas are ranked by tier: the data centre of this daemon, other data centres,
full servers. Within a tier the cheaper of two random replicas is chosen.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from bramleyrouter.ids import DaemonId, DataCentre, ServerId
from bramleyrouter.routing.replica_index import ReplicaView

# Age, in seconds, from which a home's hint about the load of other daemons is
# ignored. A request takes a few to some tens of milliseconds, so an older hint
# describes requests that have finished.
HINT_LIFETIME_S = 0.25
# Time for which a server counts as full after it refused or failed a request, in
# seconds. Without it, a server that fails fast would attract load by its low
# latency.
BACKOFF_S = 0.05
# Time for which an unreachable home is used only as a last resort, in seconds. Its
# servers move to other homes within about 2 s, when they renew their registration.
HOME_AVOIDANCE_S = 0.5
# Latency assumed for a server before its first reply, in seconds.
DEFAULT_LATENCY_S = 0.01
# Network delay assumed to another data centre before its first reply, in seconds.
DEFAULT_NETWORK_DELAY_S = 0.002
# Data centres whose network delays differ by no more than this count as equally
# near, in seconds.
EQUAL_DELAY_TOLERANCE_S = 0.0005
# Costs within this factor count as equal, and a random server is chosen, so that
# daemons with the same stale hints do not all choose the same server.
NEAR_EQUAL_FACTOR = 1.25

# The costlier of two servers is chosen if it was not chosen for longer than this,
# in seconds. Otherwise a server that was slow once, or is new, would never be
# measured again.
REMEASURE_INTERVAL_S = 1.0
NO_MAX_LOAD = float("inf")

(
    TIER_OWN_DATA_CENTRE,
    TIER_OTHER_DATA_CENTRE,
    TIER_FULL,
    TIER_OTHER_DATA_CENTRE_STALE,
) = range(4)
# Added to the tier of a server whose home is unreachable.
AVOIDED_TIER_OFFSET = 4


@dataclass
class ChoiceState:
    """Hold the state that replica choice depends on besides the servers.

    ``network_delay_s`` is the measured network delay to other data centres.
    ``avoid_until`` has, for each unreachable home, the loop time until which it is
    a last resort. ``is_stale`` is true while this daemon's configuration is not
    confirmed.
    """

    network_delay_s: dict[DataCentre, float] = field(default_factory=dict)
    avoid_until: dict[DaemonId, float] = field(default_factory=dict)
    is_stale: bool = False


def estimate_load(view: ReplicaView, now: float) -> int:
    """Return this daemon's requests in flight, plus those of others if known.

    The load of other daemons is included only while the home's hint is fresh.
    """
    if now - view.hint_received_at < HINT_LIFETIME_S:
        return view.load.in_flight + view.others_in_flight
    return view.load.in_flight


def is_full(view: ReplicaView, now: float) -> bool:
    """Return whether another request would be queued at the home."""
    return now < view.backoff_until or estimate_load(view, now) >= view.capacity


def exceeds_max_load(view: ReplicaView, max_load: float, now: float) -> bool:
    """Return whether the server has too much load for an extra send.

    ``max_load`` is a multiple of the capacity. A server in backoff is excluded
    too. Without a maximum the result is false.
    """
    if max_load == NO_MAX_LOAD:
        return False
    load = estimate_load(view, now)
    return now < view.backoff_until or load >= max_load * view.capacity


def estimate_cost(view: ReplicaView, state: ChoiceState, now: float) -> float:
    """Return the expected time until a reply, in seconds, with queue and network."""
    latency = view.load.latency_s or DEFAULT_LATENCY_S
    waiting = 1.0 + estimate_load(view, now) / view.capacity
    return latency * waiting + _get_network_delay(view, state)


def choose_replica(
    candidates: Collection[ReplicaView],
    tried: Collection[ServerId],
    state: ChoiceState,
    rng: random.Random,
    now: float,
    max_load: float = NO_MAX_LOAD,
) -> ReplicaView | None:
    """Return the replica to send to, or None if no candidate remains.

    The best tier with a candidate is used: servers with a free slot in the data
    centre of this daemon, then servers with a free slot in the nearest other data
    centre, then full servers. A daemon with stale configuration uses other data
    centres only if its own has no candidate at all. Within a tier the better of
    two random candidates is chosen. For extra sends, ``max_load`` excludes servers
    in backoff and servers whose load has reached this multiple of their capacity.
    """
    best_tier, tier_members = 99, []
    for view in candidates:
        if view.record.server_id in tried or exceeds_max_load(view, max_load, now):
            continue
        tier = _get_tier(view, state, now)
        if tier < best_tier:
            best_tier, tier_members = tier, [view]
        elif tier == best_tier:
            tier_members.append(view)
    if not tier_members:
        return None
    if (
        best_tier % AVOIDED_TIER_OFFSET == TIER_OTHER_DATA_CENTRE
        and len(tier_members) > 1
    ):
        tier_members = _select_nearest(tier_members, state)
    if len(tier_members) == 1:
        return tier_members[0]
    return _choose_better_of_two(tier_members, state, rng, now)


def _get_tier(view: ReplicaView, state: ChoiceState, now: float) -> int:
    if state.is_stale and not view.is_in_own_data_centre:
        tier = TIER_OTHER_DATA_CENTRE_STALE
    elif is_full(view, now):
        # Full servers of all data centres compete by cost. Otherwise the queues in
        # this data centre would grow while those in others drain.
        tier = TIER_FULL
    else:
        tier = (
            TIER_OWN_DATA_CENTRE
            if view.is_in_own_data_centre
            else TIER_OTHER_DATA_CENTRE
        )
    if state.avoid_until and now < state.avoid_until.get(view.record.home, now):
        tier += AVOIDED_TIER_OFFSET
    return tier


def _get_network_delay(view: ReplicaView, state: ChoiceState) -> float:
    if view.is_in_own_data_centre:
        return 0.0
    return state.network_delay_s.get(view.record.data_centre, DEFAULT_NETWORK_DELAY_S)


def _select_nearest(views: list[ReplicaView], state: ChoiceState) -> list[ReplicaView]:
    max_delay_s = (
        min(_get_network_delay(view, state) for view in views) + EQUAL_DELAY_TOLERANCE_S
    )
    return [view for view in views if _get_network_delay(view, state) <= max_delay_s]


def _choose_better_of_two(
    views: list[ReplicaView], state: ChoiceState, rng: random.Random, now: float
) -> ReplicaView:
    count = len(views)
    first = int(rng.random() * count)
    second = (first + 1 + int(rng.random() * (count - 1))) % count
    one, other = views[first], views[second]
    cost, other_cost = estimate_cost(one, state, now), estimate_cost(other, state, now)
    if (
        cost <= other_cost * NEAR_EQUAL_FACTOR
        and other_cost <= cost * NEAR_EQUAL_FACTOR
    ):
        # ``one`` was drawn at random, so it is a random choice of the two.
        return one
    cheaper, costlier = (one, other) if cost < other_cost else (other, one)
    return costlier if now - costlier.chosen_at > REMEASURE_INTERVAL_S else cheaper
