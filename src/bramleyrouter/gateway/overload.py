"""Decide whether an arriving request is accepted or rejected at once.

The load patterns: one customer sends a multiple of its usual load; a burst of one type
of request; slow servers of many shards; the loss of a data centre; the return of all
load after all processes were down; and callers that retry at once. A request that is
rejected has not run and gets the time after which its caller should return.

An entry daemon sees few requests, so each estimate is cautious and loses its weight
with age: without load, nothing is rejected. Nothing is held back either, because
requests already wait in the servers' queues and for the processor. The functions
perform no I/O: the time and a random number are parameters.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from bramleyrouter.gateway.customers import compute_priority
from bramleyrouter.gateway.tables import Route, RouteIndex
from bramleyrouter.ids import TenantName

# Limit on the requests in flight in one entry daemon. It is lower for each step of
# priority, so that the least urgent requests are refused first when servers stop
# answering.
MAX_IN_FLIGHT = 400
IN_FLIGHT_STEP_PER_LEVEL = 60
MAX_LEVEL = 4
# Average lateness of timers in seconds that makes a load of 1. With 50 ms, requests
# were rejected in a replay that used 56% of the processor and had no late ones.
LOADED_LAG_S = 0.1
# Load from which a level is rejected because the event loop lags; level 0 never is.
MAX_LOAD_BY_LEVEL = (float("inf"), 5.0, 4.0, 3.0, 2.0)
# A gather with less coverage ended short: its payoff, the square, is below a half. A
# request that took longer than this multiple of its objective ended late.
SHORT_COVERAGE = 0.7
LATE_FACTOR = 1.25
# Share of late or short requests that makes a load of 1, and the least number of recent
# requests by which it is judged.
LOADED_LATE_SHARE = 0.5
MIN_ENDED = 3.0
# Largest share of less urgent requests that is rejected because more urgent ones end
# late. The others show when the reason has passed.
MAX_REJECTED_SHARE = 0.8
# Time in seconds in which counts and estimates lose half of their weight. It covers a
# few requests of an entry daemon that sees one per second.
HALF_LIFE_S = 3.0
# Time in seconds for which sums over all customers or routes are kept. Computing them
# for each request cost 1.4 ms with 1,000 customers and 320 routes.
REFRESH_S = 0.05
# A customer is rejected for its share only with more than this multiple of the average
# of the others, and with at least so many requests in progress.
FAR_ABOVE = 2.0
MIN_REJECTED_PROGRESS = 4.0
# Weight of a new sample in the duration of a route's requests and in its deviation.
DURATION_WEIGHT = 0.25
MIN_DURATIONS = 4
# Multiple of the time waited that counts for a request that reached its deadline, since
# its answer would have taken longer by an unknown time.
DEADLINE_FACTOR = 1.5
# Bounds of the factor by which the requests in flight change a duration.
MIN_FLIGHT_FACTOR, MAX_FLIGHT_FACTOR = 0.25, 3.0
# Work in progress that one core accepts after a start and while it lags, and the share
# of the latter that each level leaves to more urgent ones. With 120 instead of 400, and
# a limit inverse to the lag and not to its square, a replay of ordinary load rejected 7
# requests. The work of a request is 1, and 1 more for each of so many shards: a gather
# of 90 shards costs tens of milliseconds of half a core.
STARTING_WORK_PER_CORE = 200.0
LAGGING_WORK_PER_CORE = 400.0
WORK_SHARE_PER_LEVEL = 0.2
SHARDS_PER_WORK = 10
# Share of this work that is accepted at first after a start, and the seconds until all
# of it is accepted. A daemon has just started if its first request arrives within
# ``JUST_STARTED_S`` seconds.
FIRST_RAMP_SHARE = 0.25
RAMP_S = 3.0
JUST_STARTED_S = 20.0
# Bounds of a Retry-After in seconds, and the processor time in seconds of one core
# after which the next refused caller returns.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
SLOT_CORE_S = 0.01


class Rule(Enum):
    """Enumerate the rules that reject a request."""

    IN_FLIGHT = "in_flight"
    RAMP = "ramp"
    CUSTOMER_SHARE = "customer_share"
    PRIORITY = "priority"
    DEADLINE = "deadline"


class Rank(NamedTuple):
    """Order requests by the customer's priority, then the route's; 0 is most urgent."""

    customer: int
    route: int


class Load(NamedTuple):
    """Describe the load of the daemon.

    ``lag_s`` is the average lateness of its timers in seconds, which counts by
    ``lag_age_s``, the seconds since it was measured. ``cores`` is a number of processor
    cores.
    """

    in_flight: int
    lag_s: float
    lag_age_s: float
    cores: float


class Arrival(NamedTuple):
    """Describe an arriving request; ``deadline_s`` is how long its caller waits."""

    route: Route
    customer: TenantName
    deadline_s: float
    now: float


class Rejection(NamedTuple):
    """Hold what decided a rejection, and the age of that information in seconds."""

    rule: Rule
    reason: str
    age_s: float


@dataclass
class DecayingCount:
    """Hold a count that loses half of its weight in ``HALF_LIFE_S`` seconds."""

    value: float = 0.0
    at: float = 0.0


@dataclass
class CustomerProgress:
    """Hold a customer's requests in flight, and those accepted recently."""

    in_flight: int = 0
    accepted: DecayingCount = field(default_factory=DecayingCount)


