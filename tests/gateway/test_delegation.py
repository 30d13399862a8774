"""Tests of the delegation of shards to other entry daemons."""

import asyncio
import math

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.delegation import (
    CONFIRMATION,
    AttemptGrant,
    DelegatedQuery,
    DelegatedReply,
    assign_shards,
    decode_grant,
    decode_query,
    decode_reply,
    encode_message,
    split_shards,
)
from bramleyrouter.gateway.exchanges import CallerRequest, ExchangeOutcome, ReplyKind
from bramleyrouter.gateway.gather_runs import AttemptPurpose
from bramleyrouter.ids import DaemonId, ServiceName
from bramleyrouter.wire.network import Peer
from tests.support.gateway_fakes import (
    ELSEWHERE,
    HERE,
    RECORD,
    THERE,
    answer_after,
    build_answer,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    end_with,
    never_answer,
)
from tests.support.virtual_time import run_virtual

REQUESTING_PEER = Peer(DaemonId("requesting"), HERE, "10.9.0.1:7380")


class FakeRelay:
    """Simulate a relay that confirms, replies, fails or stays silent, as configured."""

    def __init__(
        self,
        is_confirming=True,
        failure=None,
        left_out=(),
        is_answering=True,
        late=None,
    ):
        self.queries = []
        self.cancelled = 0
        self._is_confirming = is_confirming
        self._failure = failure
        self._is_answering = is_answering
        self._left_out = left_out
        # Service of a shard that is reported in a reply of its own, and the delay of
        # this reply in seconds.
        self._late = late

    def open_stream(self, address, payload, on_item, on_end):
        loop = asyncio.get_running_loop()
        query = decode_query(payload).ok_value
        self.queries.append(query)
        if self._failure is not None:
            loop.call_soon(on_end, Err(self._failure))
        elif self._is_confirming:
            loop.call_later(0.002, on_item, CONFIRMATION)
        if self._failure is None and self._is_confirming and self._is_answering:
            self._answer(loop, query, on_item, on_end)

        def cancel():
            self.cancelled += 1

        return cancel

    def _answer(self, loop, query, on_item, on_end):
        left_out, last_s = set(self._left_out), 0.02
        if self._late and self._late[0] in query.services:
            service, last_s = self._late
            others = set(query.services) - {service}
            part = self._reply(query, left_out | {service}, is_last=False)
            loop.call_later(0.02, on_item, part)
            left_out |= others
        loop.call_later(last_s, on_item, self._reply(query, left_out))
        loop.call_later(last_s + 0.001, on_end, Ok(None))

    def _reply(self, query, left_out, is_last=True):
        included = [
            at for at, service in enumerate(query.services) if service not in left_out
        ]
        signatures = [f"sig-{query.services[at]}-relay" for at in included]
        reply = DelegatedReply(
            tuple(included), tuple(signatures), b"z" * 16, is_last=is_last
        )
        return encode_message(reply)


def build_remote_harness(relay, min_coverage=0.75, **fields):
    """Build a harness with six local shards and six in two other data centres."""
    rows = [build_row(f"a{at}", f"s{at}") for at in range(6)]
    for at in range(6, 12):
        rows.append(build_row(f"b{at}", f"s{at}", THERE))
        rows.append(build_row(f"c{at}", f"s{at}", ELSEWHERE))
    harness = build_harness(
        [build_gather_route(12, min_coverage=min_coverage)],
        rows,
        open_stream=relay.open_stream,
        **fields,
    )
    harness.gateway.set_relays([("10.2.0.1:7380", THERE)])
    return harness


async def build_relay_harness():
    """Build a relay's harness with six shards, and the query that it receives."""
    relay = FakeRelay()
    await build_remote_harness(relay).send_request()
    rows = [build_row(f"b{at}", f"s{at}") for at in range(6, 12)]
    return build_harness([build_gather_route(12)], rows), relay.queries[0]


