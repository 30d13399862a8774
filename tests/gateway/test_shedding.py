"""Tests of the requests that are refused when too many are in flight."""

import asyncio
from collections import Counter

from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind, ServerReply
from tests.support.gateway_fakes import (
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
    never_answer,
)
from tests.support.virtual_time import run_virtual

PRIORITIES = (0, 1, 2)


def build_harness_of_three_priorities():
    """Build a harness with one route per priority, each to its own service."""
    routes = [
        build_single_route(
            f"s{at}", name=f"r{at}", prefix=f"/{at}/", priority=at, timeout_s=20.0
        )
        for at in PRIORITIES
    ]
    rows = [
        build_row(f"{name}{at}", f"s{at}", slots=999)
        for at in PRIORITIES
        for name in "ab"
    ]
    return build_harness(routes, rows)


def build_harness_with_full_shard():
    """Build a harness with eight shards; the servers of the last have no capacity."""
    rows = [build_row(f"{name}{at}", f"s{at}") for at in range(8) for name in "ab"]
    harness = build_harness([build_gather_route(8)], rows)
    full = lambda arrival: (0.002, ServerReply(ExchangeOutcome.REFUSED, 503))
    harness.servers.behaviours |= {"a7": full, "b7": full}
    return harness


class TestServersThatHang:
    def test_least_urgent_requests_are_refused_first_and_all_recover(self):
        """Replay 60 requests per second for 10 s at servers that hang.

        Guards against an unbounded number of requests in flight, and against a priority
        that is not served after the servers recover.
        """

        async def scenario():
            harness = build_harness_of_three_priorities()
            hanging = dict.fromkeys(("a0", "b0", "a1", "b1", "a2", "b2"), never_answer)
            harness.servers.behaviours |= hanging
            first_refused, kinds = {}, Counter()
            for number in range(600):
                at = number % 3
                caller_request = build_request(f"/{at}/x", 20.0, f"q{number}")
                record_refusal = lambda reply, at=at, number=number: (
                    first_refused.setdefault(at, number)
                    if reply.kind is ReplyKind.REFUSED
                    else None
                )
                harness.gateway.handle(caller_request, record_refusal)
                await asyncio.sleep(1 / 60)
            assert harness.gateway.in_flight() <= 400
            assert first_refused[2] < first_refused[1] < first_refused[0]
            harness.servers.behaviours.clear()
            await asyncio.sleep(21.0)
            assert harness.gateway.in_flight() == 0
            for number in range(90):
                at = number % 3
                reply = await harness.send_request(
                    build_request(f"/{at}/x", 20.0, f"p{number}")
                )
                kinds[at, reply.kind] += 1
            assert kinds == {(at, ReplyKind.SERVER): 30 for at in PRIORITIES}

        run_virtual(scenario())


class TestShardsWithoutCapacity:
    def test_a_query_replies_without_a_shard_that_is_full(self):
        """Guard against a query that fails or waits because of one full shard."""

        async def scenario():
            harness = build_harness_with_full_shard()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            reply = await harness.send_request()
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)
            assert loop.time() - started_at < 0.1
            # Retries of refused attempts consume budget, so a full shard gets few
            # requests.
            assert (
                len(harness.servers.get_arrivals("a7"))
                + len(harness.servers.get_arrivals("b7"))
                <= 4
            )

        run_virtual(scenario())

    def test_a_shard_with_capacity_again_is_included_again(self):
        async def scenario():
            harness = build_harness_with_full_shard()
            await harness.send_request()
            harness.servers.behaviours |= {
                "a7": answer_after(0.01),
                "b7": answer_after(0.01),
            }
            await asyncio.sleep(0.1)
            reply = await harness.send_request()
            assert reply.missing == 0

        run_virtual(scenario())
