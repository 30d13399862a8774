"""Measure the processor time of one request to a backend server.

Compares, in one run and against the same server, tornado's simple client, its
curl client, a bare pycurl multi handle and this project's transport. The
server is a second process, since one in a thread would compete for the
interpreter's lock and distort the figures. Start it first:

    python -m bramleyrouter.measure.client_cost --serve &
    python -m bramleyrouter.measure.client_cost
"""

import argparse
import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from io import BytesIO

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.curl_transport import build_curl_transport
from bramleyrouter.edges.servers.transport import QueryCall, QueryResult, Target
from bramleyrouter.ids import (
    AttemptId,
    IndexVersion,
    Registration,
    RequestId,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
)

REQUESTS = 3000
WARM_UP_REQUESTS = 300
IN_FLIGHT = 3
ROUNDS = 5
PORT = 18555
TIMEOUT_S = 5.0
HEADERS = {"Content-Type": "application/json"}

CALL = QueryCall(
    RequestId("request-1"),
    AttemptId(1),
    IndexVersion("v1"),
    ServiceName("sheets"),
    (ShardName("s0"),),
    b'{"parish":"Moka"}',
)
REPLY = {
    "request_id": CALL.request_id,
    "attempt": CALL.attempt,
    "version": CALL.version,
    "results": {"s0": {"rods": [1, 2, 3]}},
}
BODY = msgspec.json.encode({"shards": CALL.shards, "pad": "x" * 160})


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with the same reply."""
    body = msgspec.json.encode(REPLY)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    try:
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            for line in request.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    await reader.readexactly(int(value))
            writer.write(head + body)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def serve(port: int) -> None:
    """Serve on loopback until the process is ended."""
    server = await asyncio.start_server(_serve, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


async def _spread(count: int, one: Callable[[], Awaitable[None]]) -> None:
    """Run ``count`` requests, ``IN_FLIGHT`` at a time."""

    async def worker() -> None:
        for _ in range(count // IN_FLIGHT):
            await one()

    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))


def _tornado_client(client, port: int):
    url = f"http://127.0.0.1:{port}/shards/query"

    async def one() -> None:
        request = HTTPRequest(url, method="POST", body=BODY, headers=HEADERS)
        response = await client.fetch(request)
        assert response.code == 200

    async def run(count: int) -> None:
        await _spread(count, one)

    return run


def _own_transport(port: int):
    transport = build_curl_transport()
    target = Target(
        ServerId("s"),
        ServerIncarnation(1),
        Registration(1),
        f"127.0.0.1:{port}",
        IN_FLIGHT + 1,
    )

    async def run(count: int) -> None:
        done = asyncio.get_running_loop().create_future()
        left = count
        ended = 0

        def on_end(end: QueryResult) -> None:
            nonlocal ended
            assert end.code is Code.OK, end
            ended += 1
            if ended == count:
                done.set_result(None)
            else:
                start()

        def start() -> None:
            nonlocal left
            if left:
                left -= 1
                transport.query(target, CALL, TIMEOUT_S, on_end)

        for _ in range(IN_FLIGHT):
            start()
        await done

    return run


def _bare_multi(port: int):
    """Run the smallest possible loop on a multi handle, without asyncio."""
    multi = pycurl.CurlMulti()
    handles = []
    for _ in range(IN_FLIGHT):
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://127.0.0.1:{port}/shards/query")
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json"])
        curl.setopt(pycurl.NOSIGNAL, 1)
        handles.append(curl)

    def start(curl) -> None:
        curl.setopt(pycurl.POSTFIELDS, BODY)
        curl.setopt(pycurl.WRITEDATA, BytesIO())
        multi.add_handle(curl)

    async def run(count: int) -> None:
        left = count - IN_FLIGHT
        ended = 0
        for curl in handles:
            start(curl)
        while ended < count:
            multi.perform()
            _, done, failed = multi.info_read()
            assert not failed, failed
            for curl in done:
                multi.remove_handle(curl)
                ended += 1
                if left > 0:
                    left -= 1
                    start(curl)
            if not done:
                multi.select(1.0)

    return run


async def _measure(count: int, port: int) -> dict[str, list[float]]:
    runs = {
        "tornado simple client": _tornado_client(SimpleAsyncHTTPClient(), port),
        "tornado curl client": _tornado_client(CurlAsyncHTTPClient(), port),
        "bare multi handle": _bare_multi(port),
        "own transport": _own_transport(port),
    }
    costs: dict[str, list[float]] = {name: [] for name in runs}
    for run in runs.values():
        await run(WARM_UP_REQUESTS)
    for _ in range(ROUNDS):
        for name, run in runs.items():
            before = time.process_time()
            await run(count)
            costs[name].append((time.process_time() - before) / count * 1e6)
    return costs


def main() -> None:
    """Print the median and the range over the rounds for each client."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument("--port", type=int, default=PORT)
    parser.add_argument("--serve", action="store_true")
    args = parser.parse_args()
    if args.serve:
        asyncio.run(serve(args.port))
    count = args.requests // IN_FLIGHT * IN_FLIGHT
    costs = asyncio.run(_measure(count, args.port))
    print(f"{count} requests, {IN_FLIGHT} in flight, {ROUNDS} rounds")
    for name, values in costs.items():
        print(
            f"{name:24} {statistics.median(values):7.1f} us "
            f"({min(values):.1f} to {max(values):.1f})"
        )


if __name__ == "__main__":
    main()
