"""Build the component through which a daemon acts as home of servers."""

import asyncio
import random
from collections.abc import Callable, Mapping

from result import Result

from bramleyrouter.board import Board
from bramleyrouter.edges.servers.transport import ServerTransport
from bramleyrouter.failures import Failure
from bramleyrouter.homes import announcements
from bramleyrouter.homes.clients import build_client
from bramleyrouter.homes.handovers import hand_over_all_servers
from bramleyrouter.homes.interfaces import Homes
from bramleyrouter.homes.message_handlers import register_message_handlers
from bramleyrouter.homes.messages import Announcement, AnnouncementReply
from bramleyrouter.homes.state import HomesState, PublishRows
from bramleyrouter.homes.sweeps import start_sweeps
from bramleyrouter.ids import ClassName, ServerId, ServerIncarnation
from bramleyrouter.wire.network import Network


def build_homes(
    board: Board,
    network: Network,
    transport: ServerTransport,
    publish_rows: PublishRows,
    rng: random.Random,
    class_weights: Mapping[ClassName, int] | None = None,
    clock: Callable[[], float] | None = None,
) -> Homes:
    """Build the component that makes this daemon a home of backend servers.

    Requires a running event loop.

    ``publish_rows(changed, removed)`` is called with the changed rows and the
    removed ids of this home's servers. ``class_weights`` sets the weight of each
    class in a server's queue; a class without an entry has weight 1. ``clock``
    returns seconds and is the time of the event loop by default.
    """
    weights = dict(class_weights or {})
    state = HomesState(
        board,
        network,
        transport,
        publish_rows,
        rng,
        clock or asyncio.get_running_loop().time,
        lambda name: weights.get(name, 1),
    )
    register_message_handlers(state)
    start_sweeps(state)

    async def announce(
        announcement: Announcement,
    ) -> Result[AnnouncementReply, Failure]:
        return await announcements.announce(state, announcement)

    async def withdraw(
        server_id: ServerId, incarnation: ServerIncarnation
    ) -> Result[None, Failure]:
        return await announcements.withdraw(state, server_id, incarnation)

    async def hand_over() -> None:
        await hand_over_all_servers(state)

    def close() -> None:
        state.is_closed = True
        state.transport.close()

    return Homes(build_client(state), announce, withdraw, hand_over, close)
