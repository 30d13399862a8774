"""Failure detection by probes, after SWIM (Das, Gupta, Motivala, 2002).

Each daemon probes one peer of its own data centre per interval, so its cost does not
grow with the number of daemons. A peer that neither replies nor can be reached through
helpers is suspected, and is declared dead unless it refutes the suspicion in time.
Relays also probe other data centres. These probes show whether the data centres can be
reached, and carry the digests by which lost updates are detected.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from absl import logging
from result import Err, Ok

from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.membership.flooding import Flooding
from bramleyrouter.membership.messages import Batch, Entry, Probe, decode, encode
from bramleyrouter.membership.records import get_state, get_state_number, is_dead
from bramleyrouter.membership.store import MembershipState, merge, record_contact
from bramleyrouter.membership.syncing import (
    Syncing,
    build_digests,
    find_differing_centres,
)
from bramleyrouter.states import DaemonState
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

PROBE_INTERVAL_S = 0.5
# Far above a round trip inside a data centre and below the probe interval.
PROBE_TIMEOUT_S = 0.3
# Covers a helper's own probe and one more round trip.
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_HELPERS = 2
# For probes of other data centres and of daemons that may be gone.
REMOTE_TIMEOUT_S = 1.0
# A relay probes each other data centre once within this time.
REMOTE_ROUND_S = 4.0
# Interval at which a daemon probes control daemons without a live record and daemons
# recorded as dead, so that both sides of a healed partition find each other again.
REDISCOVERY_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.25
# If the check that runs every CHECK_INTERVAL_S is late by more than this, the event
# loop was delayed, and replies may have arrived without having been handled in time.
MAX_LAG_S = 0.05
# After such a lag this daemon suspects no peer and uses no helpers for this time: on an
# overloaded VM both would add messages and thus load.
LAG_GRACE_S = 2.0


@dataclass
class ProbeState:
    """Hold the next targets and what the probes and checks have found.

    ``local`` are peers of the own data centre, ``remote`` other data centres.
    ``syncing_addresses`` are the addresses with which a repair is under way.
    ``checked_at`` and ``lagged_at`` are the loop times of the last check for expired
    suspicions and of the last one that ran late.
    ``has_reached_complete_peer`` is set once a peer with complete tables replied.
    """

    local: list[DaemonId] = field(default_factory=list)
    remote: list[DataCentre] = field(default_factory=list)
    syncing_addresses: set[str] = field(default_factory=set)
    next_rediscovery_at: float = 0.0
    checked_at: float = float("inf")
    lagged_at: float = float("-inf")
    has_reached_complete_peer: bool = False


class Probing(NamedTuple):
    """Bundle the functions that ``build_probing`` returns.

    ``send_probes()`` is to be called every ``PROBE_INTERVAL_S`` and
    ``expire_suspicions()`` every ``CHECK_INTERVAL_S``.
    """

    send_probes: Callable[[], None]
    expire_suspicions: Callable[[], None]
    has_reached_complete_peer: Callable[[], bool]


def build_probing(
    state: MembershipState,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    flooding: Flooding,
    syncing: Syncing,
    tasks: BackgroundTasks,
) -> Probing:
    """Return the functions of failure detection and answer the peers' probes."""
    probe_state = ProbeState()
    own_id, own_centre = state.own.daemon_id, state.own.data_centre

    def build_probe(receiver: Entry | None, **fields) -> bytes:
        return encode(
            Probe(
                sender=state.own,
                receiver=receiver or Entry(),
                digests=build_digests(state),
                is_settled=state.is_settled,
                **fields,
            )
        )

    def apply_probe(probe: Probe) -> None:
        updates = merge(state, Batch(entries=(probe.sender, probe.receiver)))
        if updates and any(entry.daemon_id == own_id for entry in updates.entries):
            flooding.push(Batch(entries=(state.own,)))

    async def probe(address: str, target: Entry | None, timeout_s: float):
        """Probe ``address`` and apply the reply; return it, or None."""
        sent_at = state.clock()
        payload = build_probe(target)
        response = await call_with_timeout(
            network, address, MessageKind.HEARTBEAT, payload, timeout_s
        )
        if isinstance(response, Err):
            return None
        decoded = decode(Probe, response.ok_value)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", address, decoded.err_value)
            return None
        reply = decoded.ok_value
        apply_probe(reply)
        _record_contacts(state, reply, sent_at)
        await repair(address, reply)
        return reply

    async def repair(address: str, reply: Probe) -> None:
        centres = find_differing_centres(state, reply.digests)
        if centres and address in probe_state.syncing_addresses:
            return
        is_complete = True
        if centres:
            probe_state.syncing_addresses.add(address)
            try:
                is_complete = await syncing.sync(address, centres)
            finally:
                probe_state.syncing_addresses.discard(address)
        if reply.is_settled:
            probe_state.has_reached_complete_peer = True
            if is_complete:
                state.is_settled = True

    async def check_peer(target: Entry) -> None:
        """Probe a peer directly, then through helpers; suspect it if both fail."""
        address = target.internal_address
        reply = await probe(address, target, PROBE_TIMEOUT_S)
        if reply is not None and reply.sender.daemon_id == target.daemon_id:
            return
        if (
            state.clock() - probe_state.lagged_at < LAG_GRACE_S
            or await probe_through_helpers(target)
        ):
            return
        current = state.entries.get(target.daemon_id)
        if current != target or get_state(target) is DaemonState.SUSPECT:
            return
        logging.info('membership: suspecting "%s".', target.daemon_id)
        declare_state(target, DaemonState.SUSPECT)

    async def probe_through_helpers(target: Entry) -> bool:
        peers = [
            entry
            for entry in _list_live_daemons(state, own_centre)
            if entry.daemon_id not in (own_id, target.daemon_id)
        ]
        helpers = rng.sample(peers, min(INDIRECT_HELPERS, len(peers)))
        attempts = (probe_through_helper(helper, target) for helper in helpers)
        return any(await asyncio.gather(*attempts))

    async def probe_through_helper(helper: Entry, target: Entry) -> bool:
        payload = build_probe(helper, forward_to=target.internal_address)
        response = await call_with_timeout(
            network,
            helper.internal_address,
            MessageKind.HEARTBEAT,
            payload,
            INDIRECT_TIMEOUT_S,
        )
        if isinstance(response, Err):
            return False
        decoded = decode(Probe, response.ok_value)
        return isinstance(decoded, Ok) and decoded.ok_value.is_forwarded_alive

    def declare_state(entry: Entry, daemon_state: DaemonState) -> None:
        changed = msgspec.structs.replace(entry, state=get_state_number(daemon_state))
        if updates := merge(state, Batch(entries=(changed,))):
            flooding.push(updates)

    async def handle_probe(peer, payload):
        decoded = decode(Probe, payload)
        if isinstance(decoded, Err):
            return decoded
        request = decoded.ok_value
        apply_probe(request)
        # The travel time of the probe is unknown, so contacts seem slightly more
        # recent than they are. That does no harm, and half of all contacts are
        # received in this way.
        _record_contacts(state, request, state.clock())
        is_alive = False
        if request.forward_to:
            reply = await probe(request.forward_to, None, PROBE_TIMEOUT_S)
            is_alive = reply is not None
        sender = state.entries.get(request.sender.daemon_id)
        return Ok(build_probe(sender, is_forwarded_alive=is_alive))

    def probe_local_peer() -> None:
        live = {
            entry.daemon_id: entry for entry in _list_live_daemons(state, own_centre)
        }
        live.pop(own_id, None)
        probe_state.local = [
            daemon_id for daemon_id in probe_state.local if daemon_id in live
        ]
        if not probe_state.local:
            probe_state.local = sorted(live)
            rng.shuffle(probe_state.local)
        if probe_state.local:
            spawn(tasks, check_peer(live[probe_state.local.pop()]))

    def probe_remote_centres() -> None:
        if all(r.daemon_id != own_id for r in flooding.relays(own_centre)):
            return
        centres = [c for c, digest in state.digests.items() if digest]
        centres = sorted(c for c in centres if c != own_centre)
        count = -(-len(centres) * PROBE_INTERVAL_S // REMOTE_ROUND_S)
        for _ in range(int(count)):
            if not probe_state.remote:
                probe_state.remote = list(centres)
                rng.shuffle(probe_state.remote)
            if target := _choose_remote_target(
                state, flooding, rng, probe_state.remote.pop()
            ):
                spawn(tasks, probe(target.internal_address, target, REMOTE_TIMEOUT_S))

    def probe_unreached_daemons() -> None:
        live = {e.internal_address for e in state.entries.values() if not is_dead(e)}
        is_isolated = len(live) < 2
        if state.clock() < probe_state.next_rediscovery_at and not is_isolated:
            return
        probe_state.next_rediscovery_at = state.clock() + REDISCOVERY_INTERVAL_S
        unknown_addresses = [a for a in control_addresses if a not in live]
        dead = {
            state.entries[daemon_id].internal_address for daemon_id in state.died_at
        }
        others = sorted(dead - live - set(unknown_addresses))
        chosen = (
            unknown_addresses
            if is_isolated
            else rng.sample(unknown_addresses, min(1, len(unknown_addresses)))
        )
        for address in chosen + rng.sample(others, min(1, len(others))):
            entry = _find_entry(state, address)
            spawn(tasks, probe(address, entry, REMOTE_TIMEOUT_S))

    def send_probes() -> None:
        probe_local_peer()
        probe_remote_centres()
        probe_unreached_daemons()

    def expire_suspicions() -> None:
        now = state.clock()
        lag = now - probe_state.checked_at - CHECK_INTERVAL_S
        probe_state.checked_at = now
        if lag > MAX_LAG_S:
            probe_state.lagged_at = now
        for daemon_id, due in list(state.suspicions.items()):
            if lag > MAX_LAG_S:
                # A frozen process could not receive a refutation meanwhile.
                state.suspicions[daemon_id] = due + lag
            elif due <= now:
                logging.warning('membership: "%s" is taken to be dead.', daemon_id)
                network.close_peer(state.entries[daemon_id].internal_address)
                declare_state(state.entries[daemon_id], DaemonState.DEAD)

    network.serve(MessageKind.HEARTBEAT, handle_probe)
    return Probing(
        send_probes, expire_suspicions, lambda: probe_state.has_reached_complete_peer
    )


def _record_contacts(state: MembershipState, reply: Probe, sent_at: float) -> None:
    """Record the contacts that a probe names; ages count from loop time ``sent_at``."""
    record_contact(state, reply.sender.data_centre, sent_at)
    for item in reply.digests:
        record_contact(state, item.data_centre, sent_at - item.age_ms / 1000)


def _list_live_daemons(state: MembershipState, centre: DataCentre) -> list[Entry]:
    return [
        entry
        for entry in state.entries.values()
        if entry.data_centre == centre and not is_dead(entry)
    ]


def _choose_remote_target(state, flooding, rng, centre) -> Entry | None:
    """Choose a daemon of another data centre, in three of four cases a relay.

    Relays receive every update first.
    """
    relays = [state.entries[r.daemon_id] for r in flooding.relays(centre)]
    daemons = _list_live_daemons(state, centre)
    if relays and rng.random() < 0.75:
        return rng.choice(relays)
    return rng.choice(daemons) if daemons else None


def _find_entry(state: MembershipState, address: str) -> Entry | None:
    for entry in state.entries.values():
        if entry.internal_address == address:
            return entry
    return None
