"""Tests of the platform's programs while nobody reads their output."""

import asyncio
import fcntl
import os
import signal
import socket

import pytest

from tests.support.platform_processes import (
    INTERNAL_PORT,
    METRICS_PORT,
    fetch_status,
)
from tests.support.process_events import LIMIT_S, pick

# A greeting that is too long. It is logged on standard error.
BAD_GREETING = b"x" * 32 + b"\xff\xff"


def make_unread_pipe():
    """Return both ends of a pipe that is full."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(writer, False)
    os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    return reader, writer


def make_closed_pipe():
    """Return the write end of a pipe whose read end is closed."""
    reader, writer = os.pipe()
    os.close(reader)
    return (writer,)


async def send_bad_greetings(vm):
    for _ in range(100):
        with socket.create_connection((vm.ip, INTERNAL_PORT), LIMIT_S) as sock:
            sock.sendall(BAD_GREETING)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("role", ["control", "entry"])
@pytest.mark.parametrize("make_pipe", [make_unread_pipe, make_closed_pipe])
@pytest.mark.parametrize("output", ["stdout", "stderr"])
class TestUnreadOutput:
    """Guard against a daemon that stands still or ends, as its log isn't read."""

    def test_daemon_goes_on(self, deployment, role, make_pipe, output):
        vm, descriptors = pick(deployment, role), make_pipe()
        deployment.write_settings(vm)
        deployment.start_program(vm, outputs={output: descriptors[-1]})
        url = f"http://{vm.ip}:{METRICS_PORT}/metrics"

        async def work():
            async def serves():
                return await fetch_status(url) == 200

            assert await deployment.wait_until(serves, LIMIT_S)
            await send_bad_greetings(vm)
            assert await deployment.wait_until(serves, LIMIT_S)

        asyncio.run(work())
        vm.child.send_signal(signal.SIGTERM)
        assert vm.child.wait(LIMIT_S) == 0
        for descriptor in descriptors:
            os.close(descriptor)
