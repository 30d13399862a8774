"""Start a small deployment on loopback addresses, and the peers that it needs.

The daemons are started with the commands of the deploy file. Servers, clients and the
operator are small stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"internal": 7380, "front": 8104, "ready": 8108, "control": 8106}
METRICS_PORT = 9464
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchupS": 4,
    "drainMs": 3000, "graceS": 6, "lostSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudget": 0.2,
    "budgetWindowS": 10, "budgetSlack": 56, "warmupFactor": 1.5, "warmupSlack": 5,
    "evacuateMs": 5000, "recoveryS": 12,
}


def choose_prefix():
    """Return the first three parts of loopback addresses that nobody else uses."""
    for _ in range(200):
        prefix = f"127.{random.randint(40, 250)}.{random.randint(1, 240)}"
        try:
            for port in (*PORTS.values(), METRICS_PORT):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.11", port))
        except OSError:
            continue
        return prefix
    raise RuntimeError("no free loopback addresses")


class Record:
    """Collect what was sent, answered and run; write it as text."""

    def __init__(self, path):
        self.path, self.lines, self.started = Path(path), [], time.monotonic()

    def __call__(self, *parts):
        at = time.monotonic() - self.started
        line = f"{at:9.3f} " + " ".join(str(part) for part in parts)
        self.lines.append(line)
        return at

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Daemon:
    """One daemon process with its settings file."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        self.settings = self.folder / "boot.toml"
        # The control daemons that the settings name, if not the first three.
        self.process, self.bootstrap, self.seeds = None, True, None

    def address(self, kind):
        return f"{self.ip}:{PORTS[kind]}"

    def write_settings(self):
        is_entry = self.role == "entry"
        seeds = [item.address("control") for item in self.seeds or self.fleet.controls[:3]]
        lines = [
            f'node = "{self.name}"', f'role = "{self.role}"',
            f'machineClass = "{"front" if is_entry else "core"}"',
            f'serves = ["{"front" if is_entry else "control"}"]',
            f'ip = "{self.ip}"', f'zone = "{self.zone}"', 'region = "region"',
            f'internalPorts = [{PORTS["internal"]}, {PORTS["internal"] + 15}]',
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {str(self.bootstrap).lower()}",
            f"inTolerance = {str(not is_entry).lower()}",
            'discovery = "registry"', 'entry = "vip"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","retry","recover","scatter","places"]',
            'config_mode = "highest"',
        ]
        if not is_entry:
            lines.append(f'dataDir = "{self.folder / "data"}"')
        lines += ["[zones]"] + [f'{zone} = "region"' for zone in ZONES] + ["[listen]"]
        if is_entry:
            lines += [f'front = "{self.address("front")}"', f'ready = "{self.address("ready")}"']
        else:
            lines.append(f'control = "{self.address("control")}"')
        limits = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                  "linkMbps": 1000.0, "diskMb": 0, **self.fleet.entry_limits}
        if not is_entry:
            limits = {"cpuShare": 0.645, "cores": 2, "memoryMb": 296, "maxFds": 4096,
                      "linkMbps": 1000.0, "diskMb": 128}
        lines += ["[limits]"] + [f"{key} = {value}" for key, value in limits.items()]
        lines += ["[faultTolerance]", f"machines = {self.fleet.losses}", "zones = 1", "regions = 0", "[bounds]"]
        lines += [f"{key} = {value}" for key, value in {**BOUNDS, **self.fleet.bounds}.items()]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        self.write_settings()
        run = self.fleet.commands[self.role].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BRAMLEYROUTER_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(run, cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.processes.append(self.process)
        self.bootstrap = False

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    @property
    def log(self):
        return (self.folder / "log").read_text(errors="replace")


class Fleet:
    """Three control daemons and some entry daemons."""

    def __init__(self, entries=2, controls=3, bounds=None, entry_limits=None, losses=1):
        self.losses = losses
        self.entry_limits = entry_limits or {}
        self.temporary = tempfile.TemporaryDirectory(prefix="bramley-review-")
        self.folder = Path(self.temporary.name)
        self.prefix, self.bounds, self.processes = choose_prefix(), bounds or {}, []
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: item["run"] for name, item in roles.items()}
        self.controls = [Daemon(self, f"core-{at}", "control", f"{self.prefix}.{11 + at}",
                                ZONES[at % 3]) for at in range(controls)]
        self.entries = [Daemon(self, f"front-{at}", "entry", f"{self.prefix}.{31 + at}",
                               ZONES[at % 3]) for at in range(entries)]

    def start(self):
        for daemon in (*self.controls, *self.entries):
            daemon.start()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.temporary.cleanup()


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_response(reader, method="GET"):
    """Read one response; raise ``EOFError`` if it is not complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), []).append(value.strip())
    status = int(first.split(" ")[1])
    length = int(headers.get("content-length", ["0"])[0])
    body = await reader.readexactly(length) if length and method != "HEAD" else b""
    return Response(status, headers, body)


def encode_request(method, path, host, headers=(), body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


async def call(address, method, path, body=None, timeout_s=1.0, headers=(), host=None):
    """Send one request on a new connection; return none without a complete response."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(encode_request(method, path, host or address, headers, body))
            return await read_response(reader, method)
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Send orders as the pages say: to any daemon, again until there is an answer."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def order(self, method, path, body=None, timeout_s=20.0, only=None):
        until, at, wait_s = time.monotonic() + timeout_s, 0, 0.05
        targets = only or self.fleet.controls
        while time.monotonic() < until:
            daemon = targets[at % len(targets)]
            at += 1
            reply = await call(daemon.address("control"), method, path, body,
                               headers=[("Content-Type", "application/json")])
            if reply is not None and (reply.status < 400 or reply.status in (400, 404, 409, 412, 413, 422)):
                self.record("operator", method, path, len(body or b""), "->", reply.status, daemon.name)
                return reply
            await asyncio.sleep(wait_s)
            wait_s = min(0.5, wait_s * 1.5)
        self.record("operator", method, path, "-> no answer")
        return None

    async def publish(self, document, **options):
        return await self.order("PUT", "/v1/config", json.dumps(document).encode(), **options)


