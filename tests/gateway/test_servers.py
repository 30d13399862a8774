"""Tests of the choice of a server by its measurements."""

from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.servers import (
    FAILURES_TO_SUSPECT,
    ChoiceContext,
    TrackedServer,
    TrackedServers,
    choose_server,
    compute_cold_interval,
    record_late,
    record_reply,
    record_sent,
    set_servers,
)
from bramleyrouter.ids import ServiceName
from tests.support.gateway_fakes import HERE, THERE, build_answer, build_row

MEDIAN_S = 0.016


def build_context(now=100.0, out=(), cold_interval_s=0.0):
    return ChoiceContext(now, HERE, out, cold_interval_s)


def build_local_and_remote():
    return TrackedServer(build_row("near")), TrackedServer(
        build_row("far", data_centre=THERE)
    )


def record_reply_after(server, latency_s, now):
    server.in_flight += 1
    record_reply(server, build_answer(server.row), latency_s, MEDIAN_S, now)


class TestChooseServer:
    def test_servers_of_the_own_data_centre_are_preferred(self):
        local, remote = build_local_and_remote()
        assert choose_server([remote, local], build_context()) is local

    def test_a_server_without_recent_samples_is_not_rated_faster(self):
        # Guards against an average that decays towards 0 while a server is unused: all
        # requests would go to the other data centre until it is measured again.
        local, remote = build_local_and_remote()
        record_reply_after(remote, MEDIAN_S, 0.0)
        for step in range(20):
            record_reply_after(local, MEDIAN_S, 80.0 + step)
        assert choose_server([remote, local], build_context()) is local

    def test_one_pause_does_not_move_requests_to_another_data_centre(self):
        # Guards against moving requests to the other data centre for seconds after one
        # pause of 120 ms, if such a pause occurs every 3 s.
        local, remote = build_local_and_remote()
        record_late(local, 99.9)
        record_reply_after(local, 0.136, 100.0)
        assert choose_server([remote, local], build_context(100.1)) is local

    def test_a_server_that_stays_slow_is_avoided(self):
        local, remote = build_local_and_remote()
        for step in range(4):
            record_reply_after(local, 7 * MEDIAN_S, 99.0 + step / 10)
        assert choose_server([remote, local], build_context()) is remote

    def test_suspected_after_consecutive_failures(self):
        local, remote = build_local_and_remote()
        for _ in range(FAILURES_TO_SUSPECT):
            local.in_flight += 1
            record_reply(
                local, ServerReply(ExchangeOutcome.LOST), 0.01, MEDIAN_S, 100.0
            )
        assert choose_server([local, remote], build_context(100.1)) is remote
        # A suspected server is still chosen if there is no other.
        assert choose_server([local], build_context(100.1)) is local

    def test_draining_gone_and_taken_out_servers_are_never_chosen(self):
        servers = [
            TrackedServer(build_row("a", phase=ServerPhase.DRAINING)),
            TrackedServer(build_row("b", phase=ServerPhase.GONE)),
            TrackedServer(build_row("c", data_centre=THERE)),
        ]
        assert choose_server(servers, build_context(out={THERE})) is None

    def test_a_server_whose_address_belongs_to_another_one_is_avoided_at_once(self):
        local, remote = build_local_and_remote()
        local.in_flight += 1
        record_reply(
            local, ServerReply(ExchangeOutcome.MISDIRECTED), 0.01, MEDIAN_S, 100.0
        )
        assert choose_server([local, remote], build_context(100.1)) is remote

    def test_a_replaced_server_is_never_chosen_again(self):
        # Guards against exceeding the budget of the service that uses the address now:
        # each further request to the address counts as an extra send of that service.
        local, _ = build_local_and_remote()
        local.in_flight += 1
        record_reply(
            local, ServerReply(ExchangeOutcome.MISDIRECTED), 0.01, MEDIAN_S, 100.0
        )
        assert choose_server([local], build_context(1000.0)) is None


class TestColdServers:
    def test_without_a_declared_rate_cold_servers_are_chosen_last(self):
        # Guards against refusing queries while all servers are cold, as for eight
        # seconds after a drain, although a cold server is only slower.
        local, remote = build_local_and_remote()
        local.cold_until = 103.0
        assert choose_server([local, remote], build_context()) is remote
        assert choose_server([local], build_context(cold_interval_s=0.0)) is local
        assert compute_cold_interval(0.0, 1.5, 5.0, 8) == 0.0

    def test_all_daemons_together_stay_below_a_declared_rate(self):
        rate, factor, slack, daemons = 8.0, 1.5, 5.0, 6
        interval_s = compute_cold_interval(rate, factor, slack, daemons)
        server = TrackedServer(build_row("cold"))
        server.cold_until = 1e9
        sent, now = 0, 0.0
        while now < 1.0:
            context = build_context(now, cold_interval_s=interval_s)
            if choose_server([server], context) is not None:
                record_sent(server, context)
                sent += 1
            now += 0.001
        assert 1 <= sent * daemons <= rate * factor + slack

    def test_a_reply_can_mark_its_server_as_cold(self):
        local, remote = build_local_and_remote()
        local.in_flight += 1
        reply = build_answer(local.row)._replace(cold_s=2.0)
        record_reply(local, reply, 0.01, MEDIAN_S, 100.0)
        assert choose_server([local, remote], build_context(101.0)) is remote
        assert choose_server([local, remote], build_context(102.1)) is local


class TestSetServers:
    def test_measurements_are_reset_with_a_new_incarnation(self):
        tracked, service = TrackedServers(), ServiceName("s0")
        set_servers(tracked, service, [build_row("a")], 0.0)
        tracked.by_service[service]["a"].consecutive_failures = 5
        set_servers(tracked, service, [build_row("a", sequence=2)], 1.0)
        assert tracked.by_service[service]["a"].consecutive_failures == 5
        set_servers(tracked, service, [build_row("a", incarnation=2)], 2.0)
        assert tracked.by_service[service]["a"].consecutive_failures == 0
