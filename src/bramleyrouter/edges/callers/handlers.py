"""Handle HTTP requests of callers."""

import itertools
from collections.abc import Callable

import msgspec
from result import Err
from tornado.httputil import HTTPServerRequest

from bramleyrouter.board.blackboard import Board
from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings
from bramleyrouter.edges.callers import formats
from bramleyrouter.edges.http import (
    EndpointSpec,
    HttpReply,
    build_failure_reply,
    get_http_status,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import RequestId
from bramleyrouter.routing.interfaces import Router
from bramleyrouter.states import Outcome

DEFAULT_EXPLAIN_LIMIT = 50


def build_caller_endpoints(
    board: Board, router: Router, cfg: Settings, clock: Callable[[], float]
) -> list[EndpointSpec]:
    """Build the endpoints for queries, submissions and recent decisions."""
    decode_cfg = formats.read_query_defaults(cfg)
    query_numbers = itertools.count(1)
    identity = board.identity
    run_id_prefix = f"{identity.daemon_id}.{identity.incarnation}"

    def check_readiness(may_have_run_before: bool = False) -> HttpReply | None:
        if board.readiness.is_ready or board.readiness.reasons == {"stopping"}:
            # A stopping daemon serves until the balancer has removed it.
            return None
        reasons = ", ".join(sorted(board.readiness.reasons))
        failure = Failure(Code.NOT_READY, f"Not ready: {reasons}.")
        return build_failure_reply(failure, may_have_run_before)

    async def query(req: HTTPServerRequest, body: bytes) -> HttpReply:
        if (refusal := check_readiness()) is not None:
            return refusal
        run_id = RequestId(f"{run_id_prefix}.{next(query_numbers)}")
        decoded = formats.decode_query(body, run_id, clock(), decode_cfg)
        if isinstance(decoded, Err):
            return build_failure_reply(decoded.err_value)
        message, caller_request_id = decoded.ok_value
        answered = await router.query(message)
        if isinstance(answered, Err):
            return build_failure_reply(answered.err_value)
        return HttpReply(
            200, formats.encode_answer(answered.ok_value, caller_request_id)
        )

    async def submit(req: HTTPServerRequest, body: bytes) -> HttpReply:
        if (refusal := check_readiness(may_have_run_before=True)) is not None:
            return refusal
        decoded = formats.decode_submission(body, clock(), decode_cfg)
        if isinstance(decoded, Err):
            # An earlier attempt of the same submission may have come in time and run.
            is_late = decoded.err_value.code is Code.DEADLINE_PASSED
            return build_failure_reply(decoded.err_value, is_late)
        answer = await router.submit(decoded.ok_value)
        is_done = answer.outcome is Outcome.DONE
        status = 200 if is_done else get_http_status(answer.code)
        return HttpReply(status, formats.encode_submission(answer))

    async def explain(req: HTTPServerRequest, body: bytes) -> HttpReply:
        text = req.arguments.get("limit", [b""])[0]
        limit = int(text) if text.isdigit() else DEFAULT_EXPLAIN_LIMIT
        limit = min(limit, cfg.recent_decisions)
        return HttpReply(200, msgspec.json.encode(router.recent(limit)))

    limit = cfg.max_body_bytes
    return [
        EndpointSpec("/v1/query", "POST", query, limit, cancel_on_close=True),
        EndpointSpec("/v1/submit", "POST", submit, limit),
        EndpointSpec("/v1/explain", "GET", explain),
    ]
