"""The child's side of a subscription: choice of the parent, and freshness.

Every 0.5 s the daemon sends its report and gets the parent's heartbeat as the
reply. The heartbeat says how old the proof of its revision is, as a relative
age. Counting that age from the time at which the report was sent makes the
result at least as old as the truth, however long either message was delayed or
either process was frozen; a heartbeat that the parent sends of itself would
look new after any delay.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from absl import logging
from result import Err

from bramleyrouter.dissemination.candidates import (
    Candidates,
    Relays,
    all_addresses,
    find_candidates,
)
from bramleyrouter.dissemination.messages import (
    NEVER_CONFIRMED,
    Heartbeat,
    Subscription,
    Update,
    decode,
    encode,
)
from bramleyrouter.dissemination.serving import Parent
from bramleyrouter.dissemination.store import ConfigStore, note_proof, take_update
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

REPORT_INTERVAL_S = 0.5
# Reports of one interval overlap with those of the next when replies are slow.
REPORT_TIMEOUT_S = 1.5
# A parent that brought no proof newer than this is replaced. In the steady
# state a proof is at most two report intervals and two trips old.
PARENT_SILENT_S = 1.5
SEARCH_TIMEOUT_S = 0.5
# Pause between searches that found no parent with a fresh proof.
SEARCH_INTERVAL_S = 0.5
# Interval at which a daemon tries to return to its place in the tree.
RETURN_INTERVAL_S = 2.0
# Daemons of one data centre that ask control daemons in one round of searches,
# on average; more would overload them after an election.
CONTROL_ASKERS = 16
ASKED_AT_ONCE = 64


@dataclass
class Upstream:
    """Hold the subscription to the parent.

    ``proof_at`` is the loop time of the newest proof that the parent gave.
    ``known_cover`` is the digest of the cover that the parent holds.
    """

    address: str = ""
    cancel: Callable[[], None] = lambda: None
    proof_at: float = float("-inf")
    known_cover: int = 0
    is_searching: bool = False
    next_search: float = 0.0
    next_return: float = 0.0
    round: int = 0


class Reply(NamedTuple):
    """Hold a heartbeat, who sent it, and the loop time of its proof.

    ``cover_digest`` is that of the report which it answers.
    """

    address: str
    heartbeat: Heartbeat
    proof_at: float
    cover_digest: int


class Subscriber(NamedTuple):
    """Bundle the child's closures.

    ``report()`` sends one report, ``review()`` replaces a silent parent, and
    ``ask_all()`` learns the highest revision of everyone in reach; it returns
    false when nobody has learnt one.
    """

    report: Callable[[], None]
    review: Callable[[], None]
    ask_all: Callable
    close: Callable[[], None]
    upstream: Upstream


def build_subscriber(
    store: ConfigStore,
    network: Network,
    control_addresses: tuple[str, ...],
    relays: Relays,
    rng: random.Random,
    parent: Parent,
    tasks: BackgroundTasks,
) -> Subscriber:
    """Return the closures of the child's side."""
    upstream = Upstream()
    clock, board = store.clock, store.board
    identity = board.identity

    async def ask(
        address: str, known_cover: int, timeout_s: float = SEARCH_TIMEOUT_S
    ) -> Reply | None:
        """Send a report and return the answer; notes the proof it brings."""
        sent = clock()
        report = parent.report(known_cover)
        payload = encode(report)
        answered = await call_with_timeout(
            network, address, MessageKind.CONFIRM, payload, timeout_s
        )
        if isinstance(answered, Err):
            return None
        decoded = decode(Heartbeat, answered.ok_value)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", address, decoded.err_value)
            return None
        heartbeat = decoded.ok_value
        proof_at = float("-inf")
        if heartbeat.age_ms != NEVER_CONFIRMED:
            proof_at = sent - heartbeat.age_ms / 1000
        reply = Reply(address, heartbeat, proof_at, report.cover_digest)
        if not is_damaged(reply):
            note_proof(store, heartbeat.revision, proof_at)
        return reply

    def is_damaged(reply: Reply) -> bool:
        heartbeat = reply.heartbeat
        return (
            heartbeat.revision == store.state.revision
            and heartbeat.digest != store.state.digest
        )

    def is_fresh(proof_at: float) -> bool:
        return clock() - proof_at <= PARENT_SILENT_S

    async def report_once() -> None:
        address = upstream.address
        reply = await ask(address, upstream.known_cover, REPORT_TIMEOUT_S)
        if reply is None or address != upstream.address:
            return
        heartbeat = reply.heartbeat
        upstream.proof_at = max(upstream.proof_at, reply.proof_at)
        upstream.known_cover = 0 if heartbeat.wants_cover else reply.cover_digest
        # Items of the subscription come before the heartbeat on the connection,
        # so a revision that has not arrived was lost.
        is_lost = heartbeat.revision > store.state.revision
        if not heartbeat.is_child or is_lost or is_damaged(reply):
            attach(address, upstream.proof_at, is_full=is_damaged(reply))

    def report() -> None:
        if upstream.address:
            spawn(tasks, report_once())

    def attach(address: str, proof_at: float, *, is_full: bool = False) -> None:
        """Subscribe to ``address``, in place of the current parent."""
        upstream.cancel()
        if upstream.address != address:
            logging.info('dissemination: subscribing to "%s".', address)
        upstream.address, upstream.proof_at = address, proof_at
        upstream.known_cover = 0
        state = store.state
        payload = encode(
            Subscription(
                daemon_id=identity.daemon_id,
                incarnation=identity.incarnation,
                revision=state.revision,
                digest=state.digest,
                is_full_wanted=is_full,
            )
        )
        marker = object()
        current[0] = marker

        def on_item(item: bytes) -> None:
            if current[0] is marker:
                take_item(address, item)

        def on_end(result) -> None:
            if current[0] is marker:
                upstream.address = ""
                upstream.cancel = lambda: None
                review()

        upstream.cancel = network.stream(
            address, MessageKind.SUBSCRIBE, payload, on_item, on_end
        )

    current: list[object] = [None]

    def take_item(address: str, item: bytes) -> None:
        decoded = decode(Update, item)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", address, decoded.err_value)
            return
        before = store.state.revision
        may_replace = is_fresh(upstream.proof_at)
        if not take_update(store, decoded.ok_value, may_replace=may_replace):
            attach(address, upstream.proof_at, is_full=True)
        elif store.state.revision != before:
            report()

    def review() -> None:
        now = clock()
        if not upstream.address or not is_fresh(upstream.proof_at):
            if not upstream.is_searching and now >= upstream.next_search:
                upstream.next_search = now + SEARCH_INTERVAL_S
                spawn(tasks, search())
        elif now >= upstream.next_return:
            upstream.next_return = now + RETURN_INTERVAL_S
            preferred = candidates().preferred
            if preferred and upstream.address not in preferred:
                spawn(tasks, return_to(preferred))

    def candidates() -> Candidates:
        return find_candidates(board, control_addresses, relays, rng)

    async def return_to(preferred: list[str]) -> None:
        for address in preferred:
            reply = await ask(address, 0)
            if reply and is_fresh(reply.proof_at):
                attach(address, reply.proof_at)
                return

    async def search() -> None:
        """Ask a few candidates at once; take the first with a fresh proof."""
        upstream.is_searching = True
        try:
            found = await ask_some(pick(candidates()))
        finally:
            upstream.is_searching = False
        if found is None or not may_take(found):
            return
        if found.address != upstream.address:
            attach(found.address, found.proof_at)

    def may_take(found: Reply) -> bool:
        # Without a proof a parent is only good for a later revision.
        return (
            is_fresh(found.proof_at)
            or not upstream.address
            or found.heartbeat.revision > store.state.revision
        )

    def pick(found: Candidates) -> list[str]:
        number = upstream.round
        upstream.round += 1
        chosen = [turn(found.preferred, number)]
        near = sum(
            record.data_centre == identity.data_centre
            for record in board.daemons.records.values()
        )
        if not found.preferred or rng.random() * near < CONTROL_ASKERS:
            chosen.append(turn(found.control, number))
        chosen.append(turn(found.peers, number))
        return list(dict.fromkeys(address for address in chosen if address))

    async def ask_some(addresses: list[str]) -> Reply | None:
        replies = []
        for asked in asyncio.as_completed([ask(a, 0) for a in addresses]):
            reply = await asked
            if reply is None:
                continue
            if is_fresh(reply.proof_at):
                return reply
            replies.append(reply)
        key = lambda reply: (reply.heartbeat.revision, reply.proof_at)
        return max(replies, key=key, default=None)

    async def ask_all() -> bool:
        addresses = all_addresses(board, control_addresses)
        best: Reply | None = None
        for start in range(0, len(addresses), ASKED_AT_ONCE):
            group = addresses[start : start + ASKED_AT_ONCE]
            for reply in await asyncio.gather(*(ask(a, 0) for a in group)):
                if reply is None or not reply.heartbeat.is_learnt:
                    continue
                if best is None or _revision(reply) > _revision(best):
                    best = reply
        if best is None:
            return False
        if _revision(best) > store.state.revision:
            attach(best.address, best.proof_at)
            # The first item of the subscription brings the revision.
            await asyncio.sleep(SEARCH_TIMEOUT_S)
        return store.state.revision >= _revision(best)

    def close() -> None:
        current[0] = None
        upstream.cancel()
        upstream.address = ""

    return Subscriber(report, review, ask_all, close, upstream)


def turn(addresses: list[str], number: int) -> str:
    """Return the address whose turn it is in round ``number``, or ""."""
    return addresses[number % len(addresses)] if addresses else ""


def _revision(reply: Reply) -> int:
    return reply.heartbeat.revision
