"""What the homes offer to the other packages."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from bramleyrouter.failures import Failure
from bramleyrouter.homes.messages import (
    Announcement,
    AnnouncementReply,
    GroupReply,
    ShardBatch,
    SubmitReply,
    SubmitRequest,
)
from bramleyrouter.ids import DaemonId, ServerId, ServerIncarnation

OnReply = Callable[[GroupReply], None]
OnEnd = Callable[[Result[None, Failure]], None]


class HomeClient(NamedTuple):
    """Bundle the ways to reach any home, this daemon's own included.

    ``dispatch(home, batch, on_reply, on_end)`` returns a closure that cancels
    the batch. ``on_reply`` is called once for each group that ended, ``on_end``
    once at the end; a failure there means that groups without a reply may have
    run (``PEER_UNREACHABLE``: none of them ran).
    """

    dispatch: Callable[[DaemonId, ShardBatch, OnReply, OnEnd], Callable[[], None]]
    submit: Callable[[DaemonId, SubmitRequest], Awaitable[SubmitReply]]


class Homes(NamedTuple):
    """Bundle what ``build_homes`` returns.

    ``announce`` and ``withdraw`` take what a backend server sent to this
    daemon's HTTP port and reach the server's home wherever it is. ``hand_over``
    gives all homes away at a planned stop. ``close`` ends all connections.
    """

    client: HomeClient
    announce: Callable[[Announcement], Awaitable[Result[AnnouncementReply, Failure]]]
    withdraw: Callable[[ServerId, ServerIncarnation], Awaitable[Result[None, Failure]]]
    hand_over: Callable[[], Awaitable[None]]
    close: Callable[[], None]
