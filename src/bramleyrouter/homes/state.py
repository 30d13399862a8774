"""Define the state of a home: its servers, their queues and running work."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.board import Board
from bramleyrouter.board.sections import ServerRecord
from bramleyrouter.edges.servers.transport import (
    QueryCall,
    QueryResult,
    ServerTransport,
    SubmitCall,
    SubmitResult,
    Target,
)
from bramleyrouter.homes.holddowns import HoldDown
from bramleyrouter.homes.limits import INITIAL_SERVICE_S
from bramleyrouter.homes.queues import FairQueue
from bramleyrouter.homes.ramps import Ramp
from bramleyrouter.homes.registrations import RegisteredServer
from bramleyrouter.ids import AttemptId, ClassName, ServerId
from bramleyrouter.wire.network import Network

PublishRows = Callable[[list[ServerRecord], list[ServerId]], None]
WorkResult = QueryResult | SubmitResult


@dataclass(eq=False)
class Work:
    """Hold one request to one server; times are loop times in seconds.

    ``admitted_at`` is the time at which the request was queued or started at once.
    ``on_end`` is called once with the result, and not at all after a cancellation.
    ``has_stale_remote_sender`` is true if the sender is in another data centre and its
    configuration is stale.
    """

    call: QueryCall | SubmitCall
    attempt: AttemptId
    class_name: ClassName
    has_stale_remote_sender: bool
    deadline: float
    admitted_at: float
    on_end: "Callable[[Work, WorkResult], None] | None"
    started_at: float | None = None
    ended_at: float | None = None
    # Time at which the server stops executing the request. The server counts from the
    # arrival of the request, so it may stop up to ``MAX_TRANSIT_S`` later.
    attempt_deadline: float = 0.0
    expiry_timer: asyncio.TimerHandle | None = None


@dataclass(eq=False)
class ServerEntry:
    """Hold one server whose home is this daemon.

    ``slots`` and ``connection_limit`` are the lowest values that the server
    declared in this registration. Nothing is dispatched before ``retry_at``, which
    is set after a failed connection, and while ``is_handing_over`` is true. The server
    itself may say that it leaves, or that it wants nothing before ``wants_none_until``.
    ``has_pending_handover`` is set while a renewal waits for the end of a handover.
    ``mean_service_s`` is a moving average in seconds.
    """

    registered: RegisteredServer
    target: Target
    slots: int
    connection_limit: int
    ramp: Ramp
    hold_down: HoldDown
    queue: FairQueue[Work]
    running: set[Work] = field(default_factory=set)
    mean_service_s: float = INITIAL_SERVICE_S
    is_probing: bool = False
    next_probe_at: float = 0.0
    retry_at: float = float("-inf")
    backoff_s: float = 0.0
    is_handing_over: bool = False
    has_pending_handover: bool = False
    is_leaving: bool = False
    wants_none_until: float = float("-inf")
    was_taken_out: bool = False
    published_row: ServerRecord | None = None


@dataclass
class RemovedServer:
    """Hold what is retained of a removed server until ``expires_at``."""

    version_key: tuple[int, int, int]
    hold_down: HoldDown
    expires_at: float
    is_withdrawn: bool = False

    def is_withdrawn_for(self, incarnation: int) -> bool:
        """Return whether the server withdrew in this incarnation or a later one."""
        return self.is_withdrawn and incarnation <= self.version_key[0]


@dataclass
class HomesState:
    """Hold the state that the modules of this package share.

    ``is_leaving`` is set at a planned stop, when servers are being handed over.
    """

    board: Board
    network: Network
    transport: ServerTransport
    publish_rows: PublishRows
    rng: random.Random
    clock: Callable[[], float]
    get_weight: Callable[[ClassName], int]
    entries: dict[ServerId, ServerEntry] = field(default_factory=dict)
    removed_servers: dict[ServerId, RemovedServer] = field(default_factory=dict)
    changed_ids: set[ServerId] = field(default_factory=set)
    # Number of finished requests by result code.
    ended_by_code: dict[int, int] = field(default_factory=dict)
    # Recent delay of the event loop, in seconds.
    loop_lag_s: float = 0.0
    is_leaving: bool = False
    is_closed: bool = False
