"""Handle HTTP requests of operators."""

import hmac
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging
from result import Err, Result
from tornado.httputil import HTTPServerRequest

from bramleyrouter.board.sections import ConfigView
from bramleyrouter.codes import Code
from bramleyrouter.conf.defaults import MAX_MANIFEST_BYTES
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.control.interfaces import ControlAdmin, ControlClient, Operation
from bramleyrouter.control.messages import SetAvailability
from bramleyrouter.edges.http import (
    EndpointSpec,
    HandleRequest,
    HttpReply,
    build_failure_reply,
)
from bramleyrouter.edges.operators import formats
from bramleyrouter.failures import Failure
from bramleyrouter.ids import Revision

# Time-outs for requests to control daemons. Member changes have the longest one,
# because a new member catches up with the log before it is added.
OPERATE_TIMEOUT_S = 8.0
READ_TIMEOUT_S = 3.0
CHANGE_MEMBERS_TIMEOUT_S = 60.0
# JSON may be up to twice as long as the encoding that MAX_MANIFEST_BYTES limits.
MAX_MANIFEST_BODY_BYTES = 2 * MAX_MANIFEST_BYTES
MAX_SMALL_BODY_BYTES = 16 * 1024


class OperatorAccess(NamedTuple):
    """Bundle the dependencies of the operators' endpoints.

    ``view()`` returns the configuration that this daemon applies.
    ``is_known(operation)`` returns whether this daemon has a record of the data
    centre or server whose availability changes.
    """

    client: ControlClient
    admin: ControlAdmin
    view: Callable[[], ConfigView]
    is_known: Callable[[SetAvailability], bool] = lambda operation: True


def build_operator_endpoints(access: OperatorAccess, token: str) -> list[EndpointSpec]:
    """Build the endpoints under ``/v1/config``, ``/v1/control`` and ``/v1/rollouts``.

    Each of them checks for ``token``, the operators' token from the settings, before
    it reads the body.
    """
    check = build_token_check(token)
    posts = (
        (
            "/v1/config/manifest",
            _build_publish_handler(access),
            MAX_MANIFEST_BODY_BYTES,
        ),
        (
            "/v1/config/availability",
            _build_availability_handler(access),
            MAX_SMALL_BODY_BYTES,
        ),
        ("/v1/rollouts", _build_order_handler(access), MAX_SMALL_BODY_BYTES),
        ("/v1/control/members", _build_members_handler(access), MAX_SMALL_BODY_BYTES),
    )
    gets = (
        ("/v1/config", _build_config_handler(access)),
        ("/v1/config/status", _build_rollout_handler(access)),
        ("/v1/rollouts", _build_version_rollout_handler(access)),
        ("/v1/control", _build_control_handler(access)),
    )
    return [
        *(
            EndpointSpec(path, "POST", handle, limit, check=check)
            for path, handle, limit in posts
        ),
        *(EndpointSpec(path, "GET", handle, check=check) for path, handle in gets),
    ]


def build_token_check(token: str) -> Callable[[HTTPServerRequest], HttpReply | None]:
    """Build a check that refuses requests without the token.

    The comparison takes constant time, so it reveals no prefix of the token.
    """
    expected = f"Bearer {token}".encode()
    text = "The operators' token is missing or wrong."
    refusal = build_failure_reply(Failure(Code.UNAUTHORIZED, text))

    def check(req: HTTPServerRequest) -> HttpReply | None:
        received = req.headers.get("Authorization", "").encode()
        return None if hmac.compare_digest(received, expected) else refusal

    return check


def _build_success_reply(**fields: Any) -> HttpReply:
    body = {"code": int(Code.OK), "name": Code.OK.name, **fields}
    return HttpReply(200, msgspec.json.encode(body))


