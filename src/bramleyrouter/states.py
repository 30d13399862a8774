"""States that several packages share."""

from enum import Enum


class ServerState(Enum):
    """State that a backend server announces for itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class DaemonState(Enum):
    """Membership state of a daemon as its peers store it."""

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Outcome(Enum):
    """Outcome of a non-idempotent request as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CoverageMode(Enum):
    """Coverage that a caller accepts: all shards, or as many as its deadline allows."""

    FULL = "full"
    BEST = "best"
