"""Fixtures of the tests that run the platform's programs as real processes."""

import pytest

from tests.support.platform_processes import PlatformProcesses


@pytest.fixture
def deployment(tmp_path):
    """Return one control and one entry VM whose processes end with the test."""
    processes = PlatformProcesses(tmp_path, entries=1, controls=1)
    yield processes
    processes.stop_all()
