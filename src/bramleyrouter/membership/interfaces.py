"""What the membership package offers to the other packages."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bramleyrouter.board.sections import DaemonRecord, ServerRecord
from bramleyrouter.ids import DataCentre, ServerId

# Reason in ``board.readiness`` until the server tables have been learnt.
MEMBERSHIP_REASON = "membership"


class Membership(NamedTuple):
    """Bundle what ``build_membership`` returns.

    ``start()`` begins to probe and to serve. ``publish_rows(changed, removed)``
    tells every daemon of this home's rows; changes of ``usable`` and
    ``headroom`` alone are collected and sent at most once a second.
    ``relays(data_centre)`` returns the live entry daemons, at most two, through
    which others reach that data centre. ``announce_leaving()`` tells peers that
    a planned stop has begun: rows stay, but no new home is placed here.
    ``leave()`` says goodbye, which drops this daemon's rows everywhere, and
    stops; ``stop()`` stops silently.
    """

    start: Callable[[], None]
    publish_rows: Callable[[list[ServerRecord], list[ServerId]], None]
    relays: Callable[[DataCentre], tuple[DaemonRecord, ...]]
    announce_leaving: Callable[[], None]
    leave: Callable[[], Awaitable[None]]
    stop: Callable[[], None]
