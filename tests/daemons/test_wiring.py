"""Tests of the product's daemons that are closed at odd moments."""

import asyncio
import random
import socket

import pytest

from bramleyrouter.conf.settings import Settings
from bramleyrouter.daemons.lifecycles import Lifecycle, run_daemon
from bramleyrouter.daemons.wiring import build_control_daemon, build_entry_daemon
from bramleyrouter.utils.addresses import split_address
from tests.support.platform_processes import find_network


def build(role, folder):
    """Return a daemon and its settings."""
    ip = find_network(random.Random()) + ".10"
    cfg = Settings(
        daemon_id=f"{role}-1",
        data_centre="dc1",
        internal_address=f"{ip}:7380",
        http_address=f"{ip}:8800",
        cluster_key="a cluster key of the test",
        operator_token="a token of the test",
        control=(f"{ip}:7380",),
        data_folder=str(folder / "data") if role == "control" else "",
        members=(f"{ip}:7380",) if role == "control" else (),
    )
    if role == "entry":
        return build_entry_daemon(cfg), cfg
    return build_control_daemon(cfg).unwrap(), cfg


@pytest.mark.parametrize("role", ["control", "entry"])
class TestClose:
    """Guard against a stop that fails because the start did not get that far."""

    def test_daemon_that_never_started(self, tmp_path, role):
        async def work():
            daemon, _ = build(role, tmp_path)
            lifecycle = Lifecycle()
            lifecycle.stop_requested.set()
            await run_daemon(daemon, 0.0, 5.0, lifecycle)

        asyncio.run(work())

    def test_daemon_whose_start_failed_in_the_middle(self, tmp_path, role):
        async def work():
            daemon, cfg = build(role, tmp_path)
            host, port = split_address(cfg.http_address)
            with socket.create_server((host, port)):
                with pytest.raises(OSError, match="in use"):
                    await daemon.start()
                await daemon.drain()
                await daemon.close()

        asyncio.run(work())

    def test_daemon_that_is_drained_and_closed_twice(self, tmp_path, role):
        async def work():
            daemon, _ = build(role, tmp_path)
            await daemon.start()
            for _ in range(2):
                await daemon.drain()
                await daemon.close()

        asyncio.run(work())
