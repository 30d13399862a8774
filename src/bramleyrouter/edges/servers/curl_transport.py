"""Implement the transport to backend servers with pycurl."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_exchanges import (
    HttpResult,
    ServerMulti,
    close_multi,
    open_multi,
    start_exchange,
)
from bramleyrouter.edges.servers.formats import (
    build_unknown_result,
    encode_cancel,
    encode_query,
    encode_submit,
    read_health,
    read_load,
    read_query_reply,
    read_submit_reply,
)
from bramleyrouter.edges.servers.transport import (
    ProbeResult,
    QueryCall,
    QueryResult,
    ServerTransport,
    SubmitCall,
    SubmitResult,
    Target,
)
from bramleyrouter.ids import AttemptId, RequestId, ServerId
from bramleyrouter.states import Outcome
from bramleyrouter.utils.byte_budgets import ByteBudget

# A cancellation that takes longer is of no use.
CANCEL_TIMEOUT_S = 1.0


@dataclass
class _TransportState:
    """Store the target and curl handles of each server by its id."""

    memory: ByteBudget
    servers: dict[ServerId, tuple[Target, ServerMulti]] = field(default_factory=dict)


def _get_multi(state: _TransportState, target: Target) -> ServerMulti:
    """Return the handles of a server; open new ones if its target changed.

    Two registrations share no connection, so that a reply to a request of the older
    one can't be mistaken for a reply to the newer one.
    """
    existing = state.servers.get(target.server_id)
    if existing is not None:
        if existing[0] == target:
            return existing[1]
        close_multi(existing[1], "The server registered anew.")
    multi = open_multi(target.address, target.max_connections, state.memory)
    state.servers[target.server_id] = (target, multi)
    return multi


def _build_query_result(call: QueryCall, result: HttpResult) -> QueryResult:
    if result.error == 0:
        return read_query_reply(call, result.status, result.body)
    if not result.may_have_run:
        return QueryResult(Code.CONNECT_FAILED, f"No connection: {result.text}.")
    if result.error == pycurl.E_OPERATION_TIMEDOUT:
        return QueryResult(
            Code.SHARD_TIMEOUT, "The server sent no whole reply in time."
        )
    if result.error == pycurl.E_PARTIAL_FILE:
        return QueryResult(
            Code.SHARD_TRUNCATED, f"The reply ended early: {result.text}."
        )
    return QueryResult(Code.SHARD_CONNECTION_LOST, f"Connection lost: {result.text}.")


def _build_submit_result(call: SubmitCall, result: HttpResult) -> SubmitResult:
    if result.error == 0:
        return read_submit_reply(call, result.status, result.body)
    if not result.may_have_run:
        text = f"No connection: {result.text}."
        return SubmitResult(Outcome.NOT_RUN, Code.CONNECT_FAILED, text)
    return build_unknown_result(f"The exchange failed: {result.text}.")


def build_curl_transport(memory: ByteBudget | None = None) -> ServerTransport:
    """Build the transport; its functions need a running event loop.

    ``memory`` bounds the replies of all servers together; without it, they have a
    budget of their own.
    """
    state = _TransportState(memory or ByteBudget())

    def query(
        target: Target,
        call: QueryCall,
        timeout_s: float,
        on_end: Callable[[QueryResult], None],
    ) -> None:
        body = encode_query(target, call, timeout_s)
        multi = _get_multi(state, target)
        start_exchange(
            multi,
            "/shards/query",
            body,
            timeout_s,
            lambda result: on_end(_build_query_result(call, result)),
        )

    def submit(
        target: Target,
        call: SubmitCall,
        timeout_s: float,
        on_end: Callable[[SubmitResult], None],
    ) -> None:
        body = encode_submit(target, call, timeout_s)
        multi = _get_multi(state, target)
        start_exchange(
            multi,
            "/shards/submit",
            body,
            timeout_s,
            lambda result: on_end(_build_submit_result(call, result)),
            is_repeatable=False,
        )

    def cancel(target: Target, request_id: RequestId, attempt: AttemptId) -> None:
        existing = state.servers.get(target.server_id)
        if existing is None or existing[0] != target:
            return
        body = encode_cancel(request_id, attempt)
        start_exchange(
            existing[1], "/shards/cancel", body, CANCEL_TIMEOUT_S, _ignore_result
        )

    def probe(
        target: Target, timeout_s: float, on_end: Callable[[ProbeResult], None]
    ) -> None:
        multi = _get_multi(state, target)

        def after_health(result: HttpResult) -> None:
            if result.error or not read_health(result.status, result.body):
                on_end(ProbeResult(False))
            elif multi.is_closed:
                on_end(ProbeResult(True))
            else:
                start_exchange(multi, "/load", None, timeout_s / 2, after_load)

        def after_load(result: HttpResult) -> None:
            on_end(read_load(0 if result.error else result.status, result.body))

        start_exchange(multi, "/health", None, timeout_s / 2, after_health)

    def close_connections(server_id: ServerId) -> None:
        existing = state.servers.pop(server_id, None)
        if existing is not None:
            close_multi(existing[1], "The home closed its connections.")

    def count_connections(server_id: ServerId) -> int:
        existing = state.servers.get(server_id)
        return existing[1].connections if existing else 0

    def close() -> None:
        for server_id in list(state.servers):
            close_connections(server_id)

    return ServerTransport(
        query, submit, cancel, probe, close_connections, count_connections, close
    )


def _ignore_result(_result: HttpResult) -> None:
    """Ignore the result: the cancelled query reports its own result."""
