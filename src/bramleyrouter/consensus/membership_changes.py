"""Change the cluster membership by one member at a time.

A new member first receives the log as a learner, which does not vote. It is
promoted to a voter once it has nearly all entries, so that commits never wait
long for it.
"""

import asyncio

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.codec import Presence, decode_presence, encode_presence
from bramleyrouter.consensus.entries import NO_MEMBER, EntryKind, encode_members
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.node import Node
from bramleyrouter.consensus.proposals import propose
from bramleyrouter.consensus.raft_state import get_members
from bramleyrouter.consensus.read_barriers import build_not_leader_failure
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId
from bramleyrouter.wire.kinds import MessageKind

# A learner that lacks at most this many entries receives them in one batch.
CAUGHT_UP_ENTRIES = 64
CAUGHT_UP_POLL_S = 0.02
PRESENCE_TIMEOUT_S = 0.5


async def request_presence(node: Node, address: str) -> Result[Presence, Failure]:
    """Request the member record of the member at ``address``."""
    payload = encode_presence(Presence(node.address, node.member_record))
    outcome = await node.network.call(
        address, MessageKind.PRESENCE, payload, PRESENCE_TIMEOUT_S
    )
    if isinstance(outcome, Err):
        return outcome
    return decode_presence(outcome.ok_value)


def _find_member(node: Node, member_id: MemberId) -> Member | None:
    found = [item for item in get_members(node.raft) if item.member_id == member_id]
    return found[0] if found else None


async def _propose_members(
    node: Node, members: tuple[Member, ...], timeout_s: float
) -> Result[None, Failure]:
    command = encode_members(members)
    outcome = await propose(node, command, timeout_s, EntryKind.MEMBERS)
    return outcome.map(lambda _: None)


async def _wait_until_caught_up(
    node: Node, member_id: MemberId
) -> Result[None, Failure]:
    while node.is_leader:
        progress = node.raft.progress.get(member_id)
        if progress is None:
            text = f'Member "{member_id}" was removed while it caught up.'
            return Err(Failure(Code.UNKNOWN_MEMBER, text))
        missing = node.raft.log.last_index - progress.match_index
        if missing <= CAUGHT_UP_ENTRIES and progress.match_index:
            return Ok(None)
        await asyncio.sleep(CAUGHT_UP_POLL_S)
    return Err(build_not_leader_failure(node))


async def _add_and_promote(
    node: Node, member: Member, timeout_s: float
) -> Result[None, Failure]:
    if member.member_id == NO_MEMBER:
        presence = await request_presence(node, member.address)
        if isinstance(presence, Err):
            return presence
        member = Member(presence.ok_value.member_record.member_id, member.address)
    learner = Member(member.member_id, member.address, False)
    known = _find_member(node, member.member_id)
    if known is None:
        added = (*get_members(node.raft), learner)
        changed = await _propose_members(node, added, timeout_s)
        if isinstance(changed, Err):
            return changed
    elif known.is_voter:
        return Ok(None)
    caught_up = await _wait_until_caught_up(node, member.member_id)
    if isinstance(caught_up, Err):
        return caught_up
    voter = Member(member.member_id, member.address, True)
    promoted = tuple(
        voter if item.member_id == voter.member_id else item
        for item in get_members(node.raft)
    )
    return await _propose_members(node, promoted, timeout_s)


async def add_member(
    node: Node, member: Member, timeout_s: float
) -> Result[None, Failure]:
    """Add a member as a learner and promote it to a voter once it caught up.

    Fails with ``NO_MAJORITY`` after ``timeout_s`` seconds. The member may then
    still be a learner, and the call may be repeated.
    """
    if not node.is_leader:
        return Err(node.failure or build_not_leader_failure(node))
    try:
        return await asyncio.wait_for(
            _add_and_promote(node, member, timeout_s), timeout_s
        )
    except TimeoutError:
        text = f'"{member.address}" did not catch up within {timeout_s:.3f} s.'
        return Err(Failure(Code.NO_MAJORITY, text))


async def remove_member(
    node: Node, member_id: MemberId, timeout_s: float
) -> Result[None, Failure]:
    """Remove a member.

    A leader that removes itself steps down once the change is committed.
    """
    if not node.is_leader:
        return Err(node.failure or build_not_leader_failure(node))
    remaining = tuple(
        item for item in get_members(node.raft) if item.member_id != member_id
    )
    if _find_member(node, member_id) is None:
        text = f'Member "{member_id}" is not in the configuration.'
        return Err(Failure(Code.UNKNOWN_MEMBER, text))
    if not any(item.is_voter for item in remaining):
        text = f'Member "{member_id}" is the last voter and can\'t be removed.'
        return Err(Failure(Code.UNKNOWN_MEMBER, text))
    return await _propose_members(node, remaining, timeout_s)
