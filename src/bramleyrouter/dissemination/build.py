"""Composition of the dissemination package."""

import random
from collections.abc import Callable

from absl import logging
from result import Err, Ok

from bramleyrouter.board import Board, Section
from bramleyrouter.control.interfaces import ConfigSource
from bramleyrouter.dissemination.candidates import Relays
from bramleyrouter.dissemination.interfaces import (
    CONFIGURATION_REASON,
    Dissemination,
    Rollout,
)
from bramleyrouter.dissemination.messages import (
    Report,
    RolloutRequest,
    decode,
    encode,
)
from bramleyrouter.dissemination.reports import Subtree, build_rollout, take_report
from bramleyrouter.dissemination.serving import Parent, build_parent
from bramleyrouter.dissemination.store import (
    ConfigStore,
    is_stale,
    note_proof,
    review_staleness,
    take_delta,
    take_state,
)
from bramleyrouter.dissemination.subscribing import REPORT_INTERVAL_S, build_subscriber
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

REVIEW_INTERVAL_S = 0.25
# Time that a restarted daemon waits for a proof from control before it takes
# the highest revision of everyone in reach, and between its attempts.
SETTLING_S = 2.0
# Control daemons exchange their reports at this interval.
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 0.8
# A report of another control daemon counts for this long.
EXCHANGE_VALID_S = 3.0


def build_dissemination(
    board: Board,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    clock: Callable[[], float],
    relays: Relays,
    source: ConfigSource | None = None,
) -> Dissemination:
    """Return the closures of dissemination; writes the configuration section.

    ``relays`` is the closure of ``Membership``. ``source`` is set at a control
    daemon, which is a root of the tree.
    """
    board.readiness.reasons.add(CONFIGURATION_REASON)
    store = ConfigStore(board, clock)
    tasks = BackgroundTasks("dissemination")
    if source is not None:
        return _build_root(store, network, control_addresses, source, tasks)
    parent = build_parent(store, network, lambda: None)
    subscriber = build_subscriber(
        store, network, control_addresses, relays, rng, parent, tasks
    )
    next_attempt = [0.0]

    def start() -> None:
        next_attempt[0] = clock() + SETTLING_S
        delay = rng.uniform(0, REPORT_INTERVAL_S)
        spawn(tasks, run_periodically(REPORT_INTERVAL_S, subscriber.report, delay))
        spawn(tasks, run_periodically(REVIEW_INTERVAL_S, review))

    def review() -> None:
        subscriber.review()
        parent.review()
        review_staleness(store)
        if not store.is_learnt:
            learn()

    def learn() -> None:
        if not is_stale(store):
            _be_learnt(store)
        elif clock() >= next_attempt[0]:
            next_attempt[0] = clock() + SETTLING_S
            spawn(tasks, learn_from_all())

    async def learn_from_all() -> None:
        if await subscriber.ask_all() and not store.is_learnt:
            logging.warning(
                "dissemination: no control daemon confirms a revision; "
                "taking %d, the highest in reach.",
                store.state.revision,
            )
            _be_learnt(store)

    def stop() -> None:
        subscriber.close()
        cancel_all(tasks)
        _end_children(parent)

    def rollout() -> Rollout:
        own = parent.report(0)
        subtrees = [child.subtree for child in parent.serving.children.values()]
        return build_rollout(own, (), subtrees, board.daemons.records.values())

    store.on_change.append(parent.push)
    return Dissemination(start, stop, rollout)


def _be_learnt(store: ConfigStore) -> None:
    store.is_learnt = True
    store.board.readiness.reasons.discard(CONFIGURATION_REASON)
    logging.info("dissemination: revision %d is learnt.", store.state.revision)
    store.board.notify_watchers(Section.READINESS)


def _end_children(parent: Parent) -> None:
    for child in list(parent.serving.children.values()):
        child.end()


def _build_root(
    store: ConfigStore,
    network: Network,
    control_addresses: tuple[str, ...],
    source: ConfigSource,
    tasks: BackgroundTasks,
) -> Dissemination:
    board, clock = store.board, store.clock
    others: dict[str, Subtree] = {}
    settled_at = [float("inf")]

    def refresh() -> None:
        """Take over what the log holds, and that it is current."""
        _take_over(store, source)
        if source.is_current():
            note_proof(store, store.state.revision, clock())
        has_settled = clock() >= settled_at[0] and store.state.revision > 0
        if not store.is_learnt and (has_settled or not is_stale(store)):
            # Without a proof, what its disk holds is still an accepted state.
            _be_learnt(store)

    parent = build_parent(store, network, refresh)

    def start() -> None:
        settled_at[0] = clock() + SETTLING_S
        source.watch(refresh)
        spawn(tasks, run_periodically(REVIEW_INTERVAL_S, review))
        spawn(tasks, run_periodically(EXCHANGE_INTERVAL_S, exchange))

    def review() -> None:
        refresh()
        parent.review()
        review_staleness(store)

    def exchange() -> None:
        for address in _control_daemons(store, control_addresses):
            spawn(tasks, fetch_report(address))

    async def fetch_report(address: str) -> None:
        subtree = others.setdefault(address, Subtree())
        known = subtree.report.cover_digest if subtree.cover else 0
        payload = encode(RolloutRequest(cover_digest=known))
        answered = await call_with_timeout(
            network, address, MessageKind.ROLLOUT, payload, EXCHANGE_TIMEOUT_S
        )
        if isinstance(answered, Err):
            return
        decoded = decode(Report, answered.ok_value)
        if isinstance(decoded, Ok):
            take_report(subtree, decoded.ok_value, clock())

    async def answer(peer, payload):
        decoded = decode(RolloutRequest, payload)
        if isinstance(decoded, Err):
            return decoded
        return Ok(encode(parent.report(decoded.ok_value.cover_digest)))

    def rollout() -> Rollout:
        limit = clock() - EXCHANGE_VALID_S
        recent = [tree for tree in others.values() if tree.last_contact_at >= limit]
        subtrees = [child.subtree for child in parent.serving.children.values()]
        records = board.daemons.records.values()
        return build_rollout(parent.report(0), recent, subtrees, records)

    def stop() -> None:
        cancel_all(tasks)
        _end_children(parent)

    network.serve(MessageKind.ROLLOUT, answer)
    store.on_change.append(parent.push)
    return Dissemination(start, stop, rollout)


def _control_daemons(store: ConfigStore, configured: tuple[str, ...]) -> list[str]:
    records = store.board.daemons.records.values()
    found = {*configured, *(r.internal_address for r in records if r.is_control)}
    found.discard(store.board.identity.internal_address)
    return sorted(found)


def _take_over(store: ConfigStore, source: ConfigSource) -> None:
    state = source.state()
    if state.revision <= store.state.revision:
        return
    deltas = source.deltas_since(store.state.revision)
    if store.state.revision and deltas and all(take_delta(store, d) for d in deltas):
        return
    take_state(store, state)
