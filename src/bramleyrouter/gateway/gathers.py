"""Queries over many shards: one server of each, merged into one response."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.gateway.budgets import count_request, take_extra
from bramleyrouter.gateway.delegation import (
    RETURN_S,
    DelegatedQuery,
    DelegatedReply,
    candidates,
    start_delegated,
)
from bramleyrouter.gateway.exchanges import (
    NOT_RUN,
    CallerRequest,
    ExchangeEnd,
    GatewayReply,
    ReplyKind,
    ServerReply,
)
from bramleyrouter.gateway.gateways import (
    DEADLINE_MARGIN_S,
    MIN_SEND_S,
    TRIAL_INTERVAL_S,
    Cancel,
    Gateway,
    OnGatewayReply,
    Sending,
    context_for,
    deadline_of,
    refuse,
    send,
    states_of,
    window_of,
)
from bramleyrouter.gateway.latencies import add_sample, hedge_delay
from bramleyrouter.gateway.merging import merge_greatest
from bramleyrouter.gateway.servers import (
    choose_server,
    describe_servers,
    good_data_centres,
    note_cancelled,
    note_late,
)
from bramleyrouter.gateway.tables import Route
from bramleyrouter.gateway.waiting import (
    LATE_PATIENCE,
    TRIP_S,
    GatherProgress,
    reaches,
    share_needed,
    should_answer,
)
from bramleyrouter.ids import DataCentre, ServerId, ServiceName

# Sends of one shard in all, those that were refused without running included.
MAX_SENDS = 4
# Looks for stragglers in one request; the second catches those for which the
# first had no budget or no server.
HEDGE_LOOKS = 3
# A server that takes this many times the typical latency is overdue at the
# objective.
OVERDUE_FACTOR = 2.0


@dataclass(eq=False)
class ShardRun:
    """Hold the state of one shard of a gather.

    ``ran`` counts the sends that may have run, ``sends`` all of them. Once a
    send has reached a server, every later one is an extra.
    """

    service: ServiceName
    tried: set[ServerId] = field(default_factory=set)
    pending: list[Sending] = field(default_factory=list)
    reply: ServerReply | None = None
    is_missing: bool = False
    sends: int = 0
    ran: int = 0
    has_arrived: bool = False
    is_delegated: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the shard may still answer."""
        return self.reply is None and not self.is_missing


@dataclass(eq=False)
class GatherRun:
    """Hold one query while it runs."""

    gateway: Gateway
    route: Route
    request: CallerRequest
    arrived: float
    deadline_at: float
    on_reply: OnGatewayReply
    shards: list[ShardRun] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    looks: int = 0
    hedges: int = 0
    is_finished: bool = False
    are_overdue_noted: bool = False
    is_started: bool = False
    cancel_delegated: Cancel | None = None
    relay: str = ""


def progress_of(run: GatherRun) -> GatherProgress:
    """Count the shards by their state."""
    included = sum(shard.reply is not None for shard in run.shards)
    still_open = sum(shard.is_open for shard in run.shards)
    return GatherProgress(included, still_open, len(run.shards))


def start_gather(
    gateway: Gateway,
    route: Route,
    request: CallerRequest,
    on_reply: OnGatewayReply,
    may_delegate: bool = True,
) -> Cancel:
    """Run a query; call ``on_reply`` once unless the returned closure is called.

    A relay that runs a delegated query does not delegate it again.
    """
    now = gateway.loop.time()
    deadline_s = deadline_of(route, request)
    run = GatherRun(gateway, route, request, now, now + deadline_s, on_reply)
    run.shards = [ShardRun(service) for service in route.shards]
    lost = [shard for shard in run.shards if _choose(run, shard) is None]
    reachable = len(run.shards) - len(lost)
    if not reaches(reachable, len(run.shards), route.min_coverage):
        reason = f"{reachable} of {len(run.shards)} shards have a server; "
        reason += "; ".join(_describe(run, shard) for shard in lost[:3])
        _finish(run, refuse(gateway, reason, deadline_s / 3))
        return lambda: None
    if not _is_hopeful(run):
        reason = "too many shards have only suspected servers"
        _finish(run, refuse(gateway, reason, deadline_s / 3))
        return lambda: None
    if may_delegate:
        _delegate(run)
    for shard in run.shards:
        if not shard.is_delegated:
            _send_first(run, shard)
    run.is_started = True
    _check(run)
    if not run.is_finished:
        _arm(run)
    return lambda: _cancel(run)


