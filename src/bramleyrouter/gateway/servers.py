"""Per-server measurements of an entry daemon, and the choice of a server.

The functions perform no I/O: they update only the passed state, the time is a
parameter, and a choice depends on nothing else.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.queues import ServerQueue
from bramleyrouter.gateway.server_choice import (
    REMOTE_PENALTY,
    Candidate,
    ComputeOrder,
    choose_candidate,
    compute_cost,
    decay,
    keep_listed_order,
)
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName

# Weight of a new sample in the fast moving averages, and in the slow one.
SAMPLE_WEIGHT = 0.3
LASTING_SAMPLE_WEIGHT = 0.1
# Time in seconds in which an average without new samples decays half of the way to that
# of an ordinary server, so that a server that was slow is tried again.
SLOWNESS_HALF_LIFE_S = 4.0
LASTING_HALF_LIFE_S = 30.0
FAILURES_HALF_LIFE_S = 10.0
# Upper bound of one sample, so that the average recovers soon from one long pause.
MAX_SLOWNESS_SAMPLE = 6.0
# Number of consecutive failures after which a server is suspected, and the duration in
# seconds, which doubles with each further failure. A pause of a healthy server causes
# one or two failures.
FAILURES_TO_SUSPECT = 3
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Time in seconds during which a server that refused for lack of capacity is avoided.
FULL_BACKOFF_S = 0.05
# Ranks of servers; a higher rank is chosen only if there is no server of a lower one.
# Rank 0 is a good server, rank 1 a cold, full or silent one.
SUSPECT_RANK = 2
COLD_RANK = 3
# Share of the rate allowed for cold servers that all entry daemons together use.
USED_COLD_RATE_SHARE = 0.5
# Default factor and constant that are applied to the declared rate to get the rate a
# cold server can serve; the platform's settings may override them.
DEFAULT_COLD_FACTOR, DEFAULT_COLD_SLACK = 1.5, 5.0
# Number of removed servers whose back-offs are retained, in case a control daemon that
# lost its registry announces them again.
MAX_RETAINED_BACKOFFS = 4096


@dataclass(eq=False)
class ServerBackoff:
    """Hold what one incarnation of a server said about further requests.

    ``is_leaving`` is never reset, since only a new incarnation accepts requests again.
    Until the loop time ``retry_at`` the server wants no requests from this daemon.
    """

    is_leaving: bool = False
    retry_at: float = 0.0


@dataclass(eq=False)
class TrackedServer:
    """Hold the announced row of one server and what this daemon measured of it.

    ``slowness`` is a moving average of its latency as a multiple of the route's median,
    so that requests of different lengths can be compared. ``lasting_slowness`` is the
    same with a longer memory. ``failed_share`` is the moving average of failures.
    ``in_flight`` includes the requests that still wait for a connection. ``own_order``
    is the server's position in this daemon's order, 0 until it is needed. Times are
    loop times in seconds.
    """

    row: ServerRow
    slowness: float = 1.0
    lasting_slowness: float = 1.0
    slowness_at: float = 0.0
    failed_share: float = 0.0
    failed_share_at: float = 0.0
    own_order: float = 0.0
    in_flight: int = 0
    consecutive_failures: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0
    cold_until: float = 0.0
    next_cold_request_at: float = 0.0
    is_replaced: bool = False
    queue: ServerQueue = field(default_factory=ServerQueue)
    backoff: ServerBackoff = field(default_factory=ServerBackoff)


class ChoiceContext(NamedTuple):
    """Hold what a choice depends on besides the servers.

    ``cold_interval_s`` is the time between two requests of this entry daemon to a cold
    server; it is 0 if the service declares no limit. ``compute_order`` returns the
    position of a server in this daemon's own order.
    """

    now: float
    own_data_centre: DataCentre
    data_centres_out: Collection[DataCentre]
    cold_interval_s: float
    compute_order: ComputeOrder = keep_listed_order


@dataclass
class TrackedServers:
    """Hold all tracked servers by service.

    ``backoffs`` also holds those of removed servers, so that a server that left is not
    used again if it is announced again. ``has_backoffs`` is set once a server asked for
    one.
    """

    by_service: dict[ServiceName, dict[ServerId, TrackedServer]] = field(
        default_factory=dict
    )
    backoffs: dict[tuple[ServerId, ServerIncarnation], ServerBackoff] = field(
        default_factory=dict
    )
    has_backoffs: bool = False


def set_servers(
    tracked: TrackedServers,
    service: ServiceName,
    rows: Iterable[ServerRow],
    now: float,
) -> None:
    """Replace the servers of a service by the announced rows.

    A server retains its measurements while its incarnation and address stay the same.
    """
    previous = tracked.by_service.get(service, {})
    servers: dict[ServerId, TrackedServer] = {}
    for row in rows:
        server = previous.get(row.server_id)
        is_same = server is not None and (
            server.row.incarnation == row.incarnation
            and server.row.address == row.address
        )
        if server is None or not is_same:
            server = TrackedServer(row, backoff=_get_backoff(tracked, row))
        server.row = row
        if row.cold_s:
            server.cold_until = max(server.cold_until, now + row.cold_s)
        servers[row.server_id] = server
    for server_id, server in previous.items():
        if servers.get(server_id) is not server:
            # Requests that wait for this server are no longer sent.
            server.is_replaced = True
    tracked.by_service[service] = servers
    _limit_backoffs(tracked)


def _get_backoff(tracked: TrackedServers, row: ServerRow) -> ServerBackoff:
    return tracked.backoffs.setdefault(
        (row.server_id, row.incarnation), ServerBackoff()
    )


def _limit_backoffs(tracked: TrackedServers) -> None:
    """Remove the oldest back-offs of servers that are no longer announced."""
    current = {
        (server.row.server_id, server.row.incarnation)
        for servers in tracked.by_service.values()
        for server in servers.values()
    }
    excess = len(tracked.backoffs) - len(current) - MAX_RETAINED_BACKOFFS
    if excess > 0:
        removed = [key for key in tracked.backoffs if key not in current]
        for key in removed[:excess]:
            del tracked.backoffs[key]


def compute_cold_interval(
    rate: float, factor: float, slack: float, entry_daemons: int | None
) -> float:
    """Return the seconds between two requests of one daemon to a cold server.

    All entry daemons together stay below ``rate * factor + slack`` per second. A
    service without a declared rate has no limit: its cold servers are only slower.
    While the number of entry daemons is unknown, the interval is infinite.
    """
    if rate <= 0:
        return 0.0
    if entry_daemons is None:
        return float("inf")
    allowed = USED_COLD_RATE_SHARE * (rate * factor + slack) / max(1, entry_daemons)
    return 1.0 / allowed if allowed > 0 else float("inf")


def _estimate_failed_share(server: TrackedServer, now: float) -> float:
    age_s = now - server.failed_share_at
    return decay(server.failed_share, 0.0, age_s, FAILURES_HALF_LIFE_S)


def _build_candidate(
    server: TrackedServer, position: int, rank: int, context: ChoiceContext
) -> Candidate:
    now, row = context.now, server.row
    age_s = now - server.slowness_at
    if not server.own_order:
        server.own_order = context.compute_order(row.server_id)
    cost = compute_cost(
        decay(server.lasting_slowness, 1.0, age_s, LASTING_HALF_LIFE_S),
        decay(server.slowness, 1.0, age_s, SLOWNESS_HALF_LIFE_S),
        server.in_flight,
        row.slots,
        _estimate_failed_share(server, now),
    )
    is_local = row.data_centre == context.own_data_centre
    return Candidate(
        position, rank, cost, server.own_order, row.slots, is_local, row.data_centre
    )


def is_usable(
    server: TrackedServer, data_centres_out: Collection[DataCentre], now: float
) -> bool:
    """Return whether a server may receive any requests now.

    Every way to a server depends on this: first attempts, retries, hedges, requests
    that waited for a connection, and the choice of shards to delegate.
    """
    row, backoff = server.row, server.backoff
    return (
        row.phase is ServerPhase.READY
        and row.data_centre not in data_centres_out
        and not server.is_replaced
        and not backoff.is_leaving
        and backoff.retry_at <= now
    )


def find_backed_off(
    servers: Iterable[TrackedServer], now: float
) -> list[TrackedServer]:
    """Return the announced servers that get nothing because they said so themselves."""
    return [
        server
        for server in servers
        if (server.backoff.is_leaving or server.backoff.retry_at > now)
        and server.row.phase is ServerPhase.READY
    ]


class BackedOffServer(NamedTuple):
    """Name a server that gets nothing because it said so, for the metrics.

    ``wait_s`` is the time until it wants requests again, none if it leaves.
    """

    service: ServiceName
    server_id: ServerId
    wait_s: float | None


def list_backed_off(tracked: TrackedServers, now: float) -> list[BackedOffServer]:
    """Return all servers that get nothing because they said so."""
    if not tracked.has_backoffs:
        return []
    return [
        BackedOffServer(
            service,
            server.row.server_id,
            None if server.backoff.is_leaving else server.backoff.retry_at - now,
        )
        for service, servers in tracked.by_service.items()
        for server in find_backed_off(servers.values(), now)
    ]


def compute_wait_for_server(
    servers: Iterable[TrackedServer],
    data_centres_out: Collection[DataCentre],
    now: float,
) -> float | None:
    """Return the seconds until a server of a service wants requests again.

    It is 0 if one may receive them now, and none if no server is known to return.
    """
    return min(
        (
            max(0.0, server.backoff.retry_at - now)
            for server in servers
            if is_usable(server, data_centres_out, max(now, server.backoff.retry_at))
        ),
        default=None,
    )


def _compute_rank(server: TrackedServer, context: ChoiceContext) -> int | None:
    """Return 0 for a good server, more for a doubtful one, none for an unusable one."""
    now, row = context.now, server.row
    if not is_usable(server, context.data_centres_out, now):
        return None
    is_cold = server.cold_until > now
    if is_cold and context.cold_interval_s > 0:
        return COLD_RANK if server.next_cold_request_at <= now else None
    if server.suspect_until > now:
        return SUSPECT_RANK
    if is_cold or row.is_silent or server.full_until > now:
        return 1
    return 0


class ServerSurvey(NamedTuple):
    """Describe the servers of one service that may receive a request now.

    ``data_centres`` are those that have a server of the best rank. They are empty if
    all servers are suspected, gone, or cold with a declared rate. ``is_trusted`` is set
    if some server is not suspected.
    """

    has_server: bool
    is_trusted: bool
    data_centres: set[DataCentre]


def survey_servers(
    servers: Iterable[TrackedServer], context: ChoiceContext
) -> ServerSurvey:
    """Return which servers of a service may receive a request."""
    best_rank, data_centres, is_trusted = COLD_RANK + 1, set[DataCentre](), False
    for server in servers:
        rank = _compute_rank(server, context)
        if rank is None:
            continue
        is_trusted |= server.suspect_until <= context.now
        if rank < best_rank:
            best_rank, data_centres = rank, {server.row.data_centre}
        elif rank == best_rank:
            data_centres.add(server.row.data_centre)
    has_server = best_rank <= COLD_RANK
    if best_rank >= SUSPECT_RANK:
        data_centres = set()
    return ServerSurvey(has_server, is_trusted, data_centres)


def choose_server(
    servers: Iterable[TrackedServer],
    context: ChoiceContext,
    tried: Collection[ServerId] = (),
    max_rank: int = COLD_RANK,
) -> TrackedServer | None:
    """Return the best server that was not tried yet, or none."""
    left: list[TrackedServer] = []
    candidates: list[Candidate] = []
    for server in servers:
        if server.row.server_id in tried:
            continue
        rank = _compute_rank(server, context)
        if rank is not None and rank <= max_rank:
            candidates.append(_build_candidate(server, len(left), rank, context))
            left.append(server)
    chosen = choose_candidate(candidates)
    return None if chosen is None else left[chosen.position]


class RemoteChoice(NamedTuple):
    """State why a server of another data centre was chosen, for the log.

    Costs are in units of an ordinary server's latency. ``local_cost`` is that of the
    cheapest local server, and ``age_s`` the age of its latest measurement in seconds,
    infinite if it was never measured. ``is_by_cost`` is false if that server was tried
    already, or is full, cold, silent or suspected.
    """

    cost: float
    local_cost: float
    local_server: ServerId
    age_s: float
    is_by_cost: bool


def explain_remote_choice(
    servers: Iterable[TrackedServer], chosen: TrackedServer, context: ChoiceContext
) -> RemoteChoice | None:
    """Return why ``chosen`` was preferred to the cheapest usable local server.

    It is none if ``chosen`` is local or no local server is usable.
    """
    own, now = context.own_data_centre, context.now
    if chosen.row.data_centre == own:
        return None
    costs = [
        (_build_candidate(server, 0, 0, context).cost, server.row.server_id, server)
        for server in servers
        if server.row.data_centre == own
        and is_usable(server, context.data_centres_out, now)
    ]
    if not costs:
        return None
    local_cost, local_id, local = min(costs)
    age_s = now - local.slowness_at if local.slowness_at else math.inf
    cost = _build_candidate(chosen, 0, 0, context).cost
    is_by_cost = local_cost > cost + REMOTE_PENALTY
    return RemoteChoice(cost, local_cost, local_id, age_s, is_by_cost)


def record_sent(server: TrackedServer, context: ChoiceContext) -> None:
    """Record that a request to a server was sent or waits for a connection."""
    server.in_flight += 1
    if server.cold_until > context.now:
        server.next_cold_request_at = context.now + context.cold_interval_s


def _record_failure(server: TrackedServer, now: float) -> None:
    server.consecutive_failures += 1
    excess = server.consecutive_failures - FAILURES_TO_SUSPECT
    if excess >= 0:
        server.suspect_until = now + min(MAX_SUSPECT_S, SUSPECT_S * 2 ** min(excess, 6))


def _update_failed_share(server: TrackedServer, is_failed: bool, now: float) -> None:
    expected = _estimate_failed_share(server, now)
    server.failed_share = expected + SAMPLE_WEIGHT * (float(is_failed) - expected)
    server.failed_share_at = now


def record_late(server: TrackedServer, now: float) -> None:
    """Record that a server is late.

    It has not replied although another server has, or although the objective has
    nearly ended. Its latency is recorded if its reply arrives.
    """
    _record_failure(server, now)


def _update_slowness(server: TrackedServer, sample: float, now: float) -> None:
    sample = min(sample, MAX_SLOWNESS_SAMPLE)
    age_s = now - server.slowness_at
    recent = decay(server.slowness, 1.0, age_s, SLOWNESS_HALF_LIFE_S)
    server.slowness = recent + SAMPLE_WEIGHT * (sample - recent)
    lasting = decay(server.lasting_slowness, 1.0, age_s, LASTING_HALF_LIFE_S)
    server.lasting_slowness = lasting + LASTING_SAMPLE_WEIGHT * (sample - lasting)
    server.slowness_at = now


def record_reply(
    server: TrackedServer,
    reply: ServerReply,
    latency_s: float,
    median_s: float,
    now: float,
) -> None:
    """Record the outcome of an exchange that was in flight.

    ``median_s`` is the median latency of the route in seconds, 0 while it is unknown.
    """
    server.in_flight = max(0, server.in_flight - 1)
    _update_backoff(server.backoff, reply, now)
    if reply.cold_s:
        server.cold_until = max(server.cold_until, now + reply.cold_s)
    if reply.outcome is ExchangeOutcome.UNSENT:
        server.full_until = now + FULL_BACKOFF_S
        return
    if reply.outcome is ExchangeOutcome.REFUSED:
        server.full_until = now + FULL_BACKOFF_S
        _update_failed_share(server, True, now)
        return
    is_failed = reply.outcome is not ExchangeOutcome.ANSWERED or reply.status >= 500
    _update_failed_share(server, is_failed, now)
    if reply.outcome is ExchangeOutcome.MISDIRECTED:
        # Another server has this address, and each further request to it would count as
        # an extra send of that server's service. So this server is never used again.
        server.is_replaced = True
    elif is_failed:
        _record_failure(server, now)
    else:
        server.consecutive_failures = 0
        server.suspect_until = 0.0
        if median_s > 0:
            _update_slowness(server, latency_s / median_s, now)


def _update_backoff(backoff: ServerBackoff, reply: ServerReply, now: float) -> None:
    """Record what a reply says about further requests.

    Each Retry-After holds until its end, so a shorter one that arrives later does not
    end an earlier one. A reply of another server at this address says nothing.
    """
    if reply.outcome is ExchangeOutcome.MISDIRECTED:
        return
    backoff.is_leaving |= reply.is_leaving
    if reply.retry_after_s > 0:
        backoff.retry_at = max(backoff.retry_at, now + reply.retry_after_s)


def record_leaving(
    tracked: TrackedServers,
    service: ServiceName,
    server_id: ServerId,
    incarnation: ServerIncarnation,
) -> None:
    """Record that a server told another entry daemon that it leaves."""
    server = tracked.by_service.get(service, {}).get(server_id)
    if server is not None and server.row.incarnation == incarnation:
        server.backoff.is_leaving = tracked.has_backoffs = True


def record_cancelled(server: TrackedServer) -> None:
    """Record that an exchange was cancelled."""
    server.in_flight = max(0, server.in_flight - 1)


def clear_suspicion(server: TrackedServer) -> None:
    """Clear the suspicion of a server that may only have been unreachable.

    One more failure is enough to suspect it again.
    """
    server.suspect_until = 0.0
    server.consecutive_failures = min(
        server.consecutive_failures, FAILURES_TO_SUSPECT - 1
    )


def format_servers(servers: Iterable[TrackedServer], context: ChoiceContext) -> str:
    """Format why each server of a service may not be chosen, for the log.

    For example, ``i-7f3a: draining; i-02d9: cold for 1.3 s``.
    """
    texts = []
    for server in servers:
        if server.row.phase is not ServerPhase.READY:
            reason = server.row.phase.value
        elif server.row.data_centre in context.data_centres_out:
            reason = f"{server.row.data_centre} is out"
        elif server.is_replaced:
            reason = "another server has its address"
        elif server.backoff.is_leaving:
            reason = "says that it leaves"
        elif server.backoff.retry_at > context.now:
            wait_s = server.backoff.retry_at - context.now
            reason = f"wants no requests for {wait_s:.1f} s"
        elif server.cold_until > context.now:
            reason = f"cold for {server.cold_until - context.now:.1f} s"
        elif server.suspect_until > context.now:
            reason = f"suspected, {server.consecutive_failures} failures"
        else:
            reason = "silent" if server.row.is_silent else "ready"
        texts.append(f"{server.row.server_id}: {reason}")
    return "; ".join(texts) or "none known"
