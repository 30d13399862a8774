"""Ports on loopback that nothing else takes between choice and use.

A port that was found free and closed again can be given to any outgoing
connection of a process that starts meanwhile. A reserved one stays bound, so
the kernel gives it to nobody; a server that sets SO_REUSEADDR, as tornado's
servers do, may still listen on it.
"""

import socket

LOOPBACK = "127.0.0.1"
# Reservations last as long as the process.
_held: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Return ``count`` ports that only a server of ours can listen on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
    _held.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


def reserve_address() -> str:
    """Return a reserved "ip:port"."""
    return f"{LOOPBACK}:{reserve_ports(1)[0]}"