def _send_first(run: GatherRun, shard: ShardRun) -> None:
    count_request(run.gateway.budget, shard.service)
    if not _send(run, shard):
        shard.is_missing = True


def _delegate(run: GatherRun) -> None:
    """Leave the shards without a good server here to a relay, if one fits."""
    gateway = run.gateway
    if gateway.open_stream is None:
        return
    own = gateway.limits.own_data_centre
    wanted: list[ShardRun] = []
    served: dict[DataCentre, int] = {}
    for shard in run.shards:
        context = context_for(gateway, shard.service)
        good = good_data_centres(states_of(gateway, shard.service), context)
        if own in good:
            continue
        wanted.append(shard)
        for data_centre in good:
            served[data_centre] = served.get(data_centre, 0) + 1
    now = gateway.loop.time()
    able = candidates(gateway.relays, served, len(wanted), own, now)
    if not able:
        return
    relay = gateway.rng.choice(able)
    for shard in wanted:
        shard.is_delegated = True
    run.relay = relay.address
    query = _delegated_query(run, wanted)
    run.cancel_delegated = start_delegated(
        gateway.loop,
        gateway.open_stream,
        relay,
        query,
        lambda reply, may_have_run: _take_delegated(run, wanted, reply, may_have_run),
    )


def _delegated_query(run: GatherRun, wanted: list[ShardRun]) -> DelegatedQuery:
    route, now = run.route, run.gateway.loop.time()
    return DelegatedQuery(
        run.request,
        route.name,
        tuple(shard.service for shard in wanted),
        run.deadline_at - now - RETURN_S,
        route.objective_s - (now - run.arrived) - RETURN_S,
        route.attempts,
        route.priority,
        route.top_records,
        share_needed(len(wanted), len(run.shards), route.min_coverage),
    )


def _take_delegated(
    run: GatherRun,
    wanted: list[ShardRun],
    reply: DelegatedReply | None,
    may_have_run: bool,
) -> None:
    run.cancel_delegated = None
    if run.is_finished:
        return
    if reply is None:
        _after_relay_failure(run, wanted, may_have_run)
    else:
        _take_delegated_reply(run, wanted, reply)
    _check(run)


def _take_delegated_reply(
    run: GatherRun, wanted: list[ShardRun], reply: DelegatedReply
) -> None:
    """Take the shards that the relay gathered; the others are missing.

    The records of all of them come merged and are kept with the first shard:
    the greatest of the greatest are the same.
    """
    records = reply.records
    for position, signature in zip(reply.included, reply.signatures, strict=True):
        shard = wanted[position]
        shard.reply = ServerReply(
            ExchangeEnd.ANSWERED, 200, body=records, signature=signature
        )
        records = b""
    for shard in wanted:
        if shard.reply is None:
            shard.is_missing = True
            shard.ran += int(reply.may_have_run)


def _after_relay_failure(
    run: GatherRun, wanted: list[ShardRun], may_have_run: bool
) -> None:
    """Ask the servers directly; what the relay sent counts as a first send."""
    run.gateway.record(
        "gateway",
        "relay_failed",
        id=run.request.request_id,
        relay=run.relay,
        may_have_run=may_have_run,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
    )
    for shard in wanted:
        shard.is_delegated = False
        if not may_have_run:
            _send_first(run, shard)
            continue
        shard.ran = 1
        shard.has_arrived = True
        may_send = run.route.attempts > 1 and take_extra(
            run.gateway.budget, shard.service
        )
        if not may_send or not _send(run, shard):
            shard.is_missing = True


