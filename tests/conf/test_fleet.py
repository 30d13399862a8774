"""Tests of the times that follow from a deployment's bounds."""

import pytest

from bramleyrouter.conf.fleet import FleetBounds, compute_stream_times


class TestStreamTimes:
    @pytest.mark.parametrize("name", ["contact_s", "drain_s", "apply_s", "evacuate_s"])
    def test_a_dead_stream_is_found_out_inside_each_bound(self, name):
        """Guards against fixed timeouts on a deployment with shorter bounds."""
        for bound_s in (0.5, 1.5, 3.0, 30.0):
            bounds = FleetBounds()._replace(**{name: bound_s})
            assert compute_stream_times(bounds).stream_timeout_s < bound_s

    def test_some_signs_of_life_may_be_late(self):
        times = compute_stream_times(FleetBounds())
        assert times.stream_timeout_s >= 2.5 * times.keepalive_interval_s

    def test_long_bounds_delay_nothing(self):
        bounds = FleetBounds(drain_s=60, contact_s=60, apply_s=60, evacuate_s=60)
        assert compute_stream_times(bounds).stream_timeout_s == 2.0
