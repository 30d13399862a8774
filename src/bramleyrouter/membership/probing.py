"""Failure detection by probes, after SWIM (Das, Gupta, Motivala, 2002).

Each daemon probes one peer of its own data centre per interval, so its cost
does not grow with the number of daemons. A peer that neither answers nor can
be reached by helpers is suspected, and is declared dead unless it refutes the
suspicion. Relays also probe other data centres, which tells whether those can
be reached and carries the digests that repair losses.
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
from bramleyrouter.membership.records import is_dead, state_number, state_of
from bramleyrouter.membership.store import MembershipState, merge, note_heard
from bramleyrouter.membership.syncing import Syncing, differing_centres, own_digests
from bramleyrouter.states import DaemonState
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

PROBE_INTERVAL_S = 0.5
# Far above a round trip inside a data centre, below the interval.
PROBE_TIMEOUT_S = 0.3
# Covers a helper's own probe and two more trips.
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_HELPERS = 2
# Between data centres, and to peers that may be gone.
FAR_TIMEOUT_S = 1.0
# A relay probes each other data centre once in this time.
FAR_ROUND_S = 4.0
# Interval at which a daemon tries control daemons and peers it holds dead, so
# that both sides of a healed partition find each other again.
OUTREACH_INTERVAL_S = 2.0
REVIEW_INTERVAL_S = 0.25
# A loop that turns this much late may have missed replies that had arrived.
LAG_S = 0.05
# After that this daemon suspects nobody and asks no helpers for this long: on an
# overloaded VM both would bring more messages and so more load.
LAG_HOLD_S = 2.0


@dataclass
class ProbeQueues:
    """Hold whom to probe next, in the own and in other data centres."""

    near: list[DaemonId] = field(default_factory=list)
    far: list[DataCentre] = field(default_factory=list)
    syncing: set[str] = field(default_factory=set)
    next_outreach: float = 0.0
    reviewed_at: float = float("inf")
    lagged_at: float = float("-inf")
    has_reached_settled: bool = False


class Probing(NamedTuple):
    """Bundle ``tick()``, called every interval, and ``review_suspicions()``."""

    tick: Callable[[], None]
    review_suspicions: Callable[[], None]
    has_reached_settled: Callable[[], bool]


def build_probing(
    state: MembershipState,
    network: Network,
    control_addresses: tuple[str, ...],
    rng: random.Random,
    flooding: Flooding,
    syncing: Syncing,
    tasks: BackgroundTasks,
) -> Probing:
    """Return the closures of failure detection and serve the peers' probes."""
    queues = ProbeQueues()
    own_name, own_centre = state.own.daemon_id, state.own.data_centre

    def message(receiver: Entry | None, **fields) -> bytes:
        return encode(
            Probe(
                sender=state.own,
                receiver=receiver or Entry(),
                digests=own_digests(state),
                is_settled=state.is_settled,
                **fields,
            )
        )

    def learn(probe: Probe) -> None:
        news = merge(state, Batch(entries=(probe.sender, probe.receiver)))
        if news and any(entry.daemon_id == own_name for entry in news.entries):
            flooding.originate(Batch(entries=(state.own,)))

    async def probe(address: str, target: Entry | None, timeout_s: float):
        """Return the reply of the daemon at ``address``, or None."""
        sent = state.clock()
        payload = message(target)
        answered = await call_with_timeout(
            network, address, MessageKind.HEARTBEAT, payload, timeout_s
        )
        if isinstance(answered, Err):
            return None
        decoded = decode(Probe, answered.ok_value)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", address, decoded.err_value)
            return None
        reply = decoded.ok_value
        learn(reply)
        _note_ages(state, reply, sent)
        await repair(address, reply)
        return reply

    async def repair(address: str, reply: Probe) -> None:
        centres = differing_centres(state, reply.digests)
        if centres and address in queues.syncing:
            return
        is_complete = True
        if centres:
            queues.syncing.add(address)
            try:
                is_complete = await syncing.sync(address, centres)
            finally:
                queues.syncing.discard(address)
        if reply.is_settled:
            queues.has_reached_settled = True
            if is_complete:
                state.is_settled = True

    async def examine(target: Entry) -> None:
        """Probe a peer, directly and through helpers; suspect it if both fail."""
        address = target.internal_address
        reply = await probe(address, target, PROBE_TIMEOUT_S)
        if reply is not None and reply.sender.daemon_id == target.daemon_id:
            return
        if state.clock() - queues.lagged_at < LAG_HOLD_S or await ask_helpers(target):
            return
        current = state.entries.get(target.daemon_id)
        if current != target or state_of(target) is DaemonState.SUSPECT:
            return
        logging.info('membership: suspecting "%s".', target.daemon_id)
        give_verdict(target, DaemonState.SUSPECT)

    async def ask_helpers(target: Entry) -> bool:
        peers = [
            entry
            for entry in _live_in(state, own_centre)
            if entry.daemon_id not in (own_name, target.daemon_id)
        ]
        helpers = rng.sample(peers, min(INDIRECT_HELPERS, len(peers)))
        asked = (forwarded(helper, target) for helper in helpers)
        return any(await asyncio.gather(*asked))

    async def forwarded(helper: Entry, target: Entry) -> bool:
        payload = message(helper, forward_to=target.internal_address)
        answered = await call_with_timeout(
            network,
            helper.internal_address,
            MessageKind.HEARTBEAT,
            payload,
            INDIRECT_TIMEOUT_S,
        )
        if isinstance(answered, Err):
            return False
        decoded = decode(Probe, answered.ok_value)
        return isinstance(decoded, Ok) and decoded.ok_value.is_forwarded_alive

    def give_verdict(entry: Entry, verdict: DaemonState) -> None:
        changed = msgspec.structs.replace(entry, state=state_number(verdict))
        if news := merge(state, Batch(entries=(changed,))):
            flooding.originate(news)

    async def answer_probe(peer, payload):
        decoded = decode(Probe, payload)
        if isinstance(decoded, Err):
            return decoded
        asked = decoded.ok_value
        learn(asked)
        # How long the probe took is not known here; a data centre that looks a
        # little younger does no harm, and half of all news comes this way.
        _note_ages(state, asked, state.clock())
        is_alive = False
        if asked.forward_to:
            reply = await probe(asked.forward_to, None, PROBE_TIMEOUT_S)
            is_alive = reply is not None
        sender = state.entries.get(asked.sender.daemon_id)
        return Ok(message(sender, is_forwarded_alive=is_alive))

    def probe_near() -> None:
        live = {entry.daemon_id: entry for entry in _live_in(state, own_centre)}
        live.pop(own_name, None)
        queues.near = [name for name in queues.near if name in live]
        if not queues.near:
            queues.near = sorted(live)
            rng.shuffle(queues.near)
        if queues.near:
            spawn(tasks, examine(live[queues.near.pop()]))

    def probe_far() -> None:
        if all(r.daemon_id != own_name for r in flooding.relays(own_centre)):
            return
        centres = [c for c, digest in state.digests.items() if digest]
        centres = sorted(c for c in centres if c != own_centre)
        count = -(-len(centres) * PROBE_INTERVAL_S // FAR_ROUND_S)
        for _ in range(int(count)):
            if not queues.far:
                queues.far = list(centres)
                rng.shuffle(queues.far)
            if target := _pick_far(state, flooding, rng, queues.far.pop()):
                spawn(tasks, probe(target.internal_address, target, FAR_TIMEOUT_S))

    def reach_out() -> None:
        live = {e.internal_address for e in state.entries.values() if not is_dead(e)}
        is_alone = len(live) < 2
        if state.clock() < queues.next_outreach and not is_alone:
            return
        queues.next_outreach = state.clock() + OUTREACH_INTERVAL_S
        strangers = [a for a in control_addresses if a not in live]
        dead = {state.entries[name].internal_address for name in state.died_at}
        others = sorted(dead - live - set(strangers))
        chosen = (
            strangers if is_alone else rng.sample(strangers, min(1, len(strangers)))
        )
        for address in chosen + rng.sample(others, min(1, len(others))):
            entry = _entry_at(state, address)
            spawn(tasks, probe(address, entry, FAR_TIMEOUT_S))

    def tick() -> None:
        probe_near()
        probe_far()
        reach_out()

    def review_suspicions() -> None:
        now = state.clock()
        lag = now - queues.reviewed_at - REVIEW_INTERVAL_S
        queues.reviewed_at = now
        if lag > LAG_S:
            queues.lagged_at = now
        for name, due in list(state.suspicions.items()):
            if lag > LAG_S:
                # A process that was frozen has heard no refutations meanwhile.
                state.suspicions[name] = due + lag
            elif due <= now:
                logging.warning('membership: "%s" is taken to be dead.', name)
                network.close_peer(state.entries[name].internal_address)
                give_verdict(state.entries[name], DaemonState.DEAD)

    network.serve(MessageKind.HEARTBEAT, answer_probe)
    return Probing(tick, review_suspicions, lambda: queues.has_reached_settled)


def _note_ages(state: MembershipState, reply: Probe, sent: float) -> None:
    """Note signs of life; their ages count from loop time ``sent``."""
    note_heard(state, reply.sender.data_centre, sent)
    for item in reply.digests:
        note_heard(state, item.data_centre, sent - item.age_ms / 1000)


def _live_in(state: MembershipState, centre: DataCentre) -> list[Entry]:
    return [
        entry
        for entry in state.entries.values()
        if entry.data_centre == centre and not is_dead(entry)
    ]


def _pick_far(state, flooding, rng, centre) -> Entry | None:
    """Return a daemon of another data centre; mostly a relay, which knows most."""
    relays = [state.entries[r.daemon_id] for r in flooding.relays(centre)]
    members = _live_in(state, centre)
    if relays and rng.random() < 0.75:
        return rng.choice(relays)
    return rng.choice(members) if members else None


def _entry_at(state: MembershipState, address: str) -> Entry | None:
    for entry in state.entries.values():
        if entry.internal_address == address:
            return entry
    return None
