"""Tests that input from outside a process never raises, whatever it holds.

Guards against a process that ends, or a stream that breaks off, because another writer
left one odd entry: deeply nested, with a number too large, or cut off.
"""

import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bramleyrouter.conf.settings import decode_settings
from bramleyrouter.consensus.codec import decode_message as decode_consensus
from bramleyrouter.consensus.codec import decode_presence
from bramleyrouter.consensus.storage import decode_snapshot
from bramleyrouter.control.codecs import decode_command
from bramleyrouter.control.manifests import parse_manifest
from bramleyrouter.control.replies import (
    decode_claim_result,
    decode_config_reply,
    decode_member_change,
    decode_operator_result,
    decode_read_config,
    decode_status,
)
from bramleyrouter.control.rollouts import decode_rollout
from bramleyrouter.dissemination import messages as dissemination_messages
from bramleyrouter.edges.operators.formats import (
    decode_availability_body,
    decode_manifest_body,
    decode_member_body,
)
from bramleyrouter.edges.servers.formats import (
    read_health,
    read_load,
    read_query_reply,
    read_submit_reply,
)
from bramleyrouter.edges.servers.transport import QueryCall, SubmitCall
from bramleyrouter.fleet.departures import decode_found_server
from bramleyrouter.fleet.messages import Update, decode_update, encode_update
from bramleyrouter.fleet.records import (
    MAX_SLOTS,
    MAX_VERSION_NUMBER,
    ServerPhase,
    check_row,
)
from bramleyrouter.fleet.rollout_records import decode_rollouts
from bramleyrouter.fleet.version_reports import decode_reports
from bramleyrouter.fleet.views import FleetView, apply_rows
from bramleyrouter.gateway.delegation import decode_grant, decode_query, decode_reply
from bramleyrouter.homes import codecs as home_codecs
from bramleyrouter.membership import messages as membership_messages
from bramleyrouter.permits.messages import decode_reply as decode_permit_reply
from bramleyrouter.permits.messages import decode_request as decode_permit_request
from bramleyrouter.permits.start_reserves import decode_members
from bramleyrouter.platform.announcements import decode_heartbeat, decode_withdrawal
from bramleyrouter.platform.rollout_orders import decode_order
from bramleyrouter.platform.route_documents import decode_route_table
from bramleyrouter.platform.settings import read_settings
from bramleyrouter.standins.announcers import decode_reply as decode_announcement_reply
from bramleyrouter.wire.envelopes import decode_envelope
from tests.platform.test_announcements import HEARTBEAT, NOW_S, ZONES
from tests.platform.test_route_documents import document
from tests.support.gateway_fakes import build_row

SOURCE = Path(__file__).parents[2] / "src" / "bramleyrouter"
QUERY = QueryCall("q", 1, "v1", "s", ("s0",), b"{}")
SUBMISSION = SubmitCall("q", "s", "s0", b"{}")

