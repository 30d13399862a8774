"""Run a daemon until it is asked to stop, then stop it gracefully."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from absl import logging

from bramleyrouter.board.blackboard import Board, Section


class Daemon(NamedTuple):
    """Bundle a wired daemon.

    ``start`` raises ``OSError`` when an address is taken. ``drain`` ends what
    runs and gives away what this daemon owns; ``close`` ends all connections.
    """

    board: Board
    start: Callable[[], Awaitable[None]]
    drain: Callable[[], Awaitable[None]]
    close: Callable[[], Awaitable[None]]


async def stop_daemon(
    daemon: Daemon, balancer_wait_s: float, stop_timeout_s: float
) -> None:
    """Stop without cutting a request.

    Readiness goes off first, and callers are still served until the balancer
    has had ``balancer_wait_s`` to see it. Then what runs gets
    ``stop_timeout_s`` to end.
    """
    board = daemon.board
    board.readiness.reasons.add("stopping")
    board.notify_watchers(Section.READINESS)
    logging.info("daemon: stopping; the balancer gets %.1f s.", balancer_wait_s)
    await asyncio.sleep(balancer_wait_s)
    try:
        await asyncio.wait_for(daemon.drain(), stop_timeout_s)
    except TimeoutError:
        logging.error("daemon: requests still ran after %.1f s.", stop_timeout_s)
    await daemon.close()
    logging.info("daemon: stopped.")


async def run_daemon(
    daemon: Daemon, balancer_wait_s: float, stop_timeout_s: float
) -> None:
    """Start ``daemon``, wait for SIGTERM or SIGINT, and stop it."""
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await daemon.start()
    logging.info(
        "daemon: %s serves HTTP on %s.",
        daemon.board.identity.daemon_id,
        daemon.board.identity.http_address,
    )
    await asked.wait()
    await stop_daemon(daemon, balancer_wait_s, stop_timeout_s)
