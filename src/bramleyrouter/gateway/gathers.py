"""Run gathers: send each shard's request to one server and merge the results."""

from bramleyrouter.gateway.attempts import cancel_attempt, discard_unsent
from bramleyrouter.gateway.delegated_shards import delegate_shards
from bramleyrouter.gateway.exchanges import CallerRequest, GatewayReply, ReplyKind
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    TRIAL_INTERVAL_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    build_cut_off_refusal,
    build_refusal,
    build_refusal_until,
    compute_time_limit,
    compute_wait_for_service,
    get_latency_window,
    record_result,
)
from bramleyrouter.gateway.gather_deadlines import (
    MAX_LATE_FACTOR,
    GatherProgress,
    compute_wait_for_coverage,
    has_enough_coverage,
    should_reply,
)
from bramleyrouter.gateway.gather_runs import (
    DelegationState,
    GatherRun,
    GrantState,
    RequestingDaemon,
    ShardRun,
    cancel_delegations,
    compute_progress,
)
from bramleyrouter.gateway.hedge_timing import (
    HedgeTiming,
    compute_hedge_timing,
    deduct_grant,
    find_next_check,
)
from bramleyrouter.gateway.merging import merge_greatest
from bramleyrouter.gateway.permits import Permit
from bramleyrouter.gateway.reply_times import (
    MIN_NETWORK_S,
    compute_reserved_time,
    estimate_lag,
    record_lateness,
)
from bramleyrouter.gateway.servers import record_late
from bramleyrouter.gateway.shard_attempts import (
    format_shard_servers,
    send_first_attempt,
    send_hedges,
    survey_shard_servers,
)
from bramleyrouter.gateway.tables import Route
from bramleyrouter.telemetry.events import RecordEvent

# A server that takes longer than this multiple of the median latency is recorded as
# late at the objective.
LATE_SERVER_FACTOR = 2.0
# Number of servers that one log event names.
MAX_LOGGED_SERVERS = 5
_NOT_STARTED = (DelegationState.UNCONFIRMED,)
_NOT_ENDED = (DelegationState.UNCONFIRMED, DelegationState.CONFIRMED)


def start_gather(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    network_s: float = MIN_NETWORK_S,
    arrived_at: float | None = None,
    permit: Permit | None = None,
) -> Cancel:
    """Run a gather and return the closure that cancels it.

    ``on_reply`` is called once unless the gather is cancelled. ``network_s`` is the
    network's part of the caller's latency, in seconds. A gather that waited for its
    ``permit`` has arrived before, at the loop time ``arrived_at``.
    """
    now = gateway.loop.time()
    lag_s = estimate_lag(gateway.lag, now) + estimate_lag(gateway.reply_lag, now)
    reserved_s = compute_reserved_time(
        route.objective_s, network_s, lag_s, gateway.limits.cores
    )
    useful_s = route.objective_s - reserved_s
    run = build_gather_run(
        gateway, route, request, on_reply, useful_s, arrived_at=arrived_at
    )
    run.permit = permit
    return run_gather(run)


def build_gather_run(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    useful_s: float,
    requesting_daemon: RequestingDaemon | None = None,
    arrived_at: float | None = None,
) -> GatherRun:
    """Build the state of a gather; ``requesting_daemon`` is given by a relay.

    A reply that leaves within ``useful_s`` seconds of the arrival meets the objective.
    """
    now = gateway.loop.time() if arrived_at is None else arrived_at
    deadline_s = compute_time_limit(route, request)
    run = GatherRun(
        gateway,
        route,
        request,
        now,
        now + deadline_s,
        now + useful_s,
        on_reply,
        _reply_if_due,
    )
    run.requesting_daemon = requesting_daemon
    run.shards = [ShardRun(service, route.attempts) for service in route.shards]
    return run


