"""Requests to one server of a service, with retries where they are allowed."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.gateway.budgets import count_request, take_extra
from bramleyrouter.gateway.exchanges import (
    NOT_ARRIVED,
    NOT_RUN,
    CallerRequest,
    ExchangeOutcome,
    GatewayReply,
    ReplyKind,
    ServerReply,
)
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    MIN_SEND_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    context_for,
    deadline_of,
    refuse,
    refuse_until,
    states_of,
    urgency_of,
    window_of,
)
from bramleyrouter.gateway.latencies import hedge_delay
from bramleyrouter.gateway.sends import (
    Sending,
    cancel_send,
    drop_unsent,
    send,
    time_to_reply,
)
from bramleyrouter.gateway.servers import (
    choose_server,
    describe_servers,
    note_late,
)
from bramleyrouter.gateway.tables import RequestKind, Route
from bramleyrouter.ids import ServerId, ServiceName

# Sends in all, those that were refused or did not arrive included.
MAX_SENDS = 5


@dataclass(eq=False)
class SingleRun:
    """Hold one request while it runs; ``ran`` counts sends that may have run."""

    gateway: Gateway
    route: Route
    request: CallerRequest
    service: ServiceName
    arrived: float
    deadline_at: float
    on_reply: OnGatewayReply
    tried: set[ServerId] = field(default_factory=set)
    pending: list[Sending] = field(default_factory=list)
    last_answer: ServerReply | None = None
    sends: int = 0
    ran: int = 0
    has_arrived: bool = False
    timer: asyncio.TimerHandle | None = None
    is_finished: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT


def choose_service(gateway: Gateway, route: Route) -> ServiceName:
    """Return the next service of a split, in proportion to the weights.

    The service that is furthest behind its share goes next (smooth weighted
    round robin), so that short runs keep the proportions too.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    credit = gateway.split_credit.setdefault(route.name, {})
    for target in route.targets:
        credit[target.service] = credit.get(target.service, 0.0) + target.weight
    # Targets of weight 0 get nothing, and those of an older table are left out.
    best = max(
        (target for target in route.targets if target.weight > 0),
        key=lambda target: credit[target.service],
    )
    credit[best.service] -= sum(target.weight for target in route.targets)
    return best.service


def start_single(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
) -> Cancel:
    """Run a request; call ``on_reply`` once unless the closure is called."""
    now = gateway.loop.time()
    deadline_s = deadline_of(route, request)
    service = choose_service(gateway, route)
    run = SingleRun(gateway, route, request, service, now, now + deadline_s, on_reply)
    late_s = _expected_lateness(run)
    if late_s > 0:
        reason = f'service "{service}" is expected to answer {late_s:.1f} s too late'
        _finish(run, refuse_until(gateway, reason, late_s, deadline_s / 3))
        return lambda: None
    count_request(gateway.budget, service)
    if not _send(run):
        states = states_of(gateway, service)
        known = describe_servers(states, context_for(gateway, service))
        reason = f'service "{service}" has no server that may be asked ({known})'
        _finish(run, refuse(gateway, reason, deadline_s / 3))
        return lambda: None
    _arm(run)
    return lambda: _cancel(run)


def _expected_lateness(run: SingleRun) -> float:
    """Return how much too late the reply of the best server would come, seconds.

    Answers a service that is overloaded for longer than its callers wait: what
    joined the queue then would only time out, and keep others waiting.
    """
    state = _choose(run)
    if state is None:
        return 0.0
    gateway = run.gateway
    reply_s = time_to_reply(gateway, state, window_of(gateway, run.route))
    return reply_s - (run.deadline_at - run.arrived)


def _choose(run: SingleRun):
    context = context_for(run.gateway, run.service)
    return choose_server(states_of(run.gateway, run.service), context, run.tried)


def _send(run: SingleRun) -> bool:
    gateway = run.gateway
    left_s = run.deadline_at - gateway.loop.time()
    state = _choose(run)
    if state is None or left_s < MIN_SEND_S:
        return False
    run.tried.add(state.row.server_id)
    run.sends += 1
    run.ran += 1
    context = context_for(gateway, run.service)
    sending = send(
        gateway,
        state,
        context,
        run.request,
        run.deadline_at,
        urgency_of(run.route, run.arrived),
        window_of(gateway, run.route),
        lambda sending, reply: _take(run, sending, reply),
    )
    run.pending.append(sending)
    return True


