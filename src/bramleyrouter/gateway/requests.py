"""Accept callers' requests, run them and record how they end."""

from dataclasses import dataclass

from bramleyrouter.gateway.customers import (
    Identification,
    IdentityResult,
    identify_customer,
)
from bramleyrouter.gateway.exchanges import CallerRequest, GatewayReply, ReplyKind
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    build_refusal,
    compute_time_limit,
    record_result,
)
from bramleyrouter.gateway.gathers import start_gather
from bramleyrouter.gateway.overload import (
    LATE_FACTOR,
    Arrival,
    Load,
    choose_retry_after,
    record_duration,
    record_end,
    record_start,
    reject_request,
)
from bramleyrouter.gateway.permits import (
    Permit,
    PermitRun,
    end_permit,
    start_with_permit,
)
from bramleyrouter.gateway.reply_times import estimate_average_lag
from bramleyrouter.gateway.single_requests import start_single_request
from bramleyrouter.gateway.tables import Route, match_route

# Retry-After of a refusal before the first route table has arrived.
NO_TABLE_RETRY_S = 0.5


@dataclass(eq=False)
class RequestRun:
    """Hold an accepted request until its caller has got a reply or has left.

    ``network_s`` is the network's part of the caller's latency, in seconds.
    ``in_flight`` is the number of requests in flight when it arrived. ``permit_run`` is
    none if the request needs no permit.
    """

    gateway: Gateway
    request: CallerRequest
    arrival: Arrival
    on_reply: OnGatewayReply
    network_s: float
    in_flight: int
    permit_run: PermitRun | None
    is_open: bool = True


def handle_request(
    gateway: Gateway,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    network_s: float,
) -> Cancel:
    """Run a request and return the closure that cancels it.

    ``on_reply`` is called once unless the request is cancelled. ``network_s`` is the
    network's part of the caller's latency, in seconds.
    """

    def reply_at_once(reply: GatewayReply) -> Cancel:
        gateway.record(
            "gateway",
            "not_forwarded",
            id=request.request_id,
            outcome=reply.kind.value,
            reason=reply.reason,
        )
        on_reply(reply)
        return _do_nothing

    if gateway.index is None:
        return reply_at_once(
            build_refusal(gateway, "no route table yet", NO_TABLE_RETRY_S)
        )
    route = match_route(gateway.index, request.host, request.path)
    if route is None:
        version = gateway.index.table.version
        reason = f'no route of version {version} for "{request.host}{request.path}"'
        return reply_at_once(GatewayReply(ReplyKind.NO_ROUTE, reason))
    identification = _identify(gateway, route, request)
    if identification.is_refused:
        reason = identification.result.value
        on_reply(GatewayReply(ReplyKind.UNAUTHORIZED, reason))
        return _do_nothing
    identified = identification.request
    time_limit_s = compute_time_limit(route, identified)
    arrival = Arrival(route, identified.customer, time_limit_s, gateway.loop.time())
    refusal = _reject_if_overloaded(gateway, arrival, identified)
    if refusal is not None:
        on_reply(refusal)
        return _do_nothing
    return _start_run(_build_run(gateway, identified, arrival, on_reply, network_s))


def _do_nothing() -> None:
    """Cancel nothing, as the request has ended."""


def _identify(gateway: Gateway, route: Route, request: CallerRequest) -> Identification:
    """Identify the customer of a request; count the result and record a refusal."""
    assert gateway.index is not None
    identification = identify_customer(gateway.index, route, request)
    if identification.result is not IdentityResult.UNCHECKED:
        gateway.count_identification(identification.result.value)
    if identification.is_refused:
        gateway.record_rate_limited(
            "gateway",
            "customer_refused",
            id=request.request_id,
            route=route.name,
            reason=identification.result.value,
            version=gateway.index.table.version,
            table_age_s=round(gateway.loop.time() - gateway.table_applied_at, 3),
        )
    return identification


def _reject_if_overloaded(
    gateway: Gateway, arrival: Arrival, request: CallerRequest
) -> GatewayReply | None:
    """Return the refusal of a request that is rejected, or none."""
    now, route = arrival.now, arrival.route
    assert gateway.index is not None
    load = Load(
        gateway.in_flight,
        estimate_average_lag(gateway.lag, now),
        max(0.0, now - gateway.lag.at),
        gateway.limits.cores,
    )
    rejection = reject_request(gateway.overload, gateway.index, arrival, load)
    if rejection is None:
        return None
    retry_after_s = choose_retry_after(
        gateway.overload, arrival, load, gateway.rng.random()
    )
    # The metric counts those that are left out.
    gateway.record_rate_limited(
        "gateway",
        "not_forwarded",
        id=request.request_id,
        outcome=ReplyKind.REFUSED.value,
        route=route.name,
        customer=arrival.customer,
        rule=rejection.rule.value,
        reason=rejection.reason,
        age_ms=round(1000 * rejection.age_s),
        in_flight=load.in_flight,
        lag_ms=round(1000 * load.lag_s, 1),
        retry_after_ms=round(1000 * retry_after_s),
    )
    gateway.observe(route.name, ReplyKind.REFUSED.value, 0.0, None)
    return GatewayReply(
        ReplyKind.REFUSED, rejection.reason, retry_after_s=retry_after_s
    )


