"""Steps that start a whole system and its callers, and pass time."""

import asyncio

from behave import given, when

from tests.support import whole_system as ws


@given("a running system")
def start_system(context):
    start_with_versions(context, "v1")


@given('a running system whose servers hold "{versions}"')
def start_with_versions(context, versions):
    context.system = ws.make_system(seed=7)
    context.run(ws.start_system(context.system, tuple(versions.split(","))))
    context.since = context.loop.time()


@given("callers who send queries and submissions")
def start_callers(context):
    context.callers = context.loop.create_task(ws.run_callers(context.system))
    context.run(asyncio.sleep(1))


@given("callers who send {count:d} queries at a time")
def start_crowd(context, count):
    async def crowd():
        system, number = context.system, 0
        while system.is_sending:
            ready = system.list_serving_entry_daemons()
            number += 1
            await asyncio.gather(
                *(
                    ws.query(system, ready[n % len(ready)], f"crowd-{number}-{n}", 0.4)
                    for n in range(count)
                )
            )
            await asyncio.sleep(0.05)

    context.callers = context.loop.create_task(crowd())


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.run(asyncio.sleep(seconds))


@when("what follows is watched")
def watch(context):
    context.since = context.loop.time()
