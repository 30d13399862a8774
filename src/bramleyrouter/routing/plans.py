"""Planning of attempts: grouping a query's shards by server and home."""

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

# Maximum number of shards of one attempt. A larger number saves requests and
# slots; a smaller one lets several replicas work on the query at once.
MAX_SHARDS_PER_ATTEMPT = 8


@dataclass(slots=True, eq=False)
class ShardProgress:
    """Hold the progress of one requested shard: servers tried, running attempts."""

    key: ShardKey
    tried: set[ServerId] = field(default_factory=set)
    running_attempts: int = 0
    is_second_round: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold one attempt: the shards requested from one server."""

    attempt_id: AttemptId
    view: ReplicaView
    home: DaemonId
    service: ServiceName
    shards: list[ShardProgress]
    sent_at: float
    is_hedge: bool = False
    was_hedged: bool = False
    has_reply_of_other_server: bool = False


@dataclass(slots=True)
class Plan:
    """Hold the planned attempts, and the shards without an available replica."""

    attempts: list[Attempt] = field(default_factory=list)
    unplaced: list[ShardProgress] = field(default_factory=list)


def plan_attempts(
    index: ReplicaIndex,
    version: IndexVersion,
    shards: Iterable[ShardProgress],
    state: ChoiceState,
    rng: random.Random,
    now: float,
    next_attempt_id: Callable[[], int],
    max_load: float = NO_MAX_LOAD,
) -> Plan:
    """Choose a replica for each shard; shards of one server share an attempt.

    A server that the plan already uses gets the shard too, while its attempt has
    fewer than MAX_SHARDS_PER_ATTEMPT shards. In-flight counts are raised during
    planning, so that later choices of the same plan take account of earlier
    ones. The calling function must therefore finish, fail or undo each attempt.
    """
    plan = Plan()
    open_attempts: dict[tuple[ServerId, ServiceName], Attempt] = {}
    holders_service, holders = None, {}
    for progress in shards:
        service = progress.key.service
        if service is not holders_service:
            holders_service = service
            holders = index.holders.get((service, version), {})
        candidates = holders.get(progress.key.shard)
        if not candidates:
            plan.unplaced.append(progress)
            continue
        attempt = _find_open_attempt(open_attempts, candidates, progress)
        if attempt is None:
            view = choose_replica(candidates, progress.tried, state, rng, now, max_load)
            if view is None:
                plan.unplaced.append(progress)
                continue
            attempt = _build_attempt(view, service, now, next_attempt_id)
            plan.attempts.append(attempt)
            open_attempts[(view.record.server_id, service)] = attempt
        attempt.shards.append(progress)
        progress.running_attempts += 1
        progress.tried.add(attempt.view.record.server_id)
    return plan


def group_by_home(attempts: Iterable[Attempt]) -> dict[DaemonId, list[Attempt]]:
    """Return the attempts by the home of their servers."""
    by_home: dict[DaemonId, list[Attempt]] = {}
    for attempt in attempts:
        by_home.setdefault(attempt.home, []).append(attempt)
    return by_home


def _find_open_attempt(open_attempts, candidates, progress) -> Attempt | None:
    for view in candidates:
        server_id = view.record.server_id
        attempt = open_attempts.get((server_id, progress.key.service))
        if attempt is None or len(attempt.shards) >= MAX_SHARDS_PER_ATTEMPT:
            continue
        if server_id not in progress.tried:
            return attempt
    return None


def _build_attempt(view: ReplicaView, service, now, next_attempt_id) -> Attempt:
    view.load.in_flight += 1
    view.chosen_at = now
    attempt_id = AttemptId(next_attempt_id())
    return Attempt(attempt_id, view, view.record.home, service, [], now)
