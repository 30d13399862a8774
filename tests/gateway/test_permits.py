"""Tests of requests that need a permit of their customer's quota."""

import asyncio

import msgspec
import pytest

from bramleyrouter.gateway.customers import compute_key_digest
from bramleyrouter.gateway.exchanges import Credentials, ReplyKind
from bramleyrouter.gateway.tables import Customer, RouteTable, Service
from bramleyrouter.ids import ServiceName, TableVersion, TenantName
from bramleyrouter.permits.client import PermitOutcome, PermitResult
from tests.support.gateway_fakes import (
    HERE,
    THERE,
    answer_after,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
)
from tests.support.virtual_time import run_virtual

LIMITED, FREE = TenantName("limited"), TenantName("free")
OVER_QUOTA = PermitResult(PermitOutcome.OVER_QUOTA, retry_after_s=0.7, asked=2)
NO_ISSUER = PermitResult(PermitOutcome.NO_ISSUER)
LIFETIME_S = 0.3


class Permits:
    """Answer requests for permits after ``delay_s``; record them and their ends."""

    def __init__(self, delay_s=0.001, results=()):
        self.delay_s, self.results = delay_s, list(results)
        self.asked, self.cancelled = [], 0

    def acquire(self, customer, on_permit):
        loop = asyncio.get_running_loop()
        self.asked.append(customer)
        granted = PermitResult(PermitOutcome.GRANTED, loop.time() + LIFETIME_S)
        result = self.results.pop(0) if self.results else granted
        if result is None:
            return lambda: None
        if self.delay_s == 0:
            on_permit(result)
            return lambda: None
        timer = loop.call_later(self.delay_s, on_permit, result)

        def cancel():
            self.cancelled += 1
            timer.cancel()

        return cancel


def build(permits, route=None, rows=None, **fields):
    """Build a harness with a limited and an unlimited customer."""
    route = route or build_single_route(timeout_s=2.0, objective_s=0.4, attempts=1)
    rows = rows or [build_row("a")]
    harness = build_harness([route], rows, acquire_permit=permits.acquire, **fields)
    customers = (
        Customer(LIMITED, (compute_key_digest(LIMITED.encode()),), rate_per_s=1.0),
        Customer(FREE, (compute_key_digest(FREE.encode()),)),
    )
    route = msgspec.structs.replace(route, is_public=True)
    names = [*route.shards, *(target.service for target in route.targets)]
    services = tuple(Service(ServiceName(name), 1) for name in names)
    harness.gateway.set_table(
        RouteTable(TableVersion(2), (route,), services, customers=customers)
    )
    return harness


def request_of(customer, **fields):
    """Build a request with a customer's key, which is the customer's name."""
    digest = compute_key_digest(customer.encode())
    return build_request(credentials=Credentials(digest, ()), **fields)


