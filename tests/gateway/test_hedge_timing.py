"""Tests of when requests are hedged, and of the hedges that the budget pays."""

import asyncio
import random

import pytest

from bramleyrouter.gateway import hedge_timing, shard_attempts
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.delegation import (
    DelegatedQuery,
    decode_reply,
    encode_message,
)
from bramleyrouter.gateway.exchanges import ReplyKind
from bramleyrouter.gateway.hedge_timing import (
    HedgeAllowance,
    HedgeTiming,
    compute_hedge_timing,
    compute_reserved_share,
    deduct_grant,
    find_most_urgent,
    find_next_check,
    is_hedge_due,
)
from bramleyrouter.gateway.latencies import LatencyWindow, add_sample
from bramleyrouter.gateway.tables import RequestKind
from bramleyrouter.ids import DaemonId
from bramleyrouter.wire.network import Peer
from tests.support.gateway_fakes import (
    HERE,
    answer_after,
    build_answer,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
)
from tests.support.virtual_time import run_virtual

TIMING = HedgeTiming(0.03, 0.05)
AMPLE, EXHAUSTED = HedgeAllowance(9.0, 10.0), HedgeAllowance(0.0, 10.0)
SHARDS = 12
# Objectives and work of the two types of gather in seconds, and their rates a second.
TYPES = {"u": (0.096, 0.0138, 7.29), "l": (0.349, 0.042, 12.6)}
PAUSE_S, PAUSE_INTERVAL_S = 0.25, 6.0
SCARCE, PLENTY = ExtraLimits(0.2, 2.0, 10.0), ExtraLimits(1.0, 100.0, 10.0)


def fill_window(latency_s, samples=40):
    window = LatencyWindow()
    for _ in range(samples):
        add_sample(window, latency_s)
    return window


class TestTiming:
    def test_the_latest_hedge_still_leaves_time_for_a_reply(self):
        timing = compute_hedge_timing(fill_window(0.02), 0.096, 0.075)
        assert timing[:2] == pytest.approx((0.026, 0.055))
        assert timing.is_known

    def test_without_latencies_or_time_to_spare_a_hedge_is_early(self):
        for window in (LatencyWindow(), fill_window(0.07)):
            timing = compute_hedge_timing(window, 0.096, 0.075)
            assert timing.latest_s == timing.earliest_s
            assert timing.is_known == bool(window.samples)

    def test_a_scarcer_allowance_delays_the_hedge(self):
        def find_delay(remaining):
            steps = (at / 1000 for at in range(100))
            allowance = HedgeAllowance(remaining, 10.0)
            return next(at for at in steps if is_hedge_due(TIMING, allowance, at))

        delays = [find_delay(remaining) for remaining in (10.0, 5.0, 2.5, 1.0, 0.0)]
        assert delays == sorted(delays)
        assert (delays[0], delays[1], delays[-1]) == (0.03, 0.03, 0.05)

    def test_a_hedge_that_would_be_late_needs_an_ample_allowance(self):
        assert is_hedge_due(TIMING, AMPLE, 0.06)
        assert not is_hedge_due(TIMING, HedgeAllowance(2.0, 10.0), 0.06)

    def test_a_grant_leaves_less_time(self):
        assert deduct_grant(TIMING).latest_s < TIMING.latest_s
        assert deduct_grant(HedgeTiming(0.03, 0.03)) == HedgeTiming(0.03, 0.03)

    def test_the_checks_are_those_of_an_ample_allowance_unless_one_is_postponed(self):
        def list_checks(is_postponed):
            checks, at = [], 0.0
            while (at := find_next_check(TIMING, at, is_postponed)) is not None:
                checks.append(at)
            return checks

        assert list_checks(False) == pytest.approx([0.03, 0.06, 0.09])
        expected = [0.03, 0.035, 0.04, 0.045, 0.05, 0.06, 0.09]
        assert list_checks(True) == pytest.approx(expected)


