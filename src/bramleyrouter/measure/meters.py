"""Count the frames and bytes that one daemon sends and receives."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.wire.envelopes import Envelope, FrameType, encode_envelope
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Bytes of a frame around its payload.
FRAME_BYTES = len(encode_envelope(Envelope(FrameType.REQUEST, 0, 0)))
# Requests of these kinds are sent one way, so their handlers' results are not.
ONE_WAY_KINDS = frozenset({MessageKind.TABLE_DELTA})


@dataclass
class Meter:
    """Hold the counts of one daemon."""

    frames_out: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    bytes_in: int = 0


@dataclass
class Cuts:
    """Hold the pairs of addresses between which nothing passes."""

    pairs: set[frozenset[str]] = field(default_factory=set)

    def covers(self, first: str, second: str) -> bool:
        """Return whether two addresses are cut off from each other."""
        return frozenset((first, second)) in self.pairs


def _sent(meter: Meter, payload: bytes) -> None:
    meter.frames_out += 1
    meter.bytes_out += FRAME_BYTES + len(payload)


def _received(meter: Meter, payload: bytes) -> None:
    meter.frames_in += 1
    meter.bytes_in += FRAME_BYTES + len(payload)


def meter_network(network: Network, own: str, meter: Meter, cuts: Cuts) -> Network:
    """Return ``network`` with all frames counted; cut ones are lost silently."""

    async def call(address, kind, payload, timeout_s):
        _sent(meter, payload)
        if cuts.covers(own, address):
            await asyncio.sleep(timeout_s)
            return Err(Failure(Code.PEER_TIMEOUT, f'"{address}" is cut off.'))
        result = await network.call(address, kind, payload, timeout_s)
        if isinstance(result, Ok):
            _received(meter, result.ok_value)
        return result

    def send(address, kind, payload):
        _sent(meter, payload)
        if not cuts.covers(own, address):
            network.send(address, kind, payload)

    def stream(address, kind, payload, on_item, on_end):
        def take(item):
            if not cuts.covers(own, address):
                _received(meter, item)
                on_item(item)

        _sent(meter, payload)
        if cuts.covers(own, address):
            return lambda: None
        return network.stream(address, kind, payload, take, on_end)

    def serve(kind, handler):
        async def counted(peer, payload):
            _received(meter, payload)
            result = await handler(peer, payload)
            if kind not in ONE_WAY_KINDS and isinstance(result, Ok):
                _sent(meter, result.ok_value or b"")
            return result

        network.serve(kind, counted)

    def serve_stream(kind, handler):
        async def counted(peer, payload, send_item):
            def send_counted(item):
                _sent(meter, item)
                send_item(item)

            _received(meter, payload)
            return await handler(peer, payload, send_counted)

        network.serve_stream(kind, counted)

    return network._replace(
        call=call, send=send, stream=stream, serve=serve, serve_stream=serve_stream
    )
