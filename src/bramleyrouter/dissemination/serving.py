"""The parent's side of a subscription: updates, heartbeats and reports."""

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
from bramleyrouter.dissemination.reports import Child, build_report, take_report
from bramleyrouter.dissemination.store import ConfigStore, age_ms, updates_since
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, Revision
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# A child that sent no report for this long gets no more updates; that bounds
# what is queued for a frozen one, and ends its acknowledgements.
CHILD_SILENT_S = 2.0
# More than the relays of 23 data centres and the strays around a control daemon.
MAX_CHILDREN = 256


@dataclass
class Serving:
    """Hold the children of this daemon and the last encoded update."""

    children: dict[DaemonId, Child] = field(default_factory=dict)
    cached: tuple[tuple[Revision, Revision], bytes] | None = None


class Parent(NamedTuple):
    """Bundle ``push()``, ``review()`` and ``report(known_digest)``."""

    push: Callable[[], None]
    review: Callable[[], None]
    report: Callable[[int], Report]
    serving: Serving


def build_parent(
    store: ConfigStore, network: Network, refresh: Callable[[], None]
) -> Parent:
    """Serve subscriptions and reports; return the parent's closures.

    ``refresh()`` is called before each heartbeat; at a control daemon it takes
    over what its log holds.
    """
    serving = Serving()
    identity = store.board.identity

    async def subscribe(peer, payload, send_item):
        decoded = decode(Subscription, payload)
        if isinstance(decoded, Err):
            return decoded
        asked = decoded.ok_value
        name = asked.daemon_id
        if name not in serving.children and len(serving.children) >= MAX_CHILDREN:
            text = f'"{MAX_CHILDREN}" daemons have subscribed already.'
            return Err(Failure(Code.OVERLOADED, text))
        refresh()
        ended = asyncio.get_running_loop().create_future()
        child = Child(asked.incarnation, send_item, _ender(ended), asked.revision)
        child.subtree.last_contact_at = store.clock()
        replaced = serving.children.get(name)
        serving.children[name] = child
        if replaced:
            replaced.end()
        try:
            _send_first(store, child, asked)
            await ended
        finally:
            if serving.children.get(name) is child:
                del serving.children[name]
        return Err(Failure(Code.PEER_DISCONNECTED, "The subscription has ended."))

    async def take(peer, payload):
        decoded = decode(Report, payload)
        if isinstance(decoded, Err):
            logging.error("dissemination: %s: %s", peer.address, decoded.err_value)
            return decoded
        refresh()
        report = decoded.ok_value
        child = serving.children.get(report.daemon_id)
        is_child = child is not None and child.incarnation == report.incarnation
        wants_cover = False
        if child is not None and is_child:
            wants_cover = take_report(child.subtree, report, store.clock())
        return Ok(
            encode(
                Heartbeat(
                    revision=store.state.revision,
                    digest=store.state.digest,
                    age_ms=age_ms(store),
                    is_child=is_child,
                    wants_cover=wants_cover,
                    is_learnt=store.is_learnt,
                )
            )
        )

    def push() -> None:
        for child in list(serving.children.values()):
            if child.sent < store.state.revision:
                child.send_item(_encoded_since(store, serving, child.sent))
                child.sent = store.state.revision

    def review() -> None:
        limit = store.clock() - CHILD_SILENT_S
        for child in list(serving.children.values()):
            if child.subtree.last_contact_at < limit:
                child.end()

    def report(known_digest: int) -> Report:
        return build_report(
            identity.daemon_id,
            identity.incarnation,
            store.state.revision,
            (child.subtree for child in serving.children.values()),
            known_digest,
        )

    network.serve_stream(MessageKind.SUBSCRIBE, subscribe)
    network.serve(MessageKind.CONFIRM, take)
    return Parent(push, review, report, serving)


def _ender(ended: asyncio.Future) -> Callable[[], None]:
    def end() -> None:
        if not ended.done():
            ended.set_result(None)

    return end


def _send_first(store: ConfigStore, child: Child, asked: Subscription) -> None:
    state = store.state
    is_damaged = asked.revision == state.revision and asked.digest != state.digest
    is_full = asked.is_full_wanted or is_damaged
    if is_full or asked.revision < state.revision:
        update = updates_since(store, asked.revision, is_full)
        child.send_item(encode(update))
    child.sent = max(asked.revision, state.revision)


def _encoded_since(store: ConfigStore, serving: Serving, since: Revision) -> bytes:
    """Return the update's bytes; most children are at the same revision."""
    key = (since, store.state.revision)
    if serving.cached is None or serving.cached[0] != key:
        serving.cached = key, encode(updates_since(store, since, False))
    return serving.cached[1]
