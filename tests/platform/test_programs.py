"""Tests of how a program builds its daemon."""

import asyncio

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.platform.programs import (
    START_RETRY_INTERVAL_S,
    build_once_disk_works,
    read_program_settings,
)
from bramleyrouter.telemetry.events import EventLog
from tests.platform.test_settings import SETTINGS_FILE
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


class TestProgramSettings:
    """Guard against a daemon built from a file that ends between two fields."""

    REQUIRED = ("caller_address", "ready_address")

    def test_every_prefix_of_the_file_is_refused_or_complete(self, tmp_path):
        path = tmp_path / "boot.toml"
        end_of_required = SETTINGS_FILE.index("[limits]")
        for length in range(len(SETTINGS_FILE)):
            path.write_text(SETTINGS_FILE[:length])
            loaded = read_program_settings(str(path), self.REQUIRED)
            assert isinstance(loaded, Err) or length >= end_of_required - 2, length

    def test_reason_names_the_missing_field(self, tmp_path):
        path = tmp_path / "boot.toml"
        path.write_text(SETTINGS_FILE.partition("[listen]")[0])
        failure = read_program_settings(str(path), self.REQUIRED).err_value
        assert failure.code is Code.SETTINGS_INVALID
        assert "caller_address" in failure.text
