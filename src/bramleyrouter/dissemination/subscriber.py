"""Child's side of a subscription: choice of the parent, and freshness.

Every 0.5 s the daemon sends its report and receives the parent's heartbeat as the
reply. The heartbeat states the age of the confirmation of the parent's revision.
The child subtracts that age from the time at which it sent the report. The
resulting time of confirmation is never later than the true one, however long
either message was delayed or either process was frozen. This is why heartbeats are
sent only as replies: the receiver of any other message can't tell how long it was
delayed.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from absl import logging
from result import Err

from bramleyrouter.dissemination.messages import (
    NEVER_CONFIRMED,
    Heartbeat,
    Subscription,
    Update,
    decode,
    encode,
)
from bramleyrouter.dissemination.parent_candidates import (
    GetRelays,
    ParentCandidates,
    list_daemon_addresses,
    list_parent_candidates,
)
from bramleyrouter.dissemination.publisher import ConfigPublisher
from bramleyrouter.dissemination.store import (
    ConfigStore,
    apply_update,
    record_confirmation,
)
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

REPORT_INTERVAL_S = 0.5
# Shortest time between two requests for the whole state, which may be 4 MiB large. One
# that can't be applied would otherwise be sent again and again without a pause.
WHOLE_STATE_INTERVAL_S = 0.5
# Longer than the interval, so that slow replies still count; reports may overlap.
REPORT_TIMEOUT_S = 1.5
# A parent whose newest confirmation is older than this is replaced. Without faults a
# confirmation is at most two report intervals and two round trips old.
MAX_CONFIRMATION_AGE_S = 1.5
SEARCH_TIMEOUT_S = 0.5
# Shortest time between the starts of two searches for a parent.
SEARCH_INTERVAL_S = 0.5
# Interval at which a daemon with another parent tries to return to a preferred one.
PREFERRED_PARENT_INTERVAL_S = 2.0
# Average number of daemons per data centre that send a report to a control daemon when
# all search for a parent at once, as after an election. More would overload the
# control daemons.
CONTROL_SEARCHERS_PER_ROUND = 16
# Reports sent at once when all daemons are polled for the highest revision.
MAX_PARALLEL_REQUESTS = 64


@dataclass
class Upstream:
    """Hold the subscription to the parent.

    ``address`` is empty while there is no subscription. ``confirmed_at`` is the
    loop time of the newest confirmation that the parent passed on.
    ``known_cover_digest`` is the digest of the cover that the parent holds of
    this daemon, or 0 if the next report must name the cover. ``next_search_at``,
    ``next_preferred_check_at`` and ``next_whole_state_at`` are loop times;
    ``search_round`` counts the searches for a parent.
    """

    address: str = ""
    cancel: Callable[[], None] = lambda: None
    confirmed_at: float = float("-inf")
    known_cover_digest: int = 0
    is_searching: bool = False
    next_search_at: float = 0.0
    next_preferred_check_at: float = 0.0
    next_whole_state_at: float = 0.0
    search_round: int = 0


class HeartbeatReply(NamedTuple):
    """Hold a heartbeat, its sender's address and the loop time of its confirmation.

    ``cover_digest`` is that of the report to which it replies.
    """

    address: str
    heartbeat: Heartbeat
    confirmed_at: float
    cover_digest: int


class Subscriber(NamedTuple):
    """Bundle the closures of the child's side.

    ``report_to_parent()`` sends one report. ``ensure_fresh_parent()`` starts a
    search for another parent when this one's confirmation is too old or there is
    none, and a return to a preferred parent when it is due.
    ``fetch_highest_revision()`` adopts the highest revision of all reachable
    daemons; it returns false when none of them has learnt a configuration or
    that revision did not arrive.
    """

    report_to_parent: Callable[[], None]
    ensure_fresh_parent: Callable[[], None]
    fetch_highest_revision: Callable
    close: Callable[[], None]
    upstream: Upstream


def build_subscriber(
    store: ConfigStore,
    network: Network,
    control_addresses: tuple[str, ...],
    get_relays: GetRelays,
    rng: random.Random,
    publisher: ConfigPublisher,
    tasks: BackgroundTasks,
) -> Subscriber:
    """Build the closures of the child's side."""
    upstream = Upstream()
    clock, board = store.clock, store.board
    identity = board.identity

    async def send_report(
        address: str, known_cover_digest: int, timeout_s: float = SEARCH_TIMEOUT_S
    ) -> HeartbeatReply | None:
        """Send a report and return the reply; record the confirmation in it.

        With a ``known_cover_digest`` of 0 the report names its cover. Return none
        when no valid reply arrives within ``timeout_s`` seconds.
        """
        sent_at = clock()
        report = publisher.build_own_report(known_cover_digest)
        payload = encode(report)
        result = await call_with_timeout(
            network, address, MessageKind.CONFIRM, payload, timeout_s
        )
        if isinstance(result, Err):
            return None
        decoded = decode(Heartbeat, result.ok_value)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", address, decoded.err_value)
            return None
        heartbeat = decoded.ok_value
        confirmed_at = float("-inf")
        if heartbeat.age_ms != NEVER_CONFIRMED:
            confirmed_at = sent_at - heartbeat.age_ms / 1000
        reply = HeartbeatReply(address, heartbeat, confirmed_at, report.cover_digest)
        if not is_copy_damaged(reply):
            record_confirmation(store, heartbeat.revision, confirmed_at)
        return reply

    def is_copy_damaged(reply: HeartbeatReply) -> bool:
        heartbeat = reply.heartbeat
        return (
            heartbeat.revision == store.state.revision
            and heartbeat.digest != store.state.digest
        )

    def is_fresh(confirmed_at: float) -> bool:
        return clock() - confirmed_at <= MAX_CONFIRMATION_AGE_S

    async def send_report_to_parent() -> None:
        address = upstream.address
        reply = await send_report(
            address, upstream.known_cover_digest, REPORT_TIMEOUT_S
        )
        if reply is None or address != upstream.address:
            return
        heartbeat = reply.heartbeat
        upstream.confirmed_at = max(upstream.confirmed_at, reply.confirmed_at)
        upstream.known_cover_digest = 0 if heartbeat.wants_cover else reply.cover_digest
        # The parent sends updates of the subscription before the heartbeat on the
        # same connection, so an update that has not arrived by now was lost.
        is_update_lost = heartbeat.revision > store.state.revision
        if not heartbeat.is_child or is_update_lost or is_copy_damaged(reply):
            subscribe(address, upstream.confirmed_at, is_full=is_copy_damaged(reply))

    def report_to_parent() -> None:
        if upstream.address:
            spawn(tasks, send_report_to_parent())

    def subscribe(address: str, confirmed_at: float, *, is_full: bool = False) -> None:
        """Subscribe to ``address`` in place of the current parent."""
        upstream.cancel()
        if upstream.address != address:
            logging.info('dissemination: subscribing to "%s".', address)
        upstream.address, upstream.confirmed_at = address, confirmed_at
        upstream.known_cover_digest = 0
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
        # Callbacks of a replaced subscription may still be called and are ignored.
        subscription_token = object()
        active_token[0] = subscription_token

        def on_item(item: bytes) -> None:
            if active_token[0] is subscription_token:
                handle_item(address, item)

        def on_end(result) -> None:
            if active_token[0] is subscription_token:
                upstream.address = ""
                upstream.cancel = lambda: None
                ensure_fresh_parent()

        upstream.cancel = network.stream(
            address, MessageKind.SUBSCRIBE, payload, on_item, on_end
        )

    active_token: list[object] = [None]

    def handle_item(address: str, item: bytes) -> None:
        decoded = decode(Update, item)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", address, decoded.err_value)
            return
        previous_revision = store.state.revision
        may_replace = is_fresh(upstream.confirmed_at)
        if not apply_update(store, decoded.ok_value, may_replace=may_replace):
            subscribe_for_whole_state(address)
        elif store.state.revision != previous_revision:
            report_to_parent()

    def subscribe_for_whole_state(address: str) -> None:
        """Ask for the whole state, at most once per ``WHOLE_STATE_INTERVAL_S``.

        Until then the next report shows that an update is missing.
        """
        now = clock()
        if now >= upstream.next_whole_state_at:
            upstream.next_whole_state_at = now + WHOLE_STATE_INTERVAL_S
            subscribe(address, upstream.confirmed_at, is_full=True)

    def ensure_fresh_parent() -> None:
        now = clock()
        if not upstream.address or not is_fresh(upstream.confirmed_at):
            if not upstream.is_searching and now >= upstream.next_search_at:
                upstream.next_search_at = now + SEARCH_INTERVAL_S
                spawn(tasks, search_parent())
        elif now >= upstream.next_preferred_check_at:
            upstream.next_preferred_check_at = now + PREFERRED_PARENT_INTERVAL_S
            preferred = list_candidates().preferred
            if preferred and upstream.address not in preferred:
                spawn(tasks, try_preferred_parents(preferred))

    def list_candidates() -> ParentCandidates:
        return list_parent_candidates(board, control_addresses, get_relays, rng)

    async def try_preferred_parents(preferred: list[str]) -> None:
        for address in preferred:
            reply = await send_report(address, 0)
            if reply and is_fresh(reply.confirmed_at):
                subscribe(address, reply.confirmed_at)
                return

    async def search_parent() -> None:
        """Subscribe to the first of a few candidates whose confirmation is fresh."""
        upstream.is_searching = True
        try:
            reply = await request_heartbeats(select_candidates(list_candidates()))
        finally:
            upstream.is_searching = False
        if reply is None or not is_usable_parent(reply):
            return
        if reply.address != upstream.address:
            subscribe(reply.address, reply.confirmed_at)

    def is_usable_parent(reply: HeartbeatReply) -> bool:
        # A parent without a fresh confirmation is better than none, but replaces
        # another one only if it has a later revision than this daemon.
        return (
            is_fresh(reply.confirmed_at)
            or not upstream.address
            or reply.heartbeat.revision > store.state.revision
        )

    def select_candidates(candidates: ParentCandidates) -> list[str]:
        search_round = upstream.search_round
        upstream.search_round += 1
        chosen = [get_address_for_round(candidates.preferred, search_round)]
        daemons_in_data_centre = sum(
            record.data_centre == identity.data_centre
            for record in board.daemons.records.values()
        )
        if (
            not candidates.preferred
            or rng.random() * daemons_in_data_centre < CONTROL_SEARCHERS_PER_ROUND
        ):
            chosen.append(get_address_for_round(candidates.control, search_round))
        chosen.append(get_address_for_round(candidates.peers, search_round))
        return list(dict.fromkeys(address for address in chosen if address))

    async def request_heartbeats(addresses: list[str]) -> HeartbeatReply | None:
        replies = []
        for pending in asyncio.as_completed([send_report(a, 0) for a in addresses]):
            reply = await pending
            if reply is None:
                continue
            if is_fresh(reply.confirmed_at):
                return reply
            replies.append(reply)
        key = lambda reply: (reply.heartbeat.revision, reply.confirmed_at)
        return max(replies, key=key, default=None)

    async def fetch_highest_revision() -> bool:
        addresses = list_daemon_addresses(board, control_addresses)
        best: HeartbeatReply | None = None
        for start in range(0, len(addresses), MAX_PARALLEL_REQUESTS):
            batch = addresses[start : start + MAX_PARALLEL_REQUESTS]
            for reply in await asyncio.gather(*(send_report(a, 0) for a in batch)):
                if reply is None or not reply.heartbeat.is_learnt:
                    continue
                if best is None or _get_revision(reply) > _get_revision(best):
                    best = reply
        if best is None:
            return False
        if _get_revision(best) > store.state.revision:
            subscribe(best.address, best.confirmed_at)
            # The first item of the subscription contains the revision.
            await asyncio.sleep(SEARCH_TIMEOUT_S)
        return store.state.revision >= _get_revision(best)

    def close() -> None:
        active_token[0] = None
        upstream.cancel()
        upstream.address = ""

    return Subscriber(
        report_to_parent, ensure_fresh_parent, fetch_highest_revision, close, upstream
    )


def get_address_for_round(addresses: list[str], search_round: int) -> str:
    """Return the address for a round, in round-robin order; "" if there is none."""
    return addresses[search_round % len(addresses)] if addresses else ""


def _get_revision(reply: HeartbeatReply) -> int:
    return reply.heartbeat.revision
