"""Withdraw backend servers at all control daemons, by way of the replicated log.

A control daemon knows only the servers that announced themselves to it. A withdrawal
may reach another one, and the one that received it may be lost right afterwards.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import msgspec
from result import Ok, Result

from bramleyrouter.control.client import build_operate
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.control.messages import Depart
from bramleyrouter.control.state_machine import ControlStateMachine
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import (
    ServerPhase,
    ServerRow,
    check_row,
    drop_version,
)
from bramleyrouter.fleet.registry import (
    ServerRegistry,
    apply_departure,
    apply_withdrawal,
)
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

# Seconds to wait for what the other control daemons know of a server. Servers wait one
# second for a reply, and the log needs a part of it.
FIND_TIMEOUT_S = 0.3
MS_PER_SECOND = 1000.0


class FoundServer(NamedTuple):
    """Hold the rows that control daemons have of one server.

    ``is_complete`` is set if all of them have replied.
    """

    rows: tuple[ServerRow, ...]
    is_complete: bool


class DepartureCalls(NamedTuple):
    """Bundle the calls that record departures in the log.

    Both return once the log has accepted the departure, at most ``timeout_s`` seconds
    later; then no control daemon lists the server as ready any more. A failure leaves
    it unknown. ``depart(row, timeout_s)`` takes the row of a server that drains or is
    gone. ``withdraw(server_id, incarnation, timeout_s)`` takes a server that is gone;
    other control daemons are asked for an incarnation that the server hasn't named.
    """

    depart: Callable[[ServerRow, float], Awaitable[Result[None, Failure]]]
    withdraw: Callable[
        [ServerId, ServerIncarnation | None, float], Awaitable[Result[None, Failure]]
    ]


def build_gone_row(server_id: ServerId, incarnation: ServerIncarnation) -> ServerRow:
    """Build the row of a server that has left; only its incarnation matters."""
    return ServerRow(server_id, incarnation, 0, "", "", "", 0, ServerPhase.GONE)  # type: ignore[arg-type]


def choose_incarnation(found: FoundServer, now_s: float) -> ServerIncarnation | None:
    """Return the incarnation that a withdrawal without one concerns.

    It is the latest one that is announced, or else the latest that has left. If no
    control daemon that replied knows any, one that did not reply may: then it is the
    present in Unix milliseconds, as each incarnation so far started before. It is none
    if there is nothing to withdraw.
    """
    present = [row for row in found.rows if row.phase is not ServerPhase.GONE]
    if found.rows:
        return max(row.incarnation for row in present or found.rows)
    if found.is_complete:
        return None
    return ServerIncarnation(int(now_s * MS_PER_SECOND))


def serve_found_servers(network: Network, registry: ServerRegistry) -> None:
    """Serve the requests of other control daemons for the row of a server."""

    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        server_id = ServerId(payload.decode("utf-8", "replace"))
        registered = registry.servers.get(server_id)
        return Ok(
            msgspec.msgpack.encode(drop_version(registered.row)) if registered else b""
        )

    network.serve(MessageKind.FIND_SERVER, serve)


def decode_found_server(data: bytes) -> ServerRow | None:
    """Decode the reply of a control daemon, none if it does not know the server."""
    if not data:
        return None
    try:
        row = msgspec.msgpack.decode(data, type=ServerRow)
    except DECODE_ERRORS:
        return None
    return row if isinstance(check_row(row), Ok) else None


async def find_server(
    network: Network,
    registry: ServerRegistry,
    peers: Iterable[str],
    server_id: ServerId,
) -> FoundServer:
    """Ask the control daemons at ``peers`` what they know of a server.

    A server that announces itself here is not looked for elsewhere.
    """
    registered = registry.servers.get(server_id)
    own = () if registered is None else (registered.row,)
    if registered is not None and not registered.row.is_silent:
        if registered.row.phase is not ServerPhase.GONE:
            return FoundServer(own, True)
    payload = server_id.encode()
    replies = await asyncio.gather(
        *(
            call_with_timeout(
                network, address, MessageKind.FIND_SERVER, payload, FIND_TIMEOUT_S
            )
            for address in peers
        )
    )
    rows = [
        decode_found_server(reply.ok_value)
        for reply in replies
        if isinstance(reply, Ok)
    ]
    is_complete = len(rows) == len(replies)
    return FoundServer((*own, *(row for row in rows if row is not None)), is_complete)


def start_departures(
    network: Network,
    registry: ServerRegistry,
    state_machine: ControlStateMachine,
    leader_client: LeaderClient,
    own_address: str,
    clock: Callable[[], float],
    wall_clock: Callable[[], float] = time.time,
) -> DepartureCalls:
    """Apply the departures in the log to the registry, and return how to record them.

    ``own_address`` is the internal address of this control daemon.
    """
    serve_found_servers(network, registry)
    state_machine.watch_departures(
        lambda departure: apply_departure(
            registry,
            departure.row,
            wall_clock() - departure.stamp_ms / MS_PER_SECOND,
            clock(),
        )
    )
    operate = build_operate(leader_client)

    async def depart(row: ServerRow, timeout_s: float) -> Result[None, Failure]:
        if state_machine.has_departed(row):
            return Ok(None)
        return (await operate(Depart(row), timeout_s)).map(lambda _: None)

    async def withdraw(
        server_id: ServerId, incarnation: ServerIncarnation | None, timeout_s: float
    ) -> Result[None, Failure]:
        deadline = clock() + timeout_s
        if incarnation is None:
            peers = [item for item in leader_client.addresses if item != own_address]
            found = await find_server(network, registry, peers, server_id)
            incarnation = choose_incarnation(found, wall_clock())
        if incarnation is None:
            return Ok(None)
        apply_withdrawal(registry, server_id, incarnation, clock())
        row = build_gone_row(server_id, incarnation)
        return await depart(row, max(0.0, deadline - clock()))

    return DepartureCalls(depart, withdraw)
