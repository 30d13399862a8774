"""Handle requests of other members, and bootstrap with the first members."""

import asyncio
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.bootstrap import (
    compute_next_member_record,
    compute_survivor_record,
    list_addresses_to_ask,
)
from bramleyrouter.consensus.codec import (
    Presence,
    decode_message,
    decode_presence,
    encode_message,
    encode_presence,
)
from bramleyrouter.consensus.driver import call_when_synced, dispatch, schedule_timer
from bramleyrouter.consensus.entries import NO_MEMBER, MemberRecord
from bramleyrouter.consensus.membership_changes import request_presence
from bramleyrouter.consensus.messages import (
    AppendRequest,
    ChunkRequest,
    Message,
    Request,
)
from bramleyrouter.consensus.node import Node
from bramleyrouter.consensus.raft_state import Incoming, SendReply, reset_election_timer
from bramleyrouter.consensus.storage import SaveMemberRecord
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Peer

BOOTSTRAP_POLL_S = 0.2


def _build_error(code: Code, text: str) -> Err[Failure]:
    return Err(Failure(code, text))


def update_member_record(node: Node, member_record: MemberRecord) -> None:
    """Queue the new member record for the disk; start the core if it is active.

    The record is written before all later jobs, so no reply is sent before it
    is durable.
    """
    node.member_record = member_record
    node.jobs.append(SaveMemberRecord(member_record))
    node.writer_wakeup.set()
    if not member_record.is_active:
        return
    node.raft.configs[0] = (LogIndex(0), member_record.initial_members)
    now = asyncio.get_running_loop().time()
    reset_election_timer(node.raft, now)
    if len(member_record.initial_members) == 1:
        # No other member can be elected, so there is no need to wait.
        node.raft.election_due = now
    logging.info(
        "consensus: %s became an active member of cluster %s.",
        member_record.member_id,
        member_record.cluster_id,
    )
    schedule_timer(node)


def _activate_on_leader_message(node: Node, cluster_id: str, message: Message) -> bool:
    """Become active if the message comes from a leader; return whether it does.

    This is safe: a leader sends only to members of its configuration, which
    contains this member's id, and a leader exists only after all first members
    whose ids still exist have stored the initial configuration.
    """
    own = node.member_record
    if not isinstance(message, AppendRequest | ChunkRequest):
        return False
    if own.cluster_id not in ("", cluster_id):
        return False
    member_record = MemberRecord(own.member_id, cluster_id, own.initial_members, True)
    update_member_record(node, member_record)
    return True


def _find_refusal(node: Node, cluster_id: str, message: Message) -> Failure | None:
    if node.failure is not None:
        return node.failure
    if not isinstance(message, Request):
        return Failure(Code.WIRE_MALFORMED, "A reply was received as a request.")
    if message.target != node.member_record.member_id:
        text = (
            f'Member "{message.target}" is not here; '
            f'"{node.member_record.member_id}" is.'
        )
        return Failure(Code.UNKNOWN_MEMBER, text)
    if not node.member_record.is_active:
        if _activate_on_leader_message(node, cluster_id, message):
            return None
        text = f'Member "{node.member_record.member_id}" is not active yet.'
        return Failure(Code.NOT_READY, text)
    if cluster_id != node.member_record.cluster_id:
        text = (
            f'Cluster "{cluster_id}" was named; '
            f'this is "{node.member_record.cluster_id}".'
        )
        return Failure(Code.UNKNOWN_MEMBER, text)
    return None


async def _wait_until_synced(node: Node) -> Result[None, Failure]:
    """Wait until all write jobs queued so far are durable, or the disk has failed."""
    if node.failure is not None:
        return Err(node.failure)
    fut = asyncio.get_running_loop().create_future()

    def finish() -> None:
        if not fut.done():
            fut.set_result(None)

    call_when_synced(node, finish)
    node.failure_callbacks.append(finish)
    try:
        await fut
    finally:
        node.failure_callbacks.remove(finish)
    return Ok(None) if node.failure is None else Err(node.failure)


