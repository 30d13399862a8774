"""Fake backend servers and a gateway harness in virtual time."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.gateway.budgets import ExtraLimits
from bramleyrouter.gateway.build import GatewayHandle, build_gateway
from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    ExchangeOutcome,
    GatewayReply,
    ServerReply,
)
from bramleyrouter.gateway.gateways import GatewayLimits
from bramleyrouter.gateway.server_choice import keep_listed_order
from bramleyrouter.gateway.tables import (
    RequestKind,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from bramleyrouter.ids import (
    DataCentre,
    ServerId,
    ServerIncarnation,
    ServiceName,
    TableVersion,
)

# The gateway under test is in the data centre HERE.
HERE, THERE, ELSEWHERE = DataCentre("here"), DataCentre("there"), DataCentre("else")
HOST = "search.example"
DEFAULT_EXTRA = ExtraLimits(0.2, 50.0, 10.0)
KEEPALIVE_INTERVAL_S = 0.7
OWN_ADDRESS = "10.1.0.1:7380"
RECORD = b"0123456789abcdef"

# Maps an arrival to the delay of the reply in seconds and the reply; none instead of a
# reply means that the server never replies.
Behaviour = Callable[["Arrival"], tuple[float, ServerReply | None]]


@dataclass
class Arrival:
    """Hold one request that reached a server."""

    server: ServerRow
    request: CallerRequest
    timeout_s: float
    at: float
    is_cancelled: bool = False


def build_answer(server: ServerRow, body: bytes = RECORD, status: int = 200):
    """Build a complete and signed reply of ``server``."""
    signature = f"sig-{server.service}-{server.server_id}"
    return ServerReply(ExchangeOutcome.ANSWERED, status, (), body, signature)


def answer_after(delay_s: float) -> Behaviour:
    """Return the behaviour of replying successfully after ``delay_s`` seconds."""
    return lambda arrival: (delay_s, build_answer(arrival.server))


def end_with(outcome: ExchangeOutcome, delay_s: float = 0.001) -> Behaviour:
    """Return the behaviour of ending exchanges with ``outcome`` after a delay."""
    return lambda arrival: (delay_s, ServerReply(outcome))


def never_answer(arrival: Arrival) -> tuple[float, None]:
    """Never reply, as an unreachable server."""
    return 0.0, None


@dataclass
class FakeServers:
    """Hold the servers' behaviours by id and record the requests that arrive."""

    loop: asyncio.AbstractEventLoop
    behaviours: dict[str, Behaviour] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)

    def send_to_server(
        self, server, request, timeout_s, max_connections, on_reply, may_send=None
    ):
        """Replace the platform's ``SendToServer``."""
        if may_send is not None and not may_send():
            unsent = ServerReply(ExchangeOutcome.UNSENT)
            return self.loop.call_soon(on_reply, unsent).cancel
        arrival = Arrival(server, request, timeout_s, self.loop.time())
        self.arrivals.append(arrival)
        behaviour = self.behaviours.get(server.server_id, answer_after(0.01))
        delay_s, reply = behaviour(arrival)
        if reply is None or delay_s >= timeout_s:
            delay_s, reply = timeout_s, ServerReply(ExchangeOutcome.TIMED_OUT)
        timer = self.loop.call_later(delay_s, on_reply, reply)

        def cancel():
            arrival.is_cancelled = True
            timer.cancel()

        return cancel

    def get_arrivals(self, server_id) -> list[Arrival]:
        """Return the requests that arrived at one server."""
        return [item for item in self.arrivals if item.server.server_id == server_id]


def build_row(server_id, service="s0", data_centre=HERE, **fields) -> ServerRow:
    """Build the row of a ready server."""
    values = {
        "incarnation": ServerIncarnation(1),
        "sequence": 1,
        "address": f"10.0.0.{sum(server_id.encode()) % 250}:{len(server_id)}",
        "slots": 2,
        "phase": ServerPhase.READY,
        **fields,
    }
    return ServerRow(
        server_id=ServerId(server_id),
        service=ServiceName(service),
        data_centre=data_centre,
        **values,
    )


