"""What a control daemon serves to the other daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.entries import NO_MEMBER
from bramleyrouter.consensus.interfaces import LogStatus, Member, ReplicatedLog
from bramleyrouter.control.codecs import LogCommand, decode_command, encode_command
from bramleyrouter.control.freshness import ConfigFreshness, is_current, keep_confirming
from bramleyrouter.control.interfaces import ConfigSource
from bramleyrouter.control.ledger import ledger_full
from bramleyrouter.control.machine import ControlStateMachine
from bramleyrouter.control.messages import (
    Claim,
    ClaimResult,
    Publish,
    PublishRoutes,
    SetAvailability,
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
from bramleyrouter.failures import Failure
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Handler, Network, Peer

# Longest wait for a majority, in seconds; a caller that leaves earlier cancels
# the wait, not the entry.
PROPOSE_TIMEOUT_S = 3.0
BARRIER_TIMEOUT_S = 1.0
# A new member catches up with the log before it votes.
CHANGE_MEMBERS_TIMEOUT_S = 60.0
PEER_FAILURES = frozenset(
    {
        Code.PEER_UNREACHABLE,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
        Code.UNKNOWN_MESSAGE_KIND,
        Code.WIRE_AUTH_FAILED,
    }
)


class Control(NamedTuple):
    """Bundle what ``build_control`` returns; ``close`` ends its background work."""

    source: ConfigSource
    status: Callable[[], LogStatus]
    close: Callable[[], Awaitable[None]]


def build_control(
    network: Network,
    log: ReplicatedLog,
    machine: ControlStateMachine,
    clock: Callable[[], float],
    has_subscribers: bool = True,
) -> Control:
    """Serve configuration and ledger from this member of the log.

    ``log`` replicates ``machine.for_log``. A member that does not lead answers
    ``NOT_LEADER``, whose text is the leader's address or empty. Where no daemon
    subscribes to the configuration, nothing is spent on proving it current.
    """
    freshness = ConfigFreshness()
    network.serve(
        MessageKind.OPERATE,
        _serve_commands(log, (Publish, PublishRoutes, SetAvailability)),
    )
    network.serve(MessageKind.CLAIM, _serve_claims(log, machine))
    network.serve(MessageKind.SETTLE, _serve_commands(log, (tuple,)))
    network.serve(MessageKind.READ_CONFIG, _serve_config(log, machine))
    network.serve(MessageKind.READ_ROUTES, _serve_routes(log, machine))
    network.serve(MessageKind.CONTROL_STATUS, _serve_status(log))
    network.serve(MessageKind.CHANGE_MEMBERS, _serve_member_changes(log))
    confirming: list[asyncio.Task] = []
    if has_subscribers:
        work = keep_confirming(freshness, log, network, clock)
        confirming.append(asyncio.get_running_loop().create_task(work))

    async def close() -> None:
        for task in confirming:
            task.cancel()
        await asyncio.gather(*confirming, return_exceptions=True)

    source = ConfigSource(
        state=machine.config,
        deltas_since=machine.deltas_since,
        watch=machine.watch,
        is_current=lambda: is_current(freshness, clock()),
    )
    return Control(source, log.status, close)


def _serve_commands(log: ReplicatedLog, types: tuple[type, ...]) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = _decode_of(payload, types)
        if isinstance(decoded, Err):
            return decoded
        return await log.propose(payload, PROPOSE_TIMEOUT_S)

    return serve


def _decode_of(payload: bytes, types: tuple[type, ...]) -> Result[LogCommand, Failure]:
    decoded = decode_command(payload)
    if isinstance(decoded, Ok) and not isinstance(decoded.ok_value, types):
        text = "The command is not of the kind of its message."
        return Err(Failure(Code.WIRE_MALFORMED, text))
    return decoded


def _serve_claims(log: ReplicatedLog, machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = _decode_of(payload, (Claim,))
        if isinstance(decoded, Err):
            return decoded
        claim = decoded.ok_value
        if isinstance(claim, Claim) and log.status().is_leader:
            if machine.is_ledger_full_for(claim.tenant, claim.request_id):
                # Refused here, so that a full ledger does not grow the log.
                return Ok(
                    encode_claim_result(ClaimResult(False, failure=ledger_full()))
                )
        return await log.propose(payload, PROPOSE_TIMEOUT_S)

    return serve


def _serve_config(log: ReplicatedLog, machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_read_config(payload)
        if isinstance(decoded, Err):
            return decoded
        proved = await log.read_barrier(BARRIER_TIMEOUT_S)
        if isinstance(proved, Err):
            return proved
        held, state = decoded.ok_value, machine.config()
        is_unchanged = held == (state.revision, state.digest)
        return Ok(encode_config_reply(None if is_unchanged else state))

    return serve


def _serve_routes(log: ReplicatedLog, machine: ControlStateMachine) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        proved = await log.read_barrier(BARRIER_TIMEOUT_S)
        if isinstance(proved, Err):
            return proved
        routes = machine.routes()
        return Ok(encode_command(PublishRoutes(routes.version, routes.document)))

    return serve


def _serve_status(log: ReplicatedLog) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_status_request(payload)
        if isinstance(decoded, Err):
            return decoded
        if decoded.ok_value:
            proved = await log.read_barrier(BARRIER_TIMEOUT_S)
            if isinstance(proved, Err):
                return proved
        return Ok(encode_status(log.status()))

    return serve


def _serve_member_changes(log: ReplicatedLog) -> Handler:
    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_member_change(payload)
        if isinstance(decoded, Err):
            return decoded
        changed = await _change_members(log, decoded.ok_value)
        return changed if isinstance(changed, Err) else Ok(b"")

    return serve


async def _remove_former(log: ReplicatedLog, joining: Member) -> Result[None, Failure]:
    """Remove the member whose data folder was lost at the joining one's address.

    It counts for the majority otherwise, though it can never answer again.
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


async def _change_members(
    log: ReplicatedLog, change: MemberChange
) -> Result[None, Failure]:
    proved = await log.read_barrier(BARRIER_TIMEOUT_S)
    if isinstance(proved, Err):
        return proved
    logging.info("control: member change %s", change)
    if isinstance(change, Member):
        if change in log.status().members:
            return Ok(None)
        replaced = await _remove_former(log, change)
        if isinstance(replaced, Err):
            return replaced
        added = await log.add_member(change, CHANGE_MEMBERS_TIMEOUT_S)
        if isinstance(added, Err) and added.err_value.code in PEER_FAILURES:
            # Not to be taken for a failure to reach this control daemon.
            text = f'No control daemon joins from "{change.address}"'
            failure = Failure(Code.UNKNOWN_MEMBER, f"{text}: {added.err_value.text}")
            return Err(failure)
        return added
    return await log.remove_member(change.member_id, CHANGE_MEMBERS_TIMEOUT_S)
