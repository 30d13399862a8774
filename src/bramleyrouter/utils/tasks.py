"""Run background tasks that a component of a daemon cancels together."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field


@dataclass
class BackgroundTasks:
    """Hold the running tasks of one component; ``name`` prefixes its log lines."""

    name: str
    tasks: set[asyncio.Task] = field(default_factory=set)


def spawn(group: BackgroundTasks, work: Coroutine) -> asyncio.Task:
    """Run ``work`` in the background.

    An exception that it raises goes to the event loop's exception handler.
    """
    task = asyncio.get_running_loop().create_task(work)
    group.tasks.add(task)
    task.add_done_callback(lambda done: _remove_finished_task(group, done))
    return task


def _remove_finished_task(group: BackgroundTasks, task: asyncio.Task) -> None:
    group.tasks.discard(task)
    if not task.cancelled() and (exc := task.exception()):
        _report(f"{group.name}: a task failed.", exc)


def _report(message: str, exc: BaseException) -> None:
    context = {"message": message, "exception": exc}
    asyncio.get_running_loop().call_exception_handler(context)


async def run_periodically(
    interval_s: float, action: Callable[[], None], delay_s: float = 0.0
) -> None:
    """Call ``action`` every ``interval_s`` seconds until cancelled.

    The first call is made after ``delay_s`` seconds. An exception in one call is
    reported to the event loop's exception handler, and later calls are still made.
    """
    await asyncio.sleep(delay_s)
    while True:
        try:
            action()
        except Exception as exc:
            _report("A repeated action failed.", exc)
        await asyncio.sleep(interval_s)


def cancel_all(group: BackgroundTasks) -> None:
    """Cancel every task of the group."""
    for task in list(group.tasks):
        task.cancel()
