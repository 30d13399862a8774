"""Tests of single-service requests."""

import asyncio

from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind
from bramleyrouter.gateway.tables import RequestKind, WeightedService
from bramleyrouter.ids import ServiceName
from tests.support.gateway_fakes import (
    answer_after,
    build_answer,
    build_harness,
    build_request,
    build_route,
    build_row,
    build_single_route,
    end_with,
    never_answer,
)
from tests.support.virtual_time import run_virtual

ROWS = [build_row("a"), build_row("b"), build_row("c")]
NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


def set_all_behaviours(harness, behaviour):
    for item in ROWS:
        harness.servers.behaviours[item.server_id] = behaviour


class TestSingleRequest:
    def test_the_response_of_the_server_is_forwarded_unchanged(self):
        async def scenario():
            harness = build_harness([build_single_route()], ROWS)
            set_all_behaviours(
                harness, lambda arrival: (0.01, build_answer(arrival.server, b"x", 404))
            )
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.SERVER
            assert (reply.server.status, reply.server.body) == (404, b"x")
            assert len(harness.servers.arrivals) == 1

        run_virtual(scenario())

    def test_an_idempotent_request_is_retried_at_another_server(self):
        async def scenario():
            harness = build_harness([build_single_route()], ROWS)
            set_all_behaviours(
                harness,
                lambda arrival: (0.01, build_answer(arrival.server, status=500)),
            )
            reply = await harness.send_request()
            assert reply.server.status == 500
            assert len(harness.servers.arrivals) == 2

        run_virtual(scenario())

    def test_a_slow_server_is_hedged(self):
        async def scenario():
            harness = build_harness([build_single_route()], ROWS)
            delays = iter([0.5, 0.01])
            set_all_behaviours(
                harness, lambda item: (next(delays), build_answer(item.server))
            )
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.SERVER
            assert asyncio.get_running_loop().time() < 0.1

        run_virtual(scenario())


class TestNonIdempotent:
    def test_never_retried_once_it_may_have_run(self):
        for outcome in (ExchangeOutcome.LOST, ExchangeOutcome.TIMED_OUT):

            async def scenario(outcome=outcome):
                harness = build_harness([build_single_route(kind=NON_IDEMPOTENT)], ROWS)
                set_all_behaviours(harness, end_with(outcome))
                reply = await harness.send_request()
                assert reply.kind in (ReplyKind.FAILED, ReplyKind.DEADLINE)
                assert len(harness.servers.arrivals) == 1

            run_virtual(scenario())

    def test_a_server_error_is_forwarded(self):
        async def scenario():
            harness = build_harness([build_single_route(kind=NON_IDEMPOTENT)], ROWS)
            set_all_behaviours(
                harness,
                lambda arrival: (0.01, build_answer(arrival.server, status=500)),
            )
            reply = await harness.send_request()
            assert reply.server.status == 500
            assert len(harness.servers.arrivals) == 1

        run_virtual(scenario())

    def test_retried_at_another_server_if_it_did_not_run(self):
        for outcome in (
            ExchangeOutcome.REFUSED,
            ExchangeOutcome.MISDIRECTED,
            ExchangeOutcome.UNREACHED,
        ):

            async def scenario(outcome=outcome):
                harness = build_harness([build_single_route(kind=NON_IDEMPOTENT)], ROWS)
                sent = []

                def fail_first(arrival):
                    sent.append(arrival)
                    if len(sent) == 1:
                        return end_with(outcome)(arrival)
                    return answer_after(0.01)(arrival)

                set_all_behaviours(harness, fail_first)
                reply = await harness.send_request()
                assert reply.kind is ReplyKind.SERVER
                assert len(sent) == 2

            run_virtual(scenario())

    def test_refused_only_when_nothing_can_have_run(self):
        async def scenario():
            harness = build_harness([build_single_route(kind=NON_IDEMPOTENT)], ROWS)
            set_all_behaviours(harness, end_with(ExchangeOutcome.REFUSED))
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.REFUSED

        run_virtual(scenario())

    def test_never_hedged(self):
        async def scenario():
            harness = build_harness([build_single_route(kind=NON_IDEMPOTENT)], ROWS)
            set_all_behaviours(harness, never_answer)
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.DEADLINE
            assert len(harness.servers.arrivals) == 1
            assert asyncio.get_running_loop().time() <= 1.0

        run_virtual(scenario())


class TestSplit:
    def test_each_service_gets_its_share(self):
        async def scenario():
            split = (
                WeightedService(ServiceName("s0"), 3.0),
                WeightedService(ServiceName("s1"), 1.0),
                WeightedService(ServiceName("s2"), 0.0),
            )
            rows = [build_row("a", "s0"), build_row("b", "s1"), build_row("c", "s2")]
            harness = build_harness([build_route(targets=split)], rows)
            for number in range(40):
                await harness.send_request(build_request(request_id=f"q{number}"))
            counts = [len(harness.servers.get_arrivals(name)) for name in "abc"]
            assert counts == [30, 10, 0]

        run_virtual(scenario())


class TestNotForwarded:
    def test_refused_at_once_without_a_server(self):
        async def scenario():
            harness = build_harness([build_single_route()], [])
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.REFUSED
            assert asyncio.get_running_loop().time() == 0.0

        run_virtual(scenario())

    def test_a_request_without_a_route(self):
        async def scenario():
            harness = build_harness([build_single_route()], ROWS)
            reply = await harness.send_request(build_request("/b/x"))
            assert reply.kind is ReplyKind.NO_ROUTE

        run_virtual(scenario())


class TestUnexpectedErrors:
    """Guard against requests that count as in flight for good after an error."""

    def test_the_caller_gets_a_failure_and_others_are_served(self):
        async def scenario():
            harness = build_harness([build_single_route()], [build_row("a")])
            send = harness.servers.behaviours

            def fail(arrival):
                raise UnicodeEncodeError("ascii", "x", 0, 1, "odd")

            send["a"] = fail
            for _ in range(500):
                reply = await harness.send_request()
                assert reply.kind is ReplyKind.FAILED
            assert harness.gateway.in_flight() == 0
            events = [event for event, _ in harness.events]
            assert "unexpected_error" in events

        run_virtual(scenario())