class TestDelegation:
    def test_remote_shards_are_delegated_in_one_message(self):
        async def scenario():
            relay = FakeRelay()
            harness = build_remote_harness(relay)
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.GATHERED
            assert reply.missing == 0
            assert len(set(reply.signatures)) == 12
            assert reply.body.startswith(b"z" * 16)
            assert len(relay.queries) == 1
            assert len(relay.queries[0].services) == 6
            assert len(harness.servers.arrivals) == 6

        run_virtual(scenario())

    def test_shards_that_a_relay_lacks_are_missing(self):
        async def scenario():
            harness = build_remote_harness(FakeRelay(left_out=("s7",)))
            reply = await harness.send_request()
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)

        run_virtual(scenario())

    def test_shards_of_an_unconfirmed_relay_are_sent_directly(self):
        async def scenario():
            relay = FakeRelay(is_confirming=False)
            harness = build_remote_harness(relay)
            reply = await harness.send_request()
            assert reply.missing == 0
            assert asyncio.get_running_loop().time() < 0.1
            assert relay.cancelled == 1
            # The relay is in backoff and gets no queries.
            await harness.send_request()
            assert len(relay.queries) == 1
            await asyncio.sleep(2.0)
            await harness.send_request()
            assert len(relay.queries) == 2

        run_virtual(scenario())

    def test_direct_attempts_after_a_relay_that_may_have_run_consume_budget(self):
        async def scenario():
            relay = FakeRelay(is_confirming=False)
            harness = build_remote_harness(relay, extra=ExtraLimits(0.0, 0.0, 10.0))
            await harness.send_request()
            assert len(harness.servers.arrivals) == 6

        run_virtual(scenario())

    def test_an_unreachable_relay_consumes_no_budget(self):
        async def scenario():
            failure = Failure(Code.PEER_UNREACHABLE, "no connection")
            relay = FakeRelay(failure=failure)
            harness = build_remote_harness(relay, extra=ExtraLimits(0.0, 0.0, 10.0))
            reply = await harness.send_request()
            assert reply.missing == 0

        run_virtual(scenario())

    def test_no_refusal_while_a_delegation_is_open(self):
        # A refusal promises that nothing ran, but a relay's servers may have run the
        # query.
        async def scenario():
            relay = FakeRelay(is_answering=False)
            harness = build_remote_harness(relay, min_coverage=0.55)
            for at in range(6):
                harness.servers.behaviours[f"a{at}"] = end_with(
                    ExchangeOutcome.UNREACHED
                )
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.FAILED
            assert relay.cancelled == 1

        run_virtual(scenario())

    def test_no_refusal_after_a_relay_has_replied(self):
        """Guard against a refusal ("not run") after a relay's servers ran the query."""

        async def scenario():
            harness = build_remote_harness(FakeRelay(), min_coverage=0.55)
            for at in range(6):
                harness.servers.behaviours[f"a{at}"] = end_with(
                    ExchangeOutcome.UNREACHED, 0.05
                )
            reply = await harness.send_request()
            assert reply.kind is ReplyKind.FAILED

        run_virtual(scenario())

    def test_delegations_are_cancelled_when_the_caller_disconnects(self):
        async def scenario():
            relay = FakeRelay()
            harness = build_remote_harness(relay)
            cancel = harness.gateway.handle(build_request(), lambda reply: None)
            await asyncio.sleep(0.005)
            cancel()
            assert relay.cancelled == 1

        run_virtual(scenario())

    def test_a_relay_sends_to_its_local_servers(self):
        async def scenario():
            harness, query = await build_relay_harness()
            sent = []
            await harness.gateway.serve_delegated(
                REQUESTING_PEER, encode_message(query), sent.append
            )
            assert sent[0] == CONFIRMATION
            assert len(harness.servers.arrivals) == 6
            first = harness.servers.arrivals[0]
            assert first.request.request_id == "q1"
            assert build_answer(first.server).signature.encode() in sent[1]

        run_virtual(scenario())


