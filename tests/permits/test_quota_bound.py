"""Property tests of the bound on a customer's requests over all entry daemons."""

import asyncio
from collections import Counter

import pytest

from bramleyrouter.permits.client import PermitOutcome
from bramleyrouter.permits.issuing import (
    PERMIT_LIFETIME_S,
    Division,
    Issuer,
    Quota,
    compute_bound,
    issue,
)
from tests.permits.permit_schedules import (
    BOUNDS,
    CUSTOMER,
    Schedule,
    count_most_in_a_window,
)
from tests.support.virtual_time import run_virtual

HIGH, LOW = Quota(4.0, 2.0), Quota(1.0, 0.0)
REPLACED_AT, LOWERED_AT, APPLY_S, END_S = 24.0, 32.0, 4.0, 50.0
SEEDS = range(5)
# Entry daemons and the seconds between the requests of each. With few daemons, each
# has enough requests for a pool of permits.
MANY, FEW = (24, 0.15), (6, 0.05)


async def run_schedule(
    schedule, size=MANY, has_expiry=True, has_start_wait=True, is_calm=False
):
    """Run a schedule with a customer far above its quota; return the times of uses."""
    loop, rng = asyncio.get_running_loop(), schedule.rng
    schedule.members = frozenset({"i0", "i1", "i2"})
    stalled_until = {}

    def start(address):
        quota = LOW if loop.time() > LOWERED_AT else HIGH
        schedule.start_issuer(address, quota)
        if not has_start_wait:
            schedule.issuers[address].issuer.member_since = -100.0

    for address in sorted(schedule.members):
        start(address)
    clients = [schedule.build_client(f"dc{at % 3}") for at in range(size[0])]

    def choose_delay():
        kind = rng.random()
        if kind < 0.01:
            return None
        return rng.choice([0.03, 0.25, 1.0, 6.0]) if kind < 0.04 else 0.0005

    def disturb():
        address = rng.choice(sorted(schedule.issuers))
        kind = rng.randrange(5)
        if kind == 0:
            schedule.issuers[address].paused_until = loop.time() + rng.uniform(0.1, 4)
        elif kind == 1:
            start(address)
        elif kind == 2:
            clients[rng.randrange(len(clients))] = schedule.build_client("dc1")
        elif kind == 3:
            clients.append(schedule.build_client("dc2"))
        else:
            stall(loop.time() + rng.uniform(0.5, 6.0))

    def stall(until):
        for client in clients:
            stalled_until[id(client)] = until

    def restart_all():
        for address in sorted(schedule.members):
            start(address)

    def replace_member():
        # The removed one is isolated and goes on issuing; the others know.
        schedule.members = frozenset({"i0", "i1", "i3"})
        schedule.issuers["i0"].members = schedule.issuers["i1"].members = (
            schedule.members
        )
        start("i3")

    def lower():
        for process in schedule.issuers.values():
            loop.call_later(rng.uniform(0.0, APPLY_S), setattr, process, "quota", LOW)

    if not is_calm:
        # First the faults by themselves, when the issuers are used in full, and then
        # those of the seed on top of one another.
        schedule.delay = choose_delay
        loop.call_at(15.0, stall, 20.9)
        loop.call_at(22.0, restart_all)
        for second in range(int(REPLACED_AT), int(END_S), 3):
            loop.call_at(second + rng.uniform(0.0, 3.0), disturb)
    loop.call_at(REPLACED_AT, replace_member)
    loop.call_at(LOWERED_AT, lower)
    while loop.time() < END_S:
        for process in schedule.issuers.values():
            process.update()
        for client in clients:
            # Requests wait nearly as long as a permit is valid, or not at all, and a
            # stalled entry daemon sends all of its requests at the end.
            wait_s = 0.27 if int(loop.time() / BOUNDS.window_s) % 2 else 0.0
            wait_s = max(wait_s, stalled_until.get(id(client), 0.0) - loop.time())
            schedule.send_request(client, wait_s, has_expiry)
        await asyncio.sleep(size[1])
    return schedule.uses


def find_excess(uses):
    """Return by how much the most uses in a window exceed the bounds in force."""
    lowered = count_most_in_a_window(uses, LOWERED_AT + APPLY_S + BOUNDS.window_s)
    return max(
        count_most_in_a_window(uses) - compute_bound(BOUNDS, HIGH),
        lowered - compute_bound(BOUNDS, LOW),
    )


class TestBound:
    """Guard against more requests of a customer in a window than its quota allows."""

    @pytest.mark.parametrize("size", [MANY, FEW], ids=["many", "few"])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_window_exceeds_the_bound(self, seed, size):
        # Messages are lost, late and reordered, issuers and entry daemons paused,
        # started again and added, a removed member goes on, and the limit is lowered.
        uses = run_virtual(run_schedule(Schedule(seed), size))
        assert len(uses) > 60
        assert find_excess(uses) <= 0

    @pytest.mark.parametrize(
        "schedule_fields, broken",
        [
            ({"lifetime_s": 0.0}, {}),
            ({}, {"has_expiry": False}),
            ({}, {"has_start_wait": False}),
            ({"tolerated_losses": -1}, {}),
        ],
        ids=["counted for the window only", "no expiry", "no wait", "too few parts"],
    )
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_broken_copy_exceeds_it(self, seed, schedule_fields, broken):
        # A property test that no fault can fail would guard against nothing.
        uses = run_virtual(run_schedule(Schedule(seed, **schedule_fields), **broken))
        assert find_excess(uses) > 0


