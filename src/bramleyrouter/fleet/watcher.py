"""Subscribe to the streams of all control daemons and apply the newest values.

An entry daemon subscribes to every control daemon at once, so it needs no failover:
any one that can be reached is enough, and one that is frozen, unreachable or
restarting delays nothing.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from absl import logging
from result import Err, Ok

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.control.codecs import decode_command
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.fleet.messages import (
    DIRECT,
    RolloutUpdate,
    Update,
    decode_update,
)
from bramleyrouter.fleet.rollout_records import OnRollouts, VersionRollout
from bramleyrouter.fleet.views import FleetView, apply_rows, remove_source
from bramleyrouter.ids import DataCentre, ServiceName, TableVersion
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.rendezvous import rank_by_rendezvous_hash
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Backoff between two attempts to open the stream of one control daemon, in seconds.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.3
# When a control daemon of another data centre names a newer table version, seconds to
# wait for a local control daemon to name it before the table is fetched remotely.
TABLE_GRACE_S = 0.25
FETCH_TIMEOUT_S = 0.5
# Remote streams are received through local control daemons (those of the own data
# centre) only if there are at least this many. With a single one, its end would
# interrupt all streams.
MIN_LOCAL_CONTROL_DAEMONS = 2
# Seconds for which the stream of a remote control daemon is opened directly after a
# local one failed to forward it.
DIRECT_STREAM_S = 10.0
# Seconds for which a count of entry daemons stays in use.
COUNT_WINDOW_S = 20.0


@dataclass
class WatcherState:
    """Hold what one entry daemon received and from which control daemon.

    Control daemons are identified by their internal addresses. ``last_contact_at``
    holds the loop time of the last update from each one whose stream is alive.
    ``seeds`` are the configured control daemons, ``members`` those of the replicated
    log as of ``members_index``. ``on_contact`` gets the data centre of the
    control daemon with each update, if it is known. The other callbacks get what has
    changed: a new route table, the names of services, or all relays.
    """

    network: Network
    record: RecordEvent
    own_data_centre: DataCentre
    clock: Callable[[], float]
    on_table: Callable[[TableVersion, bytes], None]
    on_servers: Callable[[set[ServiceName]], None]
    on_relays: Callable[[set[tuple[str, DataCentre]]], None]
    on_contact: Callable[[DataCentre], None]
    times: StreamTimes
    on_rollouts: OnRollouts
    rollouts_revision: int = 0
    # Loop time at which a control daemon whose log was current last named no newer
    # rollouts than those that are applied.
    rollouts_confirmed_at: float = 0.0
    view: FleetView = field(default_factory=FleetView)
    # Data centre of each control daemon that named it in an update.
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    # Members that each control daemon named in its stream. Its log may be behind those
    # of the others, so it is asked only for the streams of these.
    members_by_source: dict[str, frozenset[str]] = field(default_factory=dict)
    seeds: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()
    members_index: int = -1
    last_contact_at: dict[str, float] = field(default_factory=dict)
    table_version: TableVersion = TableVersion(-1)
    # Table version that is being fetched from each control daemon.
    fetching: dict[str, TableVersion] = field(default_factory=dict)
    revision: int = -1
    data_centres_out: frozenset[DataCentre] = frozenset()
    # Loop times, each with the total number of entry daemons then, see
    # ``_sum_entry_daemons``.
    total_counts: deque[tuple[float, int]] = field(default_factory=deque)
    counts_by_source: dict[str, dict[DataCentre, int]] = field(default_factory=dict)
    # Loop time until which the stream of a remote control daemon is opened directly,
    # since a local one failed to forward it.
    direct_until: dict[str, float] = field(default_factory=dict)
    relays: dict[str, tuple[tuple[str, DataCentre], ...]] = field(default_factory=dict)
    streams: dict[str, asyncio.Task] = field(default_factory=dict)
    tasks: BackgroundTasks = field(default_factory=lambda: BackgroundTasks("fleet"))


class FleetWatcher(NamedTuple):
    """Bundle what ``start_fleet_watcher`` returns.

    ``entry_daemons()`` returns the number of entry daemons, at least 1, or none until a
    control daemon has reported it.
    ``silence_s()`` returns the seconds since the last update of any control daemon, and
    ``rollouts_age_s()`` those since the state of an open rollout was confirmed.
    """

    state: WatcherState
    set_seeds: Callable[[tuple[str, ...]], None]
    entry_daemons: Callable[[], int | None]
    silence_s: Callable[[], float]
    rollouts_age_s: Callable[[], float]
    close: Callable[[], None]


def apply_update(state: WatcherState, source: str, update: Update) -> None:
    """Apply one update of the control daemon at ``source``."""
    state.last_contact_at[source] = state.clock()
    if update.data_centre is not None:
        state.data_centres[source] = update.data_centre
    if source in state.data_centres:
        _notify(state.on_contact, state.data_centres[source])
    if update.is_full:
        state.members_by_source.pop(source, None)
    if update.members_index is not None:
        state.members_by_source[source] = frozenset(update.members)
    if update.rows or update.is_full:
        changed = apply_rows(state.view, source, update.rows, update.is_full)
        _notify_of_services(state, changed)
    if update.revision is not None and update.revision > state.revision:
        state.revision = update.revision
        state.data_centres_out = frozenset(update.data_centres_out)
        state.record(
            "fleet",
            "availability",
            revision=update.revision,
            data_centres_out=sorted(update.data_centres_out),
            source=source,
        )
    if update.entry_daemons is not None:
        state.counts_by_source[source] = update.entry_daemons
        state.total_counts.append(
            (state.clock(), _sum_entry_daemons(state.counts_by_source.values()))
        )
    if update.relays is not None:
        state.relays[source] = update.relays
        _notify_relays(state)
    if update.members_index is not None and update.members_index > state.members_index:
        state.members_index = update.members_index
        state.members = frozenset(update.members)
        _update_streams(state)
    if isinstance(update, RolloutUpdate) and update.rollouts_revision is not None:
        _apply_rollouts(state, source, update.rollouts_revision, update.rollouts)
    if isinstance(update, RolloutUpdate) and update.confirmed_revision is not None:
        if update.confirmed_revision <= state.rollouts_revision:
            state.rollouts_confirmed_at = state.clock()
    if update.table_version is not None:
        _schedule_table_fetch(state, source, update.table_version)


def _apply_rollouts(
    state: WatcherState,
    source: str,
    revision: int,
    rollouts: tuple[VersionRollout, ...],
) -> None:
    """Apply newer rollouts; ignore those of a control daemon that is behind."""
    if revision <= state.rollouts_revision:
        return
    state.rollouts_revision = revision
    state.rollouts_confirmed_at = state.clock()
    state.record("fleet", "rollouts", revision=revision, source=source)
    _notify(state.on_rollouts, revision, rollouts)


def get_max_entry_daemon_count(state: WatcherState) -> int | None:
    """Return the largest total number of entry daemons in ``COUNT_WINDOW_S``.

    Budgets that all entry daemons share are divided by it. A number that is too
    small would exceed a budget; one that is too large only leaves a part unused. Until
    a number is known it is none: no assumed number is large enough for all fleets.
    """
    oldest = state.clock() - COUNT_WINDOW_S
    while len(state.total_counts) > 1 and state.total_counts[0][0] < oldest:
        state.total_counts.popleft()
    return max((count for _, count in state.total_counts), default=None)


def _sum_entry_daemons(counts: Iterable[dict[DataCentre, int]]) -> int:
    """Return the number of entry daemons in all data centres, at least 1.

    A control daemon does not count entry daemons that receive its stream through
    another control daemon, so the largest count of each data centre is used.
    """
    largest: dict[DataCentre, int] = {}
    for reported in counts:
        for data_centre, count in reported.items():
            largest[data_centre] = max(largest.get(data_centre, 0), count)
    return max(1, sum(largest.values()))


def _notify(callback: Callable, *args) -> None:
    """Call back; an exception must not keep the rest of an update from being applied.

    It would end the connection, and the same update would be received again.
    """
    try:
        callback(*args)
    except Exception:
        logging.exception("fleet: a change was not processed.")


def _notify_of_services(state: WatcherState, services: set[ServiceName]) -> None:
    """Notify of each service by itself: what one misses is not sent again."""
    for service in sorted(services):
        _notify(state.on_servers, {service})


def _notify_relays(state: WatcherState) -> None:
    """Notify of the relays that any control daemon named."""
    relays = {relay for reported in state.relays.values() for relay in reported}
    _notify(state.on_relays, relays)


def _schedule_table_fetch(
    state: WatcherState, source: str, version: TableVersion
) -> None:
    """Schedule the fetch of a newer route table.

    A table is fetched at once from a control daemon of the own data centre, and
    after ``TABLE_GRACE_S`` from another. A local control daemon nearly always names
    the version within that time, which keeps tables off the links between data
    centres.
    """
    if version <= state.table_version:
        return
    local = {address for address in state.last_contact_at if _is_local(state, address)}
    should_wait = local and source not in local
    delay_s = TABLE_GRACE_S if should_wait else 0.0
    spawn(state.tasks, _fetch_table(state, source, version, delay_s))


def apply_table(
    state: WatcherState, source: str, version: TableVersion, document: bytes
) -> None:
    """Apply a newer route table; ignore an older or an empty one."""
    if version <= state.table_version or not document:
        return
    state.table_version = version
    state.record("fleet", "table", version=version, source=source)
    state.on_table(version, document)


async def _fetch_table(
    state: WatcherState, source: str, version: TableVersion, delay_s: float
) -> None:
    """Fetch the table from ``source`` unless it has been applied meanwhile.

    A failed fetch is repeated until the stream of ``source`` is lost.
    """
    await asyncio.sleep(delay_s)
    while state.table_version < version and source in state.last_contact_at:
        if state.fetching.get(source, -1) >= version:
            return
        state.fetching[source] = version
        reply = await call_with_timeout(
            state.network, source, MessageKind.FETCH_ROUTES, b"", FETCH_TIMEOUT_S
        )
        state.fetching.pop(source, None)
        if isinstance(reply, Ok):
            _apply_fetched_table(state, source, reply.ok_value)
        else:
            state.record("fleet", "fetch_failed", source=source, version=version)
        if state.table_version < version:
            # The reply may also have been odd, or have held an older table.
            await asyncio.sleep(FIRST_BACKOFF_S)


def _apply_fetched_table(state: WatcherState, source: str, payload: bytes) -> None:
    decoded = decode_command(payload)
    if isinstance(decoded, Ok) and isinstance(decoded.ok_value, PublishRoutes):
        table = decoded.ok_value
        apply_table(state, source, table.version, table.document)
        return
    state.record("fleet", "bad_table", source=source)


def _update_streams(state: WatcherState) -> None:
    """Start a stream for each new control daemon and stop those of removed ones."""
    wanted = state.seeds | state.members
    for address in sorted(wanted - set(state.streams)):
        state.streams[address] = spawn(state.tasks, _maintain_stream(state, address))
    for address in sorted(set(state.streams) - wanted):
        state.streams.pop(address).cancel()
        state.last_contact_at.pop(address, None)
        state.members_by_source.pop(address, None)
        state.relays.pop(address, None)
        state.counts_by_source.pop(address, None)
        state.network.close_peer(address)
        _notify_of_services(state, remove_source(state.view, address))


async def _maintain_stream(state: WatcherState, address: str) -> None:
    backoff_s = FIRST_BACKOFF_S
    while True:
        has_received = False
        try:
            has_received = await _run_stream(state, address)
        except Exception:
            # The stream must be opened again, whatever ended it.
            logging.exception("fleet: the stream of %s failed.", address)
        if has_received:
            backoff_s = FIRST_BACKOFF_S
        await asyncio.sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def choose_stream_source(state: WatcherState, address: str) -> str:
    """Return the control daemon from which to receive the stream of ``address``.

    A local stream is received directly. A remote stream is received through a local
    control daemon, the same for all entry daemons of the data centre, if at least
    ``MIN_LOCAL_CONTROL_DAEMONS`` local ones send updates and have named ``address`` as
    a member, and forwarding has not failed within ``DIRECT_STREAM_S``. Otherwise it is
    received directly too.
    """
    local = [
        peer
        for peer in state.last_contact_at
        if _is_local(state, peer)
        and address in state.members_by_source.get(peer, frozenset())
    ]
    is_direct = state.direct_until.get(address, 0.0) > state.clock()
    if is_direct or len(local) < MIN_LOCAL_CONTROL_DAEMONS or _is_local(state, address):
        return address
    return rank_by_rendezvous_hash(address, local)[0]


def _is_local(state: WatcherState, address: str) -> bool:
    return state.data_centres.get(address) == state.own_data_centre


def _note_failed_forwarding(
    state: WatcherState, stream_source: str, address: str, ended: asyncio.Future
) -> None:
    """Open the stream of ``address`` directly from now on, for how long depends.

    A control daemon that doesn't know ``address`` is asked again once it names it.
    """
    outcome = ended.result() if ended.done() else None
    if isinstance(outcome, Err) and outcome.err_value.code is Code.UNKNOWN_MEMBER:
        named = state.members_by_source.get(stream_source, frozenset())
        state.members_by_source[stream_source] = named - {address}
        return
    state.direct_until[address] = state.clock() + DIRECT_STREAM_S


async def _run_stream(state: WatcherState, address: str) -> bool:
    """Run one stream until it ends or times out; return whether it sent an update."""
    loop = asyncio.get_running_loop()
    stream_source = choose_stream_source(state, address)
    payload = DIRECT if stream_source == address else address.encode()
    ended = loop.create_future()
    received_at: list[float] = []
    is_rerouted = [False]
    task = asyncio.current_task()

    def on_item(payload: bytes) -> None:
        if state.streams.get(address) is not task:
            # The control daemon is no member any more, or this daemon stops. What it
            # sent before would stay, as nothing removes it again.
            return
        decoded = decode_update(payload)
        if isinstance(decoded, Err):
            state.record("fleet", "bad_update", source=address)
            return
        if not received_at:
            state.record("fleet", "control_heard", source=address)
        received_at[:] = [loop.time()]
        update, row_errors = decoded.ok_value
        if row_errors:
            state.record(
                "fleet",
                "bad_rows",
                source=address,
                count=len(row_errors),
                reason=row_errors[0].text,
            )
        apply_update(state, address, update)
        if stream_source == address and choose_stream_source(state, address) != address:
            # A local control daemon can forward this stream by now. The event
            # "control_moved" below records that it is opened again through it.
            is_rerouted[:] = [True]
            on_end(None)

    def on_end(outcome) -> None:
        if not ended.done():
            ended.set_result(outcome)

    cancel = state.network.stream(
        stream_source, MessageKind.WATCH_FLEET, payload, on_item, on_end
    )
    started_at = loop.time()
    try:
        while not ended.done():
            last = received_at[0] if received_at else started_at
            remaining_s = last + state.times.stream_timeout_s - loop.time()
            if remaining_s <= 0:
                break
            await asyncio.wait([ended], timeout=remaining_s)
    finally:
        cancel()
        # The connection to a forwarding control daemon carries other streams too, so
        # it stays open.
        if stream_source == address:
            state.network.close_peer(address)
    if is_rerouted[0]:
        state.record("fleet", "control_moved", source=address)
        return True
    if stream_source != address:
        _note_failed_forwarding(state, stream_source, address, ended)
    state.members_by_source.pop(address, None)
    if state.last_contact_at.pop(address, None) is not None:
        state.record("fleet", "control_lost", source=address)
    return bool(received_at)


def _close(state: WatcherState) -> None:
    state.streams.clear()
    cancel_all(state.tasks)


def start_fleet_watcher(
    network: Network,
    record: RecordEvent,
    own_data_centre: DataCentre,
    clock: Callable[[], float],
    on_table: Callable[[TableVersion, bytes], None],
    on_servers: Callable[[set[ServiceName]], None],
    on_relays: Callable[[set[tuple[str, DataCentre]]], None],
    on_contact: Callable[[DataCentre], None],
    times: StreamTimes,
    on_rollouts: OnRollouts = lambda revision, rollouts: None,
) -> FleetWatcher:
    """Return the watcher; it subscribes once ``set_seeds`` names control daemons."""
    state = WatcherState(
        network,
        record,
        own_data_centre,
        clock,
        on_table,
        on_servers,
        on_relays,
        on_contact,
        times,
        on_rollouts,
    )
    started_at = clock()

    def set_seeds(addresses: tuple[str, ...]) -> None:
        state.seeds = frozenset(addresses)
        _update_streams(state)

    def silence_s() -> float:
        return clock() - max(state.last_contact_at.values(), default=started_at)

    return FleetWatcher(
        state=state,
        set_seeds=set_seeds,
        entry_daemons=lambda: get_max_entry_daemon_count(state),
        silence_s=silence_s,
        rollouts_age_s=lambda: clock() - state.rollouts_confirmed_at,
        close=lambda: _close(state),
    )
