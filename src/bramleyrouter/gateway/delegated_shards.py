"""Leave the shards without a good server nearby to a relay."""

from bramleyrouter.gateway.budgets import take_extra
from bramleyrouter.gateway.delegation import (
    RETURN_S,
    DelegatedQuery,
    DelegatedReply,
    candidates,
    start_delegated,
)
from bramleyrouter.gateway.exchanges import ExchangeEnd, ServerReply
from bramleyrouter.gateway.gateways import context_for, hear_from, states_of
from bramleyrouter.gateway.gather_runs import GatherRun, ShardRun
from bramleyrouter.gateway.servers import good_data_centres
from bramleyrouter.gateway.shard_sends import send_first, send_shard
from bramleyrouter.gateway.waiting import share_needed
from bramleyrouter.ids import DataCentre


def delegate_shards(run: GatherRun) -> None:
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
        lambda reply, may_have_run: _take_delegated(
            run, wanted, relay.data_centre, reply, may_have_run
        ),
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
    data_centre: DataCentre,
    reply: DelegatedReply | None,
    may_have_run: bool,
) -> None:
    run.cancel_delegated = None
    if run.is_finished:
        return
    if reply is None:
        _after_relay_failure(run, wanted, may_have_run)
    else:
        hear_from(run.gateway, data_centre)
        _take_delegated_reply(run, wanted, reply)
    run.check(run)


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
            send_first(run, shard)
            continue
        shard.ran = 1
        shard.has_arrived = True
        may_send = run.route.attempts > 1 and take_extra(
            run.gateway.budget, shard.service
        )
        if not may_send or not send_shard(run, shard):
            shard.is_missing = True