@dataclass
class Durations:
    """Hold how long a route's requests took, in seconds, and with how many in flight.

    ``at`` is the time of the latest sample.
    """

    samples: int = 0
    average_s: float = 0.0
    deviation_s: float = 0.0
    in_flight: float = 0.0
    at: float = 0.0


@dataclass
class RouteEnds:
    """Count the ended requests of one route and rank, and those late or short."""

    ended: DecayingCount = field(default_factory=DecayingCount)
    late: DecayingCount = field(default_factory=DecayingCount)


class FairPart(NamedTuple):
    """Hold the fair part of the customers of one priority, computed at time ``at``.

    ``total`` is what these customers have in progress together.
    """

    at: float
    customers: int
    total: float
    limit: float


@dataclass
class OverloadState:
    """Hold what a daemon knows of its load; ``started_at`` is its time of start."""

    started_at: float = 0.0
    first_at: float | None = None
    work: float = 0.0
    customers: dict[TenantName, CustomerProgress] = field(default_factory=dict)
    swept_at: float = 0.0
    durations: dict[str, Durations] = field(default_factory=dict)
    ends: dict[str, dict[Rank, RouteEnds]] = field(default_factory=dict)
    # Credit of each rank that is rejected in part, so that the share holds exactly.
    credit: dict[tuple[str, Rank], float] = field(default_factory=dict)
    next_slot_at: float = 0.0
    # The fair parts by the customers' priority, and the largest share of late requests
    # of any route with the time of its computation.
    parts: dict[int, FairPart] = field(default_factory=dict)
    late_share: tuple[float, float] = (0.0, float("-inf"))
    rejected: dict[Rule, int] = field(default_factory=dict)
    # What follows from the route table alone.
    levels: dict[Rank, int] = field(default_factory=dict)
    sharing: dict[str, frozenset[str]] = field(default_factory=dict)


def read_count(count: DecayingCount, now: float) -> float:
    """Return the present value of a decaying count."""
    return count.value * 0.5 ** (max(0.0, now - count.at) / HALF_LIFE_S)


def increment(count: DecayingCount, now: float) -> None:
    """Add 1 to a decaying count."""
    count.value, count.at = read_count(count, now) + 1.0, now


def set_index(state: OverloadState, index: RouteIndex) -> None:
    """Compute the levels of a route table's ranks, and forget routes that it lacks.

    Without customers, the level is the route's priority. With customers, it is the
    position of the rank among all ranks that the table allows.
    """
    routes = {route.name for route in index.table.routes}
    customer_priorities = {item.priority for item in index.customers.values()} | {0}
    route_priorities = {route.priority for route in index.table.routes}
    ranks = sorted(
        Rank(customer, route)
        for customer in customer_priorities
        for route in route_priorities
    )
    state.levels = {
        rank: min(at if index.customers else rank.route, MAX_LEVEL)
        for at, rank in enumerate(ranks)
    }
    state.sharing.clear()
    state.parts.clear()
    state.durations = {
        name: item for name, item in state.durations.items() if name in routes
    }
    state.ends = {name: item for name, item in state.ends.items() if name in routes}
    state.credit = {k: item for k, item in state.credit.items() if k[0] in routes}


def get_rank(index: RouteIndex, route: Route, customer: TenantName) -> Rank:
    """Return the rank of a request; without a customer, the route decides."""
    return Rank(*compute_priority(route, index.customers.get(customer)))


def compute_work(route: Route) -> float:
    """Return the work of a request of ``route``."""
    return 1.0 + len(route.shards) / SHARDS_PER_WORK