async def _serve_member(
    node: Node, peer: Peer, payload: bytes
) -> Result[bytes, Failure]:
    decoded = decode_message(payload)
    if isinstance(decoded, Err):
        logging.warning(
            "consensus: a message from %s could not be decoded: %s",
            peer.address,
            decoded.err_value,
        )
        return decoded
    cluster_id, message = decoded.ok_value
    refusal = _find_refusal(node, cluster_id, message)
    if refusal is not None:
        return Err(refusal)
    replies = dispatch(node, Incoming(message))
    send_reply = next((item for item in replies if isinstance(item, SendReply)), None)
    if send_reply is None:
        return _build_error(Code.NOT_READY, "This member is stopped.")
    if send_reply.after_sync:
        synced = await _wait_until_synced(node)
        if isinstance(synced, Err):
            return synced
    return Ok(encode_message(node.member_record.cluster_id, send_reply.message))


async def _serve_presence(
    node: Node, peer: Peer, payload: bytes
) -> Result[bytes, Failure]:
    decoded = decode_presence(payload)
    if isinstance(decoded, Err):
        return decoded
    # The record must be durable before it is reported.
    member_record = node.member_record
    synced = await _wait_until_synced(node)
    if isinstance(synced, Err):
        return synced
    return Ok(encode_presence(Presence(node.address, member_record)))


def register_handlers(node: Node) -> None:
    """Register the handlers for requests of other members."""

    async def serve_member(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        return await _serve_member(node, peer, payload)

    async def serve_presence(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        return await _serve_presence(node, peer, payload)

    for kind in (
        MessageKind.PRE_VOTE,
        MessageKind.VOTE,
        MessageKind.APPEND,
        MessageKind.INSTALL_SNAPSHOT,
    ):
        node.network.serve(kind, serve_member)
    node.network.serve(MessageKind.PRESENCE, serve_presence)


async def _poll_first_members(node: Node, new_id: Callable[[], str]) -> None:
    others = list_addresses_to_ask(node.member_record, node.address, node.first_members)
    outcomes = await asyncio.gather(*(request_presence(node, item) for item in others))
    reported_records = {
        address: outcome.ok_value.member_record
        for address, outcome in zip(others, outcomes, strict=True)
        if isinstance(outcome, Ok)
    }
    if node.member_record.is_active:
        member_record = None
        if _may_lose_its_majority(node) and not _has_leader(node):
            member_record = compute_survivor_record(
                node.member_record,
                node.address,
                reported_records,
                node.tolerated_losses,
            )
    else:
        member_record = compute_next_member_record(
            node.member_record,
            node.address,
            node.first_members,
            reported_records,
            new_id(),
            node.may_initiate or node.member_record.may_initiate,
            node.tolerated_losses,
        )
    if member_record is not None:
        update_member_record(node, member_record)


def _may_lose_its_majority(node: Node) -> bool:
    """Return whether ids may be missing that the predefined configuration lists."""
    member_record, configs = node.member_record, node.raft.configs
    is_in_force = len(configs) == 1 and configs[0][0] == 0
    has_others = len(member_record.initial_members) > 1
    return member_record.is_predefined and is_in_force and has_others


def _has_leader(node: Node) -> bool:
    return node.is_leader or node.raft.leader_id != NO_MEMBER


async def run_bootstrap(node: Node, new_id: Callable[[], str]) -> None:
    """Exchange member records with the first members until this one is active.

    In a predefined configuration they are also asked while there is no leader, until
    another configuration is in force.
    """
    while node.failure is None and (
        not node.member_record.is_active or _may_lose_its_majority(node)
    ):
        if not node.member_record.is_active or not _has_leader(node):
            await _poll_first_members(node, new_id)
        await asyncio.sleep(BOOTSTRAP_POLL_S)
