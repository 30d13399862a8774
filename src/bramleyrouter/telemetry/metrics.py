"""Prometheus metrics of an entry or control daemon that serves by manifest.

Daemons that serve by route table use ``gateway_metrics`` and ``control_metrics``.

An observation costs some microseconds, so the query path makes one per query.
Shard requests are counted in plain integers, which are copied to the metrics
when ``/metrics`` is read.
"""

from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry

# Upper bounds; 0.11 s is the target for the 99th percentile.
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.075,
    0.11,
    0.15,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
)
COVERAGE_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999)


@dataclass
class Metrics:
    """Hold the registry and the metrics of one daemon."""

    registry: Registry = field(default_factory=Registry)
    query_latency: Histogram = field(init=False)
    query_coverage: Histogram = field(init=False)
    results: Counter = field(init=False)
    shard_requests: Gauge = field(init=False)
    state: Gauge = field(init=False)

    def __post_init__(self):
        registry = self.registry
        self.query_latency = Histogram(
            "bramley_request_seconds",
            "Latency of callers' requests by tenant, class and kind.",
            registry=registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.query_coverage = Histogram(
            "bramley_query_coverage",
            "Share of the requested shards in an answer, by tenant and class.",
            registry=registry,
            buckets=list(COVERAGE_BUCKETS),
        )
        self.results = Counter(
            "bramley_results_total",
            "Ended requests of callers by tenant, class and result code.",
            registry=registry,
        )
        self.shard_requests = Gauge(
            "bramley_shard_requests",
            "Shard requests since the start, by event.",
            registry=registry,
        )
        self.state = Gauge(
            "bramley_state",
            "Revision, generation, daemons, servers and readiness.",
            registry=registry,
        )