class TestLogOfAttempts:
    """Guard against delegated gathers and attempts that leave no line in the log."""

    def test_a_cancelled_relay_records_for_whom_it_sent_what(self):
        async def scenario():
            harness, query = await build_relay_harness()
            harness.servers.behaviours |= {"b6": never_answer}
            serving = asyncio.get_running_loop().create_task(
                harness.gateway.serve_delegated(
                    REQUESTING_PEER, encode_message(query), lambda item: None
                )
            )
            await asyncio.sleep(0.02)
            serving.cancel()
            await asyncio.sleep(0.001)
            fields = dict(harness.events)["gather_cancelled"]
            assert fields["id"] == "q1"
            assert fields["requested_by"] == REQUESTING_PEER.address
            assert len(fields["attempts"]) == 6
            assert ("s6", "b6", 0, AttemptPurpose.FIRST, 1) in fields["attempts"]

        run_virtual(scenario())

    def test_a_hedge_is_recorded_with_its_run_number(self):
        async def scenario():
            rows = [build_row("a0", "s0"), build_row("b0", "s0")]
            harness = build_harness([build_gather_route(1)], rows)
            harness.servers.behaviours["a0"] = never_answer
            await harness.send_request()
            attempts = dict(harness.events)["gather_ended"]["attempts"]
            assert [item[1] for item in attempts] == ["a0", "b0"]
            assert [item.purpose for item in attempts] == [
                AttemptPurpose.FIRST,
                AttemptPurpose.HEDGE,
            ]
            assert [item.run_number for item in attempts] == [1, 2]

        run_virtual(scenario())


class TestSplitShards:
    def test_one_message_if_one_data_centre_has_all_shards(self):
        candidates = [{THERE, ELSEWHERE}] * 6
        assert split_shards(candidates, [ELSEWHERE, THERE]) == {ELSEWHERE: [*range(6)]}

    def test_two_messages_if_no_data_centre_has_all_shards(self):
        """Guard against single requests between data centres after the loss of servers.

        After a repartition with lost servers, no data centre may have 80% of the
        requested shards. Two messages must then be sent instead of 16 requests per
        query.
        """
        candidates = [{THERE}] * 6 + [{ELSEWHERE}] * 5 + [{THERE, ELSEWHERE}] * 4
        parts = split_shards(candidates, [THERE, ELSEWHERE])
        assert parts == {THERE: [*range(6), *range(11, 15)], ELSEWHERE: [*range(6, 11)]}

    def test_a_few_shards_are_not_delegated(self):
        candidates = [{THERE}] * 6 + [{ELSEWHERE}] * 3
        assert split_shards(candidates, [THERE, ELSEWHERE]) == {THERE: [*range(6)]}
        assert split_shards([{THERE}] * 3, [THERE]) == {}

    def test_shards_without_a_good_server_are_left_out(self):
        assert split_shards([set()] * 9 + [{THERE}] * 4, [THERE]) == {
            THERE: [9, 10, 11, 12]
        }


class TestTwoRelays:
    def test_each_relay_gets_the_shards_of_its_data_centre(self):
        async def scenario():
            relay = FakeRelay()
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            rows += [build_row(f"b{at}", f"s{at}", THERE) for at in range(4, 8)]
            rows += [build_row(f"c{at}", f"s{at}", ELSEWHERE) for at in range(8, 12)]
            harness = build_harness(
                [build_gather_route(12)], rows, open_stream=relay.open_stream
            )
            harness.gateway.set_relays(
                [("10.2.0.1:1", THERE), ("10.3.0.1:1", ELSEWHERE)]
            )
            reply = await harness.send_request()
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 0)
            assert len(reply.signatures) == 12
            shard_counts = sorted(len(query.services) for query in relay.queries)
            assert shard_counts == [4, 4]
            assert len(harness.servers.arrivals) == 4

        run_virtual(scenario())

    def test_shards_of_cold_servers_without_a_rate_are_delegated(self):
        """Guard against single requests between data centres after a repartition."""

        async def scenario():
            relay = FakeRelay()
            rows = [build_row(f"a{at}", f"s{at}") for at in range(4)]
            rows += [
                build_row(f"b{at}", f"s{at}", THERE, cold_s=3.0) for at in range(4, 8)
            ]
            harness = build_harness(
                [build_gather_route(8)], rows, open_stream=relay.open_stream
            )
            harness.gateway.set_relays([("10.2.0.1:1", THERE)])
            await harness.send_request()
            assert [len(query.services) for query in relay.queries] == [4]

        run_virtual(scenario())


