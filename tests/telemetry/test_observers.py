"""Tests of the metrics that the query path feeds."""

from aioprometheus.renderer import render

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.telemetry.metrics import Metrics
from bramleyrouter.telemetry.observers import MAX_LABEL_PAIRS, build_observer
from tests.support.identities import make_identity


class TestObserver:
    """Guard against missed results and label sets that callers can grow."""

    def build(self):
        metrics = Metrics()
        observer, collect = build_observer(metrics, Board(make_identity("e")))

        def page():
            collect()
            return render(metrics.registry, [])[0].decode()

        return observer, page

    def test_requests_are_counted_by_tenant_and_class(self):
        observer, page = self.build()
        observer.query_finished("parents", "catalog", Code.OK, 0.02, 1.0)
        observer.submission_finished("parents", "catalog", Code.OK, 0.02)
        observer.shard_request_finished("svc", 0.01, Code.OK)
        text = page()
        for kind in ("query", "submission"):
            labels = f'{{class="catalog",kind="{kind}",tenant="parents"}} 1'
            assert f"bramley_request_seconds_count{labels}" in text
        assert 'bramley_shard_requests{event="answered"} 1' in text
        assert (
            'bramley_results_total{class="catalog",code="0",tenant="parents"} 2' in text
        )

    def test_refused_query_counts_once_and_not_into_coverage(self):
        observer, page = self.build()
        observer.refused("parents", "catalog", Code.OVERLOADED)
        observer.query_finished("parents", "catalog", Code.OVERLOADED, 0.001, 0.0)
        text = page()
        labels = '{class="catalog",code="201",tenant="parents"} 1'
        assert f"bramley_results_total{labels}" in text
        assert "bramley_query_coverage_count" not in text

    def test_tenants_beyond_the_limit_share_one_label(self):
        observer, page = self.build()
        for number in range(MAX_LABEL_PAIRS + 50):
            observer.query_finished(f"t{number}", "c", Code.OK, 0.02, 1.0)
        text = page()
        assert 'bramley_query_coverage_count{class="other",tenant="other"} 50' in text
        assert text.count("bramley_query_coverage_count{") == MAX_LABEL_PAIRS + 1
