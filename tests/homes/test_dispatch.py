"""Test dispatching at a home: limits, queue, deadlines, refusals, cancellations."""

import asyncio

import pytest
from result import Ok

from bramleyrouter.board.sections import HomeServerStatus
from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import ServerGroup, ShardBatch
from bramleyrouter.states import DaemonState, Outcome, ServerState
from tests.homes.fakes import Cluster, FakeServer
from tests.support.virtual_time import run_virtual


def run_scenario(scenario, **options):
    """Run ``scenario(cluster)`` on virtual time."""

    async def run():
        return await scenario(Cluster(**options))

    return run_virtual(run())


class TestLimits:
    """Guard against more requests at a server than its declared limits allow."""

    @pytest.mark.parametrize("slots, connections, peak", [(3, 25, 3), (6, 5, 3)])
    def test_requests_and_probes_stay_within_slots_and_connections(
        self, slots, connections, peak
    ):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.02)
            changes = dict(slots=slots, connection_limit=connections)
            renewal, lease = await cluster.register_server(server=server, **changes)
            codes = []
            for sequence in range(3, 8):
                tasks = [cluster.query_code(request=f"{i}") for i in range(60)]
                codes += await asyncio.gather(*tasks)
                renewal, lease = await cluster.renew("d1", renewal, lease, sequence)
                await asyncio.sleep(0.6)
            assert server.peak_in_flight == peak
            assert codes.count(Code.OK) > 150
            assert not server.in_flight

        run_scenario(scenario)

    def test_cancelled_attempts_occupy_their_slot_until_they_end(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.2)
            await cluster.register_server(server=server)
            first, _, cancel = cluster.query(request="one")
            await asyncio.sleep(0.01)
            cancel()
            second, end, _ = cluster.query(request="two")
            await end
            assert server.cancels == [("one", 1)]
            assert first == []
            assert second[0].code is Code.OK
            assert second[0].queue_s == pytest.approx(0.19, abs=0.01)
            assert server.peak_in_flight == 1

        run_scenario(scenario)

    def test_attempts_end_before_the_authority_does(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=9.0)
            await cluster.register_server(server=server)
            await asyncio.sleep(1.0)
            code = await cluster.query_code(remaining_s=8.0)
            assert code is Code.SHARD_TIMEOUT
            assert server.deadlines[0] <= 3.0
            assert cluster.loop.time() < 3.0
            assert await cluster.query_code() is Code.NO_AUTHORITY

        run_scenario(scenario)


class TestQueue:
    """Guard against expired or unbounded work in a server's queue."""

    def test_work_that_would_wait_too_long_is_refused_at_once(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.1)
            await cluster.register_server(server=server)
            await cluster.query_code()
            running = cluster.query(request="running")
            started_at = cluster.loop.time()
            assert await cluster.query_code(remaining_s=0.05) is Code.QUEUE_DEADLINE
            assert cluster.loop.time() - started_at < 0.001
            await running[1]

        run_scenario(scenario)

    def test_work_whose_deadline_passes_in_the_queue_never_runs(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.9)
            await cluster.register_server(server=server)
            running = cluster.query(request="running")
            started_at = cluster.loop.time()
            assert await cluster.query_code(remaining_s=0.1) is Code.QUEUE_DEADLINE
            assert cluster.loop.time() - started_at <= 0.1
            await running[1]
            assert server.started_count == 1

        run_scenario(scenario)

    def test_the_queue_is_bounded(self):
        async def scenario(cluster):
            await cluster.register_server(server=FakeServer(latency_s=0.001), slots=1)
            tasks = [cluster.query_code(request=f"{i}") for i in range(40)]
            codes = await asyncio.gather(*tasks)
            assert codes.count(Code.QUEUE_FULL) == 40 - 1 - 16
            assert codes.count(Code.OK) == 17

        run_scenario(scenario)

    def test_cancelled_queued_work_never_runs(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.1)
            await cluster.register_server(server=server)
            running = cluster.query(request="running")
            replies, _, cancel = cluster.query(request="queued")
            cancel()
            await running[1]
            await asyncio.sleep(0.3)
            assert (server.started_count, replies, server.cancels) == (1, [], [])

        run_scenario(scenario)


