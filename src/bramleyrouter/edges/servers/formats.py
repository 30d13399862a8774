"""Encode requests to backend servers, and decode and check their replies."""

from typing import Annotated

import msgspec

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import (
    ProbeResult,
    QueryCall,
    QueryResult,
    SubmitCall,
    SubmitResult,
    Target,
)
from bramleyrouter.ids import (
    AttemptId,
    IndexVersion,
    RequestId,
    ServiceName,
    ShardName,
)
from bramleyrouter.states import Outcome
from bramleyrouter.utils.decoding import DECODE_ERRORS

# The server's deadline is this much before the home's timeout, so that its reply
# can still arrive and its slot is free by then.
REPLY_MARGIN_S = 0.003
# Half of the largest frame between daemons.
MAX_REPLY_BYTES = 4 * 1024 * 1024
# The status and code with which a server refuses a request that it did not run.
NOT_RUN_STATUS = 503
NOT_RUN_CODE = "not_run"
CANCELLED_CODE = "cancelled"
# Limits the text from a server that is copied into messages and logs.
MAX_REASON_CHARACTERS = 200

_REASON_CODES = {
    "version_not_held": Code.VERSION_NOT_HELD,
    "draining": Code.SERVER_LEAVING,
}


# Longest time for which a server may ask for no requests, in seconds.
MAX_RETRY_AFTER_S = 3600.0
RetryAfter = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RETRY_AFTER_S)]


class QueryBody(msgspec.Struct, frozen=True):
    """Define the body of ``POST /shards/query``."""

    request_id: RequestId
    attempt: AttemptId
    version: IndexVersion
    deadline_ms: int
    service: ServiceName
    shards: tuple[ShardName, ...]
    query: msgspec.Raw
    incarnation: int
    registration: int


class QueryReplyBody(msgspec.Struct, frozen=True):
    """Define the reply to a query; results stay encoded as JSON."""

    request_id: str
    attempt: int
    version: str
    results: dict[str, msgspec.Raw]
    leaving: bool = False


class SubmitBody(msgspec.Struct, frozen=True):
    """Define the body of ``POST /shards/submit``."""

    request_id: str
    deadline_ms: int
    service: str
    shard: str
    operation: msgspec.Raw
    incarnation: int
    registration: int


class SubmitReplyBody(msgspec.Struct, frozen=True):
    """Define the reply to a submission."""

    request_id: str
    answer: msgspec.Raw
    leaving: bool = False


class CancelBody(msgspec.Struct, frozen=True):
    """Define the body of ``POST /shards/cancel``."""

    request_id: str
    attempt: int


class ServerErrorBody(msgspec.Struct, frozen=True):
    """Define the body of an error reply.

    ``reason`` is a message for people; those in ``_REASON_CODES`` also select the
    result code. ``leaving`` is set in all replies of a server that leaves, and
    ``retry_after_s`` in the refusal of one that wants no requests for some seconds.
    """

    code: str = ""
    reason: str = ""
    leaving: bool = False
    retry_after_s: RetryAfter = 0.0


class HealthBody(msgspec.Struct, frozen=True):
    """Define the reply to ``GET /health``."""

    healthy: bool


class LoadBody(msgspec.Struct, frozen=True):
    """Define the reply to ``GET /load``."""

    in_flight: int = 0
    queued: int = 0


_encoder = msgspec.json.Encoder()
_query_decoder = msgspec.json.Decoder(QueryReplyBody)
_submit_decoder = msgspec.json.Decoder(SubmitReplyBody)
_error_decoder = msgspec.json.Decoder(ServerErrorBody)
_health_decoder = msgspec.json.Decoder(HealthBody)
_load_decoder = msgspec.json.Decoder(LoadBody)


def _compute_deadline_ms(timeout_s: float) -> int:
    return max(1, int((timeout_s - REPLY_MARGIN_S) * 1000))


def encode_query(target: Target, call: QueryCall, timeout_s: float) -> bytes:
    """Encode a query that has ``timeout_s`` seconds left."""
    body = QueryBody(
        call.request_id,
        call.attempt,
        call.version,
        _compute_deadline_ms(timeout_s),
        call.service,
        call.shards,
        msgspec.Raw(call.query),
        target.incarnation,
        target.registration,
    )
    return _encoder.encode(body)


def encode_submit(target: Target, call: SubmitCall, timeout_s: float) -> bytes:
    """Encode a submission that has ``timeout_s`` seconds left."""
    body = SubmitBody(
        call.request_id,
        _compute_deadline_ms(timeout_s),
        call.service,
        call.shard,
        msgspec.Raw(call.operation),
        target.incarnation,
        target.registration,
    )
    return _encoder.encode(body)