class TestPermitsOfRequests:
    """Guard against requests that run without a valid permit, or never end."""

    @pytest.mark.parametrize("customer", [FREE, TenantName(""), TenantName("gone")])
    def test_no_message_without_a_limit(self, customer):
        async def scenario():
            permits = Permits()
            reply = await build(permits).send_request(request_of(customer))
            assert reply.kind is ReplyKind.SERVER
            assert not permits.asked

        run_virtual(scenario())

    @pytest.mark.parametrize("delay_s", [0, 0.001])
    @pytest.mark.parametrize(
        "result, kind, retry_after_s",
        [
            (OVER_QUOTA, ReplyKind.OVER_QUOTA, 0.7),
            (NO_ISSUER, ReplyKind.REFUSED, 1.0),
        ],
    )
    def test_a_refused_request_is_not_sent(self, delay_s, result, kind, retry_after_s):
        async def scenario():
            harness = build(Permits(delay_s, [result]))
            reply = await harness.send_request(request_of(LIMITED))
            assert (reply.kind, reply.retry_after_s) == (kind, retry_after_s)
            assert not harness.servers.arrivals
            assert harness.gateway.in_flight() == 0
            assert "permit_refused" in [event for event, _ in harness.events]

        run_virtual(scenario())

    def test_the_wait_counts_against_the_deadline(self):
        # A server that is told the full deadline works for a caller that has gone.
        async def scenario():
            harness = build(Permits(0.05))
            await harness.send_request(request_of(LIMITED, deadline_s=0.5))
            assert harness.servers.arrivals[0].timeout_s == pytest.approx(0.45)

        run_virtual(scenario())

    def test_no_permit_until_the_deadline(self):
        async def scenario():
            harness = build(Permits(9.0))
            started_at = asyncio.get_running_loop().time()
            reply = await harness.send_request(request_of(LIMITED, deadline_s=0.5))
            assert reply.kind is ReplyKind.REFUSED
            assert asyncio.get_running_loop().time() - started_at < 0.5
            assert harness.gateway.in_flight() == 0

        run_virtual(scenario())

    def test_a_caller_that_leaves_while_its_request_waits(self):
        async def scenario():
            permits = Permits()
            harness = build(permits)
            cancel = harness.gateway.handle(request_of(LIMITED), lambda reply: None)
            assert harness.gateway.in_flight() == 1
            cancel()
            await asyncio.sleep(1.0)
            assert harness.gateway.in_flight() == 0
            assert permits.cancelled
            assert not harness.servers.arrivals

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "renewal, kind, asked",
        [
            ("granted", ReplyKind.SERVER, 5),
            (OVER_QUOTA, ReplyKind.OVER_QUOTA, 3),
            (None, ReplyKind.REFUSED, 3),
        ],
    )
    def test_a_request_that_waits_for_a_connection(self, renewal, kind, asked):
        # The only connection is in use for longer than a permit is valid.
        async def scenario():
            loop = asyncio.get_running_loop()
            permits = Permits()
            harness = build(permits)
            harness.servers.behaviours["a"] = answer_after(0.7)
            first = loop.create_task(harness.send_request(request_of(LIMITED)))
            await asyncio.sleep(0.01)
            if renewal != "granted":
                granted = PermitResult(PermitOutcome.GRANTED, loop.time() + LIFETIME_S)
                permits.results = [granted, renewal]
            reply = await harness.send_request(
                request_of(LIMITED, deadline_s=2.0, request_id="q2")
            )
            assert (await first).kind is ReplyKind.SERVER
            assert len(harness.servers.arrivals) == 1 + (renewal == "granted")
            assert reply.kind is kind
            await asyncio.sleep(1.0)
            assert len(permits.asked) == asked
            assert harness.gateway.in_flight() == 0

        run_virtual(scenario())

    def test_an_ended_request_gets_no_further_permit(self):
        # Its permits would be used up, one after another, until the daemon ends.
        async def scenario():
            permits = Permits()
            harness = build(permits, out=(HERE,))
            reply = await harness.send_request(request_of(LIMITED))
            assert reply.kind is ReplyKind.REFUSED
            await asyncio.sleep(2.0)
            assert len(permits.asked) == 1

        run_virtual(scenario())

    def test_one_shard_of_a_gather_is_not_delegated(self):
        # A relay may send its attempts at any time, also after the permit has expired.
        async def scenario():
            queries = []

            def open_stream(address, payload, on_item, on_end):
                queries.append(payload)
                return lambda: None

            rows = [build_row(f"a{at}", f"s{at}", THERE) for at in range(8)]
            harness = build(
                Permits(), build_gather_route(8), rows, open_stream=open_stream
            )
            harness.gateway.set_relays([("10.2.0.1:7380", THERE)])
            harness.gateway.handle(request_of(LIMITED), lambda reply: None)
            await asyncio.sleep(0.005)
            assert len(queries) == 1
            assert len(harness.servers.arrivals) == 1

        run_virtual(scenario())
