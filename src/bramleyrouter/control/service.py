"""Serve the requests that other daemons send to a control daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import NO_MEMBER
from bramleyrouter.consensus.interfaces import LogStatus, Member, ReplicatedLog
from bramleyrouter.control.codecs import LogCommand, decode_command, encode_command
from bramleyrouter.control.freshness import (
    ConfigFreshness,
    confirm_periodically,
    is_current,
)
from bramleyrouter.control.interfaces import ConfigSource
from bramleyrouter.control.ledger import build_ledger_full_failure
from bramleyrouter.control.messages import (
    Claim,
    ClaimResult,
    Depart,
    Publish,
    PublishRoutes,
    SetAvailability,
    StartRollout,
)
from bramleyrouter.control.replies import (
    MemberChange,
    decode_member_change,
    decode_read_config,
    decode_status_request,
    encode_claim_result,
    encode_config_reply,
    encode_status,
)
from bramleyrouter.control.state_machine import ControlStateMachine
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import encode_rollouts
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Handler, Network, Peer

# Longest wait for a majority. A requester that disconnects earlier cancels the
# wait but not the proposed entry.
PROPOSE_TIMEOUT_S = 3.0
BARRIER_TIMEOUT_S = 1.0
# Long, because a new member has to catch up with the log before it votes.
CHANGE_MEMBERS_TIMEOUT_S = 60.0
PEER_FAILURE_CODES = frozenset(
    {
        Code.PEER_UNREACHABLE,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
        Code.UNKNOWN_MESSAGE_KIND,
        Code.WIRE_AUTH_FAILED,
    }
)


class ControlService(NamedTuple):
    """Bundle access to a running service; ``close`` stops its background task."""

    source: ConfigSource
    status: Callable[[], LogStatus]
    close: Callable[[], Awaitable[None]]


def start_control_service(
    network: Network,
    log: ReplicatedLog,
    state_machine: ControlStateMachine,
    clock: Callable[[], float],
    has_subscribers: bool = True,
) -> ControlService:
    """Serve the configuration and the ledger from this member of the log.

    ``log`` replicates ``state_machine.for_log``. A member that does not lead replies
    ``NOT_LEADER`` with the leader's address, if known, as the text. Without
    ``has_subscribers`` the configuration is not confirmed periodically, as no
    daemon needs to know whether it is current.
    """
    freshness = ConfigFreshness()
    network.serve(
        MessageKind.OPERATE,
        _serve_commands(
            log, (Publish, PublishRoutes, SetAvailability, Depart, StartRollout)
        ),
    )
    network.serve(MessageKind.CLAIM, _serve_claims(log, state_machine))
    # Settlements are decoded as a tuple, as they are sent in batches.
    network.serve(MessageKind.SETTLE, _serve_commands(log, (tuple,)))
    network.serve(MessageKind.READ_CONFIG, _serve_config(log, state_machine))
    network.serve(MessageKind.READ_ROUTES, _serve_routes(log, state_machine))
    network.serve(MessageKind.READ_ROLLOUTS, _serve_rollouts(log, state_machine))
    network.serve(MessageKind.CONTROL_STATUS, _serve_status(log))
    network.serve(MessageKind.CHANGE_MEMBERS, _serve_member_changes(log))
    confirm_tasks: list[asyncio.Task] = []
    if has_subscribers:
        coroutine = confirm_periodically(freshness, log, network, clock)
        confirm_tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def close() -> None:
        for task in confirm_tasks:
            task.cancel()
        await asyncio.gather(*confirm_tasks, return_exceptions=True)

    source = ConfigSource(
        state=state_machine.config,
        deltas_since=state_machine.deltas_since,
        watch=state_machine.watch,
        is_current=lambda: is_current(freshness, clock()),
    )
    return ControlService(source, log.status, close)


def _serve_commands(log: ReplicatedLog, types: tuple[type, ...]) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = _decode_command_of_type(payload, types)
        if isinstance(decoded, Err):
            return decoded
        return await log.propose(payload, PROPOSE_TIMEOUT_S)

    return serve


def _decode_command_of_type(
    payload: bytes, types: tuple[type, ...]
) -> Result[LogCommand, Failure]:
    decoded = decode_command(payload)
    if isinstance(decoded, Ok) and not isinstance(decoded.ok_value, types):
        text = "The command is not of the kind of its message."
        return Err(Failure(Code.WIRE_MALFORMED, text))
    return decoded


def _serve_claims(log: ReplicatedLog, state_machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = _decode_command_of_type(payload, (Claim,))
        if isinstance(decoded, Err):
            return decoded
        claim = decoded.ok_value
        if isinstance(claim, Claim) and log.status().is_leader:
            if state_machine.is_ledger_full_for(claim.tenant, claim.request_id):
                # Refused without a log entry, as the log would otherwise grow with
                # each refused claim.
                return Ok(
                    encode_claim_result(
                        ClaimResult(False, failure=build_ledger_full_failure())
                    )
                )
        return await log.propose(payload, PROPOSE_TIMEOUT_S)

    return serve


def _serve_config(log: ReplicatedLog, state_machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_read_config(payload)
        if isinstance(decoded, Err):
            return decoded
        proof = await log.read_barrier(BARRIER_TIMEOUT_S)
        if isinstance(proof, Err):
            return proof
        last_known, state = decoded.ok_value, state_machine.config()
        is_unchanged = last_known == (state.revision, state.digest)
        return Ok(encode_config_reply(None if is_unchanged else state))

    return serve


def _serve_routes(log: ReplicatedLog, state_machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        proof = await log.read_barrier(BARRIER_TIMEOUT_S)
        if isinstance(proof, Err):
            return proof
        routes = state_machine.routes()
        return Ok(encode_command(PublishRoutes(routes.version, routes.document)))

    return serve


def _serve_rollouts(log: ReplicatedLog, state_machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        proof = await log.read_barrier(BARRIER_TIMEOUT_S)
        if isinstance(proof, Err):
            return proof
        rollouts = state_machine.rollouts()
        return Ok(encode_rollouts(rollouts.by_service.values()))

    return serve


def _serve_status(log: ReplicatedLog) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_status_request(payload)
        if isinstance(decoded, Err):
            return decoded
        if decoded.ok_value:
            proof = await log.read_barrier(BARRIER_TIMEOUT_S)
            if isinstance(proof, Err):
                return proof
        return Ok(encode_status(log.status()))

    return serve


def _serve_member_changes(log: ReplicatedLog) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_member_change(payload)
        if isinstance(decoded, Err):
            return decoded
        changed = await _apply_member_change(log, decoded.ok_value)
        return changed if isinstance(changed, Err) else Ok(b"")

    return serve


async def _remove_former_member(
    log: ReplicatedLog, joining: Member
) -> Result[None, Failure]:
    """Remove the member that had the joining member's address before.

    Its data folder was lost, so it will never reply again, but it would still
    count towards the majority.
    """
    if joining.member_id == NO_MEMBER:
        return Ok(None)
    for member in log.status().members:
        if member.address != joining.address:
            continue
        if member.member_id != joining.member_id:
            removed = await log.remove_member(
                member.member_id, CHANGE_MEMBERS_TIMEOUT_S
            )
            if isinstance(removed, Err):
                return removed
    return Ok(None)


async def _apply_member_change(
    log: ReplicatedLog, change: MemberChange
) -> Result[None, Failure]:
    proof = await log.read_barrier(BARRIER_TIMEOUT_S)
    if isinstance(proof, Err):
        return proof
    logging.info("control: changing the members of the log: %s", change)
    if isinstance(change, Member):
        if change in log.status().members:
            return Ok(None)
        replaced = await _remove_former_member(log, change)
        if isinstance(replaced, Err):
            return replaced
        added = await log.add_member(change, CHANGE_MEMBERS_TIMEOUT_S)
        if isinstance(added, Err) and added.err_value.code in PEER_FAILURE_CODES:
            # The original code would tell the client that this control daemon could not
            # be reached.
            text = f'No control daemon joins from "{change.address}"'
            failure = Failure(Code.UNKNOWN_MEMBER, f"{text}: {added.err_value.text}")
            return Err(failure)
        return added
    return await log.remove_member(change.member_id, CHANGE_MEMBERS_TIMEOUT_S)
