"""Read barriers: proof by a majority that this member still leads.

Reads that arrive while a round is under way share the next round, so that
their number does not multiply the messages.
"""

import asyncio

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.driver import dispatch, fail_barriers
from bramleyrouter.consensus.node import Barrier, Node, leader_address
from bramleyrouter.consensus.raft_state import CURRENT_S, BeginRound, Role
from bramleyrouter.consensus.replication import answered_by_majority, holds_lease
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId


def not_leader(node: Node) -> Failure:
    """Return the failure whose text is the leader's address."""
    return Failure(Code.NOT_LEADER, leader_address(node))


def _begin_round(node: Node) -> None:
    waiting = [item for item in node.barriers if item.sequence < 0]
    if not waiting or not node.is_leader:
        return
    raft = node.raft
    for barrier in waiting:
        barrier.sequence = raft.sequence
        barrier.index = max(raft.commit_index, raft.term_start)
    dispatch(node, BeginRound())


def resolve(node: Node) -> None:
    """Let go the reads that a majority has answered, and begin the next round."""
    if not node.barriers:
        return
    if not node.is_leader:
        fail_barriers(node, not_leader(node))
        return
    for barrier in node.barriers:
        is_proved = 0 <= barrier.sequence and (
            node.applied_index >= barrier.index
            and answered_by_majority(node.raft, barrier.sequence)
        )
        if is_proved and not barrier.fut.done():
            barrier.fut.set_result(Ok(None))
    node.barriers = [item for item in node.barriers if not item.fut.done()]
    if node.barriers and all(item.sequence < 0 for item in node.barriers):
        asyncio.get_running_loop().call_soon(_begin_round, node)


async def read_barrier(node: Node, timeout_s: float) -> Result[None, Failure]:
    """Wait for proof that this member leads and has applied all accepted."""
    if node.failure is not None or node.is_closed or not node.is_leader:
        return Err(node.failure or not_leader(node))
    loop = asyncio.get_running_loop()
    barrier = Barrier(loop.create_future())
    is_first = not node.barriers
    node.barriers.append(barrier)
    if is_first:
        loop.call_soon(_begin_round, node)
    try:
        return await asyncio.wait_for(barrier.fut, timeout_s)
    except TimeoutError:
        text = f"No majority answered within {timeout_s:.3f} s."
        return Err(Failure(Code.NO_MAJORITY, text))
    finally:
        node.barriers = [item for item in node.barriers if item is not barrier]


def is_current(node: Node) -> bool:
    """Return whether this member's state can't be older than a second."""
    if node.failure is not None or node.is_closed:
        return False
    raft, now = node.raft, asyncio.get_running_loop().time()
    if raft.role is Role.LEADER:
        return holds_lease(raft, now)
    return bool(raft.leader_id) and now - raft.caught_up_at < CURRENT_S


def silence_of(node: Node, member_id: MemberId) -> float:
    """Return the seconds since a member answered this leader, or 0."""
    raft, now = node.raft, asyncio.get_running_loop().time()
    progress = raft.progress.get(member_id)
    if raft.role is not Role.LEADER or progress is None:
        return 0.0
    # Silence from before this member led says nothing.
    return now - max(progress.answered_sent_at, raft.elected_at)
