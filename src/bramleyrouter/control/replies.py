"""Encode and decode replies, and the requests that are not commands of the log."""

from typing import Any, NamedTuple

import msgspec
from result import Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.defaults import MAX_MANIFEST_BYTES
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.capnp_messages import (
    SCHEMA,
    check_length,
    decode_message,
    new_message,
)
from bramleyrouter.control.codecs import OUTCOME_NAMES, find_outcome
from bramleyrouter.control.limits import (
    MAX_DATA_CENTRES_OUT,
    MAX_NAME_CHARACTERS,
    MAX_SERVERS_OUT,
    MAX_TOKEN_BYTES,
)
from bramleyrouter.control.messages import ClaimResult, ConfigState, OperatorResult
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    Generation,
    LogIndex,
    MemberId,
    Revision,
    Term,
)

MAX_REPLY_BYTES = 1024 * 1024
MAX_REQUEST_BYTES = 4096
# A manifest and both sets of what is out of service, whose names are encoded with up
# to 8 bytes of overhead each.
MAX_CONFIG_BYTES = MAX_MANIFEST_BYTES + (MAX_DATA_CENTRES_OUT + MAX_SERVERS_OUT) * (
    MAX_NAME_CHARACTERS + 8
)
MAX_MEMBERS = 64


class ReadConfig(NamedTuple):
    """Request the configuration.

    ``revision`` and ``digest`` identify the configuration that the requester has. If
    it is still current, the reply does not repeat it.
    """

    revision: Revision = Revision(0)
    digest: bytes = b""


class RemoveMember(NamedTuple):
    """Request the removal of a member of the log."""

    member_id: MemberId


MemberChange = Member | RemoveMember


def encode_operator_result(result: OperatorResult) -> bytes:
    """Encode the result of an operator's request."""
    message = new_message(SCHEMA.OperatorResult)
    message.revision = result.revision
    message.generation = result.generation
    _fill_failure(message, result.failure)
    return message.to_bytes()


def decode_operator_result(data: bytes) -> Result[OperatorResult, Failure]:
    """Decode the result of an operator's request; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> OperatorResult:
        return OperatorResult(
            Revision(message.revision),
            Generation(message.generation),
            _convert_failure(message.failure),
        )

    return decode_message(SCHEMA.OperatorResult, data, MAX_REPLY_BYTES, convert)


def encode_claim_result(result: ClaimResult) -> bytes:
    """Encode the result of a claim."""
    message = new_message(SCHEMA.ClaimResult)
    message.isGranted = result.is_granted
    message.claimant = result.claimant
    message.claimantIncarnation = result.claimant_incarnation
    message.outcome = OUTCOME_NAMES[result.outcome]
    message.code = result.code
    message.answer = result.answer
    _fill_failure(message, result.failure)
    return message.to_bytes()


def decode_claim_result(data: bytes) -> Result[ClaimResult, Failure]:
    """Decode the result of a claim; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> ClaimResult:
        return ClaimResult(
            message.isGranted,
            DaemonId(message.claimant),
            DaemonIncarnation(message.claimantIncarnation),
            find_outcome(message.outcome),
            message.code,
            message.answer,
            _convert_failure(message.failure),
        )

    return decode_message(SCHEMA.ClaimResult, data, MAX_REPLY_BYTES, convert)


def encode_read_config(request: ReadConfig) -> bytes:
    """Encode a request for the configuration."""
    message = new_message(SCHEMA.ReadConfig)
    message.revision = request.revision
    message.digest = request.digest
    return message.to_bytes()


def decode_read_config(data: bytes) -> Result[ReadConfig, Failure]:
    """Decode a request for the configuration; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> ReadConfig:
        digest = check_length(message.digest, MAX_TOKEN_BYTES, "digest", True)
        return ReadConfig(Revision(message.revision), digest)

    return decode_message(SCHEMA.ReadConfig, data, MAX_REQUEST_BYTES, convert)


def encode_config_reply(state: ConfigState | None) -> bytes:
    """Encode a configuration; none means that the requester's one is unchanged."""
    message = new_message(SCHEMA.ConfigReply)
    if state is None:
        message.isUnchanged = True
    else:
        message.state = msgspec.msgpack.encode(state)
    return message.to_bytes()


