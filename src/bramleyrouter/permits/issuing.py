"""Decide how many permits of a customer one control daemon may issue now.

Load pattern: customers that exceed their quota over many entry daemons, of which each
sees less than one request per second.

Each issuer has a part of the bound that never moves: the bound divided by the members
of the control log plus the tolerated losses. The latter are for members that were
removed while isolated and don't know it. A permit counts for the window plus its
lifetime, because it may be used at any time in its lifetime. While no member was ever
removed, the parts for removed ones serve members that have just started (see
``start_reserves``). The functions perform no I/O; times are in seconds of one monotonic
clock.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.ids import TenantName

# Time for which a permit is valid, in seconds from the moment at which the entry
# daemon sent its request for it. Must be the same in all daemons.
PERMIT_LIFETIME_S = 0.3
# Smallest distance in seconds between the slots of two refused requests. Retry-After is
# written in milliseconds.
MIN_SLOT_GAP_S = 0.002
# Slots later than this many seconds from now follow each other at the smallest
# distance, so that the record stays bounded while a customer is far above its quota.
MAX_SLOT_AHEAD_S = 10.0


class QuotaBounds(NamedTuple):
    """Hold the bound on requests of a customer in any window of ``window_s`` seconds.

    It is (rate times window plus burst) times (1 plus ``excess``), plus ``slack``.
    """

    window_s: float
    excess: float
    slack: float


class Quota(NamedTuple):
    """Hold the requests per second and the burst of a customer, both over all."""

    rate_per_s: float
    burst: float


class Issued(NamedTuple):
    """Hold the number of permits issued, and a slot for each one that was refused.

    A slot is the time in seconds from now at which a permit is expected to be free for
    this request. ``free_in_s`` is the time until any permit is free.
    """

    granted: int
    slots: tuple[float, ...] = ()
    free_in_s: float = 0.0


@dataclass
class _Account:
    """Hold the times at which permits of one customer were issued, and its slots."""

    issued_at: deque[float] = field(default_factory=deque)
    slots: deque[float] = field(default_factory=deque)


@dataclass
class Issuer:
    """Hold what one control daemon has issued since its start.

    ``member_since`` is the time at which this run first found that it is a member, or
    none while it is not a member. ``reserve_members`` are the members among which the
    start reserve is divided, none if this run has no reserve.
    """

    bounds: QuotaBounds
    lifetime_s: float = PERMIT_LIFETIME_S
    member_since: float | None = None
    accounts: dict[TenantName, _Account] = field(default_factory=dict)
    issued_count: int = 0
    refused_count: int = 0
    reserve_members: frozenset[str] = frozenset()


def compute_span(issuer: Issuer) -> float:
    """Return for how many seconds an issued permit counts."""
    return issuer.bounds.window_s + issuer.lifetime_s


def compute_bound(bounds: QuotaBounds, quota: Quota) -> float:
    """Return the bound of a customer over all daemons in one window."""
    allowed = quota.rate_per_s * bounds.window_s + quota.burst
    return allowed * (1.0 + bounds.excess) + bounds.slack


class Division(NamedTuple):
    """Hold the number of parts of a bound, and each member's share of the spare ones.

    ``spare_share`` is a share of one part.
    """

    parts: int
    spare_share: float


def divide(members: int, tolerated_losses: int) -> Division:
    """Return how a bound is divided for a log of this many members.

    A log keeps twice as many members as losses that it tolerates, and one. While it has
    fewer, parts don't grow: a member that is removed then may still use its part when
    the others have been replaced. For example, 5 members that tolerate 2 losses have 7
    parts, and each a share of 0.4 in the two spare ones.
    """
    issuers = max(members, 2 * tolerated_losses + 1)
    return Division(issuers + tolerated_losses, tolerated_losses / issuers)


def set_membership(issuer: Issuer, is_member: bool, now: float) -> None:
    """Record whether this control daemon is a member of the log."""
    if not is_member:
        issuer.member_since = None
    elif issuer.member_since is None:
        issuer.member_since = now


def compute_wait(issuer: Issuer, now: float) -> float | None:
    """Return the seconds until this issuer may issue its part.

    It is 0 if it may, and none if it is no member. What a previous run, or the member
    that this one replaces, has issued must have left the window first.
    """
    if issuer.member_since is None:
        return None
    return max(0.0, issuer.member_since + compute_span(issuer) - now)


def may_issue(issuer: Issuer, members: frozenset[str], now: float) -> bool:
    """Return whether this issuer may issue now, if only its start reserve."""
    wait_s = compute_wait(issuer, now)
    if wait_s is None or wait_s == 0.0:
        return wait_s is not None
    return bool(issuer.reserve_members) and issuer.reserve_members <= members


def compute_limit(issuer: Issuer, part: float, spare: float, now: float) -> int:
    """Return how many permits of a part may count at the same time.

    ``spare`` is this member's share of the parts for removed members. A run issues it
    in the window after its start, and its part afterwards. In any window, it and the
    run before it then issue a part and a spare share at most.
    """
    return int(part if compute_wait(issuer, now) == 0.0 else spare)


def issue(
    issuer: Issuer,
    customer: TenantName,
    quota: Quota,
    division: Division,
    wanted: int,
    now: float,
) -> Issued:
    """Issue up to ``wanted`` permits of this issuer's part.

    The others get slots, each later than all slots that were given before. The caller
    has checked ``may_issue``.
    """
    account = issuer.accounts.setdefault(customer, _Account())
    span_s = compute_span(issuer)
    while account.issued_at and account.issued_at[0] + span_s <= now:
        account.issued_at.popleft()
    while account.slots and account.slots[0] <= now:
        account.slots.popleft()
    part = compute_bound(issuer.bounds, quota) / division.parts
    limit = compute_limit(issuer, part, part * division.spare_share, now)
    granted = max(0, min(wanted, limit - len(account.issued_at)))
    account.issued_at.extend([now] * granted)
    issuer.issued_count += granted
    issuer.refused_count += wanted - granted
    # At the end of the wait after a start, more permits are free.
    latest_s = compute_wait(issuer, now) or MAX_SLOT_AHEAD_S
    slots = tuple(
        _add_slot(account, limit, span_s, now, latest_s) - now
        for _ in range(wanted - granted)
    )
    at = min(_find_free_time(account, limit, span_s, now, 0), now + latest_s)
    return Issued(granted, slots, max(0.0, at - now))


def _find_free_time(
    account: _Account, limit: int, span_s: float, now: float, later: int
) -> float:
    """Return the time at which one permit is free after ``later`` other ones."""
    position = len(account.issued_at) - limit + later
    if position < 0:
        return now
    if position < len(account.issued_at):
        return account.issued_at[position] + span_s
    last = account.slots[-1] if account.slots else now
    return last + span_s / max(1, limit)


def _add_slot(
    account: _Account, limit: int, span_s: float, now: float, latest_s: float
) -> float:
    """Return the time of the first free permit that no slot was given for yet."""
    at = _find_free_time(account, limit, span_s, now, len(account.slots))
    at = min(at, now + latest_s)
    at = max(at, now + MIN_SLOT_GAP_S)
    if account.slots:
        at = max(at, account.slots[-1] + MIN_SLOT_GAP_S)
    account.slots.append(at)
    return at


def forget_customers(issuer: Issuer, now: float) -> None:
    """Remove the accounts whose permits and slots have all passed."""
    span_s = compute_span(issuer)
    for name, account in list(issuer.accounts.items()):
        last = max(
            account.issued_at[-1] + span_s if account.issued_at else now,
            account.slots[-1] if account.slots else now,
        )
        if last <= now:
            del issuer.accounts[name]
