"""Run single-service requests, with retries and hedges if they are idempotent."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.gateway.attempts import (
    Attempt,
    cancel_attempt,
    discard_unsent,
    estimate_reply_time,
    start_attempt,
)
from bramleyrouter.gateway.budgets import count_request, try_consume_extra_send
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
    MIN_ATTEMPT_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    build_choice_context,
    build_refusal,
    build_refusal_until,
    compute_time_limit,
    compute_urgency,
    compute_wait_for_service,
    find_backed_off_ids,
    get_hedge_allowance,
    get_latency_window,
    get_reserved_share,
    get_tracked_servers,
)
from bramleyrouter.gateway.hedge_timing import (
    HedgeTiming,
    compute_hedge_timing,
    find_next_check,
    is_hedge_due,
)
from bramleyrouter.gateway.permits import Permit
from bramleyrouter.gateway.reply_times import MIN_NETWORK_S
from bramleyrouter.gateway.servers import (
    format_servers,
    record_late,
)
from bramleyrouter.gateway.tables import RequestKind, Route
from bramleyrouter.gateway.version_choice import choose_among_versions
from bramleyrouter.ids import ServerId, ServiceName
from bramleyrouter.utils.byte_budgets import Holding, hold, release_all

# Maximum number of attempts, including those that were refused or did not arrive.
MAX_ATTEMPTS_PER_REQUEST = 5


@dataclass(eq=False)
class SingleRequestRun:
    """Hold one request while it runs.

    ``possible_runs`` counts the attempts that may have run.
    """

    gateway: Gateway
    route: Route
    request: CallerRequest
    service: ServiceName
    arrived_at: float
    deadline_at: float
    on_reply: OnGatewayReply
    permit: Permit | None = None
    tried: set[ServerId] = field(default_factory=set)
    pending: list[Attempt] = field(default_factory=list)
    # The last reply with a 5xx status, for the caller if no other attempt succeeds.
    last_reply: ServerReply | None = None
    last_reply_holding: Holding | None = None
    attempt_count: int = 0
    possible_runs: int = 0
    has_arrived: bool = False
    # Servers that were not chosen because they leave or want no requests for a while.
    backed_off: set[ServerId] = field(default_factory=set)
    # Delay of the next check for a hedge, in seconds; none if there is none.
    next_hedge_check_s: float | None = None
    timer: asyncio.TimerHandle | None = None
    is_finished: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT


def choose_service(gateway: Gateway, route: Route) -> ServiceName:
    """Return the next service of a weighted split.

    The service that is furthest behind its share goes next (smooth weighted round
    robin), so that the proportions hold even over short sequences of requests.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    credit = gateway.split_credit.setdefault(route.name, {})
    for target in route.targets:
        credit[target.service] = credit.get(target.service, 0.0) + target.weight
    # Targets of weight 0 are never chosen, and neither are those of an older table.
    best = max(
        (target for target in route.targets if target.weight > 0),
        key=lambda target: credit[target.service],
    )
    credit[best.service] -= sum(target.weight for target in route.targets)
    return best.service


def start_single_request(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    arrived_at: float | None = None,
    permit: Permit | None = None,
) -> Cancel:
    """Run a request and return the closure that cancels it.

    ``on_reply`` is called once unless the request is cancelled. A request that waited
    for its ``permit`` has arrived before, at the loop time ``arrived_at``.
    """
    arrived_at = gateway.loop.time() if arrived_at is None else arrived_at
    deadline_s = compute_time_limit(route, request)
    service = choose_service(gateway, route)
    run = SingleRequestRun(
        gateway,
        route,
        request,
        service,
        arrived_at,
        arrived_at + deadline_s,
        on_reply,
        permit,
    )
    lateness_s = _estimate_lateness(run)
    if lateness_s > 0:
        reason = (
            f'service "{service}" is expected to answer {lateness_s:.1f} s too late'
        )
        _finish(run, build_refusal_until(gateway, reason, lateness_s, deadline_s / 3))
        return lambda: None
    count_request(gateway.budget, service)
    if not _send_attempt(run, is_extra=False):
        servers = get_tracked_servers(gateway, service)
        servers_text = format_servers(servers, build_choice_context(gateway, service))
        reason = f'service "{service}" has no server that may be asked ({servers_text})'
        _finish(run, _build_not_run_refusal(run, reason))
        return lambda: None
    if _may_hedge(run):
        run.next_hedge_check_s = _compute_hedge_timing(run).earliest_s
    _schedule_timer(run)
    return lambda: _cancel(run)


