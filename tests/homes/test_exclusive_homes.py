"""Test that all homes together never exceed a server's limits."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.codes import Code
from bramleyrouter.homes.limits import AUTHORITY_WAIT_S
from bramleyrouter.homes.ramps import MIN_BASELINE_SAMPLES
from bramleyrouter.standins.announcers import AnnouncerState, run_announcer
from tests.homes.fakes import HOLDINGS, Cluster, FakeServer
from tests.support.virtual_time import run_virtual

NAMES = ("d1", "d2", "d3")
SLOTS = 2
# Interval at which every daemon sends work to its own home, in seconds.
LOAD_INTERVAL_S = 0.02
ANNOUNCE_TIMEOUT_S = 0.8

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cut", "heal", "freeze", "thaw", "delay", "hand over", "replay", "part"]
        ),
        st.sampled_from(NAMES),
        st.sampled_from([0.1, 0.9, 2.2, 3.5]),
    ),
    min_size=1,
    max_size=8,
)


class FaultyLink:
    """Carry announcements between the server and the daemons, with faults.

    A frozen daemon does not reply, and handles what it received once it thaws.
    """

    def __init__(self, cluster, clocks):
        """Create a link without faults."""
        self.cluster = cluster
        self.unreachable, self.delay, self.frozen = set(), {}, {}
        self.sent = []
        self.names_by_address = {
            board.identity.http_address: name for name, board in cluster.boards.items()
        }

    async def post(self, address, announcement):
        """Send an announcement; return the reply, a failure's code, or None."""
        name = self.names_by_address[address]
        self.sent.append((name, announcement))
        task = asyncio.ensure_future(self._arrive(name, announcement))
        done, _ = await asyncio.wait([task], timeout=ANNOUNCE_TIMEOUT_S)
        return task.result() if done else None

    async def _arrive(self, name, announcement):
        await asyncio.sleep(0.001 + self.delay.get(name, 0.0))
        if name in self.frozen:
            await self.frozen[name].wait()
        if name in self.unreachable:
            await asyncio.sleep(ANNOUNCE_TIMEOUT_S)
            return None
        outcome = await self.cluster.homes[name].announce(announcement)
        await asyncio.sleep(0.001 + self.delay.get(name, 0.0))
        if name in self.unreachable:
            return None
        return outcome.ok_value if outcome.is_ok() else outcome.err_value.code


def apply_step(cluster, link, step, name):
    """Apply one step of a schedule of faults.

    "cut" makes a daemon unreachable for the server, "part" for the other daemons;
    "heal" ends both and all delays. "freeze" suspends a daemon until "thaw". "delay"
    delays announcements to a daemon. "hand over" stops a daemon as planned, and
    "replay" repeats the last announcements.
    """
    address = cluster.boards[name].identity.internal_address
    if step == "cut":
        link.unreachable.add(name)
    elif step == "part":
        others = [
            board.identity.internal_address
            for other, board in cluster.boards.items()
            if other != name
        ]
        cluster.fabric.cut_groups([address], others)
    elif step == "heal":
        link.unreachable.clear()
        link.delay.clear()
        cluster.fabric.heal()
    elif step == "freeze":
        link.frozen.setdefault(name, asyncio.Event())
        cluster.fabric.freeze(address)
    elif step == "thaw" and name in link.frozen:
        link.frozen.pop(name).set()
        cluster.fabric.thaw(address)
    elif step == "delay":
        link.delay[name] = 0.6
    elif step == "hand over":
        asyncio.ensure_future(cluster.homes[name].hand_over())
    elif step == "replay":
        for other, announcement in link.sent[-6:]:
            asyncio.ensure_future(cluster.homes[other].announce(announcement))


async def send_load(
    cluster, name, result_codes, batch_size=3, interval_s=LOAD_INTERVAL_S, **changes
):
    """Send work to a daemon's own home until cancelled."""
    while True:
        for number in range(batch_size):
            replies, end, _ = cluster.query(name, request=f"{number}", **changes)
            end.add_done_callback(
                lambda _, replies=replies: result_codes.extend(r.code for r in replies)
            )
        await asyncio.sleep(interval_s)


def start_scenario(drifts):
    """Start a cluster whose clocks drift and the announcer of one server.

    Returns the cluster, the link, the announcer's state and its task.
    """
    loop = asyncio.get_running_loop()
    clocks = {
        name: (lambda rate=rate: 1000 * rate + loop.time() * rate)
        for name, rate in zip(NAMES, drifts, strict=True)
    }
    cluster = Cluster(NAMES, clocks=clocks)
    cluster.servers["s1"] = FakeServer(latency_s=0.4, delay_s=0.02)
    link = FaultyLink(cluster, clocks)
    state = AnnouncerState(
        "s1",
        1,
        "dc1",
        "127.0.0.1:9000",
        list(link.names_by_address),
        SLOTS,
        25,
        HOLDINGS,
    )
    announcer = run_announcer(state, link.post, random.Random(1))
    return cluster, link, state, asyncio.ensure_future(announcer)


