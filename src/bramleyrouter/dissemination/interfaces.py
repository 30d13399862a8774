"""Types by which other packages use the dissemination package."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from bramleyrouter.ids import DaemonId, Revision

# Reason in ``board.readiness`` until the daemon has learnt a configuration.
CONFIGURATION_REASON = "configuration"
# Time, in seconds, after which a configuration that control has not confirmed
# again is stale.
STALE_AFTER_S = 2.0


class DaemonLag(msgspec.Struct, frozen=True):
    """Represent a daemon that acknowledged only an older revision."""

    daemon_id: DaemonId
    revision: Revision


class Rollout(msgspec.Struct, frozen=True):
    """Hold how far the newest revision has been rolled out.

    ``revision`` is in force at each of the ``daemons`` that acknowledge;
    ``latest`` is this control daemon's own revision. ``behind`` and ``silent``
    list at most ``MAX_LISTED_DAEMONS`` daemons; the counts include all. A silent daemon
    is a known member that sends no acknowledgements, for example because it is
    partitioned; which revision it has in force is unknown.
    """

    revision: Revision
    latest: Revision
    daemons: int
    behind: tuple[DaemonLag, ...] = ()
    behind_count: int = 0
    silent: tuple[DaemonId, ...] = ()
    silent_count: int = 0

    @property
    def is_in_force_everywhere(self) -> bool:
        """Return whether every known daemon acknowledged the newest revision."""
        return self.revision >= self.latest and not self.silent_count


class Dissemination(NamedTuple):
    """Bundle the closures that ``build_dissemination`` returns.

    ``get_rollout()`` returns the state of the rollout; only at a control daemon does
    it include the whole cluster, elsewhere just this daemon and those below it.
    ``stop()`` ends all tasks and subscriptions.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    get_rollout: Callable[[], Rollout]