def _build_publish_handler(access: OperatorAccess) -> HandleRequest:
    async def publish(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_manifest_body(body)
        if isinstance(decoded, Err):
            return build_failure_reply(decoded.err_value)
        return await _commit_operation(access, decoded.ok_value)

    return publish


def _build_availability_handler(access: OperatorAccess) -> HandleRequest:
    async def set_availability(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_availability_body(body)
        if isinstance(decoded, Err):
            return build_failure_reply(decoded.err_value)
        operation = decoded.ok_value
        return await _commit_operation(
            access, operation, is_known=access.is_known(operation)
        )

    return set_availability


async def _commit_operation(
    access: OperatorAccess, operation: Operation, **fields: Any
) -> HttpReply:
    """Commit a change and build a reply with its result and ``fields``."""
    name, operator = type(operation).__name__, operation.operator
    logging.info("operators: %s %s by %s.", name, operation.request_id, operator)
    outcome = await access.client.operate(operation, OPERATE_TIMEOUT_S)
    if isinstance(outcome, Err):
        return build_failure_reply(outcome.err_value)
    result = outcome.ok_value
    if result.failure is not None:
        return build_failure_reply(result.failure)
    return _build_success_reply(
        revision=result.revision, generation=result.generation, **fields
    )


def _build_members_handler(access: OperatorAccess) -> HandleRequest:
    async def change_members(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_member_body(body)
        if isinstance(decoded, Err):
            return build_failure_reply(decoded.err_value)
        change, admin = decoded.ok_value, access.admin
        logging.info("operators: member change %s.", change)
        if isinstance(change, Member):
            changed = await admin.add_member(change, CHANGE_MEMBERS_TIMEOUT_S)
        else:
            member_id = change.member_id
            changed = await admin.remove_member(member_id, CHANGE_MEMBERS_TIMEOUT_S)
        if isinstance(changed, Err):
            return build_failure_reply(changed.err_value)
        return _build_success_reply()

    return change_members


def _build_config_handler(access: OperatorAccess) -> HandleRequest:
    async def show_config(req: HTTPServerRequest, body: bytes) -> HttpReply:
        read = await access.client.read_config(READ_TIMEOUT_S)
        if isinstance(read, Err):
            return build_failure_reply(read.err_value)
        accepted = formats.build_accepted_config_fields(read.ok_value)
        return _build_success_reply(
            **accepted, here=formats.build_applied_config_fields(access.view())
        )

    return show_config


def _build_rollout_handler(access: OperatorAccess) -> HandleRequest:
    async def show_rollout(req: HTTPServerRequest, body: bytes) -> HttpReply:
        text = req.arguments.get("revision", [b""])[0]
        requested = await _find_revision(access, text)
        if isinstance(requested, Err):
            return build_failure_reply(requested.err_value)
        found = await access.admin.rollout(READ_TIMEOUT_S)
        if isinstance(found, Err):
            return build_failure_reply(found.err_value)
        return _build_success_reply(
            **formats.build_rollout_fields(found.ok_value, requested.ok_value)
        )

    return show_rollout


def _build_order_handler(access: OperatorAccess) -> HandleRequest:
    async def start_rollout(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_rollout_body(body)
        if isinstance(decoded, Err):
            return build_failure_reply(decoded.err_value)
        order = decoded.ok_value
        logging.info("operators: %s.", order)
        outcome = await access.client.operate(order, OPERATE_TIMEOUT_S)
        if isinstance(outcome, Err):
            return build_failure_reply(outcome.err_value)
        result = outcome.ok_value
        if result.failure is not None:
            return build_failure_reply(result.failure)
        return _build_success_reply(sequence=result.revision)

    return start_rollout


def _build_version_rollout_handler(access: OperatorAccess) -> HandleRequest:
    async def show_version_rollout(req: HTTPServerRequest, body: bytes) -> HttpReply:
        service = req.arguments.get("service", [b""])[0].decode("utf-8", "replace")
        read = await access.admin.read_rollouts(READ_TIMEOUT_S)
        if isinstance(read, Err):
            return build_failure_reply(read.err_value)
        for rollout in read.ok_value:
            if rollout.service == service:
                fields = formats.build_version_rollout_fields(rollout)
                return _build_success_reply(**fields)
        text = "The service has no rollout."
        return build_failure_reply(Failure(Code.UNKNOWN_ROLLOUT, text))

    return show_version_rollout


async def _find_revision(
    access: OperatorAccess, text: bytes
) -> Result[Revision, Failure]:
    if text:
        return formats.decode_revision(text)
    read = await access.client.read_config(READ_TIMEOUT_S)
    return read.map(lambda state: state.revision)


def _build_control_handler(access: OperatorAccess) -> HandleRequest:
    async def show_control(req: HTTPServerRequest, body: bytes) -> HttpReply:
        views = await access.admin.status()
        member_views = [formats.build_member_view_fields(*view) for view in views]
        return _build_success_reply(control=member_views)

    return show_control
