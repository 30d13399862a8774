"""Decode and encode the HTTP bodies of operators.

``docs/reference/http-operators.md`` is their reference.
"""

from typing import Any

import msgspec
from result import Err, Ok, Result

from bramleyrouter.board.sections import ConfigView
from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.manifests import NAME_HINT, decode_manifest, is_name
from bramleyrouter.control.messages import (
    ConfigState,
    Publish,
    SetAvailability,
    StartRollout,
)
from bramleyrouter.control.replies import MemberChange, RemoveMember
from bramleyrouter.dissemination.interfaces import Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import VersionNumber
from bramleyrouter.fleet.rollout_records import (
    Duration,
    RequiredName,
    VersionRollout,
)
from bramleyrouter.ids import (
    DataCentre,
    MemberId,
    OperatorRequestId,
    Revision,
    ServerId,
)
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.utils.decoding import DECODE_ERRORS


class _ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Define the fields that manifest and availability changes have in common."""

    request_id: str
    operator: str


class _ManifestBody(_ChangeBody):
    manifest: Any


class _AvailabilityBody(_ChangeBody):
    is_out: bool
    data_centre: str | None = None
    server_id: str | None = None


class _RolloutBody(msgspec.Struct, forbid_unknown_fields=True):
    service: RequiredName
    version: RequiredName
    duration_s: Duration
    expected_sequence: VersionNumber = 0


class _MemberBody(msgspec.Struct, forbid_unknown_fields=True):
    action: str
    member_id: str = ""
    address: str = ""


def decode_manifest_body(body: bytes) -> Result[Publish, Failure]:
    """Decode the body of ``POST /v1/config/manifest``."""
    decoded = _decode(body, _ManifestBody)
    if isinstance(decoded, Err):
        return decoded
    fields: _ManifestBody = decoded.ok_value
    manifest = decode_manifest(fields.manifest)
    if isinstance(manifest, Err):
        return manifest
    request_id = OperatorRequestId(fields.request_id)
    return Ok(Publish(request_id, fields.operator, manifest.ok_value))


def decode_availability_body(body: bytes) -> Result[SetAvailability, Failure]:
    """Decode the body of ``POST /v1/config/availability``."""
    decoded = _decode(body, _AvailabilityBody)
    if isinstance(decoded, Err):
        return decoded
    fields: _AvailabilityBody = decoded.ok_value
    targets = [
        target
        for target in (fields.data_centre, fields.server_id)
        if target is not None
    ]
    if len(targets) != 1:
        return _build_malformed_error(
            'Exactly one of "data_centre" and "server_id" was expected.'
        )
    if not is_name(targets[0]):
        return _build_malformed_error(
            f"{_quote(targets[0])} can't be a target. {NAME_HINT}"
        )
    return Ok(
        SetAvailability(
            OperatorRequestId(fields.request_id),
            fields.operator,
            fields.is_out,
            None if fields.data_centre is None else DataCentre(fields.data_centre),
            None if fields.server_id is None else ServerId(fields.server_id),
        )
    )


def decode_rollout_body(body: bytes) -> Result[StartRollout, Failure]:
    """Decode the body of ``POST /v1/rollouts``; fail with ``INVALID_ROLLOUT``."""
    try:
        fields = msgspec.json.decode(body, type=_RolloutBody)
    except DECODE_ERRORS as exc:
        text = f"The order can't be read: {exc}."
        return Err(Failure(Code.INVALID_ROLLOUT, text))
    return Ok(
        StartRollout(
            fields.service,
            fields.version,
            fields.duration_s,
            fields.expected_sequence,
        )
    )


def build_version_rollout_fields(rollout: VersionRollout) -> dict[str, Any]:
    """Return the fields of ``GET /v1/rollouts``."""
    return {
        "service": rollout.service,
        "sequence": rollout.sequence,
        "version": rollout.version,
        "duration_s": rollout.duration_s,
        "state": rollout.state.value,
        "reason": rollout.reason,
    }


def decode_member_body(body: bytes) -> Result[MemberChange, Failure]:
    """Decode the body of ``POST /v1/control/members``."""
    decoded = _decode(body, _MemberBody)
    if isinstance(decoded, Err):
        return decoded
    fields: _MemberBody = decoded.ok_value
    member_id = MemberId(fields.member_id)
    # A member to add may be given by its address alone.
    if not is_name(member_id) and (member_id or fields.action == "remove"):
        return _build_malformed_error(
            f"{_quote(member_id)} is not a member id. {NAME_HINT}"
        )
    if fields.action == "remove":
        return Ok(RemoveMember(member_id))
    if fields.action != "add":
        text = f'{_quote(fields.action)} was given; "add" or "remove" was expected.'
        return _build_malformed_error(text)
    try:
        split_address(fields.address)
    except ValueError:
        text = f'{_quote(fields.address)} is not an address such as "10.0.0.1:7000".'
        return _build_malformed_error(text)
    return Ok(Member(member_id, fields.address))


def decode_revision(text: bytes) -> Result[Revision, Failure]:
    """Decode the query parameter ``revision``."""
    if not (text.isdigit() and len(text) <= 18):
        quoted = _quote(text.decode("latin-1"))
        return _build_malformed_error(
            f"{quoted} is not a revision; a number was expected."
        )
    return Ok(Revision(int(text)))


def _decode(body: bytes, struct: type) -> Result[Any, Failure]:
    try:
        fields: Any = msgspec.json.decode(body, type=struct)
    except DECODE_ERRORS as exc:
        return _build_malformed_error(f"The body can't be decoded: {exc}.")
    if isinstance(fields, _ChangeBody):
        for field_name in ("request_id", "operator"):
            value = getattr(fields, field_name)
            if not is_name(value):
                return _build_malformed_error(
                    f"{_quote(value)} can't be {field_name!r}. {NAME_HINT}"
                )
    return Ok(fields)


def _build_malformed_error(text: str) -> Err[Failure]:
    return Err(Failure(Code.MALFORMED_REQUEST, text))


def _quote(value: str) -> str:
    return ascii(value[:40])


def build_accepted_config_fields(state: ConfigState) -> dict:
    """Build the fields of the accepted configuration, without the manifest."""
    return {
        "revision": state.revision,
        "generation": state.manifest.generation if state.manifest else 0,
        "digest": state.digest.hex(),
        "data_centres_out": list(state.data_centres_out),
        "servers_out": list(state.servers_out),
    }


def build_applied_config_fields(view: ConfigView) -> dict:
    """Build the fields of the configuration that one daemon applies."""
    return {
        "revision": view.revision,
        "generation": view.manifest.generation if view.manifest else 0,
        "digest": view.digest.hex(),
        "data_centres_out": sorted(view.data_centres_out),
        "servers_out": sorted(view.servers_out),
    }


def build_rollout_fields(rollout: Rollout, requested: Revision) -> dict:
    """Build the fields of a rollout's progress to the requested revision.

    ``behind`` lists daemons that acknowledged only an older revision. The list may be
    incomplete.
    """
    is_complete = rollout.revision >= requested and not rollout.silent_count
    behind = [lag for lag in rollout.behind if lag.revision < requested]
    return {
        "is_complete": is_complete,
        "revision": requested,
        "in_force": rollout.revision,
        "latest": rollout.latest,
        "daemons": rollout.daemons,
        "behind": [msgspec.structs.asdict(lag) for lag in behind],
        "silent": list(rollout.silent),
        "silent_count": rollout.silent_count,
    }


def build_member_view_fields(address: str, view: Result[LogStatus, Failure]) -> dict:
    """Build the fields of one control daemon's view of the log."""
    if isinstance(view, Err):
        failure = view.err_value
        failure_fields = {"code": int(failure.code), "text": failure.text}
        return {"address": address, "failure": failure_fields}
    status = msgspec.structs.asdict(view.ok_value)
    members = [msgspec.structs.asdict(member) for member in view.ok_value.members]
    return {"address": address, "failure": None, **status, "members": members}
