"""Program ``bramley-control``."""

import asyncio
import sys
from functools import partial

from absl import logging

from bramleyrouter.conf.settings import Settings
from bramleyrouter.daemons.arguments import (
    EXIT_INVALID_SETTINGS,
    EXIT_START_FAILED,
    build_parser,
    load_settings,
)
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import (
    follow_signals,
    log_signal,
    run_daemon,
    run_until_stopped,
)
from bramleyrouter.daemons.start_steps import (
    StartFailedError,
    StartStep,
    finish_step,
    record_in_log,
    unwrap,
)
from bramleyrouter.daemons.wiring import build_control_daemon
from bramleyrouter.telemetry.logs import configure_logging

DESCRIPTION = "Store the accepted configuration and the submission ledger on disk."


async def _run(cfg: Settings, launch: Launch) -> int:
    lifecycle = follow_signals(launch.inbox, log_signal)
    finish = partial(finish_step, record_in_log)
    building = finish(
        StartStep.BUILD, lambda: unwrap(build_control_daemon(cfg, finish))
    )
    try:
        daemon = await run_until_stopped(lifecycle, building)
        if daemon is None:
            logging.info("daemon: stopped while it started.")
            return 0
        await run_daemon(daemon, cfg.balancer_wait_s, cfg.stop_timeout_s, lifecycle)
    except StartFailedError as exc:
        print(exc, file=sys.stderr)
        return EXIT_START_FAILED
    return 0


def main(launch: Launch) -> int:
    """Run a control daemon until SIGTERM or SIGINT."""
    cfg = load_settings(build_parser("bramley-control", DESCRIPTION).parse_args())
    if not cfg.data_folder:
        print("data_folder: required for a control daemon.", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    configure_logging(cfg.log_level)
    return asyncio.run(_run(cfg, launch))
