"""Tests of a daemon's configuration copy, manifest differences and messages."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bramleyrouter.board import Board
from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.control.digests import digest_config_state
from bramleyrouter.control.messages import ConfigState
from bramleyrouter.dissemination import messages
from bramleyrouter.dissemination.manifests import apply_difference, build_difference
from bramleyrouter.dissemination.messages import decode, encode
from bramleyrouter.dissemination.store import (
    ConfigStore,
    apply_delta,
    apply_state,
    apply_update,
    build_update_since,
    is_stale,
    record_confirmation,
)
from tests.support.config_sources import delta_between, make_manifest
from tests.support.identities import make_identity


def make_state(revision, manifest=None, **changes):
    state = ConfigState(revision, manifest, **changes)
    return msgspec.structs.replace(state, digest=digest_config_state(state))


STATES = [ConfigState(0, None)] + [
    make_state(n, make_manifest(n // 2), servers_out=(f"s{n}",)) for n in range(1, 9)
]


def build_store(revision=0, now=0.0):
    store = ConfigStore(Board(make_identity("own")), lambda: now)
    apply_state(store, STATES[revision])
    return store


def build_store_with_history():
    """Return a store to which every change was applied one by one."""
    store = build_store()
    for old, new in zip(STATES, STATES[1:], strict=False):
        assert apply_delta(store, delta_between(old, new))
    return store


class TestConfigStore:
    @given(st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=12))
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_revision_never_decreases(self, steps):
        """Guards against a late update that reverts a newer one."""
        source, copy = build_store_with_history(), build_store()
        for target, is_full in steps:
            before = copy.state.revision
            if is_full:
                apply_update(copy, build_full_update(target), may_replace=True)
            else:
                update = build_update_since(source, target, False)
                # The update since the newest revision, 8, is empty.
                is_gap = before < target < 8
                assert apply_update(copy, update, may_replace=False) != is_gap
            assert copy.state.revision >= before
            assert copy.state == STATES[copy.state.revision]
            assert copy.board.config.revision == copy.state.revision

    def test_damaged_change_is_not_applied(self):
        """Guards against a configuration that control never accepted."""
        copy = build_store(3)
        update = build_update_since(build_store_with_history(), 3, False)
        bad = msgspec.structs.replace(update.changes[0], servers_out=("other",))
        update = msgspec.structs.replace(update, changes=(bad,))
        assert not apply_update(copy, update, may_replace=False)
        assert copy.state == STATES[3]

    def test_copy_that_is_far_behind_receives_the_whole_state(self):
        """Guards against a daemon that can't catch up after a long absence.

        The changes that it lacks are not retained any more.
        """
        source, copy = build_store_with_history(), build_store(1)
        source.changes.popleft()
        source.changes.popleft()
        update = build_update_since(source, 1, False)
        assert update.is_full
        assert apply_update(copy, update, may_replace=False)
        assert copy.state == STATES[8]

    def test_confirmation_of_a_later_revision_is_pending(self):
        """Guards against an old revision that counts as confirmed.

        A heartbeat may confirm a revision whose update has not arrived yet.
        """
        copy = build_store(3)
        record_confirmation(copy, 5, 0.0)
        assert is_stale(copy)
        apply_update(copy, build_full_update(4), may_replace=False)
        assert is_stale(copy)
        apply_update(copy, build_full_update(5), may_replace=False)
        assert not is_stale(copy)


def build_full_update(revision):
    return build_update_since(build_store(revision), revision, True)


SPECS = st.builds(
    ServiceSpec,
    st.sampled_from("abcd"),
    st.just(("s",)),
    st.sampled_from([("v1",), ("v2",)]),
)
MANIFESTS = st.builds(
    Manifest,
    st.integers(0, 5),
    st.lists(SPECS, max_size=4, unique_by=lambda spec: spec.name).map(tuple),
)


class TestManifestDifference:
    @given(MANIFESTS, MANIFESTS)
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_applied_difference_gives_the_new_manifest(self, old, new):
        """Guards against services that are kept, lost or reordered by mistake."""
        assert apply_difference(old, build_difference(old, new)) == new

    def test_small_change_of_a_large_manifest_is_a_small_update(self):
        """Guards against sending a whole manifest when one version changed."""
        states = [make_state(n + 1, make_manifest(n, services=500)) for n in range(2)]
        source = ConfigStore(Board(make_identity("own")), lambda: 0.0)
        apply_state(source, states[0])
        apply_delta(source, delta_between(*states))
        assert len(encode(build_update_since(source, 1, False))) < 500
        assert len(encode(build_update_since(source, 0, False))) > 10_000


SAMPLES = [
    build_update_since(build_store_with_history(), 2, False),
    build_full_update(8),
    messages.Subscription(daemon_id="e", incarnation=2, revision=3, digest=b"d"),
    messages.Report(
        daemon_id="e", cover=("a", "b"), behind=(messages.Lag("a", 1),), has_cover=True
    ),
    messages.Heartbeat(revision=4, digest=b"x" * 16, age_ms=-1, is_child=True),
    messages.RolloutRequest(cover_digest=2**63),
]


class TestDisseminationMessages:
    @pytest.mark.parametrize("message", SAMPLES)
    def test_decoded_message_equals_the_encoded_one(self, message):
        """Guards against a field that is lost or swapped by the encoding."""
        assert decode(type(message), encode(message)) == Ok(message)

    @given(
        st.sampled_from(SAMPLES),
        st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=8),
        st.integers(0, 10**6),
    )
    @settings(derandomize=True, max_examples=400, deadline=None)
    def test_damaged_message_never_raises(self, message, flips, cut):
        """Guards against malformed bytes that crash a daemon or damage its copy."""
        body = bytearray(encode(message))
        for place, value in flips:
            body[place % len(body)] = value
        decoded = decode(type(message), bytes(body[: cut % (2 * len(body))]))
        if isinstance(decoded, Err):
            assert decoded.err_value.code in (Code.WIRE_MALFORMED, Code.WIRE_VERSION)
        elif isinstance(decoded.ok_value, messages.Update):
            copy = build_store(2)
            apply_update(copy, decoded.ok_value, may_replace=True)
            assert copy.state == STATES[copy.state.revision]
