"""Stream the servers and configuration of a control daemon to its subscribers.

Subscribers are entry daemons, and control daemons that forward the stream.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import MAX_STREAM_TIMEOUT_S, StreamTimes
from bramleyrouter.consensus.interfaces import ReplicatedLog
from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.control.state_machine import ControlStateMachine
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.messages import (
    DIRECT,
    MIRROR,
    ROLLOUT_FIELDS,
    RolloutUpdate,
    Update,
    encode_update,
    encode_updates,
)
from bramleyrouter.fleet.mirrors import Mirrors, forward_stream
from bramleyrouter.fleet.records import ServerRow, check_row, drop_version
from bramleyrouter.fleet.registry import ServerRegistry, list_rows, sweep
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.ids import (
    DaemonId,
    DataCentre,
    Revision,
    ServiceName,
    TableVersion,
)
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

# Changed rows are collected for this time and sent in one update, in seconds.
ROW_BATCH_DELAY_S = 0.02
# Interval of the check for silent servers, in seconds.
SWEEP_INTERVAL_S = 0.3
# Seconds for which an entry daemon is counted after its stream ended. Entry daemons
# divide common budgets by the count, so while it may still use its share, the shares
# of the others must not grow.
ENTRY_DAEMON_RETENTION_S = 20.0
# Longest time between two counts, in seconds, as one is made for each keepalive. After
# a longer one the process was paused.
MAX_COUNT_INTERVAL_S = MAX_STREAM_TIMEOUT_S
# A control daemon publishes no count of entry daemons for this time after its start,
# in seconds, since not all of them have subscribed yet.
COUNT_STARTUP_DELAY_S = 3.0


# Entry daemons of each data centre that are named as relays: enough to share the work
# and to tolerate the loss of one, few enough to send the list to every subscriber.
NAMED_RELAYS_PER_DATA_CENTRE = 4


@dataclass(eq=False)
class Subscriber:
    """Hold one stream and the values that were last sent on it."""

    peer: Peer
    send: Callable[[bytes], None]
    sent_version: int = -1
    sent_revision: int = -1
    sent_members: tuple[str, ...] = ()
    sent_entry_counts: dict[DataCentre, int] | None = None
    sent_relays: tuple[tuple[str, DataCentre], ...] = ()
    sent_rollouts: int = 0


@dataclass
class FleetPublisherState:
    """Hold the subscribers of one control daemon and the rows to be sent.

    ``last_subscribed`` maps entry daemons to the loop time at which they were last
    subscribed and to their data centre.
    """

    registry: ServerRegistry
    state_machine: ControlStateMachine
    log: ReplicatedLog
    clock: Callable[[], float]
    data_centre: DataCentre
    started_at: float
    # Loop time of the last count of entry daemons.
    counted_at: float = float("inf")
    subscribers: dict[DaemonId, Subscriber] = field(default_factory=dict)
    # Streams to control daemons that forward them.
    mirrors: set[Subscriber] = field(default_factory=set)
    last_subscribed: dict[DaemonId, tuple[float, DataCentre]] = field(
        default_factory=dict
    )
    queued_rows: dict[str, ServerRow] = field(default_factory=dict)
    # Services whose rows are sent with their versions.
    versioned: set[ServiceName] = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None


class _Snapshot(NamedTuple):
    """Hold the current values of what updates carry besides rows.

    ``entry_daemons`` is none while not all entry daemons have subscribed.
    ``relays_for_local`` are named to subscribers in this data centre.
    """

    table_version: TableVersion | None
    revision: Revision
    data_centres_out: tuple[DataCentre, ...]
    members_index: int
    members: tuple[str, ...]
    entry_daemons: dict[DataCentre, int] | None
    relays: tuple[tuple[str, DataCentre], ...]
    relays_for_local: tuple[tuple[str, DataCentre], ...]
    rollouts_revision: int
    rollouts: tuple[VersionRollout, ...]
    is_confirmed: bool


class FleetPublisher(NamedTuple):
    """Bundle what ``start_fleet_publisher`` returns."""

    count_subscribers: Callable[[], int]
    close: Callable[[], None]


def _update_entry_daemon_counts(
    publisher: FleetPublisherState,
) -> dict[DataCentre, int]:
    """Update and expire ``last_subscribed``; return its counts by data centre."""
    _exclude_pause(publisher)
    now, last_subscribed = publisher.clock(), publisher.last_subscribed
    for daemon_id, subscriber in publisher.subscribers.items():
        last_subscribed[daemon_id] = (now, subscriber.peer.data_centre)
    oldest = now - ENTRY_DAEMON_RETENTION_S
    for daemon_id in [key for key, (at, _) in last_subscribed.items() if at < oldest]:
        del last_subscribed[daemon_id]
    return dict(sorted(Counter(name for _, name in last_subscribed.values()).items()))


def _exclude_pause(publisher: FleetPublisherState) -> None:
    """Shift the times that are counted if this process was paused.

    Entry daemons could not subscribe meanwhile, so a pause says nothing about them.
    """
    now = publisher.clock()
    pause_s = now - publisher.counted_at - MAX_COUNT_INTERVAL_S
    publisher.counted_at = now
    if pause_s <= 0:
        return
    publisher.started_at += pause_s
    for daemon_id, (at, data_centre) in publisher.last_subscribed.items():
        publisher.last_subscribed[daemon_id] = (at + pause_s, data_centre)


def _take_snapshot(publisher: FleetPublisherState) -> _Snapshot:
    """Collect the values of all subscribers' updates, once for all of them."""
    routes = publisher.state_machine.routes()
    config = publisher.state_machine.config()
    status = publisher.log.status()
    counts = _update_entry_daemon_counts(publisher)
    is_complete = publisher.clock() - publisher.started_at >= COUNT_STARTUP_DELAY_S
    rollouts = publisher.state_machine.rollouts()
    by_data_centre: dict[DataCentre, list[str]] = {}
    for subscriber in publisher.subscribers.values():
        peer = subscriber.peer
        by_data_centre.setdefault(peer.data_centre, []).append(peer.address)
    return _Snapshot(
        routes.version if routes.document else None,
        config.revision,
        tuple(config.data_centres_out),
        status.commit_index,
        tuple(sorted(member.address for member in status.members)),
        counts if is_complete else None,
        _list_relays(by_data_centre, None),
        _list_relays(by_data_centre, publisher.data_centre),
        rollouts.revision,
        tuple(rollouts.by_service.values()),
        any(item.is_open for item in rollouts.by_service.values())
        and publisher.log.is_current(),
    )


