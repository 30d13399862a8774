"""Stream what a control daemon knows to the entry daemons that ask."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.consensus.interfaces import ReplicatedLog
from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.machine import ControlStateMachine
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.messages import DIRECT, MIRROR, Update, encode_update
from bramleyrouter.fleet.mirrors import Mirrors, follow
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.fleet.registry import ServerRegistry, rows_of, sweep
from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.utils.tasks import (
    BackgroundTasks,
    cancel_all,
    run_periodically,
    spawn,
)
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

# Rows that change within this time travel together, in seconds.
GATHER_ROWS_S = 0.02
# Time between two looks for silent servers, in seconds.
SWEEP_S = 0.3
# Entry daemons that left are counted for so long, in seconds: their share of
# what all share is given to the others only when it can't be in use any more.
COUNT_ENTRY_S = 20.0
# A control daemon that started less than this ago, in seconds, has not heard of
# all entry daemons yet and tells no number.
COUNT_GRACE_S = 3.0


# Entry daemons of each data centre that are named as relays: enough to share
# the work and to bear the loss of one, few enough to name to everyone.
RELAYS_PER_DATA_CENTRE = 4


@dataclass(eq=False)
class Subscriber:
    """Hold one stream and what it was last told."""

    peer: Peer
    send: Callable[[bytes], None]
    told_version: int = -1
    told_revision: int = -1
    told_members: tuple[str, ...] = ()
    told_entries: dict[DataCentre, int] | None = None
    told_relays: tuple[tuple[str, DataCentre], ...] = ()


@dataclass
class FleetPublisherState:
    """Hold the streams of one control daemon."""

    registry: ServerRegistry
    machine: ControlStateMachine
    log: ReplicatedLog
    clock: Callable[[], float]
    data_centre: DataCentre
    started: float
    subscribers: dict[DaemonId, Subscriber] = field(default_factory=dict)
    # Streams of control daemons that pass this one on.
    mirrors: set[Subscriber] = field(default_factory=set)
    last_seen: dict[DaemonId, tuple[float, DataCentre]] = field(default_factory=dict)
    waiting_rows: dict[str, ServerRow] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class FleetPublisher(NamedTuple):
    """Bundle what ``start_fleet_publisher`` returns."""

    subscribers: Callable[[], int]
    close: Callable[[], None]


def _entry_daemons(publisher: FleetPublisherState) -> dict[DataCentre, int]:
    now, seen = publisher.clock(), publisher.last_seen
    for daemon_id, subscriber in publisher.subscribers.items():
        seen[daemon_id] = (now, subscriber.peer.data_centre)
    oldest = now - COUNT_ENTRY_S
    for daemon_id in [key for key, (at, _) in seen.items() if at < oldest]:
        del seen[daemon_id]
    return dict(sorted(Counter(name for _, name in seen.values()).items()))


def _state_fields(publisher: FleetPublisherState, subscriber: Subscriber) -> dict:
    """Return the fields of the next update that this subscriber lacks."""
    fields: dict = {}
    routes = publisher.machine.routes()
    if routes.document and subscriber.told_version != routes.version:
        subscriber.told_version = routes.version
        fields["table_version"] = routes.version
    config = publisher.machine.config()
    if subscriber.told_revision != config.revision:
        subscriber.told_revision = config.revision
        fields["revision"] = config.revision
        fields["data_centres_out"] = config.data_centres_out
    status = publisher.log.status()
    members = tuple(sorted(member.address for member in status.members))
    if members and subscriber.told_members != members:
        subscriber.told_members = members
        fields["members_index"] = status.commit_index
        fields["members"] = members
    entries = _entry_daemons(publisher)
    is_complete = publisher.clock() - publisher.started >= COUNT_GRACE_S
    if is_complete and subscriber.told_entries != entries:
        subscriber.told_entries = entries
        fields["entry_daemons"] = entries
    relays = _relays(publisher, subscriber.peer.data_centre)
    if subscriber.told_relays != relays:
        subscriber.told_relays = relays
        fields["relays"] = relays
    return fields


def _relays(
    publisher: FleetPublisherState, data_centre: DataCentre
) -> tuple[tuple[str, DataCentre], ...]:
    """Return the entry daemons that one of ``data_centre`` may ask for work.

    They are some of each data centre, the same at each call, and all of its
    own, which share the work of large queries; those are named by the control
    daemons nearby only, as the list is long.
    """
    by_data_centre: dict[DataCentre, list[str]] = {}
    for subscriber in publisher.subscribers.values():
        peer = subscriber.peer
        by_data_centre.setdefault(peer.data_centre, []).append(peer.address)
    return tuple(
        (address, name)
        for name, addresses in sorted(by_data_centre.items())
        for address in sorted(addresses)[: _named(publisher, name, data_centre)]
    )


def _named(
    publisher: FleetPublisherState, name: DataCentre, data_centre: DataCentre
) -> int | None:
    """Return how many daemons of ``name`` are told, none for all of them."""
    is_near = name == data_centre == publisher.data_centre
    return None if is_near else RELAYS_PER_DATA_CENTRE


def _tell(publisher: FleetPublisherState, is_keepalive: bool = False) -> None:
    """Send each subscriber what it lacks, with the rows that wait."""
    rows = tuple(publisher.waiting_rows.values())
    publisher.waiting_rows.clear()
    publisher.timer = None
    for subscriber in [*publisher.subscribers.values(), *publisher.mirrors]:
        fields = _state_fields(publisher, subscriber)
        if rows or fields or is_keepalive:
            subscriber.send(encode_update(Update(rows=rows, **fields)))


def _note_row(publisher: FleetPublisherState, row: ServerRow) -> None:
    publisher.waiting_rows[row.server_id] = row
    if publisher.timer is None:
        loop = asyncio.get_running_loop()
        publisher.timer = loop.call_later(GATHER_ROWS_S, _tell, publisher)


def start_fleet_publisher(
    network: Network,
    registry: ServerRegistry,
    machine: ControlStateMachine,
    log: ReplicatedLog,
    clock: Callable[[], float],
    data_centre: DataCentre,
    times: StreamTimes,
) -> FleetPublisher:
    """Serve the fleet stream and the fetching of route tables."""
    pause_s = times.keepalive_interval_s
    publisher = FleetPublisherState(registry, machine, log, clock, data_centre, clock())
    group = BackgroundTasks("fleet")

    mirrors = Mirrors(network, times, group)

    async def watch(
        peer: Peer, payload: bytes, send: Callable[[bytes], None]
    ) -> Result[None, Failure]:
        if payload not in (DIRECT, MIRROR):
            wanted = payload.decode("ascii", "replace")
            if wanted not in {member.address for member in log.status().members}:
                text = f'"{wanted}" is no control daemon known here.'
                return Err(Failure(Code.PEER_UNREACHABLE, text))
            return await follow(mirrors, wanted, send)
        subscriber = Subscriber(peer, send)
        if payload == MIRROR:
            publisher.mirrors.add(subscriber)
        else:
            # A daemon that reconnects replaces its former stream, which may hang.
            publisher.subscribers[peer.daemon_id] = subscriber
        rows = tuple(rows_of(registry, clock()))
        fields = _state_fields(publisher, subscriber)
        fields["data_centre"] = data_centre
        send(encode_update(Update(rows=rows, is_full=True, **fields)))
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            publisher.mirrors.discard(subscriber)
            if publisher.subscribers.get(peer.daemon_id) is subscriber:
                del publisher.subscribers[peer.daemon_id]
        return Ok(None)

    async def fetch(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        routes = machine.routes()
        return Ok(encode_command(PublishRoutes(routes.version, routes.document)))

    network.serve_stream(MessageKind.WATCH_FLEET, watch)
    network.serve(MessageKind.FETCH_ROUTES, fetch)
    registry.on_change.append(lambda row: _note_row(publisher, row))
    machine.watch(lambda: _tell(publisher))
    spawn(group, run_periodically(pause_s, lambda: _tell(publisher, True), pause_s))
    spawn(group, run_periodically(SWEEP_S, lambda: sweep(registry, clock()), SWEEP_S))
    return FleetPublisher(
        subscribers=lambda: len(publisher.subscribers),
        close=lambda: cancel_all(group),
    )
