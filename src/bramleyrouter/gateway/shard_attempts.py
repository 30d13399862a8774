"""Send one shard's request to its servers, with retries and hedges."""

from bramleyrouter.gateway.attempts import Attempt, discard_unsent, start_attempt
from bramleyrouter.gateway.budgets import count_request, try_consume_extra_send
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
    get_latency_window,
    get_tracked_servers,
)
from bramleyrouter.gateway.gather_runs import (
    AttemptPurpose,
    GatherRun,
    SentAttempt,
    ShardRun,
)
from bramleyrouter.gateway.servers import (
    TrackedServer,
    choose_server,
    format_servers,
    record_late,
)

# Maximum number of attempts per shard, including those refused without running.
MAX_ATTEMPTS_PER_SHARD = 4
# Outcomes that mean lack of capacity, at the server or of connections to it.
NO_CAPACITY_OUTCOMES = frozenset({ExchangeOutcome.REFUSED, ExchangeOutcome.UNSENT})


def send_first_attempt(run: GatherRun, shard: ShardRun) -> None:
    """Send a shard's first attempt; without a server the shard is missing."""
    count_request(run.gateway.budget, shard.service)
    if not send_attempt(run, shard, AttemptPurpose.FIRST):
        shard.is_missing = True


def format_shard_servers(run: GatherRun, shard: ShardRun) -> str:
    """Format the shard's servers with the reason why each may not be chosen."""
    servers = get_tracked_servers(run.gateway, shard.service)
    context = build_choice_context(run.gateway, shard.service)
    return f'"{shard.service}" ({format_servers(servers, context)})'


def choose_shard_server(run: GatherRun, shard: ShardRun) -> TrackedServer | None:
    """Return the best server that has not received this shard's request yet."""
    context = build_choice_context(run.gateway, shard.service)
    servers = get_tracked_servers(run.gateway, shard.service)
    return choose_server(servers, context, shard.tried)


def send_attempt(run: GatherRun, shard: ShardRun, purpose: AttemptPurpose) -> bool:
    """Send or queue the request for the best untried server.

    Return false if there is no such server or less than ``MIN_ATTEMPT_S`` is left.
    """
    gateway = run.gateway
    remaining_s = run.deadline_at - gateway.loop.time()
    server = choose_shard_server(run, shard)
    if server is None or remaining_s < MIN_ATTEMPT_S:
        return False
    shard.tried.add(server.row.server_id)
    shard.attempt_count += 1
    shard.possible_runs += 1
    _note_sent(run, shard, server, purpose)
    context = build_choice_context(gateway, shard.service)
    attempt = start_attempt(
        gateway,
        server,
        context,
        run.request,
        run.deadline_at,
        compute_urgency(run.route, run.arrived_at),
        get_latency_window(gateway, run.route),
        lambda attempt, reply: _handle_reply(run, shard, attempt, reply),
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
    if run.is_finished or not shard.is_open:
        return
    if reply.is_success:
        shard.reply = reply
        discard_unsent(shard.pending)
        now = run.gateway.loop.time()
        for other in shard.pending:
            record_late(other.server, now)
    else:
        _handle_failure(run, shard, attempt, reply)
    if run.is_started:
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
    now = run.gateway.loop.time()
    if shard.possible_runs > 0 and now < run.single_attempt_until:
        run.gateway.loop.call_at(
            run.single_attempt_until, _retry_after_single_attempt, run, shard
        )
        return
    _retry(run, shard, attempt, reply)


def _retry_after_single_attempt(run: GatherRun, shard: ShardRun) -> None:
    """Retry a shard after the time in which a relay may use only one server."""
    if run.is_finished or not shard.is_open or shard.pending:
        return
    may_send = shard.possible_runs < run.route.attempts and try_consume_extra_send(
        run.gateway.budget, shard.service
    )
    if not may_send or not send_attempt(run, shard, AttemptPurpose.RETRY):
        shard.is_missing = True
    run.reply_if_due(run)


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
    may_send = (
        shard.possible_runs < run.route.attempts
        and shard.attempt_count < MAX_ATTEMPTS_PER_SHARD
    )
    if may_send and shard.has_arrived:
        may_send = try_consume_extra_send(run.gateway.budget, shard.service)
    if not may_send or not send_attempt(run, shard, AttemptPurpose.RETRY):
        shard.is_missing = True


def send_hedges(run: GatherRun) -> None:
    """Send a hedge for each shard that still waits for its only attempt."""
    gateway = run.gateway
    for shard in run.shards:
        is_straggler = shard.is_open and len(shard.pending) == 1
        if not is_straggler or shard.possible_runs >= run.route.attempts:
            continue
        if choose_shard_server(run, shard) is None:
            continue
        if try_consume_extra_send(gateway.budget, shard.service, is_hedge=True):
            run.hedges += 1
            send_attempt(run, shard, AttemptPurpose.HEDGE)
