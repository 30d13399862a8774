"""Tests of gathers and of the decision when they reply."""

import asyncio

from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind
from bramleyrouter.gateway.gather_deadlines import (
    GatherProgress,
    has_enough_coverage,
    should_reply,
)
from bramleyrouter.gateway.reply_times import MIN_NETWORK_S, compute_reserved_time
from bramleyrouter.ids import DataCentre
from tests.support.gateway_fakes import (
    ELSEWHERE,
    HERE,
    THERE,
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    end_with,
    never_answer,
)
from tests.support.virtual_time import run_virtual


def build_two_rows_each(shards):
    return [
        build_row(f"{name}{at}", f"s{at}", data_centre)
        for at in range(shards)
        for name, data_centre in (("a", HERE), ("b", THERE))
    ]


class TestGather:
    def test_a_complete_reply_has_one_signature_per_shard(self):
        async def scenario():
            harness = build_harness([build_gather_route(4)], build_two_rows_each(4))
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.GATHERED
            assert reply.missing == 0
            assert len(set(reply.signatures)) == 4
            assert len(harness.servers.arrivals) == 4

        run_virtual(scenario())

    def test_a_paused_server_is_hedged_within_the_objective(self):
        async def scenario():
            harness = build_harness([build_gather_route(4)], build_two_rows_each(4))
            harness.servers.behaviours["a2"] = answer_after(0.13)
            reply = await harness.send_request()
            assert reply.missing == 0
            assert asyncio.get_running_loop().time() < 0.1
            assert len(harness.servers.get_arrivals("b2")) == 1

        run_virtual(scenario())

    def test_a_partial_reply_is_sent_at_the_objective(self):
        async def scenario():
            harness = build_harness([build_gather_route(4)], build_two_rows_each(4))
            harness.servers.behaviours |= {"a2": never_answer, "b2": never_answer}
            reply = await harness.send_request()
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)
            assert 0.08 < asyncio.get_running_loop().time() < 0.1

        run_virtual(scenario())

    def test_no_shard_runs_at_more_servers_than_its_route_allows(self):
        async def scenario():
            rows = [
                build_row(f"{name}{at}", f"s{at}") for at in range(4) for name in "abcd"
            ]
            harness = build_harness([build_gather_route(4, attempts=2)], rows)
            for item in rows:
                harness.servers.behaviours[item.server_id] = end_with(
                    ExchangeOutcome.LOST
                )
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.FAILED
            assert len(harness.servers.arrivals) == 8

        run_virtual(scenario())

    def test_nothing_is_retried_without_budget(self):
        async def scenario():
            harness = build_harness(
                [build_gather_route(4)],
                build_two_rows_each(4),
                extra=ExtraLimits(0.0, 0.0, 10.0),
            )
            harness.servers.behaviours["a1"] = end_with(ExchangeOutcome.LOST)
            reply = await harness.send_request()
            assert reply.missing == 1
            assert len(harness.servers.arrivals) == 4

        run_virtual(scenario())

    def test_an_attempt_that_did_not_arrive_is_retried_without_budget(self):
        async def scenario():
            harness = build_harness(
                [build_gather_route(4)],
                build_two_rows_each(4),
                extra=ExtraLimits(0.0, 0.0, 10.0),
            )
            harness.servers.behaviours["a1"] = end_with(ExchangeOutcome.UNREACHED)
            reply = await harness.send_request()
            assert reply.missing == 0

        run_virtual(scenario())

    def test_the_retry_of_a_refused_attempt_consumes_budget(self):
        # Guards against exceeding the budget after servers restart: they refuse
        # requests for their former ids, and each refused request is retried.
        async def scenario():
            harness = build_harness(
                [build_gather_route(4)],
                build_two_rows_each(4),
                extra=ExtraLimits(0.0, 0.0, 10.0),
            )
            harness.servers.behaviours["a1"] = end_with(ExchangeOutcome.MISDIRECTED)
            reply = await harness.send_request()
            assert reply.missing == 1
            assert len(harness.servers.arrivals) == 4

        run_virtual(scenario())

    def test_only_the_first_arrival_consumes_no_budget(self):
        # Guards against counting a second arrival as the first one. A hedge is refused,
        # so it has arrived, while the first attempt still waits for its connection and
        # never arrives. Every later attempt is then an extra send, and one is allowed.
        async def scenario():
            more = [build_row(name, "s1", ELSEWHERE) for name in ("c1", "d1")]
            rows = [*build_two_rows_each(4), *more]
            harness = build_harness(
                [build_gather_route(4)], rows, extra=ExtraLimits(0.0, 1.9, 10.0)
            )
            harness.servers.behaviours |= {
                "a1": end_with(ExchangeOutcome.UNREACHED, 0.06),
                "b1": end_with(ExchangeOutcome.MISDIRECTED),
                "c1": end_with(ExchangeOutcome.MISDIRECTED),
                "d1": end_with(ExchangeOutcome.MISDIRECTED),
            }
            reply = await harness.send_request()
            assert reply.missing == 1
            sent = [item.server.server_id for item in harness.servers.arrivals]
            assert len(sent) == 6
            assert len({"c1", "d1"} & set(sent)) == 1

        run_virtual(scenario())

    def test_refused_at_once_if_too_many_shards_have_no_server(self):
        async def scenario():
            harness = build_harness([build_gather_route(4)], build_two_rows_each(2))
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.REFUSED
            assert reply.retry_after_s > 0
            assert harness.servers.arrivals == []
            # Operators find the missing shard and its servers by the request id.
            fields = dict(harness.events)["gather_ended"]
            assert '"s2" (none known)' in fields["reason"]

        run_virtual(scenario())

    def test_a_failure_after_something_ran_is_no_refusal(self):
        async def scenario():
            harness = build_harness(
                [build_gather_route(2, min_coverage=1.0)], build_two_rows_each(2)
            )
            lost = end_with(ExchangeOutcome.LOST)
            harness.servers.behaviours |= {"a1": lost, "b1": lost}
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.FAILED

        run_virtual(scenario())

    def test_attempts_are_cancelled_when_the_caller_disconnects(self):
        async def scenario():
            harness = build_harness([build_gather_route(2)], build_two_rows_each(2))
            harness.servers.behaviours |= {
                "a0": answer_after(0.5),
                "a1": answer_after(0.5),
            }
            cancel = harness.gateway.handle(build_request(), lambda reply: None)
            await asyncio.sleep(0.01)
            cancel()
            assert all(item.is_cancelled for item in harness.servers.arrivals)
            assert harness.gateway.in_flight() == 0

        run_virtual(scenario())

    def test_timeouts_of_servers_end_by_the_deadline(self):
        async def scenario():
            harness = build_harness([build_gather_route(2)], build_two_rows_each(2))
            harness.servers.behaviours["a0"] = answer_after(0.3)
            await harness.send_request(build_request(deadline_s=0.2))
            for item in harness.servers.arrivals:
                assert item.at + item.timeout_s <= 0.2 + 1e-9

        run_virtual(scenario())