def reject_request(
    state: OverloadState, index: RouteIndex, arrival: Arrival, load: Load
) -> Rejection | None:
    """Return why a request is rejected, or none if it is accepted.

    The rules that concern only some customers, ranks and routes come before the one
    that concerns all. An accepted request must be passed
    to ``record_start``.
    """
    if state.first_at is None:
        state.first_at = arrival.now
    rank = get_rank(index, arrival.route, arrival.customer)
    level = state.levels.get(rank, MAX_LEVEL)
    rejection = (
        check_in_flight(load, level)
        or check_deadline(state, arrival, load)
        or check_customer_share(state, index, arrival, load)
        or check_priority(state, index, arrival, load, level)
        or check_ramp(state, arrival, load, level)
    )
    if rejection is not None:
        state.rejected[rejection.rule] = state.rejected.get(rejection.rule, 0) + 1
    return rejection


def check_in_flight(load: Load, level: int) -> Rejection | None:
    """Reject requests above the limit on those in flight.

    Load pattern: servers that stop answering, such as those of a data centre that is
    lost, and hold requests until their deadlines.
    """
    if load.in_flight < MAX_IN_FLIGHT - IN_FLIGHT_STEP_PER_LEVEL * level:
        return None
    return Rejection(Rule.IN_FLIGHT, f"{load.in_flight} requests are under way", 0.0)


def check_ramp(
    state: OverloadState, arrival: Arrival, load: Load, level: int
) -> Rejection | None:
    """Reject what exceeds the work that the processor does in time at present.

    Load pattern: all load returns at once after all processes were down. The daemon
    has no connections yet and its loop lags; accepting everything makes all late.
    """
    limit = float("inf")
    share = _compute_ramp_share(state, arrival.now)
    if share < 1.0:
        limit = share * STARTING_WORK_PER_CORE * load.cores
    lag_load = load.lag_s / LOADED_LAG_S
    if lag_load > 1.0:
        # The square rejects little at a slight lag, which passes by itself, and most of
        # what makes a long lag longer.
        lagging_limit = LAGGING_WORK_PER_CORE * load.cores / lag_load**2
        limit = min(limit, lagging_limit * (1.0 - WORK_SHARE_PER_LEVEL * level))
    # One request is always accepted, however large it is.
    if not state.work or state.work + compute_work(arrival.route) <= limit:
        return None
    reason = f"work of {state.work:.0f} is in progress, {limit:.0f} is the limit"
    return Rejection(Rule.RAMP, reason, load.lag_age_s)


def _compute_ramp_share(state: OverloadState, now: float) -> float:
    first_at = state.first_at if state.first_at is not None else now
    if first_at > state.started_at + JUST_STARTED_S:
        return 1.0
    grown = (1.0 - FIRST_RAMP_SHARE) * (now - first_at) / RAMP_S
    return min(1.0, FIRST_RAMP_SHARE + grown)


def check_deadline(
    state: OverloadState, arrival: Arrival, load: Load
) -> Rejection | None:
    """Reject a request that can't be answered by its deadline.

    Load pattern: slow servers of many shards, or a burst of one type of request. A
    request that would only miss its objective is served. While a route's requests
    meet its objective, a caller's short deadline is no sign of load, and its request is
    tried.
    """
    durations = state.durations.get(arrival.route.name)
    if (
        durations is None
        or durations.samples < MIN_DURATIONS
        or durations.average_s <= arrival.route.objective_s
    ):
        return None
    estimate_s = estimate_duration(durations, load, arrival.now)
    if estimate_s <= arrival.deadline_s:
        return None
    reason = f"an answer is expected after {estimate_s:.2f} s"
    return Rejection(Rule.DEADLINE, reason, arrival.now - durations.at)


def estimate_duration(durations: Durations, load: Load, now: float) -> float:
    """Return the seconds that a request takes at least, by recent ones of its route.

    The estimate shrinks with its age, so that requests are accepted again although
    none has ended. More requests in flight lengthen it only while the loop lags:
    otherwise servers do the work, and the requests may be at different ones.
    """
    decay = 0.5 ** (max(0.0, now - durations.at) / HALF_LIFE_S)
    factor = (load.in_flight + 1.0) / (durations.in_flight + 1.0)
    highest = MAX_FLIGHT_FACTOR if load.lag_s > LOADED_LAG_S else 1.0
    factor = min(highest, max(MIN_FLIGHT_FACTOR, factor))
    return max(0.0, durations.average_s - durations.deviation_s) * factor * decay


