"""Tests of the encoding of membership messages."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.membership.messages import (
    MAX_MESSAGE_BYTES,
    Batch,
    CentreDigest,
    Held,
    Probe,
    SyncReply,
    SyncRequest,
    decode,
    encode,
    record_of,
)
from bramleyrouter.membership.records import own_entry
from bramleyrouter.membership.tables import HomeRows, delta_since, put_record
from tests.support.clusters import make_record
from tests.support.identities import make_identity

HOME = make_identity("home")


def make_batch():
    rows = HomeRows(1, version=3)
    put_record(rows, make_record("s1", HOME), 2)
    put_record(rows, make_record("s2", HOME), 1)
    put_record(rows, make_record("s2", HOME, headroom=0.25), 3, is_status=True)
    rows.removals["s3"] = 3
    delta = delta_since(rows, HOME.daemon_id, 1)
    return Batch(scope=1, entries=(own_entry(HOME, True),), deltas=(delta,))


SAMPLES = [
    make_batch(),
    Probe(
        sender=own_entry(HOME, False),
        digests=(CentreDigest("dc1", 2**64 - 1, 5),),
        forward_to="127.0.0.1:1",
    ),
    SyncRequest(data_centres=("dc1",), known=b"k" * 16, wanted=(Held("home", 1),)),
    SyncReply(differing=(Held("x", 1, 2, 3, 4),), batch=make_batch(), has_more=True),
]


class TestSizes:
    def test_incarnations_and_statements_of_a_wall_clock_fit(self):
        """Guards against daemons that can't speak outside of tests.

        Statements count from the incarnation, the wall clock in milliseconds,
        and were 32 bits wide (features/real_processes.feature).
        """
        identity = make_identity("home", incarnation=1_796_396_706_865)
        entry = own_entry(identity, True)
        batch = Batch(scope=1, entries=(entry,))
        assert decode(Batch, encode(batch)) == Ok(batch)
        held = Held("home", entry.incarnation, entry.statement, entry.state, 3)
        request = SyncRequest(wanted=(held,))
        assert decode(SyncRequest, encode(request)) == Ok(request)


class TestMembershipMessages:
    @pytest.mark.parametrize("message", SAMPLES)
    def test_message_survives_the_wire(self, message):
        """Guards against a field that is lost or mixed up on the way."""
        assert decode(type(message), encode(message)) == Ok(message)

    def test_record_survives_the_wire(self):
        """Guards against a server that other daemons see differently."""
        delta = make_batch().deltas[0]
        assert record_of(delta.rows[0], delta) == make_record("s1", HOME)

    @given(
        st.sampled_from(SAMPLES),
        st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=8),
        st.integers(0, 10**6),
    )
    @settings(derandomize=True, max_examples=400, deadline=None)
    def test_damaged_message_never_raises(self, message, flips, cut):
        """Guards against a peer's bytes that end a daemon."""
        body = bytearray(encode(message))
        for place, value in flips:
            body[place % len(body)] = value
        decoded = decode(type(message), bytes(body[: cut % (2 * len(body))]))
        assert isinstance(decoded, Ok | Err)
        if isinstance(decoded, Err):
            assert decoded.err_value.code in (Code.WIRE_MALFORMED, Code.WIRE_VERSION)

    @given(st.binary(max_size=300))
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_random_bytes_are_refused(self, body):
        """Guards against noise that is taken for a message."""
        for message in SAMPLES:
            decoded = decode(type(message), body)
            assert isinstance(decoded, Err) or decoded.ok_value.protocol_version == 1

    def test_oversized_and_foreign_versions_are_refused(self):
        """Guards against unbounded memory, and against a misread new format."""
        large = decode(Batch, b"\0" * (MAX_MESSAGE_BYTES + 1))
        assert large.err_value.code is Code.WIRE_TOO_LARGE
        later = msgspec.structs.replace(make_batch(), protocol_version=2)
        assert decode(Batch, encode(later)).err_value.code is Code.WIRE_VERSION
