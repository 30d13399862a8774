"""Open the listening sockets of TCP and HTTP servers."""

import errno
import socket

from absl import logging
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from bramleyrouter.utils.addresses import split_address

BACKLOG_CONNECTIONS = 128
# Time without accepting connections after there was no file or memory for one. They
# wait in the backlog meanwhile.
ACCEPT_PAUSE_S = 0.1
# Errors of ``accept`` that last until files or memory are released.
EXHAUSTED_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors with which ``accept`` reports that the network failed a connection before it
# was accepted.
NETWORK_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)


class _ListeningSocket(socket.socket):
    """Pause when there is no file or memory for a connection.

    The socket stays readable then, so the event loop would call ``accept`` in each
    iteration, and log each failure.
    """

    _is_exhausted = False

    def accept(self):
        """Accept a connection; raise ``BlockingIOError`` if none can be accepted."""
        try:
            accepted = super().accept()
        except OSError as exc:
            if exc.errno in NETWORK_ERRORS:
                raise ConnectionAbortedError(exc.errno, exc.strerror) from exc
            if exc.errno not in EXHAUSTED_ERRORS:
                raise
            if not self._is_exhausted:
                host, port = self.getsockname()[:2]
                logging.error(
                    "listening: %s:%d accepts no connections: %s.", host, port, exc
                )
            self._is_exhausted = True
            self._pause()
            raise BlockingIOError(exc.errno, exc.strerror) from exc
        self._is_exhausted = False
        return accepted

    def _pause(self) -> None:
        loop = IOLoop.current()
        loop.update_handler(self, 0)
        loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        # The server may have stopped meanwhile.
        if self.fileno() >= 0:
            IOLoop.current().update_handler(self, IOLoop.READ)


def listen_on(
    server: TCPServer, address: str, backlog: int = BACKLOG_CONNECTIONS
) -> None:
    """Accept connections of ``server`` on "ip:port".

    Raise ``OSError`` with the address if it can't be used. No socket stays open then,
    so that the call can be repeated.
    """
    host, port = split_address(address)
    try:
        bound = bind_sockets(port, host, backlog=backlog)
    except OSError as exc:
        raise OSError(exc.errno, f'{exc.strerror}: "{address}"') from exc
    sockets = [_ListeningSocket(fileno=sock.detach()) for sock in bound]
    try:
        server.add_sockets(sockets)
    except OSError:
        for sock in sockets:
            IOLoop.current().remove_handler(sock)
            server._sockets.pop(sock.fileno(), None)
            sock.close()
        raise
