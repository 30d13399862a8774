"""Find the leader of the control daemons and retry a request until it replies."""

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

# The reply timeout doubles with each attempt, so that the client soon tries another
# address if the leader hangs, but still waits long enough for a slow majority.
FIRST_REPLY_WAIT_S = 0.5
MAX_REPLY_WAIT_S = 4.0
# The backoff is drawn uniformly from half of the nominal value to all of it.
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# Leader hints followed without backoff. During an election members may name each
# other as the leader, so the number is limited.
MAX_HINTS = 2
# Limit for the addresses from settings, leader hints and member lists together.
MAX_ADDRESSES = 16

# After these failures the peer may have executed the request.
MAY_HAVE_ACTED_CODES = frozenset(
    {
        Code.NO_MAJORITY,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
        Code.DISK_FAILED,
    }
)
# After these failures a later attempt or another control daemon may succeed.
RETRYABLE_CODES = MAY_HAVE_ACTED_CODES | {
    Code.NOT_LEADER,
    Code.PEER_UNREACHABLE,
    Code.WIRE_AUTH_FAILED,
    Code.UNKNOWN_MESSAGE_KIND,
    Code.NOT_READY,
    Code.STOPPING,
}


@dataclass
class LeaderClient:
    """Hold the control daemons' addresses and the last known leader.

    ``leader`` is the address of the last known leader, or empty.
    """

    network: Network
    addresses: list[str]
    clock: Callable[[], float]
    rng: random.Random
    leader: str = ""


@dataclass
class Attempts:
    """Track the attempts of one request; ``deadline`` is in loop time.

    ``hints`` counts the leader hints followed in a row. ``may_have_acted`` is set once
    an attempt may have been executed.
    """

    deadline: float
    count: int = 0
    hints: int = 0
    may_have_acted: bool = False
    last_failure: Failure | None = None


async def call_leader(
    leader_client: LeaderClient,
    kind: MessageKind,
    payload: bytes,
    timeout_s: float,
    attempts: Attempts | None = None,
    first_wait_s: float = FIRST_REPLY_WAIT_S,
) -> Result[bytes, Failure]:
    """Send a request to the leader, and retry it until a leader replies.

    The request must be safe to repeat. ``first_wait_s`` is the reply timeout of the
    first attempt, in seconds. After ``timeout_s`` seconds the call fails with
    ``NO_MAJORITY`` if the request may have been accepted, otherwise with
    ``PEER_UNREACHABLE``. Failures that a retry can't resolve are returned at once.
    """
    attempts = attempts or Attempts(leader_client.clock() + timeout_s)
    target = leader_client.leader or _choose_address(leader_client, "")
    while (remaining := attempts.deadline - leader_client.clock()) > 0:
        wait_s = first_wait_s * 2 ** min(attempts.count, 8)
        wait_s = min(wait_s, max(MAX_REPLY_WAIT_S, first_wait_s), remaining)
        attempts.count += 1
        reply = await _call_control_daemon(
            leader_client.network, target, kind, payload, wait_s
        )
        if isinstance(reply, Ok):
            leader_client.leader = target
            return reply
        failure = reply.err_value
        # The pending change may be that of an earlier attempt.
        may_be_own_change = (
            failure.code is Code.MEMBERSHIP_CHANGE_PENDING and attempts.may_have_acted
        )
        if failure.code not in RETRYABLE_CODES and not may_be_own_change:
            return reply
        attempts.last_failure = failure
        attempts.may_have_acted |= failure.code in MAY_HAVE_ACTED_CODES
        if leader_client.leader == target:
            leader_client.leader = ""
        target = await _choose_next_target(leader_client, attempts, target, failure)
    return Err(_build_timeout_failure(attempts))


async def _call_control_daemon(
    network: Network, target: str, kind: MessageKind, payload: bytes, wait_s: float
) -> Result[bytes, Failure]:
    """Call one control daemon, with connection set-up included in the timeout.

    The network limits the set-up only by a separate timeout of its own.
    """
    try:
        async with asyncio.timeout(wait_s + FIRST_BACKOFF_S):
            reply = await network.call(target, kind, payload, wait_s)
    except TimeoutError:
        text = f'"{target}" sent no reply within {wait_s:.3f} s.'
        reply = Err(Failure(Code.PEER_TIMEOUT, text))
    if isinstance(reply, Err) and reply.err_value.code is Code.PEER_TIMEOUT:
        # An established connection can stay dead while new ones would work.
        network.close_peer(target)
    return reply


async def _choose_next_target(
    leader_client: LeaderClient, attempts: Attempts, target: str, failure: Failure
) -> str:
    """Follow the leader hint in ``failure``, or choose an address after a backoff."""
    hint = _find_leader_hint(failure)
    if hint and hint != target and attempts.hints < MAX_HINTS:
        attempts.hints += 1
        add_address(leader_client, hint)
        return hint
    attempts.hints = 0
    backoff_s = min(FIRST_BACKOFF_S * 2 ** min(attempts.count, 8), MAX_BACKOFF_S)
    backoff_s *= leader_client.rng.uniform(0.5, 1.0)
    await asyncio.sleep(
        min(backoff_s, max(attempts.deadline - leader_client.clock(), 0))
    )
    # A concurrent request may have found the leader during the backoff.
    return leader_client.leader or _choose_address(leader_client, target)


def _find_leader_hint(failure: Failure) -> str:
    if failure.code is not Code.NOT_LEADER or not failure.text:
        return ""
    try:
        split_address(failure.text)
    except ValueError:
        return ""
    return failure.text


def add_address(leader_client: LeaderClient, address: str) -> None:
    """Add the address of a control daemon, up to ``MAX_ADDRESSES``."""
    if (
        address not in leader_client.addresses
        and len(leader_client.addresses) < MAX_ADDRESSES
    ):
        logging.info('control: added the control daemon at "%s".', address)
        leader_client.addresses.append(address)


def _choose_address(leader_client: LeaderClient, failed: str) -> str:
    """Choose a random address other than ``failed``, if there is one."""
    others = [address for address in leader_client.addresses if address != failed]
    return leader_client.rng.choice(others or leader_client.addresses)


def _build_timeout_failure(attempts: Attempts) -> Failure:
    reason = (
        f" The last reason: {attempts.last_failure}." if attempts.last_failure else ""
    )
    if attempts.may_have_acted:
        text = (
            "No control daemon confirmed the request in time; it may be accepted "
            f"later, and is safe to repeat with the same id.{reason}"
        )
        return Failure(Code.NO_MAJORITY, text)
    text = f"No leading control daemon was reached; nothing was accepted.{reason}"
    return Failure(Code.PEER_UNREACHABLE, text)
