"""Gives each scenario its own virtual event loop."""

import asyncio
import logging
import shutil

from tests.support.virtual_time import VirtualLoop

# Lines of each process's log that are printed after a failure.
LOG_LINES = 30


def before_all(context):
    """Keep the daemons' log lines out of the output."""
    logging.getLogger("absl").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Start a loop in which steps ``run`` coroutines and ``call`` functions."""
    context.loop = VirtualLoop()
    context.run = context.loop.run_until_complete

    async def call_inside(function, args, kwargs):
        return function(*args, **kwargs)

    context.call = lambda function, *args, **kwargs: context.run(
        call_inside(function, args, kwargs)
    )


def keep_process_logs(folder, has_failed):
    """Print the ends of the processes' logs after a failure, else remove them."""
    if has_failed:
        for path in sorted(folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-LOG_LINES:]
            print(f"--- {path}", *lines, sep="\n")
    else:
        shutil.rmtree(folder, ignore_errors=True)


def after_step(context, step):
    """Print the cause of a failure, which the progress format leaves out."""
    if step.status.name in ("failed", "error"):
        print(f"\n{step.filename}:{step.line}: {step.name}: {step.error_message}")


def after_scenario(context, scenario):
    """End all tasks of the scenario's system."""
    folder = getattr(context, "process_folder", None)
    if folder is not None:
        keep_process_logs(folder, scenario.status.name not in ("passed", "skipped"))
    for _ in range(3):
        tasks = asyncio.all_tasks(context.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            context.run(asyncio.gather(*tasks, return_exceptions=True))
    context.loop.close()
