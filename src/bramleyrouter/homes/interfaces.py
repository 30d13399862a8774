"""Define the interfaces of the homes for other packages."""

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
    """Send requests to the homes of servers, including this daemon itself.

    ``dispatch(home, batch, on_reply, on_end)`` returns a closure that cancels
    the batch. ``on_reply`` is called once for each group that ended, and ``on_end``
    once at the end. If ``on_end`` gets a failure, groups without a reply may have
    run; with ``PEER_UNREACHABLE`` none of them ran.
    """

    dispatch: Callable[[DaemonId, ShardBatch, OnReply, OnEnd], Callable[[], None]]
    submit: Callable[[DaemonId, SubmitRequest], Awaitable[SubmitReply]]


class Homes(NamedTuple):
    """Provide the functions through which a daemon acts as home of servers.

    ``announce`` and ``withdraw`` handle messages that a backend server sent to this
    daemon's HTTP port, and forward them if another daemon is the server's home.
    ``hand_over`` hands all servers over to other homes at a planned stop. ``close``
    closes all connections.
    """

    client: HomeClient
    announce: Callable[[Announcement], Awaitable[Result[AnnouncementReply, Failure]]]
    withdraw: Callable[[ServerId, ServerIncarnation], Awaitable[Result[None, Failure]]]
    hand_over: Callable[[], Awaitable[None]]
    close: Callable[[], None]
