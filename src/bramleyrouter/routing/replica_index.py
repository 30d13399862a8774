"""Index of the usable replicas, updated when the blackboard changes.

A change of the server table costs one pass over the table; a query costs one
dictionary look-up per shard. Filtering the holders of each shard in each query
would repeat the checks 2.6 million times a second for changes that happen a few
times a second.
"""

import asyncio
import itertools
import operator
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import ServerLoad, ServerRecord, ServiceSpec
from bramleyrouter.ids import DataCentre, IndexVersion, ServerId, ServiceName, ShardName
from bramleyrouter.routing.messages import ShardKey
from bramleyrouter.states import ServerState

# Largest share of processor time for passes over the server table. A pass takes
# far less than a millisecond for a small table, and milliseconds for 57,000
# servers; changes that follow each other closely then share one pass.
MAX_REFRESH_SHARE = 0.05


@dataclass(slots=True, eq=False)
class ReplicaView:
    """Hold the state of one server that replica choice depends on.

    ``capacity`` is slots times headroom. ``others_in_flight`` is the number of
    requests of other daemons that the home reported at loop time
    ``hint_received_at``. The server counts as full until ``backoff_until``, which
    is set when it refused or failed a request. ``chosen_at`` is the loop time at
    which this daemon last chose it. ``is_indexed`` is true while the server is
    among the holders in the index.
    """

    record: ServerRecord
    load: ServerLoad
    is_in_own_data_centre: bool
    capacity: float
    is_indexed: bool = False
    others_in_flight: int = 0
    hint_received_at: float = float("-inf")
    backoff_until: float = float("-inf")
    chosen_at: float = float("-inf")


Holders = dict[ShardName, list[ReplicaView]]


@dataclass
class ReplicaIndex:
    """Hold the views by server, and the usable servers by service and version.

    ``applied_records`` has the records as last applied, in the order of the
    table. ``covered`` counts, by service and version, the shards of the manifest
    that at least one usable server holds. ``shard_keys`` has the shards of the
    manifest.
    """

    own_data_centre: DataCentre
    views: dict[ServerId, ReplicaView] = field(default_factory=dict)
    applied_records: list[ServerRecord] = field(default_factory=list)
    holders: dict[tuple[ServiceName, IndexVersion], Holders] = field(
        default_factory=dict
    )
    covered: dict[tuple[ServiceName, IndexVersion], int] = field(default_factory=dict)
    specs: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    shard_keys: dict[ServiceName, dict[ShardName, ShardKey]] = field(
        default_factory=dict
    )


def build_replica_index(board: Board, clock: Callable[[], float]) -> ReplicaIndex:
    """Return an index that is updated when servers or configuration change."""
    index = ReplicaIndex(board.identity.data_centre)
    taken_out = (board.config.data_centres_out, board.config.servers_out)

    def refresh() -> None:
        refresh_servers(index, board)

    refresh_throttled = throttle(refresh, clock)

    def handle_config_change() -> None:
        nonlocal taken_out
        refresh_specs(index, board.config.services)
        new_taken_out = (board.config.data_centres_out, board.config.servers_out)
        if new_taken_out != taken_out:
            taken_out = new_taken_out
            refresh_servers(index, board, apply_all=True)

    handle_config_change()
    refresh()
    board.watch(Section.SERVERS, refresh_throttled)
    board.watch(Section.CONFIG, handle_config_change)
    return index


def throttle(
    action: Callable[[], None], clock: Callable[[], float]
) -> Callable[[], None]:
    """Return a closure that limits ``action`` to MAX_REFRESH_SHARE of the time.

    After each run there is a pause in proportion to its duration. A call during
    the pause schedules one run at its end, which serves all calls until then.
    """
    ready_at, is_scheduled = float("-inf"), False

    def run_action() -> None:
        nonlocal ready_at, is_scheduled
        is_scheduled = False
        started = clock()
        action()
        ended = clock()
        ready_at = ended + (ended - started) / MAX_REFRESH_SHARE

    def request_run() -> None:
        nonlocal is_scheduled
        wait_s = ready_at - clock()
        if wait_s <= 0:
            run_action()
        elif not is_scheduled:
            is_scheduled = True
            asyncio.get_running_loop().call_later(wait_s, run_action)

    return request_run


