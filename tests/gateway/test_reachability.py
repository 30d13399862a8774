"""Tests of a daemon that is cut off from other data centres."""

import asyncio

from bramleyrouter.gateway.data_centre_contacts import (
    CUT_OFF_INTERVALS,
    UNREACHABLE_INTERVALS,
    build_contacts,
    compute_time_since_contact,
    record_contact,
    update_is_cut_off,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind, ServerReply
from bramleyrouter.gateway.rotation import (
    Rotation,
    compute_time_to_leave_rotation,
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
    build_row,
    never_answer,
)
from tests.support.virtual_time import run_virtual

DATA_CENTRES = (HERE, THERE, ELSEWHERE)
CUT_OFF_S = CUT_OFF_INTERVALS * KEEPALIVE_INTERVAL_S
UNREACHABLE_AFTER_S = UNREACHABLE_INTERVALS * KEEPALIVE_INTERVAL_S


def with_uncovered_route():
    return True


def without_uncovered_route():
    return False


class TestDataCentreContacts:
    def test_missing_contact_alone_is_not_isolation(self):
        """Guard against leaving rotation while only control daemons are down."""
        contacts = build_contacts(HERE, DATA_CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert not update_is_cut_off(contacts, without_uncovered_route, 100.0)

    def test_lacking_servers_alone_is_not_isolation(self):
        """Guard against leaving rotation when shards are down for all daemons."""
        contacts = build_contacts(HERE, DATA_CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        record_contact(contacts, THERE, 100.0)
        assert not update_is_cut_off(
            contacts, with_uncovered_route, 100.0 + CUT_OFF_S / 2
        )

    def test_isolation_lasts_until_the_first_contact(self):
        """Guard against a return to rotation when suspicions expire without contact."""
        contacts = build_contacts(HERE, DATA_CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert update_is_cut_off(contacts, with_uncovered_route, CUT_OFF_S)
        assert update_is_cut_off(contacts, without_uncovered_route, 3.0)
        record_contact(contacts, HERE, 3.0)
        assert update_is_cut_off(contacts, without_uncovered_route, 3.0)
        record_contact(contacts, ELSEWHERE, 3.0)
        assert not update_is_cut_off(contacts, with_uncovered_route, 3.0)

    def test_a_single_data_centre_is_never_cut_off(self):
        contacts = build_contacts(HERE, (HERE,), KEEPALIVE_INTERVAL_S, 0.0)
        assert compute_time_since_contact(contacts, 100.0) == 0.0
        assert not update_is_cut_off(contacts, with_uncovered_route, 100.0)

    def test_contact_reports_whether_the_data_centre_was_unreachable(self):
        contacts = build_contacts(HERE, DATA_CENTRES, KEEPALIVE_INTERVAL_S, 0.0)
        assert not record_contact(contacts, THERE, 0.9 * UNREACHABLE_AFTER_S)
        assert record_contact(contacts, THERE, 2 * UNREACHABLE_AFTER_S)
        assert record_contact(contacts, ELSEWHERE, 2 * UNREACHABLE_AFTER_S)


class TestRotation:
    def test_two_failed_probes_take_a_daemon_out_of_rotation(self):
        rotation = Rotation(10.0)
        record_readiness_probe(rotation, True, 11.0)
        assert compute_time_to_leave_rotation(rotation, 11.25) == 1.75
        record_readiness_probe(rotation, False, 12.0)
        assert compute_time_to_leave_rotation(rotation, 12.25) == 0.75
        record_readiness_probe(rotation, False, 13.0)
        assert compute_time_to_leave_rotation(rotation, 13.25) == 0.0

    def test_a_successful_probe_resets_the_failures(self):
        rotation = Rotation(10.0, failed_probes=5)
        record_readiness_probe(rotation, True, 11.0)
        assert compute_time_to_leave_rotation(rotation, 11.0) == 2.0


def build_isolated_harness(**fields):
    """Build a harness with four shards, two of which have only remote servers."""
    rows = [build_row(f"a{at}", f"s{at}") for at in range(2)]
    rows += [build_row(f"b{at}", f"s{at}", THERE) for at in range(2, 4)]
    return build_harness([build_gather_route(4, **fields)], rows)


async def send_load(harness, seconds, caller_request=None):
    """Send a query every 0.1 s and return the replies."""
    loop = asyncio.get_running_loop()
    replies = []
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        harness.gateway.handle(caller_request or build_request(), replies.append)
        await asyncio.sleep(0.1)
        harness.gateway.is_cut_off()
    return replies


class TestCutOff:
    def test_callers_are_refused_until_the_first_contact(self):
        """Guard against slow failures for callers for as long as an isolation lasts.

        Replays the load of a data centre that is cut off: a query every 0.1 s.
        """

        async def scenario():
            harness = build_isolated_harness()
            assert {reply.kind for reply in await send_load(harness, 1.0)} == {
                ReplyKind.GATHERED
            }
            assert not harness.gateway.is_cut_off()
            harness.servers.behaviours |= {"b2": never_answer, "b3": never_answer}
            # Time for the suspicion of the servers and the missing contact, and no
            # more.
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

    def test_callers_retry_once_the_balancer_chooses_another_daemon(self):
        """Guard against a caller whose only retry reaches the same daemon."""

        async def scenario():
            harness = build_isolated_harness(timeout_s=9.0)
            harness.servers.behaviours |= {"b2": never_answer, "b3": never_answer}
            await send_load(harness, 1.5)
            assert harness.gateway.is_cut_off()
            long_request = build_request(deadline_s=9.0)
            harness.gateway.record_readiness_probe(False)
            first = await harness.send_request(long_request)
            assert 1.0 <= first.retry_after_s <= 1.2
            harness.gateway.record_readiness_probe(False)
            second = await harness.send_request(long_request)
            assert 0.0 < second.retry_after_s <= 0.1
            short_reply = await harness.send_request(build_request(deadline_s=0.6))
            assert short_reply.retry_after_s <= 0.2

        run_virtual(scenario())

    def test_only_a_response_of_a_server_counts_as_contact(self):
        """Guard against taking a full connection pool for a refusal by a server.

        Requests that find no free connection to the silent servers would otherwise
        return an isolated daemon to rotation.
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
