"""Tests of the events of exceptions that reach the event loop."""

import asyncio
import json

from bramleyrouter.telemetry.events import EventLog
from bramleyrouter.telemetry.loop_failures import (
    MAX_KINDS,
    REPEAT_INTERVAL_S,
    record_loop_failures,
)
from bramleyrouter.utils.tasks import BackgroundTasks, run_periodically, spawn
from tests.support.log_cluster import in_virtual_time


def fail():
    raise ValueError("a value is wrong")


def read_events(log):
    return [json.loads(line) for line in log.pending_lines]


class TestLoopFailures:
    """Guard against an exception of a callback or task that leaves no event."""

    @in_virtual_time
    async def test_exception_of_a_callback_is_recorded(self):
        log, loop = EventLog(), asyncio.get_running_loop()
        record_loop_failures(log, loop)
        loop.call_soon(fail)
        await asyncio.sleep(0)
        (event,) = read_events(log)
        assert (event["part"], event["event"]) == ("daemon", "callback_failed")
        assert event["type"] == "ValueError" and event["text"] == "a value is wrong"

    @in_virtual_time
    async def test_exception_of_a_background_task_names_its_group(self):
        log, loop = EventLog(), asyncio.get_running_loop()
        record_loop_failures(log, loop)

        async def work():
            fail()

        spawn(BackgroundTasks("a group"), work())
        await asyncio.sleep(1)
        (event,) = read_events(log)
        assert "a group" in event["message"] and event["type"] == "ValueError"

    @in_virtual_time
    async def test_repeated_failure_is_counted_and_does_not_flood_the_log(self):
        log, loop = EventLog(), asyncio.get_running_loop()
        record_loop_failures(log, loop)
        tasks = BackgroundTasks("a group")
        repeated = spawn(tasks, run_periodically(REPEAT_INTERVAL_S / 100, fail))
        await asyncio.sleep(1.5 * REPEAT_INTERVAL_S)
        assert not repeated.done()
        first, second = read_events(log)
        assert first["repeated"] == 0 and 90 <= second["repeated"] <= 100
        repeated.cancel()

    @in_virtual_time
    async def test_many_kinds_of_failure_take_bounded_memory(self):
        log, loop = EventLog(), asyncio.get_running_loop()
        record_loop_failures(log, loop)
        for number in range(10 * MAX_KINDS):
            loop.call_exception_handler({"message": f"{number} {'x' * 1000}"})
        assert len(log.pending_lines) == 10 * MAX_KINDS
        assert max(len(line) for line in log.pending_lines) < 2000
