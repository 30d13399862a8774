"""Delegate shards of a gather to relays and handle their replies."""

from collections.abc import Sequence

from bramleyrouter.gateway.attempts import discard_unsent
from bramleyrouter.gateway.delegation import (
    MARGIN_PER_RELAY_S,
    MIN_SHARED_SHARDS,
    RELAY_REPLY_MARGIN_S,
    AttemptGrant,
    DelegatedQuery,
    DelegatedReply,
    DelegationCallbacks,
    Relay,
    assign_shards,
    compute_delegated_attempts,
    encode_message,
    get_usable_relays,
    split_shards,
    start_delegated_query,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.gateways import mark_data_centre_reachable
from bramleyrouter.gateway.gather_runs import (
    AttemptPurpose,
    Delegation,
    DelegationState,
    GatherRun,
    ShardRun,
    has_open_shard,
)
from bramleyrouter.gateway.servers import record_leaving
from bramleyrouter.gateway.shard_attempts import send_attempt, send_first_attempt
from bramleyrouter.ids import DataCentre

# Grants are addressed by a random number, so that one that is delayed beyond a restart
# of either daemon matches no other delegation.
GRANT_ID_BITS = 63


def delegate_shards(run: GatherRun, best: Sequence[set[DataCentre]]) -> None:
    """Delegate to relays the shards that other data centres serve better.

    ``best`` holds, for each shard, the data centres that have a good server of it.
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
    for shard, data_centres in zip(run.shards, best, strict=True):
        if own in data_centres:
            local.add(shard)
        else:
            remote.append(shard)
            candidates.append(data_centres)
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
    if run.permit is not None:
        run.permit.is_delegated = True
        # One shard stays here: nobody bounds when a relay sends, so the attempt that
        # counts against the quota is sent by this daemon while the permit is valid.
        others = sum(shard.delegation is not None for shard in run.shards)
        if others + len(shards) == len(run.shards):
            shards = shards[:-1]
    attempts = compute_delegated_attempts(run.route.attempts)
    has_reserve = attempts < run.route.attempts
    delegation = Delegation(
        relay.address,
        relay.data_centre,
        shards,
        run.gateway.rng.getrandbits(GRANT_ID_BITS) if has_reserve else 0,
        [attempts] * len(shards),
    )
    run.delegations.append(delegation)
    for shard in shards:
        shard.delegation = delegation
        shard.possible_runs += attempts

    def confirm() -> None:
        delegation.state = DelegationState.CONFIRMED

    delegation.cancel = start_delegated_query(
        run.gateway.loop,
        run.gateway.open_stream,
        relay,
        _build_delegated_query(run, delegation, attempts),
        DelegationCallbacks(
            lambda reply: _handle_relay_reply(run, delegation, reply),
            confirm,
            lambda: _handle_unconfirmed(run, delegation),
            lambda is_not_run: _handle_relay_failure(run, delegation, is_not_run),
        ),
    )


def _build_delegated_query(
    run: GatherRun, delegation: Delegation, attempts: int
) -> DelegatedQuery:
    route, now = run.route, run.gateway.loop.time()
    reply_margin_s = RELAY_REPLY_MARGIN_S + MARGIN_PER_RELAY_S * len(run.delegations)
    return DelegatedQuery(
        run.request,
        route.name,
        tuple(shard.service for shard in delegation.shards),
        run.deadline_at - now - reply_margin_s,
        route.objective_s - (now - run.arrived_at) - reply_margin_s,
        attempts,
        route.priority,
        route.top_records,
        delegation.grant_id,
        run.reply_at - now - reply_margin_s,
    )


def _handle_relay_reply(
    run: GatherRun, delegation: Delegation, reply: DelegatedReply
) -> None:
    if reply.is_last:
        delegation.state = DelegationState.ENDED
    if reply.wanted:
        _decide_on_attempts(run, delegation, reply.wanted)
    for position, server_id, incarnation in reply.leaving:
        service = delegation.shards[position].service
        record_leaving(run.gateway.servers, service, server_id, incarnation)
    if run.is_finished:
        return
    mark_data_centre_reachable(run.gateway, delegation.data_centre)
    _apply_relay_reply(delegation, reply)
    # Before the reply time, results end the gather only if they were the last ones.
    is_complete = all(shard.reply is not None for shard in delegation.shards)
    is_early = run.gateway.loop.time() < run.reply_at
    if not (is_complete and is_early and has_open_shard(run)):
        run.reply_if_due(run)


def _decide_on_attempts(
    run: GatherRun, delegation: Delegation, wanted: tuple[int, ...]
) -> None:
    """Grant a relay the attempts that are left for the shards; deny the others.

    A granted attempt is counted before the message leaves and stays counted if the
    message is lost.
    """
    for position in wanted:
        shard = delegation.shards[position]
        if run.is_finished or not shard.is_open:
            continue
        if shard.possible_runs < shard.max_runs:
            shard.possible_runs += 1
            delegation.granted[position] += 1
    totals = tuple(delegation.granted[position] for position in wanted)
    grant = AttemptGrant(delegation.grant_id, wanted, totals)
    run.gateway.send_grant(delegation.address, encode_message(grant))


def _apply_relay_reply(delegation: Delegation, reply: DelegatedReply) -> None:
    """Apply a relay's reply to the delegated shards.

    The reply holds the merged records of all its shards; they are stored with the first
    one, because merging the greatest records again gives the same result. A result of
    this daemon's own attempt is replaced, as its records would count twice otherwise.

    After the relay's last reply, shards without a result or an attempt in flight are
    missing.
    """
    records = reply.records
    for position, signature in zip(reply.included, reply.signatures, strict=True):
        shard = delegation.shards[position]
        shard.reply = ServerReply(
            ExchangeOutcome.ANSWERED, 200, body=records, signature=signature
        )
        records = b""
        discard_unsent(shard.pending)
    if not reply.is_last:
        return
    for shard, granted in zip(delegation.shards, delegation.granted, strict=True):
        if shard.reply is None:
            shard.is_missing = not shard.pending
            if not reply.may_have_run:
                shard.possible_runs -= granted


def _handle_unconfirmed(run: GatherRun, delegation: Delegation) -> None:
    """Send the shards of a late relay directly as well, as far as attempts are left."""
    if run.is_finished:
        return
    _record_relay_failure(run, delegation, "unconfirmed")
    for shard in delegation.shards:
        if shard.is_open:
            shard.has_arrived = True
            _send_instead_of_relay(run, shard)
    run.reply_if_due(run)


def _handle_relay_failure(
    run: GatherRun, delegation: Delegation, is_not_run: bool
) -> None:
    """Send the shards of a failed relay directly, as far as attempts are left.

    Attempts that were handed over count as used unless the relay certainly ran nothing.
    """
    delegation.state = DelegationState.ENDED
    if run.is_finished:
        return
    _record_relay_failure(run, delegation, "not run" if is_not_run else "failed")
    for shard, granted in zip(delegation.shards, delegation.granted, strict=True):
        if is_not_run:
            shard.possible_runs -= granted
        else:
            shard.has_arrived = True
        if not shard.is_open or shard.pending:
            continue
        if is_not_run and not shard.attempt_count:
            send_first_attempt(run, shard)
        elif not _send_instead_of_relay(run, shard):
            shard.is_missing = True
    run.reply_if_due(run)


def _send_instead_of_relay(run: GatherRun, shard: ShardRun) -> bool:
    """Send one more attempt if the shard's attempts and the budget allow it."""
    return shard.possible_runs < shard.max_runs and send_attempt(
        run, shard, AttemptPurpose.RETRY, is_extra=True
    )


def _record_relay_failure(run: GatherRun, delegation: Delegation, how: str) -> None:
    run.gateway.record(
        "gateway",
        "relay_failed",
        id=run.request.request_id,
        relay=delegation.address,
        how=how,
        shards=len(delegation.shards),
        granted=max(delegation.granted),
        waited_ms=round(1000 * (run.gateway.loop.time() - run.arrived_at)),
    )
