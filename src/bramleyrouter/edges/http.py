"""Define endpoints, body limits and error replies for all HTTP interfaces."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.web import RequestHandler, stream_request_body

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, hold, release_all

JSON_TYPE = "application/json"

_STATUS_BY_CODE = {
    Code.OK: 200,
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_SERVICE: 404,
    Code.UNKNOWN_SHARD: 404,
    Code.IDENTITY_REUSED: 409,
    Code.TENANT_LIMIT: 429,
    Code.COVERAGE_NOT_REACHED: 504,
    Code.UNAUTHORIZED: 401,
    Code.GENERATION_CONFLICT: 409,
    Code.REVISION_CONFLICT: 409,
    Code.ROLLOUT_ACTIVE: 409,
    Code.UNKNOWN_ROLLOUT: 404,
    Code.OPERATOR_REQUEST_REUSED: 409,
    Code.OLD_ANNOUNCEMENT: 409,
    Code.TOO_MANY_OUT: 409,
    Code.MEMBERSHIP_CHANGE_PENDING: 409,
    Code.UNKNOWN_MEMBER: 404,
}
# For codes that are not listed above; the keys are the codes' hundreds.
_STATUS_BY_CODE_GROUP = {1: 400, 2: 503, 3: 504, 4: 504, 5: 400, 6: 503, 7: 400, 9: 503}


class HttpReply(NamedTuple):
    """Describe an HTTP reply."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE


class ErrorBody(msgspec.Struct):
    """Define the JSON body of every error reply.

    ``not_run`` is true only if the request certainly did not run.
    """

    code: int
    name: str
    text: str
    not_run: bool
    findings: tuple[str, ...] = ()


@dataclass
class RunningRequests:
    """Hold the requests of a listener whose replies are not yet written completely.

    ``memory`` bounds the bytes of their bodies and replies.
    """

    memory: ByteBudget = field(default_factory=ByteBudget)
    handlers: set["EndpointHandler"] = field(default_factory=set)
    is_stopping: bool = False


HandleRequest = Callable[[HTTPServerRequest, bytes], Awaitable[HttpReply]]


class EndpointSpec(NamedTuple):
    """Describe one endpoint: path, method, handler and body limit in bytes.

    ``cancel_on_close`` cancels the handler when the client disconnects. It must be
    false where work must not be interrupted. ``check`` may refuse a request by its
    headers, before the body is read.
    """

    path: str
    method: str
    handle: HandleRequest
    max_body_bytes: int = 0
    cancel_on_close: bool = False
    check: Callable[[HTTPServerRequest], HttpReply | None] | None = None


