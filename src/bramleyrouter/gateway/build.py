"""Build the gateway of an entry daemon."""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping
from functools import partial
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.gateway.budgets import ExtraBudget, ExtraLimits
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
    Cancel,
    Gateway,
    GatewayLimits,
    OnGatewayReply,
    build_refusal,
    is_overloaded,
    mark_data_centre_reachable,
)
from bramleyrouter.gateway.gathers import start_gather
from bramleyrouter.gateway.reachability import is_cut_off
from bramleyrouter.gateway.relaying import (
    build_delegated_handler,
    build_grant_handler,
)
from bramleyrouter.gateway.reply_times import MIN_NETWORK_S, estimate_lag
from bramleyrouter.gateway.rotation import Rotation, record_readiness_probe
from bramleyrouter.gateway.server_choice import ComputeOrder, compute_own_order
from bramleyrouter.gateway.servers import (
    BackedOffServer,
    list_backed_off,
    set_servers,
)
from bramleyrouter.gateway.single_requests import start_single_request
from bramleyrouter.gateway.tables import RouteTable, build_index, match_route
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
    get_send_counts: Callable[[], Mapping[str, int]]
    estimate_lag: Callable[[], float]
    has_table: Callable[[], bool]


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
    compute_order: ComputeOrder | None = None,
) -> GatewayHandle:
    """Build the gateway on an event loop.

    Without ``memory``, the replies that the gateway keeps have a budget of their own.
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
        compute_order=compute_order or partial(compute_own_order, limits.own_address),
    )

    def set_table(table: RouteTable) -> None:
        gateway.index = build_index(table)
        names = {route.name for route in table.routes}
        for gone in set(gateway.windows) - names:
            del gateway.windows[gone]

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
        list_backed_off=lambda: list_backed_off(gateway.servers, loop.time()),
        get_send_counts=lambda: gateway.send_counts,
        estimate_lag=lambda: estimate_lag(gateway.lag, loop.time()),
        has_table=lambda: gateway.index is not None,
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
    if is_overloaded(gateway, route):
        reason = f"{gateway.in_flight} requests are under way"
        return reply_at_once(build_refusal(gateway, reason, route.timeout_s / 3))
    gateway.in_flight += 1
    arrived_at = gateway.loop.time()
    is_open = True

    def mark_ended() -> None:
        nonlocal is_open
        if is_open:
            is_open = False
            gateway.in_flight -= 1

    def finish(reply: GatewayReply) -> None:
        if not is_open:
            return
        mark_ended()
        waited_s = gateway.loop.time() - arrived_at
        coverage = None
        if reply.kind is ReplyKind.GATHERED:
            coverage = len(reply.signatures) / len(route.shards)
        gateway.observe(route.name, reply.kind.value, waited_s, coverage)
        on_reply(reply)

    try:
        if route.shards:
            cancel = start_gather(gateway, route, request, finish, network_s)
        else:
            cancel = start_single_request(gateway, route, request, finish)
    except Exception as exc:
        # The request would otherwise count as in flight for good, and its caller would
        # get no reply. It may have been sent to some server.
        finish(GatewayReply(ReplyKind.FAILED, f"unexpected error: {exc!r}"))
        gateway.record(
            "gateway", "unexpected_error", id=request.request_id, reason=repr(exc)
        )
        return lambda: None

    def cancel_request() -> None:
        mark_ended()
        cancel()

    return cancel_request
