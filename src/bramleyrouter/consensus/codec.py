"""Encode and decode the messages between members."""

from pathlib import Path
from typing import NamedTuple

import capnp
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import (
    MAX_COMMAND_BYTES,
    NO_MEMBER,
    Entry,
    EntryKind,
    MemberRecord,
)
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.messages import (
    AppendReply,
    AppendRequest,
    ChunkReply,
    ChunkRequest,
    Message,
    VoteReply,
    VoteRequest,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex, MemberId, Term
from bramleyrouter.utils.decoding import DECODE_ERRORS

PROTOCOL_VERSION = 1
# Fits one entry of the largest size, or a batch of entries, with their fields.
MAX_MESSAGE_BYTES = MAX_COMMAND_BYTES + 1024 * 1024
MAX_FIRST_MEMBERS = 9

_SCHEMA = capnp.load(str(Path(__file__).with_name("consensus.capnp")))
_FIELDS = {
    VoteRequest: "voteRequest",
    VoteReply: "voteReply",
    AppendRequest: "appendRequest",
    AppendReply: "appendReply",
    ChunkRequest: "chunkRequest",
    ChunkReply: "chunkReply",
}


class Received(NamedTuple):
    """Hold a decoded message and the id of its sender's cluster."""

    cluster_id: str
    message: Message


def _fill_append_request(body, message: AppendRequest) -> None:
    body.prevIndex = message.prev_index
    body.prevTerm = message.prev_term
    body.commitIndex = message.commit_index
    if not message.entries:
        return
    list_builder = body.init("entries", len(message.entries))
    for position, entry in enumerate(message.entries):
        item = list_builder[position]
        item.term, item.index, item.stampMs = entry.term, entry.index, entry.stamp_ms
        item.kind, item.command = int(entry.kind), entry.command


def _fill_body(body, message: Message) -> None:
    if isinstance(message, AppendRequest):
        _fill_append_request(body, message)
    elif isinstance(message, AppendReply):
        body.isMatched = message.is_matched
        body.matchIndex = message.match_index
        body.conflictIndex = message.conflict_index
        body.conflictTerm = message.conflict_term
    elif isinstance(message, VoteRequest):
        body.lastIndex, body.lastTerm = message.last_index, message.last_term
        body.isPre = message.is_pre
    elif isinstance(message, VoteReply):
        body.campaign, body.isGranted = message.campaign, message.is_granted
        body.isPre = message.is_pre
    elif isinstance(message, ChunkRequest):
        body.index, body.indexTerm = message.index, message.index_term
        body.offset, body.data = message.offset, message.data
        body.isLast = message.is_last
    else:
        body.index, body.offset = message.index, message.offset
        body.isInstalled = message.is_installed


def encode_message(cluster_id: str, message: Message) -> bytes:
    """Encode a message of the cluster ``cluster_id``."""
    root = _SCHEMA.Message.new_message()
    root.protocolVersion = PROTOCOL_VERSION
    root.clusterId = cluster_id
    root.sender, root.target = message.sender, message.target
    root.term = message.term
    if not isinstance(message, VoteRequest | VoteReply):
        root.sequence = message.sequence
    _fill_body(root.init(_FIELDS[type(message)]), message)
    return root.to_bytes()


def _read_entry(item) -> Entry:
    return Entry(
        Term(item.term),
        LogIndex(item.index),
        item.stampMs,
        EntryKind(item.kind),
        item.command,
    )


def _read_append_request(
    root, common_fields: tuple[MemberId, MemberId, Term]
) -> AppendRequest:
    body = root.appendRequest
    entries = tuple(map(_read_entry, body.entries))
    for position, entry in enumerate(entries):
        if entry.index != body.prevIndex + 1 + position or entry.term > root.term:
            raise ValueError(f'entry "{entry.index}" is out of place')
    return AppendRequest(
        *common_fields,
        root.sequence,
        LogIndex(body.prevIndex),
        Term(body.prevTerm),
        LogIndex(body.commitIndex),
        entries,
    )


def _read_message(root) -> Message:
    common_fields = (MemberId(root.sender), MemberId(root.target), Term(root.term))
    which = str(root.which())
    body = getattr(root, which)
    if which == "appendRequest":
        return _read_append_request(root, common_fields)
    if which == "appendReply":
        return AppendReply(
            *common_fields,
            root.sequence,
            body.isMatched,
            LogIndex(body.matchIndex),
            LogIndex(body.conflictIndex),
            Term(body.conflictTerm),
        )
    if which == "voteRequest":
        last_index, last_term = LogIndex(body.lastIndex), Term(body.lastTerm)
        return VoteRequest(*common_fields, last_index, last_term, body.isPre)
    if which == "voteReply":
        return VoteReply(
            *common_fields, Term(body.campaign), body.isGranted, body.isPre
        )
    index, offset = LogIndex(body.index), body.offset
    if which == "chunkRequest":
        index_term = Term(body.indexTerm)
        return ChunkRequest(
            *common_fields,
            root.sequence,
            index,
            index_term,
            offset,
            body.data,
            body.isLast,
        )
    return ChunkReply(*common_fields, root.sequence, index, offset, body.isInstalled)


def _build_version_failure(version: int) -> Err[Failure]:
    text = f'Protocol version "{version}" was received; "{PROTOCOL_VERSION}" expected.'
    return Err(Failure(Code.WIRE_VERSION, text))


def _decode_bounded(payload: bytes, schema, read) -> Result:
    if len(payload) > MAX_MESSAGE_BYTES:
        text = f"A consensus message of {len(payload)} bytes was received."
        return Err(Failure(Code.WIRE_TOO_LARGE, text))
    try:
        with schema.from_bytes(payload) as root:
            if root.protocolVersion != PROTOCOL_VERSION:
                return _build_version_failure(root.protocolVersion)
            return Ok(read(root))
    except (capnp.KjException, *DECODE_ERRORS) as exc:
        # Only the first line is the reason; the following lines of the library's
        # text are code addresses (a stack trace).
        reason = str(exc).partition("\n")[0]
        text = f"A consensus message can't be decoded: {reason}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


def decode_message(payload: bytes) -> Result[Received, Failure]:
    """Decode a message; fail with a ``WIRE_*`` code."""
    return _decode_bounded(
        payload,
        _SCHEMA.Message,
        lambda root: Received(root.clusterId, _read_message(root)),
    )


class Presence(NamedTuple):
    """Hold what a member reports of itself: its address and member record."""

    address: str
    member_record: MemberRecord


def encode_presence(presence: Presence) -> bytes:
    """Encode a ``Presence``."""
    root = _SCHEMA.Presence.new_message()
    root.protocolVersion = PROTOCOL_VERSION
    root.memberId, root.address = presence.member_record.member_id, presence.address
    root.clusterId = presence.member_record.cluster_id
    root.isActive = presence.member_record.is_active
    members = presence.member_record.initial_members
    list_builder = root.init("initialMembers", len(members))
    for position, member in enumerate(members):
        list_builder[position].memberId = member.member_id
        list_builder[position].address = member.address
    return root.to_bytes()


def _read_presence(root) -> Presence:
    if len(root.initialMembers) > MAX_FIRST_MEMBERS or root.memberId == NO_MEMBER:
        raise ValueError("the list of members or the member id has a wrong size")
    members = tuple(
        Member(MemberId(item.memberId), item.address) for item in root.initialMembers
    )
    member_id = MemberId(root.memberId)
    member_record = MemberRecord(member_id, root.clusterId, members, root.isActive)
    return Presence(root.address, member_record)


def decode_presence(payload: bytes) -> Result[Presence, Failure]:
    """Decode a ``Presence``; fail with a ``WIRE_*`` code."""
    return _decode_bounded(payload, _SCHEMA.Presence, _read_presence)
