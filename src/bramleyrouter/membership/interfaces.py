"""The interface of the membership package for other packages."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bramleyrouter.board.sections import DaemonRecord, ServerRecord
from bramleyrouter.ids import DataCentre, ServerId

# Reason in ``board.readiness`` until the server tables are complete.
MEMBERSHIP_REASON = "membership"


class Membership(NamedTuple):
    """Bundle what ``build_membership`` returns.

    ``start()`` starts the probes and checks. ``publish_rows(changed, removed)``
    sends changes of this home's rows to every daemon; changes of ``usable`` and
    ``headroom`` alone are collected and sent at most once a second.
    ``relays(data_centre)`` returns the live entry daemons, at most two, through
    which others reach that data centre. ``announce_leaving()`` notifies peers that
    a planned stop has begun: the rows stay, but this daemon becomes the home of no
    further server. ``leave()`` notifies peers that this daemon stops now, which
    removes its rows everywhere, and stops; ``stop()`` stops without notice.
    """

    start: Callable[[], None]
    publish_rows: Callable[[list[ServerRecord], list[ServerId]], None]
    relays: Callable[[DataCentre], tuple[DaemonRecord, ...]]
    announce_leaving: Callable[[], None]
    leave: Callable[[], Awaitable[None]]
    stop: Callable[[], None]