class TestIsolatedDataCentre:
    def test_queries_that_would_fail_are_refused_except_for_trials(self):
        # Guards against queries that wait until their deadlines in a data centre that
        # is cut off.
        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(2)]
            rows += [build_row(f"b{at}", f"s{at}", THERE) for at in range(2, 4)]
            harness = build_harness([build_gather_route(4)], rows)
            harness.servers.behaviours |= {"b2": never_answer, "b3": never_answer}
            loop = asyncio.get_running_loop()
            kinds, waits = [], []
            for _ in range(30):
                started_at = loop.time()
                reply = await harness.send_request()
                kinds.append(reply.kind)
                waits.append(loop.time() - started_at)
                await asyncio.sleep(0.1)
            refused = kinds.count(ReplyKind.REFUSED)
            assert refused >= 15
            quick = [wait for wait in waits if wait == 0.0]
            assert len(quick) == refused
            # Trial queries continue, so the recovery of the servers is detected.
            harness.servers.behaviours.clear()
            await asyncio.sleep(5.0)
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.GATHERED

        run_virtual(scenario())


OBJECTIVE_S = 0.118


def compute_reserved(cores):
    return compute_reserved_time(OBJECTIVE_S, MIN_NETWORK_S, 0.0, cores)


REQUEST_OVERHEAD_S = compute_reserved(1.0)


class TestShouldReply:
    def test_a_slow_vm_replies_earlier(self):
        """Guard against late replies on half a core, where processing takes longer."""
        progress = GatherProgress(19, 1, 20)
        assert not should_reply(progress, 0.89, 0.1025, 0.118, compute_reserved(1.0))
        assert should_reply(progress, 0.89, 0.1025, 0.118, compute_reserved(0.5))

    def test_complete_replies_are_sent_at_once(self):
        assert should_reply(
            GatherProgress(20, 0, 20), 0.89, 0.01, 0.118, REQUEST_OVERHEAD_S
        )

    def test_a_partial_reply_waits_for_the_objective(self):
        progress = GatherProgress(19, 1, 20)
        assert not should_reply(progress, 0.89, 0.06, 0.118, REQUEST_OVERHEAD_S)
        assert should_reply(progress, 0.89, 0.105, 0.118, REQUEST_OVERHEAD_S)

    def test_no_reply_below_the_minimum_coverage(self):
        assert not should_reply(
            GatherProgress(17, 3, 20), 0.89, 0.5, 0.118, REQUEST_OVERHEAD_S
        )

    def test_a_late_reply_waits_longer_for_more_coverage(self):
        progress = GatherProgress(18, 2, 20)
        assert not should_reply(progress, 0.89, 0.13, 0.118, REQUEST_OVERHEAD_S)
        assert should_reply(progress, 0.89, 0.2, 0.118, REQUEST_OVERHEAD_S)

    def test_rounding_does_not_cost_a_shard(self):
        assert has_enough_coverage(89, 100, 0.89)
        assert not has_enough_coverage(0, 0, 0.0)


class TestEvacuation:
    def test_a_data_centre_that_is_taken_out_gets_no_requests(self):
        async def scenario():
            out = (DataCentre(THERE),)
            harness = build_harness(
                [build_gather_route(4)], build_two_rows_each(4), out=out
            )
            harness.servers.behaviours["a1"] = end_with(ExchangeOutcome.LOST)
            reply = await harness.send_request()
            assert reply.missing == 1
            assert all(
                item.server.data_centre == HERE for item in harness.servers.arrivals
            )

        run_virtual(scenario())
