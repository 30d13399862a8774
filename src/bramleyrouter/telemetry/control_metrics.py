"""Metrics of a control daemon that serves operators and backend servers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry

from bramleyrouter.telemetry.metrics import LATENCY_BUCKETS_S

# ``observe(call, status, latency_s)`` records one answered call.
ObserveCall = Callable[[str, int, float], None]


@dataclass
class ControlMetrics:
    """Hold the registry and the metrics of one control daemon."""

    registry: Registry = field(default_factory=Registry)
    latency: Histogram = field(init=False)
    calls: Counter = field(init=False)
    state: Gauge = field(init=False)

    def __post_init__(self):
        registry = self.registry
        self.latency = Histogram(
            "bramley_control_call_seconds",
            "Latency of the calls of operators and backend servers.",
            registry=registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.calls = Counter(
            "bramley_control_calls_total",
            "Answered calls by their kind and HTTP status.",
            registry=registry,
        )
        self.state = Gauge(
            "bramley_control_state",
            "What the daemon believes of the log and of the fleet.",
            registry=registry,
        )


def build_observe_call(metrics: ControlMetrics) -> ObserveCall:
    """Return a closure that records the status and latency of an answered call."""

    def observe(call: str, status: int, latency_s: float) -> None:
        metrics.latency.observe({"call": call}, latency_s)
        metrics.calls.inc({"call": call, "status": str(status)})

    return observe


def set_state_gauges(metrics: ControlMetrics, values: Mapping[str, float]) -> None:
    """Set the state gauge of each name in ``values``."""
    for name, value in values.items():
        metrics.state.set({"value": name}, value)
