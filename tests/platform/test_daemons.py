"""Tests of the platform's daemons that are closed, or notified, at odd moments."""

import asyncio
import json
import socket

import pytest

from bramleyrouter.board.blackboard import Section
from bramleyrouter.daemons.launching import STDOUT, Launch
from bramleyrouter.daemons.lifecycles import Lifecycle, run_daemon
from bramleyrouter.daemons.signals import SIGHUP, SignalInbox
from bramleyrouter.gateway.tables import CallerLimits, RouteTable
from bramleyrouter.ids import TableVersion
from bramleyrouter.platform import entry_daemon
from bramleyrouter.platform.control_daemon import build_control_daemon
from bramleyrouter.platform.entry_daemon import build_entry_daemon
from bramleyrouter.platform.names import SETTINGS_VARIABLE
from bramleyrouter.platform.settings import read_settings
from bramleyrouter.telemetry.events import EventLog
from bramleyrouter.utils.addresses import split_address
from tests.support.process_events import LIMIT_S, pick

BUILDERS = {"control": build_control_daemon, "entry": build_entry_daemon}
LIMITS = CallerLimits(max_body_bytes=4321, max_header_bytes=2345, idle_timeout_s=7.0)


class Built:
    """Build a daemon in the test's process; ``close`` it with the test's loop."""

    def __init__(self, deployment, role, monkeypatch):
        self.vm = pick(deployment, role)
        deployment.write_settings(self.vm)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(self.vm.settings_path))
        self.cfg = read_settings(str(self.vm.settings_path)).unwrap()
        self.log, self.inbox = EventLog(), SignalInbox()
        self.launch = Launch("test", STDOUT, self.inbox)
        self.daemon = BUILDERS[role](self.cfg, self.log, self.launch).unwrap()

    def read_names(self):
        return [json.loads(line)["event"] for line in self.log.pending_lines]


@pytest.mark.parametrize("role", ["control", "entry"])
class TestClose:
    """Guard against a stop that fails because the start did not get that far."""

    def test_daemon_that_never_started(self, deployment, role, monkeypatch):
        async def work():
            built, lifecycle = Built(deployment, role, monkeypatch), Lifecycle()
            lifecycle.stop_requested.set()
            await run_daemon(built.daemon, 0.0, 1.0, lifecycle)
            assert "started" not in built.read_names()

        asyncio.run(work())

    def test_daemon_whose_start_ended_in_the_middle(
        self, deployment, role, monkeypatch
    ):
        async def work():
            built = Built(deployment, role, monkeypatch)
            address = built.cfg.caller_address or built.cfg.control_address
            host, port = split_address(address)
            with socket.create_server((host, port)):
                starting = asyncio.ensure_future(built.daemon.start())
                while "start_delayed" not in built.read_names():
                    await asyncio.sleep(0.01)
                starting.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await starting
                await built.daemon.drain()
                await built.daemon.close()

        asyncio.run(asyncio.wait_for(work(), LIMIT_S))

    def test_daemon_that_is_drained_and_closed_twice(
        self, deployment, role, monkeypatch
    ):
        async def work():
            built = Built(deployment, role, monkeypatch)
            await built.daemon.start()
            for _ in range(2):
                await built.daemon.drain()
                await built.daemon.close()

        asyncio.run(work())

    def test_sighup_and_changed_settings_after_the_close_are_ignored(
        self, deployment, role, monkeypatch
    ):
        async def work():
            built = Built(deployment, role, monkeypatch)
            await built.daemon.start()
            await built.daemon.drain()
            await built.daemon.close()
            await asyncio.sleep(0)
            built.inbox.callbacks[SIGHUP]()
            assert "reloaded" not in built.read_names()
            own = {asyncio.current_task()}
            running = [str(task) for task in asyncio.all_tasks() - own]
            assert not [text for text in running if "run_periodically" in text]

        asyncio.run(work())


class TestCallerLimits:
    """Guard against limits that are lost as no listener exists yet."""

    def test_table_that_comes_before_the_listener(self, deployment, monkeypatch):
        tables, listeners = [], []
        build_parts, listen = (
            entry_daemon.build_entry_parts,
            entry_daemon.listen_callers,
        )

        def build_parts_and_keep(cfg, log, transport, decode, on_table, memory):
            tables.append(on_table)
            return build_parts(cfg, log, transport, decode, on_table, memory)

        def listen_and_keep(*arguments):
            listeners.append(listen(*arguments))
            return listeners[0]

        monkeypatch.setattr(entry_daemon, "build_entry_parts", build_parts_and_keep)
        monkeypatch.setattr(entry_daemon, "listen_callers", listen_and_keep)

        async def work():
            built = Built(deployment, "entry", monkeypatch)
            tables[0](RouteTable(TableVersion(1), (), (), LIMITS))
            built.daemon.board.readiness.reasons.clear()
            await built.daemon.start()
            params = listeners[0].server.conn_params
            assert params.max_body_size == LIMITS.max_body_bytes
            assert params.max_header_size == LIMITS.max_header_bytes
            assert params.header_timeout < 60.0
            await built.daemon.drain()
            await built.daemon.close()

        asyncio.run(work())

    def test_daemon_that_is_not_ready_closes_connections_from_the_first(
        self, deployment, monkeypatch
    ):
        listeners = []
        listen = entry_daemon.listen_callers

        def listen_and_keep(*arguments):
            listeners.append(listen(*arguments))
            return listeners[0]

        monkeypatch.setattr(entry_daemon, "listen_callers", listen_and_keep)

        async def work():
            built = Built(deployment, "entry", monkeypatch)
            assert built.daemon.board.readiness.reasons
            await built.daemon.start()
            assert listeners[0].state.closes_after_replies
            built.daemon.board.readiness.reasons.clear()
            built.daemon.board.notify_watchers(Section.READINESS)
            assert not listeners[0].state.closes_after_replies
            await built.daemon.drain()
            await built.daemon.close()

        asyncio.run(work())
