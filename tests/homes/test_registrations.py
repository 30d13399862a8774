"""Test registrations, placement and hold-down."""

import asyncio

import msgspec
import pytest

from bramleyrouter.board.sections import DaemonRecord, ServerTable
from bramleyrouter.codes import Code
from bramleyrouter.homes.holddowns import (
    RESET_AFTER_S,
    HoldDown,
    is_held_down,
    record_registration,
)
from bramleyrouter.homes.limits import AUTHORITY_S, AUTHORITY_WAIT_S
from bramleyrouter.homes.messages import LeaseToken
from bramleyrouter.homes.placement import filter_home_candidates, rank_homes
from bramleyrouter.homes.registrations import (
    build_token,
    check_announcement,
    has_authority,
    register,
    renew,
)
from bramleyrouter.states import DaemonState
from tests.homes.fakes import Cluster, FakeServer, make_announcement
from tests.support.identities import make_identity
from tests.support.virtual_time import run_virtual

OWN = make_identity("d1")


def renew_with_token(registered, stamp_s, now, sequence=2, **changes):
    """Renew with a token that was issued at ``stamp_s``."""
    lease = build_token(OWN, registered, stamp_s)
    announcement = msgspec.structs.replace(
        registered.announcement, sequence=sequence, lease=lease, **changes
    )
    return renew(OWN, registered, announcement, now)


class TestAuthority:
    """Guard against dispatching without a recent echo of the home's token."""

    def test_authority_begins_with_the_first_echo_and_counts_from_its_stamp(self):
        registered = register(None, None, make_announcement(), 10.0).unwrap()
        assert not has_authority(registered, 10.0)
        registered = renew_with_token(registered, 10.0, 11.0).unwrap()
        assert has_authority(registered, 10.0 + AUTHORITY_S - 0.001)
        assert not has_authority(registered, 10.0 + AUTHORITY_S)

    def test_a_delayed_or_replayed_renewal_does_not_extend_authority(self):
        registered = register(None, None, make_announcement(), 0.0).unwrap()
        registered = renew_with_token(registered, 5.0, 5.1, sequence=5).unwrap()
        late = renew_with_token(registered, 1.0, 6.0, sequence=6).unwrap()
        assert late.authority_until == 5.0 + AUTHORITY_S
        replay = renew_with_token(registered, 6.0, 6.1, sequence=5)
        assert replay.err_value.code is Code.OLD_ANNOUNCEMENT

    def test_only_a_new_process_skips_the_authority_wait(self):
        second = make_announcement(registration=2, sequence=9)
        registered = register(None, None, second, 10.0).unwrap()
        assert registered.dispatch_after == 10.0 + AUTHORITY_WAIT_S
        again = msgspec.structs.replace(second, sequence=10)
        again = register(registered, None, again, 12.0).unwrap()
        assert again.dispatch_after == registered.dispatch_after
        restarted = make_announcement(incarnation=2)
        assert register(again, None, restarted, 12.0).unwrap().dispatch_after == 12.0
        after_removal = register(None, (1, 1, 5), make_announcement(sequence=6), 20.0)
        assert after_removal.unwrap().dispatch_after == 20.0 + AUTHORITY_WAIT_S

    @pytest.mark.parametrize(
        "changes",
        [
            dict(incarnation=1, registration=9, sequence=9),
            dict(incarnation=2, registration=1, sequence=9),
            dict(incarnation=2, registration=2, sequence=4),
        ],
    )
    def test_older_announcements_change_nothing(self, changes):
        current = make_announcement(incarnation=2, registration=2, sequence=4)
        registered = register(None, None, current, 0.0).unwrap()
        old = make_announcement(**changes)
        for known in ((registered, None), (None, registered.version_key)):
            outcome = register(*known, old, 1.0)
            assert outcome.err_value.code is Code.OLD_ANNOUNCEMENT

    def test_tokens_of_other_homes_runs_or_times_are_refused(self):
        registered = register(None, None, make_announcement(), 0.0).unwrap()
        for lease, code in (
            (LeaseToken("d2", 1, 1, 0.0), Code.LEASE_UNKNOWN),
            (LeaseToken("d1", 7, 1, 0.0), Code.LEASE_UNKNOWN),
            (LeaseToken("d1", 1, 3, 0.0), Code.INVALID_ANNOUNCEMENT),
            (LeaseToken("d1", 1, 1, 99.0), Code.INVALID_ANNOUNCEMENT),
        ):
            announcement = make_announcement(sequence=2, lease=lease)
            assert renew(OWN, registered, announcement, 1.0).err_value.code is code

    @pytest.mark.parametrize(
        "field_name, value",
        [
            ("slots", 0),
            ("slots", 10**9),
            ("connection_limit", -1),
            ("registration", 0),
            ("incarnation", -1),
            ("sequence", 2**70),
            ("address", "somewhere:80"),
            ("server_id", ""),
        ],
    )
    def test_invalid_declarations_are_rejected(self, field_name, value):
        checked = check_announcement(make_announcement(**{field_name: value}))
        assert checked.err_value.code is Code.INVALID_ANNOUNCEMENT
        assert str(value) in checked.err_value.text


