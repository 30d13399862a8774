"""Steps that break parts of the system, and repair them."""

import asyncio

from behave import when

from tests.support import whole_system as ws
from tests.support.recording_servers import set_versions


def home_of(context, server):
    """Return the name of the daemon that is the home of a server."""
    process = context.system.list_serving_entry_daemons()[0]
    return process.board.servers.records[server].home


# A leader is elected within about a second (design, section 9); a start of the
# member killed before may fall into it.
ELECTION_BOUND_S = 2.0


async def await_leader(system):
    """Return the leader; fail when none is elected within the bound."""
    async with asyncio.timeout(ELECTION_BOUND_S):
        while ws.find_leader(system) is None:
            await asyncio.sleep(0.05)
    return ws.find_leader(system)


@when("the control leader is killed")
def kill_leader(context):
    context.down = context.run(await_leader(context.system))
    context.run(ws.kill_daemon(context.system, context.down))


@when("the control leader is killed and starts again")
def restart_leader(context):
    kill_leader(context)
    context.run(asyncio.sleep(1.0))
    context.call(ws.start_daemon, context.system, context.down)


@when("the control leader is cut off silently")
def isolate_leader(context):
    ws.isolate_daemon(context.system, context.run(await_leader(context.system)))


@when("a control daemon that does not lead is cut off silently")
def isolate_follower(context):
    leads = context.call(ws.find_leader, context.system)
    ws.isolate_daemon(context.system, next(n for n in ("c0", "c1", "c2") if n != leads))


@when("the majority of control daemons is killed")
def kill_majority(context):
    context.down_controls = ["c0", "c1"]
    for name in context.down_controls:
        context.run(ws.kill_daemon(context.system, name))


@when("all control daemons are killed and start again")
def restart_controls(context):
    for name in ("c0", "c1", "c2"):
        context.run(ws.kill_daemon(context.system, name))
    for name in ("c0", "c1", "c2"):
        context.call(ws.start_daemon, context.system, name)


@when("a control daemon loses its disk and is repaired")
def lose_disk(context):
    leads = context.call(ws.find_leader, context.system)
    name = next(n for n in ("c0", "c1", "c2") if n != leads)
    outcomes = context.run(ws.replace_member(context.system, name))
    assert all(outcome.is_ok() for outcome in outcomes), outcomes
    context.repaired = name


@when("a second control daemon is killed right after")
def kill_second(context):
    names = [n for n in ("c0", "c1", "c2") if n != context.repaired]
    leads = context.call(ws.find_leader, context.system)
    context.run(ws.kill_daemon(context.system, leads if leads in names else names[0]))


@when('the home of server "{server}" is killed')
def kill_home(context, server):
    context.down = home_of(context, server)
    context.run(ws.kill_daemon(context.system, context.down))


@when('the home of server "{server}" is killed and starts again')
def restart_home(context, server):
    kill_home(context, server)
    context.run(asyncio.sleep(0.2))
    context.call(ws.start_daemon, context.system, context.down)


@when('the home of server "{server}" is cut off')
def isolate_home(context, server):
    ws.isolate_daemon(context.system, home_of(context, server))


@when('data centre "{centre}" is cut off')
def cut_centre(context, centre):
    ws.isolate_data_centre(context.system, centre)


@when("the cuts are healed")
def heal(context):
    context.call(ws.heal_network, context.system)


@when("messages between daemons are delayed, doubled and reordered")
def disturb(context):
    fabric = context.system.fabric
    fabric.delay_s, fabric.duplicate, fabric.reorder = 0.02, 0.3, 0.3


@when('server "{server}" crashes')
def crash(context, server):
    context.call(context.system.servers[server].crash)


@when('server "{server}" crashes and starts again')
def restart_server(context, server):
    old = context.system.servers[server]
    context.call(old.crash)
    context.run(asyncio.sleep(0.3))
    add_again(context, old)


@when('server "{server}" starts again cold')
def restart_cold(context, server):
    old = context.system.servers[server]
    context.call(old.crash)
    add_again(context, old, warm_after=8)


def add_again(context, old, **changes):
    """Start a new process of a server with the shards of the old one."""

    state = old.announcer
    ((shard, versions),) = state.holdings[0].shards.items()
    place = (state.server_id, state.data_centre, shard, versions)
    context.call(ws.add_server, context.system, *place, **changes)


@when('server "{server}" crashes and starts again {count:d} times')
def flap(context, server, count):
    for _ in range(count):
        restart_server(context, server)


@when('server "{server}" turns cold without warning')
def turn_cold(context, server):
    context.system.servers[server].latency_s = 0.3


@when("every server answers one request in three late")
def make_stragglers(context):
    for server in context.system.servers.values():
        server.straggler_share, server.latency_s = 0.33, 0.01


@when("every server loses the answers of submissions")
def lose_answers(context):
    for server in context.system.servers.values():
        server.loses_replies = True


@when("the servers answer again")
def answer_again(context):
    for server in context.system.servers.values():
        server.loses_replies = False


@when('the data supplier moves the servers to "{versions}" one after the other')
def move_versions(context, versions):
    for server in context.system.servers.values():
        set_versions(server, versions.split(","))
        context.run(asyncio.sleep(0.4))


@when("all entry daemons are stopped and started one after the other")
def rolling_restart(context):
    for name in [name for name in context.system.running if name[0] == "e"]:
        context.run(ws.stop_daemon(context.system, name))
        context.call(ws.start_daemon, context.system, name)
        context.run(asyncio.sleep(1.0))
