"""Send one request to one server, when a connection to it is free."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.gateway.exchanges import CallerRequest, ExchangeOutcome, ServerReply
from bramleyrouter.gateway.gateways import Gateway, mark_data_centre_reachable
from bramleyrouter.gateway.latencies import LatencyWindow, add_sample
from bramleyrouter.gateway.queues import (
    Urgency,
    Waiting,
    enter,
    expected_wait,
    leave,
    withdraw,
)
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    is_usable,
    note_cancelled,
    note_reply,
    note_sent,
)

# Part of a server's connections that all entry daemons hold together; a new one
# may open before the server has seen the former one close.
CONNECTIONS_USED = 0.95
# Connections beyond a server's slots, so that a reply that is late does not
# keep the next request waiting.
SPARE_CONNECTIONS = 2


@dataclass(eq=False)
class Sending:
    """Hold one exchange that waits for a connection or is under way.

    ``until`` is the loop time at which nobody waits for it any more. ``stop``
    ends the exchange or the wait.
    """

    gateway: Gateway
    state: TrackedServer
    request: CallerRequest
    until: float
    window: LatencyWindow
    on_ended: "OnEnded"
    waiting: Waiting = field(init=False)
    sent_at: float = 0.0
    stop: Callable[[], None] = lambda: None
    is_started: bool = False
    is_ended: bool = False


# Takes the end of an exchange.
OnEnded = Callable[[Sending, ServerReply], None]


def send(
    gateway: Gateway,
    state: TrackedServer,
    context: ChoiceContext,
    request: CallerRequest,
    until: float,
    urgency: Urgency,
    window: LatencyWindow,
    on_ended: OnEnded,
) -> Sending:
    """Send a request to a server and learn from how it ends.

    It waits while all connections to the server are in use, until the loop
    time ``until`` at most. ``on_ended`` is called once unless cancelled.
    """
    note_sent(state, context)
    sending = Sending(gateway, state, request, until, window, on_ended)
    sending.waiting = Waiting(urgency, lambda: _start(sending))
    if not enter(state.queue, sending.waiting, connections_to(gateway, state)):
        sending.stop = gateway.loop.call_at(until, _give_up, sending).cancel
    return sending


def _start(sending: Sending) -> None:
    """Send now: a connection is free."""
    gateway, state = sending.gateway, sending.state
    sending.stop()
    sending.is_started = True
    sending.sent_at = gateway.loop.time()
    if not is_usable(state, gateway.data_centres_out()):
        # The server has left while the request waited.
        unsent = ServerReply(ExchangeOutcome.UNSENT, text="the server has left")
        sending.stop = gateway.loop.call_soon(_end, sending, unsent).cancel
        return
    sending.stop = gateway.transport(
        state.row,
        sending.request,
        max(0.0, sending.until - sending.sent_at),
        connections_to(gateway, state),
        lambda reply: _end(sending, reply),
    )


def _end(sending: Sending, reply: ServerReply) -> None:
    gateway, state = sending.gateway, sending.state
    sending.is_ended = True
    now = gateway.loop.time()
    leave(state.queue, now)
    latency_s = now - sending.sent_at
    note_reply(state, reply, latency_s, sending.window.median_s, now)
    # Without a status nothing came back, whatever the end.
    if reply.status:
        mark_data_centre_reachable(gateway, state.row.data_centre)
    if reply.is_success:
        add_sample(sending.window, latency_s)
    sending.on_ended(sending, reply)


def _give_up(sending: Sending) -> None:
    """End a wait for which the time is over."""
    state, now = sending.state, sending.gateway.loop.time()
    withdraw(state.queue, sending.waiting)
    sending.is_ended = True
    reply = ServerReply(ExchangeOutcome.UNSENT, text="no connection became free")
    note_reply(state, reply, 0.0, 0.0, now)
    sending.on_ended(sending, reply)


def cancel_send(sending: Sending) -> None:
    """Stop an exchange that nobody waits for; its end is not told."""
    if sending.is_ended:
        return
    sending.is_ended = True
    sending.stop()
    queue = sending.state.queue
    if sending.is_started:
        leave(queue, sending.gateway.loop.time())
    else:
        withdraw(queue, sending.waiting)
    note_cancelled(sending.state)


def drop_unsent(pending: list[Sending]) -> None:
    """Take out the exchanges that still wait: nobody needs their replies."""
    for sending in list(pending):
        if not sending.is_started:
            pending.remove(sending)
            cancel_send(sending)


def connection_share(declared: int, entry_daemons: int) -> int:
    """Return how many connections this daemon may hold to one server."""
    return max(1, int(CONNECTIONS_USED * declared / max(1, entry_daemons)))


def connections_to(gateway: Gateway, state: TrackedServer) -> int:
    """Return how many connections this daemon uses to a server."""
    known = gateway.index.services.get(state.row.service) if gateway.index else None
    declared = known.max_connections if known else state.row.slots + 1
    share = connection_share(declared, gateway.entry_daemons())
    # More would only fill the server's queue.
    return min(share, state.row.slots + SPARE_CONNECTIONS)


def time_to_reply(
    gateway: Gateway, state: TrackedServer, window: LatencyWindow
) -> float:
    """Return the seconds until a server is expected to answer a request sent now.

    It is 0 until the route's latencies are known.
    """
    connections = connections_to(gateway, state)
    wait_s = expected_wait(state.queue, connections, window.median_s)
    return wait_s + window.median_s if wait_s else 0.0
