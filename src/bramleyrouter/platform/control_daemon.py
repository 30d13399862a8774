"""Run the control daemon on the platform."""

import asyncio
import time
from functools import partial

from result import Err

from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.daemons.fleet_control import build_control_parts
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import Daemon
from bramleyrouter.daemons.start_steps import StartStep, finish_step
from bramleyrouter.fleet.registry import apply_announcement
from bramleyrouter.platform.listeners import listen_metrics
from bramleyrouter.platform.operators import (
    ControlCalls,
    listen_control,
)
from bramleyrouter.platform.programs import run_program
from bramleyrouter.platform.route_documents import decode_route_table, has_customers
from bramleyrouter.platform.settings_watch import unwatch_settings, watch_settings
from bramleyrouter.telemetry.control_metrics import (
    ControlMetrics,
    build_observe_call,
    set_state_gauges,
)
from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.telemetry.memory import (
    build_memory_budget,
    read_resident_bytes,
    watch_memory,
)
from bramleyrouter.utils.guarded_http import ClientGuard
from bramleyrouter.utils.parse_turns import ParseTurns, read_client_metrics
from bramleyrouter.utils.stalls import Stalls, observe_run, read_boot_clock
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)

STALL_CHECK_INTERVAL_S = 0.1


def build_control_daemon(cfg: FleetSettings, log: EventLog, launch: Launch):
    """Build a control daemon for the platform.

    Fail with the error of the replicated log if that can't be opened; raise ``OSError``
    if the internal address can't be used.
    """
    seeds = [cfg.seeds]
    tasks = BackgroundTasks("platform")
    clock = asyncio.get_running_loop().time
    memory = build_memory_budget(cfg.memory_bytes, log)
    built = build_control_parts(
        cfg, log, lambda: seeds[0], memory, has_customers, decode_route_table
    )
    if isinstance(built, Err):
        return built
    parts, metrics = built.ok_value, ControlMetrics()
    stalls = Stalls(read_boot_clock())
    calls = ControlCalls(
        get_revision=parts.get_revision,
        publish=parts.operate,
        set_availability=parts.operate,
        read_routes=parts.read_routes,
        announce=lambda row: apply_announcement(parts.registry, row, clock()),
        depart=parts.departures.depart,
        withdraw=parts.departures.withdraw,
        recommend_control_address=parts.recommend_control_address,
        data_centres=cfg.data_centres,
        wall_clock=time.time,
        record=lambda part, event, **fields: record(log, part, event, **fields),
        observe=build_observe_call(metrics),
        get_rollout_sequence=parts.get_rollout_sequence,
        start_rollout=parts.operate,
        read_rollouts=parts.read_rollouts,
    )
    turns = ParseTurns()
    build_guard = lambda name: ClientGuard(
        name,
        turns,
        lambda part, event, **fields: record(log, part, event, **fields),
        max_connections=cfg.max_connections,
    )
    servers: list = []
    finish = partial(finish_step, partial(record, log))

    def apply_settings(new: FleetSettings) -> None:
        seeds[0] = new.seeds

    async def start() -> None:
        watch_settings(log, tasks, launch.inbox, cfg, apply_settings)
        update_metrics = lambda: set_state_gauges(
            metrics,
            {
                **parts.read_metrics(),
                "resident_bytes": read_resident_bytes(),
                "held_bytes": memory.held_bytes,
                "ended_holders": memory.ended_count,
                **read_client_metrics(turns),
            },
        )
        open_metrics = lambda: listen_metrics(
            cfg.metrics_address,
            metrics.registry,
            update_metrics,
            build_guard("metrics"),
        )
        spawn(tasks, finish(StartStep.METRICS_LISTENER, open_metrics))
        open_control = lambda: listen_control(
            cfg.control_address, calls, stalls, memory, build_guard("control")
        )
        servers.append(await finish(StartStep.CONTROL_LISTENER, open_control))
        parts.board.readiness.reasons.discard("starting")
        observe = lambda: observe_run(stalls, read_boot_clock())
        spawn(tasks, run_periodically(STALL_CHECK_INTERVAL_S, observe))
        watch_memory(tasks, log, cfg.memory_bytes, memory)
        record(
            log,
            "daemon",
            "started",
            control_address=cfg.control_address,
            seconds=launch.measure_age_s(),
        )

    async def drain() -> None:
        for server in servers:
            server.stop()

    async def close() -> None:
        record(log, "daemon", "stopped")
        unwatch_settings(launch.inbox)
        cancel_all(tasks)
        await parts.close()

    return built.map(lambda _: Daemon(parts.board, start, drain, close))


def main(launch: Launch) -> int:
    """Run a control daemon until SIGTERM and return the exit code."""
    required = ("control_address", "data_folder")
    return run_program(build_control_daemon, 0.0, required, launch)
