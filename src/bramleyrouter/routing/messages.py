"""Typed requests of callers and their answers, independent of HTTP."""

import msgspec

from bramleyrouter.codes import Code
from bramleyrouter.ids import (
    ClassName,
    IndexVersion,
    RequestId,
    Revision,
    ServiceName,
    ShardName,
    TenantName,
)
from bramleyrouter.states import CoverageMode, Outcome


class ServiceTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name a service to query; ``shards`` is empty for all of its shards."""

    service: ServiceName
    shards: tuple[ShardName, ...] = ()


class Query(msgspec.Struct, frozen=True):
    """Hold one idempotent query. ``deadline`` is loop time in seconds.

    ``body`` is JSON text for the backend servers, forwarded unchanged.
    """

    request_id: RequestId
    tenant: TenantName
    class_name: ClassName
    deadline: float
    targets: tuple[ServiceTarget, ...]
    coverage: CoverageMode
    body: bytes


class ShardKey(msgspec.Struct, frozen=True, order=True):
    """Name one shard of one service."""

    service: ServiceName
    shard: ShardName


class MissingShard(msgspec.Struct, frozen=True):
    """Name a shard that an answer lacks, and the reason."""

    service: ServiceName
    shard: ShardName
    code: Code


class Answer(msgspec.Struct, frozen=True):
    """Hold the answer to a query; all results are of one ``version``."""

    request_id: RequestId
    version: IndexVersion
    revision: Revision
    included: tuple[ShardKey, ...]
    missing: tuple[MissingShard, ...]
    results: dict[ShardKey, bytes]


class Submission(msgspec.Struct, frozen=True):
    """Hold one non-idempotent request. ``deadline`` is loop time in seconds."""

    request_id: RequestId
    tenant: TenantName
    class_name: ClassName
    deadline: float
    service: ServiceName
    shard: ShardName
    body: bytes


class SubmissionAnswer(msgspec.Struct, frozen=True):
    """Hold the outcome of a submission as reported to the caller."""

    request_id: RequestId
    outcome: Outcome
    code: Code
    text: str = ""
    answer: bytes = b""
