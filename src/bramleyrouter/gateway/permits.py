"""Hold a customer's permit for a request until its first attempt is sent.

Load pattern: requests that wait, for a permit or for a connection, longer than a permit
is valid. The first attempt counts against the customer's quota, so it must be sent
while the permit is valid. The request gets another permit shortly before the end, or is
refused as not run. Opening the connection takes time as well, so the permit is checked
when the request is written.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bramleyrouter.gateway.exchanges import GatewayReply, ReplyKind
from bramleyrouter.ids import TenantName
from bramleyrouter.permits.client import OnPermit, PermitOutcome, PermitResult

Cancel = Callable[[], None]
# ``acquire_permit(customer, on_permit)`` returns the closure that cancels it.
AcquirePermit = Callable[[TenantName, OnPermit], Cancel]

# Seconds before the end of a permit at which an unsent request asks for another one. It
# must be answered by the last of several issuers.
RENEW_AHEAD_S = 0.1
# Retry-After in seconds if no issuer can be reached; entry daemons skip an issuer that
# did not answer for as long.
NO_ISSUER_RETRY_S = 1.0


@dataclass(eq=False)
class Permit:
    """Hold the permit of one request; ``expires_at`` is a loop time in seconds.

    ``is_used`` is set once an attempt was sent. Later attempts belong to the request
    and need no permit. ``is_delegated`` is set once a relay may have sent an attempt.
    """

    expires_at: float
    is_used: bool = False
    is_delegated: bool = False


@dataclass(eq=False)
class PermitRun:
    """Hold what a request waits for: its first permit, or the time to renew it.

    A request that has no permit at the loop time ``give_up_at`` is refused.
    """

    loop: asyncio.AbstractEventLoop
    acquire: AcquirePermit
    customer: TenantName
    give_up_at: float
    is_ended: bool = False
    cancel_waiting: Cancel = lambda: None


def has_expired(permit: Permit | None, now: float) -> bool:
    """Return whether a request may not be sent because its permit has expired."""
    return permit is not None and not permit.is_used and now >= permit.expires_at


def use_permit(permit: Permit | None, now: float) -> bool:
    """Return whether an attempt may be sent now; the permit then counts as used."""
    if has_expired(permit, now):
        return False
    if permit is not None:
        permit.is_used = True
    return True


def build_permit_refusal(customer: TenantName, result: PermitResult) -> GatewayReply:
    """Build the refusal of a request that got no permit."""
    if result.outcome is PermitOutcome.OVER_QUOTA:
        reason = f'customer "{customer}" is over its quota ({result.asked} answers)'
        kind, retry_after_s = ReplyKind.OVER_QUOTA, result.retry_after_s
    else:
        reason = f'no control daemon issues permits for customer "{customer}"'
        kind, retry_after_s = ReplyKind.REFUSED, NO_ISSUER_RETRY_S
    return GatewayReply(kind, reason, retry_after_s=retry_after_s)


def end_permit(run: PermitRun) -> None:
    """Acquire no further permit, because the request has ended."""
    run.is_ended = True
    run.cancel_waiting()


def start_with_permit(
    run: PermitRun,
    start: Callable[[Permit], Cancel],
    refuse: Callable[[GatewayReply], None],
) -> Cancel:
    """Start a request once it has a permit; return the closure that cancels it.

    ``start`` returns the closure that cancels the request. ``refuse`` is called at most
    once, only if nothing was sent and nothing will be. Call ``end_permit`` when the
    request has ended, also before it is cancelled.
    """
    cancel_request: Cancel = lambda: None

    def on_first(result: PermitResult) -> None:
        nonlocal cancel_request
        give_up.cancel()
        if result.outcome is not PermitOutcome.GRANTED:
            refuse(build_permit_refusal(run.customer, result))
            return
        permit = Permit(result.expires_at)
        cancel_request = start(permit)
        schedule_renewal(permit)

    def on_late() -> None:
        run.cancel_waiting()
        refuse(
            build_permit_refusal(run.customer, PermitResult(PermitOutcome.NO_ISSUER))
        )

    def schedule_renewal(permit: Permit) -> None:
        if not permit.is_used and not run.is_ended:
            at = permit.expires_at - RENEW_AHEAD_S
            run.cancel_waiting = run.loop.call_at(at, renew, permit).cancel

    def renew(permit: Permit) -> None:
        if not permit.is_used:
            _acquire(run, lambda result: on_renewed(permit, result))

    def on_renewed(permit: Permit, result: PermitResult) -> None:
        if permit.is_used or run.is_ended:
            return
        if result.outcome is PermitOutcome.GRANTED:
            permit.expires_at = max(permit.expires_at, result.expires_at)
            schedule_renewal(permit)
        elif not permit.is_delegated:
            cancel_request()
            refuse(build_permit_refusal(run.customer, result))

    def cancel() -> None:
        give_up.cancel()
        cancel_request()

    give_up = run.loop.call_at(run.give_up_at, on_late)
    _acquire(run, on_first)
    return cancel


def _acquire(run: PermitRun, on_permit: OnPermit) -> None:
    is_done = False

    def finish(result: PermitResult) -> None:
        nonlocal is_done
        is_done = True
        on_permit(result)

    cancel = run.acquire(run.customer, finish)
    # A permit that was held already is handed over before ``acquire`` returns.
    if not is_done:
        run.cancel_waiting = cancel