def _collect_changed_fields(
    publisher: FleetPublisherState, subscriber: Subscriber, snapshot: _Snapshot
) -> dict:
    """Return the fields that changed since the last update to this subscriber.

    The values count as sent from then on.
    """
    fields: dict = {}
    version = snapshot.table_version
    if version is not None and subscriber.sent_version != version:
        subscriber.sent_version = version
        fields["table_version"] = version
    if subscriber.sent_revision != snapshot.revision:
        subscriber.sent_revision = snapshot.revision
        fields["revision"] = snapshot.revision
        fields["data_centres_out"] = snapshot.data_centres_out
    members = snapshot.members
    if members and subscriber.sent_members != members:
        subscriber.sent_members = members
        fields["members_index"] = snapshot.members_index
        fields["members"] = members
    counts = snapshot.entry_daemons
    if counts is not None and subscriber.sent_entry_counts != counts:
        subscriber.sent_entry_counts = counts
        fields["entry_daemons"] = counts
    is_local = subscriber.peer.data_centre == publisher.data_centre
    relays = snapshot.relays_for_local if is_local else snapshot.relays
    if subscriber.sent_relays != relays:
        subscriber.sent_relays = relays
        fields["relays"] = relays
    if subscriber.sent_rollouts != snapshot.rollouts_revision:
        subscriber.sent_rollouts = snapshot.rollouts_revision
        fields["rollouts_revision"] = snapshot.rollouts_revision
        fields["rollouts"] = snapshot.rollouts
    if snapshot.is_confirmed:
        fields["confirmed_revision"] = snapshot.rollouts_revision
    return fields


def _list_relays(
    by_data_centre: dict[DataCentre, list[str]], complete: DataCentre | None
) -> tuple[tuple[str, DataCentre], ...]:
    """List a few entry daemons of each data centre, and all those of ``complete``.

    Subscribers in the control daemon's own data centre get all of its entry daemons,
    which share the work of large queries. As the list of all is long, only control
    daemons of the same data centre send it. Sorting makes the list the same as long as
    the subscribers are, so that it is sent only when they change.
    """
    return tuple(
        (address, name)
        for name, addresses in sorted(by_data_centre.items())
        for address in sorted(addresses)[
            : None if name == complete else NAMED_RELAYS_PER_DATA_CENTRE
        ]
    )


def _is_sendable(row: ServerRow) -> bool:
    """Return whether a row can be sent; another one must not stop all updates."""
    checked = check_row(row)
    if isinstance(checked, Err):
        logging.error("fleet: a row is left out: %s", checked.err_value)
    return isinstance(checked, Ok)


def _format_row(publisher: FleetPublisherState, row: ServerRow) -> ServerRow:
    """Return the row as it is sent; versions matter only with a rollout."""
    return row if row.service in publisher.versioned else drop_version(row)


def _queue_versioned_rows(publisher: FleetPublisherState) -> None:
    """Queue the rows of services that have their first rollout."""
    services = set(publisher.state_machine.rollouts().by_service)
    added = services - publisher.versioned
    publisher.versioned = services
    if not added:
        return
    for row in list_rows(publisher.registry, publisher.clock()):
        if row.service in added:
            publisher.queued_rows[row.server_id] = row