class TestRefusals:
    """Guard against new work at servers that must get none, and against wrong codes."""

    @pytest.mark.parametrize("target", ["server", "data centre"])
    def test_taking_out_refuses_queued_and_new_work_but_not_running_work(self, target):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.1)
            await cluster.register_server(server=server)
            running, queued = cluster.query(request="1"), cluster.query(request="2")
            await asyncio.sleep(0.01)
            config = cluster.boards["d1"].config
            if target == "server":
                config.servers_out = frozenset({"s1"})
            else:
                config.data_centres_out = frozenset({"dc1"})
            cluster.notify_config_change()
            await queued[1]
            assert queued[0][0].code is Code.SERVER_OUT
            assert await cluster.query_code() is Code.SERVER_OUT
            assert (await cluster.submit()).code is Code.SERVER_OUT
            await running[1]
            assert running[0][0].code is Code.OK
            assert server.started_count == 1

        run_scenario(scenario)

    def test_a_server_that_returns_to_service_restarts_its_ramp(self):
        async def scenario(cluster):
            renewal, lease = await cluster.register_server()
            await cluster.warm_up()
            assert cluster.get_row().headroom == 1.0
            config = cluster.boards["d1"].config
            for out in (frozenset({"s1"}), frozenset()):
                config.servers_out = out
                cluster.notify_config_change()
            await asyncio.sleep(0.001)
            assert cluster.get_row().headroom == 0.5

        run_scenario(scenario)

    def test_draining_and_withdrawn_servers_get_no_new_work(self):
        async def scenario(cluster):
            renewal, lease = await cluster.register_server()
            drain = dict(state=ServerState.DRAINING)
            await cluster.renew("d1", renewal, lease, 3, **drain)
            assert await cluster.query_code() is Code.SERVER_LEAVING
            await cluster.register_server(server_id="s2")
            assert (await cluster.homes["d1"].withdraw("s2", 1)).is_ok()
            assert await cluster.query_code(server_id="s2") is Code.SERVER_LEAVING
            await asyncio.sleep(0.5)
            again = await cluster.homes["d1"].announce(renewal)
            assert again.err_value.code is Code.OLD_ANNOUNCEMENT
            assert cluster.get_row("s2") is None

        run_scenario(scenario)

    def test_a_stale_home_refuses_stale_senders_of_other_data_centres(self):
        async def scenario(cluster):
            await cluster.register_server()
            stale = dict(home="d1", is_stale=True)
            assert await cluster.query_code("far", **stale) is Code.OK
            cluster.confirm_config("d1", until=-10.0)
            assert await cluster.query_code("d1", **stale) is Code.OK
            assert await cluster.query_code("far", home="d1") is Code.OK
            assert await cluster.query_code("far", **stale) is Code.STALE_HOME

        run_scenario(scenario, names=("d1", "far"), data_centres=("dc1", "dc2"))

    def test_a_failed_connection_causes_a_backoff(self):
        async def scenario(cluster):
            server = FakeServer(code=Code.CONNECT_FAILED)
            await cluster.register_server(server=server)
            assert await cluster.query_code() is Code.CONNECT_FAILED
            await asyncio.sleep(0.001)
            assert not cluster.get_row().usable
            server.code = Code.OK
            assert await cluster.query_code() is Code.CONNECT_FAILED
            await asyncio.sleep(0.4)
            assert cluster.get_row().usable
            assert await cluster.query_code() is Code.OK

        run_scenario(scenario)


class TestClient:
    """Guard against differences between local dispatch and the network."""

    def test_local_dispatch_sends_no_message(self):
        async def scenario(cluster):
            await cluster.register_server()
            assert await cluster.query_code() is Code.OK
            assert cluster.fabric.frames == 0
            status = cluster.boards["d1"].homes.statuses["s1"]
            assert isinstance(status, HomeServerStatus)

        run_scenario(scenario)

    def test_groups_that_end_together_share_a_message(self):
        async def scenario(cluster):
            names = [f"s{i}" for i in range(5)]
            for name in names:
                await cluster.register_server(server_id=name)
            groups = [ServerGroup(n, 1, "sheets", ("a",)) for n in (*names, "none")]
            replies, end, _ = cluster.query("d2", home="d1", groups=tuple(groups))
            assert (await end).is_ok()
            codes = {reply.server_id: reply.code for reply in replies}
            assert codes == {**dict.fromkeys(names, Code.OK), "none": Code.NOT_HOME}
            # Frames: the request, the refusal, all results together, the end.
            assert cluster.fabric.frames == 4

        run_scenario(scenario, names=("d1", "d2"), data_centres=("dc1", "dc2"))

    def test_large_replies_that_end_together_fit_their_frames(self):
        async def scenario(cluster):
            names = [f"s{i}" for i in range(4)]
            for name in names:
                server = FakeServer(body=b"1" * 3_000_000)
                await cluster.register_server(server_id=name, server=server)
            groups = tuple(ServerGroup(n, 1, "sheets", ("a",)) for n in names)
            replies, end, _ = cluster.query("d2", home="d1", groups=groups)
            await end
            assert [reply.code for reply in replies] == [Code.OK] * 4
            # Frames: the request, four messages with one result each, the end.
            assert cluster.fabric.frames == 6

        run_scenario(scenario, names=("d1", "d2"), data_centres=("dc1", "dc2"))

    def test_a_remote_cancellation_reaches_queue_and_server(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.2)
            await cluster.register_server(server=server)
            cancels = [cluster.query("d2", home="d1", request=name)[2] for name in "ab"]
            await asyncio.sleep(0.02)
            for cancel in cancels:
                cancel()
            await asyncio.sleep(0.5)
            assert server.cancels == [("a", 1)]
            assert server.started_count == 1

        run_scenario(scenario, names=("d1", "d2"), data_centres=("dc1", "dc2"))

    def test_submissions_are_unknown_only_when_they_may_have_run(self):
        async def scenario(cluster):
            await cluster.register_server(server=FakeServer(latency_s=0.1))
            assert (await cluster.submit("d2", "d1")).outcome is Outcome.DONE
            task = asyncio.ensure_future(cluster.submit("d2", "d1"))
            await asyncio.sleep(0.01)
            address = cluster.boards["d1"].identity.internal_address
            cluster.fabric.kill(address)
            assert (await task).outcome is Outcome.UNKNOWN
            assert (await cluster.submit("d2", "d1")).outcome is Outcome.NOT_RUN
            assert (await cluster.submit("d2", "gone")).outcome is Outcome.NOT_RUN

        run_scenario(scenario, names=("d1", "d2"), data_centres=("dc1", "dc2"))

    def test_a_submission_continues_when_its_sender_is_cancelled(self):
        async def scenario(cluster):
            server = FakeServer(latency_s=0.1)
            await cluster.register_server(server=server)
            task = asyncio.ensure_future(cluster.submit())
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.sleep(0.2)
            assert (server.started_count, server.cancels) == (1, [])

        run_scenario(scenario)