def _is_hopeful(run: GatherRun) -> bool:
    """Return whether the query can be expected to reach enough shards.

    Once the servers of too many shards are suspected, as in a data centre that
    is cut off, most queries are refused at once, and one now and then finds out
    whether they are back.
    """
    gateway, route = run.gateway, run.route
    trusted = 0
    for shard in run.shards:
        context = context_for(gateway, shard.service)
        states = states_of(gateway, shard.service)
        best = choose_server(states, context)
        is_suspected = best is not None and best.suspect_until > context.now
        trusted += best is not None and not is_suspected
    if reaches(trusted, len(run.shards), route.min_coverage):
        return True
    now = gateway.loop.time()
    if now < gateway.next_trial.get(route.name, 0.0):
        return False
    gateway.next_trial[route.name] = now + TRIAL_INTERVAL_S
    return True


def _describe(run: GatherRun, shard: ShardRun) -> str:
    states = states_of(run.gateway, shard.service)
    context = context_for(run.gateway, shard.service)
    return f'"{shard.service}" ({describe_servers(states, context)})'


def _choose(run: GatherRun, shard: ShardRun):
    context = context_for(run.gateway, shard.service)
    states = states_of(run.gateway, shard.service)
    return choose_server(states, context, shard.tried)


def _send(run: GatherRun, shard: ShardRun) -> bool:
    """Send the shard's request to the best server left; say whether one was."""
    gateway = run.gateway
    timeout_s = run.deadline_at - gateway.loop.time()
    state = _choose(run, shard)
    if state is None or timeout_s < MIN_SEND_S:
        return False
    shard.tried.add(state.row.server_id)
    shard.sends += 1
    shard.ran += 1
    context = context_for(gateway, shard.service)
    holder: list[Sending] = []
    sending = send(
        gateway,
        state,
        context,
        run.request,
        timeout_s,
        window_of(gateway, run.route),
        lambda reply: _take(run, shard, holder[0], reply),
    )
    holder.append(sending)
    shard.pending.append(sending)
    return True


def _take(
    run: GatherRun, shard: ShardRun, sending: Sending, reply: ServerReply
) -> None:
    shard.pending.remove(sending)
    now = run.gateway.loop.time()
    if reply.is_success:
        add_sample(window_of(run.gateway, run.route), now - sending.sent_at)
    if run.is_finished or not shard.is_open:
        return
    if reply.is_success:
        shard.reply = reply
        for other in shard.pending:
            note_late(other.state, now)
    else:
        _after_failure(run, shard, sending, reply)
    if run.is_started:
        _check(run)


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
        end=reply.end.value,
        status=reply.status,
        text=reply.text,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
    )
    # A server that rejects a request has been reached by it.
    shard.has_arrived |= reply.end is not ExchangeEnd.UNREACHED
    if reply.end in NOT_RUN:
        shard.ran -= 1
    if shard.pending:
        return
    if reply.end is ExchangeEnd.REFUSED and _choose(run, shard) is None:
        # All are full for the moment; the one that refused first may have room.
        shard.tried.clear()
        shard.tried.add(sending.state.row.server_id)
    can_send = shard.ran < run.route.attempts and shard.sends < MAX_SENDS
    if can_send and shard.has_arrived:
        can_send = take_extra(run.gateway.budget, shard.service)
    if not can_send or not _send(run, shard):
        shard.is_missing = True


def _hedge(run: GatherRun) -> None:
    """Ask a second server for each shard that is still waited for."""
    gateway = run.gateway
    for shard in run.shards:
        is_straggler = shard.is_open and len(shard.pending) == 1
        if not is_straggler or shard.ran >= run.route.attempts:
            continue
        if _choose(run, shard) is None:
            continue
        if take_extra(gateway.budget, shard.service, is_hedge=True):
            run.hedges += 1
            _send(run, shard)


