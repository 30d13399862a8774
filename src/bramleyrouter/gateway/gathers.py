"""Queries over many shards: one server of each, merged into one response."""

from bramleyrouter.gateway.delegated_shards import delegate_shards
from bramleyrouter.gateway.delegation import quiet_time
from bramleyrouter.gateway.exchanges import CallerRequest, GatewayReply, ReplyKind
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    TRIAL_INTERVAL_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    deadline_of,
    refuse,
    refuse_cut_off,
    window_of,
)
from bramleyrouter.gateway.gather_deadlines import (
    LATE_PATIENCE,
    GatherProgress,
    reaches,
    should_answer,
)
from bramleyrouter.gateway.gather_runs import (
    GatherRun,
    ShardRun,
    cancel_delegations,
    progress_of,
)
from bramleyrouter.gateway.latencies import hedge_delay
from bramleyrouter.gateway.merging import merge_greatest
from bramleyrouter.gateway.reach import count_trusted
from bramleyrouter.gateway.sends import cancel_send, drop_unsent
from bramleyrouter.gateway.servers import note_late
from bramleyrouter.gateway.shard_sends import (
    choose_for,
    describe_shard,
    send_first,
    send_hedges,
)
from bramleyrouter.gateway.tables import Route

# Looks for stragglers in one request; the second catches those for which the
# first had no budget or no server.
HEDGE_LOOKS = 3
# A server that takes this many times the typical latency is overdue at the
# objective.
OVERDUE_FACTOR = 2.0


def start_gather(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    on_part: OnGatewayReply | None = None,
) -> Cancel:
    """Run a query; call ``on_reply`` once unless the returned closure is called.

    A relay passes ``on_part``, which may be called before with some of the
    shards. Its part of the query is not delegated again.
    """
    now = gateway.loop.time()
    deadline_s = deadline_of(route, request)
    run = GatherRun(gateway, route, request, now, now + deadline_s, on_reply, _check)
    run.on_part = on_part
    if on_part is not None:
        run.quiet_until = now + quiet_time(route.objective_s)
    run.shards = [ShardRun(service) for service in route.shards]
    lost = [shard for shard in run.shards if choose_for(run, shard) is None]
    reachable = len(run.shards) - len(lost)
    if not reaches(reachable, len(run.shards), route.min_coverage):
        reason = f"{reachable} of {len(run.shards)} shards have a server; "
        reason += "; ".join(describe_shard(run, shard) for shard in lost[:3])
        _finish(run, refuse(gateway, reason, deadline_s / 3))
        return lambda: None
    if not _is_hopeful(run):
        reason = "too many shards have only suspected servers"
        is_cut_off = gateway.contacts.is_cut_off
        refuse_as = refuse_cut_off if is_cut_off else refuse
        _finish(run, refuse_as(gateway, reason, deadline_s / 3))
        return lambda: None
    if on_part is None:
        delegate_shards(run)
    for shard in run.shards:
        if not shard.is_delegated:
            send_first(run, shard)
    run.is_started = True
    _check(run)
    if not run.is_finished:
        _arm(run)
    return lambda: _cancel(run)


def _is_hopeful(run: GatherRun) -> bool:
    """Return whether the query can be expected to reach enough shards.

    Once the servers of too many shards are suspected, as in a data centre that
    is cut off, most queries are refused at once, and one now and then finds out
    whether they are back.
    """
    gateway, route = run.gateway, run.route
    trusted = count_trusted(gateway, route.shards)
    if reaches(trusted, len(route.shards), route.min_coverage):
        return True
    if gateway.contacts.is_cut_off:
        # The first sign of life from another data centre ends this.
        return False
    now = gateway.loop.time()
    if now < gateway.next_trial.get(route.name, 0.0):
        return False
    gateway.next_trial[route.name] = now + TRIAL_INTERVAL_S
    return True


def _decision_at(run: GatherRun) -> float:
    """Return when an answer must leave to arrive within the objective."""
    return run.arrived + run.route.objective_s - run.gateway.limits.request_overhead_s


def _next_look(run: GatherRun) -> float:
    """Return when to look for stragglers next."""
    delay_s = hedge_delay(window_of(run.gateway, run.route), run.route.objective_s)
    return max(run.quiet_until, run.arrived + delay_s * (run.looks + 1))


def _arm(run: GatherRun) -> None:
    """Wake at the next hedge, at the objective, or at the deadline."""
    now = run.gateway.loop.time()
    route = run.route
    times = [run.deadline_at - DEADLINE_MARGIN_S]
    if run.looks < HEDGE_LOOKS:
        times.append(_next_look(run))
    decisions = (
        _decision_at(run),
        # Shards that wait only for suspected servers are given up then.
        run.arrived + route.objective_s,
        run.arrived + LATE_PATIENCE * route.objective_s,
    )
    times += [at for at in decisions if at > now]
    run.timer = run.gateway.loop.call_at(min(times), _on_timer, run)


def _on_timer(run: GatherRun) -> None:
    run.timer = None
    if run.is_finished:
        return
    now = run.gateway.loop.time()
    if run.looks < HEDGE_LOOKS and now >= _next_look(run):
        run.looks += 1
        send_hedges(run)
    _note_overdue(run)
    _check(run)
    if not run.is_finished:
        _arm(run)


def _hopeful(run: GatherRun) -> int:
    """Count the open shards that are still expected to answer.

    Past the objective, a shard that waits only for servers that are suspected
    by now is given up.
    """
    now = run.gateway.loop.time()
    is_late = now >= run.arrived + run.route.objective_s
    count = 0
    for shard in run.shards:
        if not shard.is_open:
            continue
        is_given_up = (
            is_late
            and not shard.is_delegated
            and all(item.state.suspect_until > now for item in shard.pending)
        )
        count += not is_given_up
    return count


