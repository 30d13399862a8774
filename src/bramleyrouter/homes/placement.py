"""Choose the home of a backend server."""

import hashlib
from collections.abc import Iterable

from bramleyrouter.board.sections import DaemonRecord, ServerTable
from bramleyrouter.homes.messages import Announcement
from bramleyrouter.ids import DaemonId, DataCentre, ServerId
from bramleyrouter.states import DaemonState

# Number of a server's shards that are checked to find the servers that also hold them.
# Replicas mostly hold the same shards, so a few are enough.
MAX_CHECKED_SHARDS = 16


def _compute_hash(daemon_id: DaemonId, server_id: ServerId) -> bytes:
    text = f"{daemon_id}\0{server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _count_replicas_by_home(
    servers: ServerTable, announcement: Announcement
) -> dict[DaemonId, int]:
    """Count by home the other servers that hold shards of this server."""
    replica_ids: set[ServerId] = set()
    checked_shards = 0
    for holding in announcement.holdings:
        for shard, versions in holding.shards.items():
            if checked_shards == MAX_CHECKED_SHARDS:
                break
            checked_shards += 1
            for version in versions:
                replica_ids.update(
                    servers.by_shard.get((holding.service, shard, version), ())
                )
    replica_ids.discard(announcement.server_id)
    counts: dict[DaemonId, int] = {}
    for server_id in replica_ids:
        if record := servers.records.get(server_id):
            counts[record.home] = counts.get(record.home, 0) + 1
    return counts


def _find_abandoned_home(
    servers: ServerTable, announcement: Announcement
) -> DaemonId | None:
    """Return the home of the server's previous registration, or None."""
    row = servers.records.get(announcement.server_id)
    if row is None or row.incarnation != announcement.incarnation:
        return None
    return row.home if row.registration < announcement.registration else None


def filter_home_candidates(
    records: Iterable[DaemonRecord], data_centre: DataCentre
) -> list[DaemonRecord]:
    """Return the live entry daemons of a data centre, which may become homes."""
    return [
        record
        for record in records
        if record.data_centre == data_centre
        and record.state is DaemonState.ALIVE
        # Control daemons are never homes: servers can't register with them.
        and not record.is_control
    ]


def rank_homes(
    candidates: Iterable[DaemonRecord],
    servers: ServerTable,
    announcement: Announcement,
) -> list[DaemonRecord]:
    """Rank candidates by the replicas that they are home to, then by rendezvous hash.

    Candidates that are home to the fewest replicas of the server's shards come
    first, so that the loss of one home costs at most one replica of a shard if there
    are enough daemons. A home that the server has just abandoned comes last: other
    daemons may reach it although the server does not.
    """
    counts = _count_replicas_by_home(servers, announcement)
    abandoned_home = _find_abandoned_home(servers, announcement)

    def sort_key(record: DaemonRecord):
        hash_value = _compute_hash(record.daemon_id, announcement.server_id)
        is_abandoned = record.daemon_id == abandoned_home
        return is_abandoned, counts.get(record.daemon_id, 0), hash_value

    return sorted(candidates, key=sort_key)
