"""Requests and replies of the gateway, and the interface that sends to servers.

The gateway receives a ``SendToServer`` closure, which sends one request to one server.
The platform's adapter builds it; tests pass a fake.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import ServiceName, TenantName

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, repr=False)
class Credentials:
    """Hold the digest of a request's API key, and the headers to forward without it.

    ``key_digest`` is empty if the request has no usable key. ``headers`` lack the key
    and what the caller itself says of its customer; they are forwarded if the route
    table has customers.
    """

    key_digest: bytes
    headers: Headers


class CallerRequest(NamedTuple):
    """Hold one request of a caller.

    ``target`` is the path with its query string, as sent. ``headers`` are those that
    are forwarded. ``deadline_s`` is how long the caller waits, in seconds from the
    arrival of the request, or none if the caller gave no deadline. ``customer`` is the
    name of the customer whose request it is, empty if there is none. ``credentials``
    are set until the customer was identified, if the caller sent any; they are never
    sent on.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    has_body: bool
    deadline_s: float | None
    customer: TenantName = TenantName("")
    credentials: Credentials | None = None

    def __repr__(self) -> str:
        """Return a text without headers and body, which may hold keys."""
        return (
            f"CallerRequest(request_id={self.request_id!r}, method={self.method!r}, "
            f"target={self.target!r}, customer={self.customer!r})"
        )

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


class ExchangeOutcome(Enum):
    """Enumerate how an exchange with a server can end.

    Only after ``REFUSED``, ``MISDIRECTED``, ``UNREACHED`` and ``UNSENT`` is it certain
    that the request did not run; with ``UNREACHED`` and ``UNSENT`` it did not even
    arrive. ``UNSENT`` means that no connection of this daemon was available, which says
    nothing about the server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNREACHED = "unreached"
    UNSENT = "unsent"
    LOST = "lost"
    TIMED_OUT = "timed_out"


NOT_ARRIVED = frozenset({ExchangeOutcome.UNREACHED, ExchangeOutcome.UNSENT})
NOT_RUN = NOT_ARRIVED | {ExchangeOutcome.REFUSED, ExchangeOutcome.MISDIRECTED}


class ServerReply(NamedTuple):
    """Hold the outcome of an exchange, and the server's response if there is one.

    ``signature`` identifies the server that replied and is empty if it sent none.
    ``cold_s`` is how long the server reports to stay cold, in seconds. ``is_leaving``
    is set if the server reports that it leaves, and ``retry_after_s`` is the time for
    which it asks this daemon for no further requests, in seconds.
    """

    outcome: ExchangeOutcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    signature: str = ""
    cold_s: float = 0.0
    text: str = ""
    is_leaving: bool = False
    retry_after_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Return whether the server sent a complete and signed 2xx response."""
        return (
            self.outcome is ExchangeOutcome.ANSWERED
            and 200 <= self.status < 300
            and bool(self.signature)
        )


OnReply = Callable[[ServerReply], None]
# Returns whether a request may still be sent.
MaySend = Callable[[], bool]
# ``send_to_server(server, request, timeout_s, max_connections, on_reply, may_send)``
# sends a
# request and returns the closure that cancels it. Cancelling closes the connection, so
# that the server stops working on the request. ``on_reply`` is called once unless
# cancelled, and never before the function returns. ``may_send`` is called when a
# connection is open, right before the request is written; if it returns false, the
# exchange ends as ``UNSENT``.
SendToServer = Callable[
    [ServerRow, CallerRequest, float, int, OnReply, MaySend | None],
    Callable[[], None],
]


class ReplyKind(Enum):
    """Enumerate the kinds of replies to callers."""

    SERVER = "server"
    GATHERED = "gathered"
    REFUSED = "refused"
    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    FAILED = "failed"
    DEADLINE = "deadline"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    OVER_QUOTA = "over_quota"


class GatewayReply(NamedTuple):
    """Hold the reply to a caller.

    ``REFUSED`` and ``OVER_QUOTA`` promise that nothing ran and nothing will;
    ``retry_after_s`` is then the time after which the caller should retry, in seconds.
    ``signatures``,
    ``included`` and ``missing`` describe which shards a gathered reply covers.
    ``reason`` is for the log.
    """

    kind: ReplyKind
    reason: str = ""
    server: ServerReply | None = None
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    included: tuple[ServiceName, ...] = ()
    missing: int = 0
    retry_after_s: float = 0.0