def _note_overdue(run: GatherRun) -> None:
    """Count it against the servers that have not answered by the objective.

    A server that is cut off gives no other sign before the deadline.
    """
    now = run.gateway.loop.time()
    if run.are_overdue_noted or now < _decision_at(run):
        return
    run.are_overdue_noted = True
    overdue_s = OVERDUE_FACTOR * window_of(run.gateway, run.route).median_s
    for shard in run.shards:
        for sending in shard.pending if shard.is_open else ():
            if now - sending.sent_at > overdue_s:
                note_late(sending.state, now)


def _check(run: GatherRun) -> None:
    """Answer if it is time to."""
    if run.is_finished:
        return
    if run.on_part is None:
        _check_whole(run)
    else:
        _check_part(run, run.on_part)


def _check_whole(run: GatherRun) -> None:
    progress = progress_of(run)
    route, now = run.route, run.gateway.loop.time()
    waited_s, request_overhead_s = (
        now - run.arrived,
        run.gateway.limits.request_overhead_s,
    )
    is_enough = reaches(progress.included, progress.total, route.min_coverage)
    is_last_call = now >= run.deadline_at - DEADLINE_MARGIN_S
    if is_enough and (
        is_last_call
        or should_answer(
            progress,
            route.min_coverage,
            waited_s,
            route.objective_s,
            request_overhead_s,
        )
    ):
        _finish(run, _gathered(run, run.shards))
    elif not reaches(
        progress.included + _hopeful(run), progress.total, route.min_coverage
    ):
        _finish(run, _failed(run, progress))
    elif is_last_call:
        _finish(run, _out_of_time(run, progress))


def _check_part(run: GatherRun, on_part: OnGatewayReply) -> None:
    """Tell the asking daemon what is in, and end when nothing more will be.

    It alone knows whether the query has enough: of ten parts that each lack a
    shard, none is short by itself.
    """
    now = run.gateway.loop.time()
    untold = [shard for shard in run.shards if shard.reply and not shard.is_told]
    is_last_call = now >= run.deadline_at - DEADLINE_MARGIN_S
    if is_last_call or not _hopeful(run):
        if untold or any(shard.is_told for shard in run.shards):
            _finish(run, _gathered(run, untold))
        else:
            progress = progress_of(run)
            end = _out_of_time if is_last_call else _failed
            _finish(run, end(run, progress))
    elif untold and now >= _decision_at(run):
        for shard in untold:
            shard.is_told = True
        on_part(_gathered(run, untold))


def _out_of_time(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    without = [shard for shard in run.shards if shard.reply is None]
    text = f"{len(without)} of {progress.total} shards open at the deadline: "
    text += "; ".join(describe_shard(run, shard) for shard in without[:3])
    return GatewayReply(ReplyKind.DEADLINE, text)


def _gathered(run: GatherRun, shards: list[ShardRun]) -> GatewayReply:
    """Return what these shards answered; the others of the query are missing."""
    answered = [(shard, shard.reply) for shard in shards if shard.reply is not None]
    replies = [reply for _, reply in answered]
    return GatewayReply(
        ReplyKind.GATHERED,
        body=merge_greatest((reply.body for reply in replies), run.route.top_records),
        signatures=tuple(reply.signature for reply in replies),
        included=tuple(shard.service for shard, _ in answered),
        missing=sum(shard.reply is None for shard in run.shards),
    )


def _failed(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    """Return a refusal where no server ran anything, else a plain failure."""
    without = [shard for shard in run.shards if shard.reply is None]
    reason = f"{len(without)} of {progress.total} shards did not answer: "
    reason += "; ".join(describe_shard(run, shard) for shard in without[:3])
    is_relay_at_work = any(item.is_open for item in run.delegations)
    has_run = any(shard.ran > 0 or shard.reply is not None for shard in run.shards)
    if is_relay_at_work or has_run:
        return GatewayReply(ReplyKind.FAILED, reason)
    return refuse(run.gateway, reason, (run.deadline_at - run.arrived) / 3)


def _finish(run: GatherRun, reply: GatewayReply) -> None:
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    if reply.kind is not ReplyKind.GATHERED:
        # The servers of relays whose replies came too late finish what they do;
        # ending it would close their connections.
        cancel_delegations(run)
    for shard in run.shards:
        drop_unsent(shard.pending)
    _log(run, reply)
    run.on_reply(reply)


def _log(run: GatherRun, reply: GatewayReply) -> None:
    index = run.gateway.index
    is_whole = reply.kind is ReplyKind.GATHERED and not reply.missing
    record = run.gateway.record_rate_limited if is_whole else run.gateway.record
    record(
        "gateway",
        "gather_ended",
        id=run.request.request_id,
        route=run.route.name,
        version=index.table.version if index else None,
        outcome=reply.kind.value,
        included=sum(shard.reply is not None for shard in run.shards),
        shards=len(run.shards),
        hedges=run.hedges,
        relays=[item.address for item in run.delegations],
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
        objective_ms=round(1000 * run.route.objective_s),
        missing=[s.service for s in run.shards if s.reply is None][:5],
        reason=reply.reason,
    )


def _cancel(run: GatherRun) -> None:
    """Stop all work: the caller has left."""
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    cancel_delegations(run)
    for shard in run.shards:
        for sending in shard.pending:
            cancel_send(sending)
        shard.pending.clear()
