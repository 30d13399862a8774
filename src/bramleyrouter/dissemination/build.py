"""Construction of dissemination from its subscriber and publisher sides."""

import random
from collections.abc import Callable

from absl import logging
from result import Err, Ok

from bramleyrouter.board import Board, Section
from bramleyrouter.control.interfaces import ConfigSource
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
from bramleyrouter.dissemination.parent_candidates import GetRelays
from bramleyrouter.dissemination.publisher import (
    ConfigPublisher,
    build_config_publisher,
)
from bramleyrouter.dissemination.reports import Subtree, build_rollout, store_report
from bramleyrouter.dissemination.store import (
    ConfigStore,
    apply_delta,
    apply_state,
    is_stale,
    record_confirmation,
    update_staleness,
)
from bramleyrouter.dissemination.subscriber import REPORT_INTERVAL_S, build_subscriber
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

CHECK_INTERVAL_S = 0.25
# Time that a restarted daemon waits for a confirmation by control. After it, a control
# daemon adopts what its log holds; any other daemon tries to adopt the highest revision
# of all daemons that it can reach, and repeats the attempt at this interval.
CONFIRMATION_WAIT_S = 2.0
# Interval at which a control daemon fetches the reports of the other ones.
REPORT_POLL_INTERVAL_S = 1.0
REPORT_POLL_TIMEOUT_S = 0.8
# A report of another control daemon that is older than this is ignored.
MAX_REPORT_AGE_S = 3.0


def build_dissemination(
    board: Board,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    clock: Callable[[], float],
    get_relays: GetRelays,
    source: ConfigSource | None = None,
) -> Dissemination:
    """Build dissemination, which writes the blackboard's configuration section.

    ``clock`` returns the loop time in seconds. ``get_relays`` returns the
    relays of a data centre; it is a closure of ``Membership``. ``source`` is set at
    a control daemon, which is a root of the tree.
    """
    board.readiness.reasons.add(CONFIGURATION_REASON)
    store = ConfigStore(board, clock)
    tasks = BackgroundTasks("dissemination")
    if source is not None:
        return _build_root(store, network, control_addresses, source, tasks)
    publisher = build_config_publisher(store, network, lambda: None)
    subscriber = build_subscriber(
        store, network, control_addresses, get_relays, rng, publisher, tasks
    )
    next_attempt_at = [0.0]

    def start() -> None:
        next_attempt_at[0] = clock() + CONFIRMATION_WAIT_S
        delay = rng.uniform(0, REPORT_INTERVAL_S)
        spawn(
            tasks,
            run_periodically(REPORT_INTERVAL_S, subscriber.report_to_parent, delay),
        )
        spawn(tasks, run_periodically(CHECK_INTERVAL_S, run_checks))

    def run_checks() -> None:
        subscriber.ensure_fresh_parent()
        publisher.close_silent_subscriptions()
        update_staleness(store)
        if not store.is_learnt:
            update_is_learnt()

    def update_is_learnt() -> None:
        if not is_stale(store):
            _mark_learnt(store)
        elif clock() >= next_attempt_at[0]:
            next_attempt_at[0] = clock() + CONFIRMATION_WAIT_S
            spawn(tasks, learn_highest_revision())

    async def learn_highest_revision() -> None:
        if await subscriber.fetch_highest_revision() and not store.is_learnt:
            logging.warning(
                "dissemination: no control daemon confirms a revision; "
                "adopting %d, the highest among the reachable daemons.",
                store.state.revision,
            )
            _mark_learnt(store)

    def stop() -> None:
        subscriber.close()
        cancel_all(tasks)
        _close_subscriptions(publisher)

    def get_rollout() -> Rollout:
        own = publisher.build_own_report(0)
        subtrees = [child.subtree for child in publisher.state.children.values()]
        return build_rollout(own, (), subtrees, board.daemons.records.values())

    store.on_change.append(publisher.push_changes)
    return Dissemination(start, stop, get_rollout)