class TestCalmSchedules:
    """Guard against refusals within the quota, and slow or colliding ones above it."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_small_customers_over_62_entry_daemons(self, seed):
        # An equal part of one request per second for each of 62 daemons is unusable.
        async def scenario():
            schedule, quota = Schedule(seed, tolerated_losses=2), Quota(1.0, 5.0)
            schedule.members = frozenset(f"i{at}" for at in range(5))
            for address in schedule.members:
                schedule.start_issuer(address, quota)
            clients = [schedule.build_client(f"dc{at % 3}") for at in range(62)]
            await asyncio.sleep(BOUNDS.window_s + 1.0)
            end_at = asyncio.get_running_loop().time() + 120.0
            while asyncio.get_running_loop().time() < end_at:
                is_burst = schedule.rng.random() < 0.05
                for _ in range(5 if is_burst else 1):
                    schedule.send_request(schedule.rng.choice(clients))
                await asyncio.sleep(schedule.rng.expovariate(1 / 1.6))
            await asyncio.sleep(1.0)
            outcomes = {result.outcome for _, _, result in schedule.results}
            assert outcomes == {PermitOutcome.GRANTED}
            assert max(waited_s for _, waited_s, _ in schedule.results) < 0.01

        run_virtual(scenario())

    def test_a_large_customer_at_its_full_rate(self):
        # Requests within the quota must not be refused, also without any fault.
        async def scenario():
            schedule, quota = Schedule(1, tolerated_losses=2), Quota(20.0, 5.0)
            schedule.members = frozenset(f"i{at}" for at in range(5))
            for address in schedule.members:
                schedule.start_issuer(address, quota)
            clients = [schedule.build_client(f"dc{at % 3}") for at in range(62)]
            await asyncio.sleep(BOUNDS.window_s + 1.0)
            for _ in range(1200):
                schedule.send_request(schedule.rng.choice(clients))
                await asyncio.sleep(0.05)
            outcomes = Counter(result.outcome for _, _, result in schedule.results)
            assert set(outcomes) == {PermitOutcome.GRANTED}, outcomes

        run_virtual(scenario())

    def test_refused_requests_get_distinct_slots(self):
        # Callers that are told the same time come back together and collide again. Two
        # issuers may name the same time, as each then has a free permit.
        async def scenario():
            schedule = Schedule(1)
            await run_schedule(schedule, is_calm=True)
            slots = Counter(
                round(at + result.retry_after_s, 3)
                for at, _, result in schedule.results
                if result.outcome is PermitOutcome.OVER_QUOTA
            )
            assert sum(slots.values()) > 1000
            assert max(slots.values()) <= len(schedule.issuers)
            asked = [item for item in schedule.results if item[2].asked]
            assert max(waited_s for _, waited_s, _ in asked) < 0.02

        run_virtual(scenario())

    def test_one_issuer_repeats_no_slot(self):
        issuer = Issuer(BOUNDS, member_since=-10.0)
        times = []
        for step in range(200):
            issued = issue(issuer, CUSTOMER, LOW, Division(3, 0.0), 3, step / 100)
            times += [round(step / 100 + slot, 3) for slot in issued.slots]
        assert len(times) > 500
        assert len(set(times)) == len(times)

    def test_each_frozen_issuer_delays_one_request_per_second(self):
        # Each request would otherwise wait for the timeouts of all frozen issuers.
        async def scenario():
            schedule = Schedule(1)
            schedule.members = frozenset({"i0", "i1", "i2"})
            for address in schedule.members:
                schedule.start_issuer(address, Quota(20.0, 10.0))
            await asyncio.sleep(BOUNDS.window_s + 1.0)
            schedule.issuers["i0"].paused_until = float(10**6)
            schedule.issuers["i1"].paused_until = float(10**6)
            client = schedule.build_client()
            for _ in range(20):
                schedule.send_request(client)
                await asyncio.sleep(0.4)
            waits = [waited_s for _, waited_s, _ in schedule.results]
            assert max(waits) < 0.025
            # Two issuers, 8 s, and each is skipped for 1 s after its time limit.
            assert sum(waited_s > 0.005 for waited_s in waits) <= 2 * 8
            assert {item[2].outcome for item in schedule.results} == {
                PermitOutcome.GRANTED
            }

        run_virtual(scenario())

    def test_a_slow_answer_does_not_extend_the_lifetime(self):
        # The issuer has counted the permit since before its answer left.
        async def scenario():
            schedule = Schedule(1, delay_s=0.035)
            schedule.members = frozenset({"i0"})
            schedule.start_issuer("i0", Quota(20.0, 10.0))
            await asyncio.sleep(BOUNDS.window_s + 1.0)
            asked_at = asyncio.get_running_loop().time()
            schedule.send_request(schedule.build_client())
            await asyncio.sleep(1.0)
            _, waited_s, result = schedule.results[0]
            assert waited_s >= 0.07
            assert result.expires_at <= asked_at + PERMIT_LIFETIME_S

        run_virtual(scenario())

    def test_no_issuer_within_a_window_of_the_first_start(self):
        async def scenario():
            schedule = Schedule(1)
            schedule.members = frozenset({"i0"})
            schedule.start_issuer("i0", HIGH)
            schedule.start_issuer("i9", HIGH)
            schedule.send_request(schedule.build_client())
            await asyncio.sleep(1.0)
            assert schedule.results[0][2].outcome is PermitOutcome.NO_ISSUER

        run_virtual(scenario())