# The decoders of each module that reads input from outside the process.
DECODERS = {
    "platform/announcements.py": [
        lambda data: decode_heartbeat("i-1", data, ZONES, NOW_S),
        lambda data: decode_withdrawal(data, NOW_S),
    ],
    "platform/route_documents.py": [decode_route_table],
    "fleet/messages.py": [decode_update],
    "fleet/departures.py": [decode_found_server],
    "fleet/rollout_records.py": [decode_rollouts],
    "fleet/version_reports.py": [decode_reports],
    "platform/rollout_orders.py": [decode_order],
    "gateway/delegation.py": [decode_query, decode_reply, decode_grant],
    "permits/start_reserves.py": [decode_members],
    "permits/messages.py": [decode_permit_request, decode_permit_reply],
    "wire/envelopes.py": [decode_envelope],
    "homes/codecs.py": [
        home_codecs.decode_batch,
        home_codecs.decode_replies,
        home_codecs.decode_submit_request,
        home_codecs.decode_submit_reply,
        home_codecs.decode_announcement,
        home_codecs.decode_announcement_reply,
        home_codecs.decode_handover,
        home_codecs.decode_withdrawal,
    ],
    "edges/servers/formats.py": [
        lambda data: read_query_reply(QUERY, 200, data),
        lambda data: read_query_reply(QUERY, 503, data),
        lambda data: read_submit_reply(SUBMISSION, 200, data),
        lambda data: read_health(200, data),
        lambda data: read_load(200, data),
    ],
    "edges/operators/formats.py": [
        decode_manifest_body,
        decode_availability_body,
        decode_member_body,
    ],
    "consensus/codec.py": [decode_consensus, decode_presence],
    "consensus/storage.py": [decode_snapshot],
    "control/capnp_messages.py": [
        decode_command,
        decode_claim_result,
        decode_config_reply,
        decode_member_change,
        decode_operator_result,
        decode_read_config,
        decode_status,
        decode_rollout,
    ],
    "control/manifests.py": [parse_manifest],
    "conf/settings.py": [decode_settings],
    "standins/announcers.py": [lambda data: decode_announcement_reply(200, data)],
    "utils/schemas.py": [
        lambda data, kind=kind, module=module: module.decode(kind, data)
        for module in (membership_messages, dissemination_messages)
        for kind in vars(module).values()
        if isinstance(kind, type)
        and issubclass(kind, msgspec.Struct)
        and "protocol_version" in kind.__struct_fields__
    ],
}
# Modules whose decoders have tests elsewhere or read only what their own process wrote.
COVERED_ELSEWHERE = {
    # tests/edges/callers, with a settings object; test_caller_routes nests deeply.
    "edges/callers/formats.py",
    # Their handlers turn DECODE_ERRORS into 400; tests/edges/servers.
    "edges/servers/handlers.py",
    # The greeting is authenticated before it is decoded.
    "wire/handshakes.py",
    # Entries of the own log, whose files and messages carry checksums.
    "consensus/entries.py",
    "control/codecs.py",
    "control/operator_requests.py",
    "control/replies.py",
    "control/snapshots.py",
    "conf/checks.py",
    "dissemination/store.py",
    "fleet/control_peers.py",
    "platform/settings.py",
    # Command line and measurements: their user sees the error.
    "commands/explain.py",
    "commands/requests.py",
    "standins/handlers.py",
}
ALL_DECODERS = [
    pytest.param(decode, id=f"{module}:{at}")
    for module, decoders in DECODERS.items()
    for at, decode in enumerate(decoders)
]
NESTED_JSON = b"[" * 100_000 + b"]" * 100_000
NESTED_OBJECT = b'{"service":' * 50_000
NESTED_MSGPACK = b"\x91" * 100_000 + b"\xc0"
HUGE_NUMBER = b'{"version":' + b"9" * 400 + b"}"
ODD = [b"", b"\xff\xfe", b"null", b"{}", b"[]", NESTED_JSON, NESTED_OBJECT]
ODD += [NESTED_MSGPACK, HUGE_NUMBER, b"\xdd\xff\xff\xff\xff", b"\x00" * 4096]
_DECODES = re.compile(
    r"Decoder\(|(?:json|msgpack)\.decode\(|msgspec\.convert\(|\.from_bytes\("
)


class TestDecoders:
    @pytest.mark.parametrize("decode", ALL_DECODERS)
    def test_odd_input_never_raises(self, decode):
        for data in ODD:
            decode(data)

    @pytest.mark.parametrize("decode", ALL_DECODERS)
    def test_arbitrary_input_never_raises(self, decode):
        @settings(max_examples=60, derandomize=True, deadline=None)
        @given(st.binary(max_size=300))
        def check(data):
            decode(data)

        check()

    def test_each_module_that_decodes_is_listed(self):
        """Guards against a new kind of input without these tests."""
        found = {
            str(path.relative_to(SOURCE))
            for path in SOURCE.rglob("*.py")
            if "measure" not in path.parts
            and _DECODES.search(path.read_text().replace("int.from_bytes(", ""))
        }
        listed = set(DECODERS) | COVERED_ELSEWHERE
        # The frames of the wire are unpacked without a library.
        listed -= {"wire/envelopes.py"}
        # Records only convert a row that was decoded elsewhere.
        assert found - {"fleet/records.py", "platform/callers.py"} <= listed

    @pytest.mark.parametrize("text", ["a = " + "[" * 100_000, "a = 1e999", "\x00"])
    def test_odd_settings_file_is_refused(self, tmp_path, text):
        path = tmp_path / "boot.toml"
        path.write_text(text)
        assert isinstance(read_settings(str(path)), Err)


