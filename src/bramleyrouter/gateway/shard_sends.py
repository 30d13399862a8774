"""Send the request of one shard to its servers, again and elsewhere if needed."""

from bramleyrouter.gateway.budgets import count_request, take_extra
from bramleyrouter.gateway.exchanges import (
    NOT_ARRIVED,
    NOT_RUN,
    ExchangeOutcome,
    ServerReply,
)
from bramleyrouter.gateway.gateways import (
    MIN_SEND_S,
    context_for,
    states_of,
    urgency_of,
    window_of,
)
from bramleyrouter.gateway.gather_runs import GatherRun, ShardRun
from bramleyrouter.gateway.sends import Sending, drop_unsent, send
from bramleyrouter.gateway.servers import (
    TrackedServer,
    choose_server,
    describe_servers,
    note_late,
)

# Sends of one shard in all, those that were refused without running included.
MAX_SENDS = 4
# Ends for want of room, at the server or among the connections to it.
NO_ROOM = frozenset({ExchangeOutcome.REFUSED, ExchangeOutcome.UNSENT})


def send_first(run: GatherRun, shard: ShardRun) -> None:
    """Send the shard's request for the first time; without a server it is lost."""
    count_request(run.gateway.budget, shard.service)
    if not send_shard(run, shard):
        shard.is_missing = True


def describe_shard(run: GatherRun, shard: ShardRun) -> str:
    """Return the shard's servers with the reason why each may not be asked."""
    states = states_of(run.gateway, shard.service)
    context = context_for(run.gateway, shard.service)
    return f'"{shard.service}" ({describe_servers(states, context)})'


def choose_for(run: GatherRun, shard: ShardRun) -> TrackedServer | None:
    """Return the best server that this shard's request was not sent to yet."""
    context = context_for(run.gateway, shard.service)
    states = states_of(run.gateway, shard.service)
    return choose_server(states, context, shard.tried)


def send_shard(run: GatherRun, shard: ShardRun) -> bool:
    """Send the shard's request to the best server left; say whether one was."""
    gateway = run.gateway
    left_s = run.deadline_at - gateway.loop.time()
    state = choose_for(run, shard)
    if state is None or left_s < MIN_SEND_S:
        return False
    shard.tried.add(state.row.server_id)
    shard.sends += 1
    shard.ran += 1
    context = context_for(gateway, shard.service)
    sending = send(
        gateway,
        state,
        context,
        run.request,
        run.deadline_at,
        urgency_of(run.route, run.arrived),
        window_of(gateway, run.route),
        lambda sending, reply: _take(run, shard, sending, reply),
    )
    shard.pending.append(sending)
    return True


def _take(
    run: GatherRun, shard: ShardRun, sending: Sending, reply: ServerReply
) -> None:
    shard.pending.remove(sending)
    if run.is_finished or not shard.is_open:
        return
    if reply.is_success:
        shard.reply = reply
        drop_unsent(shard.pending)
        now = run.gateway.loop.time()
        for other in shard.pending:
            note_late(other.state, now)
    else:
        _after_failure(run, shard, sending, reply)
    if run.is_started:
        run.check(run)


def _after_failure(
    run: GatherRun, shard: ShardRun, sending: Sending, reply: ServerReply
) -> None:
    """Ask another server, or give the shard up where none is left."""
    run.gateway.record(
        "gateway",
        "shard_failed",
        id=run.request.request_id,
        shard=shard.service,
        server=sending.state.row.server_id,
        end=reply.outcome.value,
        status=reply.status,
        text=reply.text,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
    )
    # A server that rejects a request has been reached by it.
    shard.has_arrived |= reply.outcome not in NOT_ARRIVED
    if reply.outcome in NOT_RUN:
        shard.ran -= 1
    if shard.pending:
        return
    now = run.gateway.loop.time()
    if shard.ran > 0 and now < run.quiet_until:
        run.gateway.loop.call_at(run.quiet_until, _send_again_later, run, shard)
        return
    _send_again(run, shard, sending, reply)


def _send_again_later(run: GatherRun, shard: ShardRun) -> None:
    """Ask another server after the time in which a relay asks only one."""
    if run.is_finished or not shard.is_open or shard.pending:
        return
    may_send = shard.ran < run.route.attempts and take_extra(
        run.gateway.budget, shard.service
    )
    if not may_send or not send_shard(run, shard):
        shard.is_missing = True
    run.check(run)


def _send_again(
    run: GatherRun, shard: ShardRun, sending: Sending, reply: ServerReply
) -> None:
    if reply.outcome in NO_ROOM and choose_for(run, shard) is None:
        # All are full for the moment; the one that refused first may have room.
        shard.tried.clear()
        shard.tried.add(sending.state.row.server_id)
    can_send = shard.ran < run.route.attempts and shard.sends < MAX_SENDS
    if can_send and shard.has_arrived:
        can_send = take_extra(run.gateway.budget, shard.service)
    if not can_send or not send_shard(run, shard):
        shard.is_missing = True


def send_hedges(run: GatherRun) -> None:
    """Ask a second server for each shard that is still waited for."""
    gateway = run.gateway
    for shard in run.shards:
        is_straggler = shard.is_open and len(shard.pending) == 1
        if not is_straggler or shard.ran >= run.route.attempts:
            continue
        if choose_for(run, shard) is None:
            continue
        if take_extra(gateway.budget, shard.service, is_hedge=True):
            run.hedges += 1
            send_shard(run, shard)
