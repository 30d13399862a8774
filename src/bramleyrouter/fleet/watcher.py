"""Follow the streams of all control daemons and keep the newest of all.

An entry daemon listens to every control daemon at once. So it needs no
failover: any one of them that can be reached is enough, and a frozen, cut off
or restarted one delays nothing.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Err, Ok

from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.control.codecs import decode_command
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.fleet.messages import DIRECT, Update, decode_update
from bramleyrouter.fleet.views import FleetView, apply_rows, drop_source
from bramleyrouter.ids import DataCentre, ServiceName, TableVersion
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.rendezvous import rank_by_rendezvous_hash
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Pauses between two attempts at one control daemon, in seconds.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.3
# How long the table of a version that another control daemon named may take
# on the stream of the own data centre before it is fetched, in seconds.
TABLE_GRACE_S = 0.25
FETCH_TIMEOUT_S = 0.5
# Control daemons nearby from which on they pass the streams of far ones on. One
# alone would take all streams along when it ends.
MIN_NEAR = 2
# How long a far control daemon is followed directly after one nearby failed to
# pass its stream on, in seconds.
DIRECT_S = 10.0
# How long a number of entry daemons is remembered, in seconds, and the number
# that is assumed before any control daemon told one.
COUNT_KEPT_S = 20.0
ASSUMED_DAEMONS = 16


@dataclass
class WatcherState:
    """Hold what one entry daemon learnt and from whom."""

    network: Network
    record: RecordEvent
    own_data_centre: DataCentre
    clock: Callable[[], float]
    on_table: Callable[[TableVersion, bytes], None]
    on_servers: Callable[[set[ServiceName]], None]
    on_relays: Callable[[set[tuple[str, DataCentre]]], None]
    on_contact: Callable[[DataCentre], None]
    times: StreamTimes
    view: FleetView = field(default_factory=FleetView)
    # Data centre of each control daemon that was heard.
    centres: dict[str, DataCentre] = field(default_factory=dict)
    seeds: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()
    members_index: int = -1
    last_contact_at: dict[str, float] = field(default_factory=dict)
    table_version: TableVersion = TableVersion(-1)
    # The version that is being fetched from a control daemon.
    fetching: dict[str, TableVersion] = field(default_factory=dict)
    revision: int = -1
    data_centres_out: frozenset[DataCentre] = frozenset()
    # Loop time, and the entry daemons of each data centre that any one control
    # daemon counted then, added up.
    entry_counts: deque[tuple[float, int]] = field(default_factory=deque)
    counts: dict[str, dict[DataCentre, int]] = field(default_factory=dict)
    # Loop time until which a far control daemon is followed directly, since the one
    # nearby could not pass its stream on.
    direct_until: dict[str, float] = field(default_factory=dict)
    relays: dict[str, tuple[tuple[str, DataCentre], ...]] = field(default_factory=dict)
    streams: dict[str, asyncio.Task] = field(default_factory=dict)
    group: BackgroundTasks = field(default_factory=lambda: BackgroundTasks("fleet"))


class FleetWatcher(NamedTuple):
    """Bundle what ``start_fleet_watcher`` returns.

    ``entry_daemons()`` is the number of entry daemons, at least 1.
    ``silence_s()`` is the time since any control daemon was last heard.
    """

    watch: WatcherState
    set_seeds: Callable[[tuple[str, ...]], None]
    entry_daemons: Callable[[], int]
    silence_s: Callable[[], float]
    close: Callable[[], None]


def take_update(watch: WatcherState, source: str, update: Update) -> None:
    """Apply one update of the control daemon at ``source``."""
    watch.last_contact_at[source] = watch.clock()
    if update.data_centre is not None:
        watch.centres[source] = update.data_centre
    if source in watch.centres:
        watch.on_contact(watch.centres[source])
    if update.rows or update.is_full:
        changed = apply_rows(watch.view, source, update.rows, update.is_full)
        if changed:
            watch.on_servers(changed)
    if update.revision is not None and update.revision > watch.revision:
        watch.revision = update.revision
        watch.data_centres_out = frozenset(update.data_centres_out)
        watch.record(
            "fleet",
            "availability",
            revision=update.revision,
            data_centres_out=sorted(update.data_centres_out),
            source=source,
        )
    if update.entry_daemons is not None:
        watch.counts[source] = update.entry_daemons
        watch.entry_counts.append((watch.clock(), _add_up(watch.counts.values())))
    if update.relays is not None:
        watch.relays[source] = update.relays
        _tell_relays(watch)
    if update.members_index is not None and update.members_index > watch.members_index:
        watch.members_index = update.members_index
        watch.members = frozenset(update.members)
        _follow(watch)
    if update.table_version is not None:
        _take_version(watch, source, update.table_version)


def count_entry_daemons(watch: WatcherState) -> int:
    """Return the largest number that was told lately.

    What all entry daemons share is divided by it, so a number that is too small
    would break a bound, and one that is too large only wastes a little.
    """
    oldest = watch.clock() - COUNT_KEPT_S
    while len(watch.entry_counts) > 1 and watch.entry_counts[0][0] < oldest:
        watch.entry_counts.popleft()
    return max((count for _, count in watch.entry_counts), default=ASSUMED_DAEMONS)


def _add_up(counts: Iterable[dict[DataCentre, int]]) -> int:
    """Return the entry daemons of all data centres.

    Entry daemons that follow a control daemon through another one are not known
    to it; those of a data centre are counted by the one that knows most.
    """
    most: dict[DataCentre, int] = {}
    for told in counts:
        for data_centre, count in told.items():
            most[data_centre] = max(most.get(data_centre, 0), count)
    return max(1, sum(most.values()))


def _tell_relays(watch: WatcherState) -> None:
    """Name the relays that any control daemon knows."""
    watch.on_relays({relay for told in watch.relays.values() for relay in told})


def _take_version(watch: WatcherState, source: str, version: TableVersion) -> None:
    """Fetch a newer table: at once inside the data centre, else a little later.

    Nearly always the control daemon of the own data centre names the version
    within that time, which keeps tables off the links between data centres.
    """
    if version <= watch.table_version:
        return
    near = {at for at in watch.last_contact_at if _is_near(watch, at)}
    is_waited_for = near and source not in near
    delay_s = TABLE_GRACE_S if is_waited_for else 0.0
    spawn(watch.group, _fetch(watch, source, version, delay_s))


def take_table(
    watch: WatcherState, source: str, version: TableVersion, document: bytes
) -> None:
    """Put a newer route table in force; an older one changes nothing."""
    if version <= watch.table_version or not document:
        return
    watch.table_version = version
    watch.record("fleet", "table", version=version, source=source)
    watch.on_table(version, document)


async def _fetch(
    watch: WatcherState, source: str, version: TableVersion, delay_s: float
) -> None:
    """Fetch the table of ``source`` unless another one brought it meanwhile."""
    await asyncio.sleep(delay_s)
    while watch.table_version < version and source in watch.last_contact_at:
        if watch.fetching.get(source, -1) >= version:
            return
        watch.fetching[source] = version
        reply = await call_with_timeout(
            watch.network, source, MessageKind.FETCH_ROUTES, b"", FETCH_TIMEOUT_S
        )
        watch.fetching.pop(source, None)
        if isinstance(reply, Ok):
            _take_reply(watch, source, reply.ok_value)
        else:
            watch.record("fleet", "fetch_failed", source=source, version=version)
            await asyncio.sleep(FIRST_PAUSE_S)


def _take_reply(watch: WatcherState, source: str, payload: bytes) -> None:
    decoded = decode_command(payload)
    if isinstance(decoded, Ok) and isinstance(decoded.ok_value, PublishRoutes):
        table = decoded.ok_value
        take_table(watch, source, table.version, table.document)
        return
    watch.record("fleet", "bad_table", source=source)


def _follow(watch: WatcherState) -> None:
    """Keep one stream to each control daemon, and none to former ones."""
    wanted = watch.seeds | watch.members
    for address in wanted - set(watch.streams):
        watch.streams[address] = spawn(watch.group, _keep_stream(watch, address))
    for address in set(watch.streams) - wanted:
        watch.streams.pop(address).cancel()
        watch.last_contact_at.pop(address, None)
        watch.relays.pop(address, None)
        watch.counts.pop(address, None)
        watch.network.close_peer(address)
        changed = drop_source(watch.view, address)
        if changed:
            watch.on_servers(changed)


async def _keep_stream(watch: WatcherState, address: str) -> None:
    pause_s = FIRST_PAUSE_S
    while True:
        is_heard = await _run_stream(watch, address)
        if is_heard:
            pause_s = FIRST_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)


def choose_path(watch: WatcherState, address: str) -> str:
    """Return the control daemon that is asked for the stream of ``address``.

    It is ``address`` itself, but where two or more are heard nearby, one of
    those passes the stream of a far one on, the same to all of the data centre.
    """
    near = [at for at in watch.last_contact_at if _is_near(watch, at)]
    is_direct = watch.direct_until.get(address, 0.0) > watch.clock()
    if is_direct or len(near) < MIN_NEAR or _is_near(watch, address):
        return address
    return rank_by_rendezvous_hash(address, near)[0]


def _is_near(watch: WatcherState, address: str) -> bool:
    return watch.centres.get(address) == watch.own_data_centre


async def _run_stream(watch: WatcherState, address: str) -> bool:
    """Follow one stream until it ends or falls silent; say whether it spoke."""
    loop = asyncio.get_running_loop()
    path = choose_path(watch, address)
    payload = DIRECT if path == address else address.encode()
    ended = loop.create_future()
    heard: list[float] = []
    is_moving = [False]

    def on_item(payload: bytes) -> None:
        decoded = decode_update(payload)
        if isinstance(decoded, Err):
            watch.record("fleet", "bad_update", source=address)
            return
        if not heard:
            watch.record("fleet", "control_heard", source=address)
        heard[:] = [loop.time()]
        take_update(watch, address, decoded.ok_value)
        if path == address and choose_path(watch, address) != address:
            # One nearby can pass it on by now.
            is_moving[:] = [True]
            on_end(None)

    def on_end(outcome) -> None:
        if not ended.done():
            ended.set_result(outcome)

    cancel = watch.network.stream(
        path, MessageKind.WATCH_FLEET, payload, on_item, on_end
    )
    started = loop.time()
    try:
        while not ended.done():
            last = heard[0] if heard else started
            left_s = last + watch.times.stream_timeout_s - loop.time()
            if left_s <= 0:
                break
            await asyncio.wait([ended], timeout=left_s)
    finally:
        cancel()
        # The connection to one nearby carries other streams too.
        if path == address:
            watch.network.close_peer(address)
    if is_moving[0]:
        watch.record("fleet", "control_moved", source=address)
        return True
    if path != address:
        watch.direct_until[address] = loop.time() + DIRECT_S
    if watch.last_contact_at.pop(address, None) is not None:
        watch.record("fleet", "control_lost", source=address)
    return bool(heard)


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
) -> FleetWatcher:
    """Follow the control daemons; ``set_seeds`` names the first of them."""
    watch = WatcherState(
        network,
        record,
        own_data_centre,
        clock,
        on_table,
        on_servers,
        on_relays,
        on_contact,
        times,
    )
    started = clock()

    def set_seeds(addresses: tuple[str, ...]) -> None:
        watch.seeds = frozenset(addresses)
        _follow(watch)

    def silence_s() -> float:
        return clock() - max(watch.last_contact_at.values(), default=started)

    return FleetWatcher(
        watch=watch,
        set_seeds=set_seeds,
        entry_daemons=lambda: count_entry_daemons(watch),
        silence_s=silence_s,
        close=lambda: cancel_all(watch.group),
    )
