"""Tests of the decoding of heartbeats and withdrawals."""

import msgspec
import pytest
from result import Err

from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.platform.announcements import decode_heartbeat, decode_withdrawal

HEARTBEAT = {
    "service": "s0",
    "addr": "10.0.0.9:8080",
    "zone": "se-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seq": 4,
    "born": 1781001263459,
}
ZONES = ("se-a", "se-b")


def decode(**fields):
    return decode_heartbeat("i-1", msgspec.json.encode({**HEARTBEAT, **fields}), ZONES)


class TestDecodeHeartbeat:
    """Guard against misread fields and accepted invalid heartbeats."""

    def test_fields_of_a_complete_heartbeat(self):
        row = decode().ok_value
        assert (row.server_id, row.incarnation, row.sequence) == (
            "i-1",
            1781001263459,
            4,
        )
        assert (row.phase, row.cold_s, row.slots) == (ServerPhase.READY, 1.5, 3)

    def test_draining_state_becomes_the_phase(self):
        assert decode(state="draining").ok_value.phase is ServerPhase.DRAINING

    @pytest.mark.parametrize(
        "fields",
        [
            {"service": None},
            {"service": ""},
            {"addr": "10.0.0.9"},
            {"addr": "name:80"},
            {"zone": "mars"},
            {"slots": "3"},
            {"slots": 0},
            {"state": "asleep"},
            {"seq": 1.5},
            {"seq": True},
            {"born": 1.5},
            {"born": "1781001263459"},
            {"warmupLeftMs": "soon"},
        ],
    )
    def test_invalid_field_is_rejected(self, fields):
        assert isinstance(decode(**fields), Err)

    def test_missing_field_is_rejected(self):
        body = {key: value for key, value in HEARTBEAT.items() if key != "service"}
        assert isinstance(decode_heartbeat("i-1", msgspec.json.encode(body), ()), Err)

    def test_undecodable_body_is_rejected(self):
        assert isinstance(decode_heartbeat("i-1", b"\xff{", ()), Err)


class TestDecodeWithdrawal:
    """Guard against withdrawals that fail because their body is missing or invalid."""

    def test_returns_the_incarnation_or_none(self):
        assert decode_withdrawal(b'{"born":17}') == 17
        assert decode_withdrawal(b"") is None
        assert decode_withdrawal(b"\xff") is None
