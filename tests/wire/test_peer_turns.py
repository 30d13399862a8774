"""Tests of the work that a peer may cause in one turn of the event loop."""

import asyncio

from tornado.tcpclient import TCPClient

from bramleyrouter.utils.ports import reserve_ports
from bramleyrouter.wire import links, tcp
from bramleyrouter.wire.envelopes import Envelope, FrameType, encode_envelope
from bramleyrouter.wire.handshakes import Hello, authenticate_to_acceptor
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network
from tests.support.identities import make_identity

KEY = b"k" * 32
FRAMES = 5000
# Frames of one turn: far more than a proper peer sends at once.
MAX_FRAMES = 600


class TestFrames:
    """Guard against a peer whose small frames hold the event loop (hard-load F)."""

    def test_a_burst_is_spread_over_turns_in_its_order(self, monkeypatch):
        counts, received = [0, 0], []
        receive = links.Link.receive

        def counted(link, envelope):
            counts[0] += 1
            received.append(envelope.correlation)
            receive(link, envelope)

        class CountingLoop(asyncio.SelectorEventLoop):
            def _run_once(self):
                counts[0] = 0
                super()._run_once()
                counts[1] = max(counts)

        async def scenario():
            monkeypatch.setattr(links.Link, "receive", counted)
            identity = make_identity("two", port=reserve_ports(1)[0])
            network, listen = build_tcp_network(identity, KEY)
            listen()
            host, port = identity.internal_address.split(":")
            stream = await TCPClient().connect(host, int(port))
            hello = Hello("one", identity.data_centre, "one:1")
            await authenticate_to_acceptor(stream, KEY, hello)
            frames = [
                encode_envelope(Envelope(FrameType.CANCEL, MessageKind.SHARD_BATCH, at))
                for at in range(1, FRAMES + 1)
            ]
            await stream.write(b"".join(frames))
            while len(received) < FRAMES:
                await asyncio.sleep(0.01)
            stream.close()
            await network.close()

        with asyncio.Runner(loop_factory=CountingLoop) as runner:
            runner.run(asyncio.wait_for(scenario(), 20.0))
        assert received == list(range(1, FRAMES + 1))
        assert counts[1] <= MAX_FRAMES


class TestHandshakes:
    """Guard against connections without a greeting that take all descriptors."""

    def test_those_beyond_the_limit_are_closed_and_peers_connect_again(
        self, monkeypatch
    ):
        monkeypatch.setattr(tcp, "MAX_HANDSHAKES", 3)
        monkeypatch.setattr(tcp, "HANDSHAKE_TIMEOUT_S", 0.3)

        async def scenario():
            identity = make_identity("two", port=reserve_ports(1)[0])
            network, listen = build_tcp_network(identity, KEY)
            listen()
            host, port = identity.internal_address.split(":")
            silent = [await asyncio.open_connection(host, int(port)) for _ in range(8)]
            received = await asyncio.gather(*(reader.read() for reader, _ in silent))
            # The nonce was sent to those that may greet; all are closed in the end.
            assert [len(data) for data in received] == [32] * 3 + [0] * 5
            stream = await TCPClient().connect(host, int(port))
            hello = Hello("one", identity.data_centre, "one:1")
            assert (await authenticate_to_acceptor(stream, KEY, hello)).is_ok()
            stream.close()
            for _, writer in silent:
                writer.close()
            await network.close()

        asyncio.run(asyncio.wait_for(scenario(), 20.0))
