"""Run batches and submissions at their home, for local and remote senders."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import (
    QueryCall,
    QueryResult,
    SubmitCall,
    SubmitResult,
)
from bramleyrouter.homes.dispatching import admit_work, cancel_work
from bramleyrouter.homes.messages import (
    GroupReply,
    ServerGroup,
    ShardBatch,
    SubmitReply,
    SubmitRequest,
)
from bramleyrouter.homes.ramps import compute_headroom
from bramleyrouter.homes.state import HomesState, ServerEntry, Work, WorkResult
from bramleyrouter.ids import AttemptId, DataCentre, ServerId
from bramleyrouter.states import Outcome

OnReplies = Callable[[list[GroupReply]], None]


@dataclass(eq=False)
class BatchRun:
    """Hold one running batch.

    ``replies`` collects the replies of the current iteration of the event loop.
    ``has_ended`` is also set when the batch is cancelled.
    """

    batch: ShardBatch
    on_replies: OnReplies
    on_done: Callable[[], None]
    pending_groups: int
    work_items: list[tuple[ServerEntry, Work]] = field(default_factory=list)
    replies: list[GroupReply] = field(default_factory=list)
    has_ended: bool = False


def run_batch(
    state: HomesState,
    batch: ShardBatch,
    sender_data_centre: DataCentre,
    on_replies: OnReplies,
    on_done: Callable[[], None],
) -> Callable[[], None]:
    """Dispatch the groups of a batch; return the closure that cancels them.

    ``on_replies`` gets all replies of one iteration of the event loop together.
    Neither ``on_replies`` nor ``on_done`` is called before this function returns
    or after the cancellation.
    """
    run = BatchRun(batch, on_replies, on_done, len(batch.groups))
    now = state.clock()
    for group in batch.groups:
        _admit_group(state, run, group, sender_data_centre, now)
    if not batch.groups:
        asyncio.get_running_loop().call_soon(_flush, run)

    def cancel() -> None:
        if run.has_ended:
            return
        run.has_ended = True
        for entry, work in run.work_items:
            cancel_work(state, entry, work)

    return cancel


def _admit_group(
    state: HomesState,
    run: BatchRun,
    group: ServerGroup,
    sender_data_centre: DataCentre,
    now: float,
) -> None:
    batch = run.batch
    entry = state.entries.get(group.server_id)
    if entry is None:
        text = f'This daemon is not the home of "{group.server_id}".'
        _add_reply(run, _build_not_home_reply(group, batch, text))
        return
    call = QueryCall(
        batch.request_id,
        group.attempt,
        batch.version,
        group.service,
        group.shards,
        batch.query,
    )

    def on_end(work: Work, result: WorkResult) -> None:
        if isinstance(result, QueryResult):
            _add_reply(run, _build_reply(entry, call, work, result))

    work = Work(
        call,
        group.attempt,
        batch.class_name,
        batch.is_stale and sender_data_centre != state.board.identity.data_centre,
        now + batch.remaining_s,
        now,
        on_end,
    )
    run.work_items.append((entry, work))
    admit_work(state, entry, work)


def _build_not_home_reply(
    group: ServerGroup, batch: ShardBatch, text: str
) -> GroupReply:
    return GroupReply(
        group.server_id, group.attempt, batch.version, Code.NOT_HOME, text
    )


def _build_reply(
    entry: ServerEntry, call: QueryCall, work: Work, result: QueryResult
) -> GroupReply:
    ended_at = work.ended_at or work.admitted_at
    started_at = work.started_at if work.started_at is not None else ended_at
    return GroupReply(
        entry.target.server_id,
        call.attempt,
        call.version,
        result.code,
        result.text,
        result.results,
        started_at - work.admitted_at,
        ended_at - started_at,
        len(entry.running) + entry.queue.size,
        compute_headroom(entry.ramp),
    )


def _add_reply(run: BatchRun, reply: GroupReply) -> None:
    if not run.replies:
        asyncio.get_running_loop().call_soon(_flush, run)
    run.replies.append(reply)
    run.pending_groups -= 1


def _flush(run: BatchRun) -> None:
    if run.has_ended:
        return
    replies, run.replies = run.replies, []
    try:
        if replies:
            run.on_replies(replies)
    except Exception:
        # The sender must still learn that the batch has ended.
        logging.exception("homes: the replies of a batch were not processed.")
    if run.pending_groups == 0 and not run.has_ended:
        run.has_ended = True
        run.on_done()


async def run_submission(
    state: HomesState, request: SubmitRequest, sender_data_centre: DataCentre
) -> SubmitReply:
    """Dispatch a submission and wait for its outcome.

    A submission that was sent to the server continues even if this call is cancelled.
    """
    entry = state.entries.get(request.server_id)
    if entry is None:
        text = f'This daemon is not the home of "{request.server_id}".'
        return SubmitReply(Outcome.NOT_RUN, Code.NOT_HOME, text)
    now = state.clock()
    fut: asyncio.Future[SubmitReply] = asyncio.get_running_loop().create_future()

    def on_end(_work: Work, result: WorkResult) -> None:
        if isinstance(result, SubmitResult) and not fut.done():
            fut.set_result(
                SubmitReply(result.outcome, result.code, result.text, result.answer)
            )

    is_remote = sender_data_centre != state.board.identity.data_centre
    has_stale_remote_sender = request.is_stale and is_remote
    work = _build_submission_work(request, has_stale_remote_sender, now, on_end)
    admit_work(state, entry, work)
    try:
        return await fut
    except asyncio.CancelledError:
        cancel_work(state, entry, work)
        raise


def _build_submission_work(
    request: SubmitRequest,
    has_stale_remote_sender: bool,
    now: float,
    on_end: Callable[[Work, WorkResult], None],
) -> Work:
    call = SubmitCall(
        request.request_id, request.service, request.shard, request.operation
    )
    return Work(
        call,
        AttemptId(0),
        request.class_name,
        has_stale_remote_sender,
        now + request.remaining_s,
        now,
        on_end,
    )


def build_lost_submission_reply(server_id: ServerId, text: str) -> SubmitReply:
    """Build the reply for a submission that the home may have sent to the server.

    The home's reply was lost or could not be decoded.
    """
    text = f'The home of "{server_id}" was lost: {text}'
    return SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)
