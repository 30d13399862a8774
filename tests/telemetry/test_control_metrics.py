"""Tests of the metrics of control daemons."""

from aioprometheus.renderer import render

from bramleyrouter.telemetry.control_metrics import (
    ControlMetrics,
    build_observe_call,
    set_state_gauges,
)


class TestControlMetrics:
    """Guard against metrics that are missing from the page or keep old values."""

    def test_calls_and_state_are_served_as_text(self):
        metrics = ControlMetrics()
        build_observe_call(metrics)("publish", 200, 0.012)
        set_state_gauges(metrics, {"is_leader": 1, "table_version": 7})
        text = render(metrics.registry, [])[0].decode()
        assert 'bramley_control_calls_total{call="publish",status="200"} 1' in text
        assert 'bramley_control_call_seconds_bucket{call="publish",le="0.02"' in text
        assert 'bramley_control_state{value="table_version"} 7' in text

    def test_state_gauge_shows_the_latest_value(self):
        metrics = ControlMetrics()
        set_state_gauges(metrics, {"is_leader": 1})
        set_state_gauges(metrics, {"is_leader": 0})
        text = render(metrics.registry, [])[0].decode()
        assert 'bramley_control_state{value="is_leader"} 0' in text
