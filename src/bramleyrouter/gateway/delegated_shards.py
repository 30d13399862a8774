"""Leave the shards without a good server nearby to relays."""

from bramleyrouter.gateway.budgets import take_extra
from bramleyrouter.gateway.delegation import (
    MIN_SHARED_SHARDS,
    RETURN_PART_S,
    RETURN_S,
    DelegatedQuery,
    DelegatedReply,
    Relay,
    able_relays,
    share_out,
    split_shards,
    start_delegated,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.gateways import (
    context_for,
    mark_data_centre_reachable,
    states_of,
)
from bramleyrouter.gateway.gather_runs import Delegation, GatherRun, ShardRun
from bramleyrouter.gateway.servers import best_data_centres
from bramleyrouter.gateway.shard_sends import send_first, send_shard
from bramleyrouter.ids import DataCentre


def delegate_shards(run: GatherRun) -> None:
    """Leave shards to relays: those that other data centres serve better.

    Of many shards with servers nearby, the daemons of this data centre each get
    a part.
    """
    gateway = run.gateway
    own = gateway.limits.own_data_centre
    able = able_relays(gateway.relays, gateway.loop.time())
    if not able:
        return
    near: set[ShardRun] = set()
    far: list[ShardRun] = []
    places: list[set[DataCentre]] = []
    for shard in run.shards:
        context = context_for(gateway, shard.service)
        good = best_data_centres(states_of(gateway, shard.service), context)
        if own in good:
            near.add(shard)
        else:
            far.append(shard)
            places.append(good)
    near_relays = {relay.address: relay for relay in able.pop(own, ())}
    if near_relays and len(near) >= MIN_SHARED_SHARDS:
        _share_out(run, near_relays, near)
    # Among equal data centres a random one is asked, so that they share the work.
    names = list(able)
    gateway.rng.shuffle(names)
    for data_centre, positions in split_shards(places, names).items():
        relay = gateway.rng.choice(able[data_centre])
        _start(run, relay, [far[at] for at in positions])


def _share_out(run: GatherRun, relays: dict[str, Relay], near: set[ShardRun]) -> None:
    """Give each daemon of this data centre its part of the shards nearby.

    Parts are of all shards of the route, so that a shard stays with its usual
    daemon whichever others have a server nearby.
    """
    known = run.gateway.relays
    peers = [
        relay.address
        for relay in known.by_address.values()
        if relay.data_centre == run.gateway.limits.own_data_centre
    ]
    shared = share_out(len(run.shards), known.own_address, peers, relays)
    for address, positions in shared.items():
        part = [run.shards[at] for at in positions if run.shards[at] in near]
        if address != known.own_address and part:
            _start(run, relays[address], part)


def _start(run: GatherRun, relay: Relay, shards: list[ShardRun]) -> None:
    delegation = Delegation(relay.address, relay.data_centre, shards)
    run.delegations.append(delegation)
    for shard in shards:
        shard.is_delegated = True
    delegation.cancel = start_delegated(
        run.gateway.loop,
        run.gateway.open_stream,
        relay,
        _delegated_query(run, shards),
        lambda reply, ran: _take(run, delegation, reply, ran),
    )


def _delegated_query(run: GatherRun, wanted: list[ShardRun]) -> DelegatedQuery:
    route, now = run.route, run.gateway.loop.time()
    return_s = RETURN_S + RETURN_PART_S * len(run.delegations)
    return DelegatedQuery(
        run.request,
        route.name,
        tuple(shard.service for shard in wanted),
        run.deadline_at - now - return_s,
        route.objective_s - (now - run.arrived) - return_s,
        route.attempts,
        route.priority,
        route.top_records,
    )


def _take(
    run: GatherRun,
    delegation: Delegation,
    reply: DelegatedReply | None,
    ran: int,
) -> None:
    delegation.is_open = reply is not None and not reply.is_last
    if run.is_finished:
        return
    if reply is None:
        _after_relay_failure(run, delegation, ran)
    else:
        mark_data_centre_reachable(run.gateway, delegation.data_centre)
        _take_reply(delegation.shards, reply)
    run.check(run)


def _take_reply(shards: list[ShardRun], reply: DelegatedReply) -> None:
    """Take the shards that the relay gathered.

    After its last reply the others are missing. The records of all of them come
    merged and are kept with the first shard: the greatest of the greatest are the
    same.
    """
    records = reply.records
    for position, signature in zip(reply.included, reply.signatures, strict=True):
        shard = shards[position]
        shard.reply = ServerReply(
            ExchangeOutcome.ANSWERED, 200, body=records, signature=signature
        )
        records = b""
    if not reply.is_last:
        return
    for shard in shards:
        if shard.reply is None:
            shard.is_missing = True
            shard.ran += int(reply.may_have_run)


def _after_relay_failure(run: GatherRun, delegation: Delegation, ran: int) -> None:
    """Ask the servers directly; what the relay may have sent counts as sent."""
    run.gateway.record(
        "gateway",
        "relay_failed",
        id=run.request.request_id,
        relay=delegation.address,
        ran=ran,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived)),
    )
    for shard in delegation.shards:
        shard.is_delegated = False
        if shard.reply is not None:
            continue
        if not ran:
            send_first(run, shard)
            continue
        shard.ran = ran
        shard.has_arrived = True
        may_send = ran < run.route.attempts and take_extra(
            run.gateway.budget, shard.service
        )
        if not may_send or not send_shard(run, shard):
            shard.is_missing = True
