"""Tests of a control daemon's calls with a control plane that records them."""

import asyncio

import msgspec
import pytest
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.control.messages import OperatorResult, PublishRoutes, StartRollout
from bramleyrouter.control.route_tables import publish_routes
from bramleyrouter.control.snapshots import Snapshot, encode_snapshot
from bramleyrouter.control.state import ControlState
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerPhase
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.ids import DataCentre, Generation, Revision, TableVersion
from bramleyrouter.platform.operators import ControlCalls, handle_call
from tests.platform.test_announcements import HEARTBEAT, NOW_S
from tests.platform.test_route_documents import KEY, ROUTE, document

ACCEPTED = Ok(OperatorResult(Revision(1), Generation(7)))
CONFLICT = Ok(
    OperatorResult(
        Revision(9), Generation(7), Failure(Code.REVISION_CONFLICT, "another one")
    )
)
NO_MAJORITY = Err(Failure(Code.NO_MAJORITY, "no majority"))


class Control:
    """Record the calls that reach the control plane."""

    def __init__(self, outcome=ACCEPTED, table=None):
        self.operations, self.rows, self.withdrawn, self.observed = [], [], [], []
        self.outcome, self.table, self.outcomes = outcome, table, []
        self.departed, self.departure = [], Ok(None)
        self.events = []

    async def operate(self, command, timeout_s):
        self.operations.append(command)
        return self.outcomes.pop(0) if self.outcomes else self.outcome

    async def read(self, timeout_s):
        return self.table if self.table is not None else NO_MAJORITY

    async def depart(self, row, timeout_s):
        self.departed.append(row)
        return self.departure

    async def withdraw(self, name, incarnation, timeout_s):
        self.withdrawn.append((name, incarnation))
        return self.departure

    def build_calls(self):
        return ControlCalls(
            get_revision=lambda: Revision(4),
            publish=self.operate,
            set_availability=self.operate,
            read_routes=self.read,
            announce=lambda row: self.rows.append(row) or True,
            recommend_control_address=lambda name: (
                "10.1.0.12:8106" if name == "se-a" else ""
            ),
            depart=self.depart,
            withdraw=self.withdraw,
            data_centres=(DataCentre("se-a"), DataCentre("se-b")),
            wall_clock=lambda: NOW_S,
            record=lambda part, event, **fields: self.events.append((event, fields)),
            observe=lambda call, status, latency_s: self.observed.append(
                (call, status)
            ),
            get_rollout_sequence=lambda service: 3,
            start_rollout=self.operate,
            read_rollouts=self.read,
        )

    def call(self, method, path, body=b"", is_awaited=lambda: True):
        calls = self.build_calls()
        return asyncio.run(handle_call(calls, method, path, body, is_awaited))


class TestRouteTables:
    """Guard against changed tables and replies that hide an unknown outcome."""

    def test_valid_table_is_published_unchanged(self):
        control, body = Control(), document()
        assert control.call("PUT", "/v1/config", body).status == 200
        assert control.operations == [PublishRoutes(TableVersion(7), body)]

    def test_invalid_table_never_reaches_the_log(self):
        control = Control()
        duplicate_routes = document(ROUTE, {**ROUTE, "name": "r2"})
        for body in (duplicate_routes, document({**ROUTE, "timeoutMs": 0}), b"{"):
            assert control.call("PUT", "/v1/config", body).status == 400
        assert control.operations == []

    def test_unknown_outcome_is_no_refusal(self):
        # After a 4xx the operator would give up a change that may have been accepted.
        assert Control(NO_MAJORITY).call("PUT", "/v1/config", document()).status == 503

    def test_table_is_read_back_unchanged(self):
        body = document()
        control = Control(table=Ok(PublishRoutes(TableVersion(7), body)))
        reply = control.call("GET", "/v1/config")
        assert (reply.status, reply.body) == (200, body)

    def test_read_fails_unless_the_table_is_confirmed_as_newest(self):
        assert Control().call("GET", "/v1/config").status == 503

    def test_read_fails_before_the_first_table(self):
        control = Control(table=Ok(PublishRoutes(TableVersion(0), b"")))
        assert control.call("GET", "/v1/config").status == 503