def build_route(**fields) -> Route:
    """Build a route with defaults; it is idempotent and still needs a target."""
    values = {
        "name": "r",
        "host": HOST,
        "prefix": "/a/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "objective_s": 0.1,
        "priority": 1,
        "attempts": 2,
        **fields,
    }
    return Route(**values)


def build_single_route(service="s0", **fields) -> Route:
    """Build a route to one service."""
    return build_route(targets=(WeightedService(ServiceName(service)),), **fields)


def build_gather_route(shards: int, **fields) -> Route:
    """Build a gather route over ``shards`` services named s0, s1 and so on."""
    names = tuple(ServiceName(f"s{at}") for at in range(shards))
    values = {"shards": names, "top_records": 5, "min_coverage": 0.75, **fields}
    return build_route(**values)


def build_request(
    path="/a/x", deadline_s=1.0, request_id="q1", **fields
) -> CallerRequest:
    """Build a caller's request."""
    values = {
        "method": "GET",
        "host": HOST,
        "headers": (),
        "body": b"",
        "has_body": False,
        **fields,
    }
    return CallerRequest(
        request_id=request_id, target=path, deadline_s=deadline_s, **values
    )


@dataclass
class GatewayHarness:
    """Hold a gateway with its fake servers and the events that it recorded."""

    servers: FakeServers
    gateway: GatewayHandle
    events: list[tuple[str, dict]]
    streams: list = field(default_factory=list)

    def set_rows(self, rows) -> None:
        """Set the announced servers of all services in ``rows``."""
        by_service: dict = {}
        for item in rows:
            by_service.setdefault(item.service, []).append(item)
        for service, known in by_service.items():
            self.gateway.set_servers(service, known)

    async def send_request(
        self, caller_request: CallerRequest | None = None
    ) -> GatewayReply:
        """Send a request and wait for its reply."""
        fut = asyncio.get_running_loop().create_future()
        self.gateway.handle(caller_request or build_request(), fut.set_result)
        return await fut


def build_harness(
    routes,
    rows,
    services=None,
    extra=DEFAULT_EXTRA,
    entry_daemons=1,
    out=(),
    open_stream=None,
    send_grant=None,
    memory=None,
    customers=(),
    acquire_permit=None,
) -> GatewayHarness:
    """Build a gateway with fake servers on the running event loop.

    The gateway starts one budget window in the past, so that its full budget is
    available.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    loop.virtual_now -= extra.window_s
    servers = FakeServers(loop)
    events: list[tuple[str, dict]] = []

    def record(part, event, **fields):
        events.append((event, fields))

    def fail_on_stream(address, payload, on_item, on_end):
        raise AssertionError("no relay is known")

    gateway = build_gateway(
        loop,
        GatewayLimits(
            HERE,
            OWN_ADDRESS,
            (HERE, THERE, ELSEWHERE),
            KEEPALIVE_INTERVAL_S,
            1.0,
            1.5,
            5.0,
        ),
        extra,
        servers.send_to_server,
        random.Random(1),
        record,
        record,
        lambda route, outcome, waited_s, coverage: events.append(
            ("observed", {"route": route, "outcome": outcome, "coverage": coverage})
        ),
        lambda: frozenset(out),
        lambda: entry_daemons,
        open_stream or fail_on_stream,
        send_grant or (lambda address, payload: None),
        lambda: False,
        memory,
        acquire_permit=acquire_permit,
        # Tests script servers by name and expect the first of similar ones.
        compute_order=keep_listed_order,
    )
    names = {name for item in routes for name in item.shards}
    names |= {part.service for item in routes for part in item.targets}
    loop.virtual_now = started_at
    known = services or tuple(Service(name, 16) for name in sorted(names))
    table = RouteTable(TableVersion(1), tuple(routes), known, customers=customers)
    gateway.set_table(table)
    harness = GatewayHarness(servers, gateway, events)
    harness.set_rows(rows)
    return harness
