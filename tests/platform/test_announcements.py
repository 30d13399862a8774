"""Tests of the decoding of heartbeats and withdrawals."""

import msgspec
import pytest
from result import Err, Ok

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
NOW_S = 1781001300.0


def decode(**fields):
    body = msgspec.json.encode({**HEARTBEAT, **fields})
    return decode_heartbeat("i-1", body, ZONES, NOW_S)


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
            {"warmupLeftMs": 1e300},
            {"slots": 10_001},
            {"seq": -1},
            {"seq": 2**63},
            {"born": -1},
            {"addr": "10.0.0.9:0"},
            {"addr": "10.0.0.9:65536"},
            {"addr": "10.0.0.9:-5"},
            {"addr": "10.0.0.9:\u0668\u0660"},
            {"addr": "10.0.0.9:8_0"},
            {"service": "a b"},
            {"service": "x" * 201},
        ],
    )
    def test_invalid_field_is_rejected(self, fields):
        assert isinstance(decode(**fields), Err)

    @pytest.mark.parametrize("field", ["seq", "born", "slots"])
    def test_number_of_forty_digits_is_rejected(self, field):
        # msgspec's encoder can't write such a number, so it is put into the text.
        body = msgspec.json.encode({**HEARTBEAT, field: 77})
        odd = body.replace(b":77", b":" + b"9" * 40)
        assert isinstance(decode_heartbeat("i-1", odd, ZONES, NOW_S), Err)

    def test_deeply_nested_heartbeat_is_rejected(self):
        odd = b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        assert isinstance(decode_heartbeat("i-1", odd, ZONES, NOW_S), Err)

    def test_start_in_the_far_future_is_rejected(self):
        """Guards against an odd entry that shuts out the server's true incarnation."""
        born = int(NOW_S * 1000)
        assert isinstance(decode(born=born + 60_000), Ok)
        assert isinstance(decode(born=born + 2 * 3_600_000), Err)

    @pytest.mark.parametrize("server_id", ["", "i 1", "i-\u00e9", "x" * 201])
    def test_id_that_no_header_can_hold_is_rejected(self, server_id):
        body = msgspec.json.encode(HEARTBEAT)
        assert isinstance(decode_heartbeat(server_id, body, ZONES, NOW_S), Err)

    def test_missing_field_is_rejected(self):
        body = {key: value for key, value in HEARTBEAT.items() if key != "service"}
        encoded = msgspec.json.encode(body)
        assert isinstance(decode_heartbeat("i-1", encoded, (), NOW_S), Err)

    def test_undecodable_body_is_rejected(self):
        assert isinstance(decode_heartbeat("i-1", b"\xff{", (), NOW_S), Err)


class TestDecodeWithdrawal:
    """Guard against withdrawals that fail because their body is missing.

    One that can't be read is that of another writer, and removes no server.
    """

    def test_returns_the_incarnation_or_none(self):
        assert decode_withdrawal(b'{"born":17}', NOW_S).ok_value == 17
        assert decode_withdrawal(b"{}", NOW_S).ok_value is None
        assert decode_withdrawal(b"", NOW_S).ok_value is None

    @pytest.mark.parametrize(
        "body",
        [
            b"\xff",
            b'{"born":"17"}',
            b'{"born":-1}',
            b'{"born":' + b"9" * 40 + b"}",
            b'{"born":32503680000000}',
            b'{"born":' + b"[" * 100_000,
        ],
    )
    def test_unreadable_withdrawal_names_no_server(self, body):
        assert isinstance(decode_withdrawal(body, NOW_S), Err)
