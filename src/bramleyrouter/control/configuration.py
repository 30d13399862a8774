"""The replicated configuration: the manifest, and what operators took out of service.

Data centres and backend servers can be taken out of service.

The functions are deterministic: every control daemon applies the same commands
in the same order and must arrive at the same state.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from bramleyrouter.board.sections import Manifest
from bramleyrouter.codes import Code
from bramleyrouter.control.digests import digest_config, digest_manifest
from bramleyrouter.control.limits import (
    MAX_DATA_CENTRES_OUT,
    MAX_DELTA_BYTES,
    MAX_DELTAS,
    MAX_SERVERS_OUT,
)
from bramleyrouter.control.manifests import (
    build_manifest_failure,
    check_manifest,
    is_name,
)
from bramleyrouter.control.messages import (
    ConfigDelta,
    ConfigState,
    OperatorResult,
    Publish,
    SetAvailability,
)
from bramleyrouter.failures import Failure
from bramleyrouter.ids import Generation, OperatorRequestId, Revision


class Publisher(msgspec.Struct, frozen=True):
    """Hold who published the manifest in force.

    It is named in the failure that a conflicting publisher receives.
    """

    operator: str
    request_id: OperatorRequestId
    revision: Revision


class StoredDelta(NamedTuple):
    """Hold a delta and the encoded size of its manifest in bytes (0 without one)."""

    delta: ConfigDelta
    manifest_size: int


@dataclass
class Configuration:
    """Hold the accepted configuration and its most recent changes.

    ``deltas`` is a cache and is not part of snapshots. ``delta_bytes`` is the size of
    the manifests in it.
    """

    state: ConfigState = field(
        default_factory=lambda: build_config_state(
            0, None, digest_manifest(None), (), ()
        )
    )
    manifest_digest: bytes = field(default_factory=lambda: digest_manifest(None))
    publisher: Publisher | None = None
    deltas: deque[StoredDelta] = field(default_factory=deque)
    delta_bytes: int = 0


def build_config_state(
    revision, manifest: Manifest | None, manifest_digest, data_centres, servers
) -> ConfigState:
    """Build a configuration state and compute its digest."""
    digest = digest_config(revision, manifest_digest, data_centres, servers)
    return ConfigState(Revision(revision), manifest, data_centres, servers, digest)


def publish(cfg: Configuration, operation: Publish) -> OperatorResult:
    """Accept a manifest, or refuse all of it and leave the configuration unchanged."""
    manifest = operation.manifest
    findings = check_manifest(manifest)
    if findings:
        return _build_refusal(cfg, build_manifest_failure(findings))
    if manifest.generation <= get_generation(cfg.state):
        return _build_refusal(cfg, _build_conflict_failure(cfg, manifest.generation))
    revision = Revision(cfg.state.revision + 1)
    cfg.manifest_digest = digest_manifest(manifest)
    cfg.publisher = Publisher(operation.operator, operation.request_id, revision)
    size = len(msgspec.msgpack.encode(manifest))
    _store_revision(
        cfg, manifest, cfg.state.data_centres_out, cfg.state.servers_out, size
    )
    return _build_result(cfg)


def set_availability(cfg: Configuration, operation: SetAvailability) -> OperatorResult:
    """Take a data centre or server out of service, or put it back in.

    The target may be unknown: a server that announces itself later is then out of
    service from the start. A request that changes nothing still creates a
    revision, so that each accepted request has its own.
    """
    data_centre, server_id = operation.data_centre, operation.server_id
    target = data_centre if server_id is None else server_id
    if (data_centre is None) == (server_id is None) or not is_name(target or ""):
        text = "Exactly one valid data centre or server id was expected."
        return _build_refusal(cfg, Failure(Code.MALFORMED_REQUEST, text))
    state = cfg.state
    expected = operation.expected_revision
    if expected is not None and expected != state.revision:
        text = f'Revision "{state.revision}" is in force, "{expected}" was expected.'
        return _build_refusal(cfg, Failure(Code.REVISION_CONFLICT, text))
    data_centres = _add_or_remove_name(
        state.data_centres_out, data_centre, operation.is_out
    )
    servers = _add_or_remove_name(state.servers_out, server_id, operation.is_out)
    if len(data_centres) > MAX_DATA_CENTRES_OUT or len(servers) > MAX_SERVERS_OUT:
        text = (
            f'"{target}" can\'t be taken out: at most {MAX_DATA_CENTRES_OUT} data '
            f"centres and {MAX_SERVERS_OUT} servers may be out at once."
        )
        return _build_refusal(cfg, Failure(Code.TOO_MANY_OUT, text))
    _store_revision(cfg, state.manifest, data_centres, servers, None)
    return _build_result(cfg)


def get_generation(state: ConfigState) -> Generation:
    """Return the generation in force, or 0 before the first manifest."""
    return state.manifest.generation if state.manifest else Generation(0)


def deltas_since(
    cfg: Configuration, revision: Revision
) -> tuple[ConfigDelta, ...] | None:
    """Return the changes after ``revision``, or none if any is no longer stored."""
    missing = cfg.state.revision - revision
    if missing < 0 or missing > len(cfg.deltas):
        return None
    return tuple(
        stored.delta for stored in list(cfg.deltas)[len(cfg.deltas) - missing :]
    )


def _store_revision(
    cfg: Configuration, manifest, data_centres, servers, new_manifest_size
):
    """Put the next revision in force and store its delta.

    ``new_manifest_size`` is the encoded size of the manifest in bytes, or none if the
    manifest is unchanged.
    """
    cfg.state = build_config_state(
        cfg.state.revision + 1, manifest, cfg.manifest_digest, data_centres, servers
    )
    is_new = new_manifest_size is not None
    delta = ConfigDelta(
        cfg.state.revision,
        manifest if is_new else None,
        data_centres,
        servers,
        cfg.state.digest,
    )
    cfg.deltas.append(StoredDelta(delta, new_manifest_size or 0))
    cfg.delta_bytes += new_manifest_size or 0
    while len(cfg.deltas) > MAX_DELTAS or cfg.delta_bytes > MAX_DELTA_BYTES:
        cfg.delta_bytes -= cfg.deltas.popleft().manifest_size


def _add_or_remove_name(names: tuple, name, is_out: bool) -> tuple:
    if name is None or (name in names) == is_out:
        return names
    if is_out:
        return tuple(sorted((*names, name)))
    return tuple(other for other in names if other != name)


def _build_result(cfg: Configuration) -> OperatorResult:
    return OperatorResult(cfg.state.revision, get_generation(cfg.state))


def _build_refusal(cfg: Configuration, failure: Failure) -> OperatorResult:
    return OperatorResult(cfg.state.revision, get_generation(cfg.state), failure)


def _build_conflict_failure(cfg: Configuration, generation: Generation) -> Failure:
    current = get_generation(cfg.state)
    relation = "is in force" if generation == current else f"is older than {current}"
    publisher = cfg.publisher
    published_by = (
        f'; generation {current} was published by "{publisher.operator}" with request '
        f'"{publisher.request_id}" as revision {publisher.revision}'
        if publisher
        else ""
    )
    text = f'Generation "{generation}" {relation}{published_by}.'
    return Failure(Code.GENERATION_CONFLICT, text)
