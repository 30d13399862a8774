"""The route table: which requests go to which services, and how.

A route is chosen by host and by the longest matching path prefix. It names one service,
a weighted split over several services, or the shards of a gather.
"""

from enum import Enum
from typing import NamedTuple

import msgspec

from bramleyrouter.ids import ServiceName, TableVersion, TenantName


class RequestKind(Enum):
    """State whether a request may be sent more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(msgspec.Struct, frozen=True):
    """Name one service of a split and its weight."""

    service: ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Describe one route; exactly one of ``targets`` and ``shards`` is filled.

    ``objective_s`` is the time within which a reply has its full value. ``attempts``
    limits the number of servers to which one request, or one shard of it, is sent.
    ``priority`` 0 is the most urgent. ``top_records`` and ``min_coverage`` (0 to 1)
    apply to gathers.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    attempts: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    top_records: int = 0
    min_coverage: float = 1.0
    is_public: bool = False


class Customer(msgspec.Struct, frozen=True):
    """Describe a customer: the keys of its requests, its allowance and its priority.

    ``key_digests`` holds the SHA-256 digest of each key; without any, no request is
    accepted as the customer's. The allowance is ``rate_per_s`` requests per second plus
    a burst of ``burst`` over all entry daemons together; a rate of 0 means no limit.
    ``priority`` goes before that of the route, 0 being the most urgent.
    """

    name: TenantName
    key_digests: tuple[bytes, ...] = ()
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int = 0


class Service(msgspec.Struct, frozen=True):
    """Describe a service: connections per server and the limits of cold servers.

    ``cold_rate`` is the number of requests per second that a cold server can serve.
    """

    name: ServiceName
    max_connections: int = 16
    cold_s: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limit the size of callers' requests and the idle time of their connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RouteTable(msgspec.Struct, frozen=True):
    """Hold all routes, services and customers of one version.

    Requests need a customer's key if there are customers, except on public routes.
    """

    version: TableVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()


class RouteIndex(NamedTuple):
    """Index a table's routes by host and prefix, services and customers by name.

    Customers are indexed by the digests of their keys as well.
    """

    table: RouteTable
    by_host: dict[str, dict[str, Route]]
    services: dict[ServiceName, Service]
    customers: dict[TenantName, Customer]
    customers_by_digest: dict[bytes, Customer]


def build_index(table: RouteTable) -> RouteIndex:
    """Build the index of ``table``."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in table.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteIndex(
        table,
        by_host,
        {item.name: item for item in table.services},
        {item.name: item for item in table.customers},
        {digest: item for item in table.customers for digest in item.key_digests},
    )


def match_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches ``path``.

    Prefixes end with a slash, so only the parts of ``path`` up to a slash are looked
    up, independent of the number of routes.
    """
    routes = index.by_host.get(host)
    if routes is None:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
    return None
