"""Tests of starts that are interrupted, and of stops."""

import asyncio
from types import SimpleNamespace

import pytest

from bramleyrouter.board.blackboard import Board
from bramleyrouter.daemons.lifecycles import (
    Daemon,
    Lifecycle,
    Phase,
    run_daemon,
    run_until_stopped,
)
from tests.support.identities import make_identity
from tests.support.log_cluster import in_virtual_time

BALANCER_WAIT_S, STOP_TIMEOUT_S = 3.0, 2.0


class FakeDaemon:
    """Record the calls of a daemon's functions."""

    def __init__(self, start_s=0.0):
        self.calls, self.start_s = [], start_s
        self.daemon = Daemon(
            Board(make_identity("entry-1")), self.start, self.drain, self.close
        )

    async def start(self):
        self.calls.append("start")
        await asyncio.sleep(self.start_s)
        self.calls.append("started")

    async def drain(self):
        self.calls.append("drain")

    async def close(self):
        self.calls.append("close")


async def run(fake, lifecycle):
    await run_daemon(fake.daemon, BALANCER_WAIT_S, STOP_TIMEOUT_S, lifecycle)


class TestInterruptedStart:
    """Guard against a start that goes on after the process was asked to stop."""

    @in_virtual_time
    async def test_stop_before_the_start_opens_nothing(self):
        fake, lifecycle = FakeDaemon(), Lifecycle()
        lifecycle.stop_requested.set()
        await run(fake, lifecycle)
        assert fake.calls == ["drain", "close"]
        assert asyncio.get_running_loop().time() == 0.0

    @in_virtual_time
    async def test_stop_during_the_start_closes_what_was_opened(self):
        fake, lifecycle = FakeDaemon(start_s=1e6), Lifecycle()
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, lifecycle.stop_requested.set)
        await run(fake, lifecycle)
        assert fake.calls == ["start", "drain", "close"] and loop.time() == 1.0
        assert lifecycle.phase is Phase.STOPPING

    @in_virtual_time
    async def test_stop_after_the_start_waits_for_the_balancer(self):
        fake, lifecycle = FakeDaemon(), Lifecycle()
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, lifecycle.stop_requested.set)
        loop.call_later(2.0, lifecycle.stop_requested.set)
        await run(fake, lifecycle)
        assert fake.calls == ["start", "started", "drain", "close"]
        assert loop.time() == 1.0 + BALANCER_WAIT_S

    @in_virtual_time
    async def test_failed_start_is_raised(self):
        async def fail():
            raise OSError("address in use")

        fake = FakeDaemon()
        with pytest.raises(OSError, match="address in use"):
            await run(
                SimpleNamespace(daemon=fake.daemon._replace(start=fail)), Lifecycle()
            )


class TestStop:
    """Guard against a stop that leaves connections or the log open."""

    @in_virtual_time
    async def test_failing_drain_does_not_prevent_the_close(self):
        async def fail():
            raise ValueError("a value is wrong")

        fake, lifecycle = FakeDaemon(), Lifecycle()
        daemon = fake.daemon._replace(drain=fail)
        asyncio.get_running_loop().call_later(1.0, lifecycle.stop_requested.set)
        with pytest.raises(ValueError, match="a value is wrong"):
            await run_daemon(daemon, BALANCER_WAIT_S, STOP_TIMEOUT_S, lifecycle)
        assert fake.calls == ["start", "started", "close"]

    @in_virtual_time
    async def test_slow_drain_is_ended_and_closed(self):
        fake, lifecycle = FakeDaemon(), Lifecycle()
        daemon = fake.daemon._replace(drain=lambda: asyncio.sleep(1e6))
        lifecycle_end = BALANCER_WAIT_S + STOP_TIMEOUT_S
        asyncio.get_running_loop().call_later(1.0, lifecycle.stop_requested.set)
        await run_daemon(daemon, BALANCER_WAIT_S, STOP_TIMEOUT_S, lifecycle)
        assert fake.calls == ["start", "started", "close"]
        assert asyncio.get_running_loop().time() == 1.0 + lifecycle_end


class TestRunUntilStopped:
    """Guard against work that is lost, or that is left running."""

    @in_virtual_time
    async def test_result_that_is_ready_at_the_stop_is_returned(self):
        lifecycle = Lifecycle()

        async def work():
            lifecycle.stop_requested.set()
            return "built"

        assert await run_until_stopped(lifecycle, work()) == "built"

    @in_virtual_time
    async def test_work_that_ends_on_its_cancellation_gives_its_result(self):
        lifecycle = Lifecycle()

        async def work():
            try:
                await asyncio.sleep(1e6)
            except asyncio.CancelledError:
                return "built"

        asyncio.get_running_loop().call_later(1.0, lifecycle.stop_requested.set)
        assert await run_until_stopped(lifecycle, work()) == "built"

    @in_virtual_time
    async def test_no_task_is_left(self):
        lifecycle = Lifecycle()
        asyncio.get_running_loop().call_later(1.0, lifecycle.stop_requested.set)
        assert await run_until_stopped(lifecycle, asyncio.sleep(1e6, "late")) is None
        await run_until_stopped(lifecycle, asyncio.sleep(1e6))
        await asyncio.sleep(0)
        assert asyncio.all_tasks() == {asyncio.current_task()}
