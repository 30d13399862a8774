"""Tests of a daemon whose parent sends updates that can't be applied."""

import asyncio
import random

import pytest
from result import Ok

from bramleyrouter.board import Board
from bramleyrouter.dissemination.build import build_dissemination
from bramleyrouter.dissemination.messages import (
    MANIFEST_DIFFERENCE,
    MANIFEST_WHOLE,
    Change,
    Heartbeat,
    Update,
    encode,
)
from bramleyrouter.dissemination.subscriber import REPORT_INTERVAL_S
from bramleyrouter.wire.kinds import MessageKind
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric
from tests.support.virtual_time import run_virtual

PARENT = "127.0.0.1:7000"
SECONDS = 5.0

ODD_CHANGES = [
    Change(1, MANIFEST_WHOLE, b"\xc1"),
    Change(1, MANIFEST_DIFFERENCE, b"\xc1"),
    Change(1, MANIFEST_WHOLE, b"\x80", digest=b"odd"),
    Change(7),
]


async def count_subscriptions(update):
    """Return how often a daemon subscribes to a parent that sends ``update``."""
    fabric, loop = MemoryFabric(), asyncio.get_running_loop()
    parent = fabric.build_network(make_identity("c1", port=7000))
    board = Board(make_identity("own", port=7010))
    subscriptions = []

    async def send_update(peer, payload, send_item):
        subscriptions.append(loop.time())
        send_item(encode(update))
        await loop.create_future()

    async def confirm(peer, payload):
        return Ok(encode(Heartbeat(revision=1, age_ms=1, is_child=True)))

    parent.serve_stream(MessageKind.SUBSCRIBE, send_update)
    parent.serve(MessageKind.CONFIRM, confirm)
    dissemination = build_dissemination(
        board,
        fabric.build_network(board.identity),
        (PARENT,),
        random.Random(0),
        loop.time,
        lambda centre: (),
    )
    dissemination.start()
    await asyncio.sleep(SECONDS)
    dissemination.stop()
    return len(subscriptions)


class TestOddUpdates:
    @pytest.mark.parametrize("is_full", [False, True])
    @pytest.mark.parametrize("change", ODD_CHANGES)
    def test_a_daemon_subscribes_again_at_a_bounded_rate(self, change, is_full):
        """Guards against subscriptions that follow each other without a pause."""
        update = Update(is_full=is_full, changes=(change,))
        count = run_virtual(count_subscriptions(update))
        assert 1 <= count <= 2 * SECONDS / REPORT_INTERVAL_S
