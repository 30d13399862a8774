"""Load settings and run a daemon; shared by the entry and control daemons."""

import asyncio
import gc
import sys
from collections.abc import Callable
from functools import partial

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import (
    Daemon,
    Phase,
    follow_signals,
    run_daemon,
    run_until_stopped,
)
from bramleyrouter.daemons.start_steps import (
    FailureError,
    StartFailedError,
    StartStep,
    finish_step,
    unwrap,
)
from bramleyrouter.failures import Failure
from bramleyrouter.platform.settings import get_settings_path, read_settings
from bramleyrouter.telemetry.events import EventLog, record, start_event_writer
from bramleyrouter.telemetry.logs import configure_logging
from bramleyrouter.telemetry.loop_failures import record_loop_failures

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
# Reserved for closing before the platform kills the process.
CLOSE_RESERVE_S = 0.4
# Interval at which a daemon whose data folder can't be used tries to start again.
START_RETRY_INTERVAL_S = 0.5


# Builds a daemon from its settings; a failure aborts the start.
BuildDaemon = Callable[[FleetSettings, EventLog], Result[Daemon, Failure]]


def _get_settings_path_or_exit() -> str:
    try:
        return get_settings_path()
    except KeyError as exc:
        print(f"The environment variable {exc} is not set.", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)


def read_program_settings(
    path: str, required: tuple[str, ...]
) -> Result[FleetSettings, Failure]:
    """Read the settings; fail as ``read_settings`` does.

    A file that is being written can end between two fields, so the fields that this
    program needs, named in ``required``, must be there.
    """
    loaded = read_settings(path)
    for name in required:
        if isinstance(loaded, Ok) and not getattr(loaded.ok_value, name):
            text = f'"{path}" holds no valid settings: no value of "{name}".'
            return Err(Failure(Code.SETTINGS_INVALID, text))
    return loaded


async def build_once_disk_works(
    build: BuildDaemon, cfg: FleetSettings, log: EventLog
) -> Result[Daemon, Failure]:
    """Build the daemon, again and again while its data folder can't be used.

    A disk may fail for seconds, and the process before may not have released the folder
    or the internal address yet. Any other failure lasts, and is returned.
    """
    try:
        daemon = await finish_step(
            partial(record, log),
            StartStep.BUILD,
            lambda: unwrap(build(cfg, log)),
            interval_s=START_RETRY_INTERVAL_S,
        )
    except StartFailedError as exc:
        if isinstance(exc.cause, FailureError):
            return Err(exc.cause.failure)
        raise
    return Ok(daemon)


async def _start_and_run(
    build: BuildDaemon,
    path: str,
    balancer_wait_s: float,
    required: tuple[str, ...],
    log: EventLog,
    launch: Launch,
) -> int:
    def record_signal(name: str, phase: Phase) -> None:
        record(log, "daemon", "signal", name=name, phase=phase.value)

    lifecycle = follow_signals(launch.inbox, record_signal)
    read = lambda: unwrap(read_program_settings(path, required))
    reading = finish_step(partial(record, log), StartStep.SETTINGS, read)
    cfg = await run_until_stopped(lifecycle, reading)
    if cfg is None:
        record(log, "daemon", "stopped")
        return 0
    log.daemon = launch.daemon = cfg.daemon_id
    record(log, "daemon", "settings_read", seconds=launch.measure_age_s())
    # Most objects created so far live as long as the process, so the garbage collector
    # need not examine them.
    gc.freeze()
    building = build_once_disk_works(build, cfg, log)
    built = await run_until_stopped(lifecycle, building)
    if built is None:
        record(log, "daemon", "stopped")
        return 0
    if isinstance(built, Err):
        return EXIT_START_FAILED
    record(log, "daemon", "built", seconds=launch.measure_age_s())
    stop_s = cfg.bounds.stop_s - balancer_wait_s - CLOSE_RESERVE_S / 2
    await run_daemon(built.ok_value, balancer_wait_s, stop_s, lifecycle)
    return 0


async def _run(
    build: BuildDaemon,
    path: str,
    balancer_wait_s: float,
    required: tuple[str, ...],
    launch: Launch,
) -> int:
    log = EventLog()
    stop_event_writer = start_event_writer(log)
    record_loop_failures(log, asyncio.get_running_loop())
    try:
        return await _start_and_run(build, path, balancer_wait_s, required, log, launch)
    except StartFailedError:
        return EXIT_START_FAILED
    finally:
        stop_event_writer()


def run_program(
    build: Callable[[FleetSettings, EventLog, Launch], Result[Daemon, Failure]],
    balancer_wait_s: float,
    required: tuple[str, ...],
    launch: Launch,
) -> int:
    """Run a daemon until SIGTERM and return the exit code.

    After SIGTERM the daemon serves for another ``balancer_wait_s`` seconds, so that
    the balancer can remove it first. ``required`` names the fields of the settings
    without which the daemon can't be built.
    """
    path = _get_settings_path_or_exit()
    configure_logging("warning")
    build_daemon: BuildDaemon = lambda cfg, log: build(cfg, log, launch)
    return asyncio.run(_run(build_daemon, path, balancer_wait_s, required, launch))
