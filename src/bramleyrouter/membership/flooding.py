"""Push news along the relays: origin, its relays, other data centres, the rest.

Pushes may be lost; the digests in probes find what is missing.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from bramleyrouter.board import Section
from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.ids import DataCentre
from bramleyrouter.membership.messages import (
    SCOPE_ACROSS,
    SCOPE_DOWN,
    SCOPE_UP,
    Batch,
    encode,
)
from bramleyrouter.membership.relays import choose_relays, rank_by_rendezvous_hash
from bramleyrouter.membership.store import MembershipState
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Peers that news goes to while the data centre has no relay.
PEERS_WITHOUT_RELAY = 4


class Flooding(NamedTuple):
    """Bundle ``originate(batch)`` and ``pass_on(batch)``, for received news."""

    originate: Callable[[Batch], None]
    pass_on: Callable[[Batch], None]
    relays: Callable[[DataCentre], tuple[DaemonRecord, ...]]


def build_flooding(
    state: MembershipState, network: Network, rng: random.Random
) -> Flooding:
    """Return the closures that push news."""
    own = state.own.daemon_id
    own_centre = state.own.data_centre
    cache: dict[DataCentre, tuple[DaemonRecord, ...]] = {}
    cached_at = [-1]

    def relays(centre: DataCentre) -> tuple[DaemonRecord, ...]:
        version = _daemons_version(state)
        if cached_at[0] != version:
            cache.clear()
            cached_at[0] = version
        if centre not in cache:
            records = state.board.daemons.records.values()
            cache[centre] = choose_relays(centre, records)
        return cache[centre]

    def send(targets: Iterable[DaemonRecord], batch: Batch, scope: int) -> None:
        targets = [target for target in targets if target.daemon_id != own]
        if targets:
            payload = encode(msgspec.structs.replace(batch, scope=scope))
            for target in targets:
                network.send(target.internal_address, MessageKind.TABLE_DELTA, payload)

    def originate(batch: Batch) -> None:
        above = relays(own_centre)
        send(above, batch, SCOPE_UP)
        if any(relay.daemon_id == own for relay in above):
            pass_on(msgspec.structs.replace(batch, scope=SCOPE_UP))
        elif not above:
            peers = _others_in(state, own_centre, ())
            count = min(PEERS_WITHOUT_RELAY, len(peers))
            send(rng.sample(peers, count), batch, SCOPE_DOWN)

    def pass_on(batch: Batch) -> None:
        if batch.scope == SCOPE_DOWN:
            return
        names = [relay.daemon_id for relay in relays(own_centre)]
        # A relay that others chose but this daemon did not takes a full part.
        names = names if own in names else [own]
        is_mine = lambda key: rank_by_rendezvous_hash(key, names)[0] == own
        below = _others_in(state, own_centre, names)
        send((r for r in below if is_mine(r.daemon_id)), batch, SCOPE_DOWN)
        if batch.scope == SCOPE_UP:
            for centre in state.digests:
                if centre != own_centre and is_mine(centre):
                    send(relays(centre), batch, SCOPE_ACROSS)

    return Flooding(originate, pass_on, relays)


def _daemons_version(state: MembershipState) -> int:
    return state.board.versions[Section.DAEMONS]


def _others_in(state: MembershipState, centre, excluded) -> list[DaemonRecord]:
    return [
        record
        for record in state.board.daemons.records.values()
        if record.data_centre == centre
        and record.state is not DaemonState.DEAD
        and record.daemon_id != state.own.daemon_id
        and record.daemon_id not in excluded
    ]
