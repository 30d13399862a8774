"""Define the messages between entry daemons and homes, and announcements."""

import msgspec

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.ids import (
    AttemptId,
    ClassName,
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    IndexVersion,
    Registration,
    RequestId,
    Revision,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
    TenantName,
)
from bramleyrouter.states import Outcome, ServerState


class ServerGroup(msgspec.Struct, frozen=True):
    """List the shards of one service that are requested from one server together."""

    server_id: ServerId
    attempt: AttemptId
    service: ServiceName
    shards: tuple[ShardName, ...]


class ShardBatch(msgspec.Struct, frozen=True):
    """Request that a home sends the groups of one query to its servers.

    ``remaining_s`` is the time from sending to the deadline, in seconds. ``query``
    is the caller's query as JSON text, which daemons pass on without decoding it.
    ``is_stale`` is true if the sender's configuration is stale.
    """

    request_id: RequestId
    tenant: TenantName
    class_name: ClassName
    version: IndexVersion
    revision: Revision
    remaining_s: float
    is_stale: bool
    groups: tuple[ServerGroup, ...]
    query: bytes


class GroupReply(msgspec.Struct, frozen=True):
    """Reply to one group.

    ``code`` is ``OK``, a code from 200 (the server did not run the group) or a code
    from 400 (why the shards are missing; the server may have run the group).
    ``results`` maps each shard to the server's JSON text. ``queue_s`` and
    ``service_s`` are the times, in seconds, that the request was queued and running
    at the home. ``in_flight`` and ``headroom`` describe the server's load and help
    to choose the next replica.
    """

    server_id: ServerId
    attempt: AttemptId
    version: IndexVersion
    code: Code
    text: str = ""
    results: dict[ShardName, bytes] = {}
    queue_s: float = 0.0
    service_s: float = 0.0
    in_flight: int = 0
    headroom: float = 1.0


class SubmitRequest(msgspec.Struct, frozen=True):
    """Request that a home sends one non-idempotent request to a server, once."""

    request_id: RequestId
    tenant: TenantName
    class_name: ClassName
    revision: Revision
    remaining_s: float
    is_stale: bool
    server_id: ServerId
    service: ServiceName
    shard: ShardName
    operation: bytes


class SubmitReply(msgspec.Struct, frozen=True):
    """Reply to a ``SubmitRequest``.

    ``outcome`` is ``NOT_RUN`` only if the request certainly did not run.
    """

    outcome: Outcome
    code: Code
    text: str = ""
    answer: bytes = b""


class LeaseToken(msgspec.Struct, frozen=True):
    """Identify a lease; the server echoes the token when it renews.

    ``stamp_s`` is the time of the home's clock, in seconds, at which the token was
    issued. The echo proves that the server renewed after that time.
    """

    home: DaemonId
    home_incarnation: DaemonIncarnation
    registration: Registration
    stamp_s: float


class Announcement(msgspec.Struct, frozen=True):
    """Announce a backend server to its home, or renew its lease.

    ``sequence`` grows with each announcement of one incarnation. ``lease`` is
    the token of the last reply, or None for a new registration.
    """

    server_id: ServerId
    incarnation: ServerIncarnation
    registration: Registration
    sequence: int
    data_centre: DataCentre
    address: str
    state: ServerState
    slots: int
    connection_limit: int
    holdings: tuple[ServiceHolding, ...]
    lease: LeaseToken | None = None


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Give a server its home and the token to echo at its next renewal."""

    lease: LeaseToken
    home_http_address: str
    renew_after_s: float
