"""Find the leader among the control daemons and repeat a request to it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Wait for one reply, in seconds; it doubles with each attempt, so that a frozen
# leader is left soon and a slow majority is still waited for.
FIRST_REPLY_WAIT_S = 0.5
MAX_REPLY_WAIT_S = 4.0
# Pauses between attempts, in seconds, drawn evenly from half to the whole.
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# Hints followed without a pause; members may point at each other in an election.
MAX_HINTS = 2
# Control daemons known from settings and hints together.
MAX_ADDRESSES = 16

# The peer may have acted on a request that ended so.
MAYBE_ACTED = frozenset(
    {
        Code.NO_MAJORITY,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
        Code.DISK_FAILED,
    }
)
# Another attempt, at another control daemon or later, may succeed.
REPEATABLE = MAYBE_ACTED | {
    Code.NOT_LEADER,
    Code.PEER_UNREACHABLE,
    Code.WIRE_AUTH_FAILED,
    Code.UNKNOWN_MESSAGE_KIND,
    Code.NOT_READY,
    Code.STOPPING,
}


@dataclass
class LeaderClient:
    """Hold what one daemon knows of the control daemons.

    ``leader`` is the address that answered last, or empty.
    """

    network: Network
    addresses: list[str]
    clock: Callable[[], float]
    rng: random.Random
    leader: str = ""


@dataclass
class Attempts:
    """Count the attempts of one request."""

    deadline: float
    made: int = 0
    hints: int = 0
    maybe_acted: bool = False
    last: Failure | None = None


async def call_leader(
    leader_client: LeaderClient,
    kind: MessageKind,
    payload: bytes,
    timeout_s: float,
    attempts: Attempts | None = None,
    first_wait_s: float = FIRST_REPLY_WAIT_S,
) -> Result[bytes, Failure]:
    """Send a request that is safe to repeat, until a leader answers it.

    ``first_wait_s`` is the wait of the first attempt, in seconds. After
    ``timeout_s`` (seconds) it fails with ``NO_MAJORITY`` when the request may
    have been accepted, else with ``PEER_UNREACHABLE``.
    """
    attempts = attempts or Attempts(leader_client.clock() + timeout_s)
    target = leader_client.leader or _pick(leader_client, "")
    while (remaining := attempts.deadline - leader_client.clock()) > 0:
        wait_s = first_wait_s * 2 ** min(attempts.made, 8)
        wait_s = min(wait_s, max(MAX_REPLY_WAIT_S, first_wait_s), remaining)
        attempts.made += 1
        reply = await _call_one(leader_client.network, target, kind, payload, wait_s)
        if isinstance(reply, Ok):
            leader_client.leader = target
            return reply
        failure = reply.err_value
        is_own = failure.code is Code.MEMBERSHIP_CHANGE_PENDING and attempts.maybe_acted
        if failure.code not in REPEATABLE and not is_own:
            return reply
        attempts.last = failure
        attempts.maybe_acted |= failure.code in MAYBE_ACTED
        if leader_client.leader == target:
            leader_client.leader = ""
        target = await _next_target(leader_client, attempts, target, failure)
    return Err(_given_up(attempts))


async def _call_one(
    network: Network, target: str, kind: MessageKind, payload: bytes, wait_s: float
) -> Result[bytes, Failure]:
    """Bound the connecting, too, which the network does by itself alone."""
    try:
        async with asyncio.timeout(wait_s + FIRST_BACKOFF_S):
            reply = await network.call(target, kind, payload, wait_s)
    except TimeoutError:
        text = f'"{target}" sent no reply within {wait_s:.3f} s.'
        reply = Err(Failure(Code.PEER_TIMEOUT, text))
    if isinstance(reply, Err) and reply.err_value.code is Code.PEER_TIMEOUT:
        # A connection can go silent for good while new ones work.
        network.close_peer(target)
    return reply


async def _next_target(
    leader_client: LeaderClient, attempts: Attempts, target: str, failure: Failure
) -> str:
    hint = _hint_of(failure)
    if hint and hint != target and attempts.hints < MAX_HINTS:
        attempts.hints += 1
        learn_address(leader_client, hint)
        return hint
    attempts.hints = 0
    pause_s = min(FIRST_BACKOFF_S * 2 ** min(attempts.made, 8), MAX_BACKOFF_S)
    pause_s *= leader_client.rng.uniform(0.5, 1.0)
    await asyncio.sleep(min(pause_s, max(attempts.deadline - leader_client.clock(), 0)))
    # Another request may have found the leader meanwhile.
    return leader_client.leader or _pick(leader_client, target)


def _hint_of(failure: Failure) -> str:
    if failure.code is not Code.NOT_LEADER or not failure.text:
        return ""
    try:
        split_address(failure.text)
    except ValueError:
        return ""
    return failure.text


def learn_address(leader_client: LeaderClient, address: str) -> None:
    """Add a control daemon that the settings do not name, up to a bound."""
    if (
        address not in leader_client.addresses
        and len(leader_client.addresses) < MAX_ADDRESSES
    ):
        logging.info('control: learnt control daemon "%s".', address)
        leader_client.addresses.append(address)


def _pick(leader_client: LeaderClient, failed: str) -> str:
    """Return a control daemon other than ``failed``, where there is one."""
    others = [one for one in leader_client.addresses if one != failed]
    return leader_client.rng.choice(others or leader_client.addresses)


def _given_up(attempts: Attempts) -> Failure:
    reason = f" The last reason: {attempts.last}." if attempts.last else ""
    if attempts.maybe_acted:
        text = (
            "No control daemon confirmed the request in time; it may be accepted "
            f"later, and is safe to repeat with the same id.{reason}"
        )
        return Failure(Code.NO_MAJORITY, text)
    text = f"No leading control daemon was reached; nothing was accepted.{reason}"
    return Failure(Code.PEER_UNREACHABLE, text)
