"""The state of one query over many shards while it runs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.gateway.attempts import Attempt
from bramleyrouter.gateway.exchanges import CallerRequest, ServerReply
from bramleyrouter.gateway.gateways import Cancel, Gateway, OnGatewayReply
from bramleyrouter.gateway.gather_deadlines import GatherProgress
from bramleyrouter.gateway.tables import Route
from bramleyrouter.ids import DataCentre, ServerId, ServiceName


@dataclass(eq=False)
class ShardRun:
    """Hold the state of one shard of a gather.

    ``ran`` counts the sends that may have run, ``sends`` all of them. Once a
    send has reached a server, every later one is an extra.
    """

    service: ServiceName
    tried: set[ServerId] = field(default_factory=set)
    pending: list[Attempt] = field(default_factory=list)
    reply: ServerReply | None = None
    is_missing: bool = False
    attempt_count: int = 0
    ran: int = 0
    has_arrived: bool = False
    is_delegated: bool = False
    # Set once the daemon that asked for this part was told.
    is_reported: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the shard may still answer."""
        return self.reply is None and not self.is_missing


@dataclass(eq=False)
class Delegation:
    """Hold the shards that one relay gathers; open until it has ended."""

    address: str
    data_centre: DataCentre
    shards: list[ShardRun]
    cancel: Cancel = lambda: None
    is_open: bool = True


@dataclass(eq=False)
class GatherRun:
    """Hold one query while it runs."""

    gateway: Gateway
    route: Route
    request: CallerRequest
    arrived_at: float
    deadline_at: float
    on_reply: OnGatewayReply
    # Called after each shard's end, to answer if it is time to.
    check: Callable[["GatherRun"], None]
    shards: list[ShardRun] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    hedge_checks: int = 0
    hedges: int = 0
    is_finished: bool = False
    are_stragglers_recorded: bool = False
    is_started: bool = False
    # Set for a part of another daemon's query: takes what is in at the objective
    # and each later shard, before ``on_reply`` takes the last.
    on_part: OnGatewayReply | None = None
    # Loop time before which no shard is sent to a second server.
    single_attempt_until: float = 0.0
    delegations: list[Delegation] = field(default_factory=list)


def cancel_delegations(run: GatherRun) -> None:
    """Stop the relays that are still at work."""
    for delegation in run.delegations:
        if delegation.is_open:
            delegation.is_open = False
            delegation.cancel()


def compute_progress(run: GatherRun) -> GatherProgress:
    """Count the shards by their state."""
    included = sum(shard.reply is not None for shard in run.shards)
    still_open = sum(shard.is_open for shard in run.shards)
    return GatherProgress(included, still_open, len(run.shards))
