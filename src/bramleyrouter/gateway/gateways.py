"""State of an entry daemon's gateway, and functions shared by all requests."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from bramleyrouter.gateway.budgets import ExtraBudget, compute_hedge_allowance
from bramleyrouter.gateway.customers import compute_priority
from bramleyrouter.gateway.data_centre_contacts import (
    DataCentreContacts,
    record_contact,
)
from bramleyrouter.gateway.delegation import OpenStream, Relays, SendGrant
from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    GatewayReply,
    ReplyKind,
    SendToServer,
)
from bramleyrouter.gateway.hedge_timing import (
    HedgeAllowance,
    compute_reserved_share,
    find_most_urgent,
)
from bramleyrouter.gateway.latencies import LatencyWindow
from bramleyrouter.gateway.overload import OverloadState, get_rank, set_index
from bramleyrouter.gateway.overload import record_result as record_overload_result
from bramleyrouter.gateway.permits import AcquirePermit
from bramleyrouter.gateway.queues import (
    Urgency,
)
from bramleyrouter.gateway.reply_times import LoopLag
from bramleyrouter.gateway.rotation import Rotation, compute_time_to_leave_rotation
from bramleyrouter.gateway.server_choice import ComputeOrder, keep_listed_order
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    TrackedServers,
    clear_suspicion,
    compute_cold_interval,
    compute_wait_for_server,
    find_backed_off,
)
from bramleyrouter.gateway.tables import Route, RouteIndex
from bramleyrouter.gateway.version_shares import (
    ShareLimits,
    VersionShare,
    VersionSplit,
    may_try,
    split_servers,
)
from bramleyrouter.ids import DataCentre, ServerId, ServiceName
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.telemetry.gateway_metrics import ObserveRequest
from bramleyrouter.utils.byte_budgets import ByteBudget

if TYPE_CHECKING:
    from bramleyrouter.gateway.gather_runs import GatherRun

# An attempt with less time left than this, in seconds, is not worth sending.
MIN_ATTEMPT_S = 0.004
# Time before the deadline at which a request gets its final reply, in seconds, so that
# the reply arrives before the caller stops waiting.
DEADLINE_MARGIN_S = 0.015
# Bounds of the Retry-After of a refusal, in seconds. The value is drawn at random
# between them, so that callers refused together don't retry together.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
# Share of a known waiting time over which retries of callers are spread.
RETRY_SPREAD = 0.2
# Interval of trial gathers, in seconds. While too many shards have only suspected
# servers, one gather per interval is sent to detect their recovery.
TRIAL_INTERVAL_S = 0.5


class GatewayLimits(NamedTuple):
    """Hold the settings of the deployment that the gateway respects."""

    own_data_centre: DataCentre
    own_address: str
    data_centres: tuple[DataCentre, ...]
    keepalive_interval_s: float
    cores: float
    cold_factor: float
    cold_slack: float


@dataclass
class Gateway:
    """Hold the route table in force, the tracked servers and their measurements.

    ``record`` and ``record_rate_limited`` write log events, and ``observe`` updates the
    metrics of an ended request. ``windows`` holds the latencies by route, and
    ``split_credit`` how far each service of a weighted split is behind its share.
    """

    limits: GatewayLimits
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    send_to_server: SendToServer
    budget: ExtraBudget
    record: RecordEvent
    record_rate_limited: RecordEvent
    observe: ObserveRequest
    get_data_centres_out: Callable[[], Collection[DataCentre]]
    count_entry_daemons: Callable[[], int | None]
    contacts: DataCentreContacts
    rotation: Rotation
    relays: Relays
    open_stream: OpenStream
    send_grant: SendGrant
    index: RouteIndex | None = None
    # Priority of the most urgent route that may hedge, by service.
    most_urgent: dict[ServiceName, int] = field(default_factory=dict)
    servers: TrackedServers = field(default_factory=TrackedServers)
    windows: dict[str, LatencyWindow] = field(default_factory=dict)
    split_credit: dict[str, dict[ServiceName, float]] = field(default_factory=dict)
    in_flight: int = 0
    overload: OverloadState = field(default_factory=OverloadState)
    lag: LoopLag = field(default_factory=LoopLag)
    # The lag of the timers at which gathers reply.
    reply_lag: LoopLag = field(default_factory=LoopLag)
    # Loop time of the next trial gather, by route.
    next_trial_at: dict[str, float] = field(default_factory=dict)
    # Gathers that this daemon runs as a relay, by the id that addresses grants.
    relayed_gathers: dict[int, "GatherRun"] = field(default_factory=dict)
    # Bounds the replies that are kept while other attempts of their requests run.
    memory: ByteBudget = field(default_factory=ByteBudget)
    # Loop time at which the table in force was applied.
    table_applied_at: float = 0.0
    # Counts the results of identifications in the metrics.
    count_identification: Callable[[str], None] = lambda result: None
    # Acquires a permit for a request of a customer with a limit.
    acquire_permit: AcquirePermit | None = None
    # Services that have a rollout of a server version.
    shares: dict[ServiceName, VersionShare] = field(default_factory=dict)
    share_limits: ShareLimits = ShareLimits()
    # Returns the seconds since the last message of any control daemon.
    control_silence_s: Callable[[], float] = lambda: 0.0
    # Distinguishes the counts of this process from those of an earlier one.
    daemon_start: int = 0
    compute_order: ComputeOrder = keep_listed_order
    # Attempts by where they were sent, and those that a full server refused.
    send_counts: Counter[str] = field(default_factory=Counter)


def mark_data_centre_reachable(gateway: Gateway, data_centre: DataCentre) -> None:
    """Record a message from a data centre.

    If the data centre was unreachable before, the suspicions of its servers are
    cleared: the servers were suspected because they could not be reached.
    """
    now = gateway.loop.time()
    if not record_contact(gateway.contacts, data_centre, now):
        return
    gateway.record("gateway", "data_centre_heard", data_centre=data_centre)
    for servers in gateway.servers.by_service.values():
        for server in servers.values():
            if server.row.data_centre == data_centre:
                clear_suspicion(server)


OnGatewayReply = Callable[[GatewayReply], None]
Cancel = Callable[[], None]


def build_choice_context(gateway: Gateway, service: ServiceName) -> ChoiceContext:
    """Build the context on which a choice among the servers of ``service`` depends."""
    declared = gateway.index.services.get(service) if gateway.index else None
    limits = gateway.limits
    interval_s = 0.0
    if declared is not None and declared.cold_rate > 0:
        interval_s = compute_cold_interval(
            declared.cold_rate,
            limits.cold_factor,
            limits.cold_slack,
            gateway.count_entry_daemons(),
        )
    return ChoiceContext(
        gateway.loop.time(),
        limits.own_data_centre,
        gateway.get_data_centres_out(),
        interval_s,
        gateway.compute_order,
    )


def split_by_version(gateway: Gateway, service: ServiceName) -> VersionSplit | None:
    """Split the servers of a service by version, none if it has no rollout."""
    share = gateway.shares.get(service)
    if share is None:
        return None
    may_try_next = may_try(
        share,
        gateway.share_limits,
        gateway.count_entry_daemons(),
        gateway.control_silence_s(),
        gateway.loop.time(),
    )
    servers = gateway.servers.by_service.get(service, {}).values()
    return split_servers(share, servers, may_try_next)


def get_tracked_servers(
    gateway: Gateway, service: ServiceName
) -> Collection[TrackedServer]:
    """Return the tracked servers of a service, without excluded versions."""
    split = split_by_version(gateway, service)
    if split is not None:
        return [*split.first, *split.others]
    return gateway.servers.by_service.get(service, {}).values()


def find_backed_off_ids(gateway: Gateway, service: ServiceName) -> list[ServerId]:
    """Return the servers of a service that get nothing because they said so."""
    if not gateway.servers.has_backoffs:
        return []
    servers = get_tracked_servers(gateway, service)
    return [
        server.row.server_id for server in find_backed_off(servers, gateway.loop.time())
    ]


def compute_wait_for_service(gateway: Gateway, service: ServiceName) -> float | None:
    """Return the seconds until a server of a service wants requests, if known."""
    servers = get_tracked_servers(gateway, service)
    return compute_wait_for_server(
        servers, gateway.get_data_centres_out(), gateway.loop.time()
    )


def get_latency_window(gateway: Gateway, route: Route) -> LatencyWindow:
    """Return the latency window of a route; create it if there is none."""
    window = gateway.windows.get(route.name)
    if window is None:
        window = gateway.windows[route.name] = LatencyWindow(route=route.name)
    return window


def set_route_index(gateway: Gateway, index: RouteIndex) -> None:
    """Put a route table in force."""
    gateway.index = index
    gateway.most_urgent = find_most_urgent(index.table.routes)
    set_index(gateway.overload, index)
    names = {route.name for route in index.table.routes}
    for gone in set(gateway.windows) - names:
        del gateway.windows[gone]


def get_reserved_share(gateway: Gateway, route: Route, service: ServiceName) -> float:
    """Return the share of a service's hedges that ``route`` leaves to others."""
    return compute_reserved_share(gateway.most_urgent, service, route.priority)


