"""Tests of the requests that are accepted or rejected under overload."""

import asyncio
import heapq
import random
from collections import Counter

import pytest

from bramleyrouter.gateway.delegation import DelegatedQuery, encode_message
from bramleyrouter.gateway.exchanges import ReplyKind
from bramleyrouter.gateway.overload import (
    JUST_STARTED_S,
    Arrival,
    Load,
    OverloadState,
    Rule,
    choose_retry_after,
    compute_fair_part,
    get_rank,
    record_duration,
    record_end,
    record_result,
    record_start,
    reject_request,
    set_index,
)
from bramleyrouter.gateway.reply_times import (
    LoopLag,
    estimate_average_lag,
    record_lateness,
)
from bramleyrouter.gateway.tables import Customer, RouteTable, build_index
from bramleyrouter.ids import DaemonId, TableVersion, TenantName
from bramleyrouter.wire.network import Peer
from tests.support.gateway_fakes import (
    HERE,
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
    never_answer,
)
from tests.support.virtual_time import run_virtual

CORES = 0.5
URGENT = build_gather_route(90, name="urgent", priority=0, objective_s=0.3)
LESS = build_gather_route(90, name="less", priority=1, objective_s=0.5)
SINGLE = build_single_route("t0", name="single", priority=2, objective_s=0.5)
ROUTES = (URGENT, LESS, SINGLE)
# Processor time in seconds on half a core.
COSTS = {"urgent": 0.08, "less": 0.08, "single": 0.01}
HOT = TenantName("hot")


def start(customers=(), started_at=-100.0):
    """Return the state of a daemon and its route index."""
    known = tuple(Customer(TenantName(name), priority=at) for name, at in customers)
    index = build_index(RouteTable(TableVersion(1), ROUTES, (), customers=known))
    state = OverloadState(started_at)
    set_index(state, index)
    return state, index


def replay(
    offered,
    customers=(),
    started_at=-100.0,
    get_server_s=lambda at: 0.03,
    protects=True,
):
    """Replay requests at a daemon whose processor serves one after another.

    ``offered`` holds the time, route and customer of each. A rejected caller returns
    after its Retry-After and gives up a second after its first try. Return, by
    (route, customer), the shares served within the objective, and the rejections by
    rule.
    """
    state, index = start(customers, started_at)
    rng, lag, busy_until, in_flight, rules = (
        random.Random(1),
        LoopLag(),
        0.0,
        0,
        Counter(),
    )
    good, total, numbers = Counter(), Counter(), iter(range(10**6))
    events = [(at, next(numbers), (at, *item), None) for at, *item in offered]
    heapq.heapify(events)
    while events:
        now, _, request, ended = heapq.heappop(events)
        first_at, route, customer = request
        if ended is not None:
            arrival, flying = ended
            in_flight -= 1
            record_end(state, arrival, now)
            record_duration(state, arrival, flying, True, now)
            rank = get_rank(index, route, customer)
            record_result(state, route, rank, now - arrival.now, None, now)
            good[route.name, customer] += now - first_at <= route.objective_s
            continue
        total[route.name, customer] += now == first_at
        record_lateness(lag, max(0.0, busy_until - now), now)
        load = Load(in_flight, estimate_average_lag(lag, now), 0.0, CORES)
        arrival = Arrival(route, customer, first_at + 1.0 - now, now)
        rejection = reject_request(state, index, arrival, load) if protects else None
        if rejection is not None:
            rules[rejection.rule] += 1
            back_at = now + choose_retry_after(state, arrival, load, rng.random())
            if back_at < first_at + 0.9:
                heapq.heappush(events, (back_at, next(numbers), request, None))
            continue
        record_start(state, arrival)
        in_flight += 1
        busy_until = max(now, busy_until) + COSTS[route.name]
        end = (
            busy_until + get_server_s(now),
            next(numbers),
            request,
            (arrival, in_flight),
        )
        heapq.heappush(events, end)
    return {key: good[key] / total[key] for key in total}, rules


def offer(rate, route, customer="", start_s=0.0, end_s=20.0, seed=1):
    """Return requests at random times, ``rate`` a second."""
    rng, at, offered = random.Random(f"{seed}{route.name}{customer}"), start_s, []
    while (at := at + rng.expovariate(rate)) < end_s:
        offered.append((at, route, TenantName(customer)))
    return offered


def offer_mix(seed=1):
    """Return an ordinary mix, which uses 56% of the processor."""
    rates = ((2.0, URGENT), (4.0, LESS), (3.0, SINGLE))
    return [item for rate, route in rates for item in offer(rate, route, seed=seed)]


