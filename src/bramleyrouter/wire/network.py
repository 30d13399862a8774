"""Interface for calls, messages and streams between daemons.

``wire.tcp`` implements it over TCP; tests implement it in memory with virtual
time.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.wire.kinds import MessageKind


class Peer(NamedTuple):
    """Identify the daemon at the other end of a connection.

    The accepting side gets all fields from the handshake. Over TCP, the connecting
    side has only the address; its other fields are empty.
    """

    daemon_id: DaemonId
    data_centre: DataCentre
    address: str


# Answers one request; the bytes are the payload of the reply.
Handler = Callable[[Peer, bytes], Awaitable[Result[bytes, Failure]]]
# Sends any number of items by its third argument, then returns the result that
# ends the stream. It is cancelled when the peer cancels the stream or the
# connection is lost.
StreamHandler = Callable[
    [Peer, bytes, Callable[[bytes], None]], Awaitable[Result[None, Failure]]
]
OnItem = Callable[[bytes], None]
OnEnd = Callable[[Result[None, Failure]], None]


class Network(NamedTuple):
    """Bundle the functions that reach other daemons by "ip:port".

    ``call(address, kind, payload, timeout_s)`` waits for one reply. It fails
    with ``PEER_UNREACHABLE`` when no byte of the request was sent, and with
    ``PEER_TIMEOUT`` or ``PEER_DISCONNECTED`` when the peer may have acted.
    ``send(address, kind, payload)`` is one way and may be lost.
    ``stream(address, kind, payload, on_item, on_end)`` returns a closure that
    cancels the stream; ``on_end`` is called once, unless cancelled.
    ``serve`` and ``serve_stream`` register the handler of a kind.
    ``close_peer(address)`` closes one connection; ``close()`` closes all.
    """

    call: Callable[[str, MessageKind, bytes, float], Awaitable[Result[bytes, Failure]]]
    send: Callable[[str, MessageKind, bytes], None]
    stream: Callable[[str, MessageKind, bytes, OnItem, OnEnd], Callable[[], None]]
    serve: Callable[[MessageKind, Handler], None]
    serve_stream: Callable[[MessageKind, StreamHandler], None]
    close_peer: Callable[[str], None]
    close: Callable[[], Awaitable[None]]
