"""Open the listening sockets of TCP and HTTP servers."""

from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from bramleyrouter.utils.addresses import split_address

BACKLOG_CONNECTIONS = 128


def listen_on(
    server: TCPServer, address: str, backlog: int = BACKLOG_CONNECTIONS
) -> None:
    """Accept connections of ``server`` on "ip:port".

    Raise ``OSError`` with the address if it can't be used. No socket stays open then,
    so that the call can be repeated.
    """
    host, port = split_address(address)
    try:
        sockets = bind_sockets(port, host, backlog=backlog)
    except OSError as exc:
        raise OSError(exc.errno, f'{exc.strerror}: "{address}"') from exc
    try:
        server.add_sockets(sockets)
    except OSError:
        for sock in sockets:
            server._sockets.pop(sock.fileno(), None)
            sock.close()
        raise
