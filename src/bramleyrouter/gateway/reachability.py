"""Determine how many shards this daemon can reach, for gathers and readiness."""

from collections.abc import Iterable

from bramleyrouter.gateway.data_centre_contacts import (
    compute_time_since_contact,
    update_is_cut_off,
)
from bramleyrouter.gateway.gateways import (
    Gateway,
    build_choice_context,
    get_tracked_servers,
)
from bramleyrouter.gateway.gather_deadlines import has_enough_coverage
from bramleyrouter.gateway.servers import choose_server
from bramleyrouter.ids import ServiceName


def count_trusted_shards(gateway: Gateway, shards: Iterable[ServiceName]) -> int:
    """Count the shards that have a server that is not suspected."""
    trusted_count = 0
    for service in shards:
        context = build_choice_context(gateway, service)
        best = choose_server(get_tracked_servers(gateway, service), context)
        trusted_count += best is not None and best.suspect_until <= context.now
    return trusted_count


def has_uncovered_route(gateway: Gateway) -> bool:
    """Return whether some route's minimum coverage can't be reached now."""
    routes = gateway.index.table.routes if gateway.index else ()
    return any(
        not has_enough_coverage(
            count_trusted_shards(gateway, route.shards),
            len(route.shards),
            route.min_coverage,
        )
        for route in routes
        if route.shards
    )


def is_cut_off(gateway: Gateway) -> bool:
    """Return whether callers are served better by another data centre.

    A daemon that is cut off from the other data centres reaches only the shards that
    have a local server. Callers come from outside through the balancer and can still
    reach the other data centres, which have servers for nearly all shards.
    """
    contacts, now = gateway.contacts, gateway.loop.time()
    was_cut_off = contacts.is_cut_off
    result = update_is_cut_off(contacts, lambda: has_uncovered_route(gateway), now)
    if result and not was_cut_off:
        silent_ms = round(1000 * compute_time_since_contact(contacts, now))
        gateway.record("gateway", "cut_off", silent_ms=silent_ms)
    return result
