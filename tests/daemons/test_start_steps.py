"""Tests of steps of a start that are tried again."""

import asyncio
import errno
import socket

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.daemons.lifecycles import Lifecycle, run_until_stopped
from bramleyrouter.daemons.start_steps import (
    REPORT_INTERVAL_S,
    RETRY_INTERVAL_S,
    FailureError,
    StartFailedError,
    finish_step,
    is_temporary,
)
from bramleyrouter.failures import Failure
from tests.support.log_cluster import in_virtual_time

IN_USE = OSError(errno.EADDRINUSE, "Address already in use")


class Step:
    """Fail with the given exceptions, one a call, then succeed."""

    def __init__(self, *failures):
        self.failures, self.calls, self.events = list(failures), 0, []

    def act(self):
        self.calls += 1
        if self.failures:
            raise self.failures.pop(0)
        return "server"

    def record(self, part, event, **fields):
        self.events.append((event, fields))

    def names(self):
        return [name for name, _ in self.events]

    async def finish(self):
        return await finish_step(self.record, "caller listener", self.act)


class TestTemporaryFailures:
    """Guard against a process that ends because a step failed for a moment."""

    @in_virtual_time
    async def test_address_in_use_is_tried_until_it_is_free(self):
        step = Step(*[IN_USE] * 6)
        assert await step.finish() == "server"
        assert asyncio.get_running_loop().time() == 6 * RETRY_INTERVAL_S
        assert step.calls == 7

    @in_virtual_time
    async def test_delay_and_its_end_are_recorded_once(self):
        step = Step(*[IN_USE] * 6)
        await step.finish()
        assert step.names() == ["start_delayed", "start_resumed"]
        delayed, resumed = (fields for _, fields in step.events)
        assert delayed["step"] == resumed["step"] == "caller listener"
        assert "Address already in use" in delayed["reason"]
        assert resumed["lost_s"] == 6 * RETRY_INTERVAL_S

    @in_virtual_time
    async def test_changed_reason_is_recorded_at_once(self):
        full = OSError(errno.EMFILE, "Too many open files")
        step = Step(IN_USE, IN_USE, full, full)
        await step.finish()
        assert step.names() == ["start_delayed", "start_delayed", "start_resumed"]

    @in_virtual_time
    async def test_lasting_delay_is_recorded_again_and_never_given_up(self):
        attempts = round(6 * REPORT_INTERVAL_S / RETRY_INTERVAL_S)
        step = Step(*[IN_USE] * attempts)
        assert await step.finish() == "server"
        assert step.names() == ["start_delayed"] * 6 + ["start_resumed"]

    @in_virtual_time
    async def test_step_that_succeeds_at_once_records_nothing(self):
        step = Step()
        assert await step.finish() == "server"
        assert step.events == [] and asyncio.get_running_loop().time() == 0

    @pytest.mark.parametrize(
        "number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE]
    )
    def test_errors_of_a_busy_machine_are_temporary(self, number):
        assert is_temporary(OSError(number, "failed"))

    @pytest.mark.parametrize(
        "code", [Code.DISK_FAILED, Code.SETTINGS_UNREADABLE, Code.SETTINGS_INVALID]
    )
    def test_failures_of_files_are_temporary(self, code):
        assert is_temporary(FailureError(Failure(code, "failed")))


LASTING = [
    TypeError("no such argument"),
    OSError(errno.EACCES, "Permission denied"),
    socket.gaierror(socket.EAI_NONAME, "Name or service not known"),
    FailureError(Failure(Code.LOG_CORRUPT, "a record is damaged")),
]


class TestLastingFailures:
    """Guard against a process that tries a step again which can't succeed."""

    @pytest.mark.parametrize("exc", LASTING, ids=lambda exc: type(exc).__name__)
    def test_first_one_ends_the_start_with_one_event(self, exc):
        async def scenario():
            step = Step(exc, exc)
            with pytest.raises(StartFailedError) as raised:
                await step.finish()
            assert raised.value.cause is exc
            assert step.calls == 1 and step.names() == ["start_failed"]
            assert step.events[0][1]["step"] == "caller listener"
            assert exc.args[-1] in step.events[0][1]["reason"]

        in_virtual_time(scenario)()

    @in_virtual_time
    async def test_lasting_failure_after_a_temporary_one(self):
        step = Step(IN_USE, TypeError("no such argument"))
        with pytest.raises(StartFailedError):
            await step.finish()
        assert step.names() == ["start_delayed", "start_failed"]


class TestStop:
    """Guard against a process that can't be stopped while it waits for a step."""

    @in_virtual_time
    async def test_stop_ends_the_wait_at_once(self):
        loop, lifecycle = asyncio.get_running_loop(), Lifecycle()
        step = Step(*[IN_USE] * 1000)
        loop.call_later(3.2, lifecycle.stop_requested.set)
        assert await run_until_stopped(lifecycle, step.finish()) is None
        assert loop.time() == pytest.approx(3.2)
        calls = step.calls
        await asyncio.sleep(10 * RETRY_INTERVAL_S)
        assert step.calls == calls

    @in_virtual_time
    async def test_finished_step_is_not_lost_to_a_stop(self):
        lifecycle, step = Lifecycle(), Step()

        async def finish_and_stop():
            outcome = await step.finish()
            lifecycle.stop_requested.set()
            return outcome

        assert await run_until_stopped(lifecycle, finish_and_stop()) == "server"

    @in_virtual_time
    async def test_failure_of_the_work_is_raised(self):
        step = Step(TypeError("no such argument"))
        with pytest.raises(StartFailedError):
            await run_until_stopped(Lifecycle(), step.finish())
