"""Tests of the replicated canary rollouts."""

import random

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.control.codecs import decode_command, encode_command
from bramleyrouter.control.messages import EndRollout, StartRollout
from bramleyrouter.control.snapshots import decode_snapshot, encode_snapshot
from bramleyrouter.control.state import ControlState
from bramleyrouter.control.state_machine import apply_command
from bramleyrouter.control.version_rollouts import (
    VersionRollouts,
    end_rollout,
    get_sequence,
    start_rollout,
)
from bramleyrouter.fleet.rollout_records import RolloutState

ORDER = StartRollout("search", "v2", 12.0)
VERDICT = EndRollout("search", 1, RolloutState.ROLLED_BACK, "bad")


def order_next(rollouts, version, duration_s=12.0):
    expected = get_sequence(rollouts, "search")
    return start_rollout(
        rollouts, StartRollout("search", version, duration_s, expected), 0
    )


class TestOrders:
    """Guard against orders that have two outcomes or start a rollout again."""

    def test_repeated_order_changes_nothing_in_any_state(self):
        rollouts = VersionRollouts()
        for _ in range(2):
            assert start_rollout(rollouts, ORDER, 5) is None
        assert (rollouts.revision, rollouts.sequence) == (1, 1)
        end_rollout(rollouts, VERDICT)
        assert start_rollout(rollouts, ORDER, 6) is None
        assert rollouts.by_service["search"].state is RolloutState.ROLLED_BACK

    @pytest.mark.parametrize("is_ended", [False, True])
    def test_very_old_order_starts_nothing_after_a_newer_one(self, is_ended):
        rollouts = VersionRollouts()
        start_rollout(rollouts, ORDER, 0)
        end_rollout(rollouts, VERDICT)
        assert order_next(rollouts, "v3") is None
        if is_ended:
            end_rollout(rollouts, EndRollout("search", 2, RolloutState.SUCCEEDED))
        before = dict(rollouts.by_service)
        assert start_rollout(rollouts, ORDER, 9).code is Code.REVISION_CONFLICT
        assert rollouts.by_service == before

    def test_active_rollout_refuses_another_order(self):
        rollouts = VersionRollouts()
        start_rollout(rollouts, ORDER, 0)
        for version, duration_s in (("v3", 12.0), ("v2", 30.0)):
            assert order_next(rollouts, version, duration_s).code is Code.ROLLOUT_ACTIVE

    def test_new_order_ends_the_rejection_of_its_version(self):
        rollouts = VersionRollouts()
        start_rollout(rollouts, ORDER, 0)
        end_rollout(rollouts, VERDICT)
        assert rollouts.by_service["search"].rejected == ("v2",)
        order_next(rollouts, "v3")
        assert rollouts.by_service["search"].rejected == ("v2",)
        end_rollout(rollouts, EndRollout("search", 2, RolloutState.SUCCEEDED))
        order_next(rollouts, "v2", 20.0)
        assert rollouts.by_service["search"].rejected == ()


class TestVerdicts:
    """Guard against a verdict that is applied to another rollout or twice."""

    @pytest.mark.parametrize("seed", range(20))
    def test_first_final_state_stays_whatever_is_proposed(self, seed):
        rng = random.Random(seed)
        rollouts = VersionRollouts()
        start_rollout(rollouts, ORDER, 0)
        final = None
        for _ in range(30):
            command = EndRollout(
                "search", rng.choice((0, 1, 2)), rng.choice(list(RolloutState))
            )
            end_rollout(rollouts, command)
            current = rollouts.by_service["search"]
            assert final is None or current is final
            final = None if current.is_open else current


class TestEncoding:
    """Guard against a rollout that is lost with a snapshot or in a command."""

    def test_commands_survive_the_log(self):
        for command in (ORDER, VERDICT):
            assert decode_command(encode_command(command)).ok_value == command

    @pytest.mark.parametrize(
        "bad", [("", "v2", 1.0), ("s", "", 1.0), ("s", "v", 0.0), ("s", "v", 1e300)]
    )
    def test_command_out_of_range_is_refused(self, bad):
        assert decode_command(encode_command(StartRollout(*bad))).is_err()

    def test_snapshot_holds_rollouts(self):
        state = ControlState()
        without = encode_snapshot(state)
        apply_command(state, 5, ORDER)
        assert decode_snapshot(encode_snapshot(state)).rollouts == state.rollouts
        # A snapshot without rollouts has the form of earlier releases: 12 fields.
        assert without[0] == 0x90 + 12
        assert decode_snapshot(without).rollouts == VersionRollouts()
