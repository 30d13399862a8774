"""Define the interface through which homes send requests to backend servers.

A home is the one daemon through which a server is reached. ``curl_transport`` builds a
``ServerTransport`` on pycurl; tests use a fake that runs on virtual time.
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
    """Identify one backend server and limit the connections to it."""

    server_id: ServerId
    incarnation: ServerIncarnation
    registration: Registration
    address: str
    max_connections: int


class QueryCall(NamedTuple):
    """Describe a query for some shards of a server; ``query`` is JSON text."""

    request_id: RequestId
    attempt: AttemptId
    version: IndexVersion
    service: ServiceName
    shards: tuple[ShardName, ...]
    query: bytes


class QueryResult(NamedTuple):
    """Describe the result of a query.

    ``code`` is ``OK``, from 200 to 299 (did not run) or from 400 to 499 (the reason why
    the shards are missing; the query may have run). ``is_leaving`` is set if the server
    says that it leaves, and ``retry_after_s`` is the time for which it wants no further
    requests, in seconds.
    """

    code: Code
    text: str = ""
    results: dict[ShardName, bytes] = {}
    is_leaving: bool = False
    retry_after_s: float = 0.0


class SubmitCall(NamedTuple):
    """Describe a non-idempotent operation that a server is to run once.

    ``operation`` is JSON text.
    """

    request_id: RequestId
    service: ServiceName
    shard: ShardName
    operation: bytes


class SubmitResult(NamedTuple):
    """Describe the result of a submission.

    ``outcome`` is ``NOT_RUN`` only if that is certain. ``is_leaving`` and
    ``retry_after_s`` are as in ``QueryResult``.
    """

    outcome: Outcome
    code: Code
    text: str = ""
    answer: bytes = b""
    is_leaving: bool = False
    retry_after_s: float = 0.0


class ProbeResult(NamedTuple):
    """Describe the state that a server reports, which may be inaccurate.

    ``is_healthy`` is also false if the probe failed. ``queued`` is the number of
    requests that wait at the server.
    """

    is_healthy: bool
    queued: int = 0


class ServerTransport(NamedTuple):
    """Bundle the operations on backend servers.

    ``query(target, call, timeout_s, on_end)`` and ``submit`` of the same form
    call ``on_end`` exactly once, never before they return, and no later than
    ``timeout_s`` seconds after the call; by then the exchange holds no
    connection. The deadline sent to the server is slightly earlier.
    ``cancel(target, request_id, attempt)`` requests the server to stop; the query
    still calls its own ``on_end``. ``probe(target, timeout_s, on_end)``
    reads the health and load endpoints. ``close_connections(server_id)`` closes all
    connections of a server, so that its running requests fail.
    ``count_connections(server_id)`` counts them.
    """

    query: Callable[[Target, QueryCall, float, Callable[[QueryResult], None]], None]
    submit: Callable[[Target, SubmitCall, float, Callable[[SubmitResult], None]], None]
    cancel: Callable[[Target, RequestId, AttemptId], None]
    probe: Callable[[Target, float, Callable[[ProbeResult], None]], None]
    close_connections: Callable[[ServerId], None]
    count_connections: Callable[[ServerId], int]
    close: Callable[[], None]
