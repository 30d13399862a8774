"""Mutual authentication of two daemons by the cluster's shared key.

The accepting side sends a nonce. The connecting side replies with its own nonce,
its ``Hello`` and an HMAC over both nonces and the ``Hello``. The accepting side then
sends an HMAC over both nonces. Later frames carry no MAC: the handshake rejects peers
without the key, but does not protect against an attacker who can modify traffic.
"""

import hmac
import os

import msgspec
from result import Err, Ok, Result
from tornado.iostream import IOStream

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.wire.network import Peer

NONCE_BYTES = 32
MAC_BYTES = 32
# Bounds the memory that an unauthenticated peer can use.
MAX_HELLO_BYTES = 512


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Identify the connecting daemon."""

    daemon_id: DaemonId
    data_centre: DataCentre
    address: str


def _compute_mac(key: bytes, *parts: bytes) -> bytes:
    return hmac.digest(key, b"".join(parts), "sha256")


def _build_auth_failure(text: str) -> Err[Failure]:
    return Err(Failure(Code.WIRE_AUTH_FAILED, text))


async def authenticate_to_acceptor(
    stream: IOStream, key: bytes, hello: Hello
) -> Result[None, Failure]:
    """Run the connecting side of the handshake; fail with ``WIRE_AUTH_FAILED``."""
    acceptor_nonce = await stream.read_bytes(NONCE_BYTES)
    own_nonce = os.urandom(NONCE_BYTES)
    encoded_hello = msgspec.msgpack.encode(hello)
    connector_mac = _compute_mac(
        key, b"connect", acceptor_nonce, own_nonce, encoded_hello
    )
    await stream.write(
        own_nonce
        + len(encoded_hello).to_bytes(2, "big")
        + encoded_hello
        + connector_mac
    )
    acceptor_mac = await stream.read_bytes(MAC_BYTES)
    if not hmac.compare_digest(
        acceptor_mac, _compute_mac(key, b"accept", own_nonce, acceptor_nonce)
    ):
        return _build_auth_failure(
            "The accepting daemon does not hold the cluster's key."
        )
    return Ok(None)


async def authenticate_connector(stream: IOStream, key: bytes) -> Result[Peer, Failure]:
    """Run the accepting side of the handshake and return the connected peer.

    Fails with ``WIRE_AUTH_FAILED``.
    """
    own_nonce = os.urandom(NONCE_BYTES)
    await stream.write(own_nonce)
    peer_nonce = await stream.read_bytes(NONCE_BYTES)
    length = int.from_bytes(await stream.read_bytes(2), "big")
    if length > MAX_HELLO_BYTES:
        return _build_auth_failure(f'A greeting of "{length}" bytes was received.')
    encoded_hello = await stream.read_bytes(length)
    connector_mac = await stream.read_bytes(MAC_BYTES)
    if not hmac.compare_digest(
        connector_mac,
        _compute_mac(key, b"connect", own_nonce, peer_nonce, encoded_hello),
    ):
        return _build_auth_failure(
            "The connecting daemon does not hold the cluster's key."
        )
    try:
        hello = msgspec.msgpack.decode(encoded_hello, type=Hello)
    except DECODE_ERRORS as exc:
        return _build_auth_failure(f"The greeting can't be decoded: {exc}.")
    await stream.write(_compute_mac(key, b"accept", peer_nonce, own_nonce))
    return Ok(Peer(hello.daemon_id, hello.data_centre, hello.address))