class Replica:
    """A backend server: serves requests, counts what it ran, reports liveness."""

    def __init__(self, fleet, record, number, service, zone, slots=4, work=None):
        self.fleet, self.record, self.service, self.zone, self.slots = fleet, record, service, zone, slots
        first, second, third = fleet.prefix.split(".")
        self.id = f"i-{number:04x}"
        self.ip = f"{first}.{second}.{int(third) + 1 + number // 200}.{10 + number % 200}"
        self.port, self.server, self.beats = 8080, None, None
        self.work = work or self.default_work
        self.state, self.seq, self.born, self.busy = "ready", 0, 0, 0
        self.arrivals, self.runs, self.seals = [], [], {}
        self.connections, self.max_conns, self.warmup_left = set(), 1000, lambda: 0
        self.beat_address, self.wait = None, asyncio.Queue()

    async def default_work(self, request):
        await asyncio.sleep(0.005)
        return 200, b"ok " + request["id"].encode()

    async def start(self):
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.beats = asyncio.create_task(self.beat())

    async def stop(self):
        """Crash: close everything without a word."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def report(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmupLeftMs": self.warmup_left(), "seq": self.seq, "born": self.born,
        }).encode()

    async def send_beat(self):
        body, path = self.report(), f"/v1/replicas/{self.id}"
        targets = [item.address("control") for item in self.fleet.controls]
        random.shuffle(targets)
        if self.beat_address:
            targets.insert(0, self.beat_address)
        for target in targets:
            reply = await call(target, "PUT", path, body, headers=[("Content-Type", "application/json")])
            if reply is not None and 200 <= reply.status < 300:
                self.beat_address = json.loads(reply.body or b"{}").get("beatAddr", self.beat_address)
                return target
            self.beat_address = None
        return None

    async def beat(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers = {}
        for line in rest:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return {"method": method, "path": path, "headers": headers, "body": body,
                "id": headers.get("bramleyrouter-request-id", "")}

    async def serve_one(self, reader, writer):
        request = await self.read_request(reader)
        at = time.monotonic()
        if request["path"] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nBramleyrouter-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.arrivals.append((at, request))
        target = request["headers"].get("bramleyrouter-target-instance")
        echo = f"Bramleyrouter-Request-Id: {request['id']}\r\n"
        if target not in (None, self.id):
            writer.write(f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return True
        if self.busy >= self.slots + 12:
            writer.write(f"HTTP/1.1 503 X\r\n{echo}Bramleyrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.runs.append((at, request))
        self.record(self.id, "runs", request["id"], request["method"], request["path"])
        self.busy += 1
        try:
            result = await self.work(request)
        finally:
            self.busy -= 1
        if result is None:
            return False
        status, body = result
        seal = f"{self.id}.{request['id']}.{random.getrandbits(32):08x}"
        self.seals[seal] = (status, body, request["id"])
        writer.write(
            f"HTTP/1.1 {status} X\r\n{echo}Bramleyrouter-Server-Seal: {seal}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()
        return True


def build_table(version, routes, services, limits=None, **more):
    """Build a desired state; ``services`` maps names to fields that differ."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
             "tls": False, "warmupS": 3.0, "warmupPerS": 0.0, **fields}
            for name, fields in services.items()
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, **(limits or {})},
        **more,
    }


def build_route(name, prefix, kind="idempotent", **fields):
    return {"name": name, "host": "app.example", "pathPrefix": prefix, "type": kind,
            "timeoutMs": 4000, "sloMs": 400, "priority": 1, "attempts": 2, **fields}


async def wait_until_ready(fleet, timeout_s=30.0):
    until = time.monotonic() + timeout_s
    for daemon in fleet.entries:
        while True:
            reply = await call(daemon.address("ready"), "GET", "/v1/ready")
            if reply is not None and reply.status == 200:
                break
            if time.monotonic() > until:
                raise RuntimeError(f"{daemon.name} is not ready: {daemon.log[-2000:]}")
            await asyncio.sleep(0.1)


class Client:
    """A client connection that is kept open."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def open(self):
        ip, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        return self

    async def ask(self, path, request_id, method="GET", body=None, deadline_ms=4000, headers=(), host="app.example"):
        self.writer.write(encode_request(method, path, host, [
            ("Bramleyrouter-Request-Id", request_id),
            ("Bramleyrouter-Deadline-Ms", str(deadline_ms)), *headers], body))
        async with asyncio.timeout(deadline_ms / 1000 + 5):
            return await read_response(self.reader, method)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def run_case(case, folder):
    """Run ``case(record)``; exit with 1 if it returns broken rules, 0 if none."""
    record = Record(Path(folder) / "record.txt")
    try:
        broken = asyncio.run(case(record))
        code = 1 if broken else 0
        record("verdict:", *(broken or ["no rule was broken"]))
    except Exception as exc:
        import traceback
        traceback.print_exc()
        record("could not run:", repr(exc))
        code = 2
    record.write()
    print(record.lines[-1])
    sys.exit(code)
