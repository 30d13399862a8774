"""Tests of signals that come before, while and after somebody waits for them."""

import asyncio
import os
import signal

import pytest

from bramleyrouter.daemons.signals import (
    SIGHUP,
    SIGINT,
    SIGTERM,
    catch_signals,
    deliver_signals,
    ignore_signals,
    set_signal_callback,
)

CAUGHT = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


@pytest.fixture
def inbox():
    """Return an inbox; restore the handlers of the test's process afterwards."""
    handlers = {number: signal.getsignal(number) for number in CAUGHT}
    yield catch_signals()
    signal.set_wakeup_fd(-1)
    for number, handler in handlers.items():
        signal.signal(number, handler)


class FakeLoop:
    """Record what is asked of an event loop, and call nothing by itself."""

    def __init__(self):
        self.readers, self.failures = {}, []

    def add_reader(self, reader, callback):
        self.readers[reader] = callback

    def call_exception_handler(self, context):
        self.failures.append(context["exception"])

    def run_once(self):
        """Call the callbacks of readers that have bytes."""
        for callback in self.readers.values():
            callback()


def send(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)


class TestInbox:
    """Guard against signals that are lost, or that end the process."""

    def test_early_signals_are_delivered_once(self, inbox):
        send(SIGHUP, SIGTERM, SIGHUP, SIGTERM)
        calls, names = [], []
        callbacks = {
            SIGHUP: lambda: calls.append(SIGHUP),
            SIGTERM: lambda: calls.append(SIGTERM),
        }
        deliver_signals(inbox, FakeLoop(), callbacks, names.append)
        assert sorted(calls) == [SIGHUP, SIGTERM]
        assert sorted(names) == ["SIGHUP", "SIGTERM"]

    def test_signal_waits_for_its_callback(self, inbox):
        loop, calls, names = FakeLoop(), [], []
        deliver_signals(inbox, loop, {}, names.append)
        send(SIGHUP)
        loop.run_once()
        send(SIGHUP)
        loop.run_once()
        assert names == ["SIGHUP", "SIGHUP"] and not calls
        set_signal_callback(inbox, SIGHUP, lambda: calls.append("reloaded"))
        assert calls == ["reloaded"]

    def test_callback_before_the_loop_is_kept(self, inbox):
        calls = []
        set_signal_callback(inbox, SIGHUP, lambda: calls.append("reloaded"))
        send(SIGHUP)
        assert not calls
        deliver_signals(inbox, FakeLoop(), {}, lambda name: None)
        assert calls == ["reloaded"]

    def test_handler_runs_no_callback_by_itself(self, inbox):
        # A callback between two instructions could run half of a step twice.
        loop, calls = FakeLoop(), []
        deliver_signals(
            inbox, loop, {SIGTERM: lambda: calls.append(1)}, lambda name: None
        )
        send(SIGTERM)
        assert not calls
        loop.run_once()
        assert calls == [1]

    def test_signal_while_its_callback_runs_is_delivered_again(self, inbox):
        loop, calls = FakeLoop(), []

        def reload():
            calls.append("reloaded")
            if len(calls) == 1:
                send(SIGHUP)

        deliver_signals(inbox, loop, {SIGHUP: reload}, lambda name: None)
        send(SIGHUP)
        loop.run_once()
        loop.run_once()
        assert calls == ["reloaded"] * 2

    def test_failing_callback_does_not_hold_up_the_others(self, inbox):
        loop, calls = FakeLoop(), []

        def fail():
            raise ValueError("a value is wrong")

        callbacks = {SIGHUP: fail, SIGTERM: lambda: calls.append(1)}
        deliver_signals(inbox, loop, callbacks, lambda name: fail())
        send(SIGHUP, SIGTERM)
        loop.run_once()
        assert calls == [1]
        assert [type(exc) for exc in loop.failures] == [ValueError] * 3

    def test_pending_stop_is_told(self, inbox):
        send(SIGHUP)
        assert not inbox.is_stop_pending()
        send(SIGINT)
        assert inbox.is_stop_pending()

    def test_many_signals_fill_no_buffer(self, inbox):
        loop, calls = FakeLoop(), []
        deliver_signals(
            inbox, loop, {SIGHUP: lambda: calls.append(1)}, lambda name: None
        )
        send(*[SIGHUP] * 20_000)
        loop.run_once()
        assert calls == [1]


class TestEventLoop:
    """Guard against signals that the event loop doesn't see, or sees too late."""

    def test_waiting_loop_is_woken(self, inbox):
        async def wait():
            stopped = asyncio.Event()
            loop = asyncio.get_running_loop()
            deliver_signals(inbox, loop, {SIGTERM: stopped.set}, lambda name: None)
            loop.call_later(0.01, send, SIGTERM)
            await asyncio.wait_for(stopped.wait(), 30.0)

        asyncio.run(wait())

    def test_signals_after_the_loop_has_closed_are_harmless(self, inbox):
        calls = []

        async def work():
            loop = asyncio.get_running_loop()
            callbacks = {SIGTERM: lambda: calls.append(1)}
            deliver_signals(inbox, loop, callbacks, lambda name: None)

        asyncio.run(work())
        send(SIGTERM, SIGHUP, SIGINT)
        assert not calls and inbox.is_stop_pending()
        assert all(callable(signal.getsignal(number)) for number in CAUGHT)

    def test_ignored_signals_leave_no_trace(self, inbox):
        async def work():
            loop = asyncio.get_running_loop()
            deliver_signals(inbox, loop, {}, lambda name: None)

        asyncio.run(work())
        ignore_signals(inbox)
        send(SIGTERM, SIGHUP, SIGINT)
        assert not inbox.pending
        ignore_signals(inbox)
        set_signal_callback(inbox, SIGHUP, lambda: None)
