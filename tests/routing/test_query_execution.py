"""Tests of the execution of queries over fake homes."""

import asyncio

from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.states import CoverageMode
from tests.support.routing_fakes import (
    NEWEST,
    FakeHomes,
    make_board,
    make_query,
    ok_reply,
    start_router,
)
from tests.support.virtual_time import run_virtual


def run_query(board, homes, query=None, seed=1):
    """Return the result of one query and the virtual time that it took."""

    async def main():
        router = start_router(board, homes, seed=seed)
        result = await router.query(query or make_query())
        ended = asyncio.get_running_loop().time()
        await asyncio.sleep(2)
        return result, ended

    return run_virtual(main())


def missing_codes(answer):
    """Return the reasons of the missing shards by their names."""
    return {missing.shard: missing.code for missing in answer.missing}


class TestWholeAnswers:
    """Guard against lost shards when single replicas or homes fail."""

    def test_every_shard_is_answered_from_the_newest_version(self):
        result, _ = run_query(make_board(), FakeHomes())
        answer = result.ok_value
        assert answer.version == NEWEST and not answer.missing
        assert [key.shard for key in answer.included] == ["a", "b", "c"]
        assert all(body.endswith(b"@v2") for body in answer.results.values())

    def test_an_unreachable_home_costs_no_coverage_and_no_budget(self):
        shards = [f"s{number}" for number in range(30)]
        board, homes = make_board(shards), FakeHomes()
        homes.unreachable = {f"home-{shard}0" for shard in shards}
        result, _ = run_query(board, homes)
        assert not result.ok_value.missing

    def test_a_home_lost_with_requests_out_costs_no_coverage(self):
        board, homes = make_board(), FakeHomes()
        lost = Err(Failure(Code.PEER_DISCONNECTED, "lost"))
        homes.ends = {f"home-{shard}0": (0.001, lost) for shard in "abc"}
        result, _ = run_query(board, homes)
        assert not result.ok_value.missing


class TestWrongReplies:
    """Guard against results of another request, server, version or cut-off."""

    def run_with(self, reply, replicas=1, **query):
        homes = FakeHomes()
        homes.answers["a0"] = reply
        board = make_board("ab", replicas, [NEWEST])
        query = make_query(CoverageMode.BEST, 0.1, **query)
        return run_query(board, homes, query)[0].ok_value

    def test_reply_of_an_older_version_is_not_mixed_in(self):
        answer = self.run_with(lambda b, g: [(0.001, ok_reply(b, g, version="v1"))])
        assert missing_codes(answer) == {"a": Code.SHARD_WRONG_VERSION}

    def test_truncated_reply_does_not_count(self):
        answer = self.run_with(lambda b, g: [(0.001, ok_reply(b, g, results={}))])
        assert missing_codes(answer) == {"a": Code.SHARD_TRUNCATED}

    def test_swapped_reply_is_discarded_and_the_own_one_counts(self):
        def swapped(b, g):
            other = ok_reply(b, g, server_id="b0", results={"a": b"wrong"})
            return [(0.001, other), (0.002, ok_reply(b, g))]

        answer = self.run_with(swapped)
        assert not answer.missing and b"wrong" not in answer.results.values()

    def test_swapped_reply_alone_leaves_the_shard_missing(self):
        answer = self.run_with(lambda b, g: [(0.001, ok_reply(b, g, server_id="b0"))])
        assert missing_codes(answer) == {"a": Code.SHARD_WRONG_IDENTITY}

    def test_reply_to_an_unknown_attempt_is_discarded(self):
        def crossed(b, g):
            other = ok_reply(b, g, attempt=g.attempt + 10**6, results={"a": b"wrong"})
            return [(0.001, other), (0.002, ok_reply(b, g))]

        answer = self.run_with(crossed)
        assert not answer.missing and b"wrong" not in answer.results.values()

    def test_late_reply_is_reported_missing_and_then_discarded(self):
        answer = self.run_with(lambda b, g: [(0.3, ok_reply(b, g))])
        assert missing_codes(answer) == {"a": Code.SHARD_TIMEOUT}

    def test_duplicate_reply_changes_nothing(self):
        def doubled(b, g):
            again = ok_reply(b, g, results={"a": b"again"})
            return [(0.001, ok_reply(b, g)), (0.0015, again)]

        answer = self.run_with(doubled)
        assert b"again" not in answer.results.values() and not answer.missing

    def test_end_without_replies_fails_the_requests(self):
        homes = FakeHomes(ends={"home-a0": (0.001, Ok(None))})
        query = make_query(CoverageMode.BEST)
        answer = run_query(make_board("ab", 1), homes, query)[0].ok_value
        assert missing_codes(answer) == {"a": Code.SHARD_CONNECTION_LOST}