def get_http_status(code: Code) -> int:
    """Return the HTTP status for a result code."""
    return _STATUS_BY_CODE.get(code) or _STATUS_BY_CODE_GROUP.get(code // 100, 500)


def build_failure_reply(
    failure: Failure, may_have_run_before: bool = False
) -> HttpReply:
    """Build the error reply for ``failure``.

    ``may_have_run_before`` marks a submission that was refused before the ledger
    was checked, so an earlier attempt to submit it may have run.
    """
    code = failure.code
    body = ErrorBody(
        int(code),
        code.name,
        failure.text,
        # Codes 200 to 299 state that the request did not run. Codes 100 to 199 reject
        # it as invalid before it is dispatched.
        not_run=100 <= code < 300
        and code is not Code.IDENTITY_REUSED
        and not may_have_run_before,
        findings=tuple(str(finding) for finding in failure.findings),
    )
    return HttpReply(get_http_status(code), msgspec.json.encode(body))


def build_tornado_routes(
    specs: list[EndpointSpec], running: RunningRequests
) -> list[tuple]:
    """Build Tornado's routes, one for each path with all its methods."""
    by_path: dict[str, dict[str, EndpointSpec]] = {}
    for spec in specs:
        by_path.setdefault(spec.path, {})[spec.method] = spec
    return [
        (path, EndpointHandler, {"specs": specs_by_method, "running": running})
        for path, specs_by_method in by_path.items()
    ]


@stream_request_body
class EndpointHandler(RequestHandler):
    """Read a bounded body, run the endpoint's handler and write its reply."""

    SUPPORTED_METHODS = ("GET", "POST")

    def initialize(self, specs: dict[str, EndpointSpec], running: RunningRequests):
        """Store the endpoint's specs by method."""
        self._specs = specs
        self._running = running
        self._chunks: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task | None = None
        self._is_given_up = False
        # Counts the body of the request, then the reply that the client has not read.
        self._holding = Holding(
            running.memory, "client", self.request.remote_ip or "", self._give_up
        )

    def prepare(self):
        """Refuse a wrong method, a failed check or an oversized body early."""
        self._running.handlers.add(self)
        spec = self._specs.get(self.request.method or "")
        if spec is None:
            self.set_status(405)
            self.finish()
            return
        if spec.check and (refusal := spec.check(self.request)) is not None:
            self._write_reply(refusal)
            return
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > spec.max_body_bytes:
            self._refuse_size(spec)

    def data_received(self, chunk: bytes):
        """Store a chunk and enforce the limit on bodies without a length."""
        if self._finished or self._is_given_up:
            return
        self._size += len(chunk)
        spec = self._specs[self.request.method or ""]
        if self._size > spec.max_body_bytes:
            self._refuse_size(spec)
            return
        if hold(self._holding, len(chunk)):
            self._chunks.append(chunk)

    def _give_up(self):
        """End the request, or the writing of its reply, in the next loop iteration."""
        self._chunks, self._is_given_up = [], True
        loop = asyncio.get_running_loop()
        if self._finished:
            stream = self.request.connection.stream  # type: ignore[union-attr]
            loop.call_soon(stream.close)
        else:
            loop.call_soon(self._end_for_memory)

    def _end_for_memory(self):
        self._end_unless_replied(Code.OVERLOADED, "This daemon holds too much.")

    def _refuse_size(self, spec: EndpointSpec):
        text = f"The body is larger than {spec.max_body_bytes} bytes."
        self.set_header("Connection", "close")
        self._write_reply(build_failure_reply(Failure(Code.BODY_TOO_LARGE, text)))

    def _write_reply(self, reply: HttpReply):
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.finish(reply.body)

    def finish(self, chunk=None):
        """Write the reply; the request is running until it is written completely."""
        if self._running.is_stopping:
            self.set_header("Connection", "close")
        written = super().finish(chunk)
        release_all(self._holding)
        if isinstance(chunk, bytes) and not written.done():
            hold(self._holding, len(chunk))
            written.add_done_callback(lambda _: release_all(self._holding))
        written.add_done_callback(lambda _: self._running.handlers.discard(self))
        return written

    def end_early(self):
        """Reply now because the daemon stops; a reply that is being written goes on."""
        self._end_unless_replied(Code.STOPPING, "This daemon stops.")

    def _end_unless_replied(self, code: Code, text: str):
        """Reply with ``code`` if nothing was run, else that the outcome is unknown."""
        if self._finished:
            return
        failure = Failure(code, text)
        if self._task is not None:
            self._task.cancel()
            failure = Failure(Code.OUTCOME_UNKNOWN, text)
        self._write_reply(build_failure_reply(failure))

    async def _run(self):
        if self._is_given_up:
            self._end_for_memory()
        if self._finished:
            return
        spec = self._specs[self.request.method or ""]
        body, self._chunks = b"".join(self._chunks), []
        work = spec.handle(self.request, body)
        self._task = asyncio.ensure_future(work)
        try:
            reply = await asyncio.shield(self._task)
        except asyncio.CancelledError:
            return
        if not self._finished:
            self._write_reply(reply)

    get = _run
    post = _run

    def on_connection_close(self):
        """Cancel the handler of a disconnected client if its endpoint allows it."""
        self._running.handlers.discard(self)
        self._chunks = []
        release_all(self._holding)
        spec = self._specs.get(self.request.method or "")
        if spec and spec.cancel_on_close and self._task:
            self._task.cancel()

    def write_error(self, status_code, **kwargs):
        """Write unexpected errors in the common format.

        A daemon may fail after it forwarded the request, so a server error never
        states that the request did not run.
        """
        if status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            text = "The daemon failed while it served the request."
            failure = Failure(Code.OUTCOME_UNKNOWN, text)
        else:
            text = "The request can't be served."
            failure = Failure(Code.MALFORMED_REQUEST, text)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(build_failure_reply(failure).body)
