"""Tests of the detection of times in which the process did not run."""

from bramleyrouter.utils.stalls import (
    AFTERMATH_S,
    STALL_S,
    Stalls,
    is_after_stall,
    observe_run,
)


class TestStalls:
    """Guard against trusting what was received while the process was frozen."""

    def test_regular_runs_are_no_stall(self):
        stalls = Stalls(10.0)
        for step in range(100):
            now = 10.0 + step * STALL_S / 2
            observe_run(stalls, now)
            assert not is_after_stall(stalls, now)

    def test_first_read_after_a_stall_is_recognised(self):
        """The read may come before the periodic observation."""
        stalls = Stalls(10.0)
        assert is_after_stall(stalls, 10.0 + STALL_S)

    def test_stall_is_remembered_for_what_is_read_next(self):
        stalls = Stalls(10.0)
        observe_run(stalls, 15.0)
        observe_run(stalls, 15.1)
        assert is_after_stall(stalls, 15.2)
        now = 15.2
        while now < 15.0 + AFTERMATH_S:
            observe_run(stalls, now)
            now += STALL_S / 4
        assert not is_after_stall(stalls, now)

    def test_start_is_no_stall(self):
        assert not is_after_stall(Stalls(10.0), 10.0)
