"""Send settlements to the leader in batches.

One batch is under way at a time; what is settled meanwhile goes with the next
one. So a single settlement is not delayed, and many share an entry of the log.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.control.codecs import encode_command, settle_size, try_encode_command
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

Settled = asyncio.Future[Result[None, Failure]]


@dataclass
class Waiting:
    """Hold one settlement until the leader has it; ``deadline`` in loop time."""

    settlement: Settle
    deadline: float
    fut: Settled


@dataclass
class Settling:
    """Hold the settlements that wait, and the task that sends them."""

    waiting: deque[Waiting] = field(default_factory=deque)
    task: asyncio.Task | None = None


def build_settle(
    leader_client: LeaderClient,
) -> Callable[[Settle, float], Awaitable[Result[None, Failure]]]:
    """Return the closure that settles a claim."""
    settling = Settling()

    async def settle(request: Settle, timeout_s: float) -> Result[None, Failure]:
        bounded = _without_large_answer(request)
        # Checked alone, so that a bad one can't fail the others of its batch.
        checked = try_encode_command((bounded,))
        if isinstance(checked, Err):
            return checked
        loop = asyncio.get_running_loop()
        fut: Settled = loop.create_future()
        deadline = leader_client.clock() + timeout_s
        settling.waiting.append(Waiting(bounded, deadline, fut))
        if settling.task is None or settling.task.done():
            settling.task = loop.create_task(_send_batches(leader_client, settling))
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return Err(_not_settled("the time is over"))

    return settle


def _without_large_answer(request: Settle) -> Settle:
    if len(request.answer) <= MAX_ANSWER_BYTES:
        return request
    is_done = request.outcome is Outcome.DONE
    code = int(Code.ANSWER_NOT_KEPT) if is_done else request.code
    return msgspec.structs.replace(request, answer=b"", code=code)


async def _send_batches(leader_client: LeaderClient, settling: Settling) -> None:
    while batch := _take_batch(settling, leader_client.clock()):
        payload = encode_command(tuple(one.settlement for one in batch))
        timeout_s = max(one.deadline for one in batch) - leader_client.clock()
        reply = await call_leader(leader_client, MessageKind.SETTLE, payload, timeout_s)
        for one in batch:
            if one.fut.done():
                continue
            if isinstance(reply, Ok):
                one.fut.set_result(Ok(None))
            else:
                one.fut.set_result(Err(_not_settled(reply.err_value.text)))


def _take_batch(settling: Settling, now: float) -> list[Waiting]:
    batch: list[Waiting] = []
    size = 0
    while settling.waiting and len(batch) < MAX_SETTLES:
        size += settle_size(settling.waiting[0].settlement)
        if batch and size > MAX_SETTLE_BYTES:
            break
        one = settling.waiting.popleft()
        if one.deadline > now:
            batch.append(one)
    return batch


def _not_settled(reason: str) -> Failure:
    text = f"The outcome may not be recorded in the ledger: {reason}"
    return Failure(Code.LEDGER_UNREACHABLE, text)