class TestPlacement:
    """Guard against replicas of one shard with the same home."""

    def test_replicas_spread_over_homes_and_an_abandoned_home_comes_last(self):
        async def scenario():
            names = tuple(f"d{i}" for i in range(4))
            cluster = Cluster(names)
            homes = []
            for number in range(4):
                _, lease = await cluster.register_server("d0", server_id=f"s{number}")
                row = cluster.get_row(f"s{number}")
                homes.append(row.home)
                for board in cluster.boards.values():
                    for shard in "ab":
                        key = ("sheets", shard, "v1")
                        board.servers.by_shard.setdefault(key, []).append(row.server_id)
            assert sorted(homes) == list(names)
            moved = make_announcement("s0", registration=2, sequence=9)
            cluster.servers["s0"] = FakeServer()
            reply = (await cluster.homes["d0"].announce(moved)).unwrap()
            assert reply.lease.home != homes[0]

        run_virtual(scenario())

    def test_a_lost_daemon_moves_only_its_own_servers(self):
        records = [
            DaemonRecord(f"d{i}", 1, "dc1", "", "", DaemonState.ALIVE) for i in range(6)
        ]
        dead = msgspec.structs.replace(records[0], state=DaemonState.DEAD)
        assert len(filter_home_candidates([dead, *records[1:]], "dc1")) == 5
        for number in range(50):
            announcement = make_announcement(f"s{number}")
            before = rank_homes(records, ServerTable(), announcement)
            after = rank_homes(records[1:], ServerTable(), announcement)
            assert after == [record for record in before if record != records[0]]


class TestHoldDown:
    """Guard against load on servers that flap or change their declared limits."""

    def test_hold_downs_double_and_are_reset_later(self):
        hold_down = HoldDown()
        durations_s = []
        for now in range(8):
            record_registration(hold_down, float(now))
            durations_s.append(max(0.0, hold_down.held_until - now))
        assert durations_s == [0, 0, 0, 2, 4, 8, 16, 32]
        later = hold_down.held_until + RESET_AFTER_S
        record_registration(hold_down, later)
        assert not is_held_down(hold_down, later)

    def test_a_flapping_server_is_not_dispatched_to(self):
        async def scenario():
            cluster = Cluster()
            for incarnation in range(1, 5):
                await cluster.register_server(incarnation=incarnation)
            assert await cluster.query_code() is Code.HELD_DOWN
            await _sleep_and_renew(cluster, 2.1)
            assert await cluster.query_code() is Code.OK

        run_virtual(scenario())

    def test_changed_limits_hold_the_server_down_and_the_lowest_apply(self):
        async def scenario():
            cluster = Cluster()
            renewal, lease = await cluster.register_server(slots=3)
            renewal, lease = await cluster.renew("d1", renewal, lease, 3, slots=9)
            assert await cluster.query_code() is Code.HELD_DOWN
            assert cluster.get_row().slots == 3

        run_virtual(scenario())


async def _sleep_and_renew(cluster, seconds):
    """Sleep, then renew the newest incarnation."""
    row = cluster.get_row()
    first = make_announcement(incarnation=row.incarnation)
    await asyncio.sleep(seconds)
    token = LeaseToken("d1", 1, 1, cluster.loop.time() - 0.01)
    await cluster.renew("d1", first, token, 9)
