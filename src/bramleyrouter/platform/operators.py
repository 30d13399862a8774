"""Serve HTTP calls of operators and backend servers on a control daemon."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from bramleyrouter.codes import Code
from bramleyrouter.conf.defaults import MAX_MANIFEST_BYTES
from bramleyrouter.control.messages import (
    OperatorResult,
    PublishRoutes,
    SetAvailability,
    StartRollout,
)
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import MAX_NAME_CHARACTERS, ServerPhase, ServerRow
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.gateway.checks import check_table
from bramleyrouter.ids import (
    DataCentre,
    OperatorRequestId,
    Revision,
    ServerId,
    ServerIncarnation,
    ServiceName,
)
from bramleyrouter.platform import names
from bramleyrouter.platform.announcements import decode_heartbeat, decode_withdrawal
from bramleyrouter.platform.listeners import (
    CountedRequests,
    PlatformReply,
    write_reply,
)
from bramleyrouter.platform.rollout_orders import decode_order, format_rollout
from bramleyrouter.platform.route_documents import decode_route_table
from bramleyrouter.telemetry.control_metrics import ObserveCall
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.guarded_http import (
    MAX_HEADER_BYTES,
    ClientGuard,
    GuardedServer,
)
from bramleyrouter.utils.listening import listen_on
from bramleyrouter.utils.sockets import peek
from bramleyrouter.utils.stalls import Stalls, is_after_stall, read_boot_clock

# Clients of control daemons wait one second for a reply. Then they ignore a late one
# and send the same change again.
OPERATION_TIMEOUT_S = 0.9
OPERATOR_NAME = "platform"
_REQUEST_ID_BYTES = 8
MAX_LOGGED_CHARACTERS = 300
_PUT, _DELETE, _POST, _GET = "PUT", "DELETE", "POST", "GET"


class ControlCalls(NamedTuple):
    """Bundle what the HTTP calls of operators and backend servers need.

    ``get_revision`` returns the revision of the configuration that this daemon knows.
    ``depart`` and ``withdraw`` return once the log holds that a server leaves.
    ``data_centres`` are the known data centres, and ``wall_clock`` returns the time of
    day in Unix seconds. ``record`` writes a log event, and
    ``observe`` updates the metrics of calls. ``get_rollout_sequence`` returns that of
    the newest rollout of a service that this daemon knows, 0 without one.
    """

    get_revision: Callable[[], Revision]
    publish: Callable[
        [PublishRoutes, float], Awaitable[Result[OperatorResult, Failure]]
    ]
    set_availability: Callable[
        [SetAvailability, float], Awaitable[Result[OperatorResult, Failure]]
    ]
    read_routes: Callable[[float], Awaitable[Result[PublishRoutes, Failure]]]
    announce: Callable[[ServerRow], bool]
    recommend_control_address: Callable[[DataCentre], str]
    depart: Callable[[ServerRow, float], Awaitable[Result[None, Failure]]]
    withdraw: Callable[
        [ServerId, ServerIncarnation | None, float], Awaitable[Result[None, Failure]]
    ]
    data_centres: tuple[DataCentre, ...]
    wall_clock: Callable[[], float]
    record: RecordEvent
    observe: ObserveCall
    get_rollout_sequence: Callable[[ServiceName], int]
    start_rollout: Callable[
        [StartRollout, float], Awaitable[Result[OperatorResult, Failure]]
    ]
    read_rollouts: Callable[
        [float], Awaitable[Result[tuple[VersionRollout, ...], Failure]]
    ]


def _build_refusal(status: int, failure: Failure) -> PlatformReply:
    findings = [str(finding) for finding in failure.findings]
    body = {"code": int(failure.code), "text": failure.text, "findings": findings}
    return PlatformReply(status, msgspec.json.encode(body))


async def handle_call(
    calls: ControlCalls,
    method: str,
    path: str,
    body: bytes,
    is_awaited: Callable[[], bool],
) -> PlatformReply:
    """Carry out one call, record its status and latency, and return its reply.

    ``is_awaited`` returns whether the client still waits for the reply.
    """
    clock = asyncio.get_running_loop().time
    started = clock()
    reply = await _dispatch_call(calls, method, path, body, is_awaited)
    calls.observe(_get_call_kind(method, path), reply.status, clock() - started)
    return reply


def _get_call_kind(method: str, path: str) -> str:
    """Return the kind under which the metrics count a call."""
    if path.startswith(names.REPLICAS_PREFIX):
        return "heartbeat" if method == _PUT else "leave"
    if path == names.CONFIG_PATH:
        return "publish" if method == _PUT else "read"
    if path.startswith(names.EVACUATE_PREFIX):
        return "availability"
    if path == names.ROLLOUTS_PATH or path.startswith(names.ROLLOUTS_PREFIX):
        return "rollout"
    return "unknown"


async def _dispatch_call(
    calls: ControlCalls,
    method: str,
    path: str,
    body: bytes,
    is_awaited: Callable[[], bool],
) -> PlatformReply:
    if path.startswith(names.REPLICAS_PREFIX):
        server_id = path[len(names.REPLICAS_PREFIX) :]
        if method == _PUT:
            return await _handle_heartbeat(calls, server_id, body)
        if method == _DELETE:
            return await _handle_withdrawal(calls, server_id, body)
    if path == names.CONFIG_PATH and method == _PUT:
        return await _handle_publish(calls, body)
    if path == names.CONFIG_PATH and method == _GET:
        return await _handle_read(calls)
    if path.startswith(names.EVACUATE_PREFIX) and method in (_POST, _DELETE):
        name = path[len(names.EVACUATE_PREFIX) :]
        return await _handle_evacuation(
            calls, DataCentre(name), method == _POST, is_awaited
        )
    if path == names.ROLLOUTS_PATH and method == _POST:
        return await _handle_rollout_order(calls, body, is_awaited)
    if path.startswith(names.ROLLOUTS_PREFIX) and method == _GET:
        service = ServiceName(path[len(names.ROLLOUTS_PREFIX) :])
        return await _handle_rollout_read(calls, service)
    return PlatformReply(404)


async def _handle_heartbeat(
    calls: ControlCalls, server_id: str, body: bytes
) -> PlatformReply:
    decoded = decode_heartbeat(server_id, body, calls.data_centres, calls.wall_clock())
    if isinstance(decoded, Err):
        return _refuse_announcement(calls, "bad_heartbeat", server_id, decoded)
    row = decoded.ok_value
    calls.announce(row)
    if row.phase is not ServerPhase.READY:
        recorded = await calls.depart(row, OPERATION_TIMEOUT_S)
        if isinstance(recorded, Err):
            return _refuse_departure(calls, server_id, recorded.err_value)
    address = calls.recommend_control_address(row.data_centre)
    # The server sends its next heartbeats to this address until one fails.
    return PlatformReply(
        200, msgspec.json.encode({"beatAddr": address} if address else {})
    )


async def _handle_withdrawal(
    calls: ControlCalls, server_id: str, body: bytes
) -> PlatformReply:
    decoded = decode_withdrawal(body, calls.wall_clock())
    if isinstance(decoded, Err):
        return _refuse_announcement(calls, "bad_withdrawal", server_id, decoded)
    recorded = await calls.withdraw(
        ServerId(server_id), decoded.ok_value, OPERATION_TIMEOUT_S
    )
    if isinstance(recorded, Err):
        return _refuse_departure(calls, server_id, recorded.err_value)
    return PlatformReply(200)


def _refuse_departure(
    calls: ControlCalls, server_id: str, failure: Failure
) -> PlatformReply:
    """Reply that a departure is not recorded; it is applied here all the same."""
    server = server_id[:MAX_NAME_CHARACTERS]
    calls.record("registry", "departure_open", server=server, reason=failure.text)
    return _build_refusal(503, failure)


def _refuse_announcement(
    calls: ControlCalls, event: str, server_id: str, failure: Err[Failure]
) -> PlatformReply:
    reason = failure.err_value.text[:MAX_LOGGED_CHARACTERS]
    calls.record(
        "registry", event, server=server_id[:MAX_NAME_CHARACTERS], reason=reason
    )
    return _build_refusal(400, failure.err_value)


async def _handle_publish(calls: ControlCalls, body: bytes) -> PlatformReply:
    decoded = decode_route_table(body)
    if isinstance(decoded, Err):
        calls.record("control", "table_refused", reason=decoded.err_value.text)
        return _build_refusal(400, decoded.err_value)
    table = decoded.ok_value
    findings = check_table(table)
    if findings:
        text = "The route table has errors and was refused whole."
        calls.record(
            "control",
            "table_refused",
            version=table.version,
            reason=str(findings[0]),
        )
        return PlatformReply(
            400, msgspec.json.encode({"text": text, "findings": findings})
        )
    outcome = await calls.publish(
        PublishRoutes(table.version, body), OPERATION_TIMEOUT_S
    )
    return _build_operation_reply(calls, "publish", {"version": table.version}, outcome)


async def _handle_evacuation(
    calls: ControlCalls,
    name: DataCentre,
    is_out: bool,
    is_awaited: Callable[[], bool],
) -> PlatformReply:
    """Take a data centre out, or back in, while the client waits for the reply.

    A call names neither its time nor its predecessor. A client that has given it up may
    have sent the opposite since, to another daemon. So the change is made only if the
    client was still waiting after the revision that it changes was read.
    """
    if name not in calls.data_centres:
        return PlatformReply(404)
    clock = asyncio.get_running_loop().time
    deadline = clock() + OPERATION_TIMEOUT_S
    fields = {"data_centre": name, "is_out": is_out}
    revision = calls.get_revision()
    while is_awaited() and (remaining_s := deadline - clock()) > 0:
        # A repeated call gets a new id and is committed again. It sets the same
        # availability, so that is harmless.
        request_id = OperatorRequestId(secrets.token_hex(_REQUEST_ID_BYTES))
        operation = SetAvailability(
            request_id,
            OPERATOR_NAME,
            is_out,
            data_centre=name,
            expected_revision=revision,
        )
        outcome = await calls.set_availability(operation, remaining_s)
        if not _is_revision_conflict(outcome):
            return _build_operation_reply(calls, "availability", fields, outcome)
        revision = outcome.unwrap().revision
    calls.record("control", "order_outdated", order="availability", **fields)
    text = "The call is not carried out, as its client may have given it up."
    return _build_refusal(503, Failure(Code.REVISION_CONFLICT, text))


async def _handle_rollout_order(
    calls: ControlCalls, body: bytes, is_awaited: Callable[[], bool]
) -> PlatformReply:
    """Start a rollout, while the client waits for the reply.

    As in ``_handle_evacuation``, a client that has given up the call may have ordered
    another rollout since. The log accepts the order only after the rollout that was the
    newest one before it was seen that the client was still waiting.
    """
    decoded = decode_order(body)
    if isinstance(decoded, Err):
        reason = decoded.err_value.text[:MAX_LOGGED_CHARACTERS]
        calls.record("control", "order_refused", order="rollout", reason=reason)
        return _build_refusal(400, decoded.err_value)
    order = decoded.ok_value
    service = ServiceName(order.service)
    clock = asyncio.get_running_loop().time
    deadline = clock() + OPERATION_TIMEOUT_S
    fields = {"service": service, "version": order.version}
    sequence = calls.get_rollout_sequence(service)
    while is_awaited() and (remaining_s := deadline - clock()) > 0:
        expecting = msgspec.structs.replace(order, expected_sequence=sequence)
        outcome = await calls.start_rollout(expecting, remaining_s)
        if not _is_revision_conflict(outcome):
            return _build_operation_reply(calls, "rollout", fields, outcome)
        sequence = outcome.unwrap().revision
    calls.record("control", "order_outdated", order="rollout", **fields)
    text = "The call is not carried out, as its client may have given it up."
    return _build_refusal(503, Failure(Code.REVISION_CONFLICT, text))


async def _handle_rollout_read(
    calls: ControlCalls, service: ServiceName
) -> PlatformReply:
    outcome = await calls.read_rollouts(OPERATION_TIMEOUT_S)
    if isinstance(outcome, Err):
        calls.record("control", "read_failed", reason=outcome.err_value.text)
        return _build_refusal(503, outcome.err_value)
    for rollout in outcome.ok_value:
        if rollout.service == service:
            return PlatformReply(200, format_rollout(rollout))
    text = "The service has no rollout."
    return _build_refusal(404, Failure(Code.UNKNOWN_ROLLOUT, text))


def _is_revision_conflict(outcome: Result[OperatorResult, Failure]) -> bool:
    failure = outcome.ok_value.failure if isinstance(outcome, Ok) else None
    return failure is not None and failure.code is Code.REVISION_CONFLICT


def _build_operation_reply(
    calls: ControlCalls,
    operation: str,
    fields: dict,
    outcome: Result[OperatorResult, Failure],
) -> PlatformReply:
    if isinstance(outcome, Err):
        # It is unknown whether the change was accepted. 503 lets the client send the
        # same change again.
        text = outcome.err_value.text
        calls.record("control", "order_open", order=operation, reason=text, **fields)
        return _build_refusal(503, outcome.err_value)
    result = outcome.ok_value
    if result.failure is not None:
        text = result.failure.text
        calls.record("control", "order_refused", order=operation, reason=text, **fields)
        status = 409 if result.failure.code is Code.ROLLOUT_ACTIVE else 400
        return _build_refusal(status, result.failure)
    calls.record(
        "control", "order_accepted", order=operation, revision=result.revision, **fields
    )
    return PlatformReply(200)


async def _handle_read(calls: ControlCalls) -> PlatformReply:
    outcome = await calls.read_routes(OPERATION_TIMEOUT_S)
    if isinstance(outcome, Err):
        calls.record("control", "read_failed", reason=outcome.err_value.text)
        return _build_refusal(503, outcome.err_value)
    if not outcome.ok_value.document:
        return PlatformReply(503)
    return PlatformReply(200, outcome.ok_value.document)


def _is_connected(req: HTTPServerRequest) -> bool:
    """Return whether the client has not closed the connection, as far as is known."""
    conn = req.connection
    if conn is None or conn.stream.closed():  # type: ignore[attr-defined]
        return False
    return peek(conn.stream.socket) != b""  # type: ignore[attr-defined]


def listen_control(
    address: str,
    calls: ControlCalls,
    stalls: Stalls,
    memory: ByteBudget | None = None,
    guard: ClientGuard | None = None,
) -> HTTPServer:
    """Serve the calls on "ip:port"; raise ``OSError`` if the address is in use.

    ``memory`` bounds the bodies that are not complete and the replies that are not
    read; without it, they have a budget of their own.
    """
    tasks: set[asyncio.Task] = set()
    budget = memory or ByteBudget()

    async def serve(req: HTTPServerRequest) -> None:
        def is_awaited() -> bool:
            return not is_after_stall(stalls, read_boot_clock()) and _is_connected(req)

        reply = await handle_call(
            calls, req.method or "", req.path, req.body, is_awaited
        )
        write_reply(req, reply, memory=budget)

    def on_request(req: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(serve(req))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = GuardedServer(
        CountedRequests(on_request, budget),
        guard=guard or ClientGuard("control"),
        idle_connection_timeout=60.0,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_MANIFEST_BYTES,
    )
    listen_on(server, address, backlog=1024)
    return server
