"""Tests of how a program builds its daemon."""

import asyncio

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.platform.programs import (
    START_RETRY_INTERVAL_S,
    build_once_disk_works,
)
from bramleyrouter.telemetry.events import EventLog
from tests.support.log_cluster import in_virtual_time

DISK_FAILED = Err(Failure(Code.DISK_FAILED, "the disk is full"))


class TestStart:
    """Guard against a process that ends because its disk fails while it starts."""

    @in_virtual_time
    async def test_start_waits_until_the_disk_works(self):
        outcomes = [DISK_FAILED] * 10 + [Ok("daemon")]
        log = EventLog(daemon="core-1")
        built = await build_once_disk_works(
            lambda cfg, log: outcomes.pop(0), "settings", log
        )
        assert built == Ok("daemon") and outcomes == []
        assert asyncio.get_running_loop().time() >= 10 * START_RETRY_INTERVAL_S

    @in_virtual_time
    async def test_lasting_failure_is_returned_at_once(self):
        corrupt = Err(Failure(Code.LOG_CORRUPT, "a record is damaged"))
        log = EventLog(daemon="core-1")
        assert await build_once_disk_works(lambda *_: corrupt, "", log) == corrupt
        assert asyncio.get_running_loop().time() < START_RETRY_INTERVAL_S
