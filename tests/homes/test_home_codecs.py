"""Test the encoding and decoding of the homes' messages."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.homes import codecs
from bramleyrouter.homes.messages import (
    AnnouncementReply,
    GroupReply,
    LeaseToken,
    ServerGroup,
    ShardBatch,
    SubmitReply,
    SubmitRequest,
)
from bramleyrouter.states import Outcome
from tests.homes.fakes import make_announcement

LEASE = LeaseToken("d1", 5, 2, 1.25)
GROUPS = (ServerGroup("s1", 3, "sheets", ("a", "b")), ServerGroup("s2", 1, "x", ()))
BATCH = ShardBatch("r", "t", "c", "v1", 7, 0.5, True, GROUPS, b'{"q":"\xc3\xa9"}')
REPLY = GroupReply("s1", 3, "v1", Code.OK, "", {"a": b"[1]"}, 0.1, 0.2, 4, 0.5)
SUBMIT_REQUEST = SubmitRequest("x", "t", "c", 7, 0.5, False, "s1", "sheets", "a", b"{}")
MESSAGES = {
    "batch": BATCH,
    "replies": [REPLY, GroupReply("s2", 1, "v1", Code.QUEUE_FULL, "full")],
    "submit_request": SUBMIT_REQUEST,
    "submit_reply": SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, "lost", b"1"),
    "announcement": make_announcement(lease=LEASE),
    "announcement_reply": AnnouncementReply(LEASE, "127.0.0.1:80", 1.0),
    "handover": codecs.Handover(make_announcement(registration=2), 3, 0.01),
    "withdrawal": codecs.Withdrawal("s1", 9),
}


def encode_sample(name):
    """Encode the sample message of a kind."""
    return getattr(codecs, f"encode_{name}")(MESSAGES[name])


@pytest.mark.parametrize("name", MESSAGES)
class TestCodecs:
    """Guard against messages that change in transit or crash a daemon."""

    def test_messages_survive_a_round_trip(self, name):
        decode = getattr(codecs, f"decode_{name}")
        assert decode(encode_sample(name)) == Ok(MESSAGES[name])

    def test_truncated_oversized_and_other_version_bytes_are_failures(self, name):
        decode = getattr(codecs, f"decode_{name}")
        payload = encode_sample(name)
        for size in range(0, len(payload), 8):
            assert isinstance(decode(payload[:size]), Err)
        too_large = decode(b"\0" * (codecs.MAX_PAYLOAD_BYTES + 1))
        assert too_large.err_value.code is Code.WIRE_TOO_LARGE
        wrong_version = bytearray(payload)
        wrong_version[16] = 9
        assert decode(bytes(wrong_version)).err_value.code is Code.WIRE_VERSION

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(data=st.data())
    def test_damaged_bytes_raise_nothing(self, name, data):
        payload = bytearray(encode_sample(name))
        for _ in range(data.draw(st.integers(1, 6))):
            position = data.draw(st.integers(0, len(payload) - 1))
            payload[position] = data.draw(st.integers(0, 255))
        decoded = getattr(codecs, f"decode_{name}")(bytes(payload))
        assert isinstance(decoded, Ok | Err)
