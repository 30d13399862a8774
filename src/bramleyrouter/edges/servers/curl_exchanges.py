"""Run HTTP exchanges with one backend server on pycurl in the event loop.

Each server has its own multi handle, so curl's connection limit applies to that
server, and closing the handle closes exactly its connections. Easy handles keep
their options between exchanges, because setting the options again costs more
processor time than an exchange itself.
"""

import asyncio
import warnings
from collections.abc import Callable
from dataclasses import dataclass, field
from io import BytesIO
from typing import NamedTuple

import pycurl

from bramleyrouter.edges.servers.formats import MAX_REPLY_BYTES
from bramleyrouter.utils.byte_budgets import ByteBudget, Holding, hold, release_all

CONNECT_TIMEOUT_MS = 1000
MEMORY_TEXT = "the reply used too much of the memory for all replies"


class HttpResult(NamedTuple):
    """Describe the result of an exchange.

    ``error`` is curl's error number, 0 for a complete reply. ``may_have_run`` is
    false if no byte of the request can have left this process.
    """

    error: int
    text: str
    status: int
    body: bytes
    may_have_run: bool


OnEnd = Callable[[HttpResult], None]


@dataclass(eq=False)
class Exchange:
    """Store one easy handle, its reply so far and the callback for its result."""

    curl: pycurl.Curl
    body: BytesIO
    holding: Holding
    # Whether its reply was given up because too much is held.
    is_given_up: bool = False
    on_end: OnEnd | None = None
    send_count: int = 0
    path: str = ""
    is_repeatable: bool = True
    # Loop time after which the request must no longer be sent.
    send_deadline: float = 0.0


@dataclass(eq=False)
class ServerMulti:
    """Store the handles of one server and the sockets that the event loop watches."""

    multi: pycurl.CurlMulti
    address: str
    loop: asyncio.AbstractEventLoop
    memory: ByteBudget
    idle: list[Exchange] = field(default_factory=list)
    active: dict[pycurl.Curl, Exchange] = field(default_factory=dict)
    # The events for which the event loop watches each file descriptor, as curl's flags.
    watched_events: dict[int, int] = field(default_factory=dict)
    # Upper bound of open connections, because curl does not report each close.
    connections: int = 0
    max_connections: int = 0
    timer: asyncio.TimerHandle | None = None
    # Loop time at which curl wants to be called; the timer may fire earlier.
    curl_timer_at: float | None = None
    is_closed: bool = False


def open_multi(
    address: str, max_connections: int, memory: ByteBudget | None = None
) -> ServerMulti:
    """Open the handles for the server at "ip:port".

    ``memory`` bounds the replies; without it, those of this server have a budget of
    their own.
    """
    multi = pycurl.CurlMulti()
    loop = asyncio.get_running_loop()
    state = ServerMulti(multi, address, loop, memory or ByteBudget())
    state.max_connections = max_connections
    multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_connections)
    multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
    multi.setopt(
        pycurl.M_SOCKETFUNCTION,
        lambda events, fd, _multi, _data: _watch(state, events, fd),
    )
    multi.setopt(pycurl.M_TIMERFUNCTION, lambda ms: _set_timer(state, ms))
    return state


def _watch(state: ServerMulti, events: int, fd: int) -> None:
    """Watch a socket for the events that curl requests.

    An idle socket is not watched. curl may close it at any time without a callback,
    and the event loop would then mistake the next socket with the same descriptor
    for it.
    """
    if events == pycurl.POLL_REMOVE:
        _unwatch(state, fd)
        return
    previous_events = state.watched_events.get(fd, 0)
    loop = state.loop
    if events & pycurl.POLL_IN and not previous_events & pycurl.POLL_IN:
        loop.add_reader(fd, _perform_socket_action, state, fd, pycurl.CSELECT_IN)
    elif previous_events & pycurl.POLL_IN and not events & pycurl.POLL_IN:
        loop.remove_reader(fd)
    if events & pycurl.POLL_OUT and not previous_events & pycurl.POLL_OUT:
        loop.add_writer(fd, _perform_socket_action, state, fd, pycurl.CSELECT_OUT)
    elif previous_events & pycurl.POLL_OUT and not events & pycurl.POLL_OUT:
        loop.remove_writer(fd)
    state.watched_events[fd] = events


def _unwatch(state: ServerMulti, fd: int) -> None:
    previous_events = state.watched_events.pop(fd, 0)
    if previous_events & pycurl.POLL_IN:
        state.loop.remove_reader(fd)
    if previous_events & pycurl.POLL_OUT:
        state.loop.remove_writer(fd)


def _set_timer(state: ServerMulti, milliseconds: int) -> None:
    """Schedule the next call of curl's timeout function.

    curl moves its timer several times in an exchange. An event loop timer that is due
    before curl's new time is kept; when it fires, ``_on_timer`` schedules the next one
    for curl's time.
    """
    if milliseconds < 0:
        state.curl_timer_at = None
        return
    curl_timer_at = state.curl_timer_at = state.loop.time() + milliseconds / 1000
    if state.timer is not None:
        if state.timer.when() <= curl_timer_at:
            return
        state.timer.cancel()
    state.timer = state.loop.call_at(curl_timer_at, _on_timer, state)


def _on_timer(state: ServerMulti) -> None:
    state.timer = None
    if state.curl_timer_at is None:
        return
    if state.loop.time() < state.curl_timer_at:
        state.timer = state.loop.call_at(state.curl_timer_at, _on_timer, state)
        return
    state.curl_timer_at = None
    _perform_socket_action(state, pycurl.SOCKET_TIMEOUT, 0)