def get_hedge_allowance(
    gateway: Gateway, route: Route, service: ServiceName
) -> HedgeAllowance:
    """Return how many hedges to a service the budget allows to ``route``."""
    return compute_hedge_allowance(
        gateway.budget, service, get_reserved_share(gateway, route, service)
    )


def record_result(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    waited_s: float,
    coverage: float | None,
) -> None:
    """Record how a request, or a delegated part of a gather, has ended."""
    if gateway.index is None:
        return
    rank = get_rank(gateway.index, route, request.customer)
    now = gateway.loop.time()
    record_overload_result(gateway.overload, route, rank, waited_s, coverage, now)


def choose_retry_after(
    gateway: Gateway, max_wait_s: float = MAX_RETRY_AFTER_S
) -> float:
    """Return a random time after which a refused caller should retry, in seconds."""
    longest_s = max(MIN_RETRY_AFTER_S, min(max_wait_s, MAX_RETRY_AFTER_S))
    return gateway.rng.uniform(MIN_RETRY_AFTER_S, longest_s)


def build_refusal(gateway: Gateway, reason: str, max_wait_s: float) -> GatewayReply:
    """Build a refusal: nothing ran, and nothing will."""
    retry_after_s = choose_retry_after(gateway, max_wait_s)
    return GatewayReply(ReplyKind.REFUSED, reason, retry_after_s=retry_after_s)