class TestForwarding:
    """Guard against servers whose home is dead or in another data centre."""

    def test_an_announcement_reaches_a_live_home_of_its_data_centre(self):
        async def scenario(cluster):
            for name in ("d2", "d3"):
                identity = cluster.boards[name].identity
                board = cluster.boards["d1"]
                cluster.set_daemon(board, identity, DaemonState.DEAD)
            cluster.set_daemon(cluster.boards["d1"], cluster.boards["d3"].identity)
            cluster.fabric.kill(cluster.boards["d3"].identity.internal_address)
            renewal, lease = await cluster.register_server("d1")
            assert lease.home == "d1"
            renewal, lease = await cluster.register_server("far", server_id="s2")
            assert lease.home in ("d1", "d2")

        centres = ("dc1", "dc1", "dc1", "dc2")
        run_scenario(scenario, names=("d1", "d2", "d3", "far"), data_centres=centres)


class TestServerBackoff:
    """Guard against requests to a server that said that it wants none."""

    def test_nothing_is_sent_to_a_server_that_says_it_leaves(self):
        async def scenario(cluster):
            server = FakeServer(is_leaving=True)
            await cluster.register_server(server=server)
            assert await cluster.query_code(request="one") is Code.OK
            for at in range(5):
                code = await cluster.query_code(request=f"more-{at}")
                assert code is Code.SERVER_LEAVING
            assert server.started_count == 1

        run_scenario(scenario)

    def test_queued_work_of_such_a_server_is_refused(self):
        async def scenario(cluster):
            server = FakeServer(is_leaving=True, latency_s=0.05)
            await cluster.register_server(server=server, slots=1)
            tasks = [cluster.query_code(request=f"{at}") for at in range(5)]
            codes = await asyncio.gather(*tasks)
            assert codes.count(Code.OK) == server.started_count
            assert codes.count(Code.SERVER_LEAVING) == 5 - server.started_count
            assert server.started_count <= 2

        run_scenario(scenario)

    def test_nothing_is_sent_before_the_end_of_the_time_it_named(self):
        async def scenario(cluster):
            server = FakeServer(code=Code.SERVER_REFUSED, retry_after_s=0.8)
            await cluster.register_server(server=server)
            assert await cluster.query_code(request="one") is Code.SERVER_REFUSED
            server.code = Code.OK
            await asyncio.sleep(0.7)
            assert await cluster.query_code(request="two") is Code.SERVER_REFUSED
            assert server.started_count == 0
            await asyncio.sleep(0.15)
            assert await cluster.query_code(request="three") is Code.OK

        run_scenario(scenario)


class TestUnexpectedErrors:
    def test_an_exception_for_a_reply_does_not_keep_a_batch_from_ending(self):
        """Guards against queries that wait for their deadline."""

        async def scenario(cluster):
            await cluster.register_server()
            ends = []

            def fail(reply):
                raise IndexError("odd reply")

            batch = ShardBatch(
                request_id="r",
                tenant="t",
                class_name="c",
                version="v1",
                revision=0,
                remaining_s=1.0,
                is_stale=False,
                groups=(ServerGroup("s1", 1, "sheets", ("a",)),),
                query=b"{}",
            )
            cluster.homes["d1"].client.dispatch("d1", batch, fail, ends.append)
            await asyncio.sleep(0.5)
            assert ends == [Ok(None)]

        run_scenario(scenario)
