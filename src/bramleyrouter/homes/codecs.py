"""Convert the messages of the homes to bytes and back.

Decoding returns a ``Failure`` for a message that is truncated, too large, of
another protocol version, or that holds a value out of its range.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import capnp
from result import Err, Ok, Result

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import (
    Announcement,
    AnnouncementReply,
    GroupReply,
    LeaseToken,
    ServerGroup,
    ShardBatch,
    SubmitReply,
    SubmitRequest,
)
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.states import Outcome, ServerState
from bramleyrouter.utils.decoding import DECODE_ERRORS

PROTOCOL_VERSION = 1
# Slightly less than the largest frame on the wire.
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024 - 4096
# A batch names at most the servers of one home, and a group at most the shards of
# one server. ``MAX_GROUPS`` also bounds the services that a server announces. Both
# limits are far above the sizes in docs/design.md.
MAX_GROUPS = 4096
MAX_SHARDS = 16384

_SCHEMA = capnp.load(str(Path(__file__).with_name("homes.capnp")))

T = TypeVar("T")


class Handover(NamedTuple):
    """Hand a server over to another home.

    The server is already warm, so the new home continues its ramp from
    ``ramp_limit`` and from ``baseline_s``, the latency baseline in seconds.
    """

    announcement: Announcement
    ramp_limit: int
    baseline_s: float


class Withdrawal(NamedTuple):
    """Forward a server's withdrawal to its home."""

    server_id: ServerId
    incarnation: ServerIncarnation


def _decode(
    schema: Any, payload: bytes, read: Callable[[Any], T]
) -> Result[T, Failure]:
    if len(payload) > MAX_PAYLOAD_BYTES:
        text = f'A message of "{len(payload)}" bytes came.'
        return Err(Failure(Code.WIRE_TOO_LARGE, text))
    try:
        with schema.from_bytes(payload) as message:
            if message.protocolVersion != PROTOCOL_VERSION:
                text = (
                    f'Protocol version "{message.protocolVersion}" was received; '
                    f'"{PROTOCOL_VERSION}" was expected.'
                )
                return Err(Failure(Code.WIRE_VERSION, text))
            return Ok(read(message))
    except (capnp.KjException, *DECODE_ERRORS) as exc:
        text = f"The message can't be decoded: {str(exc)[:200]}"
        return Err(Failure(Code.WIRE_MALFORMED, text))


def _check_length(items: Any, limit: int) -> Any:
    if len(items) > limit:
        raise ValueError(f'A list of "{len(items)}" came; at most "{limit}".')
    return items


def encode_batch(batch: ShardBatch) -> bytes:
    message = _SCHEMA.ShardBatch.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    message.requestId = batch.request_id
    message.tenant = batch.tenant
    message.className = batch.class_name
    message.version = batch.version
    message.revision = batch.revision
    message.remainingS = batch.remaining_s
    message.isStale = batch.is_stale
    message.query = batch.query
    groups = message.init("groups", len(batch.groups))
    for builder, group in zip(groups, batch.groups, strict=True):
        builder.serverId = group.server_id
        builder.attempt = group.attempt
        builder.service = group.service
        builder.shards = group.shards
    return message.to_bytes()


def _read_group(group: Any) -> ServerGroup:
    shards = tuple(_check_length(group.shards, MAX_SHARDS))
    return ServerGroup(group.serverId, group.attempt, group.service, shards)


def decode_batch(payload: bytes) -> Result[ShardBatch, Failure]:
    def read(message: Any) -> ShardBatch:
        return ShardBatch(
            message.requestId,
            message.tenant,
            message.className,
            message.version,
            message.revision,
            message.remainingS,
            message.isStale,
            tuple(map(_read_group, _check_length(message.groups, MAX_GROUPS))),
            message.query,
        )

    return _decode(_SCHEMA.ShardBatch, payload, read)


def encode_replies(replies: list[GroupReply]) -> bytes:
    message = _SCHEMA.GroupReplies.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    builders = message.init("replies", len(replies))
    for builder, reply in zip(builders, replies, strict=True):
        builder.serverId = reply.server_id
        builder.attempt = reply.attempt
        builder.version = reply.version
        builder.code = int(reply.code)
        if reply.text:
            builder.text = reply.text
        results = builder.init("results", len(reply.results))
        for item, (shard, body) in zip(results, reply.results.items(), strict=True):
            item.shard = shard
            item.body = body
        builder.queueS = reply.queue_s
        builder.serviceS = reply.service_s
        builder.inFlight = reply.in_flight
        builder.headroom = reply.headroom
    return message.to_bytes()


def _read_reply(reply: Any) -> GroupReply:
    results = _check_length(reply.results, MAX_SHARDS)
    return GroupReply(
        reply.serverId,
        reply.attempt,
        reply.version,
        Code(reply.code),
        reply.text,
        {item.shard: item.body for item in results},
        reply.queueS,
        reply.serviceS,
        reply.inFlight,
        reply.headroom,
    )


def decode_replies(payload: bytes) -> Result[list[GroupReply], Failure]:
    def read(message: Any) -> list[GroupReply]:
        return list(map(_read_reply, _check_length(message.replies, MAX_GROUPS)))

    return _decode(_SCHEMA.GroupReplies, payload, read)


