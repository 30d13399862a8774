"""Provide an HTTP server on loopback that replies with arbitrary bytes."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class RawServer:
    """Hold the received requests and the script that replies to them.

    ``script(request, writer)`` is awaited for each request and gets the bytes of its
    head and body; the connection stays open as long as it returns true.
    ``connections`` and ``closed_by_peer`` count connections that were opened, and
    that the peer closed.
    """

    script: object
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    closed_by_peer: int = 0
    address: str = ""
    server: asyncio.Server | None = None


async def _read_request(reader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    body = b""
    if b"content-length:" in lower:
        length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
        body = await reader.readexactly(length)
    return head + body


async def start_raw_server(script) -> RawServer:
    """Start a server on loopback that runs ``script`` for each request."""
    state = RawServer(script)

    async def serve(reader, writer):
        state.connections += 1
        try:
            while True:
                data = await _read_request(reader)
                state.requests.append(data)
                if not await script(data, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            state.closed_by_peer += 1
        finally:
            writer.close()

    state.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = state.server.sockets[0].getsockname()[1]
    state.address = f"127.0.0.1:{port}"
    return state


def get_header(request: bytes, name: str) -> str | None:
    """Return the value of a header of a raw request, or None."""
    for line in request.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        key, _, value = line.decode().partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None