class TestOrdinaryLoad:
    @pytest.mark.parametrize("customers", [(), (("b", 1),)])
    def test_nothing_is_rejected(self, customers):
        """Guard against refusals that were not needed."""
        for seed in range(1, 13):
            _, rules = replay(offer_mix(seed), customers)
            assert not rules

    def test_the_limits_on_requests_in_flight_are_those_of_the_routes(self):
        state, index = start()
        for route, limit in ((URGENT, 400), (LESS, 340), (SINGLE, 280)):
            arrival = Arrival(route, TenantName(""), 1.0, 0.0)
            for in_flight in (limit - 1, limit):
                load = Load(in_flight, 0.0, 0.0, CORES)
                rejection = reject_request(state, index, arrival, load)
                assert (rejection is not None) == (in_flight == limit)

    def test_the_customers_priority_goes_before_the_routes(self):
        state, index = start([("a", 0), ("b", 1)])
        load = Load(230, 0.0, 0.0, CORES)
        for route in ROUTES:
            for customer in "ab":
                arrival = Arrival(route, TenantName(customer), 1.0, 0.0)
                rejection = reject_request(state, index, arrival, load)
                assert (rejection is not None) == (customer == "b")


class TestCustomers:
    def test_a_hot_customer_affects_itself_first(self):
        """Replay one customer at many times the load of six others.

        None of these is served less than a quarter as often as all.
        """
        names = [f"c{at}" for at in range(6)]
        offered = [item for name in names for item in offer(0.8, LESS, name)]
        offered += offer(14.0, LESS, HOT)
        customers = [(name, 0) for name in (*names, HOT)]
        for protects in (True, False):
            shares, _ = replay(offered, customers, protects=protects)
            smallest = min(shares["less", name] for name in names)
            served = sum(shares["less", item[2]] for item in offered)
            is_protected = smallest >= shares[
                "less", HOT
            ] and smallest >= 0.25 * served / len(offered)
            # Without the rules, a small customer is served less than the hot one.
            assert is_protected == protects

    def test_a_customer_below_the_equal_part_is_untouched(self):
        """Guard against rejecting small customers while a large one is there."""
        assert compute_fair_part({"a": 1.0, "b": 2.0, "c": 9.0}, 9.0) == 6.0
        state, index = start([("small", 0), (HOT, 0)])
        for customer, count in (("small", 3), (HOT, 12)):
            arrival = Arrival(LESS, TenantName(customer), 1.0, 0.0)
            for _ in range(count):
                record_start(state, arrival)
        load = Load(15, 0.15, 0.0, CORES)
        rules = [
            reject_request(state, index, Arrival(LESS, name, 1.0, 0.0), load).rule
            for name in (TenantName("small"), HOT)
        ]
        # The daemon lags, so its own limit applies to all.
        assert rules == [Rule.RAMP, Rule.CUSTOMER_SHARE]


class TestBursts:
    def test_a_burst_of_one_type_leaves_the_urgent_type_in_front(self):
        """Replay 20 less urgent gathers a second for 5 s on top of the usual load."""
        burst = offer(20.0, LESS, start_s=5.0, end_s=10.0, seed=2)
        shares, _ = replay(offer_mix() + burst)
        before, _ = replay(offer_mix() + burst, protects=False)
        assert shares["urgent", ""] >= shares["less", ""] - 0.05
        assert shares["urgent", ""] > before["urgent", ""]

    def test_less_urgent_requests_yield_while_urgent_ones_end_late(self):
        state, index = start()
        rank = get_rank(index, URGENT, TenantName(""))
        for _ in range(5):
            record_result(state, URGENT, rank, 0.0, 0.5, 0.0)
        load = Load(1, 0.0, 0.0, CORES)
        rejected = Counter()
        for at in range(100):
            for route in ROUTES:
                arrival = Arrival(route, TenantName(""), 1.0, at / 1000)
                rejection = reject_request(state, index, arrival, load)
                rejected[route.name] += rejection is not None
        # The single requests share no service with the gathers.
        assert rejected == {"urgent": 0, "less": 80, "single": 0}


class TestSlowServers:
    def test_what_would_miss_its_deadline_is_rejected_until_servers_recover(self):
        """Replay servers that take 1.5 s, while callers wait 1 s, for 10 s."""
        offered = offer_mix()
        shares, rules = replay(offered, get_server_s=lambda at: 1.5 * (at < 10) + 0.03)
        assert rules[Rule.DEADLINE] > 0.5 * sum(item[0] < 10 for item in offered)
        good = sum(shares[item[1].name, ""] for item in offered)
        assert good >= 0.95 * sum(item[0] > 14.0 for item in offered)

    def test_a_request_that_misses_only_its_objective_is_served(self):
        state, index = start()
        arrival = Arrival(SINGLE, TenantName(""), 1.0, 0.0)
        for _ in range(10):
            record_duration(state, arrival, 1, True, 0.9)
        load = Load(1, 0.0, 0.0, CORES)
        for deadline_s, is_rejected in ((1.0, False), (0.8, True)):
            request = arrival._replace(deadline_s=deadline_s, now=0.9)
            rejection = reject_request(state, index, request, load)
            assert (rejection is not None) == is_rejected


