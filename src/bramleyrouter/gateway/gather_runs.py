"""State of one gather while it runs."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from bramleyrouter.gateway.attempts import Attempt
from bramleyrouter.gateway.exchanges import CallerRequest, ServerReply
from bramleyrouter.gateway.gateways import Cancel, Gateway, OnGatewayReply
from bramleyrouter.gateway.gather_deadlines import GatherProgress
from bramleyrouter.gateway.hedge_timing import HedgeTiming
from bramleyrouter.gateway.permits import Permit
from bramleyrouter.gateway.tables import Route
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName


class AttemptPurpose(Enum):
    """Enumerate why an attempt of a gather is sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class SentAttempt(NamedTuple):
    """Describe one attempt for the log.

    ``sent_ms`` counts from the arrival of the gather at this daemon. ``run_number`` is
    the number of servers at which the shard may have run then, this one included.
    """

    shard: ServiceName
    server: ServerId
    sent_ms: int
    purpose: AttemptPurpose
    run_number: int


class GrantState(Enum):
    """Enumerate the states of a relay's request for one more attempt of a shard."""

    NOT_REQUESTED = "not requested"
    REQUESTED = "requested"
    DECIDED = "decided"


@dataclass(eq=False)
class ShardRun:
    """Hold the state of one shard of a gather.

    ``attempt_count`` counts all attempts of this daemon. ``possible_runs`` counts the
    servers at which the shard may have run or may yet run, also by a relay. It never
    exceeds ``max_runs``, the attempts that this daemon holds. ``has_arrived`` is set
    once an attempt has reached a server; every later attempt is then an extra send.
    """

    service: ServiceName
    max_runs: int
    tried: set[ServerId] = field(default_factory=set)
    pending: list[Attempt] = field(default_factory=list)
    reply: ServerReply | None = None
    is_missing: bool = False
    attempt_count: int = 0
    possible_runs: int = 0
    has_arrived: bool = False
    delegation: "Delegation | None" = None
    grant: GrantState = GrantState.NOT_REQUESTED
    # Whether the result was already sent to the requesting daemon.
    is_reported: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the shard may still get a result."""
        return self.reply is None and not self.is_missing

    @property
    def is_delegated(self) -> bool:
        """Return whether a relay may still report a result."""
        return (
            self.delegation is not None
            and self.delegation.state is not DelegationState.ENDED
        )

    @property
    def has_confirmed_relay(self) -> bool:
        """Return whether a relay that confirmed may still report a result."""
        return (
            self.delegation is not None
            and self.delegation.state is DelegationState.CONFIRMED
        )


class DelegationState(Enum):
    """Enumerate the states of a delegation.

    It has ended after the relay's last reply, its failure or its cancellation.
    """

    UNCONFIRMED = "unconfirmed"
    CONFIRMED = "confirmed"
    ENDED = "ended"


@dataclass(eq=False)
class Delegation:
    """Hold the shards delegated to one relay.

    ``granted`` holds, for each shard, the attempts that were handed over to the relay.
    """

    address: str
    data_centre: DataCentre
    shards: list[ShardRun]
    grant_id: int
    granted: list[int]
    cancel: Cancel = lambda: None
    state: DelegationState = DelegationState.UNCONFIRMED


class RequestingDaemon(NamedTuple):
    """Bundle how a relay reaches the daemon that delegated a gather to it.

    ``report`` is called with the results available at the objective and with each later
    one, before the last reply. ``request_attempts`` asks for one more attempt for the
    shards at some positions of the query, or is none if there is none to grant.
    """

    address: str
    report: OnGatewayReply
    request_attempts: Callable[[tuple[int, ...]], None] | None


@dataclass(eq=False)
class GatherRun:
    """Hold the state of one gather while it runs."""

    gateway: Gateway
    route: Route
    request: CallerRequest
    arrived_at: float
    deadline_at: float
    # Loop time at which a reply must leave to meet the objective.
    reply_at: float
    on_reply: OnGatewayReply
    # Called after each change of a shard; sends the reply if it is due.
    reply_if_due: Callable[["GatherRun"], None]
    shards: list[ShardRun] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    # Position before which no shard is open.
    first_open: int = 0
    hedge_timing: HedgeTiming | None = None
    # Delay of the next check for stragglers, in seconds from the arrival; none after
    # the last one.
    next_hedge_check_s: float | None = None
    # Whether a hedge that is not sent now would be too late.
    is_last_hedge_check: bool = False
    # Number of hedges that were postponed because the allowance was scarce.
    postponed_hedges: int = 0
    hedges: int = 0
    is_finished: bool = False
    are_late_servers_recorded: bool = False
    is_started: bool = False
    # Set if this daemon is a relay.
    requesting_daemon: RequestingDaemon | None = None
    # Set if the customer has a quota; a relay needs no permit.
    permit: Permit | None = None
    # Shards for which the requesting daemon will be asked for one more attempt.
    wanted: list[ShardRun] = field(default_factory=list)
    delegations: list[Delegation] = field(default_factory=list)
    sent_attempts: list[SentAttempt] = field(default_factory=list)
    # Servers that were not chosen because they leave or want no requests for a while.
    backed_off: set[ServerId] = field(default_factory=set)
    # Servers of this gather that were found to leave, with their position among the
    # shards; a relay tells the requesting daemon.
    leaving: list[tuple[int, ServerId, ServerIncarnation]] = field(default_factory=list)


def has_open_shard(run: GatherRun) -> bool:
    """Return whether any shard may still get a result; closed shards stay closed."""
    while run.first_open < len(run.shards) and not run.shards[run.first_open].is_open:
        run.first_open += 1
    return run.first_open < len(run.shards)


def cancel_delegations(run: GatherRun, states: Collection[DelegationState]) -> None:
    """Cancel the delegations that are in one of these states."""
    for delegation in run.delegations:
        if delegation.state in states:
            delegation.state = DelegationState.ENDED
            delegation.cancel()


def compute_progress(run: GatherRun) -> GatherProgress:
    """Count the shards of a gather by state."""
    included = sum(shard.reply is not None for shard in run.shards)
    still_open = sum(shard.is_open for shard in run.shards)
    return GatherProgress(included, still_open, len(run.shards))
