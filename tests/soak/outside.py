"""Stand in for backend servers, callers, the balancer and operators."""

import asyncio
import contextlib
import json
import random
import time

from bramleyrouter.platform.names import (
    CONFIG_PATH,
    DEADLINE_MS,
    NOT_EXECUTED,
    REPLICAS_PREFIX,
    REQUEST_ID,
    SERVER_SEAL,
    TARGET_INSTANCE,
)
from tests.soak.records import Cut, Record, judge_answer, judge_read
from tests.support.platform_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    EMPTY_TABLE,
    PlatformProcesses,
    Vm,
)
from tests.support.raw_server import get_header, start_raw_server

HEARTBEAT_S = 1.2
PROBE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 3.0
DEADLINE_LIMIT_MS = 1500
HOST = "soak.example"
# Times for which backend servers work and callers pause, in seconds. Slow callers keep
# their connections idle for about as long as a daemon waits for the balancer when it
# stops, so that some requests arrive just before the end of that wait.
WORK_TIMES_S = (0.002, 0.005, 0.02, 0.2)
PAUSES_S = (0.01, 0.06)
SLOW_WORK_S = 1.0
SLOW_PAUSES_S = (2.2, 3.6)
# Failures of a call that the other side or the fault causes.
CALL_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)


async def read_answer(reader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer; raise ``IncompleteReadError`` if it ends early.

    Raise ``ValueError`` if the bytes are no answer with a length.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.LimitOverrunError as exc:
        raise ValueError("The answer has no head.") from exc
    lines = head.split("\r\n")[:-2]
    version, _, rest = lines[0].partition(" ")
    if version != "HTTP/1.1":
        raise ValueError(f'The answer begins with "{lines[0][:40]}".')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" not in headers:
        raise ValueError("The answer has no length.")
    body = await reader.readexactly(int(headers["content-length"]))
    return int(rest[:3]), headers, body


def write_request(writer, method: str, path: str, headers, body: bytes = b"") -> None:
    """Write one request with a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


async def call(address: str, method: str, path: str, body: bytes = b"", headers=None):
    """Send one request on a new connection; raise one of ``CALL_ERRORS``."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            write_request(writer, method, path, headers or {"Host": host}, body)
            return await read_answer(reader)
        finally:
            writer.close()


def make_body(request_id: str, size: int) -> bytes:
    """Return the body of a reply; it names the request all over."""
    return (f"{request_id} ".encode() * (size // len(request_id) + 1))[:size]


class Outside:
    """Hold what surrounds one deployment; each ``run_`` method goes on for ever."""

    def __init__(self, platform: PlatformProcesses, record: Record, seed: int):
        self.platform, self.record = platform, record
        self.rng = random.Random(f"outside {seed}")
        self.version = 0
        self.misses = {vm.name: 2 for vm in platform.entries}

    def choose_control(self) -> str:
        """Return the address of one of the control daemons."""
        return f"{self.rng.choice(self.platform.controls).ip}:{CONTROL_PORT}"

    async def run_server(self, server_id: str, service: str, data_centre: str) -> None:
        """Serve a service and send heartbeats."""
        server = await start_raw_server(self._build_script(server_id))
        row = {"service": service, "addr": server.address, "zone": data_centre}
        row |= {"version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0}
        row["born"] = int(time.time() * 1000)
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps({**row, "seq": sequence}).encode()
            for _ in self.platform.controls:
                try:
                    path = REPLICAS_PREFIX + server_id
                    answer = await call(self.choose_control(), "PUT", path, body)
                    if answer[0] == 200:
                        break
                except CALL_ERRORS:
                    self.record.checks["heartbeats failed"] += 1
            await asyncio.sleep(HEARTBEAT_S)

    def _build_script(self, server_id: str):
        async def reply(request: bytes, writer) -> bool:
            path = request.split(b" ", 2)[1].decode()
            request_id = get_header(request, REQUEST_ID) or ""
            headers = {REQUEST_ID: request_id}
            status, body = 200, b""
            if path == "/health":
                headers["Bramleyrouter-Instance-Id"] = server_id
            elif get_header(request, TARGET_INSTANCE) not in (None, server_id):
                status, headers[NOT_EXECUTED] = 421, "1"
            else:
                times = self.record.runs[request_id]
                times.append(self.record.now_s())
                is_slow = request_id.startswith("slow-")
                work_s = SLOW_WORK_S if is_slow else self.rng.choice(WORK_TIMES_S)
                await asyncio.sleep(work_s)
                signature = f"{server_id}.{request_id}.{len(times)}"
                headers[SERVER_SEAL] = signature
                body = make_body(request_id, self.rng.choice((20, 400, 9000)))
                self.record.replies[request_id].append((signature, body))
            lines = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            return True

        return reply

    async def run_balancer(self) -> None:
        """Probe the entry daemons as the platform does."""
        while True:
            ready = await asyncio.gather(
                *(self.platform.is_ready(vm) for vm in self.platform.entries)
            )
            for vm, is_ready in zip(self.platform.entries, ready, strict=True):
                self.misses[vm.name] = 0 if is_ready else self.misses[vm.name] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _choose_entry(self) -> Vm:
        entries = self.platform.entries
        return self.rng.choice(
            [vm for vm in entries if self.misses[vm.name] < 2] or entries
        )

    async def run_caller(self, name: str, is_slow: bool = False) -> None:
        """Send requests on kept connections, until the daemon closes each."""
        count = 0
        name = f"slow-{name}" if is_slow else name
        pauses = SLOW_PAUSES_S if is_slow else PAUSES_S
        while True:
            vm = self._choose_entry()
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    conn = await asyncio.open_connection(vm.ip, CALLER_PORT)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            with contextlib.closing(conn[1]):
                is_open = True
                while is_open:
                    count += 1
                    is_open = await self._exchange(vm, conn, f"{name}-{count}")
                    await asyncio.sleep(self.rng.uniform(*pauses))

    async def _exchange(self, vm: Vm, conn, request_id: str) -> bool:
        """Send one request; return whether the connection can be used again."""
        reader, writer = conn
        record = self.record
        is_submission = self.rng.random() < 0.4
        record.asked.add(request_id)
        headers = {"Host": HOST, REQUEST_ID: request_id, DEADLINE_MS: DEADLINE_LIMIT_MS}
        sent_at = record.now_s()
        try:
            if is_submission:
                record.submissions.add(request_id)
                body = make_body(request_id, self.rng.choice((10, 3000)))
                write_request(writer, "POST", "/submit/x", headers, body)
            else:
                write_request(writer, "GET", "/read/x", headers)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await writer.drain()
                status, found, body = await read_answer(reader)
        except TimeoutError:
            record.checks["unanswered"] += 1
            return False
        except (OSError, asyncio.IncompleteReadError):
            record.cuts.append(Cut(request_id, vm.name, sent_at, record.now_s()))
            return False
        except ValueError as exc:
            record.add_violation("no answer in the protocol", f"{request_id}: {exc}")
            return False
        judge_answer(record, request_id, status, found, body)
        return found.get("connection", "").lower() != "close"

    def build_table(self, version: int) -> dict:
        """Return a route table with a route that only this version has."""
        make_route = lambda prefix, kind, service: {
            "name": prefix.strip("/"),
            "host": HOST,
            "pathPrefix": prefix,
            "type": kind,
            "timeoutMs": 1500,
            "sloMs": 300,
            "priority": 1,
            "service": service,
            "attempts": 2,
        }
        routes = [
            make_route("/read/", "idempotent", "reads"),
            make_route("/submit/", "non_idempotent", "submissions"),
            make_route(f"/version-{version}/", "idempotent", "reads"),
        ]
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1"}
            | {"tls": False, "warmupS": 0.0, "warmupPerS": 0.0}
            for name in ("reads", "submissions")
        ]
        limits = EMPTY_TABLE["limits"]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }

    def next_version(self) -> int:
        """Return a version that wasn't sent yet."""
        self.version += self.rng.randint(1, 3)
        self.record.sent_tables[self.version] = self.build_table(self.version)
        return self.version

    async def publish(self, version: int, limit_s: float) -> bool:
        """Send a table until it is acknowledged; return whether it was."""
        record = self.record
        body = json.dumps(record.sent_tables[version]).encode()
        end = record.now_s() + limit_s
        while record.now_s() < end:
            try:
                status, _, _ = await call(
                    self.choose_control(), "PUT", CONFIG_PATH, body
                )
            except CALL_ERRORS:
                status = 0
            if status == 200:
                record.checks["acknowledgements"] += 1
                record.acknowledged.setdefault(version, record.now_s())
                return True
            if 400 <= status < 500 and status not in (408, 429):
                text = f"version {version} got {status}"
                record.add_violation("valid table refused", text)
                return False
            await asyncio.sleep(0.1)
        return False

    async def run_operator(self) -> None:
        """Publish, resend, send invalid tables and read back."""
        while True:
            choice = self.rng.random()
            if choice < 0.6 or not self.version:
                await self.publish(self.next_version(), 3.0)
            elif choice < 0.75:
                version = self.rng.choice(list(self.record.sent_tables))
                await self.publish(version, 1.0)
            elif choice < 0.85:
                await self._send_invalid()
            else:
                await self.read_back()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    async def _send_invalid(self) -> None:
        table = self.build_table(self.version + 1000)
        table["routes"][0]["service"] = "unknown"
        try:
            body = json.dumps(table).encode()
            status, _, _ = await call(self.choose_control(), "PUT", CONFIG_PATH, body)
        except CALL_ERRORS:
            return
        self.record.checks["invalid tables"] += 1
        if status == 200:
            self.record.add_violation("invalid table", "acknowledged")

    async def read_back(self) -> int:
        """Read the table of one control daemon; return its version, or 0."""
        sent_at = self.record.now_s()
        try:
            status, _, body = await call(self.choose_control(), "GET", CONFIG_PATH)
            document = json.loads(body) if status == 200 else {}
        except CALL_ERRORS:
            return 0
        judge_read(self.record, sent_at, status, document)
        return document.get("version", 0)

    async def serves_version(self, vm: Vm, version: int) -> bool:
        """Return whether an entry daemon serves the routes of a version."""
        for method, path in (("GET", f"/version-{version}/x"), ("POST", "/submit/x")):
            request_id = f"final-{self.rng.getrandbits(64):x}"
            self.record.asked.add(request_id)
            headers = {
                "Host": HOST,
                REQUEST_ID: request_id,
                DEADLINE_MS: DEADLINE_LIMIT_MS,
            }
            address = f"{vm.ip}:{CALLER_PORT}"
            try:
                status, found, body = await call(address, method, path, headers=headers)
            except CALL_ERRORS:
                return False
            if status != 200:
                return False
            judge_answer(self.record, request_id, status, found, body)
        return True
