"""Tests of the replicated state machine: configuration and operators."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.control import configuration, operator_requests
from bramleyrouter.control.codecs import decode_command, encode_command
from bramleyrouter.control.digests import digest_config_state
from bramleyrouter.control.manifests import (
    MAX_FINDINGS,
    build_manifest_failure,
    check_manifest,
    parse_manifest,
)
from bramleyrouter.control.messages import Publish
from bramleyrouter.control.replies import decode_claim_result, decode_operator_result
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.states import Outcome
from tests.control.builders import (
    NOW_MS,
    make_availability,
    make_claim,
    make_manifest,
    make_publish,
    make_settle,
)

TOKENS = st.sampled_from([b"t1", b"t2"])
IDENTITIES = st.sampled_from([f"{NOW_MS + number}-a" for number in range(3)])
OPERATIONS = st.one_of(
    st.builds(
        make_publish,
        st.sampled_from(["r1", "r2", "r3"]),
        st.sampled_from(["anna", "ben"]),
        st.integers(0, 4),
        versions=st.sampled_from([("v1",), ("v2",)]),
    ),
    st.builds(
        make_availability,
        st.sampled_from(["r1", "r2", "r3", "r4"]),
        st.sampled_from(["anna", "ben"]),
        st.booleans(),
        data_centre=st.sampled_from(["dc1", "dc2"]),
    ),
)
COMMANDS = st.one_of(
    OPERATIONS,
    st.builds(make_claim, TOKENS, IDENTITIES),
    st.builds(
        make_settle, TOKENS, st.sampled_from(list(Outcome)), IDENTITIES, st.binary()
    ).map(lambda one: (one,)),
)


def run(state_machine, commands, stamp_ms=NOW_MS):
    """Apply commands and return the decoded replies of the operations."""
    replies = []
    for command in commands:
        reply = state_machine.for_log.apply(1, stamp_ms, encode_command(command))
        replies.append(decode_operator_result(reply).ok_value if reply else None)
    return replies


class TestPublish:
    """Guard against two winners, partly accepted manifests and older generations."""

    def test_equal_generation_has_one_winner_named_in_the_refusal(self):
        state_machine = build_control_state_machine()
        won, lost, older = run(
            state_machine,
            [
                make_publish("r1", "anna", 3),
                make_publish("r1", "ben", 3),
                make_publish("r2", "ben", 2),
            ],
        )
        assert (won.failure, won.revision, won.generation) == (None, 1, 3)
        for refused in (lost, older):
            assert refused.failure.code is Code.GENERATION_CONFLICT
            assert '"anna" with request "r1" as revision 1' in refused.failure.text
        assert state_machine.config().revision == 1

    def test_invalid_manifest_is_refused_entirely_with_all_findings(self):
        bad = ServiceSpec("lo okup", (), (), 0)
        duplicate = ServiceSpec("a", ("s1", "s1"), ("v1", "v1"))
        manifest = Manifest(0, (bad, duplicate, duplicate))
        state_machine = build_control_state_machine()
        (refused,) = run(state_machine, [Publish("r1", "anna", manifest)])
        assert refused.failure.code is Code.INVALID_MANIFEST
        assert refused.failure.findings == check_manifest(manifest)
        numbers = [finding.code[-4:] for finding in refused.failure.findings]
        assert numbers == ["E004", "E006", "E007", "E008", "E009", "E010"] + 4 * [
            "E006"
        ]
        assert state_machine.config().manifest is None

    @pytest.mark.parametrize(
        "text, numbers",
        [
            (b"{", ["E001"]),
            (b"[]", ["E001"]),
            (b'{"services": {}, "extra": 1}', ["E002", "E002", "E003"]),
            (b'{"generation": 1e400, "services": [3]}', ["E001"]),
            (b'{"generation": 99999999999999999999999, "services": []}', ["E003"]),
            (
                b'{"generation": true, "services":[{"name": 3, "x": 1, "shards": []}]}',
                ["E003", "E002", "E002", "E003"],
            ),
        ],
    )
    def test_wrong_types_are_listed_without_a_traceback(self, text, numbers):
        failure = parse_manifest(text).err_value
        assert [finding.code[-4:] for finding in failure.findings] == numbers

    def test_number_of_listed_findings_is_bounded(self):
        shards = tuple(f"bad {number}" for number in range(1000))
        findings = check_manifest(make_manifest(shards=shards))
        failure = build_manifest_failure(findings)
        assert len(failure.findings) == MAX_FINDINGS + 1
        assert "800 more" in failure.findings[-1].text


class OperatorModel:
    """Model the expected results of operators' requests, without any limits."""

    def __init__(self):
        self.first = {}
        self.generation, self.revision, self.out = 0, 0, set()

    def expect(self, operation):
        """Return the expected code, revision and generation of the result."""
        key = (operation.operator, operation.request_id)
        body = operation.manifest if isinstance(operation, Publish) else None
        if body is None:
            body = (operation.is_out, operation.data_centre)
        if key not in self.first:
            self.first[key] = (body, self.apply(operation))
        first_body, first = self.first[key]
        if first_body != body:
            return (Code.OPERATOR_REQUEST_REUSED, *first[1:])
        return first

    def apply(self, operation):
        code = None
        if isinstance(operation, Publish):
            generation = operation.manifest.generation
            if generation < 1:
                code = Code.INVALID_MANIFEST
            elif generation <= self.generation:
                code = Code.GENERATION_CONFLICT
            else:
                self.generation = generation
                self.revision += 1
        else:
            self.revision += 1
            if (operation.data_centre in self.out) != operation.is_out:
                self.out ^= {operation.data_centre}
        return code, self.revision, self.generation


