"""Send requests without end to a daemon's listener."""

# More than the limits of a request and the buffers of a connection.
MAX_WRITTEN_BYTES = 64 * 1024 * 1024


async def write_until_closed(writer, first: bytes, repeated: bytes) -> int:
    """Write until the daemon closes the connection; return the written bytes."""
    written = len(first)
    try:
        writer.write(first)
        while written < MAX_WRITTEN_BYTES:
            writer.write(repeated)
            written += len(repeated)
            await writer.drain()
    except ConnectionError:
        pass
    return written
