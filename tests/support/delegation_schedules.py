"""Play requests over requesting daemons, relays and servers on seeded schedules.

Every frame between two daemons may be delayed, lost or overtake another one, links
break, and each daemon may be paused at any step or restarted. All daemons share one
virtual clock; a paused daemon handles its frames, timers and replies afterwards.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.build import GatewayHandle, build_gateway
from bramleyrouter.gateway.exchanges import (
    NOT_ARRIVED,
    NOT_RUN,
    ExchangeOutcome,
    GatewayReply,
    ServerReply,
)
from bramleyrouter.gateway.gateways import GatewayLimits
from bramleyrouter.gateway.tables import RouteTable, Service
from bramleyrouter.ids import DaemonId, DataCentre, ServiceName, TableVersion
from bramleyrouter.wire.envelopes import Envelope, FrameType
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.links import HandlerTable, Link
from bramleyrouter.wire.network import Peer
from tests.support.gateway_fakes import (
    DEFAULT_EXTRA,
    ELSEWHERE,
    HERE,
    THERE,
    build_answer,
    build_gather_route,
    build_request,
    build_row,
)

DAEMONS = {
    "10.1.0.1:7380": HERE,
    "10.1.0.2:7380": HERE,
    "10.2.0.1:7380": THERE,
    "10.2.0.2:7380": THERE,
    "10.3.0.1:7380": ELSEWHERE,
}
SHARDS = 15
REQUESTS = 12
REQUEST_INTERVAL_S = 0.15
# Probability of each fault of a frame; the others arrive within 2 ms.
DELAYED_SHARE, LOST_SHARE = 0.25, 0.05
MAX_DELAY_S = 0.3
# Longest time after which a caller that does not wait for its reply leaves.
MAX_PATIENCE_S = 0.15


class Load(NamedTuple):
    """Describe the requests of a run.

    They are sent to the first ``daemons`` daemons in turn, at an interval in seconds.
    Each caller leaves before the end of its request with a probability of
    ``leaving_share``. ``extra`` is the bound on extra sends.
    """

    requests: int = REQUESTS
    interval_s: float = REQUEST_INTERVAL_S
    daemons: int = 1
    leaving_share: float = 0.0
    extra: ExtraLimits = DEFAULT_EXTRA


DEFAULT_LOAD = Load()


class ServerArrival(NamedTuple):
    """Describe a request that reached a server; ``at`` is a loop time in seconds."""

    at: float
    service: ServiceName
    request_id: str


@dataclass
class Process:
    """Hold one run of a daemon; a restart replaces it."""

    loop: asyncio.AbstractEventLoop
    paused_until: float = 0.0
    is_dead: bool = False
    delayed: list = field(default_factory=list)

    def run(self, action, *args):
        """Run an action, after the pause if the process is paused."""
        if self.is_dead:
            return
        if self.loop.time() >= self.paused_until and not self.delayed:
            action(*args)
            return
        if not self.delayed:
            self.loop.call_at(self.paused_until, self._resume)
        self.delayed.append((action, args))

    def _resume(self):
        if self.loop.time() < self.paused_until:
            self.loop.call_at(self.paused_until, self._resume)
            return
        delayed, self.delayed = self.delayed, []
        for action, args in delayed:
            if not self.is_dead:
                action(*args)


class _Timer:
    """Cancel a timer also while its callback waits for the end of a pause."""

    def __init__(self, process, callback, args):
        self._process, self._callback, self._args = process, callback, args
        self._is_cancelled = False
        self.handle = None

    def fire(self):
        self._process.run(self._call)

    def _call(self):
        if not self._is_cancelled:
            self._callback(*self._args)

    def cancel(self):
        self._is_cancelled = True
        self.handle.cancel()


class PausableLoop:
    """Offer the event loop's methods that the gateway uses, subject to pauses."""

    def __init__(self, process):
        self._process, self._loop = process, process.loop
        self.time = self._loop.time
        self.create_future = self._loop.create_future

    def call_at(self, when, callback, *args):
        """Schedule a callback as the event loop does."""
        timer = _Timer(self._process, callback, args)
        timer.handle = self._loop.call_at(when, timer.fire)
        return timer

    def call_later(self, delay, callback, *args):
        """Schedule a callback as the event loop does."""
        return self.call_at(self.time() + delay, callback, *args)

    def call_soon(self, callback, *args):
        """Schedule a callback as the event loop does."""
        return self.call_at(self.time(), callback, *args)