def _take(run: SingleRun, sending: Sending, reply: ServerReply) -> None:
    run.pending.remove(sending)
    if run.is_finished:
        return
    is_final = reply.outcome is ExchangeOutcome.ANSWERED and (
        reply.status < 500 or not run.is_idempotent
    )
    if is_final:
        drop_unsent(run.pending)
        now = run.gateway.loop.time()
        for other in run.pending:
            note_late(other.state, now)
        _finish(run, GatewayReply(ReplyKind.SERVER, server=reply))
        return
    _after_failure(run, sending, reply)


def _after_failure(run: SingleRun, sending: Sending, reply: ServerReply) -> None:
    gateway = run.gateway
    gateway.record(
        "gateway",
        "send_failed",
        id=run.request.request_id,
        service=run.service,
        server=sending.state.row.server_id,
        end=reply.outcome.value,
        status=reply.status,
        text=reply.text,
        waited_ms=round(1000 * (gateway.loop.time() - run.arrived)),
    )
    if reply.outcome is ExchangeOutcome.ANSWERED:
        run.last_answer = reply
    if reply.outcome in NOT_RUN:
        run.ran -= 1
    # A server that rejects a request has been reached by it.
    run.has_arrived |= reply.outcome not in NOT_ARRIVED
    if run.pending:
        return
    if _may_send_again(run, reply) and _send(run):
        return
    _finish(run, _last_word(run, reply))


def _may_send_again(run: SingleRun, reply: ServerReply) -> bool:
    if run.sends >= MAX_SENDS or run.ran >= run.route.attempts:
        return False
    if run.ran > 0 and not run.is_idempotent:
        return False
    if _choose(run) is None:
        return False
    return not run.has_arrived or take_extra(run.gateway.budget, run.service)


def _last_word(run: SingleRun, reply: ServerReply) -> GatewayReply:
    """Return the reply when no further server is asked."""
    if run.last_answer is not None:
        return GatewayReply(ReplyKind.SERVER, server=run.last_answer)
    if run.ran <= 0:
        longest_s = (run.deadline_at - run.gateway.loop.time()) / 3
        return refuse(run.gateway, f"last send: {reply.outcome.value}", longest_s)
    if reply.outcome is ExchangeOutcome.TIMED_OUT:
        return GatewayReply(ReplyKind.DEADLINE, "the server did not answer in time")
    return GatewayReply(ReplyKind.FAILED, f"last send: {reply.outcome.value}")


def _arm(run: SingleRun) -> None:
    if run.is_finished:
        return
    at = run.deadline_at - DEADLINE_MARGIN_S
    if _may_hedge(run):
        window = window_of(run.gateway, run.route)
        at = min(at, run.arrived + hedge_delay(window, run.route.objective_s))
    run.timer = run.gateway.loop.call_at(at, _on_timer, run)


def _may_hedge(run: SingleRun) -> bool:
    return run.is_idempotent and run.sends == 1 and run.route.attempts > 1


def _on_timer(run: SingleRun) -> None:
    run.timer = None
    if run.is_finished:
        return
    now = run.gateway.loop.time()
    if now >= run.deadline_at - DEADLINE_MARGIN_S:
        _finish(run, GatewayReply(ReplyKind.DEADLINE, "no server answered in time"))
        return
    if _may_hedge(run) and _choose(run) is not None:
        if take_extra(run.gateway.budget, run.service, is_hedge=True):
            _send(run)
    run.timer = run.gateway.loop.call_at(
        run.deadline_at - DEADLINE_MARGIN_S, _on_timer, run
    )


def _finish(run: SingleRun, reply: GatewayReply) -> None:
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    if reply.kind is not ReplyKind.SERVER:
        # The caller is told that this is over; a server that still works on
        # it would work for nobody.
        _stop(run)
    is_good = reply.server is not None and reply.server.status < 500
    record = run.gateway.record_rate_limited if is_good else run.gateway.record
    record(
        "gateway",
        "request_ended",
        id=run.request.request_id,
        route=run.route.name,
        service=run.service,
        outcome=reply.kind.value,
        status=reply.server.status if reply.server else None,
        sends=run.sends,
        ran=run.ran,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
        reason=reply.reason,
    )
    run.on_reply(reply)


def _stop(run: SingleRun) -> None:
    for sending in run.pending:
        cancel_send(sending)
    run.pending.clear()


def _cancel(run: SingleRun) -> None:
    """Stop all work: the caller has left."""
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    _stop(run)
