"""Simulate a network in memory with the interface of ``wire.network.Network``.

Frames keep their order on one connection, as with TCP. A fault on a pair of
addresses delays frames, drops all of them without an error (a cut), or breaks
the connection. One-way frames (``send``) may also be duplicated or reordered.
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
class _DirectionState:
    """Hold the loop time at which the last frame of one direction is due.

    A later frame is due after it, so that the frames of a connection stay in order.
    """

    last_due: float = 0.0


@dataclass
class MemoryFabric:
    """Hold the daemons and faults of one simulated network.

    ``cuts`` holds directed (from, to) pairs whose frames are dropped; ``delays``
    gives seconds for a directed pair. ``frozen`` daemons receive their frames
    only after ``thaw``. ``duplicate`` and ``reorder`` are the probabilities that
    a one-way frame is duplicated or delayed by up to 50 ms more.
    """

    rng: random.Random = field(default_factory=lambda: random.Random(0))
    delay_s: float = DEFAULT_DELAY_S
    cuts: set[tuple[str, str]] = field(default_factory=set)
    delays: dict[tuple[str, str], float] = field(default_factory=dict)
    duplicate: float = 0.0
    reorder: float = 0.0
    frozen: set[str] = field(default_factory=set)
    delayed_actions: dict[str, list] = field(default_factory=dict)
    handlers: dict[str, HandlerTable] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    links: dict[tuple[str, str], tuple[Link, Link]] = field(default_factory=dict)
    frames: int = 0
    bytes: int = 0

    def cut(self, first, second):
        """Drop all frames between two addresses without an error."""
        self.cuts |= {(first, second), (second, first)}

    def cut_groups(self, first, second):
        """Cut the connections between all addresses of two groups."""
        for one in first:
            for other in second:
                self.cut(one, other)

    def heal(self):
        """Remove all cuts; the affected connections break, as with TCP."""
        for pair in {(a, b) for a, b in self.cuts}:
            self._break(pair)
        self.cuts.clear()

    def freeze(self, address):
        """Delay all frames to ``address`` until ``thaw``, as for a stopped process."""
        self.frozen.add(address)

    def thaw(self, address):
        """Deliver the delayed frames."""
        self.frozen.discard(address)
        for action in self.delayed_actions.pop(address, []):
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

    def _deliver(self, source, target, direction, action):
        if (source, target) in self.cuts:
            return
        loop = asyncio.get_running_loop()
        delay = self.delays.get((source, target), self.delay_s)
        # The event loop does not preserve the order of timers with equal due times.
        direction.last_due = max(direction.last_due + ORDER_GAP_S, loop.time() + delay)

        def arrive():
            if (source, target) in self.cuts:
                return
            if target in self.frozen:
                self.delayed_actions.setdefault(target, []).append(action)
            else:
                action()

        loop.call_at(direction.last_due, arrive)

    def _connect(self, source, target):
        pair = (source, target)
        if pair in self.links and self.links[pair][0].is_open:
            return self.links[pair][0]
        forward, backward = _DirectionState(), _DirectionState()

        def write_forward(envelope: Envelope):
            self.frames += 1
            self.bytes += len(envelope.payload)
            self._deliver(source, target, forward, lambda: server.receive(envelope))

        def write_backward(envelope: Envelope):
            self.frames += 1
            self.bytes += len(envelope.payload)
            self._deliver(target, source, backward, lambda: client.receive(envelope))

        client = Link(self.peers[target], write_forward, self.handlers[source])
        server = Link(self.peers[source], write_backward, self.handlers[target])
        self.links[pair] = (client, server)
        return client

    def build_network(self, identity) -> Network:
        """Return the network of one daemon and connect it to the others."""
        own = identity.internal_address
        table = HandlerTable()
        self.handlers[own] = table
        self.peers[own] = Peer(identity.daemon_id, identity.data_centre, own)
        return _build_network(self, own, table)


def _build_unreachable_failure(address):
    text = f'No connection to "{address}".'
    return Err(Failure(Code.PEER_UNREACHABLE, text))


def _build_network(fabric: MemoryFabric, own: str, table: HandlerTable) -> Network:
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
            return _build_unreachable_failure(address)
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
                on_end(_build_unreachable_failure(address))
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