class TestKeysOfCustomers:
    """Guard against keys in events, refusals and texts of what holds a document."""

    @pytest.mark.parametrize("keys", [KEY, [KEY, 5], [KEY]])
    def test_a_publication_shows_no_key(self, keys):
        tenants = [{"name": name, "apiKeys": keys} for name in ("a", "b")]
        for outcome in (ACCEPTED, NO_MAJORITY):
            control = Control(outcome)
            reply = control.call("PUT", "/v1/config", document(tenants=tenants))
            assert reply.status == 400
            assert KEY.encode() not in reply.body
            assert control.events and KEY not in str(control.events)

    def test_texts_of_tables_show_no_key(self):
        body = document(tenants=[{"name": "a", "apiKeys": [KEY]}])
        command = PublishRoutes(TableVersion(7), body)
        state = ControlState()
        publish_routes(state.routes, command)
        snapshot = msgspec.msgpack.decode(encode_snapshot(state), type=Snapshot)
        assert state.routes.document == snapshot.routes_document == body
        assert KEY not in repr(command) + repr(state) + repr(snapshot)


class TestRollouts:
    """Guard against orders with two outcomes and replies that end the operator's call.

    A 4xx reply to an order that may have been accepted would be final.
    """

    BODY = b'{"service": "s0", "toVersion": "v2", "durationS": 12}'

    def test_order_expects_the_known_sequence(self):
        control = Control()
        assert control.call("POST", "/v1/rollouts", self.BODY).status == 200
        assert control.operations == [StartRollout("s0", "v2", 12.0, 3)]
        assert control.observed == [("rollout", 200)]

    def test_conflict_is_tried_again_only_while_the_client_waits(self):
        waiting = Control()
        waiting.outcomes = [CONFLICT, ACCEPTED]
        assert waiting.call("POST", "/v1/rollouts", self.BODY).status == 200
        assert [order.expected_sequence for order in waiting.operations] == [3, 9]
        left, answers = Control(CONFLICT), [True, False]
        reply = left.call("POST", "/v1/rollouts", self.BODY, lambda: answers.pop(0))
        assert (reply.status, len(left.operations)) == (503, 1)
        frozen = Control()
        reply = frozen.call("POST", "/v1/rollouts", self.BODY, lambda: False)
        assert (reply.status, frozen.operations) == (503, [])

    def test_status_of_each_outcome(self):
        active = Failure(Code.ROLLOUT_ACTIVE, "another one")
        refused = Ok(OperatorResult(Revision(4), Generation(0), active))
        for outcome, status in ((refused, 409), (NO_MAJORITY, 503)):
            reply = Control(outcome).call("POST", "/v1/rollouts", self.BODY)
            assert reply.status == status

    def test_invalid_order_never_reaches_the_log(self):
        control = Control()
        for service, version, duration in (
            ('""', '"v2"', "12"),
            ('"s0"', '""', "12"),
            ('"s0"', '"v2"', "0"),
            ('"s0"', '"v2"', "-1"),
            ('"s0"', '"v2"', "1e999"),
            ('"s0"', '"v2"', '"12"'),
            ('"s0"', "2", "12"),
        ):
            body = (
                f'{{"service":{service},"toVersion":{version},"durationS":{duration}}}'
            )
            assert control.call("POST", "/v1/rollouts", body.encode()).status == 400
        assert control.call("POST", "/v1/rollouts", b"").status == 400
        assert control.operations == []

    def test_states_are_read_from_the_newest_log_only(self):
        assert Control().call("GET", "/v1/rollouts/s0").status == 503
        for state in RolloutState:
            rollout = VersionRollout(1, "s0", "v2", 12.0, 0, state)
            control = Control(table=Ok((rollout,)))
            reply = control.call("GET", "/v1/rollouts/s0")
            shown = "active" if rollout.is_open else state.value
            assert msgspec.json.decode(reply.body) == {
                "state": shown,
                "toVersion": "v2",
            }
            assert control.call("GET", "/v1/rollouts/s1").status == 404


