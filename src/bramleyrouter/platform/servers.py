"""Pass requests on to backend servers and tell how each ended."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl

from bramleyrouter.edges.servers.multi import (
    HttpCall,
    HttpResult,
    ServerMulti,
    cancel_exchange,
    close_multi,
    limit_connections,
    open_multi,
    start_call,
)
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    ExchangeOutcome,
    Headers,
    OnReply,
    SendToServer,
    ServerReply,
)
from bramleyrouter.ids import ServerId
from bramleyrouter.platform import names

MILLISECONDS = 1000.0
_ID_PREFIX = f"{names.REQUEST_ID}:".lower().encode()
# Lines that curl would add by itself.
_ADDED_BY_CURL = ("Accept", "User-Agent", "Expect", "Content-Type")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass
class _Pools:
    """Hold the connections to each server by its id."""

    servers: dict[ServerId, tuple[str, ServerMulti]] = field(default_factory=dict)


def _pool_of(pools: _Pools, server: ServerRow, max_connections: int) -> ServerMulti:
    known = pools.servers.get(server.server_id)
    if known is not None and known[0] == server.address:
        limit_connections(known[1], max_connections)
        return known[1]
    if known is not None:
        close_multi(known[1], "The server moved to another address.")
    multi = open_multi(server.address, max_connections)
    pools.servers[server.server_id] = (server.address, multi)
    return multi


def request_lines(
    request: CallerRequest, server_id: str, timeout_s: float
) -> list[str]:
    """Return the header lines of a request to a server."""
    lines = [f"Host: {request.host}"]
    given = {"host"}
    for name, value in request.headers:
        lines.append(f"{name}: {value}" if value else f"{name};")
        given.add(name.lower())
    lines.append(f"{names.REQUEST_ID}: {request.request_id}")
    lines.append(f"{names.DEADLINE_MS}: {max(1, int(timeout_s * MILLISECONDS))}")
    lines.append(f"{names.TARGET_INSTANCE}: {server_id}")
    for name in _ADDED_BY_CURL:
        if name.lower() not in given:
            lines.append(f"{name}:")
    return lines


def _split_head(head: tuple[bytes, ...]) -> Headers:
    headers = []
    for line in head[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        if value:
            headers.append((name.strip(), value.strip()))
    return tuple(headers)


def read_reply(end: HttpResult, request_id: str) -> ServerReply:
    """Return what an exchange's end means for the request."""
    if end.error:
        if not end.may_have_run and end.was_queued:
            text = "no connection to the server became free"
            return ServerReply(ExchangeOutcome.UNSENT, text=text)
        if not end.may_have_run:
            return ServerReply(ExchangeOutcome.UNREACHED, text=end.text)
        is_late = end.error == pycurl.E_OPERATION_TIMEDOUT
        kind = ExchangeOutcome.TIMED_OUT if is_late else ExchangeOutcome.LOST
        return ServerReply(kind, text=end.text)
    if not end.head or end.head[-1].strip():
        # curl takes a head that is cut off between two lines for a whole one.
        return ServerReply(
            ExchangeOutcome.LOST, text="the head of the reply is cut off"
        )
    headers = _split_head(end.head)
    fields = {name.lower(): value for name, value in headers}
    cold_s = _read_cold(fields.get(names.WARMUP_MS.lower(), ""))
    if end.status == 421:
        return ServerReply(ExchangeOutcome.MISDIRECTED, end.status)
    if names.NOT_EXECUTED.lower() in fields:
        return ServerReply(ExchangeOutcome.REFUSED, end.status, cold_s=cold_s)
    if fields.get(names.REQUEST_ID.lower(), request_id) != request_id:
        return ServerReply(ExchangeOutcome.LOST, text="the reply is to another request")
    passed_on = tuple(
        (name, value) for name, value in headers if name.lower() not in names.HOP_BY_HOP
    )
    signature = fields.get(names.SERVER_SEAL.lower(), "")
    if 200 <= end.status < 300 and not signature:
        return ServerReply(ExchangeOutcome.LOST, text="a success without a signature")
    return ServerReply(
        ExchangeOutcome.ANSWERED, end.status, passed_on, end.body, signature, cold_s
    )


def _read_cold(text: str) -> float:
    try:
        return max(0.0, float(text) / MILLISECONDS) if text else 0.0
    except ValueError:
        # A server that can't say it is not taken for cold.
        return 0.0


def build_transport() -> tuple[SendToServer, Callable[[set[ServerId]], None]]:
    """Return the transport, and a closure that closes pools not in use.

    The closure takes the ids of the servers that are still known.
    """
    pools = _Pools()

    def transport(
        server: ServerRow,
        request: CallerRequest,
        timeout_s: float,
        max_connections: int,
        on_reply: OnReply,
    ) -> Callable[[], None]:
        multi = _pool_of(pools, server, max_connections)
        own_id = request.request_id.encode()

        def accepts_line(line: bytes) -> bool:
            if line[: len(_ID_PREFIX)].lower() != _ID_PREFIX:
                return True
            return line[len(_ID_PREFIX) :].strip() == own_id

        call = HttpCall(
            request.method,
            request.target,
            request_lines(request, server.server_id, timeout_s),
            request.body if request.has_body else None,
            accepts_line,
        )
        exchange = start_call(
            multi,
            call,
            timeout_s,
            lambda end: on_reply(read_reply(end, request.request_id)),
            is_fresh=request.method not in _IDEMPOTENT_METHODS,
        )
        return lambda: cancel_exchange(multi, exchange)

    def keep_only(server_ids: set[ServerId]) -> None:
        for server_id in set(pools.servers) - server_ids:
            multi = pools.servers[server_id][1]
            if not multi.active:
                del pools.servers[server_id]
                close_multi(multi, "The server is gone.")

    return transport, keep_only
