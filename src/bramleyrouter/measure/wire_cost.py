"""Measure processor time per internal message over loopback TCP.

Run as ``python -m bramleyrouter.measure.wire_cost``. Both ends run in one
process, so the figure is the sum of the sending and the receiving side.
"""

import asyncio
import json
import time

from result import Ok

from bramleyrouter.board.sections import Identity
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre
from bramleyrouter.utils.ports import reserve_address
from bramleyrouter.wire.envelopes import (
    LENGTH_BYTES,
    Envelope,
    FrameType,
    decode_envelope,
    encode_envelope,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network

KEY = b"measurement-cluster-key"
PAYLOAD_BYTES = 600
ROUNDS = 20_000
CALLS = 5_000
CONCURRENT_CALLS = 50
MICROSECONDS = 1e6


def _identity(name: str) -> Identity:
    address = reserve_address()
    return Identity(
        DaemonId(name), DaemonIncarnation(1), DataCentre("dc1"), address, address
    )


def measure_codec() -> dict[str, float]:
    """Return microseconds to encode and to decode one envelope."""
    envelope = Envelope(
        FrameType.REQUEST, MessageKind.SHARD_BATCH, 7, b"x" * PAYLOAD_BYTES
    )
    started = time.process_time()
    for _ in range(ROUNDS):
        frame = encode_envelope(envelope)
    encoded = time.process_time()
    for _ in range(ROUNDS):
        decode_envelope(frame[LENGTH_BYTES:])
    decoded = time.process_time()
    return {
        "encode_us": (encoded - started) / ROUNDS * MICROSECONDS,
        "decode_us": (decoded - encoded) / ROUNDS * MICROSECONDS,
    }


async def measure_calls() -> dict[str, float]:
    """Return microseconds of processor time per call, one by one and at once."""
    client_identity, server_identity = _identity("client"), _identity("server")
    client, _ = build_tcp_network(client_identity, KEY)
    server, listen = build_tcp_network(server_identity, KEY)

    async def echo(peer, payload):
        return Ok(payload)

    server.serve(MessageKind.SHARD_BATCH, echo)
    listen()
    address = server_identity.internal_address
    payload = b"x" * PAYLOAD_BYTES

    async def run(count: int) -> None:
        for _ in range(count):
            await client.call(address, MessageKind.SHARD_BATCH, payload, 5.0)

    figures = {}
    for name, width in (("one_by_one", 1), ("concurrent", CONCURRENT_CALLS)):
        started = time.process_time()
        await asyncio.gather(*(run(CALLS // width) for _ in range(width)))
        spent = time.process_time() - started
        figures[f"call_{name}_us"] = spent / CALLS * MICROSECONDS
    await client.close()
    await server.close()
    return figures


def main() -> None:
    """Print the figures as JSON."""
    figures = {**measure_codec(), **asyncio.run(measure_calls())}
    print(json.dumps({name: round(value, 1) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