class TestParts:
    """Guard against parts that each have enough shards but too few in total.

    If 86 of 90 shards are needed, nine parts of ten shards each must not finish with
    nine results each, which are 81.
    """

    def test_a_query_below_its_minimum_waits_for_its_late_parts(self):
        async def scenario():
            relay = FakeRelay(late=("s7", 0.25))
            harness = build_remote_harness(relay, min_coverage=1.0)
            started_at = asyncio.get_running_loop().time()
            reply = await harness.send_request()
            waited_s = asyncio.get_running_loop().time() - started_at
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 0)
            assert len(set(reply.signatures)) == 12
            assert 0.24 < waited_s < 0.27

        run_virtual(scenario())

    def test_a_query_with_enough_coverage_replies_at_its_objective(self):
        async def scenario():
            relay = FakeRelay(late=("s7", 0.25))
            harness = build_remote_harness(relay)
            started_at = asyncio.get_running_loop().time()
            reply = await harness.send_request()
            waited_s = asyncio.get_running_loop().time() - started_at
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)
            assert waited_s < 0.1
            await asyncio.sleep(1.0)
            assert relay.cancelled == 0

        run_virtual(scenario())

    def test_a_relay_reports_at_the_objective_and_then_each_late_result(self):
        async def scenario():
            harness, query = await build_relay_harness()
            harness.servers.behaviours |= {"b7": answer_after(0.3), "b8": never_answer}
            sent = []
            await harness.gateway.serve_delegated(
                REQUESTING_PEER, encode_message(query), sent.append
            )
            replies = [decode_reply(item).ok_value for item in sent[1:]]
            assert [reply.included for reply in replies[:2]] == [(0, 3, 4, 5), (1,)]
            assert [reply.is_last for reply in replies] == [False, False, True]
            assert replies[2].included == ()

        run_virtual(scenario())

    def test_a_relay_with_all_results_sends_one_reply(self):
        async def scenario():
            harness, query = await build_relay_harness()
            sent = []
            await harness.gateway.serve_delegated(
                REQUESTING_PEER, encode_message(query), sent.append
            )
            assert len(sent) == 2
            assert decode_reply(sent[1]).ok_value.is_last

        run_virtual(scenario())


class TestAssignShards:
    OWN = "10.1.0.1:7380"
    PEERS = tuple(f"10.1.0.{at}:7380" for at in range(2, 30))

    def test_every_shard_goes_to_one_daemon_and_parts_have_similar_sizes(self):
        for shards in (40, 90, 135):
            shared = assign_shards(shards, self.OWN, self.PEERS, self.PEERS)
            positions = sorted(at for part in shared.values() for at in part)
            assert positions == list(range(shards))
            assert max(map(len, shared.values())) <= 4 * math.sqrt(shards)
            assert len(shared) >= math.sqrt(shards) / 2

    def test_all_daemons_prefer_the_same_daemons(self):
        """Guard against connections of every daemon to every server."""
        all_daemons = {self.OWN, *self.PEERS}
        preferred = assign_shards(90, self.OWN, self.PEERS, self.PEERS)
        for own in self.PEERS[:5]:
            others = all_daemons - {own}
            assert assign_shards(90, own, others, others) == preferred

    def test_only_the_parts_of_a_daemon_in_backoff_move(self):
        preferred = assign_shards(90, self.OWN, self.PEERS, self.PEERS)
        lost = next(name for name in preferred if name != self.OWN)
        usable = set(self.PEERS) - {lost}
        moved = assign_shards(90, self.OWN, self.PEERS, usable)
        assert lost not in moved
        for name, part in preferred.items():
            assert name == lost or set(part) <= set(moved[name])

    def test_large_queries_are_shared_and_small_ones_are_not(self):
        async def scenario(shards):
            relay = FakeRelay()
            rows = [build_row(f"a{at}", f"s{at}") for at in range(shards)]
            routes = [build_gather_route(shards)]
            harness = build_harness(routes, rows, open_stream=relay.open_stream)
            harness.gateway.set_relays(
                [(name, HERE) for name in (self.OWN, *self.PEERS)]
            )
            reply = await harness.send_request()
            assert reply.missing == 0
            shard_counts = [len(query.services) for query in relay.queries]
            assert sum(shard_counts) + len(harness.servers.arrivals) == shards
            return shard_counts

        assert run_virtual(scenario(30)) == []
        assert len(run_virtual(scenario(90))) >= 5


