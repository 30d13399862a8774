"""Digest of a received state, to compare with the stated one."""

from collections.abc import Callable

from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.digests import digest_config, digest_manifest
from bramleyrouter.control.messages import ConfigState

DigestOf = Callable[[ConfigState], bytes]


def build_digest() -> DigestOf:
    """Return a closure like ``compute_digest`` that keeps the last manifest's.

    Most changes leave the manifest as it is; a pass over megabytes of it on
    each of them would be wasted.
    """
    last: list[tuple[Manifest | None, bytes]] = [(None, digest_manifest(None))]

    def digest(state: ConfigState) -> bytes:
        if state.manifest is not last[0][0]:
            last[0] = state.manifest, digest_manifest(state.manifest)
        return digest_config(
            state.revision, last[0][1], state.data_centres_out, state.servers_out
        )

    return digest