def decode_config_reply(data: bytes) -> Result[ConfigState | None, Failure]:
    """Decode a configuration, or none if it is unchanged.

    Fail with a ``WIRE_*`` code.
    """

    def convert(message: Any) -> ConfigState | None:
        if message.isUnchanged:
            return None
        return msgspec.msgpack.decode(message.state, type=ConfigState)

    return decode_message(SCHEMA.ConfigReply, data, MAX_CONFIG_BYTES, convert)


def encode_status_request(is_proof_asked: bool) -> bytes:
    """Encode a request for a member's status, with or without proof of leadership."""
    message = new_message(SCHEMA.StatusRequest)
    message.isProofAsked = is_proof_asked
    return message.to_bytes()


def decode_status_request(data: bytes) -> Result[bool, Failure]:
    """Decode whether a proof of leadership is requested.

    Fail with a ``WIRE_*`` code.
    """
    return decode_message(
        SCHEMA.StatusRequest,
        data,
        MAX_REQUEST_BYTES,
        lambda reader: reader.isProofAsked,
    )


def encode_status(status: LogStatus) -> bytes:
    """Encode the log status of a member."""
    message = new_message(SCHEMA.Status)
    message.memberId = status.member_id
    message.term = status.term
    message.isLeader = status.is_leader
    message.leaderAddress = status.leader_address
    message.commitIndex = status.commit_index
    message.appliedIndex = status.applied_index
    builders = message.init("members", len(status.members))
    for builder, member in zip(builders, status.members, strict=True):
        _fill_member(builder, member)
    return message.to_bytes()


def decode_status(data: bytes) -> Result[LogStatus, Failure]:
    """Decode the log status of a member; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> LogStatus:
        if len(message.members) > MAX_MEMBERS:
            raise ValueError(f"{len(message.members)} members were listed")
        return LogStatus(
            MemberId(message.memberId),
            Term(message.term),
            message.isLeader,
            message.leaderAddress,
            LogIndex(message.commitIndex),
            LogIndex(message.appliedIndex),
            tuple(_convert_member(reader) for reader in message.members),
        )

    return decode_message(SCHEMA.Status, data, MAX_REPLY_BYTES, convert)


def encode_member_change(change: MemberChange) -> bytes:
    """Encode a request to add or remove a member."""
    message = new_message(SCHEMA.ChangeMembers)
    if isinstance(change, Member):
        _fill_member(message.init("add"), change)
    else:
        message.remove = change.member_id
    return message.to_bytes()


def decode_member_change(data: bytes) -> Result[MemberChange, Failure]:
    """Decode a request to add or remove a member; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> MemberChange:
        which = str(message.which())
        if which == "add":
            return _convert_member(message.add, is_id_required=False)
        if which == "remove":
            member_id = check_length(message.remove, MAX_NAME_CHARACTERS, "member_id")
            return RemoveMember(MemberId(member_id))
        raise ValueError(f'change "{which}" is not known')

    return decode_message(SCHEMA.ChangeMembers, data, MAX_REQUEST_BYTES, convert)


def _fill_member(builder: Any, member: Member) -> None:
    builder.memberId = member.member_id
    builder.address = member.address
    builder.isVoter = member.is_voter


def _convert_member(reader: Any, is_id_required: bool = True) -> Member:
    limit, is_empty_allowed = MAX_NAME_CHARACTERS, not is_id_required
    return Member(
        MemberId(check_length(reader.memberId, limit, "member_id", is_empty_allowed)),
        check_length(reader.address, MAX_NAME_CHARACTERS, "address"),
        reader.isVoter,
    )


def _fill_failure(message: Any, failure: Failure | None) -> None:
    if failure is None:
        return
    builder = message.init("failure")
    builder.code = int(failure.code)
    builder.text = failure.text
    findings = builder.init("findings", len(failure.findings))
    for finding_builder, finding in zip(findings, failure.findings, strict=True):
        for name in Finding.__struct_fields__:
            setattr(finding_builder, name, getattr(finding, name))


def _convert_failure(reader: Any) -> Failure | None:
    if not reader.code:
        return None
    findings = tuple(
        Finding(item.code, item.level, item.place, item.text, item.hint)
        for item in reader.findings
    )
    return Failure(Code(reader.code), reader.text, findings)
