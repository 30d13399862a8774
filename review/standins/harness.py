"""Start the project's programs on loopback, and stand in for the rest.

Stand-ins: the platform (settings files, restarts), the operator, clients and
replicas. They follow PROTOCOL.md and DEPLOY.md and use the standard library only.
"""

import asyncio
import contextlib
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
ZONES = ("zone-a", "zone-b", "zone-c")
# Bounds of the small deployment in SYSTEM.md (Terre Sure).
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchupS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lostSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudget": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "warmupFactor": 1.5,
    "warmupSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
}
HEARTBEAT_S = 1.2
CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT = 8106, 8104, 8108, 7380
# Time limit of one case, in seconds; a script may run for 120.
CASE_LIMIT_S = 112.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def add(self, event, **fields):
        """Write one event and return its time."""
        at = self.now()
        fields = {"at": round(at, 4), "event": event, **fields}
        self.file.write(json.dumps(fields) + "\n")
        self.file.flush()
        return at


async def read_head(reader):
    """Return the start line and the headers (lower-case names) of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def http(address, method, path, headers=(), body=None, timeout=1.0):
    """Send one request on a new connection; return (status, headers, body).

    Raises OSError or TimeoutError, or IncompleteReadError on a cut answer. The
    connection is closed in any case.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {address}")
            if body is not None:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
            start, found = await read_head(reader)
            length = int(found.get("content-length", "0"))
            content = await reader.readexactly(length) if length else b""
            return int(start.split(" ")[1]), found, content
        finally:
            writer.close()


class Process:
    """Hold one program of the deploy file."""

    def __init__(self, case, role, name, ip, zone):
        self.case, self.role, self.name = case, role, name
        self.ip, self.zone = ip, zone
        self.popen = None
        self.is_first_start = True
        self.log = open(case.folder / f"{name}.log", "ab")
        run = case.deploy["roles"][role]["run"].split()
        self.command = run

    @property
    def internal(self):
        """Return the address for other daemons."""
        return f"{self.ip}:{INTERNAL_PORT}"

    def address(self, port):
        """Return an address on this machine."""
        return f"{self.ip}:{port}"

    def start(self):
        """Write the settings file and start the process."""
        path = self.case.folder / f"{self.name}.toml"
        path.write_text(self.case.build_settings(self, self.is_first_start))
        self.is_first_start = False
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = "target/deps"
        env["BRAMLEYROUTER_CONFIG"] = str(path)
        self.popen = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.case.record.add("start", process=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)
        self.case.record.add("signal", process=self.name, signal=number.name)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()


