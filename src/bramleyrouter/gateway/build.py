"""Build the gateway of an entry daemon."""

import asyncio
import random
import secrets
from collections.abc import Callable, Collection, Mapping
from functools import partial
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.fleet.version_reports import VersionReport
from bramleyrouter.gateway.budgets import ExtraBudget, ExtraLimits
from bramleyrouter.gateway.customers import (
    Identification,
    IdentityResult,
    identify_customer,
)
from bramleyrouter.gateway.data_centre_contacts import build_contacts
from bramleyrouter.gateway.delegation import (
    OpenStream,
    Relays,
    SendGrant,
    set_relays,
)
from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    GatewayReply,
    ReplyKind,
    SendToServer,
)
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    Cancel,
    Gateway,
    GatewayLimits,
    OnGatewayReply,
    build_refusal,
    compute_time_limit,
    mark_data_centre_reachable,
    record_result,
    set_route_index,
)
from bramleyrouter.gateway.gathers import start_gather
from bramleyrouter.gateway.overload import (
    LATE_FACTOR,
    Arrival,
    Load,
    OverloadState,
    choose_retry_after,
    record_duration,
    record_end,
    record_start,
    reject_request,
)
from bramleyrouter.gateway.permits import (
    AcquirePermit,
    Permit,
    PermitRun,
    end_permit,
    start_with_permit,
)
from bramleyrouter.gateway.reachability import is_cut_off
from bramleyrouter.gateway.relaying import (
    build_delegated_handler,
    build_grant_handler,
)
from bramleyrouter.gateway.reply_times import (
    MIN_NETWORK_S,
    estimate_average_lag,
    estimate_lag,
)
from bramleyrouter.gateway.rotation import Rotation, record_readiness_probe
from bramleyrouter.gateway.server_choice import ComputeOrder, compute_own_order
from bramleyrouter.gateway.servers import (
    BackedOffServer,
    list_backed_off,
    set_servers,
)
from bramleyrouter.gateway.single_requests import start_single_request
from bramleyrouter.gateway.tables import (
    Route,
    RouteTable,
    build_index,
    match_route,
)
from bramleyrouter.gateway.version_choice import list_reports, set_rollouts
from bramleyrouter.gateway.version_shares import DEFAULT_SHARE_LIMITS, ShareLimits
from bramleyrouter.ids import DataCentre, ServiceName
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.telemetry.gateway_metrics import ObserveRequest
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.wire.network import Handler, StreamHandler

# ``handle(request, on_reply, network_s)`` runs a request and returns the closure that
# cancels it. ``network_s`` is the network's part of the caller's latency, in seconds.
HandleRequest = Callable[..., Cancel]

# Retry-After of a refusal before the first route table has arrived.
NO_TABLE_RETRY_S = 0.5


class GatewayHandle(NamedTuple):
    """Bundle the closures that ``build_gateway`` returns.

    ``handle(request, on_reply)`` returns the closure that cancels the work when the
    caller disconnects. ``mark_data_centre_reachable(data_centre)`` records that a
    message came from that data centre. ``is_cut_off()`` returns whether another data
    centre would serve callers better. ``record_readiness_probe(is_ready)`` records the
    reply to a readiness probe of the balancer.
    """

    handle: HandleRequest
    set_table: Callable[[RouteTable], None]
    set_servers: Callable[[ServiceName, Collection[ServerRow]], None]
    set_relays: Callable[[Collection[tuple[str, DataCentre]]], None]
    serve_delegated: StreamHandler
    handle_grant: Handler
    mark_data_centre_reachable: Callable[[DataCentre], None]
    is_cut_off: Callable[[], bool]
    record_readiness_probe: Callable[[bool], None]
    in_flight: Callable[[], int]
    list_backed_off: Callable[[], list[BackedOffServer]]
    list_rejections: Callable[[], dict[str, int]]
    get_send_counts: Callable[[], Mapping[str, int]]
    estimate_lag: Callable[[], float]
    has_table: Callable[[], bool]
    set_rollouts: Callable[[Collection[VersionRollout]], None]
    list_reports: Callable[[], list[VersionReport]]


