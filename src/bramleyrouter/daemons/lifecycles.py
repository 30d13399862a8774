"""Run a daemon until it receives a stop signal, then stop it gracefully."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from absl import logging

from bramleyrouter.board.blackboard import Board, Section


class Daemon(NamedTuple):
    """Hold the blackboard and the lifecycle functions of a daemon.

    ``start`` raises ``OSError`` if an address is in use. ``drain`` waits for
    running requests and hands over the servers whose home is this daemon;
    ``close`` closes all connections.
    """

    board: Board
    start: Callable[[], Awaitable[None]]
    drain: Callable[[], Awaitable[None]]
    close: Callable[[], Awaitable[None]]


async def stop_daemon(
    daemon: Daemon, balancer_wait_s: float, stop_timeout_s: float
) -> None:
    """Stop a daemon without interrupting running requests.

    Readiness is withdrawn first. Callers are still served for
    ``balancer_wait_s`` seconds, so that the balancer can notice it. Running
    requests then have ``stop_timeout_s`` seconds to finish.
    """
    board = daemon.board
    board.readiness.reasons.add("stopping")
    board.notify_watchers(Section.READINESS)
    logging.info("daemon: stopping; waiting %.1f s for the balancer.", balancer_wait_s)
    await asyncio.sleep(balancer_wait_s)
    try:
        await asyncio.wait_for(daemon.drain(), stop_timeout_s)
    except TimeoutError:
        logging.error(
            "daemon: requests were still running after %.1f s.", stop_timeout_s
        )
    await daemon.close()
    logging.info("daemon: stopped.")


async def run_daemon(
    daemon: Daemon, balancer_wait_s: float, stop_timeout_s: float
) -> None:
    """Start ``daemon``, wait for SIGTERM or SIGINT, and stop it."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await daemon.start()
    logging.info(
        "daemon: %s serves HTTP on %s.",
        daemon.board.identity.daemon_id,
        daemon.board.identity.http_address,
    )
    await stop_requested.wait()
    await stop_daemon(daemon, balancer_wait_s, stop_timeout_s)
