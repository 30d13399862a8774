"""Hold the permits of one entry daemon and choose which issuer to ask for more.

Load pattern: customers whose requests are spread over many entry daemons, from less
than one request per second and daemon to hundreds, while control daemons freeze, end
or are cut off. The functions perform no I/O; times are in seconds of one monotonic
clock.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.ids import DataCentre, TenantName

# Permits that expire sooner than this, in seconds, are not used: the request must still
# choose its servers and send its first attempt.
MIN_LEFT_S = 0.02
# Time for which an issuer is skipped that did not answer in time, in seconds.
SKIP_S = 1.0
# Time over which the rate of requests is averaged, in seconds.
RATE_WINDOW_S = 2.0
# A customer with fewer requests per lifetime than this has no pool: with small numbers,
# a good part of the pooled permits would expire and count against the customer.
MIN_POOLED_REQUESTS = 4.0
# Share of the requests expected in a lifetime that is held in the pool.
POOL_SHARE = 0.5


class IssuerLocation(NamedTuple):
    """Hold an issuer's address and its data centre, if that is known."""

    address: str
    data_centre: DataCentre | None


@dataclass
class _CustomerStock:
    # Times at which the permits expire, in ascending order.
    permits: deque[float] = field(default_factory=deque)
    rate_per_s: float = 0.0
    rate_at: float = 0.0
    # Time until which each issuer has no permit left.
    empty_until: dict[str, float] = field(default_factory=dict)


@dataclass
class Stock:
    """Hold the permits of all customers at one entry daemon."""

    lifetime_s: float
    customers: dict[TenantName, _CustomerStock] = field(default_factory=dict)
    # Time until which an issuer is skipped because it did not answer.
    skipped_until: dict[str, float] = field(default_factory=dict)


def _get(stock: Stock, customer: TenantName) -> _CustomerStock:
    return stock.customers.setdefault(customer, _CustomerStock())


def keep_customers(stock: Stock, names: Collection[TenantName]) -> None:
    """Remove all other customers' permits, and which issuers had none left.

    Limits may have been raised.
    """
    for name in set(stock.customers) - set(names):
        del stock.customers[name]
    for item in stock.customers.values():
        item.empty_until.clear()


def count_request(stock: Stock, customer: TenantName, now: float) -> None:
    """Count a request for the customer's recent rate."""
    item = _get(stock, customer)
    elapsed_s = now - item.rate_at
    item.rate_per_s *= max(0.0, 1.0 - elapsed_s / RATE_WINDOW_S)
    item.rate_per_s += 1.0 / RATE_WINDOW_S
    item.rate_at = now


def compute_missing(stock: Stock, customer: TenantName, now: float) -> int:
    """Return how many permits the customer's pool should get; 0 without a pool."""
    item = _get(stock, customer)
    expected = item.rate_per_s * stock.lifetime_s
    if expected < MIN_POOLED_REQUESTS:
        return 0
    _drop_expired(item, now)
    target = int(POOL_SHARE * expected)
    # Refilled in batches: at half of the target, and not after each request.
    return target - len(item.permits) if 2 * len(item.permits) <= target else 0


def add_permits(stock: Stock, customer: TenantName, expires_at: float, n: int) -> None:
    """Add permits that expire together."""
    item = _get(stock, customer)
    item.permits = deque(sorted([*item.permits, *[expires_at] * n]))


def take_permit(stock: Stock, customer: TenantName, now: float) -> float | None:
    """Take the permit that expires first; return when it does, or none."""
    item = _get(stock, customer)
    _drop_expired(item, now)
    return item.permits.popleft() if item.permits else None


def _drop_expired(item: _CustomerStock, now: float) -> None:
    while item.permits and item.permits[0] < now + MIN_LEFT_S:
        item.permits.popleft()


def record_silent(stock: Stock, address: str, until: float) -> None:
    """Record that an issuer did not answer in time, or may not issue yet."""
    stock.skipped_until[address] = until


def record_answer(
    stock: Stock, customer: TenantName, address: str, empty_until: float | None
) -> None:
    """Record an answer, and until when the issuer has none left if it has none."""
    stock.skipped_until.pop(address, None)
    known = _get(stock, customer).empty_until
    if empty_until is None:
        known.pop(address, None)
    else:
        known[address] = empty_until


def rank_issuers(
    stock: Stock,
    customer: TenantName,
    issuers: Collection[IssuerLocation],
    own: DataCentre,
    now: float,
) -> list[str]:
    """Return the issuers to ask, those of the own data centre first.

    ``issuers`` are in the order in which equal ones are asked. Of those that are known
    to have none left, only the one that will have permits first is returned, as the
    last one: a refused request needs one message, for its slot. If each one is skipped,
    all are returned.
    """
    answering = [
        item for item in issuers if stock.skipped_until.get(item.address, now) <= now
    ]
    known = _get(stock, customer).empty_until
    usable = [item for item in answering if known.get(item.address, now) <= now]
    empty = [item.address for item in answering if item not in usable]
    ranked = sorted(
        usable if answering else issuers, key=lambda item: item.data_centre != own
    )
    last = [min(empty, key=lambda address: known[address])] if empty else []
    return [item.address for item in ranked] + last
