"""Read barriers: a majority confirms that this member is still the leader.

Reads that arrive during a heartbeat round share the next round, so that the
number of messages does not grow with the number of reads.
"""

import asyncio

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.driver import dispatch, fail_pending_reads
from bramleyrouter.consensus.node import Node, PendingRead, get_leader_address
from bramleyrouter.consensus.raft_state import (
    MAX_STALENESS_S,
    Role,
    StartHeartbeatRound,
)
from bramleyrouter.consensus.replication import has_valid_lease, is_answered_by_majority
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId


def build_not_leader_failure(node: Node) -> Failure:
    """Build the failure whose text is the leader's address."""
    return Failure(Code.NOT_LEADER, get_leader_address(node))


def _start_heartbeat_round(node: Node) -> None:
    unsent = [item for item in node.pending_reads if item.sequence < 0]
    if not unsent or not node.is_leader:
        return
    raft = node.raft
    for pending_read in unsent:
        pending_read.sequence = raft.sequence
        pending_read.read_index = max(raft.commit_index, raft.term_start_index)
    dispatch(node, StartHeartbeatRound())


def resolve_pending_reads(node: Node) -> None:
    """Resolve the reads that a majority has confirmed; start the next round."""
    if not node.pending_reads:
        return
    if not node.is_leader:
        fail_pending_reads(node, build_not_leader_failure(node))
        return
    for pending_read in node.pending_reads:
        is_confirmed = 0 <= pending_read.sequence and (
            node.applied_index >= pending_read.read_index
            and is_answered_by_majority(node.raft, pending_read.sequence)
        )
        if is_confirmed and not pending_read.fut.done():
            pending_read.fut.set_result(Ok(None))
    node.pending_reads = [item for item in node.pending_reads if not item.fut.done()]
    if node.pending_reads and all(item.sequence < 0 for item in node.pending_reads):
        asyncio.get_running_loop().call_soon(_start_heartbeat_round, node)


async def read_barrier(node: Node, timeout_s: float) -> Result[None, Failure]:
    """Wait until this member is confirmed as leader and up to date.

    A majority must reply to a later heartbeat, and all entries committed before
    the call must be applied. Fails with ``NOT_LEADER`` or, after ``timeout_s``
    seconds, with ``NO_MAJORITY``.
    """
    if node.failure is not None or node.is_closed or not node.is_leader:
        return Err(node.failure or build_not_leader_failure(node))
    loop = asyncio.get_running_loop()
    pending_read = PendingRead(loop.create_future())
    is_first = not node.pending_reads
    node.pending_reads.append(pending_read)
    if is_first:
        loop.call_soon(_start_heartbeat_round, node)
    try:
        return await asyncio.wait_for(pending_read.fut, timeout_s)
    except TimeoutError:
        text = f"No majority answered within {timeout_s:.3f} s."
        return Err(Failure(Code.NO_MAJORITY, text))
    finally:
        node.pending_reads = [
            item for item in node.pending_reads if item is not pending_read
        ]


def is_current(node: Node) -> bool:
    """Return whether this member's state is at most ``MAX_STALENESS_S`` old."""
    if node.failure is not None or node.is_closed:
        return False
    raft, now = node.raft, asyncio.get_running_loop().time()
    if raft.role is Role.LEADER:
        return has_valid_lease(raft, now)
    return bool(raft.leader_id) and now - raft.caught_up_at < MAX_STALENESS_S


def get_silence_s(node: Node, member_id: MemberId) -> float:
    """Return the seconds since a member replied to this leader, or 0."""
    raft, now = node.raft, asyncio.get_running_loop().time()
    progress = raft.progress.get(member_id)
    if raft.role is not Role.LEADER or progress is None:
        return 0.0
    # Time before this member was elected does not count as silence, since only
    # the leader sends requests.
    return now - max(progress.last_answered_sent_at, raft.elected_at)
