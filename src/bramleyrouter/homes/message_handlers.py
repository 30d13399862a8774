"""Handle the messages that other daemons send to a home."""

import asyncio
from collections.abc import Callable, Iterator

import msgspec
from result import Err, Ok, Result

from bramleyrouter.edges.servers.formats import MAX_REPLY_BYTES
from bramleyrouter.failures import Failure
from bramleyrouter.homes.announcements import handle_forwarded_announcement
from bramleyrouter.homes.batches import run_batch, run_submission
from bramleyrouter.homes.codecs import (
    decode_announcement,
    decode_batch,
    decode_handover,
    decode_submit_request,
    decode_withdrawal,
    encode_announcement_reply,
    encode_replies,
    encode_submit_reply,
)
from bramleyrouter.homes.limits import HOP_MARGIN_S
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.homes.server_entries import take_over_locally, withdraw_locally
from bramleyrouter.homes.state import HomesState
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Peer


def register_message_handlers(state: HomesState) -> None:
    """Register the handlers of all message kinds that homes serve."""

    async def handle_batch(
        peer: Peer, payload: bytes, send_item: Callable[[bytes], None]
    ) -> Result[None, Failure]:
        return await _serve_batch(state, peer, payload, send_item)

    async def handle_submission(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_submit_request(payload)
        if isinstance(decoded, Err):
            return decoded
        request = _subtract_hop_margin(decoded.ok_value)
        reply = await run_submission(state, request, peer.data_centre)
        return Ok(encode_submit_reply(reply))

    async def handle_announcement(
        _peer: Peer, payload: bytes
    ) -> Result[bytes, Failure]:
        decoded = decode_announcement(payload)
        if isinstance(decoded, Err):
            return decoded
        reply = await handle_forwarded_announcement(state, decoded.ok_value)
        return reply.map(encode_announcement_reply)

    async def handle_handover(_peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_handover(payload)
        if isinstance(decoded, Err):
            return decoded
        reply = take_over_locally(state, decoded.ok_value)
        return reply.map(encode_announcement_reply)

    async def handle_withdrawal(_peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_withdrawal(payload)
        if isinstance(decoded, Err):
            return decoded
        withdrawal = decoded.ok_value
        outcome = withdraw_locally(state, withdrawal.server_id, withdrawal.incarnation)
        return outcome.map(lambda _: b"")

    state.network.serve_stream(MessageKind.SHARD_BATCH, handle_batch)
    state.network.serve(MessageKind.SUBMIT, handle_submission)
    state.network.serve(MessageKind.ANNOUNCE, handle_announcement)
    state.network.serve(MessageKind.HANDOVER, handle_handover)
    state.network.serve(MessageKind.WITHDRAW, handle_withdrawal)


def _subtract_hop_margin(message):
    """Subtract the time for the message and its reply from the remaining time."""
    remaining_s = message.remaining_s - HOP_MARGIN_S
    return msgspec.structs.replace(message, remaining_s=remaining_s)


def _split_replies(replies: list[GroupReply]) -> Iterator[list[GroupReply]]:
    """Split replies into lists that each fit into one message.

    A single reply is never split.
    """
    chunk: list[GroupReply] = []
    size = 0
    for reply in replies:
        reply_size = sum(map(len, reply.results.values()))
        if chunk and size + reply_size > MAX_REPLY_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(reply)
        size += reply_size
    if chunk:
        yield chunk


async def _serve_batch(
    state: HomesState,
    peer: Peer,
    payload: bytes,
    send_item: Callable[[bytes], None],
) -> Result[None, Failure]:
    decoded = decode_batch(payload)
    if isinstance(decoded, Err):
        return decoded
    done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_replies(replies: list[GroupReply]) -> None:
        for chunk in _split_replies(replies):
            send_item(encode_replies(chunk))

    def on_done() -> None:
        if not done.done():
            done.set_result(None)

    batch = _subtract_hop_margin(decoded.ok_value)
    cancel = run_batch(state, batch, peer.data_centre, on_replies, on_done)
    try:
        await done
    finally:
        cancel()
    return Ok(None)