def refresh_specs(
    index: ReplicaIndex, services: dict[ServiceName, ServiceSpec]
) -> None:
    """Apply the services of the manifest that changed, and recount their shards."""
    for name in [name for name in index.specs if name not in services]:
        del index.specs[name]
        del index.shard_keys[name]
        for key in [key for key in index.covered if key[0] == name]:
            del index.covered[key]
    for name, spec in services.items():
        if index.specs.get(name) == spec:
            continue
        index.specs[name] = spec
        index.shard_keys[name] = {shard: ShardKey(name, shard) for shard in spec.shards}
        for key, holders in index.holders.items():
            if key[0] == name:
                index.covered[key] = sum(shard in holders for shard in spec.shards)


def refresh_servers(index: ReplicaIndex, board: Board, apply_all=False) -> None:
    """Apply the server records that changed.

    ``apply_all`` applies all records; it is needed when operators took servers
    or data centres out, or put them back, because the records stay the same.
    """
    records, views = board.servers.records, index.views
    changed = list(records.values()) if apply_all else _find_changed(index, records)
    for record in changed:
        view = views.get(record.server_id)
        if view is None:
            load = board.load.servers.setdefault(record.server_id, ServerLoad())
            is_in_own_data_centre = record.data_centre == index.own_data_centre
            view = ReplicaView(record, load, is_in_own_data_centre, 0.0)
            views[record.server_id] = view
        _apply_record(index, board, view, record)
    if len(views) != len(records):
        for server_id in [known for known in views if known not in records]:
            view = views.pop(server_id)
            if view.is_indexed:
                _remove_from_index(index, view)
            board.load.servers.pop(server_id, None)
    if changed or len(index.applied_records) != len(records):
        index.applied_records = list(records.values())


def _find_changed(
    index: ReplicaIndex, records: dict[ServerId, ServerRecord]
) -> list[ServerRecord]:
    """Return the records that are new or were replaced since the last pass.

    Most changes replace records in place, so the table is first compared with the
    last one position by position, which needs no look-ups. Each server is looked
    up only if the order changed.
    """
    values, applied_records = records.values(), index.applied_records
    if len(records) == len(applied_records):
        differs = map(operator.is_not, values, applied_records)
        pairs = list(
            itertools.compress(zip(values, applied_records, strict=True), differs)
        )
        if all(new.server_id == old.server_id for new, old in pairs):
            return [new for new, _ in pairs]
    views = index.views
    return [
        record
        for server_id, record in records.items()
        if server_id not in views or views[server_id].record is not record
    ]


def is_usable(board: Board, record: ServerRecord) -> bool:
    """Return whether new requests may be sent to the server."""
    return (
        record.usable
        and record.state is ServerState.READY
        and record.headroom > 0
        and record.server_id not in board.config.servers_out
        and record.data_centre not in board.config.data_centres_out
    )


def _apply_record(
    index: ReplicaIndex, board: Board, view: ReplicaView, record: ServerRecord
):
    old, was_indexed = view.record, view.is_indexed
    usable = is_usable(board, record)
    stays_indexed = was_indexed and usable and old.holdings == record.holdings
    if was_indexed and not stays_indexed:
        _remove_from_index(index, view)
    if old.incarnation != record.incarnation:
        view.hint_received_at = view.backoff_until = float("-inf")
    view.record = record
    view.capacity = max(record.slots * record.headroom, 1e-9)
    if usable and not stays_indexed:
        _add_to_index(index, view)


def _iterate_holdings(record: ServerRecord):
    for holding in record.holdings:
        for shard, versions in holding.shards.items():
            for version in versions:
                yield holding.service, shard, version


def _add_to_index(index: ReplicaIndex, view: ReplicaView) -> None:
    for service, shard, version in _iterate_holdings(view.record):
        key = (service, version)
        holders = index.holders.setdefault(key, {})
        if shard in holders:
            holders[shard].append(view)
            continue
        holders[shard] = [view]
        if shard in index.shard_keys.get(service, ()):
            index.covered[key] = index.covered.get(key, 0) + 1
    view.is_indexed = True


def _remove_from_index(index: ReplicaIndex, view: ReplicaView) -> None:
    for service, shard, version in _iterate_holdings(view.record):
        key = (service, version)
        holders = index.holders[key]
        holders[shard].remove(view)
        if holders[shard]:
            continue
        del holders[shard]
        if shard in index.shard_keys.get(service, ()):
            index.covered[key] -= 1
        if not holders:
            del index.holders[key]
            index.covered.pop(key, None)
    view.is_indexed = False
