"""Tests of the encoding of membership messages."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.membership.home_rows import HomeRows, build_delta, put_record
from bramleyrouter.membership.messages import (
    MAX_MESSAGE_BYTES,
    Batch,
    CentreDigest,
    Held,
    Probe,
    SyncReply,
    SyncRequest,
    build_server_record,
    decode,
    encode,
)
from bramleyrouter.membership.records import build_own_entry
from tests.support.clusters import make_record
from tests.support.identities import make_identity

HOME = make_identity("home")


def make_batch():
    rows = HomeRows(1, version=3)
    put_record(rows, make_record("s1", HOME), 2)
    put_record(rows, make_record("s2", HOME), 1)
    put_record(rows, make_record("s2", HOME, headroom=0.25), 3, is_status=True)
    rows.removals["s3"] = 3
    delta = build_delta(rows, HOME.daemon_id, 1)
    return Batch(scope=1, entries=(build_own_entry(HOME, True),), deltas=(delta,))


SAMPLES = [
    make_batch(),
    Probe(
        sender=build_own_entry(HOME, False),
        digests=(CentreDigest("dc1", 2**64 - 1, 5),),
        forward_to="127.0.0.1:1",
    ),
    SyncRequest(data_centres=("dc1",), known=b"k" * 16, wanted=(Held("home", 1),)),
    SyncReply(differing=(Held("x", 1, 2, 3, 4),), batch=make_batch(), has_more=True),
]


class TestSizes:
    def test_wall_clock_incarnations_and_statements_fit(self):
        """Guards against number fields that are too small for real values.

        Statements count from the incarnation, the wall-clock time in milliseconds.
        They were 32 bits wide, so daemons could exchange no messages outside of
        tests (features/real_processes.feature).
        """
        identity = make_identity("home", incarnation=1_796_396_706_865)
        entry = build_own_entry(identity, True)
        batch = Batch(scope=1, entries=(entry,))
        assert decode(Batch, encode(batch)) == Ok(batch)
        held = Held("home", entry.incarnation, entry.statement, entry.state, 3)
        request = SyncRequest(wanted=(held,))
        assert decode(SyncRequest, encode(request)) == Ok(request)


class TestMembershipMessages:
    @pytest.mark.parametrize("message", SAMPLES)
    def test_message_is_unchanged_by_encoding_and_decoding(self, message):
        """Guards against a field that is lost or exchanged in encoding."""
        assert decode(type(message), encode(message)) == Ok(message)

    def test_record_is_unchanged_by_encoding_and_decoding(self):
        """Guards against a server whose record differs between daemons."""
        delta = make_batch().deltas[0]
        assert build_server_record(delta.rows[0], delta) == make_record("s1", HOME)

    @given(
        st.sampled_from(SAMPLES),
        st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=8),
        st.integers(0, 10**6),
    )
    @settings(derandomize=True, max_examples=400, deadline=None)
    def test_damaged_message_never_raises(self, message, flips, cut):
        """Guards against a daemon that stops with an exception on damaged bytes."""
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
        """Guards against random bytes that are accepted as a message."""
        for message in SAMPLES:
            decoded = decode(type(message), body)
            assert isinstance(decoded, Err) or decoded.ok_value.protocol_version == 1

    def test_oversized_messages_and_other_versions_are_refused(self):
        """Guards against unbounded memory use and a misread later format."""
        large = decode(Batch, b"\0" * (MAX_MESSAGE_BYTES + 1))
        assert large.err_value.code is Code.WIRE_TOO_LARGE
        later = msgspec.structs.replace(make_batch(), protocol_version=2)
        assert decode(Batch, encode(later)).err_value.code is Code.WIRE_VERSION
