"""Tests of submissions: at most one execution, and correct outcomes."""

import asyncio
import itertools
from hashlib import blake2b

import pytest

from bramleyrouter.board import Board
from bramleyrouter.codes import Code
from bramleyrouter.control.messages import Claim
from bramleyrouter.states import DaemonState, Outcome
from tests.support.identities import make_identity
from tests.support.routing_fakes import (
    FakeHomes,
    FakeLedger,
    make_board,
    make_submission,
    put_daemon,
    start_router,
)
from tests.support.virtual_time import run_virtual

HOME_STEPS = ("ok", "refuse", "lost before", "lost after", "silent")
LOSSES = ("", "request", "reply")


def make_second_board(name, incarnation=1) -> Board:
    """Return the blackboard of a daemon named ``name``, with the same servers."""
    board = make_board("a")
    board.identity = make_identity(name, incarnation=incarnation)
    return board


def check_outcome(homes, answer):
    """Check an answer against the executions of its submission so far."""
    runs = sum(homes.runs.values())
    assert runs <= 1
    assert answer.outcome is not Outcome.NOT_RUN or runs == 0
    if answer.outcome is Outcome.DONE:
        assert runs == 1 and answer.answer == b"placed hold"


class TestLostMessages:
    """Guard against second executions and wrong outcomes after a lost message.

    Each combination of a lost claim, a failure at the home and a lost settle call
    is tested with a resend through another daemon.
    """

    @pytest.mark.parametrize(
        ("claim_loss", "home_step", "settle_loss", "resend_at"),
        list(itertools.product(LOSSES, HOME_STEPS, LOSSES, (0.001, 0.3, 1.5))),
    )
    def test_resend_through_another_daemon_gets_a_correct_outcome(
        self, claim_loss, home_step, settle_loss, resend_at
    ):
        homes = FakeHomes(submit_steps={"a0": [home_step], "a1": [home_step, "ok"]})
        ledger = FakeLedger(
            claim_losses=[claim_loss], settle_losses=[settle_loss, settle_loss]
        )
        boards = [make_second_board("entry-1"), make_second_board("entry-2")]
        put_daemon(boards[1], "entry-1")

        async def submit_after(router, after, deadline):
            await asyncio.sleep(after)
            answer = await router.submit(make_submission(deadline=after + deadline))
            check_outcome(homes, answer)
            return answer.outcome

        async def main():
            one, two = [
                start_router(b, homes, ledger, seed=s) for s, b in enumerate(boards)
            ]
            outcomes = await asyncio.gather(
                submit_after(one, 0, 1), submit_after(two, resend_at, 1)
            )
            await one.drain()
            # Later resends are answered with the outcome in the ledger.
            now = asyncio.get_running_loop().time()
            answer = await two.submit(make_submission(deadline=now + 1))
            check_outcome(homes, answer)
            assert Outcome.DONE not in outcomes or answer.outcome is Outcome.DONE

        run_virtual(main())

    def test_claim_reply_lost_twice_leads_to_one_execution(self):
        homes, ledger = FakeHomes(), FakeLedger(claim_losses=["reply", "reply"])
        answer = submit_once(homes, ledger)
        assert answer.outcome is Outcome.DONE and sum(homes.runs.values()) == 1

    def test_claim_whose_replies_are_all_lost_is_settled_as_not_run(self):
        homes, ledger = FakeHomes(), FakeLedger(claim_losses=["reply"] * 99)
        answer = submit_once(homes, ledger)
        # Without a reply the daemon does not know whether an earlier attempt ran.
        assert (answer.outcome, homes.runs) == (Outcome.UNKNOWN, {})
        assert ledger.get_outcome() is Outcome.NOT_RUN

    def test_refused_submission_is_sent_to_another_replica_under_the_same_claim(self):
        homes = FakeHomes(submit_steps={"a0": ["refuse"]})
        for seed in range(4):
            homes.runs.clear()
            answer = submit_once(homes, FakeLedger(), seed)
            assert answer.outcome is Outcome.DONE and sum(homes.runs.values()) == 1

    def test_submission_refused_by_all_replicas_is_settled_as_not_run(self):
        homes = FakeHomes(submit_steps={"a0": ["refuse"], "a1": ["refuse"]})
        ledger = FakeLedger()
        answer = submit_once(homes, ledger)
        assert (answer.outcome, answer.code) == (Outcome.NOT_RUN, Code.QUEUE_FULL)
        assert submit_once(FakeHomes(), ledger, seed=2).outcome is Outcome.DONE


def submit_once(homes, ledger, seed=1, **changes):
    """Return the answer to one submission at one daemon."""

    async def main():
        router = start_router(make_board("a"), homes, ledger, seed)
        answer = await router.submit(make_submission(**changes))
        await router.drain()
        return answer

    return run_virtual(main())


