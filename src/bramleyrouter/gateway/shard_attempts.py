"""Send one shard's request to its servers, with retries and hedges."""

from bramleyrouter.gateway.attempts import Attempt, discard_unsent, start_attempt
from bramleyrouter.gateway.budgets import (
    count_request,
    has_allowance,
    try_consume_extra_send,
)
from bramleyrouter.gateway.exchanges import (
    NOT_ARRIVED,
    NOT_RUN,
    ExchangeOutcome,
    ServerReply,
)
from bramleyrouter.gateway.gateways import (
    MIN_ATTEMPT_S,
    build_choice_context,
    compute_urgency,
    find_backed_off_ids,
    get_hedge_allowance,
    get_latency_window,
    get_reserved_share,
    get_tracked_servers,
)
from bramleyrouter.gateway.gather_runs import (
    AttemptPurpose,
    GatherRun,
    GrantState,
    SentAttempt,
    ShardRun,
    has_open_shard,
)
from bramleyrouter.gateway.hedge_timing import (
    HedgeTiming,
    is_hedge_due,
    is_last_moment,
)
from bramleyrouter.gateway.merging import drop_useless_records
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    ServerSurvey,
    TrackedServer,
    format_servers,
    record_late,
    survey_servers,
)
from bramleyrouter.gateway.version_choice import choose_among_versions

# Maximum number of attempts per shard, including those refused without running.
MAX_ATTEMPTS_PER_SHARD = 4
# Outcomes that mean lack of capacity, at the server or of connections to it.
NO_CAPACITY_OUTCOMES = frozenset({ExchangeOutcome.REFUSED, ExchangeOutcome.UNSENT})


def send_first_attempt(run: GatherRun, shard: ShardRun) -> None:
    """Send a shard's first attempt; without a server the shard is missing."""
    count_request(run.gateway.budget, shard.service)
    if not send_attempt(run, shard, AttemptPurpose.FIRST, is_extra=False):
        shard.is_missing = True


def format_shard_servers(run: GatherRun, shard: ShardRun) -> str:
    """Format the shard's servers with the reason why each may not be chosen."""
    servers = get_tracked_servers(run.gateway, shard.service)
    context = build_choice_context(run.gateway, shard.service)
    return f'"{shard.service}" ({format_servers(servers, context)})'


def choose_shard_server(
    run: GatherRun, shard: ShardRun, context: ChoiceContext | None = None
) -> TrackedServer | None:
    """Return the best server that has not received this shard's request yet."""
    context = context or build_choice_context(run.gateway, shard.service)
    return choose_among_versions(run.gateway, shard.service, context, shard.tried)


def survey_shard_servers(run: GatherRun, shard: ShardRun) -> ServerSurvey:
    """Return which servers of a shard may receive a request."""
    context = build_choice_context(run.gateway, shard.service)
    return survey_servers(get_tracked_servers(run.gateway, shard.service), context)


def send_attempt(
    run: GatherRun, shard: ShardRun, purpose: AttemptPurpose, is_extra: bool
) -> bool:
    """Send or queue the request for the best untried server.

    Return false if there is no such server, if less than ``MIN_ATTEMPT_S`` is left, or
    if ``is_extra`` is set and the budget allows no extra send.
    """
    gateway = run.gateway
    remaining_s = run.deadline_at - gateway.loop.time()
    run.backed_off.update(find_backed_off_ids(gateway, shard.service))
    context = build_choice_context(gateway, shard.service)
    server = choose_shard_server(run, shard, context)
    if server is None or remaining_s < MIN_ATTEMPT_S:
        return False
    is_hedge = purpose is AttemptPurpose.HEDGE
    reserved_share = _get_reserved_share(run, shard)
    if is_extra and not try_consume_extra_send(
        gateway.budget, shard.service, is_hedge, reserved_share
    ):
        return False
    shard.tried.add(server.row.server_id)
    shard.attempt_count += 1
    shard.possible_runs += 1
    _note_sent(run, shard, server, purpose)
    attempt = start_attempt(
        gateway,
        server,
        context,
        run.request,
        run.deadline_at,
        compute_urgency(gateway, run.route, run.request, run.arrived_at),
        get_latency_window(gateway, run.route),
        lambda attempt, reply: _handle_reply(run, shard, attempt, reply),
        shard.pending,
        is_extra,
        run.permit,
    )
    shard.pending.append(attempt)
    return True


def _note_sent(
    run: GatherRun, shard: ShardRun, server: TrackedServer, purpose: AttemptPurpose
) -> None:
    waited_s = run.gateway.loop.time() - run.arrived_at
    run.sent_attempts.append(
        SentAttempt(
            shard.service,
            server.row.server_id,
            round(1000 * waited_s),
            purpose,
            shard.possible_runs,
        )
    )


def _handle_reply(
    run: GatherRun, shard: ShardRun, attempt: Attempt, reply: ServerReply
) -> None:
    shard.pending.remove(attempt)
    if reply.is_leaving:
        row = attempt.server.row
        position = run.shards.index(shard)
        run.leaving.append((position, row.server_id, row.incarnation))
    if run.is_finished or not shard.is_open:
        return
    now = run.gateway.loop.time()
    if reply.is_success:
        # The rest of a reply would be held until the gather ends.
        body = drop_useless_records(reply.body, run.route.top_records)
        shard.reply = reply._replace(headers=(), body=body)
        discard_unsent(shard.pending)
        for other in shard.pending:
            record_late(other.server, now)
    else:
        _handle_failure(run, shard, attempt, reply)
    # Before the reply time, a result ends the gather only if it was the last one.
    is_waiting = reply.is_success and now < run.reply_at and has_open_shard(run)
    if run.is_started and not is_waiting:
        run.reply_if_due(run)


