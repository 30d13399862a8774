"""Tests of settings that change while a daemon runs."""

import asyncio
import os
import signal

import pytest

from bramleyrouter.daemons.signals import (
    SignalInbox,
    catch_signals,
    deliver_signals,
    ignore_signals,
)
from bramleyrouter.platform.settings import read_settings
from bramleyrouter.platform.settings_watch import POLL_INTERVAL_S, watch_settings
from bramleyrouter.telemetry.events import EventLog
from bramleyrouter.utils.tasks import BackgroundTasks
from tests.platform.test_settings import SETTINGS_FILE
from tests.support.log_cluster import in_virtual_time

OTHER_FILE = SETTINGS_FILE.replace("10.2.0.23", "10.2.0.99")
SEEDS = ("10.1.0.12:7380", "10.2.0.23:7380")
OTHER_SEEDS = ("10.1.0.12:7380", "10.2.0.99:7380")


class Watched:
    """Hold a settings file and what its watcher has reported."""

    def __init__(self, tmp_path, monkeypatch):
        self.path = tmp_path / "boot.toml"
        self.path.write_text(SETTINGS_FILE)
        monkeypatch.setenv("BRAMLEYROUTER_CONFIG", str(self.path))
        self.cfg = read_settings(str(self.path)).ok_value
        self.log = EventLog()
        self.tasks = BackgroundTasks("test")
        self.inbox = SignalInbox()
        self.seeds, self.failures = [], []

    def start(self):
        watch_settings(self.log, self.tasks, self.inbox, self.cfg, self.apply)

    def apply(self, cfg):
        if self.failures:
            raise self.failures.pop(0)
        self.seeds.append(cfg.seeds)

    async def poll(self, times=1):
        await asyncio.sleep(times * POLL_INTERVAL_S + 0.1)

    def count(self, event):
        return sum(b'"%s"' % event.encode() in line for line in self.log.pending_lines)


@pytest.fixture
def watched(tmp_path, monkeypatch):
    return Watched(tmp_path, monkeypatch)


class TestMissedChange:
    """Guard against a change of the settings that a daemon never sees."""

    @in_virtual_time
    async def test_change_between_the_first_read_and_the_watch(self, watched):
        watched.path.write_text(OTHER_FILE)
        watched.start()
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]

    @in_virtual_time
    async def test_change_within_one_tick_of_the_file_system(self, watched):
        # The size and the time of modification stay the same.
        watched.start()
        await watched.poll()
        before = os.stat(watched.path)
        watched.path.write_text(OTHER_FILE)
        os.utime(watched.path, ns=(before.st_atime_ns, before.st_mtime_ns))
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]

    @in_virtual_time
    async def test_unchanged_file_is_not_applied(self, watched):
        watched.start()
        os.utime(watched.path, ns=(1, 1))
        await watched.poll(10)
        assert watched.seeds == [] and watched.count("reloaded") == 0

    @in_virtual_time
    async def test_change_whose_application_failed_is_tried_again(self, watched):
        watched.start()
        watched.failures += [RuntimeError("failed")] * 3
        watched.path.write_text(OTHER_FILE)
        await watched.poll(6)
        assert watched.seeds == [OTHER_SEEDS]
        assert watched.count("reload_failed") == 1


class TestUnreadableFile:
    """Guard against a daemon that ends, or stops watching, without its settings."""

    @in_virtual_time
    async def test_start_without_the_file(self, watched):
        watched.path.unlink()
        watched.start()
        await watched.poll(5)
        assert watched.seeds == [] and watched.count("reload_failed") == 1
        watched.path.write_text(OTHER_FILE)
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]

    @in_virtual_time
    async def test_missing_then_half_written_then_whole(self, watched):
        watched.start()
        for damage in (watched.path.unlink, lambda: watched.path.write_text("node =")):
            damage()
            await watched.poll(3)
            assert watched.seeds == []
        assert watched.count("reload_failed") == 2
        watched.path.write_text(OTHER_FILE)
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]

    @in_virtual_time
    async def test_replaced_file(self, watched):
        watched.start()
        await watched.poll()
        other = watched.path.with_suffix(".new")
        other.write_text(OTHER_FILE)
        other.replace(watched.path)
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]


@pytest.fixture
def caught(watched):
    """Provide the watched settings of a process that catches its signals."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    former = [signal.getsignal(number) for number in numbers]
    watched.inbox = catch_signals()
    yield watched
    ignore_signals(watched.inbox)
    for number, handler in zip(numbers, former, strict=True):
        signal.signal(number, handler)


class TestHangup:
    """Guard against a SIGHUP that is lost or that ends the daemon."""

    def test_file_is_read_at_once_also_if_unchanged(self, caught):
        async def scenario():
            deliver(caught.inbox)
            caught.start()
            os.kill(os.getpid(), signal.SIGHUP)
            while not caught.seeds:
                await asyncio.sleep(0.01)
            assert caught.seeds == [SEEDS] and caught.count("reloaded") == 1

        asyncio.run(asyncio.wait_for(scenario(), 20.0))

    def test_signal_before_the_watch_is_kept(self, caught):
        async def scenario():
            os.kill(os.getpid(), signal.SIGHUP)
            deliver(caught.inbox)
            caught.start()
            while not caught.seeds:
                await asyncio.sleep(0.01)
            assert caught.seeds == [SEEDS]

        asyncio.run(asyncio.wait_for(scenario(), 20.0))

    def test_unreadable_file_keeps_the_settings(self, caught):
        async def scenario():
            deliver(caught.inbox)
            caught.start()
            caught.path.unlink()
            os.kill(os.getpid(), signal.SIGHUP)
            while not caught.count("reload_failed"):
                await asyncio.sleep(0.01)
            assert caught.seeds == []

        asyncio.run(asyncio.wait_for(scenario(), 20.0))


def deliver(inbox):
    """Deliver the signals of a process from now on."""
    deliver_signals(inbox, asyncio.get_running_loop(), {}, lambda name: None)


class TestStartOnlyFields:
    """Guard against a changed field that silently doesn't apply."""

    @in_virtual_time
    async def test_fields_that_need_a_restart_are_named(self, watched):
        watched.start()
        watched.path.write_text(OTHER_FILE.replace("graceS = 6", "graceS = 9"))
        await watched.poll()
        assert watched.seeds == [OTHER_SEEDS]
        assert watched.count("restart_needed") == 1
        (line,) = (x for x in watched.log.pending_lines if b"restart_needed" in x)
        assert b'"fields":["bounds"]' in line
