"""Tests of admission control: early refusal, fair queues, goodput under overload."""

import asyncio
import random
from collections import Counter

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import ClassSettings, TenantSettings
from bramleyrouter.measure.simulated_homes import (
    SimulatedHomes,
    build_simulated_client,
)
from bramleyrouter.routing.admission import build_admission
from bramleyrouter.states import CoverageMode
from tests.support.routing_fakes import (
    make_board,
    make_query,
    make_settings,
    start_router,
)
from tests.support.virtual_time import run_virtual


def run_with_admission(main, **changes):
    """Run ``main(admission, loop)`` in virtual time, with changed settings."""

    async def start():
        loop = asyncio.get_running_loop()
        admission = build_admission(make_settings(**changes), loop.time)
        return await main(admission, loop)

    return run_virtual(start())


class TestAdmission:
    """Guard against unbounded queues, unfair shares and leaked permits."""

    def test_running_and_waiting_requests_are_bounded(self):
        async def main(admission, loop):
            tasks = [
                asyncio.create_task(admission.admit(make_query(deadline=0.5)))
                for _ in range(10)
            ]
            await asyncio.sleep(0.1)
            done = [task.result() for task in tasks if task.done()]
            assert [one.is_ok() for one in done] == [True] * 2 + [False] * 5
            assert all(one.err_value.code is Code.OVERLOADED for one in done[2:])
            done[0].ok_value(False)
            await asyncio.sleep(0.5)
            ended = [task.result() for task in tasks]
            assert sum(one.is_ok() for one in ended) == 3
            late = [one.err_value.code for one in ended if one.is_err()]
            assert late.count(Code.QUEUE_DEADLINE) == 2
            return admission.state

        state = run_with_admission(main, max_running_queries=2, max_waiting_queries=3)
        assert (state.running, state.waiting) == (2, 0)

    def test_cancelled_waiter_leaks_no_permit(self):
        async def main(admission, loop):
            first = await admission.admit(make_query())
            waiters = [
                asyncio.create_task(admission.admit(make_query())) for _ in range(2)
            ]
            await asyncio.sleep(0.01)
            # The first waiter is cancelled while it waits, the second in the loop
            # iteration in which it gets its permit.
            waiters[0].cancel()
            first.ok_value(False)
            waiters[1].cancel()
            await asyncio.gather(*waiters, return_exceptions=True)
            return admission.state

        state = run_with_admission(main, max_running_queries=1)
        assert (state.running, state.waiting) == (0, 0)
        assert not state.running_by_tenant and not state.waiting_by_tenant

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        async def main(admission, loop):
            admission.state.mean_run_s = 0.1
            await admission.admit(make_query(deadline=9.0))
            refused = await admission.admit(make_query(deadline=0.25))
            assert refused.err_value.code is Code.OVERLOADED and loop.time() == 0

        run_with_admission(main, max_running_queries=1)

    def test_tenant_cannot_exceed_its_share_of_permits(self):
        async def main(admission, loop):
            queries = [make_query(tenant="small") for _ in range(8)]
            tasks = [asyncio.create_task(admission.admit(one)) for one in queries]
            await asyncio.sleep(0.01)
            granted = [task for task in tasks if task.done() and task.result().is_ok()]
            refused = [task for task in tasks if task.done() and task.result().is_err()]
            assert len(granted) == 2
            codes = {task.result().err_value.code for task in refused}
            assert codes == {Code.TENANT_LIMIT} and len(refused) == 3
            # A request of another tenant does not wait behind those.
            assert (await admission.admit(make_query(tenant="big"))).is_ok()
            assert loop.time() == 0.01

        run_with_admission(
            main,
            max_running_queries=8,
            max_waiting_queries=12,
            tenants={"small": TenantSettings(0.25)},
        )

    def test_classes_get_permits_by_their_weights(self):
        async def main(admission, loop):
            served = Counter()

            async def run_request(name):
                release = await admission.admit(make_query(class_name=name, deadline=9))
                served[name] += 1
                await asyncio.sleep(0.01)
                release.ok_value(False)

            names = ["bulk"] * 100 + ["urgent"] * 100
            tasks = [asyncio.create_task(run_request(name)) for name in names]
            await asyncio.sleep(0.4)
            for task in tasks:
                task.cancel()
            return served

        served = run_with_admission(
            main,
            max_running_queries=2,
            classes={"bulk": ClassSettings(1), "urgent": ClassSettings(3)},
        )
        assert 2.4 < served["urgent"] / served["bulk"] < 3.6


class TestOverload:
    """Guard against a collapse of goodput when callers send too many requests."""

    MEAN_S, SECONDS, WARM_UP_S = 0.010, 3.0, 1.0

    @pytest.mark.parametrize(
        ("shards", "deadline_s", "max_queue"),
        [(3, 0.2, 20), (3, 0.05, 20), (10, 0.2, 4), (1, 1.0, 20)],
    )
    def test_goodput_at_twice_the_capacity(self, shards, deadline_s, max_queue):
        # Each shard has two replicas with two slots each.
        capacity = 2 * 2 / self.MEAN_S
        draw = lambda rng, _: rng.uniform(0.6 * self.MEAN_S, 1.4 * self.MEAN_S)
        homes = SimulatedHomes(random.Random(3), draw, max_queue=max_queue)
        board = make_board([f"s{number}x" for number in range(shards)])
        counts = Counter()

        async def run_query(router, loop):
            started = loop.time()
            query = make_query(CoverageMode.FULL, started + deadline_s)
            result = await router.query(query)
            if started >= self.WARM_UP_S:
                in_time = loop.time() <= query.deadline
                counts["good" if result.is_ok() and in_time else "refused"] += 1

        async def main():
            loop, arrivals = asyncio.get_running_loop(), random.Random(4)
            router, tasks = start_router(board, build_simulated_client(homes)), []
            while loop.time() < self.WARM_UP_S + self.SECONDS:
                await asyncio.sleep(arrivals.expovariate(2 * capacity))
                tasks.append(asyncio.create_task(run_query(router, loop)))
            await asyncio.gather(*tasks)
            await router.drain()

        run_virtual(main())
        assert counts["good"] >= 0.9 * capacity * self.SECONDS
        assert all(load.in_flight == 0 for load in board.load.servers.values())
