"""Encode and decode commands; the wire and the log use the same encoding."""

import zlib
from typing import Any

import capnp
import msgspec
from result import Err, Ok, Result

from bramleyrouter.board.sections import Manifest
from bramleyrouter.codes import Code
from bramleyrouter.conf.defaults import MAX_MANIFEST_BYTES
from bramleyrouter.control.capnp_messages import (
    SCHEMA,
    check_length,
    decode_message,
    new_message,
)
from bramleyrouter.control.limits import (
    MAX_ANSWER_BYTES,
    MAX_NAME_CHARACTERS,
    MAX_SETTLE_BYTES,
    MAX_SETTLES,
    MAX_TOKEN_BYTES,
)
from bramleyrouter.control.messages import (
    Claim,
    Depart,
    EndRollout,
    Publish,
    PublishRoutes,
    SetAvailability,
    Settle,
    StartRollout,
)
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import (
    ServerPhase,
    ServerRow,
    check_row,
    drop_version,
)
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    OperatorRequestId,
    RequestId,
    Revision,
    ServerId,
    TableVersion,
    TenantName,
)
from bramleyrouter.states import Outcome

# A command as stored in the log; settlements are stored in batches.
LogCommand = (
    Publish
    | PublishRoutes
    | SetAvailability
    | Claim
    | Depart
    | StartRollout
    | EndRollout
    | tuple[Settle, ...]
)

# Leaves space for the ids that accompany a manifest, and for a manifest slightly
# above its limit, so that the state machine can refuse it and state the reason.
MAX_COMMAND_BYTES = MAX_MANIFEST_BYTES + 512 * 1024
# Upper bound for the encoded size of a settlement without its answer.
SETTLE_OVERHEAD_BYTES = 1024

# Largest uncompressed route table. The limit of operators' request bodies is much
# lower.
MAX_ROUTES_BYTES = 4 * 1024 * 1024
# Route tables repeat their names, so even the fastest zlib level shrinks them
# about tenfold.
ROUTES_ZLIB_LEVEL = 1

OUTCOME_NAMES = {
    None: "none",
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "notRun",
    Outcome.UNKNOWN: "unknown",
}
OUTCOMES_BY_NAME = {name: outcome for outcome, name in OUTCOME_NAMES.items()}


def encode_command(command: LogCommand) -> bytes:
    """Encode a command for the wire or the log.

    Raise ``OverflowError``, ``ValueError`` or ``KjException`` for values that the
    schema can't hold.
    """
    message = new_message(SCHEMA.Command)
    if isinstance(command, Publish):
        _fill_publish(message.init("publish"), command)
    elif isinstance(command, PublishRoutes):
        _fill_routes(message.init("routes"), command)
    elif isinstance(command, SetAvailability):
        _fill_availability(message.init("availability"), command)
    elif isinstance(command, Claim):
        _fill_claim(message.init("claim"), command)
    elif isinstance(command, Depart):
        message.departure = msgspec.msgpack.encode(drop_version(command.row))
    elif isinstance(command, StartRollout):
        message.startRollout = msgspec.msgpack.encode(command)
    elif isinstance(command, EndRollout):
        message.endRollout = msgspec.msgpack.encode(command)
    else:
        builders = message.init("settles", len(command))
        for builder, settlement in zip(builders, command, strict=True):
            _fill_settle(builder, settlement)
    return message.to_bytes()


def try_encode_command(command: LogCommand) -> Result[bytes, Failure]:
    """Encode a command whose values may not fit the schema or its limits.

    Fail with ``MALFORMED_REQUEST`` for values that the schema can't hold and with a
    ``WIRE_*`` code for values beyond their limits.
    """
    try:
        data = encode_command(command)
    except (OverflowError, ValueError, capnp.KjException) as exc:
        text = f"The command can't be encoded: {exc}."
        return Err(Failure(Code.MALFORMED_REQUEST, text))
    checked = decode_command(data)
    return checked if isinstance(checked, Err) else Ok(data)


def decode_command(data: bytes) -> Result[LogCommand, Failure]:
    """Decode a command; fail with a ``WIRE_*`` code."""
    return decode_message(SCHEMA.Command, data, MAX_COMMAND_BYTES, _convert_command)


def find_outcome(name: Any) -> Outcome | None:
    """Convert an enumerant of the schema; ``none`` means that there is no outcome.

    Raise ``ValueError`` for an unknown enumerant.
    """
    try:
        return OUTCOMES_BY_NAME[str(name)]
    except KeyError:
        raise ValueError(f'outcome "{name}" is not known') from None


def _convert_command(message: Any) -> LogCommand:
    which = str(message.which())
    if which == "publish":
        return _convert_publish(message.publish)
    if which == "routes":
        return _convert_routes(message.routes)
    if which == "availability":
        return _convert_availability(message.availability)
    if which == "claim":
        return _convert_claim(message.claim)
    if which == "departure":
        return _convert_departure(message.departure)
    if which == "startRollout":
        return msgspec.msgpack.decode(message.startRollout, type=StartRollout)
    if which == "endRollout":
        return msgspec.msgpack.decode(message.endRollout, type=EndRollout)
    if which == "settles":
        if not 1 <= len(message.settles) <= MAX_SETTLES:
            raise ValueError(f"{len(message.settles)} settlements were sent")
        return tuple(_convert_settle(reader) for reader in message.settles)
    raise ValueError(f'command "{which}" is not known')


