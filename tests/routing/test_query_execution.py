"""Tests of query execution with fake homes."""

import asyncio
from collections import Counter

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.routing.observers import RoutingObserver
from bramleyrouter.states import CoverageMode
from tests.support.routing_fakes import (
    NEWEST,
    FakeHomes,
    make_board,
    make_query,
    make_record,
    make_refusal,
    make_reply,
    put_servers,
    start_router,
)
from tests.support.virtual_time import run_virtual


def run_query(board, homes, query=None, seed=1):
    """Return the result of one query and the virtual time at its end."""

    async def main():
        router = start_router(board, homes, seed=seed)
        result = await router.query(query or make_query())
        ended = asyncio.get_running_loop().time()
        await asyncio.sleep(2)
        return result, ended

    return run_virtual(main())


def get_missing_codes(answer):
    """Return the reasons of the missing shards by shard name."""
    return {missing.shard: missing.code for missing in answer.missing}


class TestCompleteAnswers:
    """Guard against missing shards when single replicas or homes fail."""

    def test_every_shard_is_answered_from_the_newest_version(self):
        result, _ = run_query(make_board(), FakeHomes())
        answer = result.ok_value
        assert answer.version == NEWEST and not answer.missing
        assert [key.shard for key in answer.included] == ["a", "b", "c"]
        assert all(body.endswith(b"@v2") for body in answer.results.values())

    def test_unreachable_homes_reduce_neither_coverage_nor_budget(self):
        shards = [f"s{number}" for number in range(30)]
        board, homes = make_board(shards), FakeHomes()
        homes.unreachable = {f"home-{shard}0" for shard in shards}
        result, _ = run_query(board, homes)
        assert not result.ok_value.missing

    def test_loss_of_homes_with_running_attempts_keeps_full_coverage(self):
        board, homes = make_board(), FakeHomes()
        lost = Err(Failure(Code.PEER_DISCONNECTED, "lost"))
        homes.batch_ends = {f"home-{shard}0": (0.001, lost) for shard in "abc"}
        result, _ = run_query(board, homes)
        assert not result.ok_value.missing


class TestWrongReplies:
    """Guard against results of another attempt, server or version, or truncated."""

    def run_with(self, reply, replicas=1, **query):
        homes = FakeHomes()
        homes.replies_by_server["a0"] = reply
        board = make_board("ab", replicas, [NEWEST])
        query = make_query(CoverageMode.BEST, 0.1, **query)
        return run_query(board, homes, query)[0].ok_value

    def test_reply_of_an_older_version_is_not_mixed_in(self):
        answer = self.run_with(lambda b, g: [(0.001, make_reply(b, g, version="v1"))])
        assert get_missing_codes(answer) == {"a": Code.SHARD_WRONG_VERSION}

    def test_truncated_reply_is_not_used(self):
        answer = self.run_with(lambda b, g: [(0.001, make_reply(b, g, results={}))])
        assert get_missing_codes(answer) == {"a": Code.SHARD_TRUNCATED}

    def test_reply_of_another_server_is_discarded_and_the_right_one_used(self):
        def reply_of_other_server(b, g):
            other = make_reply(b, g, server_id="b0", results={"a": b"wrong"})
            return [(0.001, other), (0.002, make_reply(b, g))]

        answer = self.run_with(reply_of_other_server)
        assert not answer.missing and b"wrong" not in answer.results.values()

    def test_reply_of_another_server_alone_leaves_the_shard_missing(self):
        answer = self.run_with(lambda b, g: [(0.001, make_reply(b, g, server_id="b0"))])
        assert get_missing_codes(answer) == {"a": Code.SHARD_WRONG_IDENTITY}

    def test_reply_to_an_unknown_attempt_is_discarded(self):
        def reply_to_other_attempt(b, g):
            other = make_reply(b, g, attempt=g.attempt + 10**6, results={"a": b"wrong"})
            return [(0.001, other), (0.002, make_reply(b, g))]

        answer = self.run_with(reply_to_other_attempt)
        assert not answer.missing and b"wrong" not in answer.results.values()

    def test_shard_with_a_late_reply_is_reported_missing(self):
        answer = self.run_with(lambda b, g: [(0.3, make_reply(b, g))])
        assert get_missing_codes(answer) == {"a": Code.SHARD_TIMEOUT}

    def test_duplicate_reply_changes_nothing(self):
        def reply_twice(b, g):
            again = make_reply(b, g, results={"a": b"again"})
            return [(0.001, make_reply(b, g)), (0.0015, again)]

        answer = self.run_with(reply_twice)
        assert b"again" not in answer.results.values() and not answer.missing

    def test_end_of_a_batch_without_replies_fails_its_attempts(self):
        homes = FakeHomes(batch_ends={"home-a0": (0.001, Ok(None))})
        query = make_query(CoverageMode.BEST)
        answer = run_query(make_board("ab", 1), homes, query)[0].ok_value
        assert get_missing_codes(answer) == {"a": Code.SHARD_CONNECTION_LOST}