def _perform_socket_action(state: ServerMulti, fd: int, events: int) -> None:
    if state.is_closed:
        return
    state.multi.socket_action(fd, events)
    _finish_completed(state)


def _finish_completed(state: ServerMulti) -> None:
    """Finish the exchanges that curl has completed."""
    while not state.is_closed:
        remaining_messages, done, failed = state.multi.info_read()
        for curl in done:
            _finish(state, curl, 0, "")
        for curl, error, text in failed:
            _finish(state, curl, error, text)
        if not remaining_messages:
            return


def _finish(state: ServerMulti, curl: pycurl.Curl, error: int, text: str) -> None:
    exchange = state.active.pop(curl, None)
    if exchange is None:
        return
    state.multi.remove_handle(curl)
    opened = state.connections + curl.getinfo(pycurl.NUM_CONNECTS)
    state.connections = min(opened, state.max_connections)
    status = 0 if error else curl.getinfo(pycurl.RESPONSE_CODE)
    body = exchange.body.getvalue()
    if exchange.is_given_up:
        error, text, status, body = pycurl.E_WRITE_ERROR, MEMORY_TEXT, 0, b""
    result = HttpResult(error, text, status, body, exchange.send_count > 0)
    _drop_body(exchange)
    on_end = exchange.on_end
    exchange.on_end = None
    state.idle.append(exchange)
    if on_end is not None:
        on_end(result)


def _drop_body(exchange: Exchange) -> None:
    release_all(exchange.holding)
    exchange.body.seek(0)
    exchange.body.truncate()


def _give_up(exchange: Exchange) -> None:
    """Drop a reply; curl fails the exchange when its next bytes arrive."""
    exchange.is_given_up = True
    _drop_body(exchange)


def _write_body(exchange: Exchange, data: bytes) -> int:
    """Store a part of a reply; return less than its length to make curl give up."""
    if exchange.is_given_up or not hold(exchange.holding, len(data)):
        return 0
    return exchange.body.write(data)


def _build_exchange(state: ServerMulti) -> Exchange:
    curl = pycurl.Curl()
    holding = Holding(state.memory, "server", state.address, lambda: _give_up(exchange))
    exchange = Exchange(curl, BytesIO(), holding)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.MAXFILESIZE, MAX_REPLY_BYTES)
    curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    curl.setopt(pycurl.WRITEFUNCTION, lambda data: _write_body(exchange, data))
    loop = state.loop
    curl.setopt(pycurl.PREREQFUNCTION, lambda *_: _check_before_send(exchange, loop))
    return exchange


def start_exchange(
    state: ServerMulti,
    path: str,
    body: bytes | None,
    timeout_s: float,
    on_end: OnEnd,
    is_repeatable: bool = True,
) -> None:
    """Send a request (POST with ``body``, GET without); call ``on_end`` once.

    curl repeats a request by itself if a reused connection turns out to be closed,
    whatever the method. A request that is not repeatable therefore gets a new
    connection, and curl's second attempt to send it is aborted.
    """
    exchange = state.idle.pop() if state.idle else _build_exchange(state)
    exchange.on_end = on_end
    exchange.send_count = 0
    exchange.send_deadline = state.loop.time() + timeout_s
    exchange.is_given_up = False
    curl = exchange.curl
    if path != exchange.path:
        exchange.path = path
        curl.setopt(pycurl.URL, f"http://{state.address}{path}")
    if is_repeatable != exchange.is_repeatable:
        exchange.is_repeatable = is_repeatable
        curl.setopt(pycurl.FRESH_CONNECT, 0 if is_repeatable else 1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
    if body is None:
        curl.setopt(pycurl.HTTPGET, 1)
    else:
        curl.setopt(pycurl.POSTFIELDS, body)
    state.active[curl] = exchange
    state.multi.add_handle(curl)


def _check_before_send(exchange: Exchange, loop: asyncio.AbstractEventLoop) -> int:
    """Abort a late or repeated request just before curl sends it."""
    if loop.time() >= exchange.send_deadline:
        return pycurl.PREREQFUNC_ABORT
    if exchange.send_count and not exchange.is_repeatable:
        return pycurl.PREREQFUNC_ABORT
    exchange.send_count += 1
    return pycurl.PREREQFUNC_OK


def close_multi(state: ServerMulti, text: str) -> None:
    """Close all connections; running exchanges fail in the next loop iteration."""
    if state.is_closed:
        return
    state.is_closed = True
    if state.timer is not None:
        state.timer.cancel()
    for exchange in list(state.active.values()):
        state.multi.remove_handle(exchange.curl)
        result = HttpResult(pycurl.E_RECV_ERROR, text, 0, b"", exchange.send_count > 0)
        if exchange.on_end is not None:
            state.loop.call_soon(exchange.on_end, result)
    for fd in list(state.watched_events):
        _unwatch(state, fd)
    _close_multi_handle(state.multi)
    for exchange in [*state.active.values(), *state.idle]:
        _drop_body(exchange)
        exchange.curl.close()
    state.active.clear()
    state.idle.clear()
    state.connections = 0


def _close_multi_handle(multi: pycurl.CurlMulti) -> None:
    """Close a multi handle and its connections.

    While pycurl closes the handle, it can't call Python callbacks. It closes the
    sockets without them and issues a warning, which is suppressed here. The easy
    handles must be closed after the multi handle.
    """
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)
        multi.close()