def build_refusal_until(
    gateway: Gateway, reason: str, min_wait_s: float, max_wait_s: float
) -> GatewayReply:
    """Build a refusal whose caller should not retry within ``min_wait_s`` seconds.

    The time to wait is at most ``max_wait_s`` seconds. A random part is added, so that
    callers don't retry together.
    """
    spread_s = gateway.rng.uniform(
        0.0, max(MIN_RETRY_AFTER_S, RETRY_SPREAD * min_wait_s)
    )
    max_wait_s = max(MIN_RETRY_AFTER_S, max_wait_s)
    wait_s = min(MIN_RETRY_AFTER_S + min_wait_s + spread_s, max_wait_s)
    return GatewayReply(ReplyKind.REFUSED, reason, retry_after_s=wait_s)


def build_cut_off_refusal(
    gateway: Gateway, reason: str, max_wait_s: float
) -> GatewayReply:
    """Build a refusal after which the caller reaches another data centre.

    The caller should retry once the balancer no longer sends it to this daemon; an
    earlier retry would only be refused again.
    """
    min_wait_s = compute_time_to_leave_rotation(gateway.rotation, gateway.loop.time())
    return build_refusal_until(gateway, reason, min_wait_s, max_wait_s)


def compute_urgency(
    gateway: Gateway, route: Route, request: CallerRequest, arrived_at: float
) -> Urgency:
    """Return the urgency of a request that arrived at the loop time ``arrived_at``.

    A relay finds the customer by the name that a delegated query carries.
    """
    customer = None
    if request.customer and gateway.index is not None:
        customer = gateway.index.customers.get(request.customer)
    priority = compute_priority(route, customer)
    return Urgency(arrived_at + route.objective_s, priority)


def compute_time_limit(route: Route, request: CallerRequest) -> float:
    """Return how long the request may take from its arrival, in seconds."""
    if request.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.deadline_s)
