"""Daemons to which a daemon may subscribe, its parent candidates."""

import random
from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.board import Board
from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.ids import DataCentre
from bramleyrouter.membership.relays import rank_by_rendezvous_hash
from bramleyrouter.states import DaemonState

GetRelays = Callable[[DataCentre], tuple[DaemonRecord, ...]]


class ParentCandidates(NamedTuple):
    """List addresses of possible parents.

    ``preferred`` are the parents that the tree assigns to this daemon, the best
    first: the relays of its own data centre or, for a relay, the control daemons.
    ``control`` are all control daemons, the best first. ``peers`` are entry
    daemons of its own data centre and relays of the other data centres, in
    random order.
    """

    preferred: list[str]
    control: list[str]
    peers: list[str]


def list_parent_candidates(
    board: Board,
    control_addresses: tuple[str, ...],
    get_relays: GetRelays,
    rng: random.Random,
) -> ParentCandidates:
    """Return the parent candidates among the current members."""
    own = board.identity
    records = [
        record
        for record in board.daemons.records.values()
        if record.state is not DaemonState.DEAD and record.daemon_id != own.daemon_id
    ]
    control = set(control_addresses)
    control.update(r.internal_address for r in records if r.is_control)
    control.discard(own.internal_address)
    ranked_control = rank_by_rendezvous_hash(own.daemon_id, control)
    local_relays = get_relays(own.data_centre)
    local_relay_addresses = [
        r.internal_address for r in local_relays if r.daemon_id != own.daemon_id
    ]
    is_relay = len(local_relay_addresses) < len(local_relays)
    preferred = rank_by_rendezvous_hash(own.daemon_id, local_relay_addresses)
    if is_relay or not preferred:
        preferred = ranked_control
    peers = [
        record.internal_address
        for record in records
        if not record.is_control and record.data_centre == own.data_centre
    ]
    for centre in {record.data_centre for record in records} - {own.data_centre}:
        peers.extend(relay.internal_address for relay in get_relays(centre))
    peers = sorted(set(peers))
    rng.shuffle(peers)
    return ParentCandidates(preferred, ranked_control, peers)


def list_daemon_addresses(
    board: Board, control_addresses: tuple[str, ...]
) -> list[str]:
    """Return the addresses of all daemons that may hold a configuration, sorted."""
    addresses = set(control_addresses)
    addresses.update(
        record.internal_address
        for record in board.daemons.records.values()
        if record.state is not DaemonState.DEAD
    )
    addresses.discard(board.identity.internal_address)
    return sorted(addresses)
