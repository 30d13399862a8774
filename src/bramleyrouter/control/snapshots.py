"""Encode the replicated state for snapshots of the log.

Equal states have equal encodings: dictionaries retain the order in which commands
filled them, and derived values (digests, the heap of expiries) are left out.
"""

import heapq

import msgspec

from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.configuration import (
    Configuration,
    Publisher,
    build_config_state,
)
from bramleyrouter.control.departures import Departure, Departures
from bramleyrouter.control.digests import digest_manifest
from bramleyrouter.control.ledger import (
    Ledger,
    RecordKey,
    SubmissionRecord,
    parse_created_ms,
)
from bramleyrouter.control.limits import IDENTITY_LIFETIME_MS
from bramleyrouter.control.operator_requests import (
    OperatorRequests,
    RequestKey,
    StoredResult,
)
from bramleyrouter.control.route_tables import RouteTables
from bramleyrouter.control.state import ControlState
from bramleyrouter.control.version_rollouts import VersionRollouts
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.ids import Revision, TableVersion

SNAPSHOT_VERSION = 1


class Snapshot(msgspec.Struct, array_like=True):
    """Hold the state as stored; new fields may only be added at the end."""

    version: int
    now_ms: int
    revision: Revision
    manifest: Manifest | None
    data_centres_out: tuple[str, ...]
    servers_out: tuple[str, ...]
    publisher: Publisher | None
    results: dict[RequestKey, StoredResult]
    records: dict[RecordKey, SubmissionRecord]
    routes_version: int = 0
    routes_document: bytes = b""
    departures: tuple[Departure, ...] = ()

    def __repr__(self) -> str:
        """Return a text without the route table, which may hold keys of customers."""
        return f"Snapshot(now_ms={self.now_ms}, revision={self.revision})"


class RolloutSnapshot(Snapshot, array_like=True):
    """Hold the state of a log with rollouts.

    Without one, the snapshot has the form that earlier releases read.
    """

    rollouts_revision: int = 0
    rollouts_sequence: int = 0
    rollouts: tuple[VersionRollout, ...] = ()


def encode_snapshot(state: ControlState) -> bytes:
    """Encode the replicated state."""
    config = state.config.state
    fields = (
        SNAPSHOT_VERSION,
        state.now_ms,
        config.revision,
        config.manifest,
        config.data_centres_out,
        config.servers_out,
        state.config.publisher,
        state.requests.results,
        state.ledger.records,
        state.routes.version,
        state.routes.document,
        tuple(state.departures.by_server.values()),
    )
    rollouts = state.rollouts
    if not rollouts.revision:
        return msgspec.msgpack.encode(Snapshot(*fields))
    newest = tuple(rollouts.by_service.values())
    return msgspec.msgpack.encode(
        RolloutSnapshot(*fields, rollouts.revision, rollouts.sequence, newest)
    )


def decode_snapshot(data: bytes) -> ControlState:
    """Decode the result of ``encode_snapshot``.

    Raise ``ValueError`` for other data. The log verifies its files itself, so this
    can only be caused by a bug.
    """
    snapshot = msgspec.msgpack.decode(data, type=RolloutSnapshot)
    if snapshot.version != SNAPSHOT_VERSION:
        raise ValueError(f'Snapshot version "{snapshot.version}" is not known.')
    return ControlState(
        snapshot.now_ms,
        _restore_config(snapshot),
        _restore_requests(snapshot),
        RouteTables(TableVersion(snapshot.routes_version), snapshot.routes_document),
        _restore_ledger(snapshot),
        Departures({item.row.server_id: item for item in snapshot.departures}),
        VersionRollouts(
            snapshot.rollouts_revision,
            snapshot.rollouts_sequence,
            {item.service: item for item in snapshot.rollouts},
        ),
    )


def _restore_config(snapshot: Snapshot) -> Configuration:
    manifest_digest = digest_manifest(snapshot.manifest)
    state = build_config_state(
        snapshot.revision,
        snapshot.manifest,
        manifest_digest,
        snapshot.data_centres_out,
        snapshot.servers_out,
    )
    return Configuration(state, manifest_digest, snapshot.publisher)


def _restore_requests(snapshot: Snapshot) -> OperatorRequests:
    results = snapshot.results
    return OperatorRequests(
        results, sum(len(stored.result) for stored in results.values())
    )


def _restore_ledger(snapshot: Snapshot) -> Ledger:
    records = snapshot.records
    expiries = [
        (created_ms + IDENTITY_LIFETIME_MS, key)
        for key in records
        if (created_ms := parse_created_ms(key[1])) is not None
    ]
    heapq.heapify(expiries)
    answer_bytes = sum(len(record.answer) for record in records.values())
    return Ledger(records, expiries, answer_bytes)