@dataclass
class Schedule:
    """Hold the daemons of one seeded run, and what reached the servers.

    ``runs`` holds the servers at which a shard of a request ran, by request id and
    shard. ``replies`` counts the replies that callers got, and ``requested_at`` holds
    the loop times at which they sent their requests.
    """

    seed: int
    attempts: int = 2
    load: Load = DEFAULT_LOAD
    rng: random.Random = field(init=False)
    caller_rng: random.Random = field(init=False)
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)
    processes: dict[str, Process] = field(default_factory=dict)
    gateways: dict[str, GatewayHandle] = field(default_factory=dict)
    handlers: dict[str, HandlerTable] = field(default_factory=dict)
    links: dict[tuple[str, str], tuple[Link, Link]] = field(default_factory=dict)
    runs: dict[tuple[str, str], set[str]] = field(default_factory=dict)
    arrivals: list[ServerArrival] = field(default_factory=list)
    requested_at: list[float] = field(default_factory=list)
    replies: Counter = field(default_factory=Counter)
    kinds: Counter = field(default_factory=Counter)
    events: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.caller_rng = random.Random(f"callers {self.seed}")
        self.is_ordered = self.rng.random() < 0.5
        for address in DAEMONS:
            self.start(address)

    def start(self, address):
        """Start a daemon; a previous run of it is killed."""
        if address in self.processes:
            self.processes[address].is_dead = True
            for pair in [pair for pair in self.links if address in pair]:
                links = self.links.pop(pair)
                links[pair.index(address)].close()
                other = pair[1 - pair.index(address)]
                self.processes[other].run(links[1 - pair.index(address)].close)
        process = self.processes[address] = Process(self.loop)
        self.gateways[address] = _build_daemon(self, address, process)

    def break_links(self, pair):
        """Break the connection from one daemon to another."""
        for link, address in zip(self.links.pop(pair, ()), pair, strict=False):
            self.processes[address].run(link.close)

    def get_link(self, source, target) -> Link:
        """Return the connection from ``source`` to ``target``; open it if needed."""
        pair = (source, target)
        if pair in self.links and self.links[pair][0].is_open:
            return self.links[pair][0]
        due = {source: 0.0, target: 0.0}
        peer = Peer(DaemonId(source), DAEMONS[source], source)

        def build_write(to, get_receiver):
            process = self.processes[to]

            def write(envelope):
                fate = self.rng.random()
                if fate < LOST_SHARE:
                    return
                delay_s = self.rng.uniform(0.0002, 0.002)
                if fate < LOST_SHARE + DELAYED_SHARE:
                    delay_s = self.rng.uniform(0.002, MAX_DELAY_S)
                at = self.loop.time() + delay_s
                if self.is_ordered:
                    at = due[to] = max(due[to] + 1e-7, at)
                self.loop.call_at(at, process.run, receive, envelope)

            def receive(envelope):
                if get_receiver().is_open:
                    get_receiver().receive(envelope)

            return write

        client = Link(
            Peer(DaemonId(target), DAEMONS[target], target),
            build_write(target, lambda: server),
            self.handlers[source],
        )
        server = Link(peer, build_write(source, lambda: client), self.handlers[target])
        self.links[pair] = (client, server)
        return client

    def build_send_to_server(self, process):
        """Return a ``SendToServer`` whose servers reply, fail or stay silent."""

        def send_to_server(
            server, request, timeout_s, max_connections, on_reply, may_send
        ):
            outcome, delay_s = _choose_outcome(self.rng)
            if outcome not in NOT_ARRIVED:
                now, request_id = self.loop.time(), request.request_id
                self.arrivals.append(ServerArrival(now, server.service, request_id))
            if outcome not in NOT_RUN:
                key = (request.request_id, server.service)
                self.runs.setdefault(key, set()).add(server.server_id)
            reply = ServerReply(outcome)
            if outcome is ExchangeOutcome.ANSWERED:
                reply = build_answer(server)
            if delay_s >= timeout_s:
                delay_s, reply = timeout_s, ServerReply(ExchangeOutcome.TIMED_OUT)
            loop = PausableLoop(process)
            return loop.call_later(delay_s, on_reply, reply).cancel

        return send_to_server


def _choose_outcome(rng) -> tuple[ExchangeOutcome, float]:
    """Return how an exchange ends and after how many seconds."""
    fate = rng.random()
    if fate < 0.65:
        return ExchangeOutcome.ANSWERED, rng.uniform(0.005, 0.03)
    if fate < 0.8:
        return ExchangeOutcome.ANSWERED, rng.uniform(0.03, 0.4)
    if fate < 0.9:
        return ExchangeOutcome.LOST, rng.uniform(0.001, 0.05)
    if fate < 0.95:
        return ExchangeOutcome.REFUSED, rng.uniform(0.001, 0.01)
    return ExchangeOutcome.UNREACHED, rng.uniform(0.001, 0.01)


def build_rows() -> list[ServerRow]:
    """Build four servers of each shard; each data centre is nearest to a third."""
    centres = (HERE, THERE, ELSEWHERE)
    rows = []
    for at in range(SHARDS):
        own, other = centres[at % 3], centres[(at + 1) % 3]
        for name, data_centre in (("a", own), ("b", own), ("c", other), ("d", own)):
            rows.append(build_row(f"{name}{at}", f"s{at}", data_centre))
    return rows