def build_gateway(
    loop: asyncio.AbstractEventLoop,
    limits: GatewayLimits,
    extra_limits: ExtraLimits,
    send_to_server: SendToServer,
    rng: random.Random,
    record: RecordEvent,
    record_rate_limited: RecordEvent,
    observe: ObserveRequest,
    get_data_centres_out: Callable[[], Collection[DataCentre]],
    count_entry_daemons: Callable[[], int | None],
    open_stream: OpenStream,
    send_grant: SendGrant,
    is_stopping: Callable[[], bool],
    memory: ByteBudget | None = None,
    count_identification: Callable[[str], None] = lambda result: None,
    acquire_permit: AcquirePermit | None = None,
    share_limits: ShareLimits = DEFAULT_SHARE_LIMITS,
    control_silence_s: Callable[[], float] = lambda: 0.0,
    compute_order: ComputeOrder | None = None,
) -> GatewayHandle:
    """Build the gateway on an event loop.

    Without ``acquire_permit``, customers' quotas are not applied. Without ``memory``,
    the replies that the gateway keeps have a budget of their own.
    ``count_identification`` is called with the result of each identification.
    Without ``compute_order``, the order of similar servers follows from the daemon's
    address.
    """
    gateway = Gateway(
        limits,
        loop,
        rng,
        send_to_server,
        ExtraBudget(extra_limits, loop.time, count_entry_daemons, loop.time()),
        record,
        record_rate_limited,
        observe,
        get_data_centres_out,
        count_entry_daemons,
        build_contacts(
            limits.own_data_centre,
            limits.data_centres,
            limits.keepalive_interval_s,
            loop.time(),
        ),
        Rotation(loop.time()),
        Relays(limits.own_address),
        open_stream,
        send_grant,
        memory=memory or ByteBudget(),
        count_identification=count_identification,
        acquire_permit=acquire_permit,
        overload=OverloadState(loop.time()),
        share_limits=share_limits,
        control_silence_s=control_silence_s,
        daemon_start=secrets.randbits(62),
        compute_order=compute_order or partial(compute_own_order, limits.own_address),
    )

    def set_table(table: RouteTable) -> None:
        set_route_index(gateway, build_index(table))
        gateway.table_applied_at = loop.time()

    def update_servers(service: ServiceName, rows: Collection[ServerRow]) -> None:
        set_servers(gateway.servers, service, rows, loop.time())

    return GatewayHandle(
        handle=lambda request, on_reply, network_s=MIN_NETWORK_S: _handle_request(
            gateway, request, on_reply, network_s
        ),
        set_table=set_table,
        set_servers=update_servers,
        set_relays=lambda known: set_relays(gateway.relays, known),
        serve_delegated=build_delegated_handler(gateway, is_stopping),
        handle_grant=build_grant_handler(gateway),
        mark_data_centre_reachable=lambda data_centre: mark_data_centre_reachable(
            gateway, data_centre
        ),
        is_cut_off=lambda: is_cut_off(gateway),
        record_readiness_probe=lambda is_ready: record_readiness_probe(
            gateway.rotation, is_ready, loop.time()
        ),
        in_flight=lambda: gateway.in_flight,
        list_rejections=lambda: {
            rule.value: count for rule, count in gateway.overload.rejected.items()
        },
        list_backed_off=lambda: list_backed_off(gateway.servers, loop.time()),
        get_send_counts=lambda: gateway.send_counts,
        estimate_lag=lambda: estimate_lag(gateway.lag, loop.time()),
        has_table=lambda: gateway.index is not None,
        set_rollouts=lambda rollouts: set_rollouts(gateway, rollouts),
        list_reports=lambda: list_reports(gateway),
    )


def _identify(gateway: Gateway, route: Route, request: CallerRequest) -> Identification:
    """Identify the customer of a request; count the result and record a refusal."""
    assert gateway.index is not None
    identification = identify_customer(gateway.index, route, request)
    if identification.result is not IdentityResult.UNCHECKED:
        gateway.count_identification(identification.result.value)
    if identification.is_refused:
        gateway.record_rate_limited(
            "gateway",
            "customer_refused",
            id=request.request_id,
            route=route.name,
            reason=identification.result.value,
            version=gateway.index.table.version,
            table_age_s=round(gateway.loop.time() - gateway.table_applied_at, 3),
        )
    return identification


def _reject_if_overloaded(
    gateway: Gateway, arrival: Arrival, request: CallerRequest
) -> GatewayReply | None:
    """Return the refusal of a request that is rejected, or none."""
    now, route = arrival.now, arrival.route
    assert gateway.index is not None
    load = Load(
        gateway.in_flight,
        estimate_average_lag(gateway.lag, now),
        max(0.0, now - gateway.lag.at),
        gateway.limits.cores,
    )
    rejection = reject_request(gateway.overload, gateway.index, arrival, load)
    if rejection is None:
        return None
    retry_after_s = choose_retry_after(
        gateway.overload, arrival, load, gateway.rng.random()
    )
    # The metric counts those that are left out.
    gateway.record_rate_limited(
        "gateway",
        "not_forwarded",
        id=request.request_id,
        outcome=ReplyKind.REFUSED.value,
        route=route.name,
        customer=arrival.customer,
        rule=rejection.rule.value,
        reason=rejection.reason,
        age_ms=round(1000 * rejection.age_s),
        in_flight=load.in_flight,
        lag_ms=round(1000 * load.lag_s, 1),
        retry_after_ms=round(1000 * retry_after_s),
    )
    gateway.observe(route.name, ReplyKind.REFUSED.value, 0.0, None)
    return GatewayReply(
        ReplyKind.REFUSED, rejection.reason, retry_after_s=retry_after_s
    )