class TestExclusiveHomes:
    """Guard against two homes that dispatch to one server at the same time.

    This would happen if a new home got authority before that of the old one ended.
    """

    @settings(max_examples=25, derandomize=True, deadline=None, database=None)
    @given(STEPS, st.permutations([0.995, 1.0, 1.005]))
    def test_slots_are_never_exceeded_under_partitions_freezes_and_handovers(
        self, steps, drifts
    ):
        async def scenario():
            cluster, link, _, task = start_scenario(drifts)
            result_codes = []
            tasks = [
                asyncio.ensure_future(send_load(cluster, n, result_codes))
                for n in NAMES
            ]
            await asyncio.sleep(2.0)
            assert Code.OK in result_codes
            for step, name, pause_s in steps:
                apply_step(cluster, link, step, name)
                await asyncio.sleep(pause_s)
            apply_step(cluster, link, "heal", NAMES[0])
            for name in NAMES:
                apply_step(cluster, link, "thaw", name)
            await asyncio.sleep(2 * AUTHORITY_WAIT_S)
            for running_task in (*tasks, task):
                running_task.cancel()
            assert cluster.servers["s1"].peak_in_flight <= SLOTS

        run_virtual(scenario())

    def test_a_new_home_dispatches_after_the_authority_wait(self):
        async def scenario():
            cluster, link, state, task = start_scenario((1.0, 1.0, 1.0))
            await asyncio.sleep(1.5)
            old_home = cluster.get_row().home
            link.unreachable.add(old_home)
            lost_at = cluster.loop.time()
            while cluster.get_row().home == old_home or not cluster.get_row().usable:
                await asyncio.sleep(0.05)
            elapsed_s = cluster.loop.time() - lost_at
            assert state.registration == 2
            assert await cluster.query_code(cluster.get_row().home) is Code.OK
            # Two renewals fail before the new home waits.
            assert AUTHORITY_WAIT_S < elapsed_s < AUTHORITY_WAIT_S + 3.0
            task.cancel()

        run_virtual(scenario())


class TestHandover:
    """Guard against interruptions and failed requests at a planned stop."""

    @pytest.mark.parametrize("latency_s", [0.005, 0.4])
    def test_a_handover_fails_no_request_and_needs_no_wait(self, latency_s):
        async def scenario():
            cluster, link, state, task = start_scenario((1.0, 1.0, 1.0))
            cluster.servers["s1"].latency_s = latency_s
            await asyncio.sleep(2.0)
            old_home = cluster.get_row().home
            # Warm the server up, since the ramp of a cold one would refuse some load.
            for _ in range(2 * MIN_BASELINE_SAMPLES):
                assert await cluster.query_code(old_home) is Code.OK
            result_codes = []
            load_coroutine = send_load(
                cluster, old_home, result_codes, 1, 2 * latency_s, remaining_s=2.5
            )
            load_task = asyncio.ensure_future(load_coroutine)
            await asyncio.sleep(0.5)
            await cluster.homes[old_home].hand_over()
            ended_at = cluster.loop.time()
            while cluster.get_row() is None or not cluster.get_row().usable:
                await asyncio.sleep(0.01)
            assert cluster.get_row().home != old_home
            assert cluster.loop.time() - ended_at < 0.1
            assert await cluster.query_code(cluster.get_row().home) is Code.OK
            assert state.registration == 2
            load_task.cancel()
            await asyncio.sleep(1.0)
            assert set(result_codes) <= {Code.OK, Code.NOT_HOME}
            assert cluster.servers["s1"].peak_in_flight <= SLOTS
            task.cancel()

        run_virtual(scenario())

    def test_a_second_renewal_meanwhile_hands_nothing_over(self):
        """Guards against two homes that dispatch to a server at the same time.

        A server that waits for its reply repeats the renewal. Here the handover of the
        first one fails, so that the home dispatches again, while that of the second
        one is accepted.
        """

        async def scenario():
            cluster = Cluster(NAMES)
            server = FakeServer(latency_s=0.4)
            renewal, lease = await cluster.register_server(server=server, slots=1)
            home = lease.home
            addresses = {
                name: board.identity.internal_address
                for name, board in cluster.boards.items()
            }
            task = asyncio.ensure_future(cluster.homes[home].hand_over())
            own_address = addresses.pop(home)
            cluster.fabric.cut_groups([own_address], addresses.values())
            first = asyncio.ensure_future(cluster.renew(home, renewal, lease, 3))
            await asyncio.sleep(0.35)
            second = asyncio.ensure_future(cluster.renew(home, renewal, lease, 4))
            await asyncio.sleep(0.15)
            cluster.fabric.heal()
            renewal, lease = await first
            _, end, _ = cluster.query(home, remaining_s=2.0)
            _, lease = await second
            sequence = 5
            while lease.home == home:
                await asyncio.sleep(0.1)
                renewal, lease = await cluster.renew(home, renewal, lease, sequence)
                sequence += 1
            registration = lease.registration
            await cluster.renew(
                lease.home, renewal, lease, sequence, registration=registration
            )
            await asyncio.gather(
                end, cluster.query_code(lease.home, request="new", remaining_s=2.0)
            )
            assert server.started_count == 2
            assert server.peak_in_flight == 1
            await task

        run_virtual(scenario())
