"""Tests of customers in the gateway: identification, forwarding and order."""

import asyncio

import msgspec
import pytest

from bramleyrouter.gateway.customers import compute_key_digest, compute_priority
from bramleyrouter.gateway.delegation import (
    DelegatedQuery,
    decode_query,
    encode_message,
)
from bramleyrouter.gateway.exchanges import Credentials, ExchangeOutcome, ReplyKind
from bramleyrouter.gateway.queues import QueuedRequest, Urgency, choose_next_request
from bramleyrouter.gateway.tables import Customer, RouteTable
from bramleyrouter.ids import TableVersion
from tests.gateway.test_delegation import (
    REQUESTING_PEER,
    FakeRelay,
    build_remote_harness,
)
from tests.support.gateway_fakes import (
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
    end_with,
    never_answer,
)
from tests.support.virtual_time import run_virtual

ACME = Customer("acme", (compute_key_digest(b"key-a"),), priority=1)
KEPT = (("X-Own", "1"),)
HEADERS = (("Authorization", "Token key-a"), *KEPT)


def build_keyed_request(key=b"key-a"):
    credentials = Credentials(compute_key_digest(key), KEPT)
    return build_request(headers=HEADERS, credentials=credentials)


def assert_forwarded(harness, count):
    requests = [arrival.request for arrival in harness.servers.arrivals]
    assert len(requests) == count
    for request in requests:
        assert (request.customer, request.headers) == ("acme", KEPT)
        assert request.credentials is None


class TestForwarding:
    """Guard against a send of any kind that has the key or lacks the customer."""

    @pytest.mark.parametrize(
        "first", [never_answer, end_with(ExchangeOutcome.REFUSED)], ids=str
    )
    @pytest.mark.parametrize("route", [build_single_route(), build_gather_route(1)])
    def test_first_sends_hedges_and_retries(self, first, route):
        async def scenario():
            rows = [build_row("a0"), build_row("a1")]
            harness = build_harness([route], rows, customers=(ACME,))
            behaviours = [answer_after(0.01), first]
            for row in rows:
                harness.servers.behaviours[row.server_id] = lambda arrival: (
                    behaviours.pop()(arrival)
                )
            reply = await harness.send_request(build_keyed_request())
            assert reply.kind in (ReplyKind.SERVER, ReplyKind.GATHERED)
            assert_forwarded(harness, 2)

        run_virtual(scenario())

    def test_delegated_gathers(self):
        async def scenario():
            relay = FakeRelay()
            harness = build_remote_harness(relay, customers=(ACME,))
            await harness.send_request(build_keyed_request())
            assert_forwarded(harness, 6)
            payload = encode_message(relay.queries[0])
            assert b"key-a" not in payload
            rows = [build_row(f"b{at}", f"s{at}") for at in range(6, 12)]
            relaying = build_harness([build_gather_route(12)], rows)
            await relaying.gateway.serve_delegated(REQUESTING_PEER, payload, [].append)
            assert_forwarded(relaying, 6)

        run_virtual(scenario())


class TestRefusals:
    """Guard against work for callers without a valid key, and keys that stay valid."""

    @pytest.mark.parametrize("request_", [build_request(), build_keyed_request(b"x")])
    def test_an_unidentified_request_touches_nothing(self, request_):
        async def scenario():
            route = build_single_route()
            harness = build_harness([route], [build_row("a0")], customers=(ACME,))
            reply = await harness.send_request(request_)
            assert reply.kind is ReplyKind.UNAUTHORIZED
            assert harness.servers.arrivals == []
            assert [event for event, _ in harness.events] == ["customer_refused"]
            assert "key-a" not in str(harness.events) + repr(request_)

        run_virtual(scenario())

    def test_a_withdrawn_key_is_refused_and_a_request_under_way_ends(self):
        async def scenario():
            route = build_single_route()
            harness = build_harness([route], [build_row("a0")], customers=(ACME,))
            under_way = asyncio.create_task(harness.send_request(build_keyed_request()))
            await asyncio.sleep(0.001)
            keyless = msgspec.structs.replace(ACME, key_digests=())
            harness.gateway.set_table(
                RouteTable(TableVersion(2), (route,), (), customers=(keyless,))
            )
            reply = await harness.send_request(build_keyed_request())
            assert reply.kind is ReplyKind.UNAUTHORIZED
            assert (await under_way).kind is ReplyKind.SERVER

        run_virtual(scenario())


class TestDelegatedQuery:
    """Guard against changed bytes without customers, and unreadable queries."""

    def test_both_forms_are_encoded_and_read(self):
        request = ["q1", "GET", "/a/x", "search.example", [], b"", False, 1.0]
        query = ["r", ["s0"], 1.0, 0.1, 2, 1, 5, 7, 0.5]
        for form in (request, [*request, "acme"]):
            payload = msgspec.msgpack.encode([form, *query])
            decoded = decode_query(payload).ok_value
            assert decoded.request.customer == "".join(form[8:])
            assert encode_message(decoded) == payload

    def test_credentials_are_never_encoded(self):
        query = DelegatedQuery(build_keyed_request(), "r", ("s0",), 1.0, 0.1, 2, 1, 5)
        decoded = decode_query(encode_message(query)).ok_value
        assert decoded.request.credentials is None


class TestPriority:
    """Guard against an urgent customer that waits behind a less urgent one."""

    def test_the_customer_goes_before_the_route(self):
        urgent = Customer("urgent", priority=0)
        first = compute_priority(build_single_route(priority=3), urgent)
        second = compute_priority(build_single_route(priority=0), ACME)
        waiting = [
            QueuedRequest(Urgency(objective_at, priority), lambda: None)
            for objective_at, priority in ((1.0, second), (2.0, first))
        ]
        assert choose_next_request(waiting, 0.0) is waiting[1]

    def test_a_relay_orders_by_the_customer_that_a_query_names(self):
        async def scenario():
            known = (ACME, Customer("urgent", priority=0))
            routes, rows = [build_gather_route(1)], [build_row("a0")]
            harness = build_harness(routes, rows, entry_daemons=100, customers=known)
            names = ("acme", "acme", "urgent")
            async with asyncio.TaskGroup() as group:
                for name in names:
                    query = DelegatedQuery(
                        build_request(customer=name), "r", ("s0",), 1.0, 0.5, 1, 1, 5
                    )
                    serving = harness.gateway.serve_delegated(
                        REQUESTING_PEER, encode_message(query), [].append
                    )
                    group.create_task(serving)
            arrived = [item.request.customer for item in harness.servers.arrivals]
            assert arrived == ["acme", "urgent", "acme"]

        run_virtual(scenario())
