"""Send requests to a server's home, locally if this daemon is the home."""

import asyncio
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.batches import (
    build_lost_submission_reply,
    run_batch,
    run_submission,
)
from bramleyrouter.homes.codecs import (
    decode_replies,
    decode_submit_reply,
    encode_batch,
    encode_submit_request,
)
from bramleyrouter.homes.interfaces import HomeClient, OnEnd, OnReply
from bramleyrouter.homes.messages import (
    GroupReply,
    ShardBatch,
    SubmitReply,
    SubmitRequest,
)
from bramleyrouter.homes.state import HomesState
from bramleyrouter.ids import DaemonId
from bramleyrouter.states import Outcome
from bramleyrouter.wire.kinds import MessageKind


def _get_address(state: HomesState, home: DaemonId) -> str | None:
    record = state.board.daemons.records.get(home)
    return record.internal_address if record else None


def _build_unknown_home_failure(home: DaemonId) -> Failure:
    return Failure(Code.PEER_UNREACHABLE, f'Daemon "{home}" is not known.')


def build_client(state: HomesState) -> HomeClient:
    """Build the client through which routing sends work to homes."""
    own = state.board.identity

    def dispatch(
        home: DaemonId, batch: ShardBatch, on_reply: OnReply, on_end: OnEnd
    ) -> Callable[[], None]:
        if home == own.daemon_id:
            return _dispatch_locally(state, batch, on_reply, on_end)
        return _dispatch_remotely(state, home, batch, on_reply, on_end)

    async def submit(home: DaemonId, request: SubmitRequest) -> SubmitReply:
        if home == own.daemon_id:
            return await run_submission(state, request, own.data_centre)
        return await _submit_remotely(state, home, request)

    return HomeClient(dispatch, submit)


def _dispatch_locally(
    state: HomesState, batch: ShardBatch, on_reply: OnReply, on_end: OnEnd
) -> Callable[[], None]:
    is_cancelled = False

    def on_replies(replies: list[GroupReply]) -> None:
        for reply in replies:
            if not is_cancelled:
                on_reply(reply)

    own_data_centre = state.board.identity.data_centre
    cancel_run = run_batch(
        state, batch, own_data_centre, on_replies, lambda: on_end(Ok(None))
    )

    def cancel() -> None:
        nonlocal is_cancelled
        is_cancelled = True
        cancel_run()

    return cancel


def _dispatch_remotely(
    state: HomesState,
    home: DaemonId,
    batch: ShardBatch,
    on_reply: OnReply,
    on_end: OnEnd,
) -> Callable[[], None]:
    is_cancelled = False

    def on_item(payload: bytes) -> None:
        decoded = decode_replies(payload)
        if isinstance(decoded, Err):
            logging.error(
                "homes: could not decode a reply from %s: %s", home, decoded.err_value
            )
            return
        for reply in decoded.ok_value:
            if not is_cancelled:
                on_reply(reply)

    def on_stream_end(outcome: Result[None, Failure]) -> None:
        if not is_cancelled:
            on_end(outcome)

    def cancel() -> None:
        nonlocal is_cancelled
        is_cancelled = True
        cancel_stream()

    address = _get_address(state, home)
    if address is None:
        loop = asyncio.get_running_loop()
        handle = loop.call_soon(on_stream_end, Err(_build_unknown_home_failure(home)))
        cancel_stream: Callable[[], None] = handle.cancel
    else:
        payload = encode_batch(batch)
        cancel_stream = state.network.stream(
            address, MessageKind.SHARD_BATCH, payload, on_item, on_stream_end
        )
    return cancel


async def _submit_remotely(
    state: HomesState, home: DaemonId, request: SubmitRequest
) -> SubmitReply:
    address = _get_address(state, home)
    if address is None:
        failure = _build_unknown_home_failure(home)
        return SubmitReply(Outcome.NOT_RUN, failure.code, failure.text)
    payload = encode_submit_request(request)
    reply = await state.network.call(
        address, MessageKind.SUBMIT, payload, request.remaining_s
    )
    if isinstance(reply, Ok):
        decoded = decode_submit_reply(reply.ok_value)
        if isinstance(decoded, Ok):
            return decoded.ok_value
        return build_lost_submission_reply(request.server_id, decoded.err_value.text)
    failure = reply.err_value
    if failure.code is Code.PEER_UNREACHABLE:
        return SubmitReply(Outcome.NOT_RUN, failure.code, failure.text)
    return build_lost_submission_reply(request.server_id, failure.text)