def _arm(run: GatherRun) -> None:
    """Wake at the next hedge, at the objective, or at the deadline."""
    now = run.gateway.loop.time()
    route = run.route
    times = [run.deadline_at - DEADLINE_MARGIN_S]
    if run.looks < HEDGE_LOOKS:
        delay_s = hedge_delay(window_of(run.gateway, route), route.objective_s)
        times.append(run.arrived + delay_s * (run.looks + 1))
    objective_at = run.arrived + route.objective_s - TRIP_S
    # Whoever is suspected then is given up.
    times += [at for at in (run.arrived + route.objective_s,) if at > now]
    late_at = run.arrived + LATE_PATIENCE * route.objective_s
    times += [at for at in (objective_at, late_at) if at > now]
    run.timer = run.gateway.loop.call_at(min(times), _on_timer, run)


def _on_timer(run: GatherRun) -> None:
    run.timer = None
    if run.is_finished:
        return
    now = run.gateway.loop.time()
    delay_s = hedge_delay(window_of(run.gateway, run.route), run.route.objective_s)
    if run.looks < HEDGE_LOOKS and now >= run.arrived + delay_s * (run.looks + 1):
        run.looks += 1
        _hedge(run)
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
    if run.are_overdue_noted or now < run.arrived + run.route.objective_s - TRIP_S:
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
    progress = progress_of(run)
    route, now = run.route, run.gateway.loop.time()
    waited_s = now - run.arrived
    is_enough = reaches(progress.included, progress.total, route.min_coverage)
    is_last_call = now >= run.deadline_at - DEADLINE_MARGIN_S
    if is_enough and (
        is_last_call
        or should_answer(progress, route.min_coverage, waited_s, route.objective_s)
    ):
        _finish(run, _gathered(run, progress))
    elif not reaches(
        progress.included + _hopeful(run), progress.total, route.min_coverage
    ):
        _finish(run, _failed(run, progress))
    elif is_last_call:
        without = [shard for shard in run.shards if shard.reply is None]
        text = f"{len(without)} of {progress.total} shards open at the deadline: "
        text += "; ".join(_describe(run, shard) for shard in without[:3])
        _finish(run, GatewayReply(ReplyKind.DEADLINE, text))


def _gathered(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    replies = [shard.reply for shard in run.shards if shard.reply is not None]
    return GatewayReply(
        ReplyKind.GATHERED,
        body=merge_greatest((reply.body for reply in replies), run.route.top_records),
        signatures=tuple(reply.signature for reply in replies),
        included=tuple(s.service for s in run.shards if s.reply is not None),
        missing=progress.total - progress.included,
    )


def _failed(run: GatherRun, progress: GatherProgress) -> GatewayReply:
    """Return a refusal where no server ran anything, else a plain failure."""
    without = [shard for shard in run.shards if shard.reply is None]
    reason = f"{len(without)} of {progress.total} shards did not answer: "
    reason += "; ".join(_describe(run, shard) for shard in without[:3])
    if any(shard.ran > 0 for shard in run.shards):
        return GatewayReply(ReplyKind.FAILED, reason)
    return refuse(run.gateway, reason, (run.deadline_at - run.arrived) / 3)


def _finish(run: GatherRun, reply: GatewayReply) -> None:
    run.is_finished = True
    if run.timer is not None:
        run.timer.cancel()
    if run.cancel_delegated is not None:
        run.cancel_delegated()
    _log(run, reply)
    run.on_reply(reply)


def _log(run: GatherRun, reply: GatewayReply) -> None:
    index = run.gateway.index
    is_whole = reply.kind is ReplyKind.GATHERED and not reply.missing
    record = run.gateway.record_ordinary if is_whole else run.gateway.record
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
        relay=run.relay,
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
    if run.cancel_delegated is not None:
        run.cancel_delegated()
    for shard in run.shards:
        for sending in shard.pending:
            sending.cancel()
            note_cancelled(sending.state)
        shard.pending.clear()
