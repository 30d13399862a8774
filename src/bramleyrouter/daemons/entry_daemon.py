"""Program ``bramley-entry``."""

import asyncio
import sys
from functools import partial

from bramleyrouter.conf.settings import Settings
from bramleyrouter.daemons.arguments import (
    EXIT_START_FAILED,
    build_parser,
    load_settings,
)
from bramleyrouter.daemons.launching import Launch
from bramleyrouter.daemons.lifecycles import follow_signals, log_signal, run_daemon
from bramleyrouter.daemons.start_steps import (
    StartFailedError,
    finish_step,
    record_in_log,
)
from bramleyrouter.daemons.wiring import build_entry_daemon
from bramleyrouter.telemetry.logs import configure_logging

DESCRIPTION = "Serve callers: route queries and submissions to backend servers."


async def _run(cfg: Settings, launch: Launch) -> int:
    lifecycle = follow_signals(launch.inbox, log_signal)
    daemon = build_entry_daemon(cfg, partial(finish_step, record_in_log))
    try:
        await run_daemon(daemon, cfg.balancer_wait_s, cfg.stop_timeout_s, lifecycle)
    except StartFailedError as exc:
        print(exc, file=sys.stderr)
        return EXIT_START_FAILED
    return 0


def main(launch: Launch) -> int:
    """Run an entry daemon until SIGTERM or SIGINT."""
    cfg = load_settings(build_parser("bramley-entry", DESCRIPTION).parse_args())
    configure_logging(cfg.log_level)
    return asyncio.run(_run(cfg, launch))
