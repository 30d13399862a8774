"""Tests of who may form the log when a daemon starts."""

from types import SimpleNamespace

import pytest

from bramleyrouter.daemons.fleet_control import may_initiate_log

SEEDS = ("10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.3:7380")


class TestPermission:
    """Guard against a start without end, and against a second log.

    Processes that are started again in the first start aren't told that it is one.
    """

    @pytest.mark.parametrize(
        "is_first_start, tolerated_losses, expected",
        [
            (True, 1, True),
            (True, 3, True),
            # Three empty folders are more than may have been lost.
            (False, 1, True),
            (False, 2, True),
            # The others may all be there, with the log.
            (False, 3, False),
        ],
    )
    def test_folders_of_all_seeds_are_empty(
        self, is_first_start, tolerated_losses, expected
    ):
        cfg = SimpleNamespace(
            is_first_start=is_first_start,
            tolerated_losses=tolerated_losses,
            seeds=SEEDS,
        )
        assert may_initiate_log(cfg) is expected