class TestVersions:
    """Guard against mixed versions when the chosen one disappears."""

    def run_while_v2_disappears(self, query, after_s):
        board, homes = make_board("ab", 1), FakeHomes()

        def answer_b(batch, group):
            if batch.version != NEWEST:
                return [(0.001, make_reply(batch, group))]
            put_servers(board, make_record("b0", "b", ["v1"]))
            return [(after_s, make_refusal(batch, group, Code.VERSION_NOT_HELD))]

        homes.replies_by_server["b0"] = answer_b
        return run_query(board, homes, query)[0], homes

    def test_query_restarts_completely_on_the_other_version(self):
        for mode in CoverageMode:
            result, homes = self.run_while_v2_disappears(make_query(mode), 0.001)
            answer = result.ok_value
            assert answer.version == "v1" and not answer.missing
            assert all(body.endswith(b"@v1") for body in answer.results.values())
            assert homes.list_contacted_servers().count("a0") == 2

    def test_without_time_for_a_restart_shards_are_missing(self):
        query = make_query(CoverageMode.BEST, 0.1)
        answer = self.run_while_v2_disappears(query, 0.0999)[0].ok_value
        assert answer.version == NEWEST
        assert list(get_missing_codes(answer)) == ["b"]


class TestDeadlines:
    """Guard against late answers, and partial answers reported as full."""

    def test_best_coverage_answers_by_the_deadline_with_partial_results(self):
        homes = FakeHomes()
        homes.replies_by_server["a0"] = lambda b, g: []
        homes.batch_ends["home-a0"] = (None, None)
        query = make_query(CoverageMode.BEST, 0.2)
        result, ended = run_query(make_board("ab", 1), homes, query)
        assert get_missing_codes(result.ok_value) == {"a": Code.SHARD_TIMEOUT}
        assert 0.19 < ended < 0.2 and homes.cancelled == 1

    def test_full_coverage_fails_at_once_and_lists_missing_shards(self):
        homes = FakeHomes(unreachable={"home-a0"})
        result, ended = run_query(make_board("ab", 1), homes)
        failure = result.err_value
        assert failure.code is Code.COVERAGE_NOT_REACHED and ended < 0.1
        assert [(one.place, int(one.code)) for one in failure.findings] == [
            ("s/a", Code.SHARD_HOME_LOST),
            ("s/b", Code.SHARD_CANCELLED),
        ]

    def test_nothing_is_sent_without_a_version_a_server_or_remaining_time(self):
        for board, query, code in (
            (make_board("a", 1, []), make_query(), Code.NO_VERSION),
            (make_board("a", 0), make_query(), Code.NO_SERVER),
            (make_board("a"), make_query(deadline=0.0), Code.DEADLINE_PASSED),
        ):
            homes = FakeHomes()
            assert run_query(board, homes, query)[0].err_value.code is code
            assert not homes.batches

    def test_cancelled_query_cancels_its_attempts(self):
        board, homes = make_board(), FakeHomes(delay_s=0.5)

        async def main():
            router = start_router(board, homes)
            task = asyncio.create_task(router.query(make_query()))
            await asyncio.sleep(0.1)
            task.cancel()
            await router.drain()

        run_virtual(main())
        assert homes.cancelled == 3
        assert all(load.in_flight == 0 for load in board.load.servers.values())


class TestExtraSends:
    """Guard against hedges and retries that overload the servers."""

    def run_many(self, homes, shards="abcdefghij", queries=60, **settings):
        """Run queries in sequence.

        Return the last answer, the counts of hedges, retries and first attempts,
        and the recorded decisions.
        """
        board, counts = make_board(shards), Counter()
        observer = RoutingObserver(
            hedged=lambda service: counts.update(["hedges"]),
            retried=lambda service, code: counts.update(["retries"]),
            attempts_planned=lambda seconds, requests: counts.update(first=requests),
        )

        async def main():
            router = start_router(board, homes, observer=observer, **settings)
            loop = asyncio.get_running_loop()
            for _ in range(queries):
                query = make_query(CoverageMode.BEST, loop.time() + 1)
                result = await router.query(query)
                assert counts["hedges"] <= 0.05 * counts["first"]
            await asyncio.sleep(0)
            return result, router.recent(10**6)

        result, decisions = run_virtual(main())
        assert all(load.in_flight == 0 for load in board.load.servers.values())
        return result.ok_value, counts, decisions

    def test_straggler_is_hedged_at_another_server_and_cancelled(self):
        homes = FakeHomes()

        def straggle(batch, group):
            delay = 0.005 if len(homes.batches) < 300 else 0.5
            return [(delay, make_reply(batch, group))]

        homes.replies_by_server["a0"] = straggle
        answer, counts, decisions = self.run_many(homes)
        assert not answer.missing and counts["hedges"] > 0
        assert homes.cancelled == counts["hedges"]
        assert max(one.latency_s for one in decisions) < 0.05
        assert sum(one.hedges for one in decisions) == counts["hedges"]

    def test_slow_servers_everywhere_do_not_exceed_the_hedge_budget(self):
        def answer(batch, group):
            delay = 0.005 if len(homes.batches) < 300 else 0.2
            return [(delay, make_reply(batch, group))]

        homes = FakeHomes(
            replies_by_server={f"{s}{n}": answer for s in "abcdefghij" for n in "01"}
        )
        _, counts, _ = self.run_many(homes)
        assert homes.attempts == counts["first"] + counts["hedges"] + counts["retries"]

    def test_shedding_everywhere_is_not_amplified(self):
        def shed(batch, group):
            return [(0.001, make_refusal(batch, group, Code.QUEUE_FULL))]

        homes = FakeHomes(
            replies_by_server={f"{s}{n}": shed for s in "abcdefghij" for n in "01"}
        )
        answer, counts, _ = self.run_many(homes)
        assert len(answer.missing) == 10
        assert counts["retries"] <= 0.1 * counts["first"]

    def test_recent_decisions_are_bounded_and_newest_first(self):
        _, _, decisions = self.run_many(FakeHomes(), "a", 5, recent_decisions=3)
        assert len(decisions) == 3 and decisions[0].at_s > decisions[1].at_s
        assert decisions[0].servers[0] in ("a0", "a1")
