"""Whom a daemon may take as its parent, the best first."""

import random
from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.board import Board
from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.ids import DataCentre
from bramleyrouter.membership.relays import rank_by_rendezvous_hash
from bramleyrouter.states import DaemonState

Relays = Callable[[DataCentre], tuple[DaemonRecord, ...]]


class Candidates(NamedTuple):
    """List addresses; ``preferred`` is where the tree puts this daemon."""

    preferred: list[str]
    control: list[str]
    peers: list[str]


def find_candidates(
    board: Board, control_addresses: tuple[str, ...], relays: Relays, rng: random.Random
) -> Candidates:
    """Return the candidates as membership sees them now."""
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
    near = relays(own.data_centre)
    others = [r.internal_address for r in near if r.daemon_id != own.daemon_id]
    is_relay = len(others) < len(near)
    preferred = rank_by_rendezvous_hash(own.daemon_id, others)
    if is_relay or not preferred:
        preferred = ranked_control
    peers = [
        record.internal_address
        for record in records
        if not record.is_control and record.data_centre == own.data_centre
    ]
    for centre in {record.data_centre for record in records} - {own.data_centre}:
        peers.extend(relay.internal_address for relay in relays(centre))
    peers = sorted(set(peers))
    rng.shuffle(peers)
    return Candidates(preferred, ranked_control, peers)


def all_addresses(board: Board, control_addresses: tuple[str, ...]) -> list[str]:
    """Return the addresses of everyone who may hold a configuration."""
    found = set(control_addresses)
    found.update(
        record.internal_address
        for record in board.daemons.records.values()
        if record.state is not DaemonState.DEAD
    )
    found.discard(board.identity.internal_address)
    return sorted(found)