def _check_name(value: str, field: str) -> str:
    return check_length(value, MAX_NAME_CHARACTERS, field)


def _check_token(value: bytes, field: str) -> bytes:
    return check_length(value, MAX_TOKEN_BYTES, field)


def _fill_publish(builder: Any, command: Publish) -> None:
    builder.requestId = command.request_id
    builder.operator = command.operator
    builder.manifest = msgspec.msgpack.encode(command.manifest)


def _convert_publish(reader: Any) -> Publish:
    return Publish(
        OperatorRequestId(_check_name(reader.requestId, "request_id")),
        _check_name(reader.operator, "operator"),
        msgspec.msgpack.decode(reader.manifest, type=Manifest),
    )


def _fill_routes(builder: Any, command: PublishRoutes) -> None:
    builder.version = command.version
    builder.document = zlib.compress(command.document, ROUTES_ZLIB_LEVEL)


def _convert_routes(reader: Any) -> PublishRoutes:
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(reader.document, MAX_ROUTES_BYTES)
    except zlib.error as exc:
        raise ValueError(f"the route table can't be unpacked: {exc}") from exc
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("the route table is cut off or too large")
    return PublishRoutes(TableVersion(reader.version), document)


def _fill_availability(builder: Any, command: SetAvailability) -> None:
    builder.requestId = command.request_id
    builder.operator = command.operator
    builder.isOut = command.is_out
    if command.data_centre is not None:
        builder.dataCentre = command.data_centre
    else:
        builder.serverId = command.server_id or ""
    if command.expected_revision is not None:
        builder.isConditional = True
        builder.expectedRevision = command.expected_revision


def _convert_availability(reader: Any) -> SetAvailability:
    which = str(reader.which())
    if which not in ("dataCentre", "serverId"):
        raise ValueError(f'target "{which}" is not known')
    is_data_centre = which == "dataCentre"
    target = _check_name(
        reader.dataCentre if is_data_centre else reader.serverId, which
    )
    return SetAvailability(
        OperatorRequestId(_check_name(reader.requestId, "request_id")),
        _check_name(reader.operator, "operator"),
        reader.isOut,
        data_centre=DataCentre(target) if is_data_centre else None,
        server_id=None if is_data_centre else ServerId(target),
        expected_revision=(
            Revision(reader.expectedRevision) if reader.isConditional else None
        ),
    )


def _fill_claim(builder: Any, command: Claim) -> None:
    builder.tenant = command.tenant
    builder.requestId = command.request_id
    builder.bodyDigest = command.body_digest
    builder.claimant = command.claimant
    builder.claimantIncarnation = command.claimant_incarnation
    builder.attemptToken = command.attempt_token


def _convert_claim(reader: Any) -> Claim:
    return Claim(
        TenantName(_check_name(reader.tenant, "tenant")),
        RequestId(_check_name(reader.requestId, "request_id")),
        _check_token(reader.bodyDigest, "body_digest"),
        DaemonId(_check_name(reader.claimant, "claimant")),
        DaemonIncarnation(reader.claimantIncarnation),
        _check_token(reader.attemptToken, "attempt_token"),
    )


def _convert_departure(data: bytes) -> Depart:
    row = msgspec.msgpack.decode(data, type=ServerRow)
    checked = check_row(row)
    if isinstance(checked, Err):
        raise ValueError(checked.err_value.text)
    if row.phase is ServerPhase.READY:
        raise ValueError(f'server "{row.server_id}" is ready, so it does not leave')
    return Depart(row)


def _fill_settle(builder: Any, command: Settle) -> None:
    builder.tenant = command.tenant
    builder.requestId = command.request_id
    builder.attemptToken = command.attempt_token
    builder.outcome = OUTCOME_NAMES[command.outcome]
    builder.code = command.code
    builder.answer = command.answer


def _convert_settle(reader: Any) -> Settle:
    outcome = find_outcome(reader.outcome)
    if outcome is None:
        raise ValueError("a settlement needs an outcome")
    return Settle(
        TenantName(_check_name(reader.tenant, "tenant")),
        RequestId(_check_name(reader.requestId, "request_id")),
        _check_token(reader.attemptToken, "attempt_token"),
        outcome,
        reader.code,
        check_length(reader.answer, MAX_SETTLE_BYTES, "answer", is_empty_allowed=True),
    )


def compute_settle_size(settlement: Settle) -> int:
    """Return an upper bound for the encoded size of a settlement, in bytes."""
    return len(settlement.answer[: MAX_ANSWER_BYTES + 1]) + SETTLE_OVERHEAD_BYTES
