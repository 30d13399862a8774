"""The two programs on the platform: entry daemon and control daemon."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from result import Err

from bramleyrouter.board.blackboard import Section
from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.daemons.fleet import build_control_parts, build_entry_parts
from bramleyrouter.daemons.lifecycles import Daemon, run_daemon
from bramleyrouter.fleet.registry import announce, withdraw
from bramleyrouter.gateway.tables import CallerLimits, RouteTable
from bramleyrouter.platform.callers import (
    close_after_replies,
    listen_callers,
    set_limits,
    stop_listening,
)
from bramleyrouter.platform.documents import decode_document
from bramleyrouter.platform.operators import (
    ControlCalls,
    listen_control,
    listen_metrics,
    listen_ready,
)
from bramleyrouter.platform.servers import build_transport
from bramleyrouter.platform.settings import read_settings, settings_path
from bramleyrouter.telemetry.control_metrics import (
    ControlMetrics,
    build_observe_call,
    show_state,
)
from bramleyrouter.telemetry.events import EventLog, record, start_writing
from bramleyrouter.telemetry.logs import set_up_logs
from bramleyrouter.utils.tasks import TaskGroup, repeat, spawn

EXIT_SETTINGS = 2
EXIT_START_FAILED = 3
# The balancer asks once per second and takes a daemon out after two misses.
BALANCER_WAIT_S = 3.2
# Time kept for closing before the process is killed, in seconds.
CLOSE_S = 0.4
# Time between two looks at the settings file, in seconds.
SETTINGS_POLL_S = 1.0
POOL_SWEEP_S = 2.0


def _load() -> FleetSettings:
    loaded = read_settings(settings_path())
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    return loaded.ok_value


def _watch_settings(
    log: EventLog, group: TaskGroup, on_change: Callable[[FleetSettings], None]
) -> None:
    """Read the settings again on SIGHUP and when the file changes."""
    path = settings_path()
    seen = [os.stat(path).st_mtime_ns]

    def reload() -> None:
        loaded = read_settings(path)
        if isinstance(loaded, Err):
            record(log, "daemon", "reload_failed", reason=str(loaded.err_value))
            return
        record(log, "daemon", "reloaded", seeds=loaded.ok_value.seeds)
        on_change(loaded.ok_value)

    def look() -> None:
        changed_at = os.stat(path).st_mtime_ns
        if changed_at != seen[0]:
            seen[0] = changed_at
            reload()

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    spawn(group, repeat(SETTINGS_POLL_S, look, SETTINGS_POLL_S))


def build_entry(cfg: FleetSettings, log: EventLog) -> Daemon:
    """Wire an entry daemon to the platform."""
    group = TaskGroup("platform")
    transport, keep_only = build_transport()
    listeners: list = []

    def on_table(table: RouteTable) -> None:
        if listeners:
            set_limits(listeners[0], table.limits)

    parts = build_entry_parts(cfg, log, transport, decode_document, on_table)
    reasons = parts.board.readiness.reasons
    view = parts.watching.watch.view

    def note_readiness() -> None:
        if listeners:
            close_after_replies(listeners[0], bool(reasons))

    def answer_balancer() -> bool:
        is_ready = not reasons
        parts.gateway.note_question(is_ready)
        return is_ready

    def collect() -> None:
        state, watch = parts.metrics.state, parts.watching.watch
        state.set({"value": "table_version"}, watch.table_version)
        state.set({"value": "servers"}, len(view.merged))
        state.set({"value": "control_daemons"}, len(watch.heard_at))
        state.set({"value": "control_silence_s"}, parts.watching.silence_s())
        state.set({"value": "entry_daemons"}, parts.watching.entry_daemons())
        state.set({"value": "in_flight"}, parts.gateway.in_flight())
        state.set({"value": "ready"}, int(not reasons))

    async def start() -> None:
        parts.listen()
        listeners.append(
            listen_callers(cfg.caller_address, parts.gateway.handle, CallerLimits())
        )
        listen_ready(cfg.ready_address, answer_balancer)
        listen_metrics(cfg.metrics_address, parts.metrics.registry, collect)
        parts.board.watch(Section.READINESS, note_readiness)
        _watch_settings(log, group, lambda new: parts.watching.set_seeds(new.seeds))
        sweep = repeat(POOL_SWEEP_S, lambda: keep_only(set(view.merged)), POOL_SWEEP_S)
        spawn(group, sweep)
        record(log, "daemon", "started", caller_address=cfg.caller_address)

    async def drain() -> None:
        left_s = cfg.bounds.stop_s - BALANCER_WAIT_S - CLOSE_S
        await stop_listening(listeners[0], left_s)

    async def close() -> None:
        record(log, "daemon", "stopped", in_flight=parts.gateway.in_flight())
        await parts.close()

    return Daemon(parts.board, start, drain, close)


def build_control_daemon(cfg: FleetSettings, log: EventLog):
    """Wire a control daemon to the platform; fails as its log does."""
    seeds = [cfg.seeds]
    group = TaskGroup("platform")
    clock = asyncio.get_running_loop().time
    built = build_control_parts(cfg, log, lambda: seeds[0])
    if isinstance(built, Err):
        return built
    parts, metrics = built.ok_value, ControlMetrics()
    calls = ControlCalls(
        publish=parts.operate,
        set_out=parts.operate,
        read=parts.read_routes,
        announce=lambda row: announce(parts.registry, row, clock()),
        withdraw=lambda server_id, incarnation: withdraw(
            parts.registry, server_id, incarnation, clock()
        ),
        recommend=parts.recommend,
        data_centres=cfg.data_centres,
        record=lambda part, event, **fields: record(log, part, event, **fields),
        observe=build_observe_call(metrics),
    )
    servers: list = []

    def take_settings(new: FleetSettings) -> None:
        seeds[0] = new.seeds

    async def start() -> None:
        parts.listen()
        servers.append(listen_control(cfg.control_address, calls))
        collect = lambda: show_state(metrics, parts.state())
        listen_metrics(cfg.metrics_address, metrics.registry, collect)
        parts.board.readiness.reasons.discard("starting")
        _watch_settings(log, group, take_settings)
        record(log, "daemon", "started", control_address=cfg.control_address)

    async def drain() -> None:
        servers[0].stop()

    async def close() -> None:
        record(log, "daemon", "stopped")
        await parts.close()

    return built.map(lambda _: Daemon(parts.board, start, drain, close))


async def _run(role: str, cfg: FleetSettings) -> int:
    log = EventLog(daemon=cfg.daemon_id)
    stop_writing = start_writing(log)
    gc.freeze()
    try:
        if role == "entry":
            daemon, wait_s = build_entry(cfg, log), BALANCER_WAIT_S
        else:
            built = build_control_daemon(cfg, log)
            if isinstance(built, Err):
                record(log, "daemon", "start_failed", reason=str(built.err_value))
                return EXIT_START_FAILED
            daemon, wait_s = built.ok_value, 0.0
        await run_daemon(daemon, wait_s, cfg.bounds.stop_s - wait_s - CLOSE_S / 2)
    finally:
        stop_writing()
    return 0


def main(role: str) -> None:
    """Run the program of ``role`` ("entry" or "control") until SIGTERM."""
    cfg = _load()
    set_up_logs("warning")
    sys.exit(asyncio.run(_run(role, cfg)))