def _build_run(
    gateway: Gateway,
    request: CallerRequest,
    arrival: Arrival,
    on_reply: OnGatewayReply,
    network_s: float,
) -> RequestRun:
    """Build the state of an accepted request, which counts as in flight from now on."""
    record_start(gateway.overload, arrival)
    gateway.in_flight += 1
    permit_run = _build_permit_run(gateway, arrival)
    return RequestRun(
        gateway, request, arrival, on_reply, network_s, gateway.in_flight, permit_run
    )


def _build_permit_run(gateway: Gateway, arrival: Arrival) -> PermitRun | None:
    """Return what acquires the request's permit, or none if it needs no permit."""
    if gateway.acquire_permit is None or gateway.index is None:
        return None
    customer = gateway.index.customers.get(arrival.customer)
    if customer is None or not customer.rate_per_s:
        return None
    give_up_at = arrival.now + arrival.deadline_s - DEADLINE_MARGIN_S
    return PermitRun(gateway.loop, gateway.acquire_permit, arrival.customer, give_up_at)


def _start_run(run: RequestRun) -> Cancel:
    if run.permit_run is None:
        cancel = _start_sends(run, None)
    else:
        cancel = start_with_permit(
            run.permit_run,
            lambda permit: _start_sends(run, permit),
            lambda reply: _refuse_without_permit(run, reply),
        )

    def cancel_run() -> None:
        _record_wait_in_vain(run)
        _mark_ended(run)
        cancel()

    return cancel_run


def _start_sends(run: RequestRun, permit: Permit | None) -> Cancel:
    """Start the gather or the single request; an unexpected error ends the run."""
    gateway, request, arrival = run.gateway, run.request, run.arrival
    finish = lambda reply: _finish(run, reply)
    try:
        if arrival.route.shards:
            return start_gather(
                gateway,
                arrival.route,
                request,
                finish,
                run.network_s,
                arrival.now,
                permit,
            )
        return start_single_request(
            gateway, arrival.route, request, finish, arrival.now, permit
        )
    except Exception as exc:
        # The request would otherwise count as in flight for good, and its caller would
        # get no reply. It may have been sent to some server.
        finish(GatewayReply(ReplyKind.FAILED, f"unexpected error: {exc!r}"))
        gateway.record(
            "gateway", "unexpected_error", id=request.request_id, reason=repr(exc)
        )
        return _do_nothing


def _refuse_without_permit(run: RequestRun, reply: GatewayReply) -> None:
    gateway = run.gateway
    gateway.record_rate_limited(
        "gateway",
        "permit_refused",
        id=run.request.request_id,
        route=run.arrival.route.name,
        customer=run.request.customer,
        outcome=reply.kind.value,
        retry_after_s=round(reply.retry_after_s, 3),
        waited_ms=round(1000 * (gateway.loop.time() - run.arrival.now)),
        reason=reply.reason,
    )
    _finish(run, reply)


def _finish(run: RequestRun, reply: GatewayReply) -> None:
    """Record how a request ended, and reply to its caller."""
    if not run.is_open:
        return
    _mark_ended(run)
    gateway, route = run.gateway, run.arrival.route
    now = gateway.loop.time()
    waited_s = now - run.arrival.now
    coverage = None
    if reply.kind is ReplyKind.GATHERED:
        coverage = len(reply.signatures) / len(route.shards)
    is_answered = reply.kind in (ReplyKind.SERVER, ReplyKind.GATHERED)
    if is_answered or reply.kind is ReplyKind.DEADLINE:
        record_duration(gateway.overload, run.arrival, run.in_flight, is_answered, now)
        record_result(gateway, route, run.request, waited_s, coverage)
    gateway.observe(route.name, reply.kind.value, waited_s, coverage)
    run.on_reply(reply)


def _mark_ended(run: RequestRun) -> None:
    if not run.is_open:
        return
    run.is_open = False
    run.gateway.in_flight -= 1
    if run.permit_run is not None:
        end_permit(run.permit_run)
    record_end(run.gateway.overload, run.arrival, run.gateway.loop.time())


def _record_wait_in_vain(run: RequestRun) -> None:
    """Record that a caller left after its objective without a reply."""
    gateway, arrival = run.gateway, run.arrival
    now = gateway.loop.time()
    if run.is_open and now > arrival.now + LATE_FACTOR * arrival.route.objective_s:
        record_duration(gateway.overload, arrival, run.in_flight, False, now)
        waited_s = now - arrival.now
        record_result(gateway, arrival.route, run.request, waited_s, None)
