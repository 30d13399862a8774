"""State of a running query."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.codes import Code
from bramleyrouter.ids import AttemptId, DaemonId, IndexVersion
from bramleyrouter.routing.messages import Query, ShardKey
from bramleyrouter.routing.plans import Attempt, ShardProgress
from bramleyrouter.routing.version_choice import RequestedShards


@dataclass(slots=True, eq=False)
class Batch:
    """Hold what one home was asked; ``attempts`` are those not ended."""

    home: DaemonId
    attempts: dict[AttemptId, Attempt]
    cancel: Callable[[], None] | None = None
    is_ended: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class Pass:
    """Hold one pass over the query, pinned to one version."""

    version: IndexVersion
    open_shards: dict[ShardKey, ShardProgress]
    results: dict[ShardKey, bytes] = field(default_factory=dict)
    reasons: dict[ShardKey, Code] = field(default_factory=dict)
    batches: list[Batch] = field(default_factory=list)
    hedge_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class QueryRun:
    """Hold a running query. ``current`` is the pass that replies count for.

    ``best`` is an earlier pass whose results stand if a restart gets less.
    """

    query: Query
    requested: list[RequestedShards]
    keys: list[ShardKey]
    answer_deadline: float
    done: asyncio.Future
    current: Pass
    best: Pass | None = None
    tried_versions: set[IndexVersion] = field(default_factory=set)
    retries_left: float = 0.0
    hedges: int = 0
    retries: int = 0
    servers: dict[str, None] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    has_drops: bool = False
