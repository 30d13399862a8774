"""Measure the round-trip time of a TCP connection, and look at its unread bytes."""

import socket
import struct

# The kernel's ``struct tcp_info`` starts with 8 bytes and 15 numbers of 4 bytes, which
# the smoothed round-trip time in microseconds follows.
_ROUND_TRIP = struct.Struct("=68xI")
# Round trips beyond this, in seconds, are those of retransmissions.
MAX_ROUND_TRIP_S = 0.5


def measure_round_trip(sock: socket.socket | None) -> float | None:
    """Return the smoothed round-trip time in seconds, none if it is not known.

    Only Linux tells it.
    """
    option = getattr(socket, "TCP_INFO", None)
    if sock is None or option is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, _ROUND_TRIP.size)
    except OSError:
        return None
    if len(info) < _ROUND_TRIP.size:
        return None
    round_trip_s = _ROUND_TRIP.unpack(info)[0] / 1e6
    return round_trip_s if 0 < round_trip_s <= MAX_ROUND_TRIP_S else None


def peek(sock: socket.socket) -> bytes | None:
    """Return the first unread byte of a non-blocking socket, none if there is none.

    The result is empty if the peer has closed the connection.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
