"""Canary rollouts with the platform's programs as processes on loopback."""

import asyncio
import json
import random
import time

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer

from tests.support.platform_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    EMPTY_TABLE,
    PlatformProcesses,
    fetch_status,
)

DURATION_S = 8.0
RATE = 25.0
HOST = "h.example"
TABLE = {
    **EMPTY_TABLE,
    "version": 1,
    "routes": [
        {
            "name": "r1",
            "host": HOST,
            "pathPrefix": "/a/",
            "type": "idempotent",
            "timeoutMs": 2000,
            "sloMs": 500,
            "priority": 1,
            "service": "s0",
            "attempts": 2,
        }
    ],
    "services": [{"name": "s0", "maxConns": 30, "warmupS": 0, "warmupPerS": 0}],
}


class Server:
    """Serve one version on a loopback address, and announce it with heartbeats."""

    def __init__(self, deployment, last, version, is_bad):
        self.deployment, self.version, self.is_bad = deployment, version, is_bad
        self.ip, self.name = f"{deployment.network}.{last}", f"i-{last}"
        self.arrived, self.rng = 0, random.Random(last)
        self.http = HTTPServer(self.on_request)
        self.http.listen(8080, self.ip)
        self.born = int(time.time() * 1000)
        self.task = asyncio.get_running_loop().create_task(self.announce())

    def on_request(self, req):
        self.arrived += 1
        is_failed = self.is_bad and self.rng.random() < 1 / 2
        status = b"500 Odd" if is_failed else b"200 OK"
        req.connection.stream.write(
            b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n"
            b"Bramleyrouter-Server-Seal: x\r\n\r\nok"
        )
        req.connection.finish()

    async def announce(self):
        for sequence in range(1, 1000):
            body = {
                "service": "s0",
                "addr": f"{self.ip}:8080",
                "zone": "dc-a",
                "version": self.version,
                "slots": 4,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": sequence,
                "born": self.born,
            }
            at = self.deployment.controls[sequence % 3].ip
            url = f"http://{at}:{CONTROL_PORT}/v1/replicas/{self.name}"
            await fetch_status(url, "PUT", json.dumps(body))
            await asyncio.sleep(0.4)


async def read_state(deployment, at):
    url = f"http://{deployment.controls[at].ip}:{CONTROL_PORT}/v1/rollouts/s0"
    try:
        reply = await AsyncHTTPClient().fetch(url, request_timeout=1.0)
    except Exception as exc:
        return str(exc)
    return json.loads(reply.body)["state"]


async def order(deployment, at, version):
    body = {"service": "s0", "toVersion": version, "durationS": DURATION_S}
    url = f"http://{deployment.controls[at].ip}:{CONTROL_PORT}/v1/rollouts"
    return await fetch_status(url, "POST", json.dumps(body))


async def send(deployment, end):
    """Send requests to the entry daemons until ``end``; return their number."""
    pending, count = set(), 0
    client = AsyncHTTPClient()
    while time.monotonic() < end:
        ip = deployment.entries[count % len(deployment.entries)].ip
        req = HTTPRequest(
            f"http://{ip}:{CALLER_PORT}/a/x",
            headers={"Host": HOST, "Bramleyrouter-Request-Id": f"q{count}"},
            request_timeout=2.0,
        )
        task = asyncio.ensure_future(client.fetch(req, raise_error=False))
        pending.add(task)
        task.add_done_callback(pending.discard)
        count += 1
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*pending, return_exceptions=True)
    return count


class TestRollouts:
    """Guard against an order that the parts don't carry out together."""

    @pytest.mark.parametrize("is_bad", [False, True])
    def test_version_is_tried_and_judged(self, tmp_path, is_bad):
        deployment = PlatformProcesses(tmp_path, entries=3, controls=3)

        async def work():
            deployment.start_all()
            await deployment.wait_until(
                lambda: fetch_ok(deployment, json.dumps(TABLE)), 30.0
            )
            old = [Server(deployment, 70 + at, "v1", False) for at in range(2)]
            new = [Server(deployment, 80 + at, "v2", is_bad) for at in range(2)]
            for vm in deployment.entries:
                ready = lambda vm=vm: deployment.is_ready(vm)
                assert await deployment.wait_until(ready, 15.0)
            # Some entry daemons report their number 3 s after the control's start.
            await asyncio.sleep(4.0)
            started = time.monotonic()
            for at in range(3):
                assert await order(deployment, at, "v2") == 200
            assert await order(deployment, 1, "v3") == 409
            assert await read_state(deployment, 2) == "active"
            sending = asyncio.ensure_future(send(deployment, started + DURATION_S))
            await asyncio.sleep(DURATION_S - 0.2)
            wanted = "rolled_back" if is_bad else "succeeded"
            states = [await read_state(deployment, at) for at in range(3)]
            tried = sum(server.arrived for server in new)
            count = await sending
            assert states == [wanted] * 3, states
            assert tried >= 3
            assert await order(deployment, 0, "v2") == 200
            if is_bad:
                assert tried <= 0.1 * count + 50
            kept = sum(server.arrived for server in (new if is_bad else old))
            await send(deployment, time.monotonic() + 1.0)
            assert kept == sum(server.arrived for server in (new if is_bad else old))
            for server in old + new:
                server.task.cancel()
                server.http.stop()

        try:
            asyncio.run(work())
        finally:
            deployment.stop_all()


async def fetch_ok(deployment, body):
    """Publish the route table; return whether that was acknowledged."""
    url = f"http://{deployment.controls[0].ip}:{CONTROL_PORT}/v1/config"
    return await fetch_status(url, "PUT", body) == 200