def run_gather(run: GatherRun) -> Cancel:
    """Start a gather and return the closure that cancels it.

    A relay's gather is not delegated again.
    """
    gateway, route = run.gateway, run.route
    deadline_s = run.deadline_at - run.arrived_at
    surveys = [survey_shard_servers(run, shard) for shard in run.shards]
    unserved = [
        shard
        for shard, survey in zip(run.shards, surveys, strict=True)
        if not survey.has_server
    ]
    served_count = len(run.shards) - len(unserved)
    if not has_enough_coverage(served_count, len(run.shards), route.min_coverage):
        reason = f"{served_count} of {len(run.shards)} shards have a server; "
        reason += "; ".join(format_shard_servers(run, shard) for shard in unserved[:3])
        _finish(run, _build_unserved_refusal(run, unserved, reason))
        return lambda: None
    trusted_count = sum(survey.is_trusted for survey in surveys)
    if not _may_start(run, trusted_count):
        reason = "too many shards have only suspected servers"
        is_cut_off = gateway.contacts.is_cut_off
        build_reply = build_cut_off_refusal if is_cut_off else build_refusal
        _finish(run, build_reply(gateway, reason, deadline_s / 3))
        return lambda: None
    if run.requesting_daemon is None:
        delegate_shards(run, [survey.data_centres for survey in surveys])
    for shard in run.shards:
        if not shard.is_delegated:
            send_first_attempt(run, shard)
    run.is_started = True
    _reply_if_due(run)
    if not run.is_finished:
        run.hedge_timing = _compute_hedge_timing(run)
        run.next_hedge_check_s = run.hedge_timing.earliest_s
        _schedule_timer(run)
    return lambda: _cancel(run)


def _build_unserved_refusal(
    run: GatherRun, unserved: list[ShardRun], reason: str
) -> GatewayReply:
    """Build the refusal of a gather that too few shards can serve now.

    If servers asked for a pause, the caller is told when enough of them have returned.
    """
    gateway, total = run.gateway, len(run.shards)
    max_wait_s = (run.deadline_at - run.arrived_at) / 3
    waits = [compute_wait_for_service(gateway, shard.service) for shard in unserved]
    wait_s = compute_wait_for_coverage(
        total - len(unserved), total, run.route.min_coverage, waits
    )
    if not wait_s:
        return build_refusal(gateway, reason, max_wait_s)
    return build_refusal_until(gateway, reason, wait_s, max_wait_s)


def _may_start(run: GatherRun, trusted_count: int) -> bool:
    """Return whether the gather may start.

    It may if enough shards have trusted servers for the minimum coverage. When too few
    have, as in a data centre that is cut off, most gathers are refused at once. One
    trial gather per ``TRIAL_INTERVAL_S`` is accepted to detect the servers' recovery.
    """
    gateway, route = run.gateway, run.route
    if has_enough_coverage(trusted_count, len(route.shards), route.min_coverage):
        return True
    if gateway.contacts.is_cut_off:
        # Any message from another data centre resets this state, so no trial is needed.
        return False
    now = gateway.loop.time()
    if now < gateway.next_trial_at.get(route.name, 0.0):
        return False
    gateway.next_trial_at[route.name] = now + TRIAL_INTERVAL_S
    return True


def _compute_hedge_timing(run: GatherRun) -> HedgeTiming:
    window = get_latency_window(run.gateway, run.route)
    useful_s = run.reply_at - run.arrived_at
    timing = compute_hedge_timing(window, run.route.objective_s, useful_s)
    # A relay asks for each hedge.
    return timing if run.requesting_daemon is None else deduct_grant(timing)


def _check_stragglers(run: GatherRun) -> None:
    """Send the hedges that are due if it is time for a check."""
    check_s = run.next_hedge_check_s
    if check_s is None or run.gateway.loop.time() < run.arrived_at + check_s:
        return
    # The timing is that of the gather's start, so that no check is repeated.
    timing = run.hedge_timing or _compute_hedge_timing(run)
    # Whether a hedge is due depends on the planned time, as a late timer must not make
    # the latest hedge pass for a useless one.
    postponed = send_hedges(run, timing, check_s)
    run.postponed_hedges += postponed
    run.next_hedge_check_s = find_next_check(timing, check_s, postponed > 0)


def _schedule_timer(run: GatherRun) -> None:
    """Schedule the timer for the next hedge check, the objective or the deadline."""
    now = run.gateway.loop.time()
    route = run.route
    times = [run.deadline_at - DEADLINE_MARGIN_S]
    if run.next_hedge_check_s is not None:
        times.append(run.arrived_at + run.next_hedge_check_s)
    decisions = (
        run.reply_at,
        # At the objective, shards that wait only for suspected servers are abandoned.
        run.arrived_at + route.objective_s,
        run.arrived_at + MAX_LATE_FACTOR * route.objective_s,
    )
    times += [at for at in decisions if at > now]
    at = min(times)
    run.timer = run.gateway.loop.call_at(at, _on_timer, run, at)


