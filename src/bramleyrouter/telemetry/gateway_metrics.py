"""Metrics of an entry daemon that serves by route table."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry

from bramleyrouter.telemetry.metrics import COVERAGE_BUCKETS, LATENCY_BUCKETS_S

# Routes beyond this limit share the label "other", so that a table of hundreds of
# routes does not make the metrics page grow without bound.
MAX_ROUTE_LABELS = 50
OTHER_LABEL = "other"
# Number of servers that are named on the metrics page.
MAX_SERVER_LABELS = 50

# ``observe(route, outcome, latency_s, coverage)``; ``coverage`` is
# ``None`` unless shards were gathered.
ObserveRequest = Callable[[str, str, float, float | None], None]


@dataclass
class GatewayMetrics:
    """Hold the registry and the metrics of one entry daemon."""

    registry: Registry = field(default_factory=Registry)
    latency: Histogram = field(init=False)
    coverage: Histogram = field(init=False)
    results: Counter = field(init=False)
    state: Gauge = field(init=False)
    backed_off: Gauge = field(init=False)
    identifications: Counter = field(init=False)
    permits: Histogram = field(init=False)
    rejections: Counter = field(init=False)
    sends: Gauge = field(init=False)
    routes: set[str] = field(default_factory=set)

    def __post_init__(self):
        registry = self.registry
        self.latency = Histogram(
            "bramley_gateway_request_seconds",
            "Latency of callers' requests by route.",
            registry=registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.coverage = Histogram(
            "bramley_gateway_coverage",
            "Share of the shards in a gathered response, by route.",
            registry=registry,
            buckets=list(COVERAGE_BUCKETS),
        )
        self.results = Counter(
            "bramley_gateway_results_total",
            "Ended requests of callers by route and outcome.",
            registry=registry,
        )
        self.state = Gauge(
            "bramley_gateway_state",
            "What the daemon believes: table version, servers, control silence.",
            registry=registry,
        )
        self.permits = Histogram(
            "bramley_gateway_permit_seconds",
            "Time that requests of customers waited for a permit, by outcome.",
            registry=registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.backed_off = Gauge(
            "bramley_gateway_backed_off_seconds",
            "Servers that asked for no requests, and for how much longer.",
            registry=registry,
        )
        self.identifications = Counter(
            "bramley_gateway_identifications_total",
            "Requests whose customer was looked up, by result.",
            registry=registry,
        )
        self.rejections = Counter(
            "bramley_gateway_rejections_total",
            "Requests rejected on arrival because of overload, by rule.",
            registry=registry,
        )

        self.sends = Gauge(
            "bramley_gateway_sends",
            "Attempts since the start: to local and remote servers, and refused ones.",
            registry=registry,
        )


def set_backed_off(
    metrics: GatewayMetrics, servers: Iterable[tuple[str, str, float | None]]
) -> None:
    """Replace the servers that asked for no requests: service, id and seconds left.

    Servers that leave have no end; they are shown with infinity. At most
    ``MAX_SERVER_LABELS`` servers are shown.
    """
    metrics.backed_off.values.clear()
    for service, server_id, wait_s in list(servers)[:MAX_SERVER_LABELS]:
        labels = {"service": service, "server": server_id}
        metrics.backed_off.set(labels, float("inf") if wait_s is None else wait_s)


def set_rejections(metrics: GatewayMetrics, counts: Mapping[str, int]) -> None:
    """Set the number of requests that each rule has rejected since the start."""
    for rule, count in counts.items():
        metrics.rejections.set({"rule": rule}, count)


def build_observe_request(metrics: GatewayMetrics) -> ObserveRequest:
    """Return a closure that records one ended request."""

    def observe(
        route: str, outcome: str, latency_s: float, coverage: float | None
    ) -> None:
        if route not in metrics.routes:
            if len(metrics.routes) >= MAX_ROUTE_LABELS:
                route = OTHER_LABEL
            metrics.routes.add(route)
        labels = {"route": route}
        metrics.latency.observe(labels, latency_s)
        metrics.results.inc({"route": route, "outcome": outcome})
        if coverage is not None:
            metrics.coverage.observe(labels, coverage)

    return observe


def build_observe_permit(metrics: GatewayMetrics) -> Callable[[str, float], None]:
    """Return a closure that records one permit, or its refusal, and the time waited."""
    return lambda outcome, waited_s: metrics.permits.observe(
        {"outcome": outcome}, waited_s
    )
