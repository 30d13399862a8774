"""Digests of configurations and of operators' requests.

All are BLAKE2b with 16 bytes over MessagePack, whose encoding of these types
is the same everywhere: strings, integers and lists in a fixed order.
"""

import hashlib

import msgspec

from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.messages import ConfigState, Publish, SetAvailability

DIGEST_BYTES = 16


def digest_of(data: bytes) -> bytes:
    """Return the BLAKE2b-128 digest of ``data``."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def digest_manifest(manifest: Manifest | None) -> bytes:
    """Return the digest of a manifest; none has a digest, too."""
    return digest_of(msgspec.msgpack.encode(manifest))


def digest_config(
    revision: int,
    manifest_digest: bytes,
    data_centres_out: tuple[str, ...],
    servers_out: tuple[str, ...],
) -> bytes:
    """Return the digest of a configuration whose manifest's is known.

    The manifest enters as its digest, so that a change of availability does
    not cost a pass over megabytes of manifest.
    """
    parts = (revision, manifest_digest, data_centres_out, servers_out)
    return digest_of(msgspec.msgpack.encode(parts))


def compute_digest(state: ConfigState) -> bytes:
    """Return the digest that ``state`` must have, from its other fields."""
    return digest_config(
        state.revision,
        digest_manifest(state.manifest),
        state.data_centres_out,
        state.servers_out,
    )


def digest_operation(operation: Publish | SetAvailability) -> bytes:
    """Return the digest of what an operator asked for, without its id."""
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
    return digest_of(msgspec.msgpack.encode(body))
