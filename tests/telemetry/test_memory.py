"""Tests of the events by which a kill for the memory can be told from others."""

import asyncio

import msgspec

from bramleyrouter.telemetry import memory as memory_module
from bramleyrouter.telemetry.events import EventLog
from bramleyrouter.telemetry.memory import (
    MemoryWatch,
    build_memory_budget,
    check_memory,
    read_resident_bytes,
    watch_memory,
)
from bramleyrouter.utils.byte_budgets import Holding, hold
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all

MB = 1_000_000


class TestCheckMemory:
    """Guard against a memory that grows to its limit without a line in the log."""

    def test_each_share_is_reported_once_while_the_memory_rises(self):
        watch = MemoryWatch(100)
        shares = [check_memory(watch, size) for size in (50, 60, 70, 80, 79, 95, 81)]
        assert shares == [None, 0.6, None, 0.8, None, None, None]

    def test_a_rise_over_both_shares_is_reported_once(self):
        watch = MemoryWatch(100)
        assert [check_memory(watch, size) for size in (90, 90)] == [0.8, None]

    def test_a_share_is_reported_again_after_a_clear_fall(self):
        watch = MemoryWatch(100)
        sizes = (81, 76, 81, 74, 81, 54, 61)
        shares = [check_memory(watch, size) for size in sizes]
        assert shares == [0.8, None, None, None, 0.8, None, 0.6]


class TestEvents:
    """Guard against events that lack what tells the cause."""

    def test_a_resident_memory_near_the_limit_is_recorded_once(self, monkeypatch):
        monkeypatch.setattr(memory_module, "CHECK_INTERVAL_S", 0.001)
        log = EventLog(daemon="d1")

        async def scenario():
            tasks = BackgroundTasks("test")
            limit_bytes = int(read_resident_bytes() / 0.7)
            budget = build_memory_budget(limit_bytes, log)
            watch_memory(tasks, log, limit_bytes, budget)
            await asyncio.sleep(0.05)
            cancel_all(tasks)

        asyncio.run(scenario())
        lines = [msgspec.json.decode(line) for line in log.pending_lines]
        assert [(line["part"], line["event"]) for line in lines] == [
            ("daemon", "memory_high")
        ]
        assert lines[0]["share"] == 0.6
        assert lines[0]["resident_bytes"] >= 0.6 * lines[0]["limit_bytes"]

    def test_an_ended_holder_is_recorded_with_its_size(self):
        log = EventLog(daemon="d1")
        budget = build_memory_budget(100 * MB, log)
        holding = Holding(budget, "server", "10.0.0.1:80", lambda: None)
        assert not hold(holding, 50 * MB)
        line = msgspec.json.decode(log.pending_lines[0])
        assert (line["part"], line["event"]) == ("memory", "holder_ended")
        assert (line["kind"], line["name"]) == ("server", "10.0.0.1:80")
        assert (line["bytes"], line["held_bytes"]) == (50 * MB, 0)