class TestMutatedDocuments:
    """Guard against values that are accepted and can't be processed later."""

    @pytest.mark.parametrize("field", ["version", "attempts", "topK", "priority"])
    def test_table_with_a_number_of_forty_digits_is_refused(self, field):
        body = document()
        pattern = f'"{field}":'.encode()
        odd = re.sub(pattern + rb"-?[0-9]+", pattern + b"9" * 40, body)
        if odd == body:
            odd = body.replace(
                b'"routes":[{', b'"routes":[{' + pattern + b"9" * 40 + b","
            )
        assert odd != body
        assert isinstance(decode_route_table(odd), Err)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.sampled_from(sorted(HEARTBEAT)),
        st.one_of(
            st.integers(-(2**63), 2**64 - 1),
            st.floats(allow_nan=False, allow_infinity=False),
            st.text(max_size=20),
            st.none(),
            st.lists(st.integers(0, 5), max_size=3),
        ),
    )
    def test_an_accepted_heartbeat_survives_the_stream(self, field, value):
        body = msgspec.json.encode({**HEARTBEAT, field: value})
        decoded = decode_heartbeat("i-1", body, (), NOW_S)
        if isinstance(decoded, Err):
            return
        row = decoded.ok_value
        update = decode_update(encode_update(Update(rows=(row,)))).ok_value
        assert update.update.rows == (row,)
        assert update.row_errors == ()


class TestRows:
    """Guard against one odd row that costs other servers their changes."""

    @pytest.mark.parametrize(
        "fields",
        [
            {"slots": MAX_SLOTS + 1},
            {"slots": -1},
            {"sequence": MAX_VERSION_NUMBER + 1},
            {"incarnation": -1},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "nowhere"},
            {"cold_s": 1e300},
            {"cold_s": float("nan")},
        ],
    )
    def test_an_odd_row_is_left_out_of_an_update(self, fields):
        odd, sound = build_row("odd", **fields), build_row("sound")
        decoded = decode_update(encode_update(Update(rows=(odd, sound)))).ok_value
        assert decoded.update.rows == (sound,)
        assert len(decoded.row_errors) == 1

    def test_rows_of_the_former_release_are_read(self):
        # Release 0.4.0 sent an update as an array of its fields in this order.
        row = ["i-1", 7, 3, "s0", "10.0.0.9:8080", "se-a", 2, "ready", 0.5, False]
        payload = msgspec.msgpack.encode([[row], True, 4])
        update = decode_update(payload).ok_value.update
        assert (update.is_full, update.table_version) == (True, 4)
        assert update.rows[0].server_id == "i-1"

    def test_the_former_release_reads_these_rows(self):
        payload = encode_update(Update(rows=(build_row("a"),)))
        fields = msgspec.msgpack.decode(payload)
        assert fields[0][0][:3] == ["a", 1, 1]

    def test_a_row_of_a_withdrawn_server_needs_no_address(self):
        gone = build_row("a", address="", slots=0, phase=ServerPhase.GONE)
        assert isinstance(check_row(gone), Ok)

    def test_a_silent_claim_gives_way_to_the_true_server(self):
        """Guards against a high incarnation that shuts a server out for good."""
        view = FleetView()
        odd = build_row("a", incarnation=9_000, address="10.9.9.9:9", is_silent=True)
        apply_rows(view, "c1", (odd,), False)
        apply_rows(view, "c2", (build_row("a", incarnation=5),), False)
        assert view.merged["a"].incarnation == 5