def _estimate_lateness(run: SingleRequestRun) -> float:
    """Return how many seconds after the deadline the best server would reply.

    A service that stays overloaded for longer than its callers wait must refuse early:
    a request that joins the queue would only time out and delay others.
    """
    server = _choose_server(run)
    if server is None:
        return 0.0
    gateway = run.gateway
    reply_s = estimate_reply_time(
        gateway, server, get_latency_window(gateway, run.route)
    )
    return reply_s - (run.deadline_at - gateway.loop.time())


def _choose_server(run: SingleRequestRun):
    context = build_choice_context(run.gateway, run.service)
    return choose_among_versions(run.gateway, run.service, context, run.tried)


def _send_attempt(
    run: SingleRequestRun, is_extra: bool, is_hedge: bool = False
) -> bool:
    """Send or queue the request for the best untried server.

    Return false if there is no such server, if less than ``MIN_ATTEMPT_S`` is left, or
    if ``is_extra`` is set and the budget allows no extra send.
    """
    gateway = run.gateway
    remaining_s = run.deadline_at - gateway.loop.time()
    run.backed_off.update(find_backed_off_ids(gateway, run.service))
    server = _choose_server(run)
    if server is None or remaining_s < MIN_ATTEMPT_S:
        return False
    reserved_share = get_reserved_share(gateway, run.route, run.service)
    if is_extra and not try_consume_extra_send(
        gateway.budget, run.service, is_hedge, reserved_share
    ):
        return False
    run.tried.add(server.row.server_id)
    run.attempt_count += 1
    run.possible_runs += 1
    context = build_choice_context(gateway, run.service)
    attempt = start_attempt(
        gateway,
        server,
        context,
        run.request,
        run.deadline_at,
        compute_urgency(gateway, run.route, run.request, run.arrived_at),
        get_latency_window(gateway, run.route),
        lambda attempt, reply: _handle_reply(run, attempt, reply),
        run.pending,
        is_extra,
        run.permit,
    )
    run.pending.append(attempt)
    return True


def _handle_reply(run: SingleRequestRun, attempt: Attempt, reply: ServerReply) -> None:
    run.pending.remove(attempt)
    if run.is_finished:
        return
    is_final = reply.outcome is ExchangeOutcome.ANSWERED and (
        reply.status < 500 or not run.is_idempotent
    )
    if is_final:
        discard_unsent(run.pending)
        now = run.gateway.loop.time()
        for other in run.pending:
            record_late(other.server, now)
        _finish(run, GatewayReply(ReplyKind.SERVER, server=reply))
        return
    _handle_failure(run, attempt, reply)


def _handle_failure(
    run: SingleRequestRun, attempt: Attempt, reply: ServerReply
) -> None:
    gateway = run.gateway
    gateway.record(
        "gateway",
        "send_failed",
        id=run.request.request_id,
        service=run.service,
        server=attempt.server.row.server_id,
        end=reply.outcome.value,
        status=reply.status,
        text=reply.text,
        waited_ms=round(1000 * (gateway.loop.time() - run.arrived_at)),
    )
    if reply.outcome is ExchangeOutcome.ANSWERED:
        _keep_reply(run, attempt, reply)
    if reply.outcome in NOT_RUN:
        run.possible_runs -= 1
    # A request that a server refused has nevertheless reached it.
    run.has_arrived |= reply.outcome not in NOT_ARRIVED
    if run.pending:
        return
    if _may_retry(run) and _send_attempt(run, is_extra=run.has_arrived):
        return
    _finish(run, _build_final_reply(run, reply))


def _keep_reply(run: SingleRequestRun, attempt: Attempt, reply: ServerReply) -> None:
    def drop_reply() -> None:
        run.last_reply = None

    _release_last_reply(run)
    run.last_reply = reply
    run.last_reply_holding = Holding(
        run.gateway.memory, "server", attempt.server.row.server_id, drop_reply
    )
    hold(run.last_reply_holding, len(reply.body))


def _release_last_reply(run: SingleRequestRun) -> None:
    if run.last_reply_holding is not None:
        release_all(run.last_reply_holding)
        run.last_reply = run.last_reply_holding = None


