"""Composition of the membership package."""

import asyncio
import random
from collections.abc import Callable

from absl import logging

from bramleyrouter.board import Board, Section
from bramleyrouter.dissemination.interfaces import CONFIGURATION_REASON
from bramleyrouter.membership.flooding import build_flooding
from bramleyrouter.membership.interfaces import MEMBERSHIP_REASON, Membership
from bramleyrouter.membership.messages import SCOPE_UP, Batch, encode
from bramleyrouter.membership.probing import (
    PROBE_INTERVAL_S,
    REVIEW_INTERVAL_S,
    build_probing,
)
from bramleyrouter.membership.publishing import build_publishing
from bramleyrouter.membership.records import is_dead, own_entry
from bramleyrouter.membership.store import (
    forget_old,
    open_state,
    restate,
    review_centres,
)
from bramleyrouter.membership.syncing import build_syncing
from bramleyrouter.states import DaemonState
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# A daemon that reaches no peer with complete tables for this long takes it
# that nobody has any.
SETTLING_S = 2.0
# Peers that are told of a planned end, and the longest wait for them.
GOODBYE_PEERS = 4
GOODBYE_TIMEOUT_S = 0.5


def build_membership(
    board: Board,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    clock: Callable[[], float],
    is_control: bool | None = None,
) -> Membership:
    """Return the closures of membership; writes the daemon and server sections.

    ``is_control`` says that this is a control daemon, for one whose address is
    not among ``control_addresses``.
    """
    identity = board.identity
    if is_control is None:
        is_control = identity.internal_address in control_addresses
    others = tuple(a for a in control_addresses if a != identity.internal_address)
    board.readiness.reasons.add(MEMBERSHIP_REASON)
    state = open_state(board, clock, own_entry(identity, is_control))
    tasks = BackgroundTasks("membership")
    flooding = build_flooding(state, network, rng)
    syncing = build_syncing(state, network, flooding)
    probing = build_probing(state, network, others, rng, flooding, syncing, tasks)
    publishing = build_publishing(state, flooding)
    started_at = [0.0]

    def start() -> None:
        started_at[0] = clock()
        # Spreads the work of daemons that were started together.
        delay = rng.uniform(0, PROBE_INTERVAL_S)
        spawn(tasks, run_periodically(PROBE_INTERVAL_S, probing.tick, delay))
        spawn(tasks, run_periodically(REVIEW_INTERVAL_S, review))

    def review() -> None:
        probing.review_suspicions()
        review_centres(state)
        forget_old(state)
        publishing.tick()
        settle()
        declare_alive()

    def settle() -> None:
        waited = clock() - started_at[0] >= SETTLING_S
        if waited and not probing.has_reached_settled():
            state.is_settled = True
        if state.is_settled and MEMBERSHIP_REASON in board.readiness.reasons:
            board.readiness.reasons.discard(MEMBERSHIP_REASON)
            logging.info("membership: the tables of servers are known.")
            board.notify_watchers(Section.READINESS)

    def declare_alive() -> None:
        missing = {MEMBERSHIP_REASON, CONFIGURATION_REASON} & board.readiness.reasons
        is_joining = board.daemons.records[identity.daemon_id].state
        if not missing and is_joining is DaemonState.JOINING:
            say(DaemonState.ALIVE)

    def say(daemon_state: DaemonState) -> None:
        flooding.originate(Batch(entries=(restate(state, daemon_state),)))

    def announce_leaving() -> None:
        say(DaemonState.LEAVING)

    async def leave() -> None:
        own = restate(state, DaemonState.DEAD)
        cancel_all(tasks)
        payload = encode(Batch(scope=SCOPE_UP, entries=(own,)))
        calls = (
            call_with_timeout(
                network, address, MessageKind.LEAVE, payload, GOODBYE_TIMEOUT_S
            )
            for address in _goodbye_addresses()
        )
        await asyncio.gather(*calls)

    def _goodbye_addresses() -> list[str]:
        near = list(flooding.relays(identity.data_centre))
        if any(relay.daemon_id == identity.daemon_id for relay in near):
            # The others of the data centre were served by this relay.
            for centre in list(state.digests):
                near.extend(flooding.relays(centre))
        addresses = [record.internal_address for record in near]
        peers = [
            entry.internal_address
            for entry in state.entries.values()
            if not is_dead(entry) and entry.data_centre == identity.data_centre
        ]
        addresses += rng.sample(peers, min(GOODBYE_PEERS, len(peers)))
        unique = dict.fromkeys(addresses)
        unique.pop(identity.internal_address, None)
        return list(unique)

    return Membership(
        start=start,
        publish_rows=publishing.publish_rows,
        relays=flooding.relays,
        announce_leaving=announce_leaving,
        leave=leave,
        stop=lambda: cancel_all(tasks),
    )
