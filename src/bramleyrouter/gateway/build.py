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
from bramleyrouter.gateway.data_centre_contacts import build_contacts
from bramleyrouter.gateway.delegation import (
    OpenStream,
    Relays,
    SendGrant,
    set_relays,
)
from bramleyrouter.gateway.exchanges import (
    SendToServer,
)
from bramleyrouter.gateway.gateways import (
    Cancel,
    Gateway,
    GatewayLimits,
    mark_data_centre_reachable,
    set_route_index,
)
from bramleyrouter.gateway.overload import (
    OverloadState,
)
from bramleyrouter.gateway.permits import (
    AcquirePermit,
)
from bramleyrouter.gateway.reachability import is_cut_off
from bramleyrouter.gateway.relaying import (
    build_delegated_handler,
    build_grant_handler,
)
from bramleyrouter.gateway.reply_times import (
    MIN_NETWORK_S,
    estimate_lag,
)
from bramleyrouter.gateway.requests import handle_request
from bramleyrouter.gateway.rotation import Rotation, record_readiness_probe
from bramleyrouter.gateway.server_choice import ComputeOrder, compute_own_order
from bramleyrouter.gateway.servers import (
    BackedOffServer,
    list_backed_off,
    set_servers,
)
from bramleyrouter.gateway.tables import (
    RouteTable,
    build_index,
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
        handle=lambda request, on_reply, network_s=MIN_NETWORK_S: handle_request(
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
