"""Tests of the stream times that are computed from a deployment's bounds."""

import pytest

from bramleyrouter.conf.fleet import FleetBounds, compute_stream_times


class TestStreamTimes:
    @pytest.mark.parametrize("name", ["contact_s", "drain_s", "apply_s", "evacuate_s"])
    def test_stream_timeout_is_shorter_than_each_bound(self, name):
        """Guards against a fixed timeout that exceeds a deployment's shorter bounds."""
        for bound_s in (0.5, 1.5, 3.0, 30.0):
            bounds = FleetBounds()._replace(**{name: bound_s})
            assert compute_stream_times(bounds).stream_timeout_s < bound_s

    def test_late_keepalives_do_not_end_a_stream(self):
        """Guards against live streams that are closed after a late keepalive."""
        times = compute_stream_times(FleetBounds())
        assert times.stream_timeout_s >= 2.5 * times.keepalive_interval_s

    def test_long_bounds_do_not_extend_the_stream_timeout(self):
        """Guards against a dead stream that is detected only after many seconds."""
        bounds = FleetBounds(drain_s=60, contact_s=60, apply_s=60, evacuate_s=60)
        assert compute_stream_times(bounds).stream_timeout_s == 2.0