class TestAttemptsPerShard:
    """Guard against a shard that runs at more servers than its route allows.

    It happens if a relay and the requesting daemon that gave it up each use the same
    attempt, for example because a cancellation arrives late.
    """

    GRANT_ID = 7

    async def serve(self, first, objective_s, grants=()):
        """Serve a query of two shards with one attempt; return what was sent.

        ``grants`` are handled when the relay asks for more attempts. The result is the
        harness, the items that the relay sent, and the time that it took in seconds.
        """
        rows = [build_row(f"{n}{at}", f"s{at}") for at in range(2) for n in "abc"]
        harness = build_harness([build_gather_route(2)], rows)
        servers = [f"{n}{at}" for at in range(2) for n in "ab"]
        harness.servers.behaviours |= dict.fromkeys(servers, first)
        loop = asyncio.get_running_loop()
        query = DelegatedQuery(
            build_request(),
            "r",
            ("s0", "s1"),
            1.0,
            objective_s,
            1,
            1,
            5,
            self.GRANT_ID,
        )
        items = []

        def receive(item):
            items.append(item)
            if item != CONFIRMATION and decode_reply(item).ok_value.wanted:
                for grant in grants:
                    payload = encode_message(grant)
                    loop.create_task(harness.gateway.handle_grant(None, payload))

        started_at = loop.time()
        await harness.gateway.serve_delegated(
            REQUESTING_PEER, encode_message(query), receive
        )
        return harness, items, loop.time() - started_at

    def count_arrivals(self, harness):
        """Return the number of attempts of the shards s0 and s1."""
        services = [item.server.service for item in harness.servers.arrivals]
        return services.count("s0"), services.count("s1")

    @pytest.mark.parametrize(
        "first",
        [never_answer, end_with(ExchangeOutcome.LOST), answer_after(0.6)],
        ids=["silent", "lost", "slow"],
    )
    @pytest.mark.parametrize("objective_s", [0.05, 0.1, 0.25, 1.0])
    def test_a_relay_uses_only_the_attempts_that_it_got(self, first, objective_s):
        async def scenario():
            harness, items, _ = await self.serve(first, objective_s)
            assert self.count_arrivals(harness) == (1, 1)
            wanted = [decode_reply(item).ok_value.wanted for item in items[1:]]
            assert sorted(at for part in wanted for at in part) == [0, 1]

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "first",
        [never_answer, end_with(ExchangeOutcome.LOST)],
        ids=["silent", "lost"],
    )
    def test_a_duplicated_grant_allows_one_more_attempt(self, first):
        async def scenario():
            grant = AttemptGrant(self.GRANT_ID, (0, 1), (2, 1))
            harness, _, _ = await self.serve(first, 0.1, [grant, grant])
            assert self.count_arrivals(harness) == (2, 1)

        run_virtual(scenario())

    def test_a_grant_for_another_gather_allows_nothing(self):
        async def scenario():
            grant = AttemptGrant(self.GRANT_ID + 1, (0, 1), (2, 2))
            harness, _, _ = await self.serve(never_answer, 0.1, [grant])
            assert self.count_arrivals(harness) == (1, 1)

        run_virtual(scenario())

    def test_a_denied_retry_ends_the_relays_gather_at_once(self):
        """Guard against a relay that waits until its deadline for a denied attempt."""

        async def scenario():
            grant = AttemptGrant(self.GRANT_ID, (0, 1), (1, 1))
            lost = end_with(ExchangeOutcome.LOST)
            _, items, waited_s = await self.serve(lost, 1.0, [grant])
            assert waited_s < 0.02
            assert decode_reply(items[-1]).ok_value == DelegatedReply()

        run_virtual(scenario())

    def test_a_refused_attempt_is_retried_at_once(self):
        """Guard against waiting although nothing has run."""

        async def scenario():
            refused = end_with(ExchangeOutcome.REFUSED)
            harness, items, waited_s = await self.serve(refused, 1.0)
            assert waited_s < 0.02
            assert self.count_arrivals(harness) == (3, 3)
            assert len(items) == 2

        run_virtual(scenario())


