"""The route table: which requests go to which services, and how.

A route is selected by host and by the longest path prefix. It names one
service, a split over several services by weight, or the shards of a gather.
"""

from enum import Enum
from typing import NamedTuple

import msgspec

from bramleyrouter.ids import ServiceName, TableVersion


class RequestKind(Enum):
    """Say whether a request may be sent more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(msgspec.Struct, frozen=True):
    """Name one service of a split and its weight."""

    service: ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Describe one route; exactly one of ``targets`` and ``shards`` is filled.

    ``objective_s`` is the time within which a response is worth most.
    ``attempts`` bounds the servers that one request, or one shard of it, is
    sent to. ``priority`` 0 is the most urgent. ``top_records`` and
    ``min_coverage`` (0 to 1) belong to gathers.
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


class Service(msgspec.Struct, frozen=True):
    """Describe a service: connections per server, and what a cold one bears.

    ``cold_rate`` is the requests per second that a cold server bears.
    """

    name: ServiceName
    max_connections: int = 16
    cold_s: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RouteTable(msgspec.Struct, frozen=True):
    """Hold all routes and services of one version."""

    version: TableVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()


class RouteIndex(NamedTuple):
    """Hold a table's routes for matching, the longest prefix first."""

    table: RouteTable
    by_host: dict[str, dict[str, Route]]
    services: dict[ServiceName, Service]


def build_index(table: RouteTable) -> RouteIndex:
    """Return the routes of ``table`` by host and prefix."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in table.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteIndex(table, by_host, {item.name: item for item in table.services})


def match_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins ``path``.

    Prefixes end with a slash, so only the starts of ``path`` that do are looked
    up, whatever the number of routes.
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