def _mark_learnt(store: ConfigStore) -> None:
    store.is_learnt = True
    store.board.readiness.reasons.discard(CONFIGURATION_REASON)
    logging.info(
        "dissemination: configuration learnt at revision %d.", store.state.revision
    )
    store.board.notify_watchers(Section.READINESS)


def _close_subscriptions(publisher: ConfigPublisher) -> None:
    for child in list(publisher.state.children.values()):
        child.close()


def _build_root(
    store: ConfigStore,
    network: Network,
    control_addresses: tuple[str, ...],
    source: ConfigSource,
    tasks: BackgroundTasks,
) -> Dissemination:
    board, clock = store.board, store.clock
    control_subtrees: dict[str, Subtree] = {}
    wait_ends_at = [float("inf")]

    def sync_with_log() -> None:
        """Apply what the replicated log holds, and record that it is current."""
        _apply_log_state(store, source)
        if source.is_current():
            record_confirmation(store, store.state.revision, clock())
        may_adopt_unconfirmed = clock() >= wait_ends_at[0] and store.state.revision > 0
        if not store.is_learnt and (may_adopt_unconfirmed or not is_stale(store)):
            # Without a confirmation there may be later revisions, but every revision in
            # this daemon's log was accepted, so the daemon may serve with it.
            _mark_learnt(store)

    publisher = build_config_publisher(store, network, sync_with_log)

    def start() -> None:
        wait_ends_at[0] = clock() + CONFIRMATION_WAIT_S
        source.watch(sync_with_log)
        spawn(tasks, run_periodically(CHECK_INTERVAL_S, run_checks))
        spawn(tasks, run_periodically(REPORT_POLL_INTERVAL_S, poll_control_daemons))

    def run_checks() -> None:
        sync_with_log()
        publisher.close_silent_subscriptions()
        update_staleness(store)

    def poll_control_daemons() -> None:
        for address in _list_control_addresses(store, control_addresses):
            spawn(tasks, fetch_report(address))

    async def fetch_report(address: str) -> None:
        subtree = control_subtrees.setdefault(address, Subtree())
        known_cover_digest = subtree.report.cover_digest if subtree.cover else 0
        payload = encode(RolloutRequest(cover_digest=known_cover_digest))
        result = await call_with_timeout(
            network, address, MessageKind.ROLLOUT, payload, REPORT_POLL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return
        decoded = decode(Report, result.ok_value)
        if isinstance(decoded, Ok):
            store_report(subtree, decoded.ok_value, clock())

    async def handle_rollout_request(peer, payload):
        decoded = decode(RolloutRequest, payload)
        if isinstance(decoded, Err):
            return decoded
        return Ok(encode(publisher.build_own_report(decoded.ok_value.cover_digest)))

    def get_rollout() -> Rollout:
        oldest_allowed = clock() - MAX_REPORT_AGE_S
        recent = [
            subtree
            for subtree in control_subtrees.values()
            if subtree.last_contact_at >= oldest_allowed
        ]
        subtrees = [child.subtree for child in publisher.state.children.values()]
        records = board.daemons.records.values()
        return build_rollout(publisher.build_own_report(0), recent, subtrees, records)

    def stop() -> None:
        cancel_all(tasks)
        _close_subscriptions(publisher)

    network.serve(MessageKind.ROLLOUT, handle_rollout_request)
    store.on_change.append(publisher.push_changes)
    return Dissemination(start, stop, get_rollout)


def _list_control_addresses(
    store: ConfigStore, configured: tuple[str, ...]
) -> list[str]:
    records = store.board.daemons.records.values()
    addresses = {*configured, *(r.internal_address for r in records if r.is_control)}
    addresses.discard(store.board.identity.internal_address)
    return sorted(addresses)


def _apply_log_state(store: ConfigStore, source: ConfigSource) -> None:
    state = source.state()
    if state.revision <= store.state.revision:
        return
    deltas = source.deltas_since(store.state.revision)
    if store.state.revision and deltas and all(apply_delta(store, d) for d in deltas):
        return
    apply_state(store, state)