class TestEvacuations:
    """Guard against a repeated change that is discarded as a duplicate."""

    def test_data_centre_is_taken_out_and_put_back(self):
        control = Control()
        assert control.call("POST", "/v1/evacuate/se-a").status == 200
        assert control.call("DELETE", "/v1/evacuate/se-a").status == 200
        assert [operation.is_out for operation in control.operations] == [True, False]
        assert control.operations[0].data_centre == "se-a"
        assert control.operations[0].request_id != control.operations[1].request_id

    def test_change_is_made_only_to_the_revision_that_was_read(self):
        control = Control()
        control.outcomes = [CONFLICT]
        assert control.call("POST", "/v1/evacuate/se-a").status == 200
        expected = [operation.expected_revision for operation in control.operations]
        assert expected == [4, 9]
        assert control.operations[0].request_id != control.operations[1].request_id

    def test_change_is_not_made_once_the_client_has_given_it_up(self):
        """Guards against undoing a later change of the same operator (review 2)."""
        control, awaited = Control(), [True, False]
        control.outcomes = [CONFLICT]
        reply = control.call("DELETE", "/v1/evacuate/se-a", b"", lambda: awaited.pop(0))
        # The daemon says that it did nothing, and never that the change is refused.
        assert reply.status == 503
        assert len(control.operations) == 1

    def test_unknown_data_centre_is_not_found(self):
        assert Control().call("POST", "/v1/evacuate/mars").status == 404


class TestHeartbeats:
    """Guard against lost heartbeats or withdrawals and wrong recommendations."""

    def test_reply_recommends_the_address_for_later_heartbeats(self):
        control = Control()
        reply = control.call("PUT", "/v1/replicas/i-1", msgspec.json.encode(HEARTBEAT))
        assert reply.status == 200
        assert msgspec.json.decode(reply.body) == {"beatAddr": "10.1.0.12:8106"}
        assert control.rows[0].server_id == "i-1"

    def test_no_address_without_a_reachable_control_daemon(self):
        body = msgspec.json.encode({**HEARTBEAT, "zone": "se-b"})
        assert Control().call("PUT", "/v1/replicas/i-1", body).body == b"{}"

    def test_undecodable_heartbeat_is_refused(self):
        control = Control()
        assert control.call("PUT", "/v1/replicas/i-1", b"{").status == 400
        assert control.rows == []

    def test_unreadable_withdrawal_removes_no_server(self):
        control = Control()
        reply = control.call("DELETE", "/v1/replicas/i-1", b'{"born": ' + b"[" * 99999)
        assert reply.status == 400
        assert control.withdrawn == []

    def test_withdrawal_is_applied(self):
        control = Control()
        assert control.call("DELETE", "/v1/replicas/i-1").status == 200
        assert control.withdrawn == [("i-1", None)]

    def test_departure_is_acknowledged_only_once_it_is_recorded(self):
        """Guards against a server that is used again after its daemon is lost."""
        control = Control()
        body = msgspec.json.encode({**HEARTBEAT, "state": "draining"})
        for departure, status in ((Ok(None), 200), (NO_MAJORITY, 503)):
            control.departure = departure
            assert control.call("PUT", "/v1/replicas/i-1", body).status == status
            assert control.call("DELETE", "/v1/replicas/i-1").status == status
        assert [row.phase for row in control.departed] == 2 * [ServerPhase.DRAINING]
        # The daemon itself uses what it heard at once.
        assert len(control.rows) == 2

    def test_heartbeat_of_a_ready_server_waits_for_nothing(self):
        control = Control()
        control.departure = NO_MAJORITY
        reply = control.call("PUT", "/v1/replicas/i-1", msgspec.json.encode(HEARTBEAT))
        assert reply.status == 200 and control.departed == []


class TestMetrics:
    """Guard against failing changes that the metrics do not show."""

    def test_each_call_is_counted_by_kind_and_status(self):
        control = Control(NO_MAJORITY)
        control.call("PUT", "/v1/config", document())
        control.call("GET", "/v1/config")
        control.call("POST", "/v1/evacuate/se-a")
        control.call("PUT", "/v1/replicas/i-1", msgspec.json.encode(HEARTBEAT))
        control.call("DELETE", "/v1/replicas/i-1")
        control.call("GET", "/elsewhere")
        assert control.observed == [
            ("publish", 503),
            ("read", 503),
            ("availability", 503),
            ("heartbeat", 200),
            ("leave", 200),
            ("unknown", 404),
        ]
