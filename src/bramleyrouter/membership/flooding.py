"""Push updates to all daemons through the relays of each data centre.

The originating daemon sends an update to the relays of its data centre. Each of them
forwards it to its share of the daemons there, and to the relays of its share of the
other data centres, which forward it to their daemons. Lost pushes are not sent again;
the digests in probes detect what is missing.
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

# Peers that receive an update directly while the data centre has no relay.
PEERS_WITHOUT_RELAY = 4


class Flooding(NamedTuple):
    """Bundle the functions that ``build_flooding`` returns.

    ``push(batch)`` sends an update of this daemon, ``forward(batch)`` passes on a
    received one, and ``relays(centre)`` returns the relays of a data centre.
    """

    push: Callable[[Batch], None]
    forward: Callable[[Batch], None]
    relays: Callable[[DataCentre], tuple[DaemonRecord, ...]]


def build_flooding(
    state: MembershipState, network: Network, rng: random.Random
) -> Flooding:
    """Return the functions that push updates."""
    own = state.own.daemon_id
    own_centre = state.own.data_centre
    cache: dict[DataCentre, tuple[DaemonRecord, ...]] = {}
    cached_version = [-1]

    def relays(centre: DataCentre) -> tuple[DaemonRecord, ...]:
        version = _get_daemons_version(state)
        if cached_version[0] != version:
            cache.clear()
            cached_version[0] = version
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

    def push(batch: Batch) -> None:
        own_relays = relays(own_centre)
        send(own_relays, batch, SCOPE_UP)
        if any(relay.daemon_id == own for relay in own_relays):
            forward(msgspec.structs.replace(batch, scope=SCOPE_UP))
        elif not own_relays:
            peers = _list_peers(state, own_centre, ())
            count = min(PEERS_WITHOUT_RELAY, len(peers))
            send(rng.sample(peers, count), batch, SCOPE_DOWN)

    def forward(batch: Batch) -> None:
        if batch.scope == SCOPE_DOWN:
            return
        relay_ids = [relay.daemon_id for relay in relays(own_centre)]
        # Others may see this daemon as a relay while it does not; it then forwards to
        # every daemon.
        relay_ids = relay_ids if own in relay_ids else [own]
        is_assigned = lambda key: rank_by_rendezvous_hash(key, relay_ids)[0] == own
        receivers = _list_peers(state, own_centre, relay_ids)
        send((r for r in receivers if is_assigned(r.daemon_id)), batch, SCOPE_DOWN)
        if batch.scope == SCOPE_UP:
            for centre in state.digests:
                if centre != own_centre and is_assigned(centre):
                    send(relays(centre), batch, SCOPE_ACROSS)

    return Flooding(push, forward, relays)


def _get_daemons_version(state: MembershipState) -> int:
    return state.board.versions[Section.DAEMONS]


def _list_peers(state: MembershipState, centre, excluded) -> list[DaemonRecord]:
    return [
        record
        for record in state.board.daemons.records.values()
        if record.data_centre == centre
        and record.state is not DaemonState.DEAD
        and record.daemon_id != state.own.daemon_id
        and record.daemon_id not in excluded
    ]
