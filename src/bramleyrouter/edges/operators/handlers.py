"""Routes of the operators' interface."""

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
from bramleyrouter.edges.http import EndpointSpec, Handle, HttpReply, failure_reply
from bramleyrouter.edges.operators import formats
from bramleyrouter.failures import Failure
from bramleyrouter.ids import Revision

# Longest waits for the control daemons, in seconds. A new member catches up
# with the log before it is added.
OPERATE_TIMEOUT_S = 8.0
READ_TIMEOUT_S = 3.0
CHANGE_MEMBERS_TIMEOUT_S = 60.0
# Bodies with a manifest, and all others, in bytes. JSON may be up to twice as
# long as the encoding that MAX_MANIFEST_BYTES bounds.
MAX_MANIFEST_BODY_BYTES = 2 * MAX_MANIFEST_BYTES
MAX_SMALL_BODY_BYTES = 16 * 1024


class OperatorAccess(NamedTuple):
    """Bundle what the operators' routes use.

    ``view()`` is the configuration that this daemon applies.
    ``is_known(operation)`` says whether this daemon knows the data centre or
    server that is taken out or in.
    """

    client: ControlClient
    admin: ControlAdmin
    view: Callable[[], ConfigView]
    is_known: Callable[[SetAvailability], bool] = lambda operation: True


def build_operator_endpoints(access: OperatorAccess, token: str) -> list[EndpointSpec]:
    """Return the routes under ``/v1/config`` and ``/v1/control``.

    Each of them asks for ``token``, the operators' token of the settings,
    before it reads the body.
    """
    check = build_token_check(token)
    posts = (
        ("/v1/config/manifest", _publish(access), MAX_MANIFEST_BODY_BYTES),
        ("/v1/config/availability", _set_availability(access), MAX_SMALL_BODY_BYTES),
        ("/v1/control/members", _change_members(access), MAX_SMALL_BODY_BYTES),
    )
    gets = (
        ("/v1/config", _show_config(access)),
        ("/v1/config/status", _show_rollout(access)),
        ("/v1/control", _show_control(access)),
    )
    return [
        *(
            EndpointSpec(path, "POST", run, limit, check=check)
            for path, run, limit in posts
        ),
        *(EndpointSpec(path, "GET", run, check=check) for path, run in gets),
    ]


def build_token_check(token: str) -> Callable[[HTTPServerRequest], HttpReply | None]:
    """Return the closure that refuses a request without the token.

    The comparison takes the same time wherever the tokens differ.
    """
    expected = f"Bearer {token}".encode()
    text = "The operators' token is missing or wrong."
    refusal = failure_reply(Failure(Code.UNAUTHORIZED, text))

    def check(req: HTTPServerRequest) -> HttpReply | None:
        given = req.headers.get("Authorization", "").encode()
        return None if hmac.compare_digest(given, expected) else refusal

    return check


def _succeed(**fields: Any) -> HttpReply:
    body = {"code": int(Code.OK), "name": Code.OK.name, **fields}
    return HttpReply(200, msgspec.json.encode(body))


def _publish(access: OperatorAccess) -> Handle:
    async def publish(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_manifest_body(body)
        if isinstance(decoded, Err):
            return failure_reply(decoded.err_value)
        return await _operate(access, decoded.ok_value)

    return publish


def _set_availability(access: OperatorAccess) -> Handle:
    async def set_availability(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_availability_body(body)
        if isinstance(decoded, Err):
            return failure_reply(decoded.err_value)
        operation = decoded.ok_value
        return await _operate(access, operation, is_known=access.is_known(operation))

    return set_availability


async def _operate(
    access: OperatorAccess, operation: Operation, **fields: Any
) -> HttpReply:
    """Commit a change and answer with its result and ``fields``."""
    name, by = type(operation).__name__, operation.operator
    logging.info("operators: %s %s by %s.", name, operation.request_id, by)
    done = await access.client.operate(operation, OPERATE_TIMEOUT_S)
    if isinstance(done, Err):
        return failure_reply(done.err_value)
    result = done.ok_value
    if result.failure is not None:
        return failure_reply(result.failure)
    return _succeed(revision=result.revision, generation=result.generation, **fields)


def _change_members(access: OperatorAccess) -> Handle:
    async def change_members(req: HTTPServerRequest, body: bytes) -> HttpReply:
        decoded = formats.decode_member_body(body)
        if isinstance(decoded, Err):
            return failure_reply(decoded.err_value)
        change, admin = decoded.ok_value, access.admin
        logging.info("operators: member change %s.", change)
        if isinstance(change, Member):
            changed = await admin.add_member(change, CHANGE_MEMBERS_TIMEOUT_S)
        else:
            member_id = change.member_id
            changed = await admin.remove_member(member_id, CHANGE_MEMBERS_TIMEOUT_S)
        if isinstance(changed, Err):
            return failure_reply(changed.err_value)
        return _succeed()

    return change_members


def _show_config(access: OperatorAccess) -> Handle:
    async def show_config(req: HTTPServerRequest, body: bytes) -> HttpReply:
        read = await access.client.read_config(READ_TIMEOUT_S)
        if isinstance(read, Err):
            return failure_reply(read.err_value)
        accepted = formats.describe_state(read.ok_value)
        return _succeed(**accepted, here=formats.describe_view(access.view()))

    return show_config


def _show_rollout(access: OperatorAccess) -> Handle:
    async def show_rollout(req: HTTPServerRequest, body: bytes) -> HttpReply:
        text = req.arguments.get("revision", [b""])[0]
        asked = await _find_revision(access, text)
        if isinstance(asked, Err):
            return failure_reply(asked.err_value)
        found = await access.admin.rollout(READ_TIMEOUT_S)
        if isinstance(found, Err):
            return failure_reply(found.err_value)
        return _succeed(**formats.describe_rollout(found.ok_value, asked.ok_value))

    return show_rollout


async def _find_revision(
    access: OperatorAccess, text: bytes
) -> Result[Revision, Failure]:
    if text:
        return formats.decode_revision(text)
    read = await access.client.read_config(READ_TIMEOUT_S)
    return read.map(lambda state: state.revision)


def _show_control(access: OperatorAccess) -> Handle:
    async def show_control(req: HTTPServerRequest, body: bytes) -> HttpReply:
        views = await access.admin.status()
        described = [formats.describe_member_view(*view) for view in views]
        return _succeed(control=described)

    return show_control
