"""Reserve loopback ports so that no other socket gets them before use.

If a socket is bound to find a free port and then closed, the kernel can assign the
port to any outgoing connection that is opened meanwhile. A reserved port stays bound,
so the kernel does not assign it; a server that sets SO_REUSEADDR, as Tornado's
servers do, can still listen on it.
"""

import socket

LOOPBACK = "127.0.0.1"
# Holds references, so that the sockets stay bound until the process exits.
_reserved_sockets: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Reserve ``count`` loopback ports until the process exits and return them."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
    _reserved_sockets.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


def reserve_address() -> str:
    """Reserve one loopback port and return its "ip:port"."""
    return f"{LOOPBACK}:{reserve_ports(1)[0]}"
