"""The state machine that the control daemons replicate."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from absl import logging
from result import Err

from bramleyrouter.consensus.interfaces import StateMachine
from bramleyrouter.control import configuration, ledger
from bramleyrouter.control.codecs import LogCommand, decode_command
from bramleyrouter.control.departures import (
    Departure,
    has_departed,
    record_departure,
)
from bramleyrouter.control.messages import (
    Claim,
    ConfigDelta,
    ConfigState,
    Depart,
    EndRollout,
    OperatorResult,
    Publish,
    PublishRoutes,
    SetAvailability,
    StartRollout,
)
from bramleyrouter.control.operator_requests import find_result, store_result
from bramleyrouter.control.replies import encode_claim_result, encode_operator_result
from bramleyrouter.control.route_tables import RouteTables, publish_routes
from bramleyrouter.control.snapshots import decode_snapshot, encode_snapshot
from bramleyrouter.control.state import ControlState
from bramleyrouter.control.version_rollouts import (
    VersionRollouts,
    end_rollout,
    get_sequence,
    start_rollout,
)
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import (
    Generation,
    LogIndex,
    RequestId,
    Revision,
    ServiceName,
    TenantName,
)


class ControlStateMachine(NamedTuple):
    """Bundle the state machine for the log and read access to its state.

    ``watch(callback)`` calls back after each change of the configuration's
    revision or the route table. ``is_ledger_full_for(tenant, request_id)`` returns
    whether a claim of this identity would be refused because the ledger is full.
    ``watch_departures(callback)`` calls back with each departure of a backend server,
    first with those that are recorded already. ``has_departed(row)`` returns whether
    that of a row is recorded. ``rollouts`` returns the newest rollout of each service;
    ``watch`` also calls back after each change of these.
    """

    for_log: StateMachine
    config: Callable[[], ConfigState]
    routes: Callable[[], RouteTables]
    deltas_since: Callable[[Revision], tuple[ConfigDelta, ...] | None]
    watch: Callable[[Callable[[], None]], None]
    is_ledger_full_for: Callable[[TenantName, RequestId], bool]
    watch_departures: Callable[[Callable[[Departure], None]], None]
    has_departed: Callable[[ServerRow], bool]
    rollouts: Callable[[], VersionRollouts]


def apply_command(state: ControlState, stamp_ms: int, command: LogCommand) -> bytes:
    """Apply one command and return the encoded reply.

    ``stamp_ms`` is the leader's wall-clock time in milliseconds.
    """
    state.now_ms = max(state.now_ms, stamp_ms)
    ledger.expire_records(state.ledger, state.now_ms)
    if isinstance(command, Publish | SetAvailability):
        return encode_operator_result(_operate(state, command))
    if isinstance(command, PublishRoutes):
        publish_routes(state.routes, command)
        return encode_operator_result(
            OperatorResult(
                state.config.state.revision, Generation(state.routes.version)
            )
        )
    if isinstance(command, Depart):
        record_departure(state.departures, command.row, state.now_ms)
        return encode_operator_result(
            OperatorResult(state.config.state.revision, Generation(0))
        )
    if isinstance(command, StartRollout | EndRollout):
        return encode_operator_result(_apply_rollout(state, command))
    if isinstance(command, Claim):
        return encode_claim_result(ledger.claim(state.ledger, command, state.now_ms))
    for settlement in command:
        ledger.settle(state.ledger, settlement, state.now_ms)
    return b""


def _apply_rollout(
    state: ControlState, command: StartRollout | EndRollout
) -> OperatorResult:
    """Apply a command; the result names the sequence of the service's newest rollout.

    It stands in place of the configuration's revision, which rollouts don't change.
    """
    failure = None
    if isinstance(command, StartRollout):
        failure = start_rollout(state.rollouts, command, state.now_ms)
    else:
        end_rollout(state.rollouts, command)
    sequence = get_sequence(state.rollouts, ServiceName(command.service))
    return OperatorResult(Revision(sequence), Generation(0), failure)


def _operate(state: ControlState, operation: Publish | SetAvailability):
    first = find_result(state.requests, operation)
    if first is not None:
        return first
    if isinstance(operation, Publish):
        result = configuration.publish(state.config, operation)
    else:
        result = configuration.set_availability(state.config, operation)
    store_result(state.requests, operation, result)
    return result


def build_control_state_machine() -> ControlStateMachine:
    """Return an empty state machine."""
    state = ControlState()
    callbacks: list[Callable[[], None]] = []
    departure_callbacks: list[Callable[[Departure], None]] = []

    def get_versions() -> tuple[int, int, int]:
        return (
            state.config.state.revision,
            state.routes.version,
            state.rollouts.revision,
        )

    def notify_if_changed(before: tuple[int, int, int]) -> None:
        if get_versions() == before:
            return
        for callback in callbacks:
            try:
                callback()
            except Exception:
                # A failing watcher must not stop the log from applying entries.
                logging.exception(
                    "control: a watcher of the configuration raised an exception."
                )

    def notify_of_departures(departures: Iterable[Departure]) -> None:
        for departure in departures:
            for callback in departure_callbacks:
                try:
                    callback(departure)
                except Exception:
                    # A failing watcher must not stop the log from applying entries.
                    logging.exception(
                        "control: a watcher of departures raised an exception."
                    )

    def watch_departures(callback: Callable[[Departure], None]) -> None:
        departure_callbacks.append(callback)
        for departure in state.departures.by_server.values():
            callback(departure)

    def apply(index: LogIndex, stamp_ms: int, data: bytes) -> bytes:
        decoded = decode_command(data)
        if isinstance(decoded, Err):
            # Commands are validated before they are proposed, so this is a bug.
            logging.error(
                "control: skipped log entry %d, which can't be decoded: %s",
                index,
                decoded.err_value,
            )
            return b""
        command, before = decoded.ok_value, get_versions()
        reply = apply_command(state, stamp_ms, command)
        notify_if_changed(before)
        if isinstance(command, Depart):
            notify_of_departures([Departure(command.row, state.now_ms)])
        return reply

    def restore(snapshot: bytes) -> None:
        before = get_versions()
        restored = decode_snapshot(snapshot)
        state.now_ms = restored.now_ms
        state.config = restored.config
        state.requests = restored.requests
        state.routes = restored.routes
        state.ledger = restored.ledger
        state.departures = restored.departures
        state.rollouts = restored.rollouts
        notify_if_changed(before)
        notify_of_departures(state.departures.by_server.values())

    def is_ledger_full_for(tenant: TenantName, request_id: RequestId) -> bool:
        is_known = (tenant, request_id) in state.ledger.records
        return not is_known and ledger.is_full(state.ledger)

    return ControlStateMachine(
        for_log=StateMachine(apply, lambda: encode_snapshot(state), restore),
        config=lambda: state.config.state,
        routes=lambda: state.routes,
        deltas_since=lambda revision: configuration.deltas_since(
            state.config, revision
        ),
        watch=callbacks.append,
        is_ledger_full_for=is_ledger_full_for,
        watch_departures=watch_departures,
        has_departed=lambda row: has_departed(state.departures, row),
        rollouts=lambda: state.rollouts,
    )