class TestReturnOfLoad:
    def test_more_is_served_than_if_everything_is_accepted(self):
        """Replay 40 requests at once at a daemon that has just started."""
        waiting = [
            (at / 1000, route, TenantName(""))
            for at, route in enumerate((URGENT, LESS, LESS, SINGLE) * 10)
        ]
        offered = waiting + offer_mix()
        shares, rules = replay(offered, started_at=-1.0)
        before, _ = replay(offered, started_at=-1.0, protects=False)
        assert rules[Rule.RAMP]

        def count_served(shares):
            return sum(shares[route.name, ""] for _, route, _ in offered)

        assert count_served(shares) > count_served(before)

    def test_a_daemon_that_started_long_ago_does_not_ramp(self):
        for started_at, is_rejected in ((0.0, True), (-JUST_STARTED_S - 1.0, False)):
            state, index = start(started_at=started_at)
            load = Load(3, 0.0, 0.0, CORES)
            arrival = Arrival(LESS, TenantName(""), 1.0, 0.0)
            for _ in range(3):
                record_start(state, arrival)
            rejection = reject_request(state, index, arrival, load)
            assert (rejection is not None) == is_rejected


class TestRetryAfter:
    def test_callers_that_are_refused_together_return_one_after_another(self):
        """Replay 20 callers that are refused at the same moment."""
        state, _ = start()
        arrival = Arrival(LESS, TenantName(""), 3.0, 0.0)
        load = Load(0, 0.2, 0.0, CORES)
        waits = [choose_retry_after(state, arrival, load, 0.0) for _ in range(20)]
        gaps = [after - wait for wait, after in zip(waits, waits[1:], strict=False)]
        assert min(gaps) > 0.01

    def test_it_grows_with_the_backlog_up_to_a_third_of_the_time_left(self):
        arrival = Arrival(SINGLE, TenantName(""), 0.9, 0.0)
        load, waits = Load(0, 0.2, 0.0, CORES), []
        for backlog in (0, 5, 10, 400):
            state, _ = start()
            for _ in range(backlog):
                record_start(state, arrival)
            waits.append(choose_retry_after(state, arrival, load, 0.5))
        assert waits[0] < waits[1] < waits[2] < 0.3
        # Beyond a third, callers are spread over its second half.
        assert 0.15 <= waits[3] <= 0.3


class TestGateway:
    def test_a_rejected_request_reaches_no_server(self):
        """Guard against a refusal that says "not run" after something was sent."""

        async def scenario():
            route = build_single_route(priority=4, timeout_s=20.0)
            rows = [build_row(name, slots=999) for name in "ab"]
            harness = build_harness([route], rows)
            harness.servers.behaviours = dict.fromkeys("ab", never_answer)
            await asyncio.sleep(JUST_STARTED_S)
            replies = []
            for at in range(170):
                request = build_request(deadline_s=20.0, request_id=f"q{at}")
                harness.gateway.handle(request, replies.append)
            assert {reply.kind for reply in replies} == {ReplyKind.REFUSED}
            refused = [f for event, f in harness.events if event == "not_forwarded"]
            assert len(replies) == len(refused) == 170 - 160
            sent = {item.request.request_id for item in harness.servers.arrivals}
            assert sent.isdisjoint(item["id"] for item in refused)
            assert {item["rule"] for item in refused} == {"in_flight"}
            assert harness.gateway.list_rejections() == {"in_flight": 10}
            await asyncio.sleep(21.0)
            reply = await harness.send_request(build_request(deadline_s=20.0))
            assert harness.gateway.in_flight() == 0
            return reply.kind

        assert run_virtual(scenario()) is ReplyKind.DEADLINE

    @pytest.mark.parametrize("stalled, rejections", [(8, 3), (1, 0)])
    def test_parts_of_other_daemons_show_that_urgent_gathers_end_short(
        self, stalled, rejections
    ):
        """Guard against judging by the few requests that this daemon gets itself.

        A part that waits for one paused server beyond its useful time isn't short.
        """

        async def scenario():
            less = build_gather_route(8, name="l", prefix="/l/", objective_s=0.3)
            rows = [build_row(f"a{at}", f"s{at}") for at in range(8)]
            harness = build_harness([build_gather_route(8, priority=0), less], rows)
            servers = [row.server_id for row in rows[:stalled]]
            harness.servers.behaviours = dict.fromkeys(servers, answer_after(0.25))
            query = DelegatedQuery(
                build_request(), "r", less.shards, 1.0, 0.1, 1, 0, 5, 7
            )
            peer = Peer(DaemonId("requesting"), HERE, "10.9.0.1:7380")
            for _ in range(4):
                await harness.gateway.serve_delegated(
                    peer, encode_message(query), lambda item: None
                )
            for at in range(4):
                harness.gateway.handle(
                    build_request("/l/x", request_id=f"q{at}"), lambda reply: None
                )
            return [f for event, f in harness.events if event == "not_forwarded"]

        rejected = run_virtual(scenario())
        assert [item["rule"] for item in rejected] == ["priority"] * rejections