def check_customer_share(
    state: OverloadState, index: RouteIndex, arrival: Arrival, load: Load
) -> Rejection | None:
    """Reject a customer that has far more in progress than its fair part.

    Load pattern: one customer at many times its usual load. Its requests are compared
    with those of the customers of its own priority. Everybody below the equal part is
    untouched, and what they leave is shared by the others.
    """
    now = arrival.now
    if not index.customers or arrival.customer not in state.customers:
        return None
    present_load = compute_load(state, load, now)
    if present_load <= 1.0:
        return None
    priority = get_rank(index, arrival.route, arrival.customer).customer
    part = _get_fair_part(state, index, priority, present_load, now)
    mine = compute_progress(state.customers[arrival.customer], now)
    if part.customers < 2 or mine < MIN_REJECTED_PROGRESS:
        return None
    average_of_others = (part.total - mine) / (part.customers - 1)
    if mine <= max(part.limit, FAR_ABOVE * average_of_others):
        return None
    reason = f'customer "{arrival.customer}" has {mine:.1f} in progress, '
    reason += f"the fair part is {part.limit:.1f}"
    return Rejection(Rule.CUSTOMER_SHARE, reason, load.lag_age_s)


def _get_fair_part(
    state: OverloadState,
    index: RouteIndex,
    priority: int,
    present_load: float,
    now: float,
) -> FairPart:
    """Return the fair part of the customers of one priority."""
    known = state.parts.get(priority)
    if known is not None and now < known.at + REFRESH_S:
        return known
    progress = {
        name: compute_progress(item, now)
        for name, item in state.customers.items()
        if (index.customers[name].priority if name in index.customers else 0)
        == priority
    }
    total = sum(progress.values())
    limit = compute_fair_part(progress, total / present_load)
    part = state.parts[priority] = FairPart(now, len(progress), total, limit)
    return part


def compute_progress(progress: CustomerProgress, now: float) -> float:
    """Return a customer's requests in flight plus those accepted recently."""
    return progress.in_flight + read_count(progress.accepted, now)


def compute_fair_part(needs: Mapping[TenantName, float], capacity: float) -> float:
    """Return the largest part of ``capacity`` that one of the needs may take.

    Needs below the equal part are met, and the rest is shared equally by the others.
    For example, needs of 1, 2 and 9 and a capacity of 9 give 6.
    """
    left = capacity
    ordered = sorted(needs.values())
    for at, need in enumerate(ordered):
        part = left / (len(ordered) - at)
        if need > part:
            return part
        left -= need
    return ordered[-1] if ordered else 0.0


def check_priority(
    state: OverloadState,
    index: RouteIndex,
    arrival: Arrival,
    load: Load,
    level: int,
) -> Rejection | None:
    """Reject less urgent requests while more urgent ones suffer.

    Load pattern: a burst of one type of request that shares services, or the processor
    of this daemon, with a more urgent type.
    """
    if load.lag_s / LOADED_LAG_S >= MAX_LOAD_BY_LEVEL[level]:
        reason = f"the event loop lags by {1000 * load.lag_s:.0f} ms"
        return Rejection(Rule.PRIORITY, reason, load.lag_age_s)
    route, now = arrival.route, arrival.now
    rank = get_rank(index, route, arrival.customer)
    shares = [
        (compute_late_share(ends, now), now - ends.ended.at)
        for name in _find_sharing_routes(state, index, route)
        for other, ends in state.ends.get(name, {}).items()
        if other < rank
    ]
    late_share, age_s = max(shares, default=(0.0, 0.0))
    rejected_share = min(
        MAX_REJECTED_SHARE,
        (late_share - LOADED_LATE_SHARE) / (1.0 - LOADED_LATE_SHARE),
    )
    if rejected_share <= 0.0:
        state.credit.pop((route.name, rank), None)
        return None
    credit = state.credit.get((route.name, rank), 0.0) + rejected_share
    is_rejected = credit >= 1.0
    state.credit[route.name, rank] = credit - is_rejected
    if not is_rejected:
        return None
    reason = f"{100 * late_share:.0f}% of more urgent requests end late or short"
    return Rejection(Rule.PRIORITY, reason, age_s)


