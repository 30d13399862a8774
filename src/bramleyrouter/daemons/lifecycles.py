"""Run a daemon until it receives a stop signal, then stop it gracefully."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, TypeVar

from absl import logging

from bramleyrouter.board.blackboard import Board, Section
from bramleyrouter.daemons.signals import STOP_SIGNALS, SignalInbox, deliver_signals

Value = TypeVar("Value")


class Daemon(NamedTuple):
    """Hold the blackboard and the lifecycle functions of a daemon.

    ``start`` raises ``StartFailedError`` or ``OSError`` if the daemon can't start.
    ``drain`` waits for running requests and hands over the servers whose home is this
    daemon; ``close`` closes all connections. Both may be called after a start that was
    cancelled.
    """

    board: Board
    start: Callable[[], Coroutine[Any, Any, None]]
    drain: Callable[[], Awaitable[None]]
    close: Callable[[], Awaitable[None]]


class Phase(Enum):
    """Name the part of its life that a process is in."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Lifecycle:
    """Hold the phase of a process and whether it was asked to stop."""

    phase: Phase = Phase.STARTING
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)


def follow_signals(
    inbox: SignalInbox, on_receive: Callable[[str, Phase], None]
) -> Lifecycle:
    """Return a lifecycle that SIGTERM and SIGINT end, also if they came before.

    ``on_receive`` gets the name of each signal and the phase in which it came.
    """
    lifecycle = Lifecycle()
    callbacks = dict.fromkeys(STOP_SIGNALS, lifecycle.stop_requested.set)
    deliver_signals(
        inbox,
        asyncio.get_running_loop(),
        callbacks,
        lambda name: on_receive(name, lifecycle.phase),
    )
    return lifecycle


def log_signal(name: str, phase: Phase) -> None:
    """Log a signal of a daemon that writes no events."""
    logging.info("daemon: received %s while %s.", name, phase.value)


async def run_until_stopped(
    lifecycle: Lifecycle, work: Coroutine[Any, Any, Value]
) -> Value | None:
    """Return the result of ``work``, or none if the process was asked to stop first.

    In the second case ``work`` is cancelled, or not begun at all.
    """
    if lifecycle.stop_requested.is_set():
        work.close()
        return None
    task = asyncio.ensure_future(work)
    stop = asyncio.ensure_future(lifecycle.stop_requested.wait())
    try:
        await asyncio.wait({task, stop}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
        return None if task.cancelled() else task.result()
    finally:
        task.cancel()
        stop.cancel()


async def stop_daemon(
    daemon: Daemon, balancer_wait_s: float, stop_timeout_s: float
) -> None:
    """Stop a daemon without interrupting running requests.

    Readiness is withdrawn first. Callers are still served for
    ``balancer_wait_s`` seconds, so that the balancer can notice it. Running
    requests then have ``stop_timeout_s`` seconds to finish. The daemon is closed also
    if ``drain`` raises.
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
    finally:
        await daemon.close()
    logging.info("daemon: stopped.")


async def start_daemon(daemon: Daemon) -> bool:
    """Start a daemon; return true, which tells it from a start that was interrupted."""
    await daemon.start()
    return True


async def run_daemon(
    daemon: Daemon,
    balancer_wait_s: float,
    stop_timeout_s: float,
    lifecycle: Lifecycle,
) -> None:
    """Start ``daemon``, wait until it is asked to stop, and stop it.

    A start that is interrupted is not waited for, and the balancer isn't either, as it
    has sent no caller yet.
    """
    if not await run_until_stopped(lifecycle, start_daemon(daemon)):
        lifecycle.phase = Phase.STOPPING
        await stop_daemon(daemon, 0.0, stop_timeout_s)
        return
    lifecycle.phase = Phase.RUNNING
    logging.info(
        "daemon: %s serves HTTP on %s.",
        daemon.board.identity.daemon_id,
        daemon.board.identity.http_address,
    )
    await lifecycle.stop_requested.wait()
    lifecycle.phase = Phase.STOPPING
    await stop_daemon(daemon, balancer_wait_s, stop_timeout_s)
