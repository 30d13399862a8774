"""Tests of bounds that all entry daemons share, also over a large fleet."""

import asyncio
from collections import Counter

import pytest

from bramleyrouter.gateway.attempts import compute_connection_share
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind, ServerReply
from bramleyrouter.gateway.servers import (
    ChoiceContext,
    TrackedServer,
    choose_server,
    compute_cold_interval,
    record_sent,
)
from bramleyrouter.gateway.tables import Service
from bramleyrouter.ids import ServiceName
from tests.support.gateway_fakes import (
    HERE,
    THERE,
    build_answer,
    build_harness,
    build_request,
    build_row,
    build_single_route,
)
from tests.support.virtual_time import run_virtual

COLD_RATE, COLD_FACTOR, COLD_SLACK = 10.0, 1.5, 5.0
EXTRA = ExtraLimits(ratio=0.0, slack=10.0, window_s=10.0)
# Time in seconds for which one exchange occupies the only connection to its server.
STALL_S = 3.8
REQUESTS = 12
REQUEST_INTERVAL_S = 0.06


class TestConnections:
    """Guard against more connections to a server than it accepts."""

    @pytest.mark.parametrize("max_connections, daemons", [(560, 84), (64, 60)])
    def test_the_shares_of_all_daemons_fit(self, max_connections, daemons):
        share = compute_connection_share(max_connections, daemons)
        assert share * daemons <= max_connections

    def test_the_shares_fit_if_there_are_more_daemons_than_connections(self):
        assert compute_connection_share(54, 65) * 65 <= 54


def count_cold_requests(daemons, seconds):
    """Return the requests to a server that just became cold, within some seconds."""
    interval_s = compute_cold_interval(COLD_RATE, COLD_FACTOR, COLD_SLACK, daemons)
    requests = 0
    for _ in range(daemons):
        server = TrackedServer(build_row("i-1"), cold_until=60.0)
        for step in range(int(1000 * seconds)):
            context = ChoiceContext(step / 1000, HERE, frozenset(), interval_s)
            if choose_server([server], context) is not None:
                record_sent(server, context)
                requests += 1
    return requests


class TestColdServers:
    """Guard against more requests to a cold server than its rate allows."""

    @pytest.mark.parametrize("daemons", [1, 8])
    def test_the_first_second_of_a_small_fleet(self, daemons):
        allowed = COLD_RATE * COLD_FACTOR + COLD_SLACK
        assert count_cold_requests(daemons, 1.0) <= allowed

    def test_the_first_second_of_a_large_fleet(self):
        allowed = COLD_RATE * COLD_FACTOR + COLD_SLACK
        assert count_cold_requests(65, 1.0) <= allowed


def build_refuse_once(stall_s):
    """Return the behaviour of refusing each request once.

    The first repeated request takes ``stall_s`` seconds, the others take 5 ms.
    """
    seen: Counter = Counter()
    stalls_s = [stall_s]

    def reply(arrival):
        request_id = arrival.request.request_id
        seen[request_id] += 1
        if seen[request_id] == 1:
            return 0.001, ServerReply(ExchangeOutcome.REFUSED)
        delay_s = stalls_s.pop() if stalls_s else 0.005
        return delay_s, build_answer(arrival.server)

    return reply


class ExtraSends:
    """Hold a gateway with two servers of one connection each, and its extra sends.

    Both servers reply as ``behaviour`` says; the first one is nearer.
    """

    def __init__(self, behaviour):
        rows = [build_row("a"), build_row("b", data_centre=THERE)]
        self.harness = build_harness(
            [build_single_route(timeout_s=4.0, objective_s=0.4)],
            rows,
            (Service(ServiceName("s0"), 1),),
            EXTRA,
        )
        self.harness.servers.behaviours = {row.server_id: behaviour for row in rows}

    async def send_batch(self, name, count=REQUESTS, deadline_s=4.0):
        """Send requests in short intervals; return their replies."""
        loop = asyncio.get_running_loop()
        tasks = []
        for number in range(count):
            req = build_request(request_id=f"{name}{number}", deadline_s=deadline_s)
            tasks.append(loop.create_task(self.harness.send_request(req)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*tasks)

    def list_arrivals(self):
        """Return the times at which repeated requests reached a server."""
        seen, times = set(), []
        for arrival in self.harness.servers.arrivals:
            if arrival.request.request_id in seen:
                times.append(arrival.at)
            seen.add(arrival.request.request_id)
        return times


def count_served(replies):
    return sum(reply.kind is ReplyKind.SERVER for reply in replies)


def count_most_in_a_window(times):
    return max(
        sum(start <= at < start + EXTRA.window_s for at in times) for start in times
    )


class TestExtraSends:
    """Guard against extra sends that reach a service later than they were counted."""

    def test_extra_sends_that_waited_share_a_window_with_later_ones(self):
        # Repeats were counted when they were decided on. Those that waited for a
        # connection arrived in one window with the repeats of the next one.
        async def scenario():
            sends = ExtraSends(build_refuse_once(STALL_S))
            await sends.send_batch("q")
            await asyncio.sleep(10.6 - asyncio.get_running_loop().time())
            await sends.send_batch("r")
            times = sends.list_arrivals()
            assert max(times) > STALL_S
            assert count_most_in_a_window(times) <= EXTRA.slack
            await asyncio.sleep(EXTRA.window_s)
            assert count_served(await sends.send_batch("s")) == 8

        run_virtual(scenario())

    def test_extra_sends_that_never_left_are_available_again(self):
        # Repeats that found no free connection until their deadline used up the
        # allowance of requests that could have been served.
        async def scenario():
            sends = ExtraSends(build_refuse_once(STALL_S))
            stalled = asyncio.ensure_future(sends.send_batch("p", count=1))
            await asyncio.sleep(REQUEST_INTERVAL_S)
            await sends.send_batch("q", deadline_s=1.0)
            assert len(sends.list_arrivals()) == 1
            await stalled
            assert count_served(await sends.send_batch("r")) == 7

        run_virtual(scenario())

    def test_a_first_send_that_waits_longer_than_its_hedge(self):
        # The hedge arrives first and the other send is the extra one, but the hedge is
        # counted, until a window after its own end.
        refuse_once = build_refuse_once(0.005)

        def behave(arrival):
            is_far = arrival.server.server_id == "b"
            kind = arrival.request.request_id[0]
            if kind == "p":
                return 0.005 if is_far else STALL_S, build_answer(arrival.server)
            if kind == "q" and is_far:
                return 0.001, ServerReply(ExchangeOutcome.REFUSED)
            if kind == "q":
                return 0.005, build_answer(arrival.server)
            return refuse_once(arrival)

        async def scenario():
            sends = ExtraSends(behave)
            await sends.send_batch("p", count=1)
            await sends.send_batch("q", count=6)
            await asyncio.sleep(12.0 - asyncio.get_running_loop().time())
            await sends.send_batch("r")
            assert count_most_in_a_window(sends.list_arrivals()) <= EXTRA.slack

        run_virtual(scenario())
