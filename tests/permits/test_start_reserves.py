"""Tests of what issuers may issue right after all of them have started."""

import asyncio

import pytest

from bramleyrouter.permits.client import PermitOutcome
from bramleyrouter.permits.issuing import Quota, compute_bound
from tests.permits.permit_schedules import (
    BOUNDS,
    Schedule,
    count_most_in_a_window,
)
from tests.support.memory_disk import MemoryDisk
from tests.support.virtual_time import run_virtual

QUOTA = Quota(4.0, 2.0)
MEMBERS = ("i0", "i1", "i2", "i3", "i4")
CALM_S = 12.0


class DiskWithoutRemovals(MemoryDisk):
    """Keep removed files, like a copy of the code that doesn't consume the reserve."""

    def open(self):
        return super().open()._replace(remove=lambda name: None)


async def restart_all(schedule, members=MEMBERS):
    for address in MEMBERS:
        schedule.start_issuer(address, QUOTA)
        schedule.issuers[address].members = frozenset(members)
        schedule.issuers[address].update()
    await asyncio.sleep(0.1)


def run_restarts(pauses_s, members=MEMBERS, disk=MemoryDisk, lost_disks=False):
    """Start all issuers again after each pause, under a customer far over its quota.

    Return the uses and, for each start, the outcomes of the second after it.
    """

    async def scenario():
        schedule = Schedule(1, tolerated_losses=2)
        schedule.members = frozenset(MEMBERS)
        schedule.disks = {address: disk() for address in MEMBERS}
        clients = [schedule.build_client(f"dc{at % 3}") for at in range(8)]
        outcomes = []

        async def send(duration_s):
            end_at = asyncio.get_running_loop().time() + duration_s
            while asyncio.get_running_loop().time() < end_at:
                for client in clients:
                    schedule.send_request(client)
                await asyncio.sleep(0.1)

        await restart_all(schedule)
        await send(CALM_S)
        for pause_s in pauses_s:
            if lost_disks:
                schedule.disks.clear()
            await restart_all(schedule, members)
            first = len(schedule.results)
            await send(1.0)
            outcomes.append({item[2].outcome for item in schedule.results[first:]})
            await send(pause_s)
        return schedule.uses, outcomes

    return run_virtual(scenario())


class TestStartReserve:
    """Guard against refusing all, or issuing too much, after a common restart."""

    def test_permits_are_issued_at_once_after_a_common_restart(self):
        uses, outcomes = run_restarts([8.0])
        assert PermitOutcome.GRANTED in outcomes[0]
        assert count_most_in_a_window(uses) <= compute_bound(BOUNDS, QUOTA)

    @pytest.mark.parametrize("pauses_s", [[0.5, 0.5, 0.5, 8.0], [3.0, 4.0, 8.0]])
    def test_several_restarts_keep_the_bound(self, pauses_s):
        uses, outcomes = run_restarts(pauses_s)
        assert PermitOutcome.GRANTED in outcomes[0]
        # The runs before have used the reserve within the window.
        assert outcomes[1] == {PermitOutcome.NO_ISSUER}
        assert count_most_in_a_window(uses) <= compute_bound(BOUNDS, QUOTA)

    def test_a_copy_that_keeps_the_reserve_exceeds_the_bound(self):
        uses, _ = run_restarts([0.5, 0.5, 0.5, 8.0], disk=DiskWithoutRemovals)
        assert count_most_in_a_window(uses) > compute_bound(BOUNDS, QUOTA)

    def test_no_reserve_after_the_removal_of_a_member(self):
        # The removed one may be isolated, and then it still issues its part.
        _, outcomes = run_restarts([1.0], members=("i0", "i1", "i2", "i3", "i9"))
        assert PermitOutcome.GRANTED not in outcomes[0]

    def test_no_reserve_on_a_lost_disk(self):
        _, outcomes = run_restarts([1.0], lost_disks=True)
        assert outcomes[0] == {PermitOutcome.NO_ISSUER}
