"""Choice of the home of a backend server."""

import hashlib
from collections.abc import Iterable

from bramleyrouter.board.sections import DaemonRecord, ServerTable
from bramleyrouter.homes.messages import Announcement
from bramleyrouter.ids import DaemonId, DataCentre, ServerId
from bramleyrouter.states import DaemonState

# Shards of a server that are looked up to find its sibling replicas; replicas
# mostly hold the same shards, so a few are enough.
MAX_SIBLING_SHARDS = 16


def _compute_hash(daemon_id: DaemonId, server_id: ServerId) -> bytes:
    text = f"{daemon_id}\0{server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _count_siblings_by_home(
    servers: ServerTable, announcement: Announcement
) -> dict[DaemonId, int]:
    """Count, by home, the other replicas of the server's shards."""
    siblings: set[ServerId] = set()
    checked_shards = 0
    for holding in announcement.holdings:
        for shard, versions in holding.shards.items():
            if checked_shards == MAX_SIBLING_SHARDS:
                break
            checked_shards += 1
            for version in versions:
                siblings.update(
                    servers.by_shard.get((holding.service, shard, version), ())
                )
    siblings.discard(announcement.server_id)
    counts: dict[DaemonId, int] = {}
    for server_id in siblings:
        if record := servers.records.get(server_id):
            counts[record.home] = counts.get(record.home, 0) + 1
    return counts


def _find_abandoned_home(
    servers: ServerTable, announcement: Announcement
) -> DaemonId | None:
    """Return the home of the server's last registration, if it left it."""
    row = servers.records.get(announcement.server_id)
    if row is None or row.incarnation != announcement.incarnation:
        return None
    return row.home if row.registration < announcement.registration else None


def filter_home_candidates(
    records: Iterable[DaemonRecord], data_centre: DataCentre
) -> list[DaemonRecord]:
    """Return the daemons of a data centre that may become homes."""
    return [
        record
        for record in records
        if record.data_centre == data_centre
        and record.state is DaemonState.ALIVE
        # Control daemons serve no homes.
        and not record.is_control
    ]


def rank_homes(
    candidates: Iterable[DaemonRecord],
    servers: ServerTable,
    announcement: Announcement,
) -> list[DaemonRecord]:
    """Order the candidates: fewest sibling replicas, then rendezvous hash.

    So the loss of one home takes at most one replica of a shard while there
    are enough daemons. A home that the server has just given up comes last:
    other daemons may reach it while the server does not.
    """
    counts = _count_siblings_by_home(servers, announcement)
    abandoned_home = _find_abandoned_home(servers, announcement)

    def sort_key(record: DaemonRecord):
        hash_value = _compute_hash(record.daemon_id, announcement.server_id)
        is_abandoned = record.daemon_id == abandoned_home
        return is_abandoned, counts.get(record.daemon_id, 0), hash_value

    return sorted(candidates, key=sort_key)
