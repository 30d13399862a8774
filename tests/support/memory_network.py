"""A network in memory with the interface of ``wire.network.Network``.

Frames keep their order on one connection, as with TCP. A fault on a pair of
addresses delays frames, loses all of them silently (a cut), or breaks the
connection. ``send`` (one way) may also be duplicated or reordered.
"""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.wire.envelopes import Envelope, FrameType
from bramleyrouter.wire.links import HandlerTable, Link
from bramleyrouter.wire.network import Network, Peer
from bramleyrouter.wire.tcp import CONNECT_TIMEOUT_S

DEFAULT_DELAY_S = 0.001
ORDER_GAP_S = 1e-7


@dataclass
class _Pipe:
    """One direction of a connection; ``due`` keeps frames in order."""

    due: float = 0.0


@dataclass
class MemoryFabric:
    """Hold the daemons and faults of one simulated network.

    ``cuts`` holds directed (from, to) pairs whose frames vanish; ``delays``
    gives seconds for a directed pair. ``frozen`` daemons get their frames
    only after ``thaw``. ``duplicate`` and ``reorder`` are the chances that a
    one-way frame is doubled or delayed by up to 50 ms more.
    """

    rng: random.Random = field(default_factory=lambda: random.Random(0))
    delay_s: float = DEFAULT_DELAY_S
    cuts: set[tuple[str, str]] = field(default_factory=set)
    delays: dict[tuple[str, str], float] = field(default_factory=dict)
    duplicate: float = 0.0
    reorder: float = 0.0
    frozen: set[str] = field(default_factory=set)
    held: dict[str, list] = field(default_factory=dict)
    handlers: dict[str, HandlerTable] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    links: dict[tuple[str, str], tuple[Link, Link]] = field(default_factory=dict)
    frames: int = 0
    bytes: int = 0

    def cut(self, first, second):
        """Lose all frames between two addresses, silently."""
        self.cuts |= {(first, second), (second, first)}

    def cut_groups(self, first, second):
        """Cut every address of one group off from each of the other."""
        for one in first:
            for other in second:
                self.cut(one, other)

    def heal(self):
        """Undo all cuts; connections that were cut break, as TCP's would."""
        for pair in {(a, b) for a, b in self.cuts}:
            self._break(pair)
        self.cuts.clear()

    def freeze(self, address):
        """Hold back all frames to ``address``, as to a stopped process."""
        self.frozen.add(address)

    def thaw(self, address):
        """Deliver what was held back."""
        self.frozen.discard(address)
        for action in self.held.pop(address, []):
            action()

    def kill(self, address):
        """Remove a daemon; its connections break at once."""
        self.handlers.pop(address, None)
        self.peers.pop(address, None)
        for pair in [pair for pair in self.links if address in pair]:
            self._break(pair)

    def _break(self, pair):
        links = self.links.pop(pair, None)
        for link in links or ():
            link.close()

    def _deliver(self, source, target, pipe, action):
        if (source, target) in self.cuts:
            return
        loop = asyncio.get_running_loop()
        delay = self.delays.get((source, target), self.delay_s)
        # The loop does not keep the order of timers that are due together.
        pipe.due = max(pipe.due + ORDER_GAP_S, loop.time() + delay)

        def arrive():
            if (source, target) in self.cuts:
                return
            if target in self.frozen:
                self.held.setdefault(target, []).append(action)
            else:
                action()

        loop.call_at(pipe.due, arrive)

    def _connect(self, source, target):
        pair = (source, target)
        if pair in self.links and self.links[pair][0].is_open:
            return self.links[pair][0]
        there, back = _Pipe(), _Pipe()

        def write_there(envelope: Envelope):
            self.frames += 1
            self.bytes += len(envelope.payload)
            self._deliver(source, target, there, lambda: server.receive(envelope))

        def write_back(envelope: Envelope):
            self.frames += 1
            self.bytes += len(envelope.payload)
            self._deliver(target, source, back, lambda: client.receive(envelope))

        client = Link(self.peers[target], write_there, self.handlers[source])
        server = Link(self.peers[source], write_back, self.handlers[target])
        self.links[pair] = (client, server)
        return client

    def build_network(self, identity) -> Network:
        """Return the network of one daemon and connect it to the others."""
        own = identity.internal_address
        table = HandlerTable()
        self.handlers[own] = table
        self.peers[own] = Peer(identity.daemon_id, identity.data_centre, own)
        return _network_of(self, own, table)


def _unreachable(address):
    text = f'No connection to "{address}".'
    return Err(Failure(Code.PEER_UNREACHABLE, text))


def _network_of(fabric: MemoryFabric, own: str, table: HandlerTable) -> Network:
    def is_reachable(address):
        return address in fabric.handlers and own in fabric.handlers

    def is_connected(address):
        link = fabric.links.get((own, address))
        return link is not None and link[0].is_open

    async def connect(address):
        if not is_reachable(address):
            await asyncio.sleep(fabric.delay_s)
            return None
        if is_connected(address):
            return fabric.links[(own, address)][0]
        blocked = {(own, address), (address, own)} & fabric.cuts
        if blocked or address in fabric.frozen:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return None
        await asyncio.sleep(2 * fabric.delays.get((own, address), fabric.delay_s))
        return fabric._connect(own, address) if is_reachable(address) else None

    async def call(address, kind, payload, timeout_s):
        link = await connect(address)
        if link is None:
            return _unreachable(address)
        return await link.call(kind, payload, timeout_s)

    async def send_one(address, kind, payload):
        link = await connect(address)
        if link is None:
            return
        copies = 2 if fabric.rng.random() < fabric.duplicate else 1
        for _ in range(copies):
            if fabric.rng.random() < fabric.reorder:
                await asyncio.sleep(fabric.rng.uniform(0, 0.05))
            link.write(Envelope(FrameType.ONE_WAY, kind, 0, payload))

    def send(address, kind, payload):
        asyncio.get_running_loop().create_task(send_one(address, kind, payload))

    def stream(address, kind, payload, on_item, on_end):
        cancels = []

        async def start():
            link = await connect(address)
            if link is None:
                on_end(_unreachable(address))
                return
            cancels.append(link.open_stream(kind, payload, on_item, on_end))

        task = asyncio.get_running_loop().create_task(start())

        def cancel():
            task.cancel()
            for action in cancels:
                action()

        return cancel

    async def close():
        fabric.kill(own)

    return Network(
        call=call,
        send=send,
        stream=stream,
        serve=table.calls.__setitem__,
        serve_stream=table.streams.__setitem__,
        close_peer=lambda address: fabric._break((own, address)),
        close=close,
    )
