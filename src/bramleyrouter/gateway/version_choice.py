"""Apply the rollouts of server versions to the gateway's choices and attempts."""

from collections.abc import Collection
from typing import TYPE_CHECKING

from bramleyrouter.fleet.records import get_version
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.fleet.version_reports import VersionReport
from bramleyrouter.gateway.exchanges import NOT_ARRIVED, ExchangeOutcome, ServerReply
from bramleyrouter.gateway.gateways import (
    Gateway,
    get_tracked_servers,
    split_by_version,
)
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    choose_server,
)
from bramleyrouter.gateway.version_shares import (
    VersionShare,
    build_report,
    count_answer,
    is_on_trial,
    is_rejected,
    is_trial_open,
)
from bramleyrouter.ids import ServerId, ServiceName

if TYPE_CHECKING:
    from bramleyrouter.gateway.attempts import Attempt

# A cancelled request counts as one that took this long if that is at least this
# multiple of its route's median. A shorter one says nothing about the server.
CENSORED_FACTOR = 1.5
MIN_ERROR_STATUS = 400
# Outcomes that say nothing about the version of a server.
_NO_EVIDENCE = frozenset({ExchangeOutcome.UNSENT, ExchangeOutcome.MISDIRECTED})


def set_rollouts(gateway: Gateway, rollouts: Collection[VersionRollout]) -> None:
    """Apply the newest rollouts; counts of a rollout last until the next one."""
    shares: dict[ServiceName, VersionShare] = {}
    for rollout in rollouts:
        share = gateway.shares.get(rollout.service)
        if share is None or share.rollout.sequence != rollout.sequence:
            share = VersionShare(rollout, gateway.loop.time(), gateway.rng.random())
            is_new = True
        else:
            is_new = share.rollout.state is not rollout.state
        share.rollout = rollout
        shares[rollout.service] = share
        if not is_new:
            continue
        gateway.record(
            "gateway",
            "rollout",
            service=rollout.service,
            version=rollout.version,
            state=rollout.state.value,
            sequence=rollout.sequence,
            sent=share.trial_sends,
            of=share.arrived,
        )
    gateway.shares = shares


def choose_among_versions(
    gateway: Gateway,
    service: ServiceName,
    context: ChoiceContext,
    tried: Collection[ServerId] = (),
) -> TrackedServer | None:
    """Return the best server that was not tried yet, or none.

    A version on trial is preferred while this daemon owes it a request.
    """
    split = split_by_version(gateway, service)
    if split is None:
        servers = get_tracked_servers(gateway, service)
        return choose_server(servers, context, tried)
    server = choose_server(split.first, context, tried) if split.first else None
    return server or choose_server(split.others, context, tried)


def may_still_send(gateway: Gateway, server: TrackedServer) -> bool:
    """Return whether a request that waited for a connection may go to this server."""
    share = gateway.shares.get(server.row.service)
    if share is None:
        return True
    if is_on_trial(share, server):
        limits, now = gateway.share_limits, gateway.loop.time()
        return is_trial_open(share, limits, gateway.control_silence_s(), now)
    return not is_rejected(share, server)


def record_assigned(gateway: Gateway, server: TrackedServer, request_id: str) -> None:
    """Count a request that is assigned to a version on trial."""
    share = gateway.shares.get(server.row.service)
    if share is None or not is_on_trial(share, server):
        return
    share.trial_sends += 1
    gateway.record_rate_limited(
        "gateway",
        "version_tried",
        id=request_id,
        service=server.row.service,
        server=server.row.server_id,
        version=get_version(server.row),
        sent=share.trial_sends,
        of=share.arrived,
        silent_ms=round(1000 * gateway.control_silence_s()),
    )


def record_version_reply(
    attempt: "Attempt", reply: ServerReply, latency_s: float
) -> None:
    """Count the end of a request for the share and the judgement of its version."""
    gateway, server = attempt.gateway, attempt.server
    share = gateway.shares.get(server.row.service)
    if share is None or not share.rollout.is_open:
        return
    share.arrived += reply.outcome not in NOT_ARRIVED
    if reply.outcome in _NO_EVIDENCE or reply.is_leaving:
        return
    is_failed = (
        reply.outcome is not ExchangeOutcome.ANSWERED
        or reply.status >= MIN_ERROR_STATUS
        or (200 <= reply.status < 300 and not reply.is_success)
    )
    _count(attempt, share, None if is_failed else latency_s)


def record_version_cancel(attempt: "Attempt") -> None:
    """Count a cancelled request if it was slow already."""
    gateway = attempt.gateway
    share = gateway.shares.get(attempt.server.row.service)
    if share is None or not share.rollout.is_open or not attempt.is_started:
        return
    elapsed_s = gateway.loop.time() - attempt.sent_at
    median_s = attempt.window.median_s
    if median_s and elapsed_s >= CENSORED_FACTOR * median_s:
        _count(attempt, share, elapsed_s)


def _count(attempt: "Attempt", share: VersionShare, latency_s: float | None) -> None:
    server, now = attempt.server, attempt.gateway.loop.time()
    if latency_s is not None and server.cold_until > attempt.sent_at:
        # A cold server is slower whatever its version is; only failures count.
        latency_s = 0.0
    is_trial = is_on_trial(share, server)
    count_answer(share, is_trial, attempt.window.route, now, latency_s)


def list_reports(gateway: Gateway) -> list[VersionReport]:
    """Return the counts of all open rollouts since this daemon's start."""
    return [
        build_report(share, gateway.daemon_start)
        for share in gateway.shares.values()
        if share.rollout.is_open and share.cells
    ]
