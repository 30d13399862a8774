"""Serve the queries that other entry daemons delegate to this one as a relay."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.delegation import (
    CONFIRMATION,
    DelegatedQuery,
    DelegatedReply,
    decode_query,
    encode_message,
)
from bramleyrouter.gateway.exchanges import GatewayReply, ReplyKind
from bramleyrouter.gateway.gateways import Gateway
from bramleyrouter.gateway.gathers import start_gather
from bramleyrouter.gateway.tables import RequestKind, Route
from bramleyrouter.wire.network import Peer, StreamHandler


def build_relay_route(query: DelegatedQuery) -> Route:
    """Build the route by which a relay runs a delegated query."""
    return Route(
        name=query.route,
        host=query.request.host,
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        timeout_s=query.deadline_s,
        objective_s=query.objective_s,
        priority=query.priority,
        attempts=query.attempts,
        shards=query.services,
        top_records=query.top_records,
        # The requesting daemon decides whether the coverage is enough.
        min_coverage=0.0,
    )


def build_delegated_reply(
    query: DelegatedQuery, reply: GatewayReply, is_last: bool
) -> DelegatedReply:
    """Build the message to the requesting daemon from a reply of the gather."""
    if reply.kind is not ReplyKind.GATHERED:
        return DelegatedReply(may_have_run=reply.kind is not ReplyKind.REFUSED)
    positions = {service: at for at, service in enumerate(query.services)}
    included = tuple(positions[service] for service in reply.included)
    return DelegatedReply(included, reply.signatures, reply.body, is_last=is_last)


def build_delegated_handler(
    gateway: Gateway, is_stopping: Callable[[], bool]
) -> StreamHandler:
    """Return the stream handler of delegated queries."""

    async def serve(
        peer: Peer, payload: bytes, send: Callable[[bytes], None]
    ) -> Result[None, Failure]:
        decoded = decode_query(payload)
        if isinstance(decoded, Err):
            return decoded
        if is_stopping() or gateway.index is None:
            return Err(Failure(Code.STOPPING, "This daemon takes no queries now."))
        query = decoded.ok_value
        send(CONFIRMATION)
        fut: asyncio.Future[GatewayReply] = gateway.loop.create_future()

        def finish(reply: GatewayReply) -> None:
            if not fut.done():
                fut.set_result(reply)

        request = query.request._replace(deadline_s=query.deadline_s)
        cancel = start_gather(
            gateway,
            build_relay_route(query),
            request,
            finish,
            lambda part: send(
                encode_message(build_delegated_reply(query, part, is_last=False))
            ),
            peer.address,
        )
        try:
            reply = await fut
        except asyncio.CancelledError:
            # The requesting daemon or its caller has disconnected.
            cancel()
            raise
        send(encode_message(build_delegated_reply(query, reply, is_last=True)))
        return Ok(None)

    return serve