class TestOperators:
    """Guard against resends that take effect twice and replicas that diverge."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(OPERATIONS, max_size=25), st.integers(0, 25))
    def test_concurrent_operators_and_resends_match_the_model(
        self, operations, snapshot_at
    ):
        state_machine, model = build_control_state_machine(), OperatorModel()
        for number, operation in enumerate(operations):
            if number == snapshot_at:
                restored = build_control_state_machine()
                restored.for_log.restore(state_machine.for_log.snapshot())
                state_machine = restored
            (reply,) = run(state_machine, [operation])
            code = reply.failure.code if reply.failure else None
            assert (code, reply.revision, reply.generation) == model.expect(operation)
            state = state_machine.config()
            assert set(state.data_centres_out) == model.out
            assert state.digest == digest_config_state(state)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(COMMANDS, max_size=25), st.integers(0, 25))
    def test_snapshot_at_any_point_equals_replay(self, commands, snapshot_at):
        replayed, restored = (
            build_control_state_machine(),
            build_control_state_machine(),
        )
        encoded = [encode_command(command) for command in commands]
        for command in encoded[:snapshot_at]:
            replayed.for_log.apply(1, NOW_MS, command)
        restored.for_log.restore(replayed.for_log.snapshot())
        for command in encoded[snapshot_at:]:
            assert replayed.for_log.apply(1, NOW_MS, command) == restored.for_log.apply(
                1, NOW_MS, command
            )
        assert replayed.for_log.snapshot() == restored.for_log.snapshot()
        assert replayed.config() == restored.config()

    def test_number_of_stored_results_is_bounded_and_the_oldest_are_evicted(
        self, monkeypatch
    ):
        monkeypatch.setattr(operator_requests, "MAX_OPERATOR_RESULTS", 2)
        state_machine = build_control_state_machine()
        out, back = make_availability("r1"), make_availability("r2", is_out=False)
        first, _, third, again = run(
            state_machine, [out, back, make_availability("r3"), back]
        )
        assert again.revision == 2
        assert (
            run(state_machine, [make_availability("r1")])[0].revision
            == third.revision + 1
            == 4
        )

    def test_unknown_servers_can_be_taken_out(self):
        state_machine = build_control_state_machine()
        run(state_machine, [make_availability(server_id="later-1")])
        assert state_machine.config().servers_out == ("later-1",)

    def test_number_of_servers_out_is_bounded(self, monkeypatch):
        monkeypatch.setattr(configuration, "MAX_SERVERS_OUT", 1)
        state_machine = build_control_state_machine()
        replies = run(
            state_machine,
            [
                make_availability("r1", server_id="s1"),
                make_availability("r2", server_id="s2"),
            ],
        )
        assert replies[1].failure.code is Code.TOO_MANY_OUT

    def test_deltas_are_returned_only_if_none_is_missing(self, monkeypatch):
        monkeypatch.setattr(configuration, "MAX_DELTAS", 3)
        state_machine = build_control_state_machine()
        run(state_machine, [make_publish()])
        run(
            state_machine,
            [make_availability(f"o{n}", data_centre=f"dc{n}") for n in range(4)],
        )
        assert state_machine.deltas_since(5) == ()
        assert state_machine.deltas_since(6) is None
        assert state_machine.deltas_since(1) is None
        deltas = state_machine.deltas_since(2)
        assert [delta.revision for delta in deltas] == [3, 4, 5]
        assert deltas[-1].digest == state_machine.config().digest
        assert deltas[-1].manifest is None

    def test_undecodable_entry_changes_nothing(self):
        state_machine = build_control_state_machine()
        before = state_machine.for_log.snapshot()
        assert state_machine.for_log.apply(1, NOW_MS, b"junk") == b""
        assert state_machine.for_log.snapshot() == before


class TestCommandCodecs:
    """Guard against commands changed by their encoding."""

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(COMMANDS)
    def test_commands_survive_a_round_trip(self, command):
        assert decode_command(encode_command(command)).ok_value == command

    def test_claim_result_of_a_settled_request_survives_a_round_trip(self):
        state_machine = build_control_state_machine()
        answer = make_settle(answer=b"held", code=7)
        for command in (make_claim(), (answer,)):
            state_machine.for_log.apply(1, NOW_MS, encode_command(command))
        reply = state_machine.for_log.apply(
            1, NOW_MS, encode_command(make_claim(b"t2"))
        )
        result = decode_claim_result(reply).ok_value
        assert (result.outcome, result.code, result.answer) == (
            Outcome.DONE,
            7,
            b"held",
        )


class TestConditionalAvailability:
    """Guard against a delayed change that undoes a later one (review 2)."""

    def test_change_to_another_revision_is_refused_and_changes_nothing(self):
        state_machine = build_control_state_machine()
        delayed = msgspec.structs.replace(
            make_availability("r2", is_out=False), expected_revision=1
        )
        out, taken_back, out_again, refused = run(
            state_machine,
            [
                make_availability("r1"),
                msgspec.structs.replace(delayed, request_id="r3"),
                make_availability("r4"),
                delayed,
            ],
        )
        results = [item.failure for item in (out, taken_back, out_again)]
        assert results == [None] * 3
        assert refused.failure.code is Code.REVISION_CONFLICT
        assert refused.revision == 3
        assert state_machine.config().data_centres_out == ("dc1",)
        assert state_machine.config().revision == 3
