"""Decode the JSON documents of operators into route tables."""

from functools import lru_cache
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import VersionNumber
from bramleyrouter.gateway.customers import compute_key_digest
from bramleyrouter.gateway.tables import (
    CallerLimits,
    Customer,
    RequestKind,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from bramleyrouter.ids import ServiceName, TableVersion, TenantName
from bramleyrouter.utils.decoding import DECODE_ERRORS

MS_PER_SECOND = 1000.0


# Numbers of a table are also sent in messages, which hold no larger ones.
Int32 = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]


class _SplitTarget(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    host: str
    path_prefix: str
    # Only requests of type "idempotent" may run more than once.
    type: str
    timeout_ms: float
    name: str = ""
    # The latency objective; 0 means that the timeout is the objective.
    slo_ms: float = 0
    priority: Int32 = 0
    attempts: Int32 = 1
    service: str | None = None
    traffic_split: list[_SplitTarget] | None = None
    # The services whose servers hold the shards of a scatter-gather request.
    gather: list[str] | None = None
    # The number of records in a reply.
    top_k: Int32 = 0
    min_coverage: float = 1.0
    # Requests need no key of a customer.
    public: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # The limit of connections to one server, for all callers together.
    max_conns: Int32 = 16
    warmup_s: float = 0.0
    # The requests per second that one cold server can handle.
    warmup_per_s: float = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] | None = None
    # Without a rate and a burst there is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: Int32 = 0

    def __repr__(self) -> str:
        """Return a text without the keys."""
        return f"_Tenant(name={self.name!r})"


class _CallerLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: Int32 = 16384
    max_body_bytes: Int32 = 1024 * 1024
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 60000


class _Document(msgspec.Struct):
    version: VersionNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)
    tenants: list[_Tenant] | None = None


_DOCUMENT_DECODER = msgspec.json.Decoder(_Document)


def decode_route_table(body: bytes) -> Result[RouteTable, Failure]:
    """Decode a route table; fail with ``INVALID_MANIFEST``."""
    try:
        document = _DOCUMENT_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        text = f"The route table can't be read: {exc}."
        return Err(Failure(Code.INVALID_MANIFEST, text))
    return Ok(
        RouteTable(
            TableVersion(document.version),
            tuple(_build_route(item) for item in document.routes),
            tuple(_build_service(item) for item in document.services),
            _build_limits(document.limits),
            tuple(_build_customer(item) for item in document.tenants or ()),
        )
    )


# Every entry daemon fetches the same table.
@lru_cache(maxsize=1)
def has_customers(body: bytes) -> bool:
    """Return whether a route table has customers, and thus keys that can be withdrawn.

    One that can't be decoded has none.
    """
    table = decode_route_table(body).ok()
    return table is not None and bool(table.customers)


def _build_route(item: _Route) -> Route:
    targets = [WeightedService(ServiceName(item.service))] if item.service else []
    for part in item.traffic_split or ():
        targets.append(WeightedService(ServiceName(part.service), part.weight))
    is_idempotent = item.type == RequestKind.IDEMPOTENT.value
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.path_prefix,
        # A request of an unknown type must not run twice.
        kind=RequestKind.IDEMPOTENT if is_idempotent else RequestKind.NON_IDEMPOTENT,
        timeout_s=item.timeout_ms / MS_PER_SECOND,
        objective_s=(item.slo_ms or item.timeout_ms) / MS_PER_SECOND,
        priority=item.priority,
        attempts=max(1, item.attempts),
        targets=tuple(targets),
        shards=tuple(ServiceName(name) for name in item.gather or ()),
        top_records=item.top_k,
        min_coverage=item.min_coverage,
        is_public=item.public,
    )


def _build_service(item: _Service) -> Service:
    return Service(
        ServiceName(item.name), item.max_conns, item.warmup_s, item.warmup_per_s
    )


def _build_customer(item: _Tenant) -> Customer:
    """Build a customer with the digests of its keys; an empty key is left out."""
    keys = [key.encode() for key in item.api_keys or () if key]
    return Customer(
        TenantName(item.name),
        tuple(compute_key_digest(key) for key in keys),
        item.rate_per_s,
        item.burst,
        item.priority,
    )


def _build_limits(item: _CallerLimits) -> CallerLimits:
    return CallerLimits(
        item.max_header_bytes,
        item.max_body_bytes,
        item.header_timeout_ms / MS_PER_SECOND,
        item.idle_timeout_ms / MS_PER_SECOND,
    )
