"""Steps that check what callers, operators and servers recorded."""

import asyncio

from behave import then

from bramleyrouter.codes import Code
from bramleyrouter.histories import configurations, requests
from bramleyrouter.states import CoverageMode
from tests.support import whole_system as ws


def end_load(context):
    """Let the callers get their last answers."""
    context.system.is_sending = False
    if hasattr(context, "callers"):
        context.run(context.callers)


def answered(context):
    """Return the records of the queries that were answered while watched."""
    return [
        record
        for at, record in context.system.queries
        if at >= context.since and record.answered
    ]


@then("no guarantee is broken")
def check_all(context):
    end_load(context)
    context.run(asyncio.sleep(0.5))
    found = ws.find_violations(context.system)
    assert not found, "\n".join(found[:5])
    assert any(record.answered for _, record in context.system.queries)


@then("every response comes from one index version and tells its true coverage")
def check_responses(context):
    records = answered(context)
    assert len(records) >= 10, len(records)
    found = [requests.check_query(record) for record in records]
    assert not any(found), found


@then('responses of version "{version}" were seen')
def check_version(context, version):
    assert version in {record.version for record in answered(context)}


@then("all watched responses cover every shard")
def check_coverage(context):
    share = ws.compute_coverage_since(context.system, context.since)
    assert share == 1.0, f"coverage {share:.3f}, {context.system.refusals[-5:]}"


@then('a response for the best coverage misses only shard "{shard}"')
def check_partial(context, shard):
    process = context.system.list_serving_entry_daemons()[0]
    record = context.run(ws.query(context.system, process, "best"))
    assert record.answered and record.missing == {("sheets", shard)}, record


@then("a request for full coverage is refused by its number")
def check_full(context):
    process = context.system.list_serving_entry_daemons()[0]
    sent = ws.query(context.system, process, "full", mode=CoverageMode.FULL)
    assert not context.run(sent).answered
    assert context.system.refusals[-1][1] is Code.COVERAGE_NOT_REACHED


@then("no cold server got more than one request at a time")
def check_cold(context):
    found = {s.name: s.cold_overloads for s in context.system.servers.values()}
    assert not any(found.values()), found


@then('server "{server}" gets work again')
def check_work(context, server):
    work = context.system.servers[server].dispatches
    assert any(one.at_s >= context.since for one in work)


@then("no server ever had more requests in flight than it declared")
def check_limits(context):
    samples = [s for one in context.system.servers.values() for s in one.samples]
    assert len(samples) >= 10 and requests.check_limits(samples) is None


@then("no closed server got new work after 3 s")
def check_closures(context):
    system = context.system
    work = [one for s in system.servers.values() for one in s.dispatches]
    found = requests.check_closures(work, system.closures, ws.CLOSURE_GRACE_S)
    assert system.closures and found is None, found


def check_sent(context):
    """Return what the checker of submissions finds."""
    system = context.system
    runs = [run for server in system.servers.values() for run in server.runs]
    return requests.check_submissions(system.submissions, runs)


@then("every submission ran at most once")
def check_once(context):
    end_load(context)
    assert len(context.system.submissions) >= 5
    assert check_sent(context) is None, check_sent(context)


@then('submissions were told "{outcome}"')
def check_outcome(context, outcome):
    seen = {record.outcome for record in context.system.submissions}
    assert outcome in seen, seen


@then('a submission is told "{outcome}"')
def check_submission(context, outcome):
    number = len(context.system.submissions)
    identity = f"{ws.NOW_MS + int(context.loop.time() * 1000)}-single-{number}"
    process = context.system.list_serving_entry_daemons()[0]
    record = context.run(ws.submit(context.system, identity, process))
    assert record.outcome == outcome, record
    context.identity = identity


@then("the same submission sent again is told nothing else")
def check_resent(context):
    last = context.system.submissions[-1]
    process = context.system.list_serving_entry_daemons()[-1]
    sent = ws.submit(context.system, context.identity, process)
    assert context.run(sent) == last


@then("no caller's request was cut off or refused")
def check_callers(context):
    end_load(context)
    system = context.system
    assert system.lost_callers == 0, system.lost_callers
    assert not system.refusals, system.refusals[:5]
    outcomes = [record.outcome for record in system.submissions]
    assert set(outcomes) <= {"done"}, outcomes


@then("the accepted configuration is in force everywhere within 4 s")
def check_in_force(context):
    context.run(asyncio.sleep(ws.IN_FORCE_S))
    system = context.system
    newest = max(revision for _, revision in system.accepted_revisions)
    held = {name: p.board.config.revision for name, p in system.running.items()}
    assert all(revision >= newest for revision in held.values()), (newest, held)


@then("no daemon's revision ever went back")
def check_growth(context):
    seen = context.system.observations
    assert len(seen) >= 100 and configurations.check_growth(seen) is None