def _handle_request(
    gateway: Gateway,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    network_s: float,
) -> Cancel:
    def reply_at_once(reply: GatewayReply) -> Cancel:
        gateway.record(
            "gateway",
            "not_forwarded",
            id=request.request_id,
            outcome=reply.kind.value,
            reason=reply.reason,
        )
        on_reply(reply)
        return lambda: None

    if gateway.index is None:
        return reply_at_once(
            build_refusal(gateway, "no route table yet", NO_TABLE_RETRY_S)
        )
    route = match_route(gateway.index, request.host, request.path)
    if route is None:
        version = gateway.index.table.version
        reason = f'no route of version {version} for "{request.host}{request.path}"'
        return reply_at_once(GatewayReply(ReplyKind.NO_ROUTE, reason))
    identification = _identify(gateway, route, request)
    if identification.is_refused:
        reason = identification.result.value
        on_reply(GatewayReply(ReplyKind.UNAUTHORIZED, reason))
        return lambda: None
    request = identification.request
    arrived_at = gateway.loop.time()
    arrival = Arrival(
        route, request.customer, compute_time_limit(route, request), arrived_at
    )
    refusal = _reject_if_overloaded(gateway, arrival, request)
    if refusal is not None:
        on_reply(refusal)
        return lambda: None
    record_start(gateway.overload, arrival)
    gateway.in_flight += 1
    in_flight = gateway.in_flight
    is_open = True
    permit_run = _build_permit_run(gateway, request, route, arrived_at)

    def mark_ended() -> None:
        nonlocal is_open
        if is_open:
            is_open = False
            gateway.in_flight -= 1
            if permit_run is not None:
                end_permit(permit_run)
            record_end(gateway.overload, arrival, gateway.loop.time())

    def finish(reply: GatewayReply) -> None:
        if not is_open:
            return
        mark_ended()
        now = gateway.loop.time()
        waited_s = now - arrived_at
        coverage = None
        if reply.kind is ReplyKind.GATHERED:
            coverage = len(reply.signatures) / len(route.shards)
        is_answered = reply.kind in (ReplyKind.SERVER, ReplyKind.GATHERED)
        if is_answered or reply.kind is ReplyKind.DEADLINE:
            record_duration(gateway.overload, arrival, in_flight, is_answered, now)
            record_result(gateway, route, request, waited_s, coverage)
        gateway.observe(route.name, reply.kind.value, waited_s, coverage)
        on_reply(reply)

    def start(permit: Permit | None) -> Cancel:
        try:
            if route.shards:
                return start_gather(
                    gateway, route, request, finish, network_s, arrived_at, permit
                )
            return start_single_request(
                gateway, route, request, finish, arrived_at, permit
            )
        except Exception as exc:
            # The request would otherwise count as in flight for good, and its caller
            # would get no reply. It may have been sent to some server.
            finish(GatewayReply(ReplyKind.FAILED, f"unexpected error: {exc!r}"))
            gateway.record(
                "gateway", "unexpected_error", id=request.request_id, reason=repr(exc)
            )
            return lambda: None

    def refuse(reply: GatewayReply) -> None:
        gateway.record_rate_limited(
            "gateway",
            "permit_refused",
            id=request.request_id,
            route=route.name,
            customer=request.customer,
            outcome=reply.kind.value,
            retry_after_s=round(reply.retry_after_s, 3),
            waited_ms=round(1000 * (gateway.loop.time() - arrived_at)),
            reason=reply.reason,
        )
        finish(reply)

    if permit_run is None:
        cancel = start(None)
    else:
        cancel = start_with_permit(permit_run, start, refuse)

    def cancel_request() -> None:
        now = gateway.loop.time()
        if is_open and now > arrived_at + LATE_FACTOR * route.objective_s:
            # The caller has waited in vain.
            record_duration(gateway.overload, arrival, in_flight, False, now)
            record_result(gateway, route, request, now - arrived_at, None)
        mark_ended()
        cancel()

    return cancel_request


def _build_permit_run(
    gateway: Gateway, request: CallerRequest, route: Route, arrived_at: float
) -> PermitRun | None:
    """Return what acquires the request's permit, or none if it needs no permit."""
    if gateway.acquire_permit is None or gateway.index is None or not request.customer:
        return None
    customer = gateway.index.customers.get(request.customer)
    if customer is None or not customer.rate_per_s:
        return None
    give_up_at = arrived_at + compute_time_limit(route, request) - DEADLINE_MARGIN_S
    return PermitRun(gateway.loop, gateway.acquire_permit, request.customer, give_up_at)
