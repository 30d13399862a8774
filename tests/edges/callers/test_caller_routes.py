"""Tests of the callers' endpoints with a router that records calls."""

import asyncio
import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import ClassSettings, Settings
from bramleyrouter.edges.callers.formats import decode_query, read_query_defaults
from bramleyrouter.edges.callers.handlers import build_caller_endpoints
from bramleyrouter.failures import Failure
from bramleyrouter.routing.interfaces import Router
from bramleyrouter.routing.messages import (
    Answer,
    MissingShard,
    ShardKey,
    SubmissionAnswer,
)
from bramleyrouter.states import CoverageMode, Outcome
from tests.support.identities import make_identity

CFG = Settings("e", "dc1", "127.0.0.1:1", "127.0.0.1:2", "k", "t", ())
KEYS = [ShardKey("svc", "a"), ShardKey("svc", "b")]
QUERY = {"targets": [{"service": "svc"}], "query": {"text": "rod 7"}}
SUBMISSION = {
    "request_id": "1-a",
    "service": "svc",
    "shard": "a",
    "operation": {"hold": 1},
}


class Caller:
    """Call the endpoints of a daemon with a fake router."""

    def __init__(self, answer=None, reasons=()):
        self.queries, self.submissions = [], []
        board = Board(make_identity("e"))
        board.readiness.reasons = set(reasons)
        self.answer = answer

        async def query(req):
            self.queries.append(req)
            return self.answer(req)

        async def submit(req):
            self.submissions.append(req)
            return SubmissionAnswer(
                req.request_id, Outcome.UNKNOWN, Code.CLAIMANT_LOST, "lost"
            )

        router = Router(query, submit, lambda limit: (), asyncio.sleep)
        endpoints = build_caller_endpoints(board, router, CFG, lambda: 100.0)
        self.handlers = {spec.path: spec.handle for spec in endpoints}

    def post(self, path, body):
        line = RequestStartLine("POST", path, "HTTP/1.1")
        req = HTTPServerRequest(headers=HTTPHeaders({"Host": "x"}), start_line=line)
        text = body if isinstance(body, bytes) else msgspec.json.encode(body)
        reply = asyncio.run(self.handlers[path](req, text))
        return reply.status, msgspec.json.decode(reply.body)


def partial_answer(req):
    missing = (MissingShard("svc", "b", Code.SHARD_TIMEOUT),)
    results = {KEYS[0]: b'{"rod": 7}'}
    return Ok(Answer(req.request_id, "v1", 3, (KEYS[0],), missing, results))


class TestQueryRoute:
    """Guard against answers that hide missing shards, and against unclear refusals."""

    def test_answer_states_version_revision_and_coverage(self):
        caller = Caller(partial_answer)
        status, body = caller.post("/v1/query", {**QUERY, "request_id": "mine"})
        assert status == 200 and body["request_id"] == "mine"
        assert (body["version"], body["revision"]) == ("v1", 3)
        assert (body["shards_included"], body["shards_requested"]) == (1, 2)
        assert body["results"] == {"svc": {"a": {"rod": 7}}}
        assert body["missing"][0]["reason"] == "SHARD_TIMEOUT"
        assert caller.queries[0].body == b'{"text":"rod 7"}'

    def test_callers_with_the_same_request_id_run_under_different_ids(self):
        caller = Caller(partial_answer)
        for _ in range(2):
            caller.post("/v1/query", {**QUERY, "request_id": "mine"})
        first, second = (query.request_id for query in caller.queries)
        assert first != second

    def test_full_query_without_coverage_may_have_run(self):
        failure = Failure(Code.COVERAGE_NOT_REACHED, "b is missing.")
        status, body = Caller(lambda req: Err(failure)).post("/v1/query", QUERY)
        assert status == 504 and body["not_run"] is False

    def test_invalid_input_gets_an_error_code_and_reaches_no_router(self):
        caller = Caller(partial_answer)
        for body, code in (
            (b"{", Code.MALFORMED_REQUEST),
            ({**QUERY, "targets": []}, Code.MALFORMED_REQUEST),
            ({**QUERY, "colour": 1}, Code.MALFORMED_REQUEST),
            ({**QUERY, "tenant": "x" * 200}, Code.MALFORMED_REQUEST),
            ({**QUERY, "deadline_ms": 0}, Code.DEADLINE_PASSED),
        ):
            status, reply = caller.post("/v1/query", body)
            assert (status, reply["code"]) == (400, code) and reply["not_run"]
        assert not caller.queries

    def test_daemon_that_is_not_ready_refuses(self):
        status, reply = Caller(reasons={"membership"}).post("/v1/query", QUERY)
        assert (status, reply["code"]) == (503, Code.NOT_READY)

    def test_stopping_daemon_still_serves_queries(self):
        caller = Caller(partial_answer, reasons={"stopping"})
        assert caller.post("/v1/query", QUERY)[0] == 200


class TestSubmitRoute:
    """Guard against not_run where an earlier attempt to submit may have run."""

    def test_unknown_outcome_is_reported_as_unknown(self):
        status, body = Caller().post("/v1/submit", SUBMISSION)
        assert status == 504
        assert (body["outcome"], body["code"]) == ("unknown", Code.CLAIMANT_LOST)

    def test_refusal_before_the_ledger_check_is_not_marked_as_not_run(self):
        _, body = Caller(reasons={"starting"}).post("/v1/submit", SUBMISSION)
        assert body["not_run"] is False
        _, body = Caller().post("/v1/submit", {**SUBMISSION, "deadline_ms": -1})
        assert body["not_run"] is False

    def test_submission_without_identity_is_refused_as_not_run(self):
        caller = Caller()
        _, body = caller.post("/v1/submit", {**SUBMISSION, "request_id": ""})
        assert body["not_run"] and body["code"] == Code.INVALID_IDENTITY
        assert not caller.submissions


class TestDecodeQuery:
    """Guard against bodies that crash the decoder or exceed its limits."""

    def test_latency_first_classes_default_to_best_coverage(self):
        classes = {
            "catalog": ClassSettings(latency_first=True),
            "checkout": ClassSettings(),
        }
        cfg = read_query_defaults(msgspec.structs.replace(CFG, classes=classes))
        for name, mode in (
            ("catalog", CoverageMode.BEST),
            ("checkout", CoverageMode.FULL),
        ):
            text = msgspec.json.encode({**QUERY, "class": name, "deadline_ms": 1e9})
            query = decode_query(text, "r", 5.0, cfg).unwrap()[0]
            assert query.coverage is mode
            assert query.deadline == 5.0 + CFG.max_deadline_s
        unknown = msgspec.json.encode({**QUERY, "class": "other"})
        failure = decode_query(unknown, "r", 5.0, cfg).unwrap_err()
        assert failure.code is Code.UNKNOWN_TENANT_OR_CLASS

    @given(st.binary(max_size=80), st.integers(0, 2**32))
    @settings(derandomize=True, max_examples=300)
    def test_any_bytes_give_a_query_or_an_error_code(self, noise, seed):
        text = bytearray(msgspec.json.encode(QUERY))
        rng = random.Random(seed)
        for byte in noise:
            text[rng.randrange(len(text))] = byte
        decoded = decode_query(bytes(text), "r", 0.0, read_query_defaults(CFG))
        if isinstance(decoded, Err):
            assert 100 <= decoded.err_value.code < 200
