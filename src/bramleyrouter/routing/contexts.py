"""State that all queries and submissions of one daemon share."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.board import Board
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.homes.interfaces import HomeClient
from bramleyrouter.routing.admission import Admission, build_admission
from bramleyrouter.routing.hedging import HEDGE_BURST, LatencyTable
from bramleyrouter.routing.load_tracking import build_load_notifier
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.routing.replica_choice import ChoiceState
from bramleyrouter.routing.replica_index import ReplicaIndex, build_replica_index
from bramleyrouter.routing.retries import DAEMON_RETRY_BURST, RetryBudget
from bramleyrouter.routing.token_buckets import TokenBucket, build_token_bucket

# A daemon is stale when its configuration has not been confirmed for this time.
STALE_AFTER_S = 2.0
# Bits of the random number from which attempts are numbered. All queries share
# the numbering, so that a reply to another query, or to an earlier run of the
# daemon, never matches an attempt.
ATTEMPT_ID_START_BITS = 40


@dataclass
class Context:
    """Hold the dependencies of the query path and the state of all requests."""

    board: Board
    home_client: HomeClient
    control_client: ControlClient
    cfg: Settings
    clock: Callable[[], float]
    rng: random.Random
    observer: RoutingObserver
    index: ReplicaIndex
    hedge_bucket: TokenBucket
    retry_budget: RetryBudget
    next_attempt_id: Callable[[], int]
    notify_load: Callable[[float], None]
    admission: Admission
    choice_state: ChoiceState = field(default_factory=ChoiceState)
    latencies: LatencyTable = field(default_factory=LatencyTable)


def build_context(
    board, home_client, control_client, cfg, clock, rng, observer
) -> Context:
    """Return the shared state of a router before its first request."""
    counter = itertools.count(rng.getrandbits(ATTEMPT_ID_START_BITS))
    return Context(
        board=board,
        home_client=home_client,
        control_client=control_client,
        cfg=cfg,
        clock=clock,
        rng=rng,
        observer=observer,
        index=build_replica_index(board, clock),
        hedge_bucket=build_token_bucket(cfg.hedge_budget, HEDGE_BURST),
        retry_budget=RetryBudget(
            build_token_bucket(cfg.retry_budget, DAEMON_RETRY_BURST, is_full=True)
        ),
        next_attempt_id=counter.__next__,
        notify_load=build_load_notifier(board),
        admission=build_admission(cfg, clock),
    )


def update_staleness(ctx: Context, now: float) -> None:
    """Update whether this daemon's configuration counts as stale."""
    ctx.choice_state.is_stale = now - ctx.board.config.confirmed_at > STALE_AFTER_S
