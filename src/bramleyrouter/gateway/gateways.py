"""State of an entry daemon's gateway, and functions shared by all requests."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from bramleyrouter.gateway.budgets import ExtraBudget
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
from bramleyrouter.gateway.latencies import LatencyWindow
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
# Limit on the requests in flight in one entry daemon. It is lower for each step of
# priority, so that the least urgent requests are refused first when servers stop
# answering.
MAX_IN_FLIGHT = 400
IN_FLIGHT_STEP_PER_PRIORITY = 60


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
    servers: TrackedServers = field(default_factory=TrackedServers)
    windows: dict[str, LatencyWindow] = field(default_factory=dict)
    split_credit: dict[str, dict[ServiceName, float]] = field(default_factory=dict)
    in_flight: int = 0
    lag: LoopLag = field(default_factory=LoopLag)
    # The lag of the timers at which gathers reply.
    reply_lag: LoopLag = field(default_factory=LoopLag)
    # Loop time of the next trial gather, by route.
    next_trial_at: dict[str, float] = field(default_factory=dict)
    # Gathers that this daemon runs as a relay, by the id that addresses grants.
    relayed_gathers: dict[int, "GatherRun"] = field(default_factory=dict)
    # Bounds the replies that are kept while other attempts of their requests run.
    memory: ByteBudget = field(default_factory=ByteBudget)
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


def get_tracked_servers(
    gateway: Gateway, service: ServiceName
) -> Collection[TrackedServer]:
    """Return the tracked servers of a service."""
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
        window = gateway.windows[route.name] = LatencyWindow()
    return window


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


def is_overloaded(gateway: Gateway, route: Route) -> bool:
    """Return whether too many requests are in flight to accept one of this route."""
    limit = MAX_IN_FLIGHT - IN_FLIGHT_STEP_PER_PRIORITY * min(route.priority, 4)
    return gateway.in_flight >= limit


def compute_urgency(route: Route, arrived_at: float) -> Urgency:
    """Return the urgency of a request that arrived at the loop time ``arrived_at``."""
    return Urgency(arrived_at + route.objective_s, route.priority)


def compute_time_limit(route: Route, request: CallerRequest) -> float:
    """Return how long the request may take from its arrival, in seconds."""
    if request.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.deadline_s)