def encode_submit_request(request: SubmitRequest) -> bytes:
    message = _SCHEMA.SubmitRequest.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    message.requestId = request.request_id
    message.tenant = request.tenant
    message.className = request.class_name
    message.revision = request.revision
    message.remainingS = request.remaining_s
    message.isStale = request.is_stale
    message.serverId = request.server_id
    message.service = request.service
    message.shard = request.shard
    message.operation = request.operation
    return message.to_bytes()


def decode_submit_request(payload: bytes) -> Result[SubmitRequest, Failure]:
    def read(message: Any) -> SubmitRequest:
        return SubmitRequest(
            message.requestId,
            message.tenant,
            message.className,
            message.revision,
            message.remainingS,
            message.isStale,
            message.serverId,
            message.service,
            message.shard,
            message.operation,
        )

    return _decode(_SCHEMA.SubmitRequest, payload, read)


def encode_submit_reply(reply: SubmitReply) -> bytes:
    message = _SCHEMA.SubmitReply.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    message.outcome = reply.outcome.value
    message.code = int(reply.code)
    message.text = reply.text
    message.answer = reply.answer
    return message.to_bytes()


def decode_submit_reply(payload: bytes) -> Result[SubmitReply, Failure]:
    def read(message: Any) -> SubmitReply:
        return SubmitReply(
            Outcome(message.outcome), Code(message.code), message.text, message.answer
        )

    return _decode(_SCHEMA.SubmitReply, payload, read)


def _write_lease(builder: Any, lease: LeaseToken) -> None:
    builder.home = lease.home
    builder.homeIncarnation = lease.home_incarnation
    builder.registration = lease.registration
    builder.stampS = lease.stamp_s


def _read_lease(lease: Any) -> LeaseToken:
    return LeaseToken(
        lease.home, lease.homeIncarnation, lease.registration, lease.stampS
    )


def _write_announcement(builder: Any, announcement: Announcement) -> None:
    builder.protocolVersion = PROTOCOL_VERSION
    builder.serverId = announcement.server_id
    builder.incarnation = announcement.incarnation
    builder.registration = announcement.registration
    builder.sequence = announcement.sequence
    builder.dataCentre = announcement.data_centre
    builder.address = announcement.address
    builder.state = announcement.state.value
    builder.slots = announcement.slots
    builder.connectionLimit = announcement.connection_limit
    builder.holdings = [
        {
            "service": holding.service,
            "shards": [
                {"shard": shard, "versions": list(versions)}
                for shard, versions in holding.shards.items()
            ],
        }
        for holding in announcement.holdings
    ]
    if announcement.lease is not None:
        builder.hasLease = True
        _write_lease(builder.init("lease"), announcement.lease)


def _read_holding(holding: Any) -> ServiceHolding:
    shards = _check_length(holding.shards, MAX_SHARDS)
    return ServiceHolding(
        holding.service, {item.shard: tuple(item.versions) for item in shards}
    )


def _read_announcement(message: Any) -> Announcement:
    return Announcement(
        message.serverId,
        message.incarnation,
        message.registration,
        message.sequence,
        message.dataCentre,
        message.address,
        ServerState(message.state),
        message.slots,
        message.connectionLimit,
        tuple(map(_read_holding, _check_length(message.holdings, MAX_GROUPS))),
        _read_lease(message.lease) if message.hasLease else None,
    )


def encode_announcement(announcement: Announcement) -> bytes:
    message = _SCHEMA.Announcement.new_message()
    _write_announcement(message, announcement)
    return message.to_bytes()


def decode_announcement(payload: bytes) -> Result[Announcement, Failure]:
    return _decode(_SCHEMA.Announcement, payload, _read_announcement)


def encode_announcement_reply(reply: AnnouncementReply) -> bytes:
    message = _SCHEMA.AnnouncementReply.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    _write_lease(message.init("lease"), reply.lease)
    message.homeHttpAddress = reply.home_http_address
    message.renewAfterS = reply.renew_after_s
    return message.to_bytes()


def decode_announcement_reply(payload: bytes) -> Result[AnnouncementReply, Failure]:
    def read(message: Any) -> AnnouncementReply:
        return AnnouncementReply(
            _read_lease(message.lease), message.homeHttpAddress, message.renewAfterS
        )

    return _decode(_SCHEMA.AnnouncementReply, payload, read)


def encode_handover(handover: Handover) -> bytes:
    message = _SCHEMA.Handover.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    _write_announcement(message.init("announcement"), handover.announcement)
    message.rampLimit = handover.ramp_limit
    message.baselineS = handover.baseline_s
    return message.to_bytes()


def decode_handover(payload: bytes) -> Result[Handover, Failure]:
    def read(message: Any) -> Handover:
        announcement = _read_announcement(message.announcement)
        return Handover(announcement, message.rampLimit, message.baselineS)

    return _decode(_SCHEMA.Handover, payload, read)


def encode_withdrawal(withdrawal: Withdrawal) -> bytes:
    message = _SCHEMA.Withdrawal.new_message()
    message.protocolVersion = PROTOCOL_VERSION
    message.serverId = withdrawal.server_id
    message.incarnation = withdrawal.incarnation
    return message.to_bytes()


def decode_withdrawal(payload: bytes) -> Result[Withdrawal, Failure]:
    def read(message: Any) -> Withdrawal:
        return Withdrawal(message.serverId, message.incarnation)

    return _decode(_SCHEMA.Withdrawal, payload, read)