def _build_daemon(schedule: Schedule, address: str, process: Process) -> GatewayHandle:
    loop = schedule.loop
    handlers = schedule.handlers[address] = HandlerTable()

    def open_stream(target, payload, on_item, on_end):
        link = schedule.get_link(address, target)
        return link.open_stream(MessageKind.GATHER_SHARDS, payload, on_item, on_end)

    def send_grant(target, payload):
        frame = Envelope(FrameType.ONE_WAY, MessageKind.GRANT_ATTEMPTS, 0, payload)
        schedule.get_link(address, target).write(frame)

    started_at = loop.time()
    # The gateway starts one budget window in the past, so that its budget is full.
    loop.virtual_now -= schedule.load.extra.window_s
    gateway = build_gateway(
        PausableLoop(process),
        GatewayLimits(
            DAEMONS[address],
            address,
            (HERE, THERE, ELSEWHERE),
            0.7,
            1.0,
            1.5,
            5.0,
        ),
        schedule.load.extra,
        schedule.build_send_to_server(process),
        random.Random(schedule.rng.random()),
        lambda part, event, **fields: schedule.events.update([event]),
        lambda part, event, **fields: schedule.events.update([event]),
        lambda route, outcome, waited_s, coverage: None,
        frozenset,
        lambda: len(DAEMONS),
        open_stream,
        send_grant,
        lambda: False,
    )
    loop.virtual_now = started_at
    handlers.streams[MessageKind.GATHER_SHARDS] = gateway.serve_delegated
    handlers.calls[MessageKind.GRANT_ATTEMPTS] = gateway.handle_grant
    services = tuple(Service(ServiceName(f"s{at}"), 64) for at in range(SHARDS))
    route = build_gather_route(SHARDS, attempts=schedule.attempts, min_coverage=0.6)
    gateway.set_table(RouteTable(TableVersion(1), (route,), services))
    by_service: dict[ServiceName, list[ServerRow]] = {}
    for row in build_rows():
        by_service.setdefault(row.service, []).append(row)
    for service, rows in by_service.items():
        gateway.set_servers(service, rows)
    gateway.set_relays([(name, DataCentre(centre)) for name, centre in DAEMONS.items()])
    return gateway


async def play(
    seed: int,
    attempts: int = 2,
    restarts_of_requesting_daemon: int = 0,
    load: Load = DEFAULT_LOAD,
) -> Schedule:
    """Send requests while the daemons are disturbed; return what happened.

    A restart of the first daemon leaves its callers of that time without a reply.
    """
    schedule = Schedule(seed, attempts, load)
    rng, loop = schedule.rng, schedule.loop
    addresses = list(DAEMONS)
    end = load.requests * load.interval_s

    def pause(address, duration_s):
        process = schedule.processes[address]
        process.paused_until = max(process.paused_until, loop.time() + duration_s)

    for _ in range(10):
        at = loop.time() + rng.uniform(0, end)
        loop.call_at(at, pause, rng.choice(addresses), rng.uniform(0.005, 0.3))
    for _ in range(rng.randint(0, 3)):
        pair = tuple(rng.sample(addresses, 2))
        loop.call_at(loop.time() + rng.uniform(0, end), schedule.break_links, pair)
    if rng.random() < 0.3:
        name = rng.choice(addresses[1:])
        loop.call_at(loop.time() + rng.uniform(0, end), schedule.start, name)
    for _ in range(restarts_of_requesting_daemon):
        at = loop.time() + rng.uniform(0, end)
        loop.call_at(at, schedule.start, addresses[0])
    for number in range(load.requests):
        _send(schedule, f"q{number}", addresses[number % load.daemons])
        await asyncio.sleep(load.interval_s)
    await asyncio.sleep(3.0)
    return schedule


def _send(schedule: Schedule, request_id: str, address: str) -> None:
    def on_reply(reply: GatewayReply) -> None:
        schedule.replies[request_id] += 1
        schedule.kinds[reply.kind] += 1

    process, request = schedule.processes[address], build_request(request_id=request_id)
    cancels = []

    def start() -> None:
        handle = schedule.gateways[address].handle
        cancels.append(handle(request, on_reply))

    def leave() -> None:
        # Without an entry, the caller left before the daemon read its request.
        for cancel in cancels:
            cancel()

    schedule.requested_at.append(schedule.loop.time())
    process.run(start)
    rng = schedule.caller_rng
    if rng.random() < schedule.load.leaving_share:
        patience_s = rng.uniform(0.0, MAX_PATIENCE_S)
        schedule.loop.call_later(patience_s, process.run, leave)
