"""Forward requests to backend servers and report the outcome of each."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl

from bramleyrouter.edges.servers.curl_exchanges import (
    END_OF_HEAD,
    ForwardedRequest,
    HttpResult,
    ServerMulti,
    cancel_exchange,
    close_multi,
    limit_connections,
    open_multi,
    start_forwarded_request,
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

MS_PER_SECOND = 1000.0
# Maps each byte of a head to one character, as the callers' listener does.
HEAD_ENCODING = "latin-1"
_REQUEST_ID_PREFIX = f"{names.REQUEST_ID}:".lower().encode()
# Headers that curl would add by default.
_ADDED_BY_CURL = ("Accept", "User-Agent", "Expect", "Content-Type")
# Longest time for which a server may ask for no requests, in seconds. A server that
# sends a senseless time does not stay unused for good.
MAX_RETRY_AFTER_S = 3600.0
MAX_COLD_S = 3600.0
_DECIMAL = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass
class _ConnectionPools:
    """Store the address and connections of each server by its id."""

    servers: dict[ServerId, tuple[str, ServerMulti]] = field(default_factory=dict)


def _get_pool(
    pools: _ConnectionPools, server: ServerRow, max_connections: int
) -> ServerMulti:
    existing = pools.servers.get(server.server_id)
    if existing is not None and existing[0] == server.address:
        limit_connections(existing[1], max_connections)
        return existing[1]
    if existing is not None:
        close_multi(existing[1], "The server moved to another address.")
    multi = open_multi(server.address, max_connections)
    pools.servers[server.server_id] = (server.address, multi)
    return multi


def build_header_lines(
    request: CallerRequest, server_id: str, timeout_s: float
) -> list[str]:
    """Build the header lines of a request to a server.

    A header that curl would add by default is suppressed unless the caller sent it.
    curl sends a header without a value for a line that ends with a semicolon, and
    suppresses the header for a line that ends with a colon.
    """
    lines = [f"Host: {request.host}"]
    present_names = {"host"}
    for name, value in request.headers:
        lines.append(f"{name}: {value}" if value else f"{name};")
        present_names.add(name.lower())
    lines.append(f"{names.REQUEST_ID}: {request.request_id}")
    lines.append(f"{names.DEADLINE_MS}: {max(1, int(timeout_s * MS_PER_SECOND))}")
    lines.append(f"{names.TARGET_INSTANCE}: {server_id}")
    for name in _ADDED_BY_CURL:
        if name.lower() not in present_names:
            lines.append(f"{name}:")
    return lines


def _parse_head(head: tuple[bytes, ...]) -> Headers:
    headers = []
    for line in head[1:]:
        name, _, value = line.decode(HEAD_ENCODING).partition(":")
        if value:
            headers.append((name.strip(), value.strip()))
    return tuple(headers)


def read_reply(result: HttpResult, request_id: str) -> ServerReply:
    """Classify the result of an exchange by whether the request may have run."""
    if result.error:
        if not result.may_have_run and result.was_queued:
            text = "no connection to the server became free"
            return ServerReply(ExchangeOutcome.UNSENT, text=text)
        if not result.may_have_run:
            return ServerReply(ExchangeOutcome.UNREACHED, text=result.text)
        is_timeout = result.error == pycurl.E_OPERATION_TIMEDOUT
        outcome = ExchangeOutcome.TIMED_OUT if is_timeout else ExchangeOutcome.LOST
        return ServerReply(outcome, text=result.text)
    if not result.head or result.head[-1] not in END_OF_HEAD:
        # curl reports no error if the connection closes before the head is complete,
        # even within the line break of its last line.
        return ServerReply(
            ExchangeOutcome.LOST, text="the head of the reply is cut off"
        )
    headers = _parse_head(result.head)
    fields = {name.lower(): value for name, value in headers}
    cold_s = _parse_cold_time(fields.get(names.WARMUP_MS.lower(), ""))
    is_leaving = fields.get(names.SERVER_LEAVING.lower()) == "1"
    retry_after_s = 0.0
    if result.status == 503:
        retry_after_s = _parse_retry_after(fields.get(names.RETRY_AFTER.lower(), ""))
    if fields.get(names.REQUEST_ID.lower(), request_id) != request_id:
        # Also a refusal, which then says nothing about this request.
        text = "the reply is to another request"
        return ServerReply(ExchangeOutcome.LOST, text=text, is_leaving=is_leaving)
    if result.status == 421:
        return ServerReply(ExchangeOutcome.MISDIRECTED, result.status)
    if names.NOT_EXECUTED.lower() in fields:
        return ServerReply(
            ExchangeOutcome.REFUSED,
            result.status,
            cold_s=cold_s,
            is_leaving=is_leaving,
            retry_after_s=retry_after_s,
        )
    forwarded = tuple(
        (name, value) for name, value in headers if name.lower() not in names.HOP_BY_HOP
    )
    signature = fields.get(names.SERVER_SEAL.lower(), "")
    if 200 <= result.status < 300 and not signature:
        text = "a success without a signature"
        return ServerReply(ExchangeOutcome.LOST, text=text, is_leaving=is_leaving)
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


def build_server_transport() -> tuple[SendToServer, Callable[[set[ServerId]], None]]:
    """Build the transport and a closure that closes the pools of removed servers.

    The closure is called with the ids of the current servers. It leaves a pool open
    while requests run on it.
    """
    pools = _ConnectionPools()

    def send_to_server(
        server: ServerRow,
        request: CallerRequest,
        timeout_s: float,
        max_connections: int,
        on_reply: OnReply,
    ) -> Callable[[], None]:
        multi = _get_pool(pools, server, max_connections)
        own_id = request.request_id.encode(HEAD_ENCODING)

        def accepts_line(line: bytes) -> bool:
            if line[: len(_REQUEST_ID_PREFIX)].lower() != _REQUEST_ID_PREFIX:
                return True
            return line[len(_REQUEST_ID_PREFIX) :].strip() == own_id

        call = ForwardedRequest(
            request.method,
            request.target.encode(HEAD_ENCODING),
            [
                line.encode(HEAD_ENCODING)
                for line in build_header_lines(request, server.server_id, timeout_s)
            ],
            request.body if request.has_body else None,
            accepts_line,
        )
        exchange = start_forwarded_request(
            multi,
            call,
            timeout_s,
            lambda result: on_reply(read_reply(result, request.request_id)),
            needs_new_connection=request.method not in _IDEMPOTENT_METHODS,
        )
        return lambda: cancel_exchange(multi, exchange)

    def close_pools_except(server_ids: set[ServerId]) -> None:
        for server_id in set(pools.servers) - server_ids:
            multi = pools.servers[server_id][1]
            if not multi.active:
                del pools.servers[server_id]
                close_multi(multi, "The server is gone.")

    return send_to_server, close_pools_except