class ScriptedRelay(FakeRelay):
    """Simulate a relay that sends given items, or ends with a failure, at given times.

    ``script`` maps a query to a list of delays in seconds, each with an item or a
    failure code.
    """

    def __init__(self, script):
        super().__init__()
        self._script = script
        self.grants = []

    def open_stream(self, address, payload, on_item, on_end):
        loop = asyncio.get_running_loop()
        query = decode_query(payload).ok_value
        self.queries.append(query)
        for delay_s, step in self._script(query):
            if isinstance(step, Code):
                loop.call_later(delay_s, on_end, Err(Failure(step, "failed")))
            else:
                loop.call_later(delay_s, on_item, step)

        def cancel():
            self.cancelled += 1

        return cancel

    def send_grant(self, address, payload):
        """Record a grant."""
        self.grants.append(decode_grant(payload).ok_value)

    async def play(self, **fields):
        """Send a request with this relay; return the harness and the reply."""
        harness = build_remote_harness(self, send_grant=self.send_grant, **fields)
        return harness, await harness.send_request()


WANT_ALL = encode_message(DelegatedReply(is_last=False, wanted=tuple(range(6))))


class TestRequestingDaemon:
    """Guard against attempts that are used twice or lost when a relay is late."""

    @pytest.mark.parametrize("delay_s", [0.015, 0.06])
    def test_the_attempt_that_was_kept_is_used_when_a_relay_fails(self, delay_s):
        async def scenario():
            relay = ScriptedRelay(
                lambda _: [(0.002, CONFIRMATION), (delay_s, Code.PEER_DISCONNECTED)]
            )
            harness, reply = await relay.play(min_coverage=0.5)
            assert len(harness.servers.arrivals) == 12
            assert reply.missing == 0

        run_virtual(scenario())

    def test_a_granted_attempt_is_not_used_again_when_the_relay_fails(self):
        async def scenario():
            relay = ScriptedRelay(
                lambda _: [
                    (0.002, CONFIRMATION),
                    (0.01, WANT_ALL),
                    (0.015, Code.PEER_DISCONNECTED),
                ]
            )
            harness, _ = await relay.play(min_coverage=0.5)
            assert len(harness.servers.arrivals) == 6
            assert [grant.attempts for grant in relay.grants] == [(2,) * 6]

        run_virtual(scenario())

    def test_no_attempt_is_granted_after_it_was_used_instead_of_the_relay(self):
        async def scenario():
            relay = ScriptedRelay(lambda _: [(0.04, CONFIRMATION), (0.05, WANT_ALL)])
            harness = build_remote_harness(relay, send_grant=relay.send_grant)
            names = [f"{name}{at}" for at in range(6, 12) for name in "bc"]
            slow = answer_after(0.07)
            harness.servers.behaviours |= dict.fromkeys(names, slow)
            await harness.send_request()
            assert len(harness.servers.arrivals) == 12
            assert [grant.attempts for grant in relay.grants] == [(1,) * 6]

        run_virtual(scenario())

    def test_all_attempts_are_left_when_a_relay_was_not_reached(self):
        async def scenario():
            relay = ScriptedRelay(lambda _: [(0.001, Code.PEER_UNREACHABLE)])
            harness = build_remote_harness(relay)
            names = [f"{name}{at}" for at in range(6, 12) for name in "bc"]
            lost = end_with(ExchangeOutcome.LOST)
            harness.servers.behaviours |= dict.fromkeys(names, lost)
            await harness.send_request()
            assert len(harness.servers.arrivals) == 6 + 12

        run_virtual(scenario())

    def test_a_route_with_one_attempt_keeps_none(self):
        async def scenario():
            relay = ScriptedRelay(lambda _: [])
            rows = [build_row(f"b{at}", f"s{at}", THERE) for at in range(6)]
            harness = build_harness(
                [build_gather_route(6, attempts=1)],
                rows,
                open_stream=relay.open_stream,
                send_grant=relay.send_grant,
            )
            harness.gateway.set_relays([("10.2.0.1:7380", THERE)])
            await harness.send_request()
            assert harness.servers.arrivals == []
            assert (relay.queries[0].attempts, relay.queries[0].grant_id) == (1, 0)

        run_virtual(scenario())

    def test_a_late_result_is_used_if_no_direct_attempt_was_allowed(self):
        """Guard against missing shards whose relay confirms late."""

        async def scenario():
            def script(query):
                signatures = tuple(f"sig-{service}" for service in query.services)
                reply = DelegatedReply(tuple(range(6)), signatures, b"z" * 16)
                return [(0.04, CONFIRMATION), (0.06, encode_message(reply))]

            relay = ScriptedRelay(script)
            harness, reply = await relay.play(extra=ExtraLimits(0.0, 0.0, 10.0))
            assert len(harness.servers.arrivals) == 6
            assert reply.missing == 0

        run_virtual(scenario())

    def test_a_shard_with_two_results_counts_once(self):
        """Guard against the records of a shard twice in one merged body."""

        async def scenario():
            def script(query):
                signatures = tuple(f"sig-{service}" for service in query.services)
                part = DelegatedReply((0,), signatures[:1], b"z" * 16, is_last=False)
                rest = DelegatedReply(tuple(range(1, 6)), signatures[1:], b"y" * 16)
                parts = encode_message(part), encode_message(rest)
                return [(0.045, parts[0]), (0.06, parts[1])]

            relay = ScriptedRelay(script)
            harness = build_remote_harness(relay)
            harness.servers.behaviours["a0"] = answer_after(0.07)
            reply = await harness.send_request()
            assert len(harness.servers.arrivals) == 12
            assert len(set(reply.signatures)) == 12
            # The relay's results replace those of the six direct attempts.
            assert reply.body.count(b"z" * 16) == 1
            assert reply.body.count(b"y" * 16) == 1
            assert reply.body.count(RECORD) == 3

        run_virtual(scenario())

    def test_a_shard_waits_for_its_direct_attempt_after_the_relays_last_reply(self):
        async def scenario():
            last = encode_message(DelegatedReply())
            relay = ScriptedRelay(lambda _: [(0.034, CONFIRMATION), (0.036, last)])
            _, reply = await relay.play()
            assert reply.missing == 0

        run_virtual(scenario())


