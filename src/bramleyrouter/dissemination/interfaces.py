"""What the dissemination package offers to the other packages."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from bramleyrouter.ids import DaemonId, Revision

# Reason in ``board.readiness`` until the configuration has been learnt.
CONFIGURATION_REASON = "configuration"
# A daemon whose revision has not been confirmed for this long is stale.
STALE_S = 2.0


class DaemonLag(msgspec.Struct, frozen=True):
    """Name a daemon that acknowledged only an older revision."""

    daemon_id: DaemonId
    revision: Revision


class Rollout(msgspec.Struct, frozen=True):
    """Say how far the newest revision has come.

    ``revision`` is in force at each of the ``daemons`` that acknowledge;
    ``latest`` is this control daemon's own. ``behind`` and ``silent`` list at
    most ``MAX_LISTED`` daemons; the counts cover all that are known of. A
    silent daemon is known but sends no acknowledgements, as when it is
    partitioned: what it has in force is not known.
    """

    revision: Revision
    latest: Revision
    daemons: int
    behind: tuple[DaemonLag, ...] = ()
    behind_count: int = 0
    silent: tuple[DaemonId, ...] = ()
    silent_count: int = 0

    @property
    def is_everywhere(self) -> bool:
        """Return whether every known daemon acknowledged the newest revision."""
        return self.revision >= self.latest and not self.silent_count


class Dissemination(NamedTuple):
    """Bundle what ``build_dissemination`` returns.

    ``rollout()`` is meaningful at control daemons only; elsewhere it covers the
    daemons below this one. ``stop()`` ends all tasks and subscriptions.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    rollout: Callable[[], Rollout]
