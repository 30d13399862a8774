"""Track whether this control daemon's configuration is current.

A member is current if, within the last second, the leader proved its leadership
and this member had applied every entry committed before that proof.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.consensus.interfaces import LogStatus, ReplicatedLog
from bramleyrouter.control.replies import decode_status, encode_status_request
from bramleyrouter.failures import Failure
from bramleyrouter.ids import LogIndex
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

CONFIRMATION_VALID_S = 1.0
# Two consecutive confirmations may fail before a member counts as not current.
CONFIRM_INTERVAL_S = 0.25
CONFIRM_TIMEOUT_S = 0.35


@dataclass
class ConfigFreshness:
    """Hold the loop time at which the last successful confirmation started."""

    confirmed_at: float = float("-inf")


def is_current(freshness: ConfigFreshness, now: float) -> bool:
    """Return whether the last successful confirmation is still valid."""
    return now - freshness.confirmed_at <= CONFIRMATION_VALID_S


async def confirm_periodically(
    freshness: ConfigFreshness,
    log: ReplicatedLog,
    network: Network,
    clock: Callable[[], float],
) -> None:
    """Confirm the configuration at a fixed interval until cancelled."""
    while True:
        started = clock()
        try:
            # asyncio.wait_for of Python 3.11 can lose a cancellation that arrives
            # together with the result, so that this loop would never end.
            # asyncio.timeout does not lose it.
            async with asyncio.timeout(2 * CONFIRM_TIMEOUT_S):
                is_confirmed = await _confirm(log, network, clock)
            if is_confirmed:
                freshness.confirmed_at = started
        except TimeoutError:
            pass
        except Exception:
            # If an exception ended this loop, the member would never be current again.
            logging.exception(
                "control: could not confirm that the configuration is current."
            )
        await asyncio.sleep(CONFIRM_INTERVAL_S)


async def _confirm(log: ReplicatedLog, network: Network, clock) -> bool:
    status = log.status()
    if status.is_leader:
        return isinstance(await log.read_barrier(CONFIRM_TIMEOUT_S), Ok)
    if not status.leader_address:
        return False
    deadline = clock() + CONFIRM_TIMEOUT_S
    proof = await _request_leadership_proof(network, status.leader_address)
    if isinstance(proof, Err):
        return False
    return await _wait_until_applied(log, proof.ok_value.applied_index, deadline, clock)


async def _request_leadership_proof(
    network: Network, address: str
) -> Result[LogStatus, Failure]:
    request = encode_status_request(is_proof_asked=True)
    reply = await network.call(
        address, MessageKind.CONTROL_STATUS, request, CONFIRM_TIMEOUT_S
    )
    return reply if isinstance(reply, Err) else decode_status(reply.ok_value)


async def _wait_until_applied(
    log: ReplicatedLog, index: LogIndex, deadline: float, clock
) -> bool:
    while log.status().applied_index < index:
        if clock() >= deadline:
            return False
        await asyncio.sleep(0.01)
    return True
