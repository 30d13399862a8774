"""Requests and replies as the gateway sees them, and the way to servers.

The gateway gets a ``SendToServer``, a closure that sends one request to one
server. The platform's adapter builds the real one; tests pass a fake.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import ServiceName

Headers = tuple[tuple[str, str], ...]


class CallerRequest(NamedTuple):
    """Hold one request of a caller.

    ``target`` is the path with its query, as sent. ``headers`` are those that
    are passed on. ``deadline_s`` is how long the caller waits, in seconds from
    the arrival, or none if it did not say.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    has_body: bool
    deadline_s: float | None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class ExchangeOutcome(Enum):
    """Say how an exchange with a server ended.

    Only ``REFUSED``, ``MISDIRECTED``, ``UNREACHED`` and ``UNSENT`` are certain
    not to have run; ``UNREACHED`` and ``UNSENT`` did not even arrive. ``UNSENT``
    got no connection of the daemon's own, which says nothing of the server.
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
    """Hold the end of an exchange, and the reply where there is one.

    ``signature`` is the server's mark on its reply, empty if it set none.
    ``cold_s`` is how long the server says that it stays cold.
    """

    outcome: ExchangeOutcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    signature: str = ""
    cold_s: float = 0.0
    text: str = ""

    @property
    def is_success(self) -> bool:
        """Return whether the server answered with a whole 2xx reply."""
        return (
            self.outcome is ExchangeOutcome.ANSWERED
            and 200 <= self.status < 300
            and bool(self.signature)
        )


OnReply = Callable[[ServerReply], None]
# ``transport(server, request, timeout_s, max_connections, on_reply)`` sends a
# request, calls ``on_reply`` once unless cancelled, never before it returns,
# and returns the closure that cancels: the connection is closed, so that the
# server stops working on the request.
SendToServer = Callable[
    [ServerRow, CallerRequest, float, int, OnReply], Callable[[], None]
]


class ReplyKind(Enum):
    """Say what kind of reply a caller gets."""

    SERVER = "server"
    GATHERED = "gathered"
    REFUSED = "refused"
    NO_ROUTE = "no_route"
    FAILED = "failed"
    DEADLINE = "deadline"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"


class GatewayReply(NamedTuple):
    """Hold a caller's reply.

    ``REFUSED`` promises that nothing ran and nothing will; ``retry_after_s``
    is then when to come back. ``signatures``, ``included`` and ``missing`` tell
    which shards a gathered reply covers. ``reason`` is for the log.
    """

    kind: ReplyKind
    reason: str = ""
    server: ServerReply | None = None
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    included: tuple[ServiceName, ...] = ()
    missing: int = 0
    retry_after_s: float = 0.0