def _may_retry(run: SingleRequestRun) -> bool:
    if (
        run.attempt_count >= MAX_ATTEMPTS_PER_REQUEST
        or run.possible_runs >= run.route.attempts
    ):
        return False
    return run.possible_runs <= 0 or run.is_idempotent


def _build_final_reply(run: SingleRequestRun, reply: ServerReply) -> GatewayReply:
    """Build the reply after the last attempt."""
    if run.last_reply is not None:
        return GatewayReply(ReplyKind.SERVER, server=run.last_reply)
    if run.possible_runs <= 0:
        return _build_not_run_refusal(run, f"last send: {reply.outcome.value}")
    if reply.outcome is ExchangeOutcome.TIMED_OUT:
        return GatewayReply(ReplyKind.DEADLINE, "the server did not answer in time")
    return GatewayReply(ReplyKind.FAILED, f"last send: {reply.outcome.value}")


def _build_not_run_refusal(run: SingleRequestRun, reason: str) -> GatewayReply:
    """Build a refusal that names when a server wants requests again, if known."""
    gateway = run.gateway
    max_wait_s = (run.deadline_at - gateway.loop.time()) / 3
    wait_s = compute_wait_for_service(gateway, run.service)
    if not wait_s:
        return build_refusal(gateway, reason, max_wait_s)
    return build_refusal_until(gateway, reason, wait_s, max_wait_s)


def _schedule_timer(run: SingleRequestRun) -> None:
    if run.is_finished:
        return
    at = run.deadline_at - DEADLINE_MARGIN_S
    if run.next_hedge_check_s is not None and _may_hedge(run):
        at = min(at, run.arrived_at + run.next_hedge_check_s)
    run.timer = run.gateway.loop.call_at(at, _on_timer, run)


def _may_hedge(run: SingleRequestRun) -> bool:
    return run.is_idempotent and run.attempt_count == 1 and run.route.attempts > 1


def _on_timer(run: SingleRequestRun) -> None:
    run.timer = None
    if run.is_finished:
        return
    now = run.gateway.loop.time()
    if now >= run.deadline_at - DEADLINE_MARGIN_S:
        _finish(run, GatewayReply(ReplyKind.DEADLINE, "no server answered in time"))
        return
    if _may_hedge(run):
        _hedge_if_due(run)
    _schedule_timer(run)


def _compute_hedge_timing(run: SingleRequestRun) -> HedgeTiming:
    window = get_latency_window(run.gateway, run.route)
    useful_s = run.route.objective_s - MIN_NETWORK_S
    return compute_hedge_timing(window, run.route.objective_s, useful_s)


def _hedge_if_due(run: SingleRequestRun) -> None:
    """Send the hedge, or plan another check if the allowance is scarce."""
    check_s = run.next_hedge_check_s
    run.next_hedge_check_s = None
    if check_s is None:
        return
    timing = _compute_hedge_timing(run)
    allowance = get_hedge_allowance(run.gateway, run.route, run.service)
    if is_hedge_due(timing, allowance, check_s):
        _send_attempt(run, is_extra=True, is_hedge=True)
        return
    next_s = find_next_check(timing, check_s, is_postponed=True)
    if next_s is not None and next_s <= timing.latest_s:
        run.next_hedge_check_s = next_s


def _finish(run: SingleRequestRun, reply: GatewayReply) -> None:
    run.is_finished = True
    _release_last_reply(run)
    if run.timer is not None:
        run.timer.cancel()
    if reply.kind is not ReplyKind.SERVER:
        # The caller gets its final reply now, so the result of a server that is still
        # working would not be used.
        _cancel_attempts(run)
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
        sends=run.attempt_count,
        ran=run.possible_runs,
        backed_off=sorted(run.backed_off),
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived_at)),
        reason=reply.reason,
    )
    run.on_reply(reply)


def _cancel_attempts(run: SingleRequestRun) -> None:
    for attempt in run.pending:
        cancel_attempt(attempt)
    run.pending.clear()


def _cancel(run: SingleRequestRun) -> None:
    """Cancel all work because the caller has disconnected."""
    run.is_finished = True
    _release_last_reply(run)
    if run.timer is not None:
        run.timer.cancel()
    _cancel_attempts(run)
