"""Clients for the control daemons: configuration, ledger and administration."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.codecs import decode_command, try_encode_command
from bramleyrouter.control.interfaces import ControlAdmin, ControlClient, Operation
from bramleyrouter.control.leader_client import (
    Attempts,
    LeaderClient,
    add_address,
    call_leader,
)
from bramleyrouter.control.ledger import (
    build_invalid_identity_failure,
    parse_created_ms,
)
from bramleyrouter.control.limits import MAX_NAME_CHARACTERS
from bramleyrouter.control.messages import (
    Claim,
    ClaimResult,
    ConfigState,
    Depart,
    OperatorResult,
    PublishRoutes,
    StartRollout,
)
from bramleyrouter.control.replies import (
    MemberChange,
    ReadConfig,
    RemoveMember,
    decode_claim_result,
    decode_config_reply,
    decode_operator_result,
    decode_status,
    encode_member_change,
    encode_read_config,
    encode_status_request,
)
from bramleyrouter.control.rollouts import decode_rollout, encode_rollout_request
from bramleyrouter.control.settlement_batches import build_settle
from bramleyrouter.dissemination.interfaces import Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import VersionRollout, decode_rollouts
from bramleyrouter.ids import MemberId, Revision
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Reading one member's status needs no majority, so the timeout can be short.
STATUS_TIMEOUT_S = 1.0
LEDGER_UNREACHABLE_CODES = frozenset({Code.NO_MAJORITY, Code.PEER_UNREACHABLE})


def build_control_client(
    network: Network,
    addresses: tuple[str, ...],
    clock: Callable[[], float],
    rng: random.Random,
) -> ControlClient:
    """Return a client of the control daemons at ``addresses`` ("ip:port")."""
    leader_client = LeaderClient(network, list(addresses), clock, rng)
    return ControlClient(
        operate=build_operate(leader_client),
        claim=_build_claim(leader_client),
        settle=build_settle(leader_client),
        read_config=_build_read_config(leader_client),
    )


def build_control_admin(
    network: Network,
    addresses: tuple[str, ...],
    clock: Callable[[], float],
    rng: random.Random,
) -> ControlAdmin:
    """Return the client that administers the control daemons' replicated log."""
    leader_client = LeaderClient(network, list(addresses), clock, rng)

    async def add_member(member: Member, timeout_s: float) -> Result[None, Failure]:
        return await _request_member_change(leader_client, member, timeout_s)

    async def remove_member(
        member_id: MemberId, timeout_s: float
    ) -> Result[None, Failure]:
        return await _request_member_change(
            leader_client, RemoveMember(member_id), timeout_s
        )

    async def rollout(timeout_s: float) -> Result[Rollout, Failure]:
        payload = encode_rollout_request()
        reply = await call_leader(
            leader_client, MessageKind.SHOW_ROLLOUT, payload, timeout_s
        )
        return reply if isinstance(reply, Err) else decode_rollout(reply.ok_value)

    return ControlAdmin(
        _build_status(leader_client),
        add_member,
        remove_member,
        rollout,
        build_read_rollouts(leader_client),
    )


def build_operate(leader_client: LeaderClient):
    """Return a function that sends an operator's request to the leader."""

    async def operate(
        operation: Operation | PublishRoutes | Depart | StartRollout, timeout_s: float
    ) -> Result[OperatorResult, Failure]:
        encoded = try_encode_command(operation)
        if isinstance(encoded, Err):
            return encoded
        payload = encoded.ok_value
        reply = await call_leader(
            leader_client, MessageKind.OPERATE, payload, timeout_s
        )
        if isinstance(reply, Err):
            return reply
        return decode_operator_result(reply.ok_value)

    return operate


def _build_claim(leader_client: LeaderClient):
    async def claim(request: Claim, timeout_s: float) -> Result[ClaimResult, Failure]:
        is_too_long = len(request.request_id) > MAX_NAME_CHARACTERS
        if is_too_long or parse_created_ms(request.request_id) is None:
            failure = build_invalid_identity_failure(
                request.request_id[:MAX_NAME_CHARACTERS]
            )
            return Ok(ClaimResult(False, failure=failure))
        encoded = try_encode_command(request)
        if isinstance(encoded, Err):
            return encoded
        payload = encoded.ok_value
        reply = await call_leader(leader_client, MessageKind.CLAIM, payload, timeout_s)
        if isinstance(reply, Err):
            return Err(_convert_to_ledger_failure(reply.err_value))
        return decode_claim_result(reply.ok_value)

    return claim


