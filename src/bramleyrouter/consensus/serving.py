"""Serve the other members' requests, and the exchange of the first members."""

import asyncio
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.bootstrap import next_phase
from bramleyrouter.consensus.changes import ask_presence
from bramleyrouter.consensus.codec import (
    Presence,
    decode_message,
    decode_presence,
    encode_message,
    encode_presence,
)
from bramleyrouter.consensus.driver import arm_timer, dispatch, when_synced
from bramleyrouter.consensus.entries import Phase
from bramleyrouter.consensus.messages import (
    AppendRequest,
    ChunkRequest,
    Message,
    Request,
)
from bramleyrouter.consensus.node import Node
from bramleyrouter.consensus.raft_state import Answer, Incoming, reset_election
from bramleyrouter.consensus.storage import SavePhase
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Peer

BOOTSTRAP_POLL_S = 0.2


def _refuse(code: Code, text: str) -> Err[Failure]:
    return Err(Failure(code, text))


def set_phase(node: Node, phase: Phase) -> None:
    """Queue the new phase for the disk; start the core when it is active.

    The phase precedes all later jobs, so nothing is answered before it is
    durable.
    """
    node.phase = phase
    node.jobs.append(SavePhase(phase))
    node.wake.set()
    if not phase.is_active:
        return
    node.raft.configs[0] = (LogIndex(0), phase.initial_members)
    now = asyncio.get_running_loop().time()
    reset_election(node.raft, now)
    if len(phase.initial_members) == 1:
        # Nobody else can lead.
        node.raft.election_due = now
    logging.info(
        "consensus: %s is a member of cluster %s.", phase.member_id, phase.cluster_id
    )
    arm_timer(node)


def _join(node: Node, cluster_id: str, message: Message) -> bool:
    """Become active because a leader of the cluster sends this member entries.

    A leader sends only to members of its configuration, which names this
    member's id; and there is a leader only once all first members stored the
    initial configuration.
    """
    own = node.phase
    if not isinstance(message, AppendRequest | ChunkRequest):
        return False
    if own.cluster_id not in ("", cluster_id):
        return False
    phase = Phase(own.member_id, cluster_id, own.initial_members, True)
    set_phase(node, phase)
    return True


def _check(node: Node, cluster_id: str, message: Message) -> Failure | None:
    if node.failure is not None:
        return node.failure
    if not isinstance(message, Request):
        return Failure(Code.WIRE_MALFORMED, "A reply was received as a request.")
    if message.target != node.phase.member_id:
        text = f'Member "{message.target}" is not here; "{node.phase.member_id}" is.'
        return Failure(Code.UNKNOWN_MEMBER, text)
    if not node.phase.is_active:
        if _join(node, cluster_id, message):
            return None
        text = f'Member "{node.phase.member_id}" is not active yet.'
        return Failure(Code.NOT_READY, text)
    if cluster_id != node.phase.cluster_id:
        text = f'Cluster "{cluster_id}" was named; this is "{node.phase.cluster_id}".'
        return Failure(Code.UNKNOWN_MEMBER, text)
    return None


async def _synced(node: Node) -> None:
    """Wait until all that was queued so far is durable."""
    fut = asyncio.get_running_loop().create_future()

    def finish() -> None:
        if not fut.done():
            fut.set_result(None)

    when_synced(node, finish)
    await fut


async def _serve_member(
    node: Node, peer: Peer, payload: bytes
) -> Result[bytes, Failure]:
    decoded = decode_message(payload)
    if isinstance(decoded, Err):
        logging.warning("consensus: %s sent: %s", peer.address, decoded.err_value)
        return decoded
    cluster_id, message = decoded.ok_value
    refused = _check(node, cluster_id, message)
    if refused is not None:
        return Err(refused)
    answers = dispatch(node, Incoming(message))
    answer = next((item for item in answers if isinstance(item, Answer)), None)
    if answer is None:
        return _refuse(Code.NOT_READY, "This member is stopped.")
    if answer.after_sync:
        await _synced(node)
    return Ok(encode_message(node.phase.cluster_id, answer.message))


async def _serve_presence(
    node: Node, peer: Peer, payload: bytes
) -> Result[bytes, Failure]:
    decoded = decode_presence(payload)
    if isinstance(decoded, Err):
        return decoded
    if node.failure is not None:
        return Err(node.failure)
    # What is not durable yet must not be reported.
    phase = node.phase
    await _synced(node)
    return Ok(encode_presence(Presence(node.address, phase)))


def serve_members(node: Node) -> None:
    """Register the handlers of this member."""

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
    others = [item for item in node.first_members if item != node.address]
    outcomes = await asyncio.gather(*(ask_presence(node, item) for item in others))
    heard = {
        address: outcome.ok_value.phase
        for address, outcome in zip(others, outcomes, strict=True)
        if isinstance(outcome, Ok)
    }
    phase = next_phase(node.phase, node.address, node.first_members, heard, new_id())
    if phase is not None:
        set_phase(node, phase)


async def bootstrap_loop(node: Node, new_id: Callable[[], str]) -> None:
    """Exchange presences until this member is active."""
    while not node.phase.is_active and node.failure is None:
        await _poll_first_members(node, new_id)
        await asyncio.sleep(BOOTSTRAP_POLL_S)
