"""Decide how many permits of a customer one control daemon may issue now.

Load pattern: customers that exceed their quota over many entry daemons, of which each
sees less than one request per second.

Each issuer has a part of the bound that never moves: the bound divided by the members
of the control log plus the tolerated losses. The latter are for members that were
removed while isolated and don't know it. A permit counts for the window plus its
lifetime, because it may be used at any time in its lifetime. The functions perform no
I/O; times are in seconds of one monotonic clock.
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
    none while it is not a member.
    """

    bounds: QuotaBounds
    lifetime_s: float = PERMIT_LIFETIME_S
    member_since: float | None = None
    accounts: dict[TenantName, _Account] = field(default_factory=dict)
    issued_count: int = 0
    refused_count: int = 0


def compute_span(issuer: Issuer) -> float:
    """Return for how many seconds an issued permit counts."""
    return issuer.bounds.window_s + issuer.lifetime_s


def compute_bound(bounds: QuotaBounds, quota: Quota) -> float:
    """Return the bound of a customer over all daemons in one window."""
    allowed = quota.rate_per_s * bounds.window_s + quota.burst
    return allowed * (1.0 + bounds.excess) + bounds.slack


def count_parts(members: int, tolerated_losses: int) -> int:
    """Return the number of parts of a bound for a log of this many members.

    A log keeps twice as many members as losses that it tolerates, and one. While it has
    fewer, parts don't grow: a member that is removed then may still use its part when
    the others have been replaced.
    """
    return max(members, 2 * tolerated_losses + 1) + tolerated_losses


def set_membership(issuer: Issuer, is_member: bool, now: float) -> None:
    """Record whether this control daemon is a member of the log."""
    if not is_member:
        issuer.member_since = None
    elif issuer.member_since is None:
        issuer.member_since = now


def compute_wait(issuer: Issuer, now: float) -> float | None:
    """Return the seconds until this issuer may issue, or none if it is no member.

    It is 0 if it may. What a previous run, or the member that this one replaces, has
    issued must have left the window first.
    """
    if issuer.member_since is None:
        return None
    return max(0.0, issuer.member_since + compute_span(issuer) - now)


def issue(
    issuer: Issuer,
    customer: TenantName,
    quota: Quota,
    parts: int,
    wanted: int,
    now: float,
) -> Issued:
    """Issue up to ``wanted`` permits of this issuer's part; there are ``parts``.

    The others get slots, each later than all slots that were given before.
    """
    if compute_wait(issuer, now) != 0.0:
        return Issued(0)
    account = issuer.accounts.setdefault(customer, _Account())
    span_s = compute_span(issuer)
    while account.issued_at and account.issued_at[0] + span_s <= now:
        account.issued_at.popleft()
    while account.slots and account.slots[0] <= now:
        account.slots.popleft()
    part = int(compute_bound(issuer.bounds, quota) / parts)
    granted = max(0, min(wanted, part - len(account.issued_at)))
    account.issued_at.extend([now] * granted)
    issuer.issued_count += granted
    issuer.refused_count += wanted - granted
    slots = tuple(
        _add_slot(account, part, span_s, now) - now for _ in range(wanted - granted)
    )
    at = _find_free_time(account, part, span_s, now, 0)
    return Issued(granted, slots, max(0.0, at - now))


def _find_free_time(
    account: _Account, part: int, span_s: float, now: float, later: int
) -> float:
    """Return the time at which one permit is free after ``later`` other ones."""
    position = len(account.issued_at) - part + later
    if position < 0:
        return now
    if position < len(account.issued_at):
        return account.issued_at[position] + span_s
    last = account.slots[-1] if account.slots else now
    return last + span_s / max(1, part)


def _add_slot(account: _Account, part: int, span_s: float, now: float) -> float:
    """Return the time of the first free permit that no slot was given for yet."""
    at = _find_free_time(account, part, span_s, now, len(account.slots))
    at = min(at, now + MAX_SLOT_AHEAD_S)
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
