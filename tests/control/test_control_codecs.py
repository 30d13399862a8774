"""Tests of the decoders of this package against damaged messages."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control import codecs, replies, rollouts
from bramleyrouter.control.limits import MAX_SETTLES
from bramleyrouter.control.messages import (
    ClaimResult,
    ConfigState,
    Depart,
    OperatorResult,
)
from bramleyrouter.dissemination.interfaces import DaemonLag, Rollout
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.states import Outcome
from bramleyrouter.wire.envelopes import PROTOCOL_VERSION
from tests.control.builders import (
    make_availability,
    make_claim,
    make_manifest,
    make_publish,
    make_settle,
)
from tests.support.gateway_fakes import build_row

MEMBER = Member("m1", "127.0.0.1:7100")
FAILURE = Failure(
    Code.INVALID_MANIFEST, "text", (Finding("manifest.E001", "error", "p", "t", "h"),)
)
# Encoder, decoder and a value of each message; decoding must return the value.
CASES = {
    "publish": (codecs.encode_command, codecs.decode_command, make_publish()),
    "out": (codecs.encode_command, codecs.decode_command, make_availability()),
    "out_if_unchanged": (
        codecs.encode_command,
        codecs.decode_command,
        msgspec.structs.replace(make_availability(), expected_revision=0),
    ),
    "depart": (
        codecs.encode_command,
        codecs.decode_command,
        Depart(build_row("i-1", phase=ServerPhase.DRAINING)),
    ),
    "claim": (codecs.encode_command, codecs.decode_command, make_claim()),
    "settle": (
        codecs.encode_command,
        codecs.decode_command,
        (make_settle(), make_settle(b"t2", Outcome.UNKNOWN, answer=b"x")),
    ),
    "operator_result": (
        replies.encode_operator_result,
        replies.decode_operator_result,
        OperatorResult(5, 3, FAILURE),
    ),
    "claim_result": (
        replies.encode_claim_result,
        replies.decode_claim_result,
        ClaimResult(False, "e1", 2, Outcome.DONE, 7, b"a", FAILURE),
    ),
    "read_config": (
        replies.encode_read_config,
        replies.decode_read_config,
        replies.ReadConfig(4, b"d"),
    ),
    "config": (
        replies.encode_config_reply,
        replies.decode_config_reply,
        ConfigState(4, make_manifest(), ("dc1",), ("s1",), b"d"),
    ),
    "unchanged": (replies.encode_config_reply, replies.decode_config_reply, None),
    "proof": (replies.encode_status_request, replies.decode_status_request, True),
    "status": (
        replies.encode_status,
        replies.decode_status,
        LogStatus("m1", 3, True, "127.0.0.1:7100", 9, 8, (MEMBER,)),
    ),
    "add_by_address": (
        replies.encode_member_change,
        replies.decode_member_change,
        Member("", "127.0.0.1:7100"),
    ),
    "rollout": (
        rollouts.encode_rollout,
        rollouts.decode_rollout,
        Rollout(4, 5, 3, (DaemonLag("e1", 4),), 1, ("e2", "e3"), 2),
    ),
    "add": (replies.encode_member_change, replies.decode_member_change, MEMBER),
    "remove": (
        replies.encode_member_change,
        replies.decode_member_change,
        replies.RemoveMember("m1"),
    ),
}
DECODE_FAILURE_CODES = {Code.WIRE_MALFORMED, Code.WIRE_VERSION, Code.WIRE_TOO_LARGE}


@pytest.mark.parametrize("case", CASES)
class TestDecoders:
    """Guard against exceptions for damaged messages and values changed in transit."""

    def test_values_survive_a_round_trip(self, case):
        encode, decode, value = CASES[case]
        assert decode(encode(value)).ok_value == value

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(changes=st.lists(st.tuples(st.integers(0, 2000), st.integers(0, 255))))
    def test_damaged_message_is_an_error_or_a_value(self, case, changes):
        encode, decode, value = CASES[case]
        data = bytearray(encode(value))
        for place, byte in changes:
            data[place % len(data)] = byte
        for damaged in (bytes(data), bytes(data[: len(data) // 2])):
            decoded = decode(damaged)
            if isinstance(decoded, Err):
                assert decoded.err_value.code in DECODE_FAILURE_CODES

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(data=st.binary(max_size=200))
    def test_random_data_is_an_error_or_a_value(self, case, data):
        decoded = CASES[case][1](data)
        if isinstance(decoded, Err):
            assert decoded.err_value.code in DECODE_FAILURE_CODES

    def test_other_version_and_size_are_refused(self, case):
        encode, decode, value = CASES[case]
        data = bytearray(encode(value))
        # The fields follow the segment table and the root pointer, of 8 bytes each.
        data[data.index(PROTOCOL_VERSION, 8 + 8)] += 1
        assert decode(bytes(data)).err_value.code is Code.WIRE_VERSION
        # 9 MiB exceed the limit of every message.
        assert decode(bytes(9 * 2**20)).err_value.code is Code.WIRE_TOO_LARGE


class TestCommandBounds:
    """Guard against oversized or empty values that would enter the replicated log."""

    @pytest.mark.parametrize(
        "command",
        [
            make_availability(data_centre=""),
            make_claim(token=b""),
            make_claim(token=b"x" * 65),
            make_claim(request_id="1-" + "x" * 127),
            (),
            (make_settle(),) * (MAX_SETTLES + 1),
        ],
    )
    def test_value_beyond_its_bounds_is_refused(self, command):
        refused = codecs.try_encode_command(command)
        assert refused.err_value.code is Code.WIRE_MALFORMED

    def test_number_beyond_the_schema_is_refused(self):
        refused = codecs.try_encode_command((make_settle(code=2**16),))
        assert refused.err_value.code is Code.MALFORMED_REQUEST