def _find_sharing_routes(
    state: OverloadState, index: RouteIndex, route: Route
) -> frozenset[str]:
    """Return the names of the routes that share a service with ``route``."""
    if route.name not in state.sharing:
        own = set(_list_services(route))
        state.sharing[route.name] = frozenset(
            other.name
            for other in index.table.routes
            if not own.isdisjoint(_list_services(other))
        )
    return state.sharing[route.name]


def _list_services(route: Route) -> Iterable[str]:
    return (*route.shards, *(target.service for target in route.targets))


def compute_load(state: OverloadState, load: Load, now: float) -> float:
    """Return the load of the daemon; above 1 it is loaded."""
    if now >= state.late_share[1] + REFRESH_S:
        shares = [
            compute_late_share(ends, now)
            for by_rank in state.ends.values()
            for ends in by_rank.values()
        ]
        state.late_share = max(shares, default=0.0), now
    return max(
        load.in_flight / (MAX_IN_FLIGHT / 2),
        load.lag_s / LOADED_LAG_S,
        state.late_share[0] / LOADED_LATE_SHARE,
    )


def compute_late_share(ends: RouteEnds, now: float) -> float:
    """Return the share of recent requests that ended late or short.

    It is 0 if there are too few to judge by.
    """
    ended = read_count(ends.ended, now)
    return read_count(ends.late, now) / ended if ended >= MIN_ENDED else 0.0


def record_start(state: OverloadState, arrival: Arrival) -> None:
    """Record that a request was accepted."""
    state.work += compute_work(arrival.route)
    progress = state.customers.setdefault(arrival.customer, CustomerProgress())
    progress.in_flight += 1
    increment(progress.accepted, arrival.now)


def record_end(state: OverloadState, arrival: Arrival, now: float) -> None:
    """Record that a request is no longer in flight."""
    state.work = max(0.0, state.work - compute_work(arrival.route))
    state.customers[arrival.customer].in_flight -= 1
    if now < state.swept_at + HALF_LIFE_S:
        return
    state.swept_at = now
    # Customers without recent requests are forgotten.
    for name in [
        name
        for name, item in state.customers.items()
        if not item.in_flight and read_count(item.accepted, now) < 0.05
    ]:
        del state.customers[name]


def record_duration(
    state: OverloadState,
    arrival: Arrival,
    in_flight: int,
    is_answered: bool,
    now: float,
) -> None:
    """Record how long a request took that was answered or reached its deadline.

    ``in_flight`` is the number of requests in flight when it arrived.
    """
    waited_s = (now - arrival.now) * (1.0 if is_answered else DEADLINE_FACTOR)
    durations = state.durations.setdefault(arrival.route.name, Durations())
    weight = max(DURATION_WEIGHT, 1.0 / (durations.samples + 1))
    difference_s = waited_s - durations.average_s
    durations.samples += 1
    durations.average_s += weight * difference_s
    if durations.samples > 1:
        durations.deviation_s += weight * (abs(difference_s) - durations.deviation_s)
    durations.in_flight += weight * (in_flight - durations.in_flight)
    durations.at = now


def record_result(
    state: OverloadState,
    route: Route,
    rank: Rank,
    waited_s: float,
    coverage: float | None,
    now: float,
) -> None:
    """Record whether a request, or a delegated part of a gather, ended late or short.

    ``coverage`` is none for requests to a single service. The parts that a daemon
    serves for others tell it more than its own few requests.
    """
    ends = state.ends.setdefault(route.name, {}).setdefault(rank, RouteEnds())
    increment(ends.ended, now)
    is_short = coverage is not None and coverage < SHORT_COVERAGE
    if is_short or waited_s > LATE_FACTOR * route.objective_s:
        increment(ends.late, now)


def choose_retry_after(
    state: OverloadState, arrival: Arrival, load: Load, random_share: float
) -> float:
    """Return the seconds after which a rejected caller should return.

    Load pattern: callers that retry at once, and together. Each gets a later slot, and
    the first slot is later the more requests are in progress. The time is at most a
    third of what the caller still waits; callers beyond that are spread over its second
    half. ``random_share`` (0 to 1) spreads the callers of different daemons.
    """
    longest_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, arrival.deadline_s / 3.0))
    slot_s = SLOT_CORE_S / load.cores
    first_at = arrival.now + MIN_RETRY_AFTER_S + slot_s * state.work
    slot_at = max(first_at, state.next_slot_at)
    wait_s = slot_at - arrival.now + random_share * slot_s
    if wait_s > longest_s:
        return longest_s * (1.0 - 0.5 * random_share)
    state.next_slot_at = slot_at + slot_s
    return wait_s
