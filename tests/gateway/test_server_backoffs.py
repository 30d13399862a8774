"""Tests of servers that say that they leave or want no requests for a while."""

import asyncio

import pytest
from result import Ok

from bramleyrouter.gateway.delegation import (
    CONFIRMATION,
    DelegatedReply,
    decode_query,
    decode_reply,
    encode_message,
    is_reply_to,
)
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ReplyKind, ServerReply
from bramleyrouter.gateway.gather_deadlines import compute_wait_for_coverage
from bramleyrouter.gateway.servers import (
    MAX_RETAINED_BACKOFFS,
    ChoiceContext,
    TrackedServer,
    TrackedServers,
    choose_server,
    compute_wait_for_server,
    record_reply,
    set_servers,
)
from bramleyrouter.gateway.tables import RequestKind
from bramleyrouter.ids import DaemonId
from bramleyrouter.wire.network import Peer
from tests.support.gateway_fakes import (
    HERE,
    THERE,
    answer_after,
    build_answer,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
    never_answer,
)
from tests.support.virtual_time import run_virtual


def refuse(retry_after_s=0.0, is_leaving=False, delay_s=0.001):
    """Return the behaviour of refusing with what the server says about later."""
    reply = ServerReply(
        ExchangeOutcome.REFUSED,
        503,
        is_leaving=is_leaving,
        retry_after_s=retry_after_s,
    )
    return lambda arrival: (delay_s, reply)


def answer_leaving(delay_s=0.01):
    """Return the behaviour of replying successfully and saying that it leaves."""
    return lambda arrival: (
        delay_s,
        build_answer(arrival.server)._replace(is_leaving=True),
    )


def count_arrivals(harness, server_id):
    return len(harness.servers.get_arrivals(server_id))


def track(*rows, now=0.0):
    tracked = TrackedServers()
    set_servers(tracked, "s0", rows, now)
    return tracked


class TestLeaving:
    """Guard against requests to a server that has said that it leaves."""

    @pytest.mark.parametrize("behaviour", [answer_leaving(), refuse(is_leaving=True)])
    def test_a_single_request_goes_to_another_server(self, behaviour):
        async def scenario():
            harness = build_harness(
                [build_single_route()],
                [build_row("a"), build_row("b", data_centre=THERE)],
            )
            harness.servers.behaviours["a"] = behaviour
            await harness.send_request()
            for _ in range(20):
                await harness.send_request()
            assert count_arrivals(harness, "a") == 1
            ended = [fields for event, fields in harness.events if "backed" in event]
            assert ended[0]["is_leaving"] and ended[0]["server"] == "a"
            last = [f for event, f in harness.events if event == "request_ended"][-1]
            assert last["backed_off"] == ["a"]

        run_virtual(scenario())

    def test_hedges_and_retries_avoid_it(self):
        async def scenario():
            rows = [build_row("a"), build_row("b"), build_row("c")]
            harness = build_harness([build_gather_route(1, attempts=3)], rows)
            harness.servers.behaviours["a"] = answer_leaving()
            for _ in range(3):
                await harness.send_request()
            leaving_count = count_arrivals(harness, "a")
            harness.servers.behaviours["b"] = never_answer
            harness.servers.behaviours["c"] = refuse()
            for _ in range(5):
                await harness.send_request()
            assert leaving_count == count_arrivals(harness, "a") == 1

        run_virtual(scenario())

    def test_waiting_requests_go_to_another_server_at_once(self):
        """Guards against a queue that is drained to a server that leaves."""

        async def scenario():
            harness = build_harness(
                [build_single_route()],
                [build_row("a", slots=1), build_row("b", data_centre=THERE, slots=9)],
                entry_daemons=16,
            )
            # One connection is this daemon's share of 16, so the others wait.
            harness.servers.behaviours["a"] = answer_leaving(0.02)
            started = harness.servers.loop.time()
            await asyncio.gather(*(harness.send_request() for _ in range(4)))
            assert count_arrivals(harness, "a") == 1
            assert count_arrivals(harness, "b") == 3
            moved = harness.servers.get_arrivals("b")
            assert all(item.at - started < 0.03 for item in moved[:1])

        run_virtual(scenario())

    def test_a_server_that_is_announced_again_stays_unused(self):
        """Guards against its use after a control daemon lost its registry."""
        tracked = track(build_row("a"))
        server = tracked.by_service["s0"]["a"]
        record_reply(
            server, build_answer(server.row)._replace(is_leaving=True), 0, 0, 1
        )
        set_servers(tracked, "s0", [], 2.0)
        set_servers(tracked, "s0", [build_row("a", address="10.0.0.1:9")], 3.0)
        context = ChoiceContext(4.0, HERE, (), 0.0)
        assert choose_server(tracked.by_service["s0"].values(), context) is None
        set_servers(tracked, "s0", [build_row("a", incarnation=2)], 5.0)
        assert choose_server(tracked.by_service["s0"].values(), context) is not None

    def test_back_offs_of_removed_servers_are_bounded(self):
        tracked = track()
        for at in range(MAX_RETAINED_BACKOFFS + 100):
            set_servers(tracked, "s0", [build_row(f"a{at}")], 0.0)
        assert len(tracked.backoffs) <= MAX_RETAINED_BACKOFFS + 1

    def test_another_server_at_the_address_says_nothing_about_it(self):
        server = TrackedServer(build_row("a"))
        reply = ServerReply(
            ExchangeOutcome.MISDIRECTED, 421, is_leaving=True, retry_after_s=9.0
        )
        record_reply(server, reply, 0.0, 0.0, 1.0)
        assert (server.backoff.is_leaving, server.backoff.retry_at) == (False, 0.0)