class QueryOf030(msgspec.Struct, frozen=True, array_like=True):
    """Repeat the query of release 0.3.0."""

    request: CallerRequest
    route: str
    services: tuple[ServiceName, ...]
    deadline_s: float
    objective_s: float
    attempts: int
    priority: int
    top_records: int


class ReplyOf030(msgspec.Struct, frozen=True, array_like=True):
    """Repeat the reply of release 0.3.0."""

    included: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    records: bytes = b""
    may_have_run: bool = True
    is_last: bool = True


class TestFormerRelease:
    """Guard against daemons of two releases that can't serve together."""

    FIELDS = (build_request(), "r", ("s0",), 1.0, 0.1, 1, 1, 5)

    @pytest.mark.parametrize("attempts", [1, 2, 3])
    def test_a_relay_of_a_requesting_daemon_that_grants_nothing_sends_once(
        self, attempts
    ):
        """Guard against a shard that runs at more servers than its route allows.

        A requesting daemon of 0.3.0 gives a late relay up after one possible run and
        uses all other attempts itself.
        """

        async def scenario():
            rows = [build_row(name, "s0") for name in ("a0", "b0", "c0", "d0")]
            harness = build_harness([build_gather_route(1)], rows)
            harness.servers.behaviours |= dict.fromkeys(
                ("a0", "b0", "c0", "d0"), end_with(ExchangeOutcome.LOST)
            )
            query = QueryOf030(build_request(), "r", ("s0",), 1.0, 0.1, attempts, 1, 5)
            await harness.gateway.serve_delegated(
                REQUESTING_PEER, msgspec.msgpack.encode(query), lambda item: None
            )
            assert len(harness.servers.arrivals) == 1

        run_virtual(scenario())

    def test_a_query_of_the_former_release_grants_nothing_more(self):
        payload = msgspec.msgpack.encode(QueryOf030(*self.FIELDS))
        query = decode_query(payload).ok_value
        assert (query.attempts, query.grant_id) == (1, 0)

    def test_the_former_release_reads_a_query(self):
        payload = encode_message(DelegatedQuery(*self.FIELDS, grant_id=7))
        query = msgspec.msgpack.decode(payload, type=QueryOf030)
        assert query.attempts == 1

    def test_replies_are_read_by_both_releases(self):
        payload = encode_message(DelegatedReply((0,), ("sig",), b"z" * 16))
        assert msgspec.msgpack.decode(payload, type=ReplyOf030).included == (0,)
        payload = msgspec.msgpack.encode(ReplyOf030((0,), ("sig",), b"z" * 16))
        assert decode_reply(payload).ok_value.wanted == ()
