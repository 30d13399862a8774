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
    CHECK_INTERVAL_S,
    PROBE_INTERVAL_S,
    build_probing,
)
from bramleyrouter.membership.publishing import build_publishing
from bramleyrouter.membership.records import build_own_entry, is_dead
from bramleyrouter.membership.store import (
    build_membership_state,
    expire_dead_daemons,
    update_centre_reachability,
    update_own_entry,
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

# A daemon that has reached no peer with complete tables after this time treats its own
# as complete, since probably no daemon has complete ones.
JOIN_TIMEOUT_S = 2.0
# Random peers that receive the leave message at a planned stop, in addition to relays,
# and the longest wait for the replies.
LEAVE_PEERS = 4
LEAVE_TIMEOUT_S = 0.5


def build_membership(
    board: Board,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    clock: Callable[[], float],
    is_control: bool | None = None,
) -> Membership:
    """Return the functions of membership, which write two blackboard sections.

    These are the sections of daemons and of servers. ``is_control`` says whether
    this is a control daemon; without it, the daemon is one if its address is among
    ``control_addresses``.
    """
    identity = board.identity
    if is_control is None:
        is_control = identity.internal_address in control_addresses
    others = tuple(a for a in control_addresses if a != identity.internal_address)
    board.readiness.reasons.add(MEMBERSHIP_REASON)
    state = build_membership_state(board, clock, build_own_entry(identity, is_control))
    tasks = BackgroundTasks("membership")
    flooding = build_flooding(state, network, rng)
    syncing = build_syncing(state, network, flooding)
    probing = build_probing(state, network, others, rng, flooding, syncing, tasks)
    publishing = build_publishing(state, flooding)
    started_at = [0.0]

    def start() -> None:
        started_at[0] = clock()
        # Spreads the probes of daemons that were started together.
        delay = rng.uniform(0, PROBE_INTERVAL_S)
        spawn(tasks, run_periodically(PROBE_INTERVAL_S, probing.send_probes, delay))
        spawn(tasks, run_periodically(CHECK_INTERVAL_S, run_checks))

    def run_checks() -> None:
        probing.expire_suspicions()
        update_centre_reachability(state)
        expire_dead_daemons(state)
        publishing.send_due_changes()
        finish_joining()
        declare_alive()

    def finish_joining() -> None:
        has_timed_out = clock() - started_at[0] >= JOIN_TIMEOUT_S
        if has_timed_out and not probing.has_reached_complete_peer():
            state.is_settled = True
        if state.is_settled and MEMBERSHIP_REASON in board.readiness.reasons:
            board.readiness.reasons.discard(MEMBERSHIP_REASON)
            logging.info("membership: the tables of servers are known.")
            board.notify_watchers(Section.READINESS)

    def declare_alive() -> None:
        pending = {MEMBERSHIP_REASON, CONFIGURATION_REASON} & board.readiness.reasons
        own_state = board.daemons.records[identity.daemon_id].state
        if not pending and own_state is DaemonState.JOINING:
            send_own_state(DaemonState.ALIVE)

    def send_own_state(daemon_state: DaemonState) -> None:
        flooding.push(Batch(entries=(update_own_entry(state, daemon_state),)))

    def announce_leaving() -> None:
        send_own_state(DaemonState.LEAVING)

    async def leave() -> None:
        own = update_own_entry(state, DaemonState.DEAD)
        cancel_all(tasks)
        payload = encode(Batch(scope=SCOPE_UP, entries=(own,)))
        calls = (
            call_with_timeout(
                network, address, MessageKind.LEAVE, payload, LEAVE_TIMEOUT_S
            )
            for address in _choose_leave_recipients()
        )
        await asyncio.gather(*calls)

    def _choose_leave_recipients() -> list[str]:
        recipients = list(flooding.relays(identity.data_centre))
        if any(relay.daemon_id == identity.daemon_id for relay in recipients):
            # As a relay this daemon forwards nothing any more, so the relays of all
            # data centres receive the message directly.
            for centre in list(state.digests):
                recipients.extend(flooding.relays(centre))
        addresses = [record.internal_address for record in recipients]
        peers = [
            entry.internal_address
            for entry in state.entries.values()
            if not is_dead(entry) and entry.data_centre == identity.data_centre
        ]
        addresses += rng.sample(peers, min(LEAVE_PEERS, len(peers)))
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