class Replica:
    """Stand in for one replica of a service."""

    def __init__(self, case, replica_id, service, ip, zone, first_control, slots=2):
        self.case, self.id, self.service = case, replica_id, service
        self.ip, self.zone, self.slots = ip, zone, slots
        self.control = first_control
        self.address = f"{ip}:8080"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.warmup_left_ms = 0
        self.work_s = 0.01
        self.beating = None
        self.server = None
        self.connections = set()
        self.runs = 0
        self.busy = 0

    async def start(self):
        """Listen and begin to send liveness reports."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beating = asyncio.create_task(self.beat_forever())

    async def serve(self, reader, writer):
        """Serve the requests of one connection, one at a time."""
        self.connections.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                await self.handle(start, headers, body, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, start, headers, body, writer):
        """Run one request, or turn it away, and answer it."""
        request_id = headers.get("bramleyrouter-request-id", "")
        fields = {"replica": self.id, "id": request_id, "line": start}
        target = headers.get("bramleyrouter-target-instance", self.id)
        if target != self.id:
            head = f"HTTP/1.1 421 Misdirected\r\nBramleyrouter-Instance-Id: {self.id}"
            self.case.record.add("misdirected", **fields)
            writer.write((head + "\r\nContent-Length: 0\r\n\r\n").encode())
            return
        if self.busy >= self.slots:
            self.case.record.add("not_run", **fields)
            head = "HTTP/1.1 503 Full\r\nBramleyrouter-Not-Executed: 1"
            head += f"\r\nBramleyrouter-Request-Id: {request_id}"
            writer.write((head + "\r\nContent-Length: 0\r\n\r\n").encode())
            return
        at = self.case.record.add("run", **fields)
        self.runs += 1
        self.case.runs.append((at, self.id, request_id))
        self.busy += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.busy -= 1
        content = f"{self.id} {request_id}".encode()
        head = "HTTP/1.1 200 OK\r\n"
        head += f"Bramleyrouter-Server-Seal: {self.id}.{self.runs}\r\n"
        head += f"Bramleyrouter-Request-Id: {request_id}\r\n"
        head += f"Content-Length: {len(content)}\r\n\r\n"
        writer.write(head.encode() + content)
        self.case.record.add("ran", **fields)

    async def beat_forever(self):
        """Send a liveness report each ``HEARTBEAT_S`` seconds."""
        while True:
            started = time.monotonic()
            await self.beat()
            await asyncio.sleep(max(0.0, started + HEARTBEAT_S - time.monotonic()))

    async def beat(self):
        """Send one liveness report; move on to the next daemon on a failure."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeftMs": self.warmup_left_ms,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()
        return await self.call_control("PUT", body)

    async def leave(self, first_address=None):
        """Send DELETE and stop the liveness reports; return the ack's time.

        The call has no body, as ``fleetbench wire`` shows it. ``first_address`` stands
        for the path to the first daemon called, if that is not the daemon itself.
        """
        self.beating.cancel()
        return await self.call_control("DELETE", None, first_address)

    async def call_control(self, method, body, first_address=None):
        """Call the daemon of the last report, and the next one after a failure."""
        for at in range(6):
            control = self.control
            address = first_address if first_address and not at else control
            try:
                status, _, content = await http(
                    address,
                    method,
                    f"/v1/replicas/{self.id}",
                    [("Content-Type", "application/json")] if body else [],
                    body,
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status, content = 0, b""
            at = self.case.record.add(
                "liveness",
                replica=self.id,
                method=method,
                control=control,
                status=status,
            )
            if 200 <= status < 300:
                named = json.loads(content or b"{}").get("beatAddr")
                if named:
                    self.control = named
                return at
            controls = self.case.control_addresses()
            index = controls.index(control) if control in controls else 0
            self.control = controls[(index + 1) % len(controls)]
        return None

    async def exit(self):
        """End the replica: all its connections close."""
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.case.record.add("replica_exit", replica=self.id)


class Case:
    """Hold the processes and stand-ins of one case."""

    def __init__(self, folder, entries=3):
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.network = self.choose_network()
        self.runs = []
        self.controls = [
            Process(self, "control", f"core-{zone}", self.ip(10 + at), zone)
            for at, zone in enumerate(ZONES)
        ]
        self.entries = [
            Process(self, "entry", f"front-{at}", self.ip(20 + at), ZONES[at % 3])
            for at in range(entries)
        ]
        self.replicas = []
        self.sent = 0
        self.sent_at = {}
        self.answers = {}
        self.paths = []
        self.tasks = []

    def choose_network(self):
        """Return the first three numbers of loopback addresses that are free."""
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in (10, 20):
                    for port in (9464, CONTROL_PORT, FRONT_PORT, INTERNAL_PORT):
                        with socket.socket() as sock:
                            sock.bind((f"{network}.{last}", port))
                return network
            except OSError:
                continue
        raise RuntimeError("No free loopback addresses were found.")

    def ip(self, last):
        """Return an address of this case."""
        return f"{self.network}.{last}"

    def control_addresses(self):
        """Return the addresses of the daemons that serve control."""
        return [item.address(CONTROL_PORT) for item in self.controls]

    def build_settings(self, process, is_first_start):
        """Return the settings file of a process, as DEPLOY.md shows it."""
        is_control = process.role == "control"
        seeds = ",".join(f'"{item}"' for item in self.control_addresses())
        lines = [
            f'node = "{process.name}"',
            f'role = "{process.role}"',
            f'machineClass = "{"core" if is_control else "front"}"',
            f'serves = ["{"control" if is_control else "front"}"]',
            f'ip = "{process.ip}"',
            f'zone = "{process.zone}"',
            'region = "region-1"',
            f"internalPorts = [{INTERNAL_PORT},{INTERNAL_PORT + 15}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {str(is_first_start).lower()}",
            f"inTolerance = {str(is_control).lower()}",
            'discovery = "registry"',
            'entry = "vip"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","retry","recover","places"]',
            'config_mode = "highest"',
        ]
        if is_control:
            lines.append(f'dataDir = "{self.folder / process.name}"')
        lines += ["[zones]", *(f'{zone} = "region-1"' for zone in ZONES), "[listen]"]
        if is_control:
            lines.append(f'control = "{process.address(CONTROL_PORT)}"')
        else:
            lines.append(f'front = "{process.address(FRONT_PORT)}"')
            lines.append(f'ready = "{process.address(READY_PORT)}"')
        lines += [
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            f"diskMb = {128 if is_control else 0}",
            "[faultTolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
        ]
        return "\n".join(lines) + "\n"

    def start_processes(self):
        """Start all processes; each control daemon has a data folder of its own."""
        for process in self.controls:
            (self.folder / process.name).mkdir()
        for process in self.controls + self.entries:
            process.start()

    async def add_replica(
        self, replica_id, service, last, zone, first_control, **fields
    ):
        """Start a replica stand-in and return it."""
        control = self.controls[first_control].address(CONTROL_PORT)
        replica = Replica(self, replica_id, service, self.ip(last), zone, control)
        for name, value in fields.items():
            setattr(replica, name, value)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def order(self, method, path, first, body=None, limit_s=30.0):
        """Send an order of the operator until it is acknowledged.

        The first call goes to the control daemon number ``first``. After a failure, a
        5xx or a second without a response the same order goes to the next one. Return
        the time of the ack.
        """
        deadline = time.monotonic() + limit_s
        at, wait_s = first, 0.1
        headers = [("Content-Type", "application/json")] if body else []
        while time.monotonic() < deadline:
            control = self.controls[at % len(self.controls)]
            self.record.add("order_sent", order=f"{method} {path}", to=control.name)
            try:
                status, _, _ = await http(
                    control.address(CONTROL_PORT), method, path, headers, body
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
                status = 0
                self.record.add("order_open", to=control.name, why=type(exc).__name__)
            if 200 <= status < 300:
                return self.record.add(
                    "order_acked", order=f"{method} {path}", by=control.name
                )
            if status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"{method} {path} was refused with {status}")
            at += 1
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, 1.0)
        return None

    async def request(self, entry, path, method="GET", body=None, limit_ms=4000):
        """Send one request of a client; return (id, status, headers, body).

        The status is 0 if no complete answer came.
        """
        self.sent += 1
        request_id = f"c{self.sent:06d}{random.getrandbits(32):08x}"
        fields = {"id": request_id, "to": entry.name, "line": f"{method} {path}"}
        self.sent_at[request_id] = self.record.add("sent", **fields)
        headers = [
            ("Host", "shop.example"),
            ("Bramleyrouter-Request-Id", request_id),
            ("Bramleyrouter-Deadline-Ms", str(limit_ms)),
        ]
        try:
            status, found, content = await http(
                entry.address(FRONT_PORT),
                method,
                path,
                headers,
                body,
                limit_ms / 1000,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            status, found, content = 0, {}, type(exc).__name__.encode()
        self.record.add("answered", status=status, **fields)
        self.answers[request_id] = status
        return request_id, status, found, content

    def lost_runs(self, replica_id):
        """Return the ids of requests that ran at a replica without a good answer."""
        return {
            rid
            for _, name, rid in self.runs
            if name == replica_id and self.answers.get(rid, 0) != 200
        }

    async def wait_until_served(self, path, count, limit_s=25.0, entries=None):
        """Wait until each entry daemon has answered ``count`` requests with 200."""
        deadline = time.monotonic() + limit_s
        for entry in entries or self.entries:
            good = 0
            while good < count:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{entry.name} does not serve {path}")
                _, status, _, _ = await self.request(entry, path)
                good += status == 200
                await asyncio.sleep(0.05)

    async def open_silent_path(self, last):
        """Return the address of a path that holds all bytes and delivers none."""

        async def hold(reader, writer):
            with contextlib.suppress(OSError):
                while await reader.read(4096):
                    pass
            writer.close()

        self.paths.append(await asyncio.start_server(hold, self.ip(last), 8106))
        return f"{self.ip(last)}:8106"

    async def stop(self):
        """End all processes and stand-ins that this case started."""
        for task in self.tasks:
            task.cancel()
        for process in self.controls + self.entries:
            if process.popen is not None and process.popen.poll() is None:
                with contextlib.suppress(OSError):
                    process.popen.send_signal(signal.SIGCONT)
                    process.popen.kill()
                process.popen.wait()
        for replica in self.replicas:
            if replica.beating:
                replica.beating.cancel()
            replica.server.close()
        for path in self.paths:
            path.close()


def build_config(version, routes, services):
    """Return the body of a desired state."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()


def build_service(name, max_conns=26, warmup_per_s=0.0):
    """Return one service of a desired state."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": max_conns,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": warmup_per_s,
    }


def build_route(name, service=None, kind="idempotent", timeout_ms=4000, **fields):
    """Return one route of a desired state under the path "/name/"."""
    route = {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 400,
        "priority": 1,
        "attempts": 2,
        **fields,
    }
    if service:
        route["service"] = service
    return route


def run_case(folder, play, entries=3):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    ``play(case)`` is a coroutine function that returns the list of breaks.
    """

    async def run():
        case = Case(folder, entries)
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                breaks = await play(case)
            for item in breaks:
                case.record.add("broken", what=item)
            case.record.add("verdict", broken=len(breaks), trouble=TROUBLE)
            print(f"trouble={TROUBLE} broken={len(breaks)} {breaks[:2]}")
            return 1 if breaks else 0
        except Exception as exc:
            case.record.add("could_not_run", why=repr(exc))
            print(f"could not run: {exc!r}")
            if os.environ.get("KEEP_LOGS"):
                for path in case.folder.glob("*.log"):
                    print(path.name, path.read_text()[-3000:], file=sys.stderr)
            return 2
        finally:
            await case.stop()

    sys.exit(asyncio.run(run()))
