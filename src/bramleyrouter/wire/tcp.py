"""Network over TCP: one authenticated connection per peer and direction."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging
from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.netutil import Resolver
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, hold, release
from bramleyrouter.utils.listening import listen_on
from bramleyrouter.wire.envelopes import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Envelope,
    FrameType,
    decode_envelope,
    encode_envelope,
)
from bramleyrouter.wire.handshakes import (
    Hello,
    authenticate_connector,
    authenticate_to_acceptor,
)
from bramleyrouter.wire.links import HandlerTable, Link
from bramleyrouter.wire.network import Network, OnEnd, OnItem, Peer

# A connection opens within one round trip, 0.1 s between distant regions. The
# kernel retransmits a lost SYN only after 1 s, so a new attempt finds
# sooner that an unreachable peer is back.
CONNECT_TIMEOUT_S = 0.3
HANDSHAKE_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 64 * 1024
# Frames of one connection that are handled in one turn of the event loop. They take
# about 0.45 ms besides their handlers; one read holds up to 3,100 small ones.
MAX_FRAMES_PER_TURN = 256
# Connections whose peers are not authenticated yet. More than all daemons of a large
# deployment that connect again at once within ``HANDSHAKE_TIMEOUT_S``.
MAX_HANDSHAKES = 1024
# A peer with more unread bytes than this is disconnected, which bounds the memory
# that one unresponsive peer can use.
MAX_WRITE_BUFFER_BYTES = 32 * 1024 * 1024


@dataclass
class TcpState:
    """Hold the connections of one daemon.

    ``memory`` bounds the frames that all peers together have not read. ``io_streams``
    also holds those whose peer is not authenticated yet.
    """

    identity: Identity
    key: bytes
    memory: ByteBudget
    handlers: HandlerTable = field(default_factory=HandlerTable)
    links: dict[str, Link] = field(default_factory=dict)
    outgoing_io_streams: dict[str, IOStream] = field(default_factory=dict)
    connecting: dict[str, asyncio.Future] = field(default_factory=dict)
    io_streams: set[IOStream] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    handshake_count: int = 0
    is_closed: bool = False


class InternalServer(TCPServer):
    """Accept connections of other daemons and serve their requests."""

    def __init__(self, state: TcpState):
        super().__init__(max_buffer_size=MAX_FRAME_BYTES + READ_CHUNK_BYTES)
        self._state = state

    async def handle_stream(self, stream, address):
        """Authenticate the peer, then handle frames until the connection closes."""
        if not _add_io_stream(self._state, stream):
            return
        if self._state.handshake_count >= MAX_HANDSHAKES:
            logging.log_every_n_seconds(
                logging.WARNING, "wire: too many handshakes; refused %s.", 1, address[0]
            )
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        self._state.handshake_count += 1
        try:
            handshake = authenticate_connector(stream, self._state.key)
            authenticated = await asyncio.wait_for(handshake, HANDSHAKE_TIMEOUT_S)
        except (StreamClosedError, TimeoutError):
            stream.close()
            return
        finally:
            self._state.handshake_count -= 1
        if isinstance(authenticated, Err):
            logging.warning("wire: refused %s: %s", address[0], authenticated.err_value)
            stream.close()
            return
        peer = authenticated.ok_value
        write = _build_batched_writer(stream, self._state.memory, peer.address)
        link = Link(peer, write, self._state.handlers)
        await _read_frames(self._state, stream, link)


def _build_batched_writer(
    stream: IOStream, memory: ByteBudget, address: str
) -> Callable[[Envelope], None]:
    """Return a closure that writes all frames of one loop iteration together.

    Frames that the peer at ``address`` has not read count in ``memory``.
    """
    waiting: list[bytes] = []
    holding = Holding(memory, "daemon", address, stream.close)

    def flush() -> None:
        frames = b"".join(waiting)
        waiting.clear()
        if stream.closed():
            return
        try:
            written = stream.write(frames)
        except StreamClosedError:
            pass
        except StreamBufferFullError:
            logging.error("wire: a peer reads too slowly; its connection is closed.")
            stream.close()
        else:
            if written.done():
                _ignore_error(written)
                return
            size = len(frames)
            hold(holding, size)
            written.add_done_callback(lambda _: release(holding, size))
            written.add_done_callback(_ignore_error)

    def write(envelope: Envelope) -> None:
        if not waiting:
            asyncio.get_running_loop().call_soon(flush)
        waiting.append(encode_envelope(envelope))

    return write


def _ignore_error(fut: asyncio.Future) -> None:
    """Read the exception, so that asyncio does not log it as never retrieved."""
    if not fut.cancelled():
        fut.exception()


def _add_io_stream(state: TcpState, stream: IOStream) -> bool:
    """Add a new connection until it closes; close it if the network is closed."""
    if state.is_closed:
        stream.close()
        return False
    state.io_streams.add(stream)
    stream.set_close_callback(lambda: state.io_streams.discard(stream))
    return True


async def _read_frames(state: TcpState, stream: IOStream, link: Link) -> None:
    buffer = bytearray()
    try:
        while True:
            reading = stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            if isinstance(reading, asyncio.Future) and reading.done():
                # A read of what has arrived takes no turn of the event loop.
                await asyncio.sleep(0)
            buffer += await reading
            while (count := _receive_frames(buffer, link)) == MAX_FRAMES_PER_TURN:
                # The other connections get their turn before the next frames.
                await asyncio.sleep(0)
            if count is None:
                stream.close()
                return
    except StreamClosedError:
        pass
    except Exception:
        # One message that a handler can't process must not leave the connection open
        # without a reader, as its peer would wait for replies without end.
        logging.exception("wire: the connection to %s is closed.", link.peer)
        stream.close()
    finally:
        link.close()


def _receive_frames(buffer: bytearray, link: Link) -> int | None:
    """Pass complete frames of ``buffer`` to ``link``, remove them, return their number.

    At most ``MAX_FRAMES_PER_TURN`` are passed. Return none if a frame is invalid.
    """
    start = count = 0
    while count < MAX_FRAMES_PER_TURN and len(buffer) - start >= LENGTH_BYTES:
        length = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            logging.error("wire: %s sent a frame of %d bytes.", link.peer, length)
            return None
        end = start + LENGTH_BYTES + length
        if len(buffer) < end:
            break
        decoded = decode_envelope(bytes(buffer[start + LENGTH_BYTES : end]))
        if isinstance(decoded, Err):
            logging.error("wire: %s: %s", link.peer, decoded.err_value)
            return None
        link.receive(decoded.ok_value)
        start, count = end, count + 1
    del buffer[:start]
    return count


class _AddressResolver(Resolver):
    """Resolve IP addresses, the only hosts of peers, without a thread."""

    async def resolve(self, host, port, family=socket.AF_UNSPEC):
        """Return the one address of ``host``."""
        return [(socket.AF_INET6 if ":" in host else socket.AF_INET, (host, port))]


async def _connect(state: TcpState, address: str) -> Result[Link, Failure]:
    stream: IOStream | None = None
    try:
        host, port = split_address(address)
        connecting = TCPClient(_AddressResolver()).connect(
            host,
            port,
            max_buffer_size=MAX_FRAME_BYTES + READ_CHUNK_BYTES,
            timeout=CONNECT_TIMEOUT_S,
        )
        stream = await connecting
        if not _add_io_stream(state, stream):
            return _build_closed_failure(address)
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        identity = state.identity
        hello = Hello(
            identity.daemon_id, identity.data_centre, identity.internal_address
        )
        handshake = authenticate_to_acceptor(stream, state.key, hello)
        authenticated = await asyncio.wait_for(handshake, HANDSHAKE_TIMEOUT_S)
    except (OSError, ValueError, StreamClosedError, TimeoutError) as exc:
        _close_if_open(stream)
        return Err(_build_unreachable(address, exc))
    except Exception as exc:
        # A stream whose end isn't reported would never be opened again.
        logging.exception("wire: the connection to %s failed.", address)
        _close_if_open(stream)
        return Err(_build_unreachable(address, exc))
    if isinstance(authenticated, Err):
        stream.close()
        return authenticated
    link = Link(
        # The handshake does not send the acceptor's daemon id and data centre.
        Peer(DaemonId(""), DataCentre(""), address),
        _build_batched_writer(stream, state.memory, address),
        state.handlers,
    )
    state.links[address] = link
    state.outgoing_io_streams[address] = stream
    task = asyncio.get_running_loop().create_task(_read_frames(state, stream, link))
    state.tasks.add(task)
    task.add_done_callback(state.tasks.discard)
    return Ok(link)


def _close_if_open(stream: IOStream | None) -> None:
    # The kernel accepts connections for a peer that is paused.
    if stream is not None:
        stream.close()


def _build_unreachable(address: str, exc: Exception) -> Failure:
    text = f'No connection to "{address}": {str(exc) or type(exc).__name__}.'
    return Failure(Code.PEER_UNREACHABLE, text)


def _build_closed_failure(address: str) -> Err[Failure]:
    text = f'No connection to "{address}": this daemon stops.'
    return Err(Failure(Code.PEER_UNREACHABLE, text))


async def _get_or_open_link(state: TcpState, address: str) -> Result[Link, Failure]:
    if state.is_closed:
        return _build_closed_failure(address)
    link = state.links.get(address)
    if link is not None and link.is_open:
        return Ok(link)
    fut = state.connecting.get(address)
    if fut is None:
        fut = asyncio.ensure_future(_connect(state, address))
        state.connecting[address] = fut
        fut.add_done_callback(lambda _: state.connecting.pop(address, None))
    return await asyncio.shield(fut)


def _start_task(state: TcpState, work) -> asyncio.Task:
    task = asyncio.get_running_loop().create_task(work)
    state.tasks.add(task)
    task.add_done_callback(state.tasks.discard)
    return task


def _open_stream(state: TcpState, address, kind, payload, on_item, on_end):
    link = state.links.get(address)
    if link is not None and link.is_open:
        return link.open_stream(kind, payload, on_item, on_end)
    cancel_opened: list[Callable[[], None]] = []

    async def connect_first() -> None:
        connected = await _get_or_open_link(state, address)
        if isinstance(connected, Err):
            on_end(connected)
            return
        opened = connected.ok_value.open_stream(kind, payload, on_item, on_end)
        cancel_opened.append(opened)

    task = _start_task(state, connect_first())

    def cancel() -> None:
        task.cancel()
        for cancel_stream in cancel_opened:
            cancel_stream()

    return cancel


def build_tcp_network(
    identity: Identity, key: bytes, memory: ByteBudget | None = None
) -> tuple[Network, Callable]:
    """Return the network and a closure that starts listening.

    Without ``memory``, the frames that peers have not read have a budget of their own.
    ``key`` is the cluster's key. The closure binds the internal address of
    ``identity`` and returns a closure that stops listening. If the address can't be
    used, it raises ``OSError`` and can be called again.
    """
    state = TcpState(identity, key, memory or ByteBudget())
    server = InternalServer(state)

    async def call(address, kind, payload, timeout_s):
        connected = await _get_or_open_link(state, address)
        if isinstance(connected, Err):
            return connected
        return await connected.ok_value.call(kind, payload, timeout_s)

    async def connect_and_send(address, kind, payload):
        connected = await _get_or_open_link(state, address)
        if isinstance(connected, Ok):
            frame = Envelope(FrameType.ONE_WAY, kind, 0, payload)
            connected.ok_value.write(frame)

    def send(address, kind, payload):
        _start_task(state, connect_and_send(address, kind, payload))

    def stream(address, kind, payload, on_item: OnItem, on_end: OnEnd):
        return _open_stream(state, address, kind, payload, on_item, on_end)

    def close_peer(address):
        if link := state.links.pop(address, None):
            link.close()
        if stream := state.outgoing_io_streams.pop(address, None):
            stream.close()

    async def close():
        state.is_closed = True
        server.stop()
        for open_stream in list(state.io_streams):
            open_stream.close()
        for task in list(state.tasks):
            task.cancel()

    def listen() -> Callable[[], None]:
        listen_on(server, identity.internal_address)
        return server.stop

    network = Network(
        call=call,
        send=send,
        stream=stream,
        serve=state.handlers.calls.__setitem__,
        serve_stream=state.handlers.streams.__setitem__,
        close_peer=close_peer,
        close=close,
    )
    return network, listen
