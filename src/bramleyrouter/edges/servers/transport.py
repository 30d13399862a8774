"""The way to backend servers as the homes see it.

The homes get a ``ServerTransport``, a bundle of closures. ``client`` builds
the real one on pycurl; tests pass a fake one that runs on virtual time.
"""

from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.codes import Code
from bramleyrouter.ids import (
    AttemptId,
    IndexVersion,
    Registration,
    RequestId,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
)
from bramleyrouter.states import Outcome


class Target(NamedTuple):
    """Name one backend server and bound the connections to it."""

    server_id: ServerId
    incarnation: ServerIncarnation
    registration: Registration
    address: str
    max_connections: int


class QueryCall(NamedTuple):
    """Ask a server for some shards; ``query`` is JSON text."""

    request_id: RequestId
    attempt: AttemptId
    version: IndexVersion
    service: ServiceName
    shards: tuple[ShardName, ...]
    query: bytes


class QueryResult(NamedTuple):
    """Tell how a query ended: ``OK``, a 2xx code (not run) or a 4xx code."""

    code: Code
    text: str = ""
    results: dict[ShardName, bytes] = {}


class SubmitCall(NamedTuple):
    """Ask a server to run a non-idempotent operation, JSON text, once."""

    request_id: RequestId
    service: ServiceName
    shard: ShardName
    operation: bytes


class SubmitResult(NamedTuple):
    """Tell how a submission ended; ``NOT_RUN`` only when that is certain."""

    outcome: Outcome
    code: Code
    text: str = ""
    answer: bytes = b""


class ProbeResult(NamedTuple):
    """Tell what a server says of itself; hints that may mislead.

    ``is_healthy`` is false for an error too. ``queued`` is the number of
    requests that wait at the server.
    """

    is_healthy: bool
    queued: int = 0


class ServerTransport(NamedTuple):
    """Bundle the ways to reach backend servers.

    ``query(target, call, timeout_s, on_end)`` and ``submit`` of the same form
    call ``on_end`` exactly once, never before they return, and no later than
    ``timeout_s`` seconds after the call; by then the exchange holds no
    connection. The server is told a deadline a little before that.
    ``cancel(target, request_id, attempt)`` asks the server to stop; the query
    still ends through its own ``on_end``. ``probe(target, timeout_s, on_end)``
    reads the health and load endpoints. ``drop(server_id)`` closes all
    connections of a server and ends what runs there.
    ``open_connections(server_id)`` counts them.
    """

    query: Callable[[Target, QueryCall, float, Callable[[QueryResult], None]], None]
    submit: Callable[[Target, SubmitCall, float, Callable[[SubmitResult], None]], None]
    cancel: Callable[[Target, RequestId, AttemptId], None]
    probe: Callable[[Target, float, Callable[[ProbeResult], None]], None]
    drop: Callable[[ServerId], None]
    open_connections: Callable[[ServerId], int]
    close: Callable[[], None]