def _send_updates(publisher: FleetPublisherState, is_keepalive: bool = False) -> None:
    """Send each subscriber the queued rows and the fields that changed."""
    publisher.timer = None
    _queue_versioned_rows(publisher)
    rows = tuple(
        _format_row(publisher, row)
        for row in publisher.queued_rows.values()
        if _is_sendable(row)
    )
    subscribers = [*publisher.subscribers.values(), *publisher.mirrors]
    snapshot = _take_snapshot(publisher)
    all_fields = [
        _collect_changed_fields(publisher, subscriber, snapshot)
        for subscriber in subscribers
    ]
    updates = encode_updates(rows, all_fields)
    for subscriber, fields, payload in zip(
        subscribers, all_fields, updates, strict=True
    ):
        if rows or fields or is_keepalive:
            subscriber.send(payload)
    publisher.queued_rows.clear()


def _queue_row(publisher: FleetPublisherState, row: ServerRow) -> None:
    publisher.queued_rows[row.server_id] = row
    if publisher.timer is None:
        loop = asyncio.get_running_loop()
        publisher.timer = loop.call_later(ROW_BATCH_DELAY_S, _send_updates, publisher)


def _queue_minor_row(publisher: FleetPublisherState, row: ServerRow) -> None:
    """Queue a row for the next update, at the latest the next keepalive."""
    publisher.queued_rows[row.server_id] = row


def _send_first_update(publisher: FleetPublisherState, subscriber: Subscriber) -> None:
    _queue_versioned_rows(publisher)
    rows = tuple(
        _format_row(publisher, row)
        for row in list_rows(publisher.registry, publisher.clock())
        if _is_sendable(row)
    )
    snapshot = _take_snapshot(publisher)
    fields = _collect_changed_fields(publisher, subscriber, snapshot)
    fields["data_centre"] = publisher.data_centre
    form = Update if ROLLOUT_FIELDS.isdisjoint(fields) else RolloutUpdate
    subscriber.send(encode_update(form(rows=rows, is_full=True, **fields)))


def start_fleet_publisher(
    network: Network,
    registry: ServerRegistry,
    state_machine: ControlStateMachine,
    log: ReplicatedLog,
    clock: Callable[[], float],
    data_centre: DataCentre,
    times: StreamTimes,
    must_be_current: Callable[[bytes], bool] = lambda document: False,
) -> FleetPublisher:
    """Serve the fleet stream and requests for route tables.

    ``must_be_current(document)`` returns whether a table may only be handed out while
    this daemon knows that it is the newest.
    """
    keepalive_interval_s = times.keepalive_interval_s
    publisher = FleetPublisherState(
        registry,
        state_machine,
        log,
        clock,
        data_centre,
        started_at=clock(),
        counted_at=clock(),
    )
    tasks = BackgroundTasks("fleet")

    mirrors = Mirrors(network, times, tasks)

    async def handle_subscription(
        peer: Peer, payload: bytes, send: Callable[[bytes], None]
    ) -> Result[None, Failure]:
        if payload not in (DIRECT, MIRROR):
            address = payload.decode("ascii", "replace")
            if address not in {member.address for member in log.status().members}:
                text = f'"{address}" is no control daemon known here.'
                return Err(Failure(Code.UNKNOWN_MEMBER, text))
            return await forward_stream(mirrors, address, send)
        subscriber = Subscriber(peer, send)
        if payload == MIRROR:
            publisher.mirrors.add(subscriber)
        else:
            # A daemon that reconnects replaces its former stream, which may be dead
            # without having been closed.
            publisher.subscribers[peer.daemon_id] = subscriber
        try:
            _send_first_update(publisher, subscriber)
            await asyncio.get_running_loop().create_future()
        finally:
            publisher.mirrors.discard(subscriber)
            if publisher.subscribers.get(peer.daemon_id) is subscriber:
                del publisher.subscribers[peer.daemon_id]
        return Ok(None)

    async def handle_fetch_routes(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        routes = state_machine.routes()
        # An entry daemon that has just started knows no newer table that would protect
        # it from one in which a withdrawn key is still valid.
        if must_be_current(routes.document) and not log.is_current():
            text = "It is not known here whether the route table is the newest."
            return Err(Failure(Code.NO_MAJORITY, text))
        return Ok(encode_command(PublishRoutes(routes.version, routes.document)))

    network.serve_stream(MessageKind.WATCH_FLEET, handle_subscription)
    network.serve(MessageKind.FETCH_ROUTES, handle_fetch_routes)
    registry.on_change.append(lambda row: _queue_row(publisher, row))
    registry.on_minor_change.append(lambda row: _queue_minor_row(publisher, row))
    state_machine.watch(lambda: _send_updates(publisher))
    spawn(
        tasks,
        run_periodically(
            keepalive_interval_s,
            lambda: _send_updates(publisher, True),
            keepalive_interval_s,
        ),
    )
    spawn(
        tasks,
        run_periodically(
            SWEEP_INTERVAL_S, lambda: sweep(registry, clock()), SWEEP_INTERVAL_S
        ),
    )
    return FleetPublisher(
        count_subscribers=lambda: len(publisher.subscribers),
        close=lambda: cancel_all(tasks),
    )
