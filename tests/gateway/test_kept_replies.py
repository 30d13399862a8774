"""Tests of the replies that are kept while other attempts of a request run."""

import asyncio
import tracemalloc

import pytest

from bramleyrouter.gateway.exchanges import ReplyKind
from bramleyrouter.utils.byte_budgets import ByteBudget
from tests.support.gateway_fakes import (
    build_answer,
    build_gather_route,
    build_harness,
    build_request,
    build_row,
    build_single_route,
    never_answer,
)
from tests.support.virtual_time import run_virtual

MB = 1_000_000
ROWS = [build_row("a"), build_row("b")]


def answer_with_bytes(size, status=200):
    """Return the behaviour of replying with a body that nothing else refers to."""
    return lambda arrival: (
        0.001,
        build_answer(arrival.server, bytes(size), status=status),
    )


class TestGathers:
    """Guard against whole replies of all shards that wait for the last one."""

    def test_only_records_that_may_be_in_the_result_are_kept(self):
        async def scenario():
            rows = [build_row(f"a{at}", f"s{at}") for at in range(8)]
            harness = build_harness([build_gather_route(8)], rows)
            for item in rows[:7]:
                harness.servers.behaviours[item.server_id] = answer_with_bytes(MB)
            harness.servers.behaviours["a7"] = never_answer
            tracemalloc.start()
            task = asyncio.ensure_future(harness.send_request())
            await asyncio.sleep(0.02)
            taken = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert taken < MB
            reply = await task
            assert (reply.kind, reply.missing) == (ReplyKind.GATHERED, 1)
            assert reply.body == bytes(5 * 16)

        run_virtual(scenario())


class TestRetries:
    """Guard against error replies that fill the memory while retries run."""

    def test_error_replies_are_bounded_together(self):
        async def scenario():
            memory = ByteBudget(5 * MB)
            rows = [build_row("a", slots=30), build_row("b", slots=30)]
            harness = build_harness([build_single_route()], rows, memory=memory)
            arrived = set()

            def behave(arrival):
                if arrival.request.request_id in arrived:
                    return never_answer(arrival)
                arrived.add(arrival.request.request_id)
                return answer_with_bytes(MB, 500)(arrival)

            harness.servers.behaviours |= {"a": behave, "b": behave}
            tracemalloc.start()
            tasks = [
                asyncio.ensure_future(
                    harness.send_request(build_request(request_id=f"q{at}"))
                )
                for at in range(10)
            ]
            await asyncio.sleep(0.02)
            taken = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            assert 4 * MB <= memory.held_bytes <= 5 * MB
            assert taken <= 6 * MB
            await asyncio.gather(*tasks)
            assert memory.held_bytes == 0

        run_virtual(scenario())

    @pytest.mark.parametrize("is_cancelled", [False, True])
    def test_nothing_is_held_after_the_end(self, is_cancelled):
        async def scenario():
            memory = ByteBudget(5 * MB)
            harness = build_harness([build_single_route()], ROWS, memory=memory)
            harness.servers.behaviours |= {
                name: answer_with_bytes(MB, 500) for name in "ab"
            }
            replies = []
            cancel = harness.gateway.handle(build_request(), replies.append)
            await asyncio.sleep(0.0015)
            assert memory.held_bytes == MB
            if is_cancelled:
                cancel()
            else:
                await asyncio.sleep(0.1)
                assert len(replies[0].server.body) == MB
            assert memory.held_bytes == 0

        run_virtual(scenario())