def encode_cancel(request_id: str, attempt: int) -> bytes:
    """Encode a cancellation."""
    return _encoder.encode(CancelBody(request_id, attempt))


def _decode_error(body: bytes) -> ServerErrorBody:
    try:
        return _error_decoder.decode(body)
    except DECODE_ERRORS:
        return ServerErrorBody()


def read_query_reply(call: QueryCall, status: int, body: bytes) -> QueryResult:
    """Decode a complete reply and check it against its request.

    A reply that lacks a shard counts as truncated and gives no result. Results of
    shards that were not requested are discarded.
    """
    if status != 200:
        return _read_query_error(status, body)
    try:
        reply = _query_decoder.decode(body)
    except DECODE_ERRORS as exc:
        return QueryResult(Code.SHARD_TRUNCATED, f"The reply can't be decoded: {exc}.")
    if reply.request_id != call.request_id or reply.attempt != call.attempt:
        text = (
            f'The reply is for "{reply.request_id}" attempt "{reply.attempt}"; '
            f'"{call.request_id}" attempt "{call.attempt}" was expected.'
        )
        return QueryResult(Code.SHARD_WRONG_IDENTITY, text[:MAX_REASON_CHARACTERS])
    if reply.version != call.version:
        text = f'Version "{reply.version}" came; "{call.version}" was expected.'
        return QueryResult(Code.SHARD_WRONG_VERSION, text[:MAX_REASON_CHARACTERS])
    try:
        results = {shard: bytes(reply.results[shard]) for shard in call.shards}
    except KeyError as exc:
        return QueryResult(Code.SHARD_TRUNCATED, f"The reply lacks shard {exc}.")
    return QueryResult(Code.OK, "", results, is_leaving=reply.leaving)


def _read_query_error(status: int, body: bytes) -> QueryResult:
    error = _decode_error(body)
    reason = error.reason[:MAX_REASON_CHARACTERS]
    if status == NOT_RUN_STATUS and error.code == NOT_RUN_CODE:
        code = _REASON_CODES.get(reason, Code.SERVER_REFUSED)
        return QueryResult(
            code,
            f'The server refused: "{reason}".',
            is_leaving=_is_leaving(error),
            retry_after_s=error.retry_after_s,
        )
    if error.code == CANCELLED_CODE:
        text = "The server stopped the attempt."
        return QueryResult(Code.SHARD_CANCELLED, text, is_leaving=error.leaving)
    text = f'The server answered with status "{status}": "{reason}".'
    return QueryResult(Code.SHARD_SERVER_ERROR, text, is_leaving=error.leaving)


def _is_leaving(error: ServerErrorBody) -> bool:
    return error.leaving or _REASON_CODES.get(error.reason) is Code.SERVER_LEAVING


def read_submit_reply(call: SubmitCall, status: int, body: bytes) -> SubmitResult:
    """Decode a reply to a submission; an uncertain outcome is ``UNKNOWN``."""
    if status != 200:
        error = _decode_error(body)
        reason = error.reason[:MAX_REASON_CHARACTERS]
        if status == NOT_RUN_STATUS and error.code == NOT_RUN_CODE:
            text = f'The server refused: "{reason}".'
            return SubmitResult(
                Outcome.NOT_RUN,
                Code.SERVER_REFUSED,
                text,
                is_leaving=_is_leaving(error),
                retry_after_s=error.retry_after_s,
            )
        text = f'The server answered with status "{status}".'
        return build_unknown_result(text)._replace(is_leaving=error.leaving)
    try:
        reply = _submit_decoder.decode(body)
    except DECODE_ERRORS as exc:
        return build_unknown_result(f"The reply can't be decoded: {exc}.")
    if reply.request_id != call.request_id:
        return build_unknown_result(f'The reply is for "{reply.request_id[:64]}".')
    answer = bytes(reply.answer)
    return SubmitResult(Outcome.DONE, Code.OK, "", answer, is_leaving=reply.leaving)


def build_unknown_result(text: str) -> SubmitResult:
    """Build the result of a submission that may have run."""
    return SubmitResult(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)


def read_health(status: int, body: bytes) -> bool:
    """Return whether the server reports that it is healthy."""
    if status != 200:
        return False
    try:
        return _health_decoder.decode(body).healthy
    except DECODE_ERRORS:
        return False


def read_load(status: int, body: bytes) -> ProbeResult:
    """Return the load that a healthy server reports."""
    if status != 200:
        return ProbeResult(True)
    try:
        return ProbeResult(True, max(0, _load_decoder.decode(body).queued))
    except DECODE_ERRORS:
        return ProbeResult(True)
