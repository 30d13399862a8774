"""Choice of the single index version that a query is executed on."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.board.sections import ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.ids import IndexVersion, ServiceName, ShardName
from bramleyrouter.routing.messages import ServiceTarget, ShardKey
from bramleyrouter.routing.replica_index import ReplicaIndex


class RequestedShards(NamedTuple):
    """Name the requested shards of one service; ``is_all`` if it has no others."""

    spec: ServiceSpec
    shards: tuple[ShardName, ...]
    is_all: bool


class VersionChoice(NamedTuple):
    """Hold the chosen version and the number of requested shards it covers."""

    version: IndexVersion
    covered: int


def resolve_targets(
    index: ReplicaIndex, targets: Sequence[ServiceTarget]
) -> Result[list[RequestedShards], Failure]:
    """Return the shards that a query requests, without duplicates.

    A service without named shards stands for all of its shards. A service or
    shard that is not in the manifest is an error.
    """
    if not targets:
        return Err(Failure(Code.MALFORMED_REQUEST, "The query names no service."))
    by_service: dict[ServiceName, RequestedShards] = {}
    for target in targets:
        spec = index.specs.get(target.service)
        if spec is None:
            text = f'Service "{target.service}" is not in the manifest.'
            return Err(Failure(Code.UNKNOWN_SERVICE, text))
        known = index.shard_keys[target.service]
        for shard in target.shards:
            if shard not in known:
                text = f'Shard "{shard}" of "{target.service}" is not in the manifest.'
                return Err(Failure(Code.UNKNOWN_SHARD, text))
        shards = tuple(known)
        if target.shards:
            earlier = by_service[spec.name].shards if spec.name in by_service else ()
            shards = tuple(dict.fromkeys((*earlier, *target.shards)))
        by_service[spec.name] = RequestedShards(spec, shards, len(shards) == len(known))
    return Ok(list(by_service.values()))


def list_keys(
    index: ReplicaIndex, requested: Sequence[RequestedShards]
) -> list[ShardKey]:
    """Return the requested shards in the order of the query."""
    keys: list[ShardKey] = []
    for spec, shards, _ in requested:
        by_shard = index.shard_keys[spec.name]
        keys.extend([by_shard[shard] for shard in shards])
    return keys


def choose_version(
    index: ReplicaIndex,
    requested: Sequence[RequestedShards],
    excluded: Collection[IndexVersion] = (),
) -> VersionChoice | None:
    """Return the permitted version that covers the most shards.

    A version must be permitted for every requested service. On ties the newest
    one is chosen, by the order of versions of the first service. Return None if
    every version permitted for all services is excluded, or there is none.
    """
    requested_count = sum(len(shards) for _, shards, _ in requested)
    best: VersionChoice | None = None
    other_versions = [set(spec.versions) for spec, _, _ in requested[1:]]
    for version in reversed(requested[0].spec.versions):
        if version in excluded or any(
            version not in versions for versions in other_versions
        ):
            continue
        covered = sum(
            _count_covered(index, service_shards, version)
            for service_shards in requested
        )
        if best is None or covered > best.covered:
            best = VersionChoice(version, covered)
        if covered == requested_count:
            break
    return best


def _count_covered(
    index: ReplicaIndex, requested: RequestedShards, version: IndexVersion
) -> int:
    key = (requested.spec.name, version)
    if requested.is_all:
        return index.covered.get(key, 0)
    holders = index.holders.get(key)
    if not holders:
        return 0
    return sum(shard in holders for shard in requested.shards)
