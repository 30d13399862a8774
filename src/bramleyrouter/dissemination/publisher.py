"""Parent's side of a subscription: sends updates, replies to reports."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from absl import logging
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.dissemination.messages import (
    Heartbeat,
    Report,
    Subscription,
    decode,
    encode,
)
from bramleyrouter.dissemination.reports import Child, build_report, store_report
from bramleyrouter.dissemination.store import (
    ConfigStore,
    build_update_since,
    get_confirmation_age_ms,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, Revision
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# A child that sent no report for this long loses its subscription. This bounds what
# is queued for a frozen child, and removes its acknowledgements from the reports.
CHILD_TIMEOUT_S = 2.0
# Enough for a control daemon whose children are the relays of 23 data centres and the
# daemons that temporarily subscribe to it because they have no other parent.
MAX_CHILDREN = 256


@dataclass
class PublisherState:
    """Hold the children of this daemon and the last encoded update.

    ``cached_update`` is ((revision before, revision after), encoded update).
    """

    children: dict[DaemonId, Child] = field(default_factory=dict)
    cached_update: tuple[tuple[Revision, Revision], bytes] | None = None


class ConfigPublisher(NamedTuple):
    """Bundle the closures of the parent's side.

    ``push_changes()`` sends each child the changes that it has not been sent.
    ``close_silent_subscriptions()`` ends the subscriptions of children that sent
    no report for ``CHILD_TIMEOUT_S``. ``build_own_report(known_cover_digest)``
    returns the report of this daemon and those below it; it names its cover unless
    that digest is the digest of the same set.
    """

    push_changes: Callable[[], None]
    close_silent_subscriptions: Callable[[], None]
    build_own_report: Callable[[int], Report]
    state: PublisherState


def build_config_publisher(
    store: ConfigStore, network: Network, update_store: Callable[[], None]
) -> ConfigPublisher:
    """Serve subscriptions and reports; return the closures of the parent's side.

    ``update_store()`` is called before a subscription is accepted and before each
    heartbeat. At a control daemon it applies what the replicated log holds; at any
    other daemon it does nothing, since updates arrive from the parent.
    """
    state = PublisherState()
    identity = store.board.identity

    async def handle_subscription(peer, payload, send_item):
        decoded = decode(Subscription, payload)
        if isinstance(decoded, Err):
            return decoded
        subscription = decoded.ok_value
        daemon_id = subscription.daemon_id
        if daemon_id not in state.children and len(state.children) >= MAX_CHILDREN:
            text = f'"{MAX_CHILDREN}" daemons have subscribed already.'
            return Err(Failure(Code.OVERLOADED, text))
        update_store()
        closed = asyncio.get_running_loop().create_future()
        child = Child(
            subscription.incarnation,
            send_item,
            _build_close(closed),
            subscription.revision,
        )
        child.subtree.last_contact_at = store.clock()
        previous = state.children.get(daemon_id)
        state.children[daemon_id] = child
        if previous:
            previous.close()
        try:
            _send_initial_update(store, child, subscription)
            await closed
        finally:
            if state.children.get(daemon_id) is child:
                del state.children[daemon_id]
        return Err(Failure(Code.PEER_DISCONNECTED, "The subscription has ended."))

    async def handle_report(peer, payload):
        decoded = decode(Report, payload)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", peer.address, decoded.err_value)
            return decoded
        update_store()
        report = decoded.ok_value
        child = state.children.get(report.daemon_id)
        is_child = child is not None and child.incarnation == report.incarnation
        wants_cover = False
        if child is not None and is_child:
            wants_cover = store_report(child.subtree, report, store.clock())
        return Ok(
            encode(
                Heartbeat(
                    revision=store.state.revision,
                    digest=store.state.digest,
                    age_ms=get_confirmation_age_ms(store),
                    is_child=is_child,
                    wants_cover=wants_cover,
                    is_learnt=store.is_learnt,
                )
            )
        )

    def push_changes() -> None:
        for child in list(state.children.values()):
            if child.sent_revision < store.state.revision:
                child.send_item(_encode_update_since(store, state, child.sent_revision))
                child.sent_revision = store.state.revision

    def close_silent_subscriptions() -> None:
        oldest_allowed = store.clock() - CHILD_TIMEOUT_S
        for child in list(state.children.values()):
            if child.subtree.last_contact_at < oldest_allowed:
                child.close()

    def build_own_report(known_cover_digest: int) -> Report:
        return build_report(
            identity.daemon_id,
            identity.incarnation,
            store.state.revision,
            (child.subtree for child in state.children.values()),
            known_cover_digest,
        )

    network.serve_stream(MessageKind.SUBSCRIBE, handle_subscription)
    network.serve(MessageKind.CONFIRM, handle_report)
    return ConfigPublisher(
        push_changes, close_silent_subscriptions, build_own_report, state
    )


def _build_close(closed: asyncio.Future) -> Callable[[], None]:
    def close() -> None:
        if not closed.done():
            closed.set_result(None)

    return close


def _send_initial_update(
    store: ConfigStore, child: Child, subscription: Subscription
) -> None:
    config = store.state
    is_copy_damaged = (
        subscription.revision == config.revision
        and subscription.digest != config.digest
    )
    is_full = subscription.is_full_wanted or is_copy_damaged
    if is_full or subscription.revision < config.revision:
        update = build_update_since(store, subscription.revision, is_full)
        child.send_item(encode(update))
    child.sent_revision = max(subscription.revision, config.revision)


def _encode_update_since(
    store: ConfigStore, state: PublisherState, revision: Revision
) -> bytes:
    """Return the encoded update from ``revision`` to the current one.

    The last update is cached, since most children are at the same revision.
    """
    key = (revision, store.state.revision)
    if state.cached_update is None or state.cached_update[0] != key:
        state.cached_update = key, encode(build_update_since(store, revision, False))
    return state.cached_update[1]
