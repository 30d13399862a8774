"""Identify customers by their API keys, and order requests by customer.

The load pattern is that of many customers who share the servers: requests with keys
that were withdrawn or guessed must cost next to nothing, and urgent customers must not
wait behind the others.
"""

import hashlib
from enum import Enum
from typing import NamedTuple

from bramleyrouter.gateway.exchanges import CallerRequest
from bramleyrouter.gateway.tables import Customer, Route, RouteIndex

# Orders requests: the customer's priority first, then the route's; 0 goes first.
Priority = tuple[int, int]
# Requests without a customer are ordered as those of the most urgent customers, so that
# the routes' priorities alone decide where no customer has one.
DEFAULT_PRIORITY = 0


class IdentityResult(Enum):
    """Enumerate the results of an identification; the last two refuse a request."""

    # The table has no customers, so that keys have no meaning.
    UNCHECKED = "unchecked"
    IDENTIFIED = "identified"
    # A request of a public route without a known key.
    ANONYMOUS = "anonymous"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"


class Identification(NamedTuple):
    """Hold the result of an identification and the request to forward.

    The request has no credentials any more. ``customer`` is none unless the request was
    identified.
    """

    result: IdentityResult
    request: CallerRequest
    customer: Customer | None = None

    @property
    def is_refused(self) -> bool:
        """Return whether the request must not be forwarded."""
        return self.result in (IdentityResult.NO_KEY, IdentityResult.UNKNOWN_KEY)


def compute_key_digest(key: bytes) -> bytes:
    """Return the SHA-256 digest of an API key; it is empty for an empty key."""
    return hashlib.sha256(key).digest() if key else b""


def identify_customer(
    index: RouteIndex, route: Route, request: CallerRequest
) -> Identification:
    """Identify the customer of a request and remove its credentials.

    Keys are found by their digests. The time of a lookup says nothing about a key, as
    nobody can choose keys whose digests are alike.
    """
    credentials = request.credentials
    request = request._replace(credentials=None)
    if not index.table.customers:
        return Identification(IdentityResult.UNCHECKED, request)
    customer = None
    if credentials is not None:
        request = request._replace(headers=credentials.headers)
        customer = index.customers_by_digest.get(credentials.key_digest)
    if customer is not None:
        request = request._replace(customer=customer.name)
        return Identification(IdentityResult.IDENTIFIED, request, customer)
    if route.is_public:
        return Identification(IdentityResult.ANONYMOUS, request)
    has_key = credentials is not None and credentials.key_digest
    result = IdentityResult.UNKNOWN_KEY if has_key else IdentityResult.NO_KEY
    return Identification(result, request)


def compute_priority(route: Route, customer: Customer | None) -> Priority:
    """Return the key that orders requests; the lowest one goes first."""
    first = DEFAULT_PRIORITY if customer is None else customer.priority
    return first, route.priority
