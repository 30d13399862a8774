"""Send settlements to the leader in batches.

Only one batch is in flight. Settlements that arrive meanwhile form the next one,
so a single settlement is not delayed and many share one entry of the log.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.control.codecs import (
    compute_settle_size,
    encode_command,
    try_encode_command,
)
from bramleyrouter.control.leader_client import LeaderClient, call_leader
from bramleyrouter.control.limits import (
    MAX_ANSWER_BYTES,
    MAX_SETTLE_BYTES,
    MAX_SETTLES,
)
from bramleyrouter.control.messages import Settle
from bramleyrouter.failures import Failure
from bramleyrouter.states import Outcome
from bramleyrouter.wire.kinds import MessageKind

SettlementFuture = asyncio.Future[Result[None, Failure]]


@dataclass
class PendingSettlement:
    """Hold a settlement until the leader confirms it; ``deadline`` is in loop time."""

    settlement: Settle
    deadline: float
    fut: SettlementFuture


@dataclass
class SettlementBatcher:
    """Hold the queue of settlements and the task that sends them."""

    queue: deque[PendingSettlement] = field(default_factory=deque)
    task: asyncio.Task | None = None


def build_settle(
    leader_client: LeaderClient,
) -> Callable[[Settle, float], Awaitable[Result[None, Failure]]]:
    """Return a function that settles a claim through the leader."""
    batcher = SettlementBatcher()

    async def settle(request: Settle, timeout_s: float) -> Result[None, Failure]:
        trimmed = _remove_large_answer(request)
        # Checked separately, so that an invalid settlement can't fail its batch.
        checked = try_encode_command((trimmed,))
        if isinstance(checked, Err):
            return checked
        loop = asyncio.get_running_loop()
        fut: SettlementFuture = loop.create_future()
        deadline = leader_client.clock() + timeout_s
        batcher.queue.append(PendingSettlement(trimmed, deadline, fut))
        if batcher.task is None or batcher.task.done():
            batcher.task = loop.create_task(_send_batches(leader_client, batcher))
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return Err(_build_unsettled_failure("the time is over"))

    return settle


def _remove_large_answer(request: Settle) -> Settle:
    if len(request.answer) <= MAX_ANSWER_BYTES:
        return request
    is_done = request.outcome is Outcome.DONE
    code = int(Code.ANSWER_NOT_KEPT) if is_done else request.code
    return msgspec.structs.replace(request, answer=b"", code=code)


async def _send_batches(
    leader_client: LeaderClient, batcher: SettlementBatcher
) -> None:
    while batch := _pop_batch(batcher, leader_client.clock()):
        payload = encode_command(tuple(pending.settlement for pending in batch))
        timeout_s = max(pending.deadline for pending in batch) - leader_client.clock()
        reply = await call_leader(leader_client, MessageKind.SETTLE, payload, timeout_s)
        for pending in batch:
            if pending.fut.done():
                continue
            if isinstance(reply, Ok):
                pending.fut.set_result(Ok(None))
            else:
                pending.fut.set_result(
                    Err(_build_unsettled_failure(reply.err_value.text))
                )


def _pop_batch(batcher: SettlementBatcher, now: float) -> list[PendingSettlement]:
    batch: list[PendingSettlement] = []
    size = 0
    while batcher.queue and len(batch) < MAX_SETTLES:
        size += compute_settle_size(batcher.queue[0].settlement)
        if batch and size > MAX_SETTLE_BYTES:
            break
        pending = batcher.queue.popleft()
        if pending.deadline > now:
            batch.append(pending)
    return batch


def _build_unsettled_failure(reason: str) -> Failure:
    text = f"The outcome may not be recorded in the ledger: {reason}"
    return Failure(Code.LEDGER_UNREACHABLE, text)
