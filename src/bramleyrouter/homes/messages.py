"""Typed messages between entry daemons and homes, and announcements."""

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
    """Name the shards of one service that one server is to answer at once."""

    server_id: ServerId
    attempt: AttemptId
    service: ServiceName
    shards: tuple[ShardName, ...]


class ShardBatch(msgspec.Struct, frozen=True):
    """Ask a home to send the groups of one query to its servers.

    ``remaining_s`` is the time left to the deadline when it was sent. ``query``
    is the caller's query as JSON text, never decoded on the way. ``is_stale``
    says that the sender's configuration is not confirmed.
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
    """Answer one group.

    ``code`` is ``OK``, a 2xx code (the server did not run it) or a 4xx code.
    ``results`` maps each shard to the server's JSON text. ``queue_s`` and
    ``service_s`` are seconds at the home; ``in_flight`` and ``headroom`` are
    the home's state, a hint for the next choice of a replica.
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
    """Ask a home to send one non-idempotent request to one server, once."""

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
    """Answer a ``SubmitRequest``; ``NOT_RUN`` only when that is certain."""

    outcome: Outcome
    code: Code
    text: str = ""
    answer: bytes = b""


class LeaseToken(msgspec.Struct, frozen=True):
    """Prove that a server renewed after ``stamp_s`` of the home's clock."""

    home: DaemonId
    home_incarnation: DaemonIncarnation
    registration: Registration
    stamp_s: float


class Announcement(msgspec.Struct, frozen=True):
    """Announce or renew a backend server.

    ``sequence`` grows with each announcement of one incarnation. ``lease`` is
    the token of the last reply, or none for a new registration.
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
    """Tell a server its home and the token to echo at its next renewal."""

    lease: LeaseToken
    home_http_address: str
    renew_after_s: float
