"""Withdraw backend servers at all control daemons, by way of the replicated log.

The control daemon that received a withdrawal may be lost right afterwards.
"""

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Ok, Result

from bramleyrouter.control.client import build_operate
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.control.messages import Depart
from bramleyrouter.control.state_machine import ControlStateMachine
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.fleet.registry import (
    RETENTION_S,
    ServerRegistry,
    apply_announcement,
    apply_withdrawal,
)
from bramleyrouter.ids import ServerId, ServerIncarnation

MS_PER_SECOND = 1000.0


class DepartureCalls(NamedTuple):
    """Bundle the calls that record departures in the log.

    Both return once the log has accepted the departure, at most ``timeout_s`` seconds
    later; then no control daemon lists the server as ready any more. A failure leaves
    it unknown. ``depart(row, timeout_s)`` takes the row of a server that drains or is
    gone. ``withdraw(server_id, incarnation, timeout_s)`` takes a server that is gone.
    """

    depart: Callable[[ServerRow, float], Awaitable[Result[None, Failure]]]
    withdraw: Callable[
        [ServerId, ServerIncarnation | None, float], Awaitable[Result[None, Failure]]
    ]


def build_gone_row(server_id: ServerId, incarnation: ServerIncarnation) -> ServerRow:
    """Build the row of a server that has left; only its incarnation matters."""
    return ServerRow(server_id, incarnation, 0, "", "", "", 0, ServerPhase.GONE)  # type: ignore[arg-type]


def apply_departure(
    registry: ServerRegistry, row: ServerRow, age_s: float, now: float
) -> None:
    """Apply a departure that the log has accepted.

    ``age_s`` is the time since then in seconds. A member that starts reads old ones
    again; these concern nothing that is still listed.
    """
    if age_s > RETENTION_S:
        return
    if row.phase is ServerPhase.GONE:
        apply_withdrawal(registry, row.server_id, row.incarnation, now)
        return
    current = registry.servers.get(row.server_id)
    is_known = current is not None and (
        current.row.incarnation == row.incarnation
        and current.row.phase is not ServerPhase.READY
    )
    if not is_known:
        apply_announcement(registry, row, now)


def start_departures(
    registry: ServerRegistry,
    state_machine: ControlStateMachine,
    leader_client: LeaderClient,
    clock: Callable[[], float],
    wall_clock: Callable[[], float] = time.time,
) -> DepartureCalls:
    """Apply the departures in the log to the registry; return how to record them."""
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
            registered = registry.servers.get(server_id)
            if registered is None:
                return Ok(None)
            incarnation = registered.row.incarnation
        apply_withdrawal(registry, server_id, incarnation, clock())
        row = build_gone_row(server_id, incarnation)
        return await depart(row, max(0.0, deadline - clock()))

    return DepartureCalls(depart, withdraw)
