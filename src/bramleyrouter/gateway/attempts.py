"""Send one request to one server once a connection to it is free."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.gateway.budgets import end_extra_send
from bramleyrouter.gateway.exchanges import (
    NOT_ARRIVED,
    CallerRequest,
    ExchangeOutcome,
    MaySend,
    ServerReply,
)
from bramleyrouter.gateway.gateways import (
    Gateway,
    get_tracked_servers,
    mark_data_centre_reachable,
)
from bramleyrouter.gateway.latencies import LatencyWindow, add_sample
from bramleyrouter.gateway.permits import Permit, has_expired, use_permit
from bramleyrouter.gateway.queues import (
    QueuedRequest,
    Urgency,
    abandon_waiting,
    acquire_connection,
    compute_expected_wait,
    release_connection,
    remove_waiting,
)
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    explain_remote_choice,
    is_usable,
    record_cancelled,
    record_reply,
    record_sent,
)
from bramleyrouter.gateway.version_choice import (
    may_still_send,
    record_assigned,
    record_version_cancel,
    record_version_reply,
)

# Share of a server's connections that all entry daemons together use. It is below 1
# because a new connection may open before the server notices that the previous one was
# closed.
USED_CONNECTION_SHARE = 0.95
# Connections beyond a server's slots, so that a late reply does not delay the next
# request.
SPARE_CONNECTIONS = 2
UNUSABLE_TEXT = "the server left or wants no requests"
NO_PERMIT_TEXT = "the request's permit has expired"


@dataclass(eq=False)
class Attempt:
    """Hold one request to one server that waits for a connection or is in flight.

    ``expires_at`` is the loop time until which the result is needed. ``siblings`` holds
    the open attempts of the same request. ``is_extra`` is set if an extra send of the
    budget ends with this attempt. ``cancel`` cancels the exchange or the timer of the
    wait.
    """

    gateway: Gateway
    server: TrackedServer
    request: CallerRequest
    expires_at: float
    window: LatencyWindow
    on_end: "OnAttemptEnd"
    siblings: "list[Attempt]"
    is_extra: bool
    permit: Permit | None = None
    queued: QueuedRequest = field(init=False)
    sent_at: float = 0.0
    cancel: Callable[[], None] = lambda: None
    is_started: bool = False
    # Whether it was removed from the queue because its server wants no requests.
    is_abandoned: bool = False
    has_ended: bool = False


# Called with the reply when an attempt has ended.
OnAttemptEnd = Callable[[Attempt, ServerReply], None]


def start_attempt(
    gateway: Gateway,
    server: TrackedServer,
    context: ChoiceContext,
    request: CallerRequest,
    expires_at: float,
    urgency: Urgency,
    window: LatencyWindow,
    on_end: OnAttemptEnd,
    siblings: list[Attempt],
    is_extra: bool,
    permit: Permit | None = None,
) -> Attempt:
    """Send a request to a server and record the result in the server's state.

    The request waits while all connections to the server are in use, at most until the
    loop time ``expires_at``. ``on_end`` is called once unless the attempt is cancelled.
    If ``is_extra`` is set, the caller has consumed an extra send of the budget. It ends
    with this attempt, or with one of its ``siblings`` that ends later. The first
    attempt of a request with a ``permit`` is sent only while that is valid.
    """
    _note_choice(gateway, server, context, request)
    record_sent(server, context)
    record_assigned(gateway, server, request.request_id)
    attempt = Attempt(
        gateway,
        server,
        request,
        expires_at,
        window,
        on_end,
        siblings,
        is_extra,
        permit,
    )
    attempt.queued = QueuedRequest(
        urgency, lambda: _send_now(attempt), lambda: _abandon_waiting(attempt)
    )
    if not acquire_connection(
        server.queue, attempt.queued, compute_connection_limit(gateway, server)
    ):
        attempt.cancel = gateway.loop.call_at(
            expires_at, _expire_waiting, attempt
        ).cancel
    return attempt


def _note_choice(
    gateway: Gateway,
    server: TrackedServer,
    context: ChoiceContext,
    request: CallerRequest,
) -> None:
    """Count the choice, and log why a remote server was preferred to a local one."""
    if server.row.data_centre == context.own_data_centre:
        gateway.send_counts["local"] += 1
        return
    gateway.send_counts["remote"] += 1
    servers = get_tracked_servers(gateway, server.row.service)
    reason = explain_remote_choice(servers, server, context)
    if reason is not None:
        gateway.record_rate_limited(
            "gateway",
            "remote_server_chosen",
            id=request.request_id,
            service=server.row.service,
            server=server.row.server_id,
            by="cost" if reason.is_by_cost else "state",
            cost=round(reason.cost, 2),
            local_server=reason.local_server,
            local_cost=round(reason.local_cost, 2),
            age_s=round(reason.age_s, 1) if reason.age_s < math.inf else None,
        )


def _send_now(attempt: Attempt) -> None:
    """Send the request on a free connection."""
    gateway, server = attempt.gateway, attempt.server
    attempt.cancel()
    attempt.is_started = True
    attempt.sent_at = gateway.loop.time()
    outs = gateway.get_data_centres_out()
    if not is_usable(server, outs, attempt.sent_at) or not may_still_send(
        gateway, server
    ):
        # The server became unusable while the request waited.
        unsent = ServerReply(ExchangeOutcome.UNSENT, text=UNUSABLE_TEXT)
        attempt.cancel = gateway.loop.call_soon(_finish_attempt, attempt, unsent).cancel
        return
    if has_expired(attempt.permit, attempt.sent_at):
        unsent = ServerReply(ExchangeOutcome.UNSENT, text=NO_PERMIT_TEXT)
        attempt.cancel = gateway.loop.call_soon(_finish_attempt, attempt, unsent).cancel
        return
    try:
        attempt.cancel = gateway.send_to_server(
            server.row,
            attempt.request,
            max(0.0, attempt.expires_at - attempt.sent_at),
            compute_connection_limit(gateway, server),
            lambda reply: _finish_attempt(attempt, reply),
            _build_may_send(attempt),
        )
    except Exception as exc:
        # The connection and the request would otherwise count as in use for good. The
        # request may have been sent.
        gateway.record(
            "gateway",
            "unexpected_error",
            id=attempt.request.request_id,
            server=server.row.server_id,
            reason=repr(exc),
        )
        lost = ServerReply(ExchangeOutcome.LOST, text=f"unexpected error: {exc!r}")
        attempt.cancel = gateway.loop.call_soon(_finish_attempt, attempt, lost).cancel


def _build_may_send(attempt: Attempt) -> MaySend | None:
    """Return what checks the permit once the connection is open."""
    if attempt.permit is None:
        return None
    return lambda: use_permit(attempt.permit, attempt.gateway.loop.time())


def _do_nothing() -> None:
    """Cancel nothing, as the attempt has ended."""


def _mark_ended(attempt: Attempt, may_have_arrived: bool) -> None:
    attempt.has_ended = True
    if not attempt.is_extra:
        return
    if may_have_arrived:
        # An earlier attempt that is still open, for example because it waits for a
        # connection, arrives after this one and is then the extra arrival.
        for sibling in attempt.siblings:
            if not sibling.has_ended and not sibling.is_extra:
                sibling.is_extra = True
                return
    service = attempt.server.row.service
    end_extra_send(attempt.gateway.budget, service, may_have_arrived)


def _finish_attempt(attempt: Attempt, reply: ServerReply) -> None:
    gateway, server = attempt.gateway, attempt.server
    # It refers to the exchange and what that has sent and received.
    attempt.cancel = _do_nothing
    _mark_ended(attempt, reply.outcome not in NOT_ARRIVED)
    now = gateway.loop.time()
    latency_s = now - attempt.sent_at
    record_reply(server, reply, latency_s, attempt.window.median_s, now)
    record_version_reply(attempt, reply, latency_s)
    if reply.outcome is ExchangeOutcome.REFUSED:
        gateway.send_counts["refused"] += 1
    if reply.is_leaving or reply.retry_after_s:
        _record_backoff(attempt, reply)
        abandon_waiting(server.queue)
    release_connection(server.queue, now)
    # A reply has a status only if a response came back from the server. The outcome
    # alone does not show this: a refusal may come from this daemon's connection pool.
    if reply.status:
        mark_data_centre_reachable(gateway, server.row.data_centre)
    if reply.is_success:
        add_sample(attempt.window, latency_s)
    attempt.on_end(attempt, reply)


def _record_backoff(attempt: Attempt, reply: ServerReply) -> None:
    """Record why a server gets no further requests from this daemon."""
    attempt.gateway.servers.has_backoffs = True
    attempt.gateway.record_rate_limited(
        "gateway",
        "server_backed_off",
        id=attempt.request.request_id,
        service=attempt.server.row.service,
        server=attempt.server.row.server_id,
        is_leaving=attempt.server.backoff.is_leaving,
        for_s=round(reply.retry_after_s, 3),
    )


def _expire_waiting(attempt: Attempt) -> None:
    """End an attempt that got no connection in time."""
    remove_waiting(attempt.server.queue, attempt.queued)
    _end_unsent(attempt, "no connection became free")


def _abandon_waiting(attempt: Attempt) -> None:
    """End an attempt that its queue has given up; its request goes elsewhere.

    The result is reported in the next loop iteration, because the request may choose
    another server, and the current reply is not processed completely yet.
    """
    attempt.cancel()
    attempt.is_abandoned = True
    attempt.cancel = attempt.gateway.loop.call_soon(
        _end_unsent, attempt, UNUSABLE_TEXT
    ).cancel


def _end_unsent(attempt: Attempt, text: str) -> None:
    _mark_ended(attempt, may_have_arrived=False)
    reply = ServerReply(ExchangeOutcome.UNSENT, text=text)
    record_reply(attempt.server, reply, 0.0, 0.0, attempt.gateway.loop.time())
    attempt.on_end(attempt, reply)


def cancel_attempt(attempt: Attempt) -> None:
    """Cancel an attempt whose result is not needed; ``on_end`` is not called."""
    if attempt.has_ended:
        return
    _mark_ended(attempt, may_have_arrived=attempt.is_started)
    record_version_cancel(attempt)
    attempt.cancel()
    queue = attempt.server.queue
    if attempt.is_started:
        release_connection(queue, attempt.gateway.loop.time())
    elif not attempt.is_abandoned:
        remove_waiting(queue, attempt.queued)
    record_cancelled(attempt.server)


def discard_unsent(pending: list[Attempt]) -> None:
    """Remove the attempts that were not sent yet; their results are not needed."""
    for attempt in list(pending):
        if not attempt.is_started:
            pending.remove(attempt)
            cancel_attempt(attempt)


def compute_connection_share(max_connections: int, entry_daemons: int | None) -> int:
    """Return this daemon's share of the connections that a server accepts.

    It is 1 while the number of entry daemons is unknown.
    """
    if entry_daemons is None:
        return 1
    return max(1, int(USED_CONNECTION_SHARE * max_connections / max(1, entry_daemons)))


def compute_connection_limit(gateway: Gateway, server: TrackedServer) -> int:
    """Return how many connections to a server this daemon may use."""
    service = gateway.index.services.get(server.row.service) if gateway.index else None
    max_connections = service.max_connections if service else server.row.slots + 1
    share = compute_connection_share(max_connections, gateway.count_entry_daemons())
    # More connections would only fill the server's own queue.
    return min(share, server.row.slots + SPARE_CONNECTIONS)


def estimate_reply_time(
    gateway: Gateway, server: TrackedServer, window: LatencyWindow
) -> float:
    """Return the seconds until a server is expected to reply to a request sent now.

    It is 0 if a connection is free or the route's latencies are not known yet.
    """
    connections = compute_connection_limit(gateway, server)
    wait_s = compute_expected_wait(server.queue, connections, window.median_s)
    return wait_s + window.median_s if wait_s else 0.0