def _on_timer(run: GatherRun, at: float) -> None:
    run.timer = None
    now, gateway = run.gateway.loop.time(), run.gateway
    is_reply_timer = at == run.reply_at and run.requesting_daemon is None
    record_lateness(gateway.reply_lag if is_reply_timer else gateway.lag, now - at, now)
    if run.is_finished:
        return
    _check_stragglers(run)
    _record_late_servers(run)
    _reply_if_due(run)
    if not run.is_finished:
        _schedule_timer(run)


def _count_expected_shards(run: GatherRun) -> int:
    """Count the open shards that are still expected to get a result.

    After the objective, a shard is abandoned that waits only for suspected servers or
    for a relay that has not confirmed.
    """
    now = run.gateway.loop.time()
    is_past_objective = now >= run.arrived_at + run.route.objective_s
    count = 0
    for shard in run.shards:
        if not shard.is_open:
            continue
        is_abandoned = (
            is_past_objective
            and not shard.has_confirmed_relay
            and shard.grant is not GrantState.REQUESTED
            and all(item.server.suspect_until > now for item in shard.pending)
        )
        count += not is_abandoned
    return count


def _record_part(run: GatherRun) -> None:
    """Record the coverage that a relay's part has when its useful time ends.

    The part goes on for its last shards, which doesn't make it late.
    """
    if run.requesting_daemon is None:
        return
    coverage = sum(shard.reply is not None for shard in run.shards) / len(run.shards)
    record_result(run.gateway, run.route, run.request, 0.0, coverage)


def _record_late_servers(run: GatherRun) -> None:
    """Record as late the servers that have not replied by the objective.

    An unreachable server gives no other indication before the deadline.
    """
    now = run.gateway.loop.time()
    if run.are_late_servers_recorded or now < run.reply_at:
        return
    run.are_late_servers_recorded = True
    _record_part(run)
    late_s = LATE_SERVER_FACTOR * get_latency_window(run.gateway, run.route).median_s
    for shard in run.shards:
        for attempt in shard.pending if shard.is_open else ():
            if now - attempt.sent_at > late_s:
                record_late(attempt.server, now)


def _reply_if_due(run: GatherRun) -> None:
    """Reply if the gather is due."""
    if run.is_finished:
        return
    if run.requesting_daemon is None:
        _reply_to_caller_if_due(run)
    else:
        _report_results_if_due(run, run.requesting_daemon.report)


def _reply_to_caller_if_due(run: GatherRun) -> None:
    progress = compute_progress(run)
    route, now = run.route, run.gateway.loop.time()
    waited_s = now - run.arrived_at
    reserved_s = run.arrived_at + route.objective_s - run.reply_at
    has_enough = has_enough_coverage(
        progress.included, progress.total, route.min_coverage
    )
    is_deadline_near = now >= run.deadline_at - DEADLINE_MARGIN_S
    if has_enough and (
        is_deadline_near
        or should_reply(
            progress,
            route.min_coverage,
            waited_s,
            route.objective_s,
            reserved_s,
        )
    ):
        _finish(run, _build_gathered_reply(run, run.shards))
    elif not has_enough_coverage(
        progress.included + _count_expected_shards(run),
        progress.total,
        route.min_coverage,
    ):
        _finish(run, _build_failed_reply(run, progress))
    elif is_deadline_near:
        _finish(run, _build_deadline_reply(run, progress))


def _report_results_if_due(run: GatherRun, report: OnGatewayReply) -> None:
    """Send the requesting daemon the available results; finish if no more are expected.

    Only the requesting daemon can decide whether the coverage is enough: if ten parts
    each lack one shard, none of them falls short on its own.
    """
    now = run.gateway.loop.time()
    unreported = [
        shard for shard in run.shards if shard.reply and not shard.is_reported
    ]
    is_deadline_near = now >= run.deadline_at - DEADLINE_MARGIN_S
    if is_deadline_near or not _count_expected_shards(run):
        if unreported or any(shard.is_reported for shard in run.shards):
            _finish(run, _build_gathered_reply(run, unreported))
        else:
            progress = compute_progress(run)
            build_reply = (
                _build_deadline_reply if is_deadline_near else _build_failed_reply
            )
            _finish(run, build_reply(run, progress))
    elif unreported and now >= run.reply_at:
        for shard in unreported:
            shard.is_reported = True
        report(_build_gathered_reply(run, unreported))


