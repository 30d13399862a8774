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
    decode_grant,
    decode_query,
    encode_message,
)
from bramleyrouter.gateway.exchanges import GatewayReply, ReplyKind
from bramleyrouter.gateway.gateways import Gateway
from bramleyrouter.gateway.gather_runs import RequestingDaemon
from bramleyrouter.gateway.gathers import build_gather_run, run_gather
from bramleyrouter.gateway.reply_times import MIN_NETWORK_S, compute_reserved_time
from bramleyrouter.gateway.shard_attempts import apply_grant
from bramleyrouter.gateway.tables import RequestKind, Route
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.wire.network import Handler, Peer, StreamHandler

# Servers that told the relay that they leave, as in ``DelegatedReply``.
Leaving = tuple[tuple[int, ServerId, ServerIncarnation], ...]


def build_relay_route(query: DelegatedQuery) -> Route:
    """Build the route by which a relay runs a delegated query.

    A query with several attempts and no grant id is one of release 0.3.0, whose
    requesting daemons may use all attempts but one themselves.
    """
    attempts = query.attempts if query.grant_id else 1
    return Route(
        name=query.route,
        host=query.request.host,
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        timeout_s=query.deadline_s,
        objective_s=query.objective_s,
        priority=query.priority,
        attempts=attempts,
        shards=query.services,
        top_records=query.top_records,
        # The requesting daemon decides whether the coverage is enough.
        min_coverage=0.0,
    )


def build_delegated_reply(
    query: DelegatedQuery, reply: GatewayReply, is_last: bool, leaving: Leaving = ()
) -> DelegatedReply:
    """Build the message to the requesting daemon from a reply of the gather."""
    if reply.kind is not ReplyKind.GATHERED:
        has_run = reply.kind is not ReplyKind.REFUSED
        return DelegatedReply(may_have_run=has_run, leaving=leaving)
    positions = {service: at for at, service in enumerate(query.services)}
    included = tuple(positions[service] for service in reply.included)
    return DelegatedReply(
        included, reply.signatures, reply.body, is_last=is_last, leaving=leaving
    )


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

        request = query.request._replace(deadline_s=query.deadline_s, credentials=None)

        def report(part: GatewayReply) -> None:
            leaving = take_leaving()
            message = build_delegated_reply(query, part, is_last=False, leaving=leaving)
            send(encode_message(message))

        def request_attempts(positions: tuple[int, ...]) -> None:
            send(encode_message(DelegatedReply(is_last=False, wanted=positions)))

        requesting_daemon = RequestingDaemon(
            peer.address, report, request_attempts if query.grant_id else None
        )
        route = build_relay_route(query)
        useful_s = query.useful_s
        if not useful_s:
            useful_s = query.objective_s - compute_reserved_time(
                query.objective_s, MIN_NETWORK_S, 0.0, gateway.limits.cores
            )
        run = build_gather_run(
            gateway, route, request, finish, useful_s, requesting_daemon
        )

        def take_leaving() -> Leaving:
            leaving, run.leaving = tuple(run.leaving), []
            return leaving

        if query.grant_id:
            gateway.relayed_gathers[query.grant_id] = run
        cancel = run_gather(run)
        try:
            reply = await fut
        except asyncio.CancelledError:
            # The requesting daemon or its caller has disconnected.
            cancel()
            raise
        finally:
            gateway.relayed_gathers.pop(query.grant_id, None)
        last = build_delegated_reply(query, reply, is_last=True, leaving=take_leaving())
        send(encode_message(last))
        return Ok(None)

    return serve


def build_grant_handler(gateway: Gateway) -> Handler:
    """Return the handler of grants of further attempts."""

    async def apply(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_grant(payload)
        if isinstance(decoded, Err):
            return decoded
        grant = decoded.ok_value
        run = gateway.relayed_gathers.get(grant.grant_id)
        if run is None:
            # The gather has ended.
            return Ok(b"")
        for position, attempts in zip(grant.positions, grant.attempts, strict=True):
            apply_grant(run, position, attempts)
        run.reply_if_due(run)
        return Ok(b"")

    return apply
