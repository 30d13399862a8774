"""Steps of operators and of planned work on servers."""

import asyncio

from behave import then, when

from bramleyrouter.codes import Code
from tests.support import whole_system as ws


@when('operators publish generation {generation:d} with "{versions}"')
def publish(context, generation, versions):
    request_id = f"generation-{generation}"
    parts = (request_id, generation, tuple(versions.split(",")))
    answered = context.run(ws.publish(context.system, *parts))
    assert answered.is_ok() and answered.ok_value.failure is None, answered


@when("two operators publish generation {generation:d} at once")
def race(context, generation):
    context.race = [
        context.loop.create_task(ws.publish(context.system, f"race-{name}", generation))
        for name in ("one", "two")
    ]
    # Long enough for both to be on their way, too short for a commit.
    context.run(asyncio.sleep(0.002))


@then("one publication won and the other names it")
def check_race(context):
    answered = context.run(asyncio.gather(*context.race))
    codes = [one.ok_value.failure and one.ok_value.failure.code for one in answered]
    assert sorted(codes, key=bool) == [None, Code.GENERATION_CONFLICT], answered


@when("an operator sends the same request twice")
def resend(context):
    parts = (context.system, "resent", True)
    first = context.run(ws.set_availability(*parts, server="c1"))
    again = context.run(ws.set_availability(*parts, server="c1"))
    assert first.is_ok() and first == again, (first, again)


@when("operators make {count:d} changes")
def change_often(context, count):
    async def change():
        for number in range(count):
            is_out = number % 2 == 0
            parts = (context.system, f"change-{number}", is_out)
            answered = await ws.set_availability(*parts, server="none")
            assert answered.is_ok(), answered
            if number % 10 == 0:
                await asyncio.sleep(0.05)

    context.run(change())


@when('operators take data centre "{centre}" out')
def take_out(context, centre):
    answered = context.run(
        ws.set_availability(context.system, f"out-{centre}", True, centre)
    )
    assert answered.is_ok(), answered


@when('operators bring data centre "{centre}" back in')
def bring_in(context, centre):
    answered = context.run(
        ws.set_availability(context.system, f"in-{centre}", False, centre)
    )
    assert answered.is_ok(), answered


@when('operators take server "{server}" out')
def take_server_out(context, server):
    sent = ws.set_availability(context.system, f"out-{server}", True, server=server)
    assert context.run(sent).is_ok()


@when('server "{server}" begins to drain')
def drain(context, server):
    context.call(ws.drain_server, context.system, server)


@when('server "{server}" is withdrawn')
def withdraw(context, server):
    record = context.system.servers[server]
    record.task.cancel()
    homes = context.system.list_serving_entry_daemons()[0].parts["homes"]
    incarnation = record.announcer.incarnation
    assert context.run(homes.withdraw(server, incarnation)).is_ok()
    context.call(ws.record_closure, context.system, server)


@when("an operator's change is sent without a majority")
def change_without_majority(context):
    parts = (context.system, "minority", True)
    sent = ws.set_availability(*parts, server="b1", timeout_s=2.0)
    context.minority = context.run(sent)


@then("it is not accepted")
def check_refused(context):
    assert context.minority.is_err(), context.minority