def _handle_failure(
    run: GatherRun, shard: ShardRun, attempt: Attempt, reply: ServerReply
) -> None:
    """Send the shard to another server, or mark it as missing if none is left."""
    run.gateway.record(
        "gateway",
        "shard_failed",
        id=run.request.request_id,
        shard=shard.service,
        server=attempt.server.row.server_id,
        end=reply.outcome.value,
        status=reply.status,
        text=reply.text,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived_at)),
    )
    # A request that a server refused has nevertheless reached it.
    shard.has_arrived |= reply.outcome not in NOT_ARRIVED
    if reply.outcome in NOT_RUN:
        shard.possible_runs -= 1
    if shard.pending:
        return
    _retry(run, shard, attempt, reply)


def _retry(
    run: GatherRun, shard: ShardRun, attempt: Attempt, reply: ServerReply
) -> None:
    if (
        reply.outcome in NO_CAPACITY_OUTCOMES
        and choose_shard_server(run, shard) is None
    ):
        # All servers are full for the moment; those that refused earlier may have
        # capacity again.
        shard.tried.clear()
        shard.tried.add(attempt.server.row.server_id)
    if _request_attempt(run, shard, is_hedge=False):
        return
    may_send = (
        shard.possible_runs < shard.max_runs
        and shard.attempt_count < MAX_ATTEMPTS_PER_SHARD
    )
    if not may_send or not send_attempt(
        run, shard, AttemptPurpose.RETRY, is_extra=shard.has_arrived
    ):
        # A relay that is late may still report a result.
        shard.is_missing = not shard.is_delegated


def _get_reserved_share(run: GatherRun, shard: ShardRun) -> float:
    """Return the share of the hedges that the gather leaves to more urgent routes."""
    if run.is_last_hedge_check:
        return 0.0
    return get_reserved_share(run.gateway, run.route, shard.service)


def send_hedges(run: GatherRun, timing: HedgeTiming, waited_s: float) -> int:
    """Send the hedges that are due for shards that still wait for their only attempt.

    Return the number of hedges that are postponed because the allowance is scarce.
    """
    postponed = 0
    run.is_last_hedge_check = is_last_moment(timing, waited_s)
    for shard in run.shards:
        is_straggler = shard.is_open and len(shard.pending) == 1
        if not is_straggler:
            continue
        needs_grant = shard.possible_runs >= shard.max_runs
        if needs_grant and not _may_request_attempt(run, shard):
            continue
        allowance = get_hedge_allowance(run.gateway, run.route, shard.service)
        if not is_hedge_due(timing, allowance, waited_s):
            postponed += 1
        elif needs_grant:
            _request_attempt(run, shard, is_hedge=True)
        elif send_attempt(run, shard, AttemptPurpose.HEDGE, is_extra=True):
            run.hedges += 1
    return postponed


def _may_request_attempt(run: GatherRun, shard: ShardRun) -> bool:
    """Return whether the requesting daemon can still be asked for an attempt."""
    daemon = run.requesting_daemon
    return (
        daemon is not None
        and daemon.request_attempts is not None
        and shard.grant is GrantState.NOT_REQUESTED
    )


def _request_attempt(run: GatherRun, shard: ShardRun, is_hedge: bool) -> bool:
    """Ask the requesting daemon for one more attempt, once per shard.

    Return true if the shard now waits for the decision, and false if this daemon still
    holds an attempt, is no relay, or could not use a further attempt.
    """
    if run.requesting_daemon is None or shard.possible_runs < shard.max_runs:
        return False
    if shard.grant is not GrantState.NOT_REQUESTED:
        return shard.grant is GrantState.REQUESTED
    reserved_share = _get_reserved_share(run, shard)
    if (
        run.requesting_daemon.request_attempts is None
        or shard.attempt_count >= MAX_ATTEMPTS_PER_SHARD
        or choose_shard_server(run, shard) is None
        or not has_allowance(
            run.gateway.budget, shard.service, is_hedge, reserved_share
        )
    ):
        return False
    shard.grant = GrantState.REQUESTED
    if not run.wanted:
        # The requests of one loop iteration share a message.
        run.gateway.loop.call_soon(_send_attempt_requests, run)
    run.wanted.append(shard)
    return True


def _send_attempt_requests(run: GatherRun) -> None:
    wanted, run.wanted = run.wanted, []
    daemon = run.requesting_daemon
    if run.is_finished or daemon is None or daemon.request_attempts is None:
        return
    daemon.request_attempts(tuple(run.shards.index(shard) for shard in wanted))


def apply_grant(run: GatherRun, position: int, attempts: int) -> None:
    """Apply the requesting daemon's decision on one more attempt for a shard.

    ``attempts`` is the total that this daemon may use.
    """
    shard = run.shards[position]
    shard.max_runs = max(shard.max_runs, attempts)
    if shard.grant is not GrantState.REQUESTED:
        return
    shard.grant = GrantState.DECIDED
    if run.is_finished or not shard.is_open:
        return
    is_hedge = bool(shard.pending)
    may_send = shard.possible_runs < shard.max_runs
    purpose = AttemptPurpose.HEDGE if is_hedge else AttemptPurpose.RETRY
    if may_send and send_attempt(run, shard, purpose, is_extra=True):
        run.hedges += int(is_hedge)
    elif not is_hedge:
        shard.is_missing = True
