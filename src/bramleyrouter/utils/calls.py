"""Call a peer with one timeout that covers connecting and the reply."""

import asyncio

from result import Err, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network


async def call_with_timeout(
    network: Network, address: str, kind: MessageKind, payload: bytes, timeout_s: float
) -> Result[bytes, Failure]:
    """Call a peer and return its reply.

    ``timeout_s`` (seconds) covers connecting and waiting for the reply. When it
    passes, the result is a failure with ``PEER_TIMEOUT``.
    """
    pending_call = network.call(address, kind, payload, timeout_s)
    try:
        return await asyncio.wait_for(pending_call, timeout_s)
    except TimeoutError:
        text = f'"{address}" sent no reply within {timeout_s:.3f} s.'
        return Err(Failure(Code.PEER_TIMEOUT, text))