def _build_deadline_reply(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    unanswered = [shard for shard in run.shards if shard.reply is None]
    text = f"{len(unanswered)} of {progress.total} shards open at the deadline: "
    text += "; ".join(format_shard_servers(run, shard) for shard in unanswered[:3])
    return GatewayReply(ReplyKind.DEADLINE, text)


def _build_gathered_reply(run: GatherRun, shards: list[ShardRun]) -> GatewayReply:
    """Merge the results of these shards; the other shards of the gather are missing."""
    answered = [(shard, shard.reply) for shard in shards if shard.reply is not None]
    replies = [reply for _, reply in answered]
    return GatewayReply(
        ReplyKind.GATHERED,
        body=merge_greatest((reply.body for reply in replies), run.route.top_records),
        signatures=tuple(reply.signature for reply in replies),
        included=tuple(shard.service for shard, _ in answered),
        missing=sum(shard.reply is None for shard in run.shards),
    )


def _build_failed_reply(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    """Build a refusal if no server ran anything, else a failure."""
    unanswered = [shard for shard in run.shards if shard.reply is None]
    reason = f"{len(unanswered)} of {progress.total} shards did not answer: "
    reason += "; ".join(format_shard_servers(run, shard) for shard in unanswered[:3])
    is_delegation_open = any(item.state in _NOT_ENDED for item in run.delegations)
    has_run = any(
        shard.possible_runs > 0 or shard.reply is not None for shard in run.shards
    )
    if is_delegation_open or has_run:
        return GatewayReply(ReplyKind.FAILED, reason)
    return build_refusal(run.gateway, reason, (run.deadline_at - run.arrived_at) / 3)


def _finish(run: GatherRun, reply: GatewayReply) -> None:
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    # After a gathered reply, relays that confirmed finish their work, because
    # cancelling closes their servers' connections. The others may not have started.
    is_gathered = reply.kind is ReplyKind.GATHERED
    cancel_delegations(run, _NOT_STARTED if is_gathered else _NOT_ENDED)
    for shard in run.shards:
        discard_unsent(shard.pending)
    _record_end(run, reply)
    if not run.are_late_servers_recorded:
        _record_part(run)
    run.on_reply(reply)


def _record_end(run: GatherRun, reply: GatewayReply) -> None:
    is_complete = reply.kind is ReplyKind.GATHERED and not reply.missing
    has_repeats = len(run.sent_attempts) > len(
        {attempt.shard for attempt in run.sent_attempts}
    )
    is_routine = is_complete and not has_repeats
    record = run.gateway.record_rate_limited if is_routine else run.gateway.record
    _record_outcome(run, record, "gather_ended", reply.kind.value, reply.reason)


def _record_outcome(
    run: GatherRun, record: RecordEvent, event: str, outcome: str, reason: str
) -> None:
    """Record the end of a gather with each attempt that this daemon sent for it."""
    index = run.gateway.index
    record(
        "gateway",
        event,
        id=run.request.request_id,
        requested_by=run.requesting_daemon.address if run.requesting_daemon else "",
        route=run.route.name,
        version=index.table.version if index else None,
        outcome=outcome,
        included=sum(shard.reply is not None for shard in run.shards),
        shards=len(run.shards),
        hedges=run.hedges,
        postponed_hedges=run.postponed_hedges,
        relays=[item.address for item in run.delegations],
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived_at)),
        objective_ms=round(1000 * run.route.objective_s),
        useful_ms=round(1000 * (run.reply_at - run.arrived_at)),
        lag_ms=round(1000 * estimate_lag(run.gateway.lag, run.gateway.loop.time()), 1),
        reply_lag_ms=round(1000 * run.gateway.reply_lag.average_s, 1),
        missing=[s.service for s in run.shards if s.reply is None][:5],
        attempts=run.sent_attempts,
        backed_off=sorted(run.backed_off)[:MAX_LOGGED_SERVERS],
        reason=reason,
    )


def _cancel(run: GatherRun) -> None:
    """Cancel all work because the caller or the requesting daemon needs no reply."""
    if run.is_finished:
        return
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    cancel_delegations(run, _NOT_ENDED)
    for shard in run.shards:
        for attempt in shard.pending:
            cancel_attempt(attempt)
        shard.pending.clear()
    _record_outcome(run, run.gateway.record, "gather_cancelled", "cancelled", "")
