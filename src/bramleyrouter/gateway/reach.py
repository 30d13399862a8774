"""How much of each query this daemon can reach, for queries and for readiness."""

from collections.abc import Iterable

from bramleyrouter.gateway.contacts import review, silence
from bramleyrouter.gateway.gateways import Gateway, context_for, states_of
from bramleyrouter.gateway.gather_deadlines import reaches
from bramleyrouter.gateway.servers import choose_server
from bramleyrouter.ids import ServiceName


def count_trusted(gateway: Gateway, shards: Iterable[ServiceName]) -> int:
    """Count the shards that have a server which is not suspected."""
    trusted = 0
    for service in shards:
        context = context_for(gateway, service)
        best = choose_server(states_of(gateway, service), context)
        trusted += best is not None and best.suspect_until <= context.now
    return trusted


def lacks_servers(gateway: Gateway) -> bool:
    """Return whether a query of some route can't reach its minimum now."""
    routes = gateway.index.table.routes if gateway.index else ()
    return any(
        not reaches(
            count_trusted(gateway, route.shards), len(route.shards), route.min_coverage
        )
        for route in routes
        if route.shards
    )


def is_cut_off(gateway: Gateway) -> bool:
    """Return whether callers are served better by another data centre.

    A daemon that is cut off from the others reaches only the shards that have
    a server nearby. The balancer's callers come from outside and can still
    reach the other data centres, which have servers of nearly all shards.
    """
    contacts, now = gateway.contacts, gateway.loop.time()
    was_cut_off = contacts.is_cut_off
    result = review(contacts, lambda: lacks_servers(gateway), now)
    if result and not was_cut_off:
        silent_ms = round(1000 * silence(contacts, now))
        gateway.record("gateway", "cut_off", silent_ms=silent_ms)
    return result
