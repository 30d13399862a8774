"""Update the metrics from the query path and the blackboard."""

from collections import Counter as PlainCounter
from collections.abc import Callable

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.telemetry.metrics import Metrics

# Callers choose tenants and classes freely where the settings name none. Pairs
# beyond this limit share one label, so that callers can't exhaust memory.
MAX_LABEL_PAIRS = 200
OTHER_LABEL = "other"


def build_label_limiter(
    limit: int = MAX_LABEL_PAIRS,
) -> Callable[[str, str], dict[str, str]]:
    """Return a closure that maps tenant and class to at most ``limit`` label pairs.

    Further pairs are mapped to the label "other".
    """
    known: set[tuple[str, str]] = set()

    def get_labels(tenant: str, class_name: str) -> dict[str, str]:
        pair = (tenant, class_name)
        if pair not in known and len(known) >= limit:
            pair = (OTHER_LABEL, OTHER_LABEL)
        else:
            known.add(pair)
        return {"tenant": pair[0], "class": pair[1]}

    return get_labels


def build_observer(
    metrics: Metrics, board: Board
) -> tuple[RoutingObserver, Callable[[], None]]:
    """Return the observer of the query path, and a closure to call before
    the metrics are rendered.
    """
    events: PlainCounter[str] = PlainCounter()
    get_labels = build_label_limiter()

    def record_finished(kind, tenant, class_name, code, latency_s):
        labels = get_labels(tenant, class_name)
        metrics.query_latency.observe({**labels, "kind": kind}, latency_s)
        metrics.results.inc({**labels, "code": str(int(code))})

    def query_finished(tenant, class_name, code, latency_s, coverage):
        record_finished("query", tenant, class_name, code, latency_s)
        if code is Code.OK:
            metrics.query_coverage.observe(get_labels(tenant, class_name), coverage)

    def submission_finished(tenant, class_name, code, latency_s):
        record_finished("submission", tenant, class_name, code, latency_s)

    def shard_request_finished(service, latency_s, code):
        events["failed" if code else "answered"] += 1

    def hedged(service):
        events["hedged"] += 1

    def retried(service, code):
        events["retried"] += 1

    def refused(tenant, class_name, code):
        # The query or submission is also counted by its code when it ends.
        events["refused"] += 1

    def collect():
        for event in ("answered", "failed", "hedged", "retried", "refused"):
            metrics.shard_requests.set({"event": event}, events[event])
        for name, value in _read_board_values(board).items():
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


def _read_board_values(board: Board) -> dict[str, float]:
    manifest = board.config.manifest
    home_statuses = board.homes.statuses.values()
    return {
        "revision": board.config.revision,
        "generation": manifest.generation if manifest else 0,
        "daemons": len(board.daemons.records),
        "servers": len(board.servers.records),
        "homes": len(board.homes.statuses),
        "home_in_flight": sum(status.in_flight for status in home_statuses),
        "home_queued": sum(status.queued for status in home_statuses),
        "ready": float(board.readiness.is_ready),
    }
