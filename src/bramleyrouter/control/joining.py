"""Keep the members of the log those control daemons that run.

A control daemon that finds no place among the members asks to join: one that
replaces another, or that lost its disk. The leader removes a member that fell
silent once there are more voters than the tolerated failures need, so that a
replaced VM does not count for the majority any longer.
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

# Time between two looks at the members, in seconds.
LOOK_S = 0.3
# The first members form the log by themselves; joining waits so long, seconds.
FIRST_MEMBERS_GRACE_S = 2.0
# Longest time for one request to join, in seconds.
JOIN_TIMEOUT_S = 3.0
STATUS_TIMEOUT_S = 1.0


class JoinPolicy(NamedTuple):
    """Say when members join and when the leader removes them.

    ``wanted_voters`` are enough for the tolerated failures; only above that
    number is a voter removed, once it was silent for ``silent_s`` seconds.
    """

    own_address: str
    is_first_start: bool
    wanted_voters: int
    silent_s: float


def member_to_remove(
    members: Iterable[Member],
    own_id: MemberId,
    get_silence_s: Callable[[MemberId], float],
    policy: JoinPolicy,
) -> Member | None:
    """Return the member that has been silent longest, if one may be removed.

    A silent learner holds nothing that counts and may always be removed.
    """
    known = [member for member in members if member.member_id != own_id]
    silent = [item for item in known if get_silence_s(item.member_id) > policy.silent_s]
    voters = 1 + sum(member.is_voter for member in known)
    if voters <= policy.wanted_voters:
        silent = [member for member in silent if not member.is_voter]
    return max(silent, key=lambda item: get_silence_s(item.member_id), default=None)


def needs_to_join(status: LogStatus, heard: LogStatus | None) -> bool:
    """Return whether a leader's list of members lacks this member as a voter."""
    if status.is_leader or heard is None:
        return False
    return not any(
        member.member_id == status.member_id and member.is_voter
        for member in heard.members
    )


async def _ask_leader(leader_client: LeaderClient) -> LogStatus | None:
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


async def _look(
    leader_client: LeaderClient, log: ReplicatedLog, policy: JoinPolicy
) -> None:
    status = log.status()
    if status.is_leader:
        unwanted = member_to_remove(
            status.members, status.member_id, log.get_silence_s, policy
        )
        if unwanted is not None:
            logging.info("control: removing the silent member %s.", unwanted)
            await log.remove_member(unwanted.member_id, JOIN_TIMEOUT_S)
        return
    is_listed = any(item.member_id == status.member_id for item in status.members)
    if is_listed and log.is_current():
        return
    heard = await _ask_leader(leader_client)
    if needs_to_join(status, heard):
        outcome = await _join(leader_client, log, policy)
        logging.info("control: asked to join: %s", outcome)
        is_busy = isinstance(outcome, Err) and (
            outcome.err_value.code is Code.MEMBERSHIP_CHANGE_PENDING
        )
        if is_busy:
            await asyncio.sleep(LOOK_S)


def _note_addresses(leader_client: LeaderClient, log: ReplicatedLog, seeds) -> None:
    """Keep to the members and the seeds; former members are asked no more."""
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
    """Look after the members until cancelled; ``leader_client`` learns of them too."""
    if policy.is_first_start:
        await asyncio.sleep(FIRST_MEMBERS_GRACE_S)
    while True:
        try:
            _note_addresses(leader_client, log, seeds())
            await _look(leader_client, log, policy)
        except Exception:
            # Without this loop a lost member would never be replaced.
            logging.exception("control: looking after the members failed.")
        await asyncio.sleep(LOOK_S)
