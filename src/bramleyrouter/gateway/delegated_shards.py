"""Delegate shards of a gather to relays and handle their replies."""

from bramleyrouter.gateway.budgets import try_consume_extra_send
from bramleyrouter.gateway.delegation import (
    MARGIN_PER_RELAY_S,
    MIN_SHARED_SHARDS,
    RELAY_REPLY_MARGIN_S,
    DelegatedQuery,
    DelegatedReply,
    Relay,
    assign_shards,
    get_usable_relays,
    split_shards,
    start_delegated_query,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.gateways import (
    build_choice_context,
    get_tracked_servers,
    mark_data_centre_reachable,
)
from bramleyrouter.gateway.gather_runs import (
    AttemptPurpose,
    Delegation,
    GatherRun,
    ShardRun,
)
from bramleyrouter.gateway.servers import find_best_data_centres
from bramleyrouter.gateway.shard_attempts import send_attempt, send_first_attempt
from bramleyrouter.ids import DataCentre


def delegate_shards(run: GatherRun) -> None:
    """Delegate to relays the shards that other data centres serve better.

    If many shards have good servers in this data centre, they are distributed over the
    entry daemons of this data centre.
    """
    gateway = run.gateway
    own = gateway.limits.own_data_centre
    usable_relays = get_usable_relays(gateway.relays, gateway.loop.time())
    if not usable_relays:
        return
    local: set[ShardRun] = set()
    remote: list[ShardRun] = []
    candidates: list[set[DataCentre]] = []
    for shard in run.shards:
        context = build_choice_context(gateway, shard.service)
        best = find_best_data_centres(
            get_tracked_servers(gateway, shard.service), context
        )
        if own in best:
            local.add(shard)
        else:
            remote.append(shard)
            candidates.append(best)
    local_relays = {relay.address: relay for relay in usable_relays.pop(own, ())}
    if local_relays and len(local) >= MIN_SHARED_SHARDS:
        _share_with_peers(run, local_relays, local)
    # Data centres that hold equally many of the shards are ordered at random to spread
    # the load.
    names = list(usable_relays)
    gateway.rng.shuffle(names)
    for data_centre, positions in split_shards(candidates, names).items():
        relay = gateway.rng.choice(usable_relays[data_centre])
        _start_delegation(run, relay, [remote[at] for at in positions])


def _share_with_peers(
    run: GatherRun, relays: dict[str, Relay], local: set[ShardRun]
) -> None:
    """Delegate parts of the local shards to the other daemons of this data centre.

    The parts are computed over all shards of the route, so that a shard stays with its
    preferred daemon whichever other shards have local servers.
    """
    known_relays = run.gateway.relays
    peers = [
        relay.address
        for relay in known_relays.by_address.values()
        if relay.data_centre == run.gateway.limits.own_data_centre
    ]
    shared = assign_shards(len(run.shards), known_relays.own_address, peers, relays)
    for address, positions in shared.items():
        part = [run.shards[at] for at in positions if run.shards[at] in local]
        if address != known_relays.own_address and part:
            _start_delegation(run, relays[address], part)


def _start_delegation(run: GatherRun, relay: Relay, shards: list[ShardRun]) -> None:
    delegation = Delegation(relay.address, relay.data_centre, shards)
    run.delegations.append(delegation)
    for shard in shards:
        shard.is_delegated = True
    delegation.cancel = start_delegated_query(
        run.gateway.loop,
        run.gateway.open_stream,
        relay,
        _build_delegated_query(run, shards),
        lambda reply, possible_runs: _handle_relay_reply(
            run, delegation, reply, possible_runs
        ),
    )


def _build_delegated_query(run: GatherRun, shards: list[ShardRun]) -> DelegatedQuery:
    route, now = run.route, run.gateway.loop.time()
    reply_margin_s = RELAY_REPLY_MARGIN_S + MARGIN_PER_RELAY_S * len(run.delegations)
    return DelegatedQuery(
        run.request,
        route.name,
        tuple(shard.service for shard in shards),
        run.deadline_at - now - reply_margin_s,
        route.objective_s - (now - run.arrived_at) - reply_margin_s,
        route.attempts,
        route.priority,
        route.top_records,
    )


def _handle_relay_reply(
    run: GatherRun,
    delegation: Delegation,
    reply: DelegatedReply | None,
    possible_runs: int,
) -> None:
    delegation.is_open = reply is not None and not reply.is_last
    if run.is_finished:
        return
    if reply is None:
        _handle_relay_failure(run, delegation, possible_runs)
    else:
        mark_data_centre_reachable(run.gateway, delegation.data_centre)
        _apply_relay_reply(delegation.shards, reply)
    run.reply_if_due(run)


def _apply_relay_reply(shards: list[ShardRun], reply: DelegatedReply) -> None:
    """Apply a relay's reply to the delegated shards.

    After the relay's last reply, shards without a result are missing. The reply holds
    the merged records of all its shards; they are stored with the first one, because
    merging the greatest records again gives the same result.
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
            shard.possible_runs += int(reply.may_have_run)


def _handle_relay_failure(
    run: GatherRun, delegation: Delegation, possible_runs: int
) -> None:
    """Send the shards directly; runs that the relay may have caused are counted."""
    run.gateway.record(
        "gateway",
        "relay_failed",
        id=run.request.request_id,
        relay=delegation.address,
        ran=possible_runs,
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived_at)),
    )
    for shard in delegation.shards:
        shard.is_delegated = False
        if shard.reply is not None:
            continue
        if not possible_runs:
            send_first_attempt(run, shard)
            continue
        shard.possible_runs = possible_runs
        shard.has_arrived = True
        may_send = possible_runs < run.route.attempts and try_consume_extra_send(
            run.gateway.budget, shard.service
        )
        if not may_send or not send_attempt(run, shard, AttemptPurpose.RETRY):
            shard.is_missing = True
