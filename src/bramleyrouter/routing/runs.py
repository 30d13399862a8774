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
    """Hold the attempts sent to one home; finished attempts are removed."""

    home: DaemonId
    attempts: dict[AttemptId, Attempt]
    cancel: Callable[[], None] | None = None
    is_ended: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class Pass:
    """Hold one pass: an execution of the query on a single index version.

    ``reasons`` has the code of the last failure of a shard. A shard that is
    neither in ``open_shards`` nor in ``results`` was given up.
    """

    version: IndexVersion
    open_shards: dict[ShardKey, ShardProgress]
    results: dict[ShardKey, bytes] = field(default_factory=dict)
    reasons: dict[ShardKey, Code] = field(default_factory=dict)
    batches: list[Batch] = field(default_factory=list)
    hedge_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class QueryRun:
    """Hold a running query.

    Only replies to ``current_pass`` are used. ``best_pass`` is the pass with the
    most results so far, since a restart may return fewer. ``servers`` has the
    servers used, in order of their first attempt. ``has_drops`` is true when an
    attempt was shed or timed out.
    """

    query: Query
    requested: list[RequestedShards]
    keys: list[ShardKey]
    answer_deadline: float
    done: asyncio.Future
    current_pass: Pass
    best_pass: Pass | None = None
    tried_versions: set[IndexVersion] = field(default_factory=set)
    retries_left: float = 0.0
    hedges: int = 0
    retries: int = 0
    servers: dict[str, None] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    has_drops: bool = False
