"""Choice of one replica among the servers that hold a shard."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from bramleyrouter.ids import DaemonId, DataCentre, ServerId
from bramleyrouter.routing.replica_index import ReplicaView

# A home's hint of others' load is ignored when it is older, in seconds: a
# request takes a few to some tens of milliseconds, so the hint is then about
# requests that have ended.
HINT_LIFETIME_S = 0.25
# A server that refused or failed a request is taken to be full for so long, in
# seconds, so that one that fails fast does not draw load by its low latency.
BACKOFF_S = 0.05
# A home that could not be reached is used only as the last resort for so
# long, in seconds; renewals move its servers to other homes within about 2 s.
HOME_AVOIDANCE_S = 0.5
# Latency assumed of a server before its first reply, in seconds.
DEFAULT_LATENCY_S = 0.01
# Distance assumed of another data centre before its first reply, in seconds.
DEFAULT_NETWORK_DELAY_S = 0.002
# Data centres whose distances differ by less are equally near, in seconds.
EQUAL_DELAY_TOLERANCE_S = 0.0005
# Costs within this factor are near equal; a random one of them is taken, so
# that daemons with the same stale hints do not all choose the same server.
NEAR_EQUAL_FACTOR = 1.25

# The dearer of two servers is taken nevertheless when it was not asked for so
# long, in seconds; else one that was slow once, or is new, would never be
# measured again.
REMEASURE_INTERVAL_S = 1.0
NO_MAX_LOAD = float("inf")

TIER_OWN, TIER_OTHER_CENTRE, TIER_FULL, TIER_OTHER_CENTRE_STALE = range(4)
# Added to the tier of a server whose home could not be reached.
AVOIDED_TIER_OFFSET = 4


@dataclass
class ChoiceState:
    """Hold what choices depend on besides the servers themselves.

    ``distance_s`` is the measured time on the way to another data centre.
    ``avoid_until`` holds the homes that could not be reached, and until when
    they are the last resort. ``is_stale`` says that the own configuration is
    not confirmed.
    """

    network_delay_s: dict[DataCentre, float] = field(default_factory=dict)
    avoid_until: dict[DaemonId, float] = field(default_factory=dict)
    is_stale: bool = False


def estimate_load(view: ReplicaView, now: float) -> int:
    """Return the own requests in flight plus the others' by a fresh hint."""
    if now - view.hint_received_at < HINT_LIFETIME_S:
        return view.load.in_flight + view.others_in_flight
    return view.load.in_flight


def is_full(view: ReplicaView, now: float) -> bool:
    """Return whether one more request would have to queue at the home."""
    return now < view.backoff_until or estimate_load(view, now) >= view.capacity


def exceeds_max_load(view: ReplicaView, max_load: float, now: float) -> bool:
    """Return whether the server may not get an extra request."""
    if max_load == NO_MAX_LOAD:
        return False
    load = estimate_load(view, now)
    return now < view.backoff_until or load >= max_load * view.capacity


def estimate_cost(view: ReplicaView, state: ChoiceState, now: float) -> float:
    """Return the expected seconds until a reply, queue included."""
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
    """Return the replica to ask, or None when all were tried.

    The best tier that has a candidate is used: the own data centre while it
    has a free slot, then another data centre that has one, nearest first, then
    whichever is full. A stale daemon leaves its data centre only when that has
    no candidate at all. Within a tier the better of two random ones is taken.
    An extra request gives ``max_load``: a server with more running, as a
    multiple of its capacity, or at rest is no candidate then.
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
    if best_tier % AVOIDED_TIER_OFFSET == TIER_OTHER_CENTRE and len(tier_members) > 1:
        tier_members = _select_nearest(tier_members, state)
    if len(tier_members) == 1:
        return tier_members[0]
    return _choose_better_of_two(tier_members, state, rng, now)


def _get_tier(view: ReplicaView, state: ChoiceState, now: float) -> int:
    if state.is_stale and not view.is_own:
        tier = TIER_OTHER_CENTRE_STALE
    elif is_full(view, now):
        # Full servers of all data centres compete by cost; else the queues of
        # the own one would grow while others drain.
        tier = TIER_FULL
    else:
        tier = TIER_OWN if view.is_own else TIER_OTHER_CENTRE
    if state.avoid_until and now < state.avoid_until.get(view.record.home, now):
        tier += AVOIDED_TIER_OFFSET
    return tier


def _get_network_delay(view: ReplicaView, state: ChoiceState) -> float:
    if view.is_own:
        return 0.0
    return state.network_delay_s.get(view.record.data_centre, DEFAULT_NETWORK_DELAY_S)


def _select_nearest(views: list[ReplicaView], state: ChoiceState) -> list[ReplicaView]:
    limit = (
        min(_get_network_delay(view, state) for view in views) + EQUAL_DELAY_TOLERANCE_S
    )
    return [view for view in views if _get_network_delay(view, state) <= limit]


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
        # ``one`` is random already, so it stands for a random one of the two.
        return one
    cheaper, costlier = (one, other) if cost < other_cost else (other, one)
    return costlier if now - costlier.chosen_at > REMEASURE_INTERVAL_S else cheaper
