"""Tests of what a daemon does when it is cut off from other data centres."""

import asyncio

from bramleyrouter.gateway.data_centre_contacts import (
    CUT_OFF_SHARE,
    UNREACHABLE_FACTOR,
    build_contacts,
    compute_time_since_contact,
    record_contact,
    update_is_cut_off,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind, ServerReply
from bramleyrouter.gateway.rotation import (
    Rotation,
    compute_time_to_leave,
    record_readiness_probe,
)
from tests.support.gateway_fakes import (
    ELSEWHERE,
    HERE,
    KEEPALIVE_INTERVAL_S,
    THERE,
    build_gather_route,
    build_harness,
    build_request,
    never_answer,
    row,
)
from tests.support.virtual_time import run_virtual

CENTRES = (HERE, THERE, ELSEWHERE)
CUT_OFF_S = CUT_OFF_SHARE * KEEPALIVE_INTERVAL_S
UNREACHABLE_AFTER_S = UNREACHABLE_FACTOR * KEEPALIVE_INTERVAL_S


def lacks_coverage():
    return True


def has_coverage():
    return False


class TestContacts:
    def test_silence_alone_is_no_cut(self):
        """Guards against leaving rotation while only control daemons are down."""
        contacts = build_contacts(HERE, CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert not update_is_cut_off(contacts, has_coverage, 100.0)

    def test_lacking_servers_alone_is_no_cut(self):
        """Guards against leaving rotation when shards are down for everyone."""
        contacts = build_contacts(HERE, CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        record_contact(contacts, THERE, 100.0)
        assert not update_is_cut_off(contacts, lacks_coverage, 100.0 + CUT_OFF_S / 2)

    def test_a_cut_lasts_until_the_first_sign_of_life(self):
        """Guards against returning when suspicions lapse without any news."""
        contacts = build_contacts(HERE, CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert update_is_cut_off(contacts, lacks_coverage, CUT_OFF_S)
        assert update_is_cut_off(contacts, has_coverage, 3.0)
        record_contact(contacts, HERE, 3.0)
        assert update_is_cut_off(contacts, has_coverage, 3.0)
        record_contact(contacts, ELSEWHERE, 3.0)
        assert not update_is_cut_off(contacts, lacks_coverage, 3.0)

    def test_one_data_centre_alone_is_never_cut_off(self):
        contacts = build_contacts(HERE, (HERE,), KEEPALIVE_INTERVAL_S, 0.0)
        assert compute_time_since_contact(contacts, 100.0) == 0.0
        assert not update_is_cut_off(contacts, lacks_coverage, 100.0)

    def test_contact_tells_whether_the_data_centre_was_out_of_reach(self):
        contacts = build_contacts(HERE, CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert not record_contact(contacts, THERE, 0.9 * UNREACHABLE_AFTER_S)
        assert record_contact(contacts, THERE, 2 * UNREACHABLE_AFTER_S)
        assert record_contact(contacts, ELSEWHERE, 2 * UNREACHABLE_AFTER_S)


class TestRotation:
    def test_two_misses_end_it(self):
        rotation = Rotation(10.0)
        record_readiness_probe(rotation, True, 11.0)
        assert compute_time_to_leave(rotation, 11.25) == 1.75
        record_readiness_probe(rotation, False, 12.0)
        assert compute_time_to_leave(rotation, 12.25) == 0.75
        record_readiness_probe(rotation, False, 13.0)
        assert compute_time_to_leave(rotation, 13.25) == 0.0

    def test_a_good_answer_starts_it_anew(self):
        rotation = Rotation(10.0, failed_probes=5)
        record_readiness_probe(rotation, True, 11.0)
        assert compute_time_to_leave(rotation, 11.0) == 2.0


def build_isolated_harness(**fields):
    """Return a site of four shards, of which two have servers elsewhere only."""
    rows = [row(f"a{at}", f"s{at}") for at in range(2)]
    rows += [row(f"b{at}", f"s{at}", THERE) for at in range(2, 4)]
    return build_harness([build_gather_route(4, **fields)], rows)


async def send_load(harness, seconds, asked=None):
    """Send a query each 0.1 s, as callers do; return the replies."""
    loop = asyncio.get_running_loop()
    replies = []
    expires_at = loop.time() + seconds
    while loop.time() < expires_at:
        harness.gateway.handle(asked or build_request(), replies.append)
        await asyncio.sleep(0.1)
        harness.gateway.is_cut_off()
    return replies


class TestCutOff:
    def test_callers_are_sent_elsewhere_until_the_first_sign_of_life(self):
        """Guards against serving callers badly for as long as a cut lasts.

        Replays the load of a data centre that is cut off: a query each 0.1 s.
        """

        async def scenario():
            harness = build_isolated_harness()
            assert {reply.kind for reply in await send_load(harness, 1.0)} == {
                ReplyKind.GATHERED
            }
            assert not harness.gateway.is_cut_off()
            harness.servers.behaviours |= {"b2": never_answer, "b3": never_answer}
            # Suspicion of the servers and the silence, and no more.
            await send_load(harness, CUT_OFF_S + 0.4)
            assert harness.gateway.is_cut_off()
            before = len(harness.servers.arrivals)
            replies = await send_load(harness, 3.0)
            assert len(harness.servers.arrivals) == before
            assert {reply.kind for reply in replies} == {ReplyKind.REFUSED}
            harness.servers.behaviours.clear()
            harness.gateway.mark_data_centre_reachable(THERE)
            assert not harness.gateway.is_cut_off()
            replies = await send_load(harness, 0.5)
            assert {reply.kind for reply in replies} == {ReplyKind.GATHERED}

        run_virtual(scenario())

    def test_callers_are_told_to_return_when_the_balancer_has_moved_on(self):
        """Guards against a caller's only retry that reaches the same daemon."""

        async def scenario():
            harness = build_isolated_harness(timeout_s=9.0)
            harness.servers.behaviours |= {"b2": never_answer, "b3": never_answer}
            await send_load(harness, 1.5)
            assert harness.gateway.is_cut_off()
            patient = build_request(deadline_s=9.0)
            harness.gateway.record_readiness_probe(False)
            first = await harness.send_request(patient)
            assert 1.0 <= first.retry_after_s <= 1.2
            harness.gateway.record_readiness_probe(False)
            second = await harness.send_request(patient)
            assert 0.0 < second.retry_after_s <= 0.1
            hurried = await harness.send_request(build_request(deadline_s=0.6))
            assert hurried.retry_after_s <= 0.2

        run_virtual(scenario())

    def test_only_what_came_back_from_a_server_is_a_sign_of_life(self):
        """Guards against taking a full connection pool for a server's refusal.

        A daemon that was cut off came back into rotation in the middle of the
        cut, as requests ran out of connections to silent servers.
        """

        async def scenario(status):
            harness = build_isolated_harness(timeout_s=9.0)
            reply = ServerReply(ExchangeOutcome.REFUSED, status)
            late = lambda arrival: (1.5, reply)
            harness.servers.behaviours |= {"b2": late, "b3": late}
            await send_load(harness, 1.2, build_request(deadline_s=9.0))
            assert harness.gateway.is_cut_off()
            await send_load(harness, 1.0, build_request(deadline_s=9.0))
            return harness.gateway.is_cut_off()

        assert run_virtual(scenario(status=0))
        assert not run_virtual(scenario(status=503))
