"""Grouping of a query's shards into requests to servers and homes."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyrouter.ids import AttemptId, DaemonId, IndexVersion, ServerId, ServiceName
from bramleyrouter.routing.messages import ShardKey
from bramleyrouter.routing.replica_choice import (
    NO_MAX_LOAD,
    ChoiceState,
    choose_replica,
)
from bramleyrouter.routing.replica_index import ReplicaIndex, ReplicaView

# Shards that one request to a server asks for. More per request saves requests
# and slots; fewer lets several replicas work on the query at once.
MAX_SHARDS_PER_GROUP = 8


@dataclass(slots=True, eq=False)
class ShardProgress:
    """Hold how far one wanted shard is: servers tried, requests running."""

    key: ShardKey
    tried: set[ServerId] = field(default_factory=set)
    running_attempts: int = 0
    is_second_round: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold one request to one server, as it was planned and sent."""

    attempt_id: AttemptId
    view: ReplicaView
    home: DaemonId
    service: ServiceName
    shards: list[ShardProgress]
    sent_at: float
    is_hedge: bool = False
    was_hedged: bool = False
    has_foreign_reply: bool = False


@dataclass(slots=True)
class Plan:
    """Hold the attempts of one step, and the shards that found no replica."""

    attempts: list[Attempt] = field(default_factory=list)
    unplaced: list[ShardProgress] = field(default_factory=list)


def plan_attempts(
    index: ReplicaIndex,
    version: IndexVersion,
    shards: Iterable[ShardProgress],
    state: ChoiceState,
    rng: random.Random,
    now: float,
    next_attempt: Callable[[], int],
    max_load: float = NO_MAX_LOAD,
) -> Plan:
    """Choose a replica for each shard; shards of one server share a request.

    A server that the plan already uses gets the shard too, as long as its
    group has room. In-flight counts grow as the plan is made, so that later
    choices of the same plan see the earlier ones; whoever gets the plan must
    end each of its attempts.
    """
    plan = Plan()
    open_groups: dict[tuple[ServerId, ServiceName], Attempt] = {}
    holders_key, holders = None, {}
    for progress in shards:
        service = progress.key.service
        if service is not holders_key:
            holders_key = service
            holders = index.holders.get((service, version), {})
        candidates = holders.get(progress.key.shard)
        if not candidates:
            plan.unplaced.append(progress)
            continue
        group = _find_open_group(open_groups, candidates, progress)
        if group is None:
            view = choose_replica(candidates, progress.tried, state, rng, now, max_load)
            if view is None:
                plan.unplaced.append(progress)
                continue
            group = _start_group(view, service, now, next_attempt)
            plan.attempts.append(group)
            open_groups[(view.record.server_id, service)] = group
        group.shards.append(progress)
        progress.running_attempts += 1
        progress.tried.add(group.view.record.server_id)
    return plan


def group_by_home(attempts: Iterable[Attempt]) -> dict[DaemonId, list[Attempt]]:
    """Return the attempts by the home that is to send them."""
    by_home: dict[DaemonId, list[Attempt]] = {}
    for attempt in attempts:
        by_home.setdefault(attempt.home, []).append(attempt)
    return by_home


def _find_open_group(open_groups, candidates, progress) -> Attempt | None:
    for view in candidates:
        server_id = view.record.server_id
        group = open_groups.get((server_id, progress.key.service))
        if group is None or len(group.shards) >= MAX_SHARDS_PER_GROUP:
            continue
        if server_id not in progress.tried:
            return group
    return None


def _start_group(view: ReplicaView, service, now, next_attempt) -> Attempt:
    view.load.in_flight += 1
    view.chosen_at = now
    attempt_id = AttemptId(next_attempt())
    return Attempt(attempt_id, view, view.record.home, service, [], now)
