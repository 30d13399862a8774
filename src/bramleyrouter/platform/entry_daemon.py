"""Run the entry daemon on the platform."""

import asyncio
from functools import partial

from result import Ok, Result

from bramleyrouter.board.blackboard import Section
from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.daemons.fleet_entry import build_entry_parts
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import Daemon
from bramleyrouter.daemons.start_steps import StartStep, finish_step
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.tables import CallerLimits, RouteTable
from bramleyrouter.platform.callers import (
    listen_callers,
    set_caller_limits,
    set_close_after_replies,
    stop_listening,
)
from bramleyrouter.platform.listeners import listen_metrics, listen_ready
from bramleyrouter.platform.programs import CLOSE_RESERVE_S, run_program
from bramleyrouter.platform.route_documents import decode_route_table
from bramleyrouter.platform.server_transport import build_server_transport
from bramleyrouter.platform.settings_watch import unwatch_settings, watch_settings
from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.telemetry.gateway_metrics import set_backed_off, set_rejections
from bramleyrouter.telemetry.memory import (
    build_memory_budget,
    read_resident_bytes,
    watch_memory,
)
from bramleyrouter.utils.guarded_http import ClientGuard
from bramleyrouter.utils.parse_turns import ParseTurns, read_client_metrics
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)

# The balancer probes readiness once per second and removes a daemon after two
# failed probes.
BALANCER_WAIT_S = 3.2
POOL_SWEEP_INTERVAL_S = 2.0
# Reason why the daemon is not ready while a listener is missing.
NOT_LISTENING = "not listening"


def build_entry_daemon(
    cfg: FleetSettings, log: EventLog, launch: Launch
) -> Result[Daemon, Failure]:
    """Build an entry daemon for the platform."""
    tasks = BackgroundTasks("platform")
    memory = build_memory_budget(cfg.memory_bytes, log)
    transport, close_pools_except = build_server_transport(memory)
    turns = ParseTurns()
    build_guard = lambda name: ClientGuard(
        name,
        turns,
        lambda part, event, **fields: record(log, part, event, **fields),
        max_connections=cfg.max_connections,
    )
    listeners: list = []
    # Holds the limits that apply when the listener is opened after the first table.
    limits = [CallerLimits()]

    def apply_caller_limits(table: RouteTable) -> None:
        limits[0] = table.limits
        if listeners:
            set_caller_limits(listeners[0], table.limits)

    parts = build_entry_parts(
        cfg, log, transport, decode_route_table, apply_caller_limits, memory
    )
    reasons = parts.board.readiness.reasons
    reasons.add(NOT_LISTENING)
    view = parts.watcher.state.view
    finish = partial(finish_step, partial(record, log))

    def open_caller_listener() -> None:
        listener = listen_callers(
            cfg.caller_address,
            parts.gateway.handle,
            limits[0],
            memory,
            lambda part, event, **fields: record(log, part, event, **fields),
            turns,
            cfg.max_connections,
        )
        listeners.append(listener)
        update_close_after_replies()

    def update_close_after_replies() -> None:
        if listeners:
            set_close_after_replies(listeners[0], bool(reasons))

    def handle_readiness_probe() -> bool:
        is_ready = not reasons
        parts.gateway.record_readiness_probe(is_ready)
        return is_ready

    def update_metrics() -> None:
        state, watcher_state = parts.metrics.state, parts.watcher.state
        state.set({"value": "table_version"}, watcher_state.table_version)
        state.set({"value": "servers"}, len(view.merged))
        state.set({"value": "control_daemons"}, len(watcher_state.last_contact_at))
        state.set({"value": "control_silence_s"}, parts.watcher.silence_s())
        state.set({"value": "entry_daemons"}, parts.watcher.entry_daemons() or 0)
        state.set({"value": "in_flight"}, parts.gateway.in_flight())
        state.set({"value": "ready"}, int(not reasons))
        state.set({"value": "held_bytes"}, memory.held_bytes)
        state.set({"value": "resident_bytes"}, read_resident_bytes())
        state.set({"value": "ended_holders"}, memory.ended_count)
        state.set({"value": "loop_lag_s"}, parts.gateway.estimate_lag())
        for name, value in read_client_metrics(turns).items():
            state.set({"value": name}, value)
        set_backed_off(parts.metrics, parts.gateway.list_backed_off())
        set_rejections(parts.metrics, parts.gateway.list_rejections())
        for kind, count in parts.gateway.get_send_counts().items():
            parts.metrics.sends.set({"kind": kind}, count)

    async def start() -> None:
        parts.board.watch(Section.READINESS, update_close_after_replies)
        apply_settings = lambda new: parts.watcher.set_seeds(new.seeds)
        watch_settings(log, tasks, launch.inbox, cfg, apply_settings)
        open_metrics = lambda: listen_metrics(
            cfg.metrics_address,
            parts.metrics.registry,
            update_metrics,
            build_guard("metrics"),
        )
        spawn(tasks, finish(StartStep.METRICS_LISTENER, open_metrics))
        open_ready = lambda: listen_ready(
            cfg.ready_address, handle_readiness_probe, build_guard("ready")
        )
        await asyncio.gather(
            finish(StartStep.INTERNAL_LISTENER, parts.listen),
            finish(StartStep.CALLER_LISTENER, open_caller_listener),
            finish(StartStep.READY_LISTENER, open_ready),
        )
        reasons.discard(NOT_LISTENING)
        parts.board.notify_watchers(Section.READINESS)
        sweep = run_periodically(
            POOL_SWEEP_INTERVAL_S,
            lambda: close_pools_except(set(view.merged)),
            POOL_SWEEP_INTERVAL_S,
        )
        spawn(tasks, sweep)
        watch_memory(tasks, log, cfg.memory_bytes, memory)
        record(
            log,
            "daemon",
            "started",
            caller_address=cfg.caller_address,
            seconds=launch.measure_age_s(),
        )

    async def drain() -> None:
        timeout_s = cfg.bounds.stop_s - BALANCER_WAIT_S - CLOSE_RESERVE_S
        for listener in listeners:
            await stop_listening(listener, timeout_s)

    async def close() -> None:
        record(log, "daemon", "stopped", in_flight=parts.gateway.in_flight())
        unwatch_settings(launch.inbox)
        cancel_all(tasks)
        await parts.close()

    return Ok(Daemon(parts.board, start, drain, close))


def main(launch: Launch) -> int:
    """Run an entry daemon until SIGTERM and return the exit code."""
    required = ("caller_address", "ready_address")
    return run_program(build_entry_daemon, BALANCER_WAIT_S, required, launch)
