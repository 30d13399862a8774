"""Maintain the replicated log's membership as control daemons come and go.

A control daemon that is not a voter requests to join, for instance because it
replaces another one or lost its disk. The leader removes a silent member while
there are more voters than the required fault tolerance needs, so that a replaced VM
no longer counts towards the majority.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member, ReplicatedLog
from bramleyrouter.control.leader_client import LeaderClient, call_leader
from bramleyrouter.control.replies import (
    decode_status,
    encode_member_change,
    encode_status_request,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId
from bramleyrouter.wire.kinds import MessageKind

CHECK_INTERVAL_S = 0.3
# The initial members form the log without joining; this gives them time to do so.
FIRST_MEMBERS_GRACE_S = 2.0
JOIN_TIMEOUT_S = 3.0
STATUS_TIMEOUT_S = 1.0


class JoinPolicy(NamedTuple):
    """Configure when a member joins and when the leader removes one.

    With ``is_first_start`` the member first waits until the initial members may have
    formed the log. ``wanted_voters`` is the number of voters that the required fault
    tolerance needs. A voter is removed only while there are more, and after it has
    been silent for ``silent_s`` seconds.
    """

    own_address: str
    is_first_start: bool
    wanted_voters: int
    silent_s: float


def choose_member_to_remove(
    members: Iterable[Member],
    own_id: MemberId,
    get_silence_s: Callable[[MemberId], float],
    policy: JoinPolicy,
) -> Member | None:
    """Return the member that has been silent longest, if one may be removed.

    A silent learner (a member without a vote) does not count towards the majority and
    may always be removed.
    """
    others = [member for member in members if member.member_id != own_id]
    silent = [
        item for item in others if get_silence_s(item.member_id) > policy.silent_s
    ]
    voters = 1 + sum(member.is_voter for member in others)
    if voters <= policy.wanted_voters:
        silent = [member for member in silent if not member.is_voter]
    return max(silent, key=lambda item: get_silence_s(item.member_id), default=None)


def needs_to_join(status: LogStatus, leader_status: LogStatus | None) -> bool:
    """Return whether the leader does not list this member as a voter."""
    if status.is_leader or leader_status is None:
        return False
    return not any(
        member.member_id == status.member_id and member.is_voter
        for member in leader_status.members
    )


async def _fetch_leader_status(leader_client: LeaderClient) -> LogStatus | None:
    request = encode_status_request(is_proof_asked=True)
    reply = await call_leader(
        leader_client, MessageKind.CONTROL_STATUS, request, STATUS_TIMEOUT_S
    )
    if isinstance(reply, Err):
        return None
    decoded = decode_status(reply.ok_value)
    return decoded.ok_value if isinstance(decoded, Ok) else None


async def _join(
    leader_client: LeaderClient, log: ReplicatedLog, policy: JoinPolicy
) -> Result[bytes, Failure]:
    own = Member(log.status().member_id, policy.own_address)
    payload = encode_member_change(own)
    return await call_leader(
        leader_client,
        MessageKind.CHANGE_MEMBERS,
        payload,
        JOIN_TIMEOUT_S,
        first_wait_s=JOIN_TIMEOUT_S,
    )


async def _check_membership(
    leader_client: LeaderClient, log: ReplicatedLog, policy: JoinPolicy
) -> None:
    status = log.status()
    if status.is_leader:
        removable = choose_member_to_remove(
            status.members, status.member_id, log.get_silence_s, policy
        )
        if removable is not None:
            logging.info("control: removing the silent member %s.", removable)
            await log.remove_member(removable.member_id, JOIN_TIMEOUT_S)
        return
    is_listed = any(item.member_id == status.member_id for item in status.members)
    if is_listed and log.is_current():
        return
    leader_status = await _fetch_leader_status(leader_client)
    if needs_to_join(status, leader_status):
        reply = await _join(leader_client, log, policy)
        logging.info("control: requested to join the log: %s", reply)
        is_change_pending = isinstance(reply, Err) and (
            reply.err_value.code is Code.MEMBERSHIP_CHANGE_PENDING
        )
        if is_change_pending:
            await asyncio.sleep(CHECK_INTERVAL_S)


def _update_addresses(leader_client: LeaderClient, log: ReplicatedLog, seeds) -> None:
    """Replace the known addresses by those of the members and seeds.

    Former members are no longer contacted.
    """
    status = log.status()
    members = {member.address for member in status.members if member.address}
    leader_client.addresses[:] = sorted(members | set(seeds))
    if status.leader_address:
        leader_client.leader = status.leader_address


async def maintain_log_membership(
    leader_client: LeaderClient,
    log: ReplicatedLog,
    policy: JoinPolicy,
    seeds: Callable[[], tuple[str, ...]],
) -> None:
    """Join the log and remove silent members as needed, until cancelled.

    The addresses of ``leader_client`` are updated as the members change.
    """
    if policy.is_first_start:
        await asyncio.sleep(FIRST_MEMBERS_GRACE_S)
    while True:
        try:
            _update_addresses(leader_client, log, seeds())
            await _check_membership(leader_client, log, policy)
        except Exception:
            # If an exception ended this loop, a lost member would never be replaced.
            logging.exception("control: could not check the membership of the log.")
        await asyncio.sleep(CHECK_INTERVAL_S)
