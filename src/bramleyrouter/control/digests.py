"""Digests of configurations and of operators' requests.

All are 16-byte BLAKE2b digests of a MessagePack encoding. The encoded values are
strings, integers and lists in a fixed order, so each daemon gets the same bytes.
"""

import hashlib

import msgspec

from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.messages import ConfigState, Publish, SetAvailability

DIGEST_BYTES = 16


def compute_blake2b_digest(data: bytes) -> bytes:
    """Return the BLAKE2b-128 digest of ``data``."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def digest_manifest(manifest: Manifest | None) -> bytes:
    """Return the digest of a manifest, or of its absence before the first one."""
    return compute_blake2b_digest(msgspec.msgpack.encode(manifest))


def digest_config(
    revision: int,
    manifest_digest: bytes,
    data_centres_out: tuple[str, ...],
    servers_out: tuple[str, ...],
) -> bytes:
    """Return the digest of a configuration, given the digest of its manifest.

    Using the manifest's digest means that a change of availability does not have
    to hash megabytes of manifest again.
    """
    parts = (revision, manifest_digest, data_centres_out, servers_out)
    return compute_blake2b_digest(msgspec.msgpack.encode(parts))


def digest_config_state(state: ConfigState) -> bytes:
    """Compute the digest of ``state`` from its other fields."""
    return digest_config(
        state.revision,
        digest_manifest(state.manifest),
        state.data_centres_out,
        state.servers_out,
    )


def digest_operation(operation: Publish | SetAvailability) -> bytes:
    """Return the digest of an operator's request without operator and request id."""
    body: tuple
    if isinstance(operation, Publish):
        body = ("publish", operation.manifest)
    else:
        body = (
            "availability",
            operation.is_out,
            operation.data_centre,
            operation.server_id,
        )
    return compute_blake2b_digest(msgspec.msgpack.encode(body))
