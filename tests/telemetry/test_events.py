"""Tests of the structured event log."""

import asyncio
import errno
import os

import msgspec

from bramleyrouter.telemetry.events import (
    FLUSH_INTERVAL_S,
    MAX_PENDING_LINES,
    MAX_RATE_LIMITED_PER_INTERVAL,
    EventLog,
    flush,
    record,
    record_rate_limited,
    start_event_writer,
)
from tests.support.virtual_time import run_virtual


def build_log():
    """Return a log that writes to a pipe, and the pipe's reading end."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    return EventLog(writer, "front-1", lambda: 12.5), reader


def read_lines(reader):
    try:
        data = os.read(reader, 1 << 22)
    except BlockingIOError:
        data = b""
    return [msgspec.json.decode(line) for line in data.splitlines()]


class TestEventLog:
    """Guard against lost counts, torn lines and growth without a reader."""

    def test_each_event_is_one_json_line(self):
        log, reader = build_log()
        record(log, "gateway", "ended", id="q1", text="a\nb")
        flush(log)
        assert read_lines(reader) == [
            {
                "at": 12.5,
                "daemon": "front-1",
                "part": "gateway",
                "event": "ended",
                "id": "q1",
                "text": "a\nb",
            }
        ]

    def test_events_of_ordinary_requests_are_rate_limited_and_counted(self):
        log, reader = build_log()
        for number in range(MAX_RATE_LIMITED_PER_INTERVAL + 3):
            record_rate_limited(log, "gateway", "ended", id=number)
        record(log, "gateway", "failed", id="f")
        flush(log)
        lines = read_lines(reader)
        assert lines[-1]["event"] == "left_out"
        assert lines[-1]["count"] == 3
        assert lines[-2]["id"] == "f"
        assert len(lines) == MAX_RATE_LIMITED_PER_INTERVAL + 2

    def test_queue_stays_bounded_without_a_reader(self):
        log, reader = build_log()
        for _ in range(200):
            for _ in range(100):
                record(log, "gateway", "failed", text="x" * 100)
            flush(log)
        assert len(log.pending_lines) <= MAX_PENDING_LINES
        assert len(log.unwritten_bytes) <= MAX_UNWRITTEN_BYTES

    def test_a_reader_that_resumes_gets_whole_lines(self):
        log, reader = build_log()
        texts = []
        for number in range(3000):
            record(log, "gateway", "failed", id=number, text="x" * 50)
            if number % 100 == 0:
                flush(log)
        raw = b""
        for _ in range(100):
            flush(log)
            try:
                raw += os.read(reader, 1 << 22)
            except BlockingIOError:
                break
        texts = [msgspec.json.decode(line) for line in raw.splitlines()]
        assert texts[-1]["event"] in ("failed", "left_out")

    def test_a_closed_reader_does_not_end_the_daemon(self):
        log, reader = build_log()
        os.close(reader)
        record(log, "gateway", "failed")
        flush(log)


# Twice a full queue; each line of the test is shorter than 250 bytes.
MAX_UNWRITTEN_BYTES = 2 * MAX_PENDING_LINES * 250


class TestWriteErrors:
    """Guard against lines that are lost, or a writer that ends, with one error."""

    def test_full_disk_keeps_the_lines(self, monkeypatch):
        log, reader = build_log()
        record(log, "daemon", "started")
        with monkeypatch.context() as patch:

            def refuse(descriptor, data):
                raise OSError(errno.ENOSPC, "No space left on device")

            patch.setattr(os, "write", refuse)
            for _ in range(3):
                flush(log)
        flush(log)
        assert [line["event"] for line in read_lines(reader)] == ["started"]

    def test_text_that_is_no_unicode_is_written(self):
        # The names of files and variables of the system can hold such characters.
        log, reader = build_log()
        record(log, "daemon", "start_delayed", reason='"/etc/\udc80.toml" is missing')
        record(log, "daemon", "reloaded", seeds=("\udc80",))
        flush(log)
        lines = read_lines(reader)
        assert [line["event"] for line in lines] == ["start_delayed", "reloaded"]
        assert "is missing" in lines[0]["reason"]

    def test_writer_goes_on_after_an_unexpected_error(self, monkeypatch):
        async def scenario():
            log, reader = build_log()
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            stop = start_event_writer(log)
            with monkeypatch.context() as patch:

                def fail(descriptor, data):
                    raise ValueError("odd")

                patch.setattr(os, "write", fail)
                record(log, "daemon", "started")
                await asyncio.sleep(2 * FLUSH_INTERVAL_S)
            await asyncio.sleep(2 * FLUSH_INTERVAL_S)
            written = read_lines(reader)
            stop()
            return [line["event"] for line in written]

        assert run_virtual(scenario()) == ["started"]
