"""Digest of a received configuration, to compare with the digest it states."""

from collections.abc import Callable

from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.digests import digest_config, digest_manifest
from bramleyrouter.control.messages import ConfigState

ComputeDigest = Callable[[ConfigState], bytes]


def build_caching_digest() -> ComputeDigest:
    """Build a function like ``digest_config_state`` that caches the manifest's digest.

    Most changes leave the manifest as it is, so hashing its megabytes again for
    each of them would be wasted. Only the last manifest's digest is cached.
    """
    cached: list[tuple[Manifest | None, bytes]] = [(None, digest_manifest(None))]

    def compute_digest(state: ConfigState) -> bytes:
        if state.manifest is not cached[0][0]:
            cached[0] = state.manifest, digest_manifest(state.manifest)
        return digest_config(
            state.revision, cached[0][1], state.data_centres_out, state.servers_out
        )

    return compute_digest