class TestReservedShare:
    def test_only_less_urgent_routes_of_the_same_service_leave_a_share(self):
        routes = [
            build_gather_route(2, priority=0),
            build_gather_route(3, priority=1),
            build_single_route("s2", priority=0, kind=RequestKind.NON_IDEMPOTENT),
        ]
        most_urgent = find_most_urgent(routes)
        # A route that is never hedged needs nothing reserved.
        assert most_urgent == {"s0": 0, "s1": 0, "s2": 1}
        assert compute_reserved_share(most_urgent, "s0", 1) > 0
        assert compute_reserved_share(most_urgent, "s0", 0) == 0
        assert compute_reserved_share(most_urgent, "s2", 1) == 0
        assert compute_reserved_share(most_urgent, "unknown", 1) == 0

    def test_a_less_urgent_route_can_not_exhaust_the_allowance(self):
        """Guard against hedges of a route that could wait taking the last allowance."""

        async def scenario():
            routes = [
                build_single_route(name="u", prefix="/u/", priority=0),
                build_single_route(name="l", prefix="/l/", priority=1),
            ]
            rows = [build_row(name) for name in "ab"]
            harness = build_harness(routes, rows, extra=ExtraLimits(0.0, 10.0, 10.0))
            slow = answer_after(0.09)
            harness.servers.behaviours |= {"a": slow, "b": slow}

            async def count_hedges(path):
                before = len(harness.servers.arrivals)
                for at in range(12):
                    await harness.send_request(build_request(f"{path}{at}"))
                return len(harness.servers.arrivals) - before - 12

            return await count_hedges("/l/"), await count_hedges("/u/")

        less_urgent, urgent = run_virtual(scenario())
        assert less_urgent == 3
        assert urgent >= 3


class TestLastMoment:
    """Guard against gathers that end late although the allowance was not exhausted."""

    def test_a_less_urgent_gather_may_use_the_reserve_at_its_last_moment(self):
        async def scenario(samples):
            routes = [
                build_gather_route(1, name="u", prefix="/u/", priority=0),
                build_gather_route(
                    1, name="l", prefix="/l/", priority=1, objective_s=0.349
                ),
            ]
            rows = [build_row(name, "s0") for name in "ab"]
            harness = build_harness(routes, rows, extra=ExtraLimits(0.0, 3.0, 10.0))
            for at in range(samples):
                await harness.send_request(build_request(f"/l/{at}"))
            harness.servers.behaviours |= {"a": answer_after(0.5)}
            harness.servers.behaviours |= {"b": answer_after(0.5)}
            before = len(harness.servers.arrivals)
            await harness.send_request(build_request("/l/x"))
            hedges = harness.servers.arrivals[before + 1 :]
            return [item.at - harness.servers.arrivals[before].at for item in hedges]

        # The reserve is left to others while the last moment is not known.
        assert run_virtual(scenario(0)) == []
        (delay_s,) = run_virtual(scenario(60))
        assert 0.25 < delay_s < 0.349


class TestRelays:
    @pytest.mark.parametrize("priority, wanted", [(0, 2), (1, 0)])
    def test_a_relay_leaves_the_reserved_share_by_its_own_table(self, priority, wanted):
        """Guard against relays, which don't know the other routes, using all hedges."""

        async def scenario():
            rows = [
                build_row(f"{name}{at}", f"s{at}") for at in range(2) for name in "ab"
            ]
            routes = [build_gather_route(2, priority=0)]
            harness = build_harness(routes, rows, extra=ExtraLimits(0.0, 3.0, 10.0))
            stalled = answer_after(0.3)
            harness.servers.behaviours = {row.server_id: stalled for row in rows}
            query = DelegatedQuery(
                build_request(), "less", ("s0", "s1"), 1.0, 0.1, 1, priority, 5, 7
            )
            items = []
            peer = Peer(DaemonId("requesting"), HERE, "10.9.0.1:7380")
            await harness.gateway.serve_delegated(
                peer, encode_message(query), items.append
            )
            replies = [decode_reply(item).ok_value for item in items[1:]]
            return sum(len(reply.wanted) for reply in replies)

        assert run_virtual(scenario()) == wanted


class TestScarceAllowanceOfSingleRequests:
    def test_a_postponed_hedge_is_sent_at_the_latest_in_time(self):
        """Guard against a hedge that is given up because the allowance is scarce."""

        async def scenario():
            rows = [build_row(name) for name in "ab"]
            harness = build_harness(
                [build_single_route()], rows, extra=ExtraLimits(0.0, 5.0, 10.0)
            )
            for at in range(60):
                await harness.send_request(build_request(request_id=f"q{at}"))
            loop, delays = asyncio.get_running_loop(), []
            for at in range(3):
                slow = [True]

                def stall_first(arrival, slow=slow):
                    delay_s = 0.5 if slow and slow.pop() else 0.01
                    return delay_s, build_answer(arrival.server)

                harness.servers.behaviours = {"a": stall_first, "b": stall_first}
                started_at = loop.time()
                reply = await harness.send_request(build_request(request_id=f"p{at}"))
                assert reply.kind is ReplyKind.SERVER
                delays.append(loop.time() - started_at)
                await asyncio.sleep(0.6)
            return delays

        first, second, third = run_virtual(scenario())
        assert second == pytest.approx(first)
        assert first + 0.01 < third < 0.1


