"""Tests of one connection: what comes late, twice or after its end."""

import asyncio

from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.wire.envelopes import Envelope, FrameType
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.links import HandlerTable, Link
from bramleyrouter.wire.network import Peer
from tests.support.virtual_time import run_virtual

KIND = MessageKind.SHARD_BATCH


def build_link(handlers=None):
    """Return a link and the list of the frames that it sends."""
    frames = []
    peer = Peer("two", "dc1", "127.0.0.1:3")
    return Link(peer, frames.append, handlers or HandlerTable()), frames


def open_stream(link, on_end, on_item=lambda payload: None):
    return link.open_stream(KIND, b"", on_item, on_end)


class TestClose:
    def test_a_stream_that_is_cancelled_meanwhile_is_not_ended(self):
        """Guards against an end that reaches what has been cancelled already."""

        async def scenario():
            link, _ = build_link()
            ends, cancels = [], []

            def end_first(outcome):
                ends.append("first")
                cancels[0]()

            open_stream(link, end_first)
            cancels.append(open_stream(link, lambda outcome: ends.append("second")))
            open_stream(link, lambda outcome: ends.append("third"))
            link.close()
            link.close()
            return ends

        assert run_virtual(scenario()) == ["first", "third"]

    def test_an_exception_costs_no_other_stream_its_end(self):
        """Guards against streams and calls that wait without end after a loss."""

        async def scenario():
            link, _ = build_link()
            ends = []

            def fail(outcome):
                raise IndexError("odd end")

            open_stream(link, fail)
            open_stream(link, ends.append)
            link.close()
            return ends

        (end,) = run_virtual(scenario())
        assert end.err_value.code is Code.PEER_DISCONNECTED


class TestReceive:
    def test_frames_after_the_end_of_the_connection_start_nothing(self):
        """Guards against work for a peer that can't get the reply."""

        async def scenario():
            handled = []

            async def handle(peer, payload):
                handled.append(payload)
                return Ok(b"")

            link, frames = build_link(HandlerTable(calls={KIND: handle}))
            link.receive(Envelope(FrameType.REQUEST, KIND, 1, b"before"))
            link.receive(Envelope(FrameType.ONE_WAY, KIND, 0, b"before"))
            await asyncio.sleep(0.1)
            link.close()
            link.receive(Envelope(FrameType.REQUEST, KIND, 2, b"after"))
            link.receive(Envelope(FrameType.STREAM, KIND, 3, b"after"))
            await asyncio.sleep(0.1)
            return handled, frames

        handled, frames = run_virtual(scenario())
        assert handled == [b"before", b"before"]
        assert len(frames) == 1

    def test_a_handler_that_raises_at_once_is_answered(self):
        """Guards against callers that wait for their timeout."""

        async def scenario():
            def fail(peer, payload, *rest):
                raise IndexError("odd payload")

            link, frames = build_link(HandlerTable({KIND: fail}, {KIND: fail}))
            link.receive(Envelope(FrameType.REQUEST, KIND, 1))
            link.receive(Envelope(FrameType.STREAM, KIND, 2))
            await asyncio.sleep(0.1)
            return [(frame.frame_type, frame.code) for frame in frames]

        refused = Code.PEER_REFUSED
        assert run_virtual(scenario()) == [
            (FrameType.REPLY, refused),
            (FrameType.END, refused),
        ]