class TestRetryAfter:
    """Guard against requests to a server within the time for which it wants none."""

    def test_nothing_is_sent_before_its_end(self):
        async def scenario():
            harness = build_harness(
                [build_single_route()],
                [build_row("a"), build_row("b", data_centre=THERE)],
            )
            loop = harness.servers.loop
            harness.servers.behaviours["a"] = refuse(2.0)
            await harness.send_request()
            refused_at = loop.time()
            harness.servers.behaviours["a"] = answer_after(0.01)
            while loop.time() < refused_at + 4.0:
                await harness.send_request()
                await asyncio.sleep(0.1)
            later = [item.at for item in harness.servers.get_arrivals("a")][1:]
            assert later and min(later) >= refused_at + 1.95

        run_virtual(scenario())

    def test_a_shorter_time_that_arrives_later_ends_no_longer_one(self):
        server = TrackedServer(build_row("a"))
        for at, retry_after_s in ((1.0, 5.0), (1.1, 0.2), (1.2, 0.0)):
            reply = ServerReply(
                ExchangeOutcome.REFUSED, 503, retry_after_s=retry_after_s
            )
            record_reply(server, reply, 0.0, 0.0, at)
        assert server.backoff.retry_at == 6.0

    def test_a_single_request_is_refused_with_the_earliest_useful_time(self):
        async def scenario():
            harness = build_harness(
                [build_single_route(timeout_s=30.0, kind=RequestKind.NON_IDEMPOTENT)],
                [build_row("a"), build_row("b")],
            )
            harness.servers.behaviours["a"] = refuse(4.0)
            harness.servers.behaviours["b"] = refuse(2.0)
            await harness.send_request(build_request(deadline_s=30.0))
            started = harness.servers.loop.time()
            reply = await harness.send_request(build_request(deadline_s=30.0))
            assert reply.kind is ReplyKind.REFUSED
            assert harness.servers.loop.time() == started
            assert 2.0 <= reply.retry_after_s <= 2.6

        run_virtual(scenario())

    def test_a_gather_goes_on_without_the_shard(self):
        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            harness = build_harness([build_gather_route(4)], rows)
            harness.servers.behaviours["a3"] = refuse(9.0)
            await harness.send_request()
            started = harness.servers.loop.time()
            reply = await harness.send_request()
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)
            assert harness.servers.loop.time() - started < 0.05
            assert count_arrivals(harness, "a3") == 1

        run_virtual(scenario())

    def test_a_gather_without_coverage_names_when_it_would_have_it(self):
        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            route = build_gather_route(4, timeout_s=60.0)
            harness = build_harness([route], rows)
            for at, retry_after_s in ((1, 9.0), (2, 3.0), (3, 20.0)):
                harness.servers.behaviours[f"a{at}"] = refuse(retry_after_s)
            await harness.send_request(build_request(deadline_s=60.0))
            started = harness.servers.loop.time()
            reply = await harness.send_request(build_request(deadline_s=60.0))
            assert reply.kind is ReplyKind.REFUSED
            assert harness.servers.loop.time() == started
            # Three of four shards suffice, and the third returns after 9 s.
            assert 8.9 <= reply.retry_after_s <= 11.0

        run_virtual(scenario())


class TestWaits:
    def test_wait_for_coverage(self):
        assert compute_wait_for_coverage(17, 20, 0.9, (2.0, None, 0.4)) == 0.4
        assert compute_wait_for_coverage(16, 20, 0.9, (2.0, None, 0.4)) == 2.0
        assert compute_wait_for_coverage(15, 20, 0.9, (2.0, None, 0.4)) is None

    def test_wait_for_a_server(self):
        first, second = TrackedServer(build_row("a")), TrackedServer(build_row("b"))
        first.backoff.retry_at, second.backoff.retry_at = 5.0, 3.0
        assert compute_wait_for_server([first, second], (), 1.0) == 2.0
        second.backoff.is_leaving = True
        assert compute_wait_for_server([first, second], (), 1.0) == 4.0
        assert compute_wait_for_server([first, second], (HERE,), 1.0) is None