async def replay_pauses(seed, extra, seconds=40.0):
    """Replay gathers of two types on idle servers that pause; return the payoffs.

    A quarter of the requests wait for others. The payoff is the square of the coverage
    within the objective. Also return the arrivals at the servers.
    """
    rng, loop = random.Random(seed), asyncio.get_running_loop()
    routes = [
        build_gather_route(
            SHARDS,
            name=name,
            prefix=f"/{name}/",
            objective_s=objective_s,
            priority=at,
            min_coverage=0.5,
        )
        for at, (name, (objective_s, _, _)) in enumerate(TYPES.items())
    ]
    rows = [
        build_row(f"{name}{at}", f"s{at}") for at in range(SHARDS) for name in "abc"
    ]
    harness = build_harness(routes, rows, extra=extra)
    phases = {row.server_id: rng.uniform(0.0, PAUSE_INTERVAL_S) for row in rows}

    def answer(arrival):
        work_s = TYPES[arrival.request.path[1]][1]
        delay_s = 0.006 + work_s * rng.uniform(0.8, 1.3)
        if rng.random() < 0.25:
            delay_s += rng.uniform(0.0, 0.09)
        phase_s = (arrival.at + phases[arrival.server.server_id]) % PAUSE_INTERVAL_S
        delay_s += max(0.0, PAUSE_S - phase_s)
        return delay_s, build_answer(arrival.server)

    harness.servers.behaviours = {row.server_id: answer for row in rows}
    payoffs = {name: [] for name in TYPES}

    async def send(name, number):
        started_at = loop.time()
        reply = await harness.send_request(
            build_request(f"/{name}/x", request_id=f"q{number}")
        )
        is_late = loop.time() - started_at > TYPES[name][0]
        payoffs[name].append(0.0 if is_late else (len(reply.signatures) / SHARDS) ** 2)

    tasks, ends_at = [], loop.time() + seconds
    while loop.time() < ends_at:
        # A third of the reference deployment's rate, as for a relay.
        await asyncio.sleep(
            rng.expovariate(sum(item[2] for item in TYPES.values()) / 3)
        )
        name = rng.choices("ul", [item[2] for item in TYPES.values()])[0]
        tasks.append(asyncio.ensure_future(send(name, len(tasks))))
    await asyncio.gather(*tasks)
    means = {name: sum(values) / len(values) for name, values in payoffs.items()}
    return means, harness.servers.arrivals


class TestServersThatPause:
    """Replay idle servers that each pause 250 ms every 6 s, with few extra sends."""

    def measure_loss(self, extra):
        """Return what the urgent gathers lose against an ample allowance."""
        losses = []
        for seed in (1, 2, 3):
            plenty, _ = run_virtual(replay_pauses(seed, PLENTY))
            scarce, _ = run_virtual(replay_pauses(seed, extra))
            losses.append(plenty["u"] - scarce["u"])
            # The less urgent gathers can wait for the end of a pause.
            assert scarce["l"] > 0.99
        return sum(losses) / len(losses)

    def test_a_scarce_allowance_costs_urgent_gathers_half_as_much(self, monkeypatch):
        """Guard against hedges of shards that would have been answered in time.

        The reference is the earlier rule: every hedge as early as possible, and no
        allowance reserved for the more urgent route.
        """
        loss = self.measure_loss(SCARCE)
        monkeypatch.setattr(hedge_timing, "URGENT_SHARE", 0.0)
        monkeypatch.setattr(shard_attempts, "is_hedge_due", lambda *args: True)
        assert loss <= 0.5 * self.measure_loss(SCARCE)

    def test_the_extra_sends_stay_within_the_bound(self):
        _, arrivals = run_virtual(replay_pauses(1, SCARCE))
        for shard in range(SHARDS):
            seen, firsts, extras = set(), [], []
            for item in arrivals:
                if item.server.service == f"s{shard}":
                    is_extra = item.request.request_id in seen
                    (extras if is_extra else firsts).append(item.at)
                    seen.add(item.request.request_id)
            assert extras
            for start in extras:
                extra_count = sum(
                    start <= at < start + SCARCE.window_s for at in extras
                )
                first_count = sum(
                    start <= at < start + SCARCE.window_s for at in firsts
                )
                assert extra_count <= SCARCE.ratio * first_count + SCARCE.slack