def _convert_to_ledger_failure(failure: Failure) -> Failure:
    if failure.code not in LEDGER_UNREACHABLE_CODES:
        return failure
    text = f"The submission ledger can't be reached: {failure.text}"
    return Failure(Code.LEDGER_UNREACHABLE, text)


def build_read_routes(leader_client: LeaderClient):
    """Return a function that reads the route table in force from the leader.

    The function fails unless the leader proves with a read barrier that no newer
    table has been committed.
    """

    async def read_routes(timeout_s: float) -> Result[PublishRoutes, Failure]:
        reply = await call_leader(
            leader_client, MessageKind.READ_ROUTES, b"", timeout_s
        )
        if isinstance(reply, Err):
            return reply
        decoded = decode_command(reply.ok_value)
        if isinstance(decoded, Ok) and isinstance(decoded.ok_value, PublishRoutes):
            return Ok(decoded.ok_value)
        text = "The reply holds no route table."
        return Err(Failure(Code.WIRE_MALFORMED, text))

    return read_routes


def build_read_rollouts(leader_client: LeaderClient):
    """Return a function that reads the newest rollout of each service.

    The function fails unless the leader proves with a read barrier that no newer state
    has been committed.
    """

    async def read_rollouts(
        timeout_s: float,
    ) -> Result[tuple[VersionRollout, ...], Failure]:
        reply = await call_leader(
            leader_client, MessageKind.READ_ROLLOUTS, b"", timeout_s
        )
        if isinstance(reply, Err):
            return reply
        return decode_rollouts(reply.ok_value)

    return read_rollouts


def _build_read_config(leader_client: LeaderClient):
    # Holds the last reply, if any: the leader does not resend an unchanged state.
    cached_states: list[ConfigState] = []

    async def read_config(timeout_s: float) -> Result[ConfigState, Failure]:
        last = cached_states[0] if cached_states else None
        request = (
            ReadConfig(last.revision, last.digest) if last else ReadConfig(Revision(0))
        )
        payload = encode_read_config(request)
        reply = await call_leader(
            leader_client, MessageKind.READ_CONFIG, payload, timeout_s
        )
        if isinstance(reply, Err):
            return reply
        decoded = decode_config_reply(reply.ok_value)
        if isinstance(decoded, Err):
            return decoded
        if decoded.ok_value is not None:
            cached_states[:] = [decoded.ok_value]
            return Ok(decoded.ok_value)
        if last is None:
            text = "The reply omits a configuration that is not held."
            return Err(Failure(Code.WIRE_MALFORMED, text))
        return Ok(last)

    return read_config


def _build_status(leader_client: LeaderClient):
    payload = encode_status_request(is_proof_asked=False)

    async def fetch_status(address: str) -> tuple[str, Result[LogStatus, Failure]]:
        reply = await leader_client.network.call(
            address, MessageKind.CONTROL_STATUS, payload, STATUS_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return address, reply
        return address, decode_status(reply.ok_value)

    async def status() -> tuple[tuple[str, Result[LogStatus, Failure]], ...]:
        polled = tuple(leader_client.addresses)
        results = await asyncio.gather(*(fetch_status(address) for address in polled))
        for _, result in results:
            for member in result.ok_value.members if isinstance(result, Ok) else ():
                add_address(leader_client, member.address)
        # Members that only the replies named are polled as well.
        added = leader_client.addresses[len(polled) :]
        return (
            *results,
            *await asyncio.gather(*(fetch_status(address) for address in added)),
        )

    return status


async def _request_member_change(
    leader_client: LeaderClient, change: MemberChange, timeout_s: float
) -> Result[None, Failure]:
    """Find a leader that has proved its leadership, then request the change.

    The first attempt waits for the whole ``timeout_s`` (seconds), because a new
    member has to catch up with the log before the leader replies.
    """
    attempts = Attempts(leader_client.clock() + timeout_s)
    proof_request = encode_status_request(is_proof_asked=True)
    proof_reply = await call_leader(
        leader_client, MessageKind.CONTROL_STATUS, proof_request, timeout_s
    )
    if isinstance(proof_reply, Err):
        return proof_reply
    reply = await call_leader(
        leader_client,
        MessageKind.CHANGE_MEMBERS,
        encode_member_change(change),
        timeout_s,
        attempts,
        first_wait_s=timeout_s,
    )
    if isinstance(reply, Ok):
        return Ok(None)
    is_unknown = reply.err_value.code is Code.UNKNOWN_MEMBER
    if isinstance(change, RemoveMember) and is_unknown and attempts.may_have_acted:
        # An earlier attempt removed the member, but its reply was lost.
        return Ok(None)
    return reply