class TestRelays:
    """Guard against a requesting daemon that asks a server after its relay knows."""

    def test_a_relay_names_the_servers_that_leave(self):
        async def scenario():
            rows = [build_row(f"b{at}", f"s{at}") for at in range(4)]
            harness = build_harness([build_gather_route(4)], rows)
            harness.servers.behaviours["b2"] = answer_leaving()
            queries = []
            requesting = build_harness(
                [build_gather_route(4)],
                [build_row(f"b{at}", f"s{at}", THERE) for at in range(4)],
                open_stream=lambda address, payload, on_item, on_end: (
                    queries.append(payload) or (lambda: None)
                ),
            )
            requesting.gateway.set_relays([("10.2.0.1:7380", THERE)])
            cancel = requesting.gateway.handle(build_request(), lambda reply: None)
            sent = []
            peer = Peer(DaemonId("requesting"), HERE, "10.9.0.1:7380")
            await harness.gateway.serve_delegated(peer, queries[0], sent.append)
            cancel()
            replies = [decode_reply(item).ok_value for item in sent if item]
            assert [item.leaving for item in replies] == [((2, "b2", 1),)]

        run_virtual(scenario())

    def test_the_requesting_daemon_asks_such_a_server_no_more(self):
        async def scenario():
            def open_stream(address, payload, on_item, on_end):
                query = decode_query(payload).ok_value
                count = len(query.services)
                reply = DelegatedReply(
                    tuple(range(count)),
                    tuple(f"sig-{at}" for at in range(count)),
                    b"",
                    leaving=((2, "b2", 1),),
                )
                loop = asyncio.get_running_loop()
                loop.call_later(0.002, on_item, CONFIRMATION)
                loop.call_later(0.01, on_item, encode_message(reply))
                loop.call_later(0.01, on_end, Ok(None))
                return lambda: None

            rows = [build_row(f"b{at}", f"s{at}", THERE) for at in range(4)]
            harness = build_harness(
                [build_gather_route(4)], rows, open_stream=open_stream
            )
            harness.gateway.set_relays([("10.2.0.1:7380", THERE)])
            await harness.send_request()
            harness.gateway.set_relays([])
            reply = await harness.send_request()
            assert reply.missing == 1
            assert count_arrivals(harness, "b2") == 0

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "reply",
        [
            DelegatedReply((4,), ("x",)),
            DelegatedReply((-1,), ("x",)),
            DelegatedReply((1, 1), ("x", "y")),
            DelegatedReply((1,), ()),
            DelegatedReply(wanted=(9,), is_last=False),
            DelegatedReply(leaving=((7, "b", 1),)),
        ],
    )
    def test_a_reply_that_names_other_shards_is_a_failure(self, reply):
        """Guards against an exception that closes the connection to the relay."""

        async def scenario():
            cancelled = []

            def open_stream(address, payload, on_item, on_end):
                assert not is_reply_to(decode_query(payload).ok_value, reply)
                loop = asyncio.get_running_loop()
                loop.call_later(0.002, on_item, encode_message(reply))
                return lambda: cancelled.append(address)

            rows = [build_row(f"b{at}", f"s{at}", THERE) for at in range(4)]
            harness = build_harness(
                [build_gather_route(4, attempts=3)], rows, open_stream=open_stream
            )
            harness.gateway.set_relays([("10.2.0.1:7380", THERE)])
            answer = await harness.send_request()
            assert (answer.kind, answer.missing) == (ReplyKind.GATHERED, 0)
            assert cancelled

        run_virtual(scenario())


class TestList:
    """Guard against metrics that do not show why a server gets nothing."""

    def test_servers_are_listed_with_the_time_that_is_left(self):
        async def scenario():
            rows = [build_row("a"), build_row("b"), build_row("c")]
            harness = build_harness([build_single_route()], rows)
            assert harness.gateway.list_backed_off() == []
            harness.servers.behaviours["a"] = refuse(3.0)
            harness.servers.behaviours["b"] = answer_leaving()
            for _ in range(4):
                await harness.send_request()
            listed = {
                item.server_id: item.wait_s
                for item in harness.gateway.list_backed_off()
            }
            assert listed["b"] is None
            assert 2.5 < listed["a"] <= 3.0

        run_virtual(scenario())
