"""Gives each scenario its own virtual event loop."""

import asyncio
import logging

from tests.support.virtual_time import VirtualLoop


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


def after_scenario(context, scenario):
    """End all tasks of the scenario's system."""
    for _ in range(3):
        tasks = asyncio.all_tasks(context.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            context.run(asyncio.gather(*tasks, return_exceptions=True))
    context.loop.close()
