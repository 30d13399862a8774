"""Tests of the messages between members."""

import random
from unittest import mock

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.consensus import codec
from bramleyrouter.consensus import messages as m
from bramleyrouter.consensus.entries import Entry, EntryKind, MemberRecord
from bramleyrouter.consensus.interfaces import Member

ENTRIES = tuple(Entry(2, 4 + n, 99, EntryKind(n), b"x" * n) for n in range(3))
MESSAGES = (
    m.VoteRequest("a", "b", 2, 3, 4, True),
    m.VoteReply("a", "b", 2, 3, True, False),
    m.AppendRequest("a", "b", 2, 7, 3, 1, 5, ENTRIES),
    m.AppendReply("a", "b", 2, 7, False, 3, 4, 5),
    m.ChunkRequest("a", "b", 2, 7, 3, 1, 9, b"data", True),
    m.ChunkReply("a", "b", 2, 7, 3, 9, True),
)


class TestMessages:
    """Guards against wrongly decoded messages and exceptions in the handler."""

    @pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
    def test_round_trip_and_damage(self, message):
        payload = codec.encode_message("cluster", message)
        assert codec.decode_message(payload).unwrap() == ("cluster", message)
        rng = random.Random(1)
        for _ in range(300):
            damaged = bytearray(payload)
            damaged[rng.randrange(len(payload))] ^= 1 << rng.randrange(8)
            codec.decode_message(bytes(damaged[: rng.randrange(len(payload) + 1)]))

    def test_presence(self):
        presence = codec.Presence(
            "ip:1", MemberRecord("a", "c", (Member("a", "ip:1"),), True)
        )
        payload = codec.encode_presence(presence)
        assert codec.decode_presence(payload).unwrap() == presence

    def test_rejected_messages(self):
        skipped = m.AppendRequest("a", "b", 2, 7, 2, 1, 5, ENTRIES)
        payload = codec.encode_message("cluster", skipped)
        assert codec.decode_message(payload).unwrap_err().code is Code.WIRE_MALFORMED
        large = b"\0" * (codec.MAX_MESSAGE_BYTES + 1)
        assert codec.decode_message(large).unwrap_err().code is Code.WIRE_TOO_LARGE
        with mock.patch.object(codec, "PROTOCOL_VERSION", 2):
            payload = codec.encode_message("cluster", MESSAGES[0])
        assert codec.decode_message(payload).unwrap_err().code is Code.WIRE_VERSION