class TestWithoutLedger:
    """Guard against dispatch without a claim, and wrong refusals after one."""

    def test_nothing_is_dispatched_and_the_outcome_is_unknown(self):
        homes = FakeHomes()
        answer = submit_once(homes, FakeLedger(is_down=True))
        assert (answer.outcome, answer.code) == (
            Outcome.UNKNOWN,
            Code.LEDGER_NOT_CONSULTED,
        )
        assert not homes.runs

    def test_unsettled_outcome_is_answered_from_memory(self):
        homes, ledger = FakeHomes(), FakeLedger()

        async def main():
            router = start_router(make_board("a"), homes, ledger)
            first = asyncio.create_task(router.submit(make_submission()))
            await asyncio.sleep(0.003)
            ledger.is_down = True
            answers = [await first, await router.submit(make_submission(deadline=2.0))]
            return answers

        answers = run_virtual(main())
        assert [answer.outcome for answer in answers] == [Outcome.DONE] * 2
        check_outcome(homes, answers[1])


class TestClaimants:
    """Guard against waiting for a dead claimant and running beside a live one."""

    def resend(self, claimant, incarnation, state, down_at=9.0):
        homes, ledger = FakeHomes(), FakeLedger()
        board = make_second_board("entry-2")
        put_daemon(board, "entry-1", state=state)

        async def main():
            router = start_router(board, homes, ledger)
            body_digest = blake2b(make_submission().body, digest_size=16).digest()
            claim = Claim("t", "1-x", body_digest, claimant, incarnation, b"other")
            await ledger.claim(claim, 1.0)
            loop = asyncio.get_running_loop()
            loop.call_later(down_at, setattr, ledger, "is_down", True)
            answer = await router.submit(make_submission())
            return answer, loop.time()

        answer, ended = run_virtual(main())
        assert not homes.runs
        return answer, ended

    def test_resend_waits_for_a_live_claimant_until_the_deadline(self):
        answer, ended = self.resend("entry-1", 1, DaemonState.ALIVE)
        assert answer.code is Code.OUTCOME_UNKNOWN and ended > 0.9

    def test_loss_of_the_ledger_while_waiting_makes_the_outcome_unknown(self):
        answer, _ = self.resend("entry-1", 1, DaemonState.ALIVE, down_at=0.3)
        assert answer.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize(
        ("claimant", "incarnation", "state"),
        [
            ("entry-1", 1, DaemonState.DEAD),
            ("entry-1", 0, DaemonState.ALIVE),
            ("entry-9", 1, DaemonState.ALIVE),
            ("entry-2", 0, DaemonState.ALIVE),
        ],
    )
    def test_failed_claimant_makes_the_outcome_unknown_at_once(
        self, claimant, incarnation, state
    ):
        answer, ended = self.resend(claimant, incarnation, state)
        assert answer.code is Code.CLAIMANT_LOST and ended < 0.1


class TestOneDaemon:
    """Guard against two executions of duplicates that reach the same daemon."""

    def test_duplicates_share_one_execution_and_another_body_is_refused(self):
        homes = FakeHomes()

        async def main():
            router = start_router(make_board("a"), homes)
            same = [router.submit(make_submission()) for _ in range(5)]
            other = router.submit(make_submission(body=b"other"))
            return await asyncio.gather(*same, other)

        answers = run_virtual(main())
        check_outcome(homes, answers[4])
        assert {answer.outcome for answer in answers[:5]} == {Outcome.DONE}
        assert answers[5].code is Code.IDENTITY_REUSED

    def test_cancelled_submission_leaves_a_settled_claim(self):
        homes, ledger = FakeHomes(), FakeLedger()

        async def main():
            router = start_router(make_board("a"), homes, ledger)
            task = asyncio.create_task(router.submit(make_submission()))
            await asyncio.sleep(0.001)
            task.cancel()
            await router.drain()

        run_virtual(main())
        assert ledger.get_outcome() is Outcome.DONE

    def test_refused_admission_after_the_claim_is_settled_as_not_run(self):
        homes, ledger = FakeHomes(), FakeLedger()

        async def main():
            one_permit = dict(max_running_queries=1, max_waiting_queries=0)
            router = start_router(make_board("a"), homes, ledger, **one_permit)
            both = [make_submission(), make_submission("2-y", body=b"other")]
            answers = await asyncio.gather(*map(router.submit, both))
            await router.drain()
            return answers

        answers = run_virtual(main())
        assert [answer.outcome for answer in answers].count(Outcome.DONE) == 1
        refused = next(a for a in answers if a.outcome is not Outcome.DONE)
        assert (refused.outcome, refused.code) == (Outcome.NOT_RUN, Code.OVERLOADED)
        assert ledger.get_outcome(refused.request_id) is Outcome.NOT_RUN
        assert sum(homes.runs.values()) == 1
