"""Exchanges of one backend server on a pycurl multi handle in the event loop.

Each server has a multi handle of its own. So curl's limit of connections is
that of the server, and closing the handle closes exactly its connections.
Easy handles keep their options between exchanges, since setting them anew
costs more processor time than an exchange itself.
"""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from io import BytesIO
from typing import NamedTuple

import pycurl

# Larger than any reply to a group of shards that a caller could be sent.
MAX_REPLY_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1000


class HttpEnd(NamedTuple):
    """Tell how an exchange ended.

    ``error`` is curl's number, 0 for a whole reply. ``may_have_run`` is false
    when no byte of the request can have left this process.
    """

    error: int
    text: str
    status: int
    body: bytes
    may_have_run: bool


OnEnd = Callable[[HttpEnd], None]


@dataclass(eq=False)
class Exchange:
    """Hold one easy handle, the reply it collects and who waits for it."""

    curl: pycurl.Curl
    body: BytesIO
    on_end: OnEnd | None = None
    sent: int = 0


@dataclass(eq=False)
class ServerMulti:
    """Hold the handles of one server and what the event loop watches."""

    multi: pycurl.CurlMulti
    address: str
    loop: asyncio.AbstractEventLoop
    idle: list[Exchange] = field(default_factory=list)
    active: dict[pycurl.Curl, Exchange] = field(default_factory=dict)
    watched: dict[int, int] = field(default_factory=dict)
    # Inode of each open socket by its descriptor.
    sockets: dict[int, int] = field(default_factory=dict)
    timer: asyncio.Handle | None = None
    is_closed: bool = False


def open_multi(address: str, max_connections: int) -> ServerMulti:
    """Return the handles for the server at "ip:port"."""
    multi = pycurl.CurlMulti()
    state = ServerMulti(multi, address, asyncio.get_running_loop())
    multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_connections)
    multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
    multi.setopt(
        pycurl.M_SOCKETFUNCTION,
        lambda event, fd, _multi, _data: _watch(state, event, fd),
    )
    multi.setopt(pycurl.M_TIMERFUNCTION, lambda ms: _set_timer(state, ms))
    return state


def _watch(state: ServerMulti, event: int, fd: int) -> None:
    """Let the event loop watch what curl wants to know of a socket."""
    before = state.watched.get(fd, 0)
    wanted = 0 if event == pycurl.POLL_REMOVE else event
    loop = state.loop
    if wanted & pycurl.POLL_IN and not before & pycurl.POLL_IN:
        loop.add_reader(fd, _act, state, fd, pycurl.CSELECT_IN)
    elif before & pycurl.POLL_IN and not wanted & pycurl.POLL_IN:
        loop.remove_reader(fd)
    if wanted & pycurl.POLL_OUT and not before & pycurl.POLL_OUT:
        loop.add_writer(fd, _act, state, fd, pycurl.CSELECT_OUT)
    elif before & pycurl.POLL_OUT and not wanted & pycurl.POLL_OUT:
        loop.remove_writer(fd)
    if wanted:
        state.watched[fd] = wanted
    else:
        state.watched.pop(fd, None)


def _set_timer(state: ServerMulti, milliseconds: int) -> None:
    if state.timer is not None:
        state.timer.cancel()
        state.timer = None
    if milliseconds == 0:
        state.timer = state.loop.call_soon(_on_timer, state)
    elif milliseconds > 0:
        state.timer = state.loop.call_later(milliseconds / 1000, _on_timer, state)


def _on_timer(state: ServerMulti) -> None:
    state.timer = None
    _act(state, pycurl.SOCKET_TIMEOUT, 0)


def _act(state: ServerMulti, fd: int, events: int) -> None:
    if state.is_closed:
        return
    state.multi.socket_action(fd, events)
    _collect(state)


def _collect(state: ServerMulti) -> None:
    """End the exchanges that curl finished."""
    while not state.is_closed:
        waiting, done, failed = state.multi.info_read()
        for curl in done:
            _finish(state, curl, 0, "")
        for curl, error, text in failed:
            _finish(state, curl, error, text)
        if not waiting:
            return


def _finish(state: ServerMulti, curl: pycurl.Curl, error: int, text: str) -> None:
    exchange = state.active.pop(curl, None)
    if exchange is None:
        return
    state.multi.remove_handle(curl)
    status = 0 if error else curl.getinfo(pycurl.RESPONSE_CODE)
    end = HttpEnd(error, text, status, exchange.body.getvalue(), exchange.sent > 0)
    on_end = exchange.on_end
    exchange.on_end = None
    state.idle.append(exchange)
    if on_end is not None:
        on_end(end)


def _note_socket(state: ServerMulti, fd: int) -> int:
    _forget_closed(state)
    state.sockets[fd] = os.fstat(fd).st_ino
    return 0


def _forget_closed(state: ServerMulti) -> None:
    """Forget sockets that curl closed; a reused number has another inode.

    pycurl can't call a Python closure for every socket that curl closes, so
    the sockets are looked at when somebody asks.
    """
    for fd, inode in list(state.sockets.items()):
        try:
            is_open = os.fstat(fd).st_ino == inode
        except OSError:
            is_open = False
        if not is_open:
            del state.sockets[fd]


def count_connections(state: ServerMulti) -> int:
    """Return the number of connections that are open to the server."""
    _forget_closed(state)
    return len(state.sockets)


def _new_exchange(state: ServerMulti) -> Exchange:
    curl = pycurl.Curl()
    exchange = Exchange(curl, BytesIO())
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.MAXFILESIZE, MAX_REPLY_BYTES)
    curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    curl.setopt(pycurl.WRITEDATA, exchange.body)
    curl.setopt(pycurl.SOCKOPTFUNCTION, lambda fd, _: _note_socket(state, fd))
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

    curl repeats a request by itself when a reused connection turns out dead,
    whatever its method. A request that is not repeatable therefore gets a
    fresh connection, and a second attempt to send it is refused.
    """
    exchange = state.idle.pop() if state.idle else _new_exchange(state)
    exchange.on_end = on_end
    exchange.sent = 0
    exchange.body.seek(0)
    exchange.body.truncate()
    curl = exchange.curl
    curl.setopt(pycurl.URL, f"http://{state.address}{path}")
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
    curl.setopt(pycurl.FRESH_CONNECT, 0 if is_repeatable else 1)
    curl.setopt(pycurl.PREREQFUNCTION, _guard_of(exchange, is_repeatable))
    if body is None:
        curl.setopt(pycurl.HTTPGET, 1)
    else:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, body)
    state.active[curl] = exchange
    state.multi.add_handle(curl)


def _guard_of(exchange: Exchange, is_repeatable: bool):
    """Return the closure that curl calls right before it sends a request."""

    def guard(*_addresses) -> int:
        exchange.sent += 1
        if exchange.sent > 1 and not is_repeatable:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    return guard


def close_multi(state: ServerMulti, text: str) -> None:
    """Close all connections; exchanges that run end as failed, next turn."""
    if state.is_closed:
        return
    state.is_closed = True
    if state.timer is not None:
        state.timer.cancel()
    for exchange in list(state.active.values()):
        state.multi.remove_handle(exchange.curl)
        end = HttpEnd(pycurl.E_RECV_ERROR, text, 0, b"", exchange.sent > 0)
        if exchange.on_end is not None:
            state.loop.call_soon(exchange.on_end, end)
    for exchange in [*state.active.values(), *state.idle]:
        exchange.curl.close()
    state.active.clear()
    state.idle.clear()
    for fd in list(state.watched):
        _watch(state, pycurl.POLL_REMOVE, fd)
    state.multi.close()
