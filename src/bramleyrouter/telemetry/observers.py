"""Feed the metrics from the query path and from the blackboard."""

from collections import Counter as PlainCounter
from collections.abc import Callable

from bramleyrouter.board.blackboard import Board
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.telemetry.metrics import Metrics


def build_observer(
    metrics: Metrics, board: Board
) -> tuple[RoutingObserver, Callable[[], None]]:
    """Return the observer of the query path, and a closure to call before
    the metrics are rendered.
    """
    events: PlainCounter[str] = PlainCounter()

    def query_finished(tenant, class_name, code, latency_s, coverage):
        labels = {"tenant": tenant, "class": class_name, "kind": "query"}
        metrics.query_latency.observe(labels, latency_s)
        plain = {"tenant": tenant, "class": class_name}
        metrics.query_coverage.observe(plain, coverage)
        metrics.results.inc({**plain, "code": str(int(code))})

    def submission_finished(tenant, class_name, code, latency_s):
        labels = {"tenant": tenant, "class": class_name, "kind": "submission"}
        metrics.query_latency.observe(labels, latency_s)
        labels = {"tenant": tenant, "class": class_name, "code": str(int(code))}
        metrics.results.inc(labels)

    def shard_request_finished(service, latency_s, code):
        events["failed" if code else "answered"] += 1

    def hedged(service):
        events["hedged"] += 1

    def retried(service, code):
        events["retried"] += 1

    def refused(tenant, class_name, code):
        labels = {"tenant": tenant, "class": class_name, "code": str(int(code))}
        metrics.results.inc(labels)

    def collect():
        for event in ("answered", "failed", "hedged", "retried"):
            metrics.shard_requests.set({"event": event}, events[event])
        for name, value in _board_values(board).items():
            metrics.state.set({"value": name}, value)

    observer = RoutingObserver(
        query_finished=query_finished,
        submission_finished=submission_finished,
        shard_request_finished=shard_request_finished,
        hedged=hedged,
        retried=retried,
        refused=refused,
    )
    return observer, collect


def _board_values(board: Board) -> dict[str, float]:
    manifest = board.config.manifest
    homes = board.homes.states.values()
    return {
        "revision": board.config.revision,
        "generation": manifest.generation if manifest else 0,
        "daemons": len(board.daemons.records),
        "servers": len(board.servers.records),
        "homes": len(board.homes.states),
        "home_in_flight": sum(state.in_flight for state in homes),
        "home_queued": sum(state.queued for state in homes),
        "ready": float(board.readiness.is_ready),
    }
