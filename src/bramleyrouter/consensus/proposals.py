"""Propose entries: append on the leader, reply once committed and applied."""

import asyncio

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.driver import dispatch
from bramleyrouter.consensus.entries import MAX_COMMAND_BYTES, EntryKind
from bramleyrouter.consensus.node import Node, PendingProposal
from bramleyrouter.consensus.raft_state import Propose, Proposed
from bramleyrouter.consensus.read_barriers import build_not_leader_failure
from bramleyrouter.failures import Failure


def _build_refusal(node: Node, kind: EntryKind) -> Failure:
    """Build the failure that explains why nothing was appended."""
    if node.failure is not None:
        return node.failure
    if node.is_closed:
        return Failure(Code.STOPPING, "This member stops.")
    if not node.is_leader:
        return build_not_leader_failure(node)
    if kind is EntryKind.MEMBERS:
        text = "An earlier change of the members is not accepted yet."
        return Failure(Code.MEMBERSHIP_CHANGE_PENDING, text)
    return Failure(Code.OVERLOADED, "Too many entries wait for a majority.")


def _append_entry(
    node: Node, kind: EntryKind, command: bytes
) -> Result[PendingProposal, Failure]:
    stamp_ms = int(node.wall_clock() * 1000)
    token = next(node.tokens)
    fut = asyncio.get_running_loop().create_future()
    replies = dispatch(node, Propose(token, kind, command, stamp_ms))
    proposed = next((item for item in replies if isinstance(item, Proposed)), None)
    if proposed is None or not proposed.index:
        return Err(_build_refusal(node, kind))
    pending = PendingProposal(proposed.term, fut)
    node.pending_proposals[proposed.index] = pending
    return Ok(pending)


async def propose(
    node: Node, command: bytes, timeout_s: float, kind: EntryKind = EntryKind.COMMAND
) -> Result[bytes, Failure]:
    """Propose an entry; ``ReplicatedLog`` describes the failures."""
    if len(command) > MAX_COMMAND_BYTES:
        text = f"A command of {len(command)} bytes is over {MAX_COMMAND_BYTES}."
        return Err(Failure(Code.WIRE_TOO_LARGE, text))
    appended = _append_entry(node, kind, command)
    if isinstance(appended, Err):
        return appended
    try:
        return await asyncio.wait_for(appended.ok_value.fut, timeout_s)
    except TimeoutError:
        text = f"No majority accepted the entry within {timeout_s:.3f} s."
        return Err(Failure(Code.NO_MAJORITY, text))
