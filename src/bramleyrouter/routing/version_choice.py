"""Choice of the one index version that an answer is taken from."""

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
    """Name the shards wanted of one service; ``is_all`` when that is all."""

    spec: ServiceSpec
    shards: tuple[ShardName, ...]
    is_all: bool


class VersionChoice(NamedTuple):
    """Hold the version chosen and how many wanted shards it covers."""

    version: IndexVersion
    covered: int


def resolve_targets(
    index: ReplicaIndex, targets: Sequence[ServiceTarget]
) -> Result[list[RequestedShards], Failure]:
    """Look up what a query names; each shard counts once."""
    if not targets:
        return Err(Failure(Code.MALFORMED_REQUEST, "The query names no service."))
    named: dict[ServiceName, RequestedShards] = {}
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
            before = named[spec.name].shards if spec.name in named else ()
            shards = tuple(dict.fromkeys((*before, *target.shards)))
        named[spec.name] = RequestedShards(spec, shards, len(shards) == len(known))
    return Ok(list(named.values()))


def list_keys(
    index: ReplicaIndex, requested: Sequence[RequestedShards]
) -> list[ShardKey]:
    """Return the wanted shards in the order in which they were named."""
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
    """Return the permitted version that covers most, the newest on ties.

    A version must be permitted for every wanted service. The order of the
    first service's list decides what is newest. None when no version is
    permitted for all, or all of those are excluded.
    """
    requested_count = sum(len(shards) for _, shards, _ in requested)
    best: VersionChoice | None = None
    others = [set(spec.versions) for spec, _, _ in requested[1:]]
    for version in reversed(requested[0].spec.versions):
        if version in excluded or any(version not in other for other in others):
            continue
        covered = sum(_count_covered(index, one, version) for one in requested)
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
