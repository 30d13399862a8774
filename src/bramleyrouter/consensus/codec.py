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


def _fill_append_request(part, message: AppendRequest) -> None:
    part.prevIndex = message.prev_index
    part.prevTerm = message.prev_term
    part.commitIndex = message.commit_index
    if not message.entries:
        return
    listed = part.init("entries", len(message.entries))
    for position, entry in enumerate(message.entries):
        item = listed[position]
        item.term, item.index, item.stampMs = entry.term, entry.index, entry.stamp_ms
        item.kind, item.command = int(entry.kind), entry.command


def _fill_body(part, message: Message) -> None:
    if isinstance(message, AppendRequest):
        _fill_append_request(part, message)
    elif isinstance(message, AppendReply):
        part.isMatched = message.is_matched
        part.matchIndex = message.match_index
        part.conflictIndex = message.conflict_index
        part.conflictTerm = message.conflict_term
    elif isinstance(message, VoteRequest):
        part.lastIndex, part.lastTerm = message.last_index, message.last_term
        part.isPre = message.is_pre
    elif isinstance(message, VoteReply):
        part.campaign, part.isGranted = message.campaign, message.is_granted
        part.isPre = message.is_pre
    elif isinstance(message, ChunkRequest):
        part.index, part.indexTerm = message.index, message.index_term
        part.offset, part.data = message.offset, message.data
        part.isLast = message.is_last
    else:
        part.index, part.offset = message.index, message.offset
        part.isInstalled = message.is_installed


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


def _read_append_request(root, head: tuple[MemberId, MemberId, Term]) -> AppendRequest:
    part = root.appendRequest
    entries = tuple(map(_read_entry, part.entries))
    for position, entry in enumerate(entries):
        if entry.index != part.prevIndex + 1 + position or entry.term > root.term:
            raise ValueError(f'entry "{entry.index}" is out of place')
    return AppendRequest(
        *head,
        root.sequence,
        LogIndex(part.prevIndex),
        Term(part.prevTerm),
        LogIndex(part.commitIndex),
        entries,
    )


def _read_message(root) -> Message:
    head = (MemberId(root.sender), MemberId(root.target), Term(root.term))
    which = str(root.which())
    part = getattr(root, which)
    if which == "appendRequest":
        return _read_append_request(root, head)
    if which == "appendReply":
        return AppendReply(
            *head,
            root.sequence,
            part.isMatched,
            LogIndex(part.matchIndex),
            LogIndex(part.conflictIndex),
            Term(part.conflictTerm),
        )
    if which == "voteRequest":
        last_index, last_term = LogIndex(part.lastIndex), Term(part.lastTerm)
        return VoteRequest(*head, last_index, last_term, part.isPre)
    if which == "voteReply":
        return VoteReply(*head, Term(part.campaign), part.isGranted, part.isPre)
    index, offset = LogIndex(part.index), part.offset
    if which == "chunkRequest":
        index_term = Term(part.indexTerm)
        return ChunkRequest(
            *head, root.sequence, index, index_term, offset, part.data, part.isLast
        )
    return ChunkReply(*head, root.sequence, index, offset, part.isInstalled)


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
    except (capnp.KjException, ValueError) as exc:
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
    listed = root.init("initialMembers", len(members))
    for position, member in enumerate(members):
        listed[position].memberId = member.member_id
        listed[position].address = member.address
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
