"""Tests of the memory that peers may take who do not read."""

import asyncio

from tornado.tcpclient import TCPClient

from bramleyrouter.utils.byte_budgets import ByteBudget
from bramleyrouter.utils.ports import reserve_ports
from bramleyrouter.wire.envelopes import Envelope, FrameType, encode_envelope
from bramleyrouter.wire.handshakes import Hello, authenticate_to_acceptor
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network
from tests.support.identities import make_identity

KEY = b"k" * 32
MB = 1_000_000
ITEM = b"x" * MB


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def subscribe_without_reading(identity, name):
    """Connect as a daemon that asks for a stream and never reads it."""
    host, port = identity.internal_address.split(":")
    stream = await TCPClient().connect(host, int(port))
    hello = Hello(name, identity.data_centre, f"{name}:1")
    await authenticate_to_acceptor(stream, KEY, hello)
    await stream.write(
        encode_envelope(Envelope(FrameType.STREAM, MessageKind.SHARD_BATCH, 1, b""))
    )
    return stream


class TestSubscribersThatDoNotRead:
    """Guard against streams that fill the memory with what nobody reads (FAULT).

    Each peer was bounded, but not all of them together.
    """

    def test_they_are_bounded_together_and_a_reader_gets_everything(self):
        async def scenario():
            ended, senders = [], []
            memory = ByteBudget(
                40 * MB, lambda holding, size: ended.append((holding.kind, size))
            )
            identity = make_identity("two", port=reserve_ports(1)[0])
            second, listen = build_tcp_network(identity, KEY, memory)

            async def subscribe(peer, payload, send_item):
                senders.append(send_item)
                await asyncio.get_running_loop().create_future()

            second.serve_stream(MessageKind.SHARD_BATCH, subscribe)
            listen()
            silent = [
                await subscribe_without_reading(identity, f"d{at}") for at in range(6)
            ]
            first, _ = build_tcp_network(make_identity("one"), KEY)
            items = []
            first.stream(
                identity.internal_address,
                MessageKind.SHARD_BATCH,
                b"",
                items.append,
                lambda outcome: items.append(b"end"),
            )
            await wait_until(lambda: len(senders) == 7)
            most = 0
            for number in range(1, 25):
                for send_item in senders:
                    send_item(ITEM)
                await wait_until(lambda number=number: len(items) == number)
                most = max(most, memory.held_bytes)
            assert items == [ITEM] * 24
            assert most <= 40 * MB
            assert ended
            assert {kind for kind, _ in ended} == {"daemon"}
            for stream in silent:
                stream.close()
            await wait_until(lambda: memory.held_bytes == 0)
            await first.close()
            await second.close()

        asyncio.run(asyncio.wait_for(scenario(), 20.0))
