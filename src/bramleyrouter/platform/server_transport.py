"""Forward requests to backend servers and report the outcome of each."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyrouter.edges.servers.forwarding import (
    ExchangeEnd,
    ForwardedReply,
    ForwardedRequest,
    Pool,
    cancel_exchange,
    close_pool,
    is_in_use,
    limit_connections,
    open_pool,
    start_exchange,
)
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.gateway.exchanges import (
    CallerRequest,
    ExchangeOutcome,
    MaySend,
    OnReply,
    SendToServer,
    ServerReply,
)
from bramleyrouter.ids import ServerId
from bramleyrouter.platform import names
from bramleyrouter.utils.byte_budgets import ByteBudget

MS_PER_SECOND = 1000.0
# Maps each byte of a head to one character, as the callers' listener does.
HEAD_ENCODING = "latin-1"
_REQUEST_ID = names.REQUEST_ID.lower().encode()
# Longest time for which a server may ask for no requests, in seconds. A server that
# sends a senseless time does not stay unused for good.
MAX_RETRY_AFTER_S = 3600.0
MAX_COLD_S = 3600.0
_DECIMAL = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")
_WARMUP_MS = names.WARMUP_MS.lower().encode()
_SERVER_LEAVING = names.SERVER_LEAVING.lower().encode()
_RETRY_AFTER = names.RETRY_AFTER.lower().encode()
_NOT_EXECUTED = names.NOT_EXECUTED.lower().encode()
_SERVER_SEAL = names.SERVER_SEAL.lower().encode()
_HOP_BY_HOP = frozenset(name.encode() for name in names.HOP_BY_HOP)
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


_OUTCOMES = {
    ExchangeEnd.UNSENT: ExchangeOutcome.UNSENT,
    ExchangeEnd.UNREACHED: ExchangeOutcome.UNREACHED,
    ExchangeEnd.LOST: ExchangeOutcome.LOST,
    ExchangeEnd.TIMED_OUT: ExchangeOutcome.TIMED_OUT,
}


@dataclass
class _ConnectionPools:
    """Store the address and connections of each server by its id."""

    memory: ByteBudget
    servers: dict[ServerId, tuple[str, Pool]] = field(default_factory=dict)


def _get_pool(pools: _ConnectionPools, server: ServerRow, max_connections: int) -> Pool:
    existing = pools.servers.get(server.server_id)
    if existing is not None and existing[0] == server.address:
        pool = existing[1]
        if pool.max_connections != max_connections:
            limit_connections(pool, max_connections)
        return pool
    if existing is not None:
        close_pool(existing[1], "The server moved to another address.")
    pool = open_pool(server.address, max_connections, pools.memory)
    pools.servers[server.server_id] = (server.address, pool)
    return pool


def encode_request(request: CallerRequest, server_id: str, timeout_s: float) -> bytes:
    """Encode a request to a server: the caller's headers, and the platform's own."""
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{names.REQUEST_ID}: {request.request_id}")
    lines.append(f"{names.DEADLINE_MS}: {max(1, int(timeout_s * MS_PER_SECOND))}")
    lines.append(f"{names.TARGET_INSTANCE}: {server_id}")
    if request.customer:
        # The bytes of the name are those of its UTF-8 encoding.
        customer = request.customer.encode().decode(HEAD_ENCODING)
        lines.append(f"{names.TENANT}: {customer}")
    if request.has_body:
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode(HEAD_ENCODING)
    return head + request.body if request.has_body else head


def read_reply(result: ForwardedReply, request_id: str) -> ServerReply:
    """Classify the result of an exchange by whether the request may have run."""
    if result.end is not ExchangeEnd.COMPLETE:
        return ServerReply(_OUTCOMES[result.end], text=result.text)
    fields = {
        name: value.decode(HEAD_ENCODING).strip() for name, value in result.headers
    }
    cold_s = _parse_cold_time(fields.get(_WARMUP_MS, ""))
    is_leaving = fields.get(_SERVER_LEAVING) == "1"
    retry_after_s = 0.0
    if result.status == 503:
        retry_after_s = _parse_retry_after(fields.get(_RETRY_AFTER, ""))
    if fields.get(_REQUEST_ID, request_id) != request_id:
        # Also a refusal, which then says nothing about this request.
        text = "the reply is to another request"
        return ServerReply(ExchangeOutcome.LOST, text=text, is_leaving=is_leaving)
    if result.status == 421:
        return ServerReply(ExchangeOutcome.MISDIRECTED, result.status)
    if _NOT_EXECUTED in fields:
        return ServerReply(
            ExchangeOutcome.REFUSED,
            result.status,
            cold_s=cold_s,
            is_leaving=is_leaving,
            retry_after_s=retry_after_s,
        )
    signature = fields.get(_SERVER_SEAL, "")
    if 200 <= result.status < 300 and not signature:
        text = "a success without a signature"
        return ServerReply(ExchangeOutcome.LOST, text=text, is_leaving=is_leaving)
    forwarded = tuple(
        (name.decode(HEAD_ENCODING), value.decode(HEAD_ENCODING).strip())
        for name, value in result.headers
        if name not in _HOP_BY_HOP
    )
    return ServerReply(
        ExchangeOutcome.ANSWERED,
        result.status,
        forwarded,
        result.body,
        signature,
        cold_s,
        is_leaving=is_leaving,
        retry_after_s=retry_after_s,
    )


def _parse_retry_after(text: str) -> float:
    """Return the seconds of a Retry-After, at most ``MAX_RETRY_AFTER_S``.

    The platform sends a number of seconds. A text that is no such number is ignored,
    and the reply counts as a refusal without a time.
    """
    if not _DECIMAL.fullmatch(text):
        return 0.0
    return min(float(text), MAX_RETRY_AFTER_S)


def _parse_cold_time(text: str) -> float:
    """Return the seconds for which a server stays cold, at most ``MAX_COLD_S``.

    An invalid time is ignored: the server does not count as cold.
    """
    if not _DECIMAL.fullmatch(text):
        return 0.0
    return min(float(text) / MS_PER_SECOND, MAX_COLD_S)


def build_server_transport(
    memory: ByteBudget | None = None,
) -> tuple[SendToServer, Callable[[set[ServerId]], None]]:
    """Build the transport and a closure that closes the pools of removed servers.

    ``memory`` bounds what requests and replies hold; without it, they have a budget of
    their own.
    The closure is called with the ids of the current servers. It leaves a pool open
    while requests run on it.
    """
    pools = _ConnectionPools(memory or ByteBudget())

    def send_to_server(
        server: ServerRow,
        request: CallerRequest,
        timeout_s: float,
        max_connections: int,
        on_reply: OnReply,
        may_send: MaySend | None = None,
    ) -> Callable[[], None]:
        pool = _get_pool(pools, server, max_connections)
        own_id = request.request_id.encode(HEAD_ENCODING)

        def accepts_header(name: bytes, value: bytes) -> bool:
            return name != _REQUEST_ID or value.strip() == own_id

        forwarded = ForwardedRequest(
            encode_request(request, server.server_id, timeout_s),
            accepts_header,
            is_head=request.method == "HEAD",
            # The server may close a connection that was idle while the request is on
            # its way, and a request that may run once can't be repeated then.
            needs_new_connection=request.method not in _IDEMPOTENT_METHODS,
            may_send=may_send,
        )
        exchange = start_exchange(
            pool,
            forwarded,
            timeout_s,
            lambda result: on_reply(read_reply(result, request.request_id)),
        )
        return lambda: cancel_exchange(pool, exchange)

    def close_pools_except(server_ids: set[ServerId]) -> None:
        for server_id in set(pools.servers) - server_ids:
            pool = pools.servers[server_id][1]
            if not is_in_use(pool):
                del pools.servers[server_id]
                close_pool(pool, "The server is gone.")

    return send_to_server, close_pools_except
