"""Random schedules of entry daemons and issuers, in virtual time."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.permits import Permit, use_permit
from bramleyrouter.ids import DataCentre, TenantName
from bramleyrouter.permits.client import PermitClient, PermitOutcome, acquire_permit
from bramleyrouter.permits.issuing import PERMIT_LIFETIME_S, Issuer, Quota, QuotaBounds
from bramleyrouter.permits.server import IssuerFacts, serve_permits
from bramleyrouter.permits.start_reserves import maintain_start_reserve
from bramleyrouter.permits.stock import IssuerLocation, Stock
from bramleyrouter.wire.network import Network, Peer
from tests.support.memory_disk import MemoryDisk

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
CUSTOMER = TenantName("c")
PEER = Peer("entry", "dc0", "entry")


@dataclass(eq=False)
class IssuerProcess:
    """Hold one issuer, and its own view of the log."""

    address: str
    members: frozenset
    quota: Quota
    handle: object = None
    issuer: Issuer = None
    update: object = None
    reserve: object = None
    paused_until: float = 0.0


@dataclass
class Schedule:
    """Hold the processes and faults of one schedule, and the uses that were sent.

    ``delay`` returns the seconds that a message takes, or none if it is lost.
    """

    seed: int
    tolerated_losses: int = 1
    lifetime_s: float = PERMIT_LIFETIME_S
    delay_s: float = 0.0005
    rng: random.Random = None
    delay: object = None
    issuers: dict = field(default_factory=dict)
    disks: dict = field(default_factory=dict)
    members: frozenset = frozenset()
    calls: int = 0
    uses: list = field(default_factory=list)
    results: list = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.delay = lambda: self.delay_s

    def start_issuer(self, address, quota):
        """Start an issuer, or start it again without what it had issued."""
        process = IssuerProcess(address, self.members, quota)
        process.issuer = Issuer(BOUNDS, self.lifetime_s)

        def serve(kind, handler):
            process.handle = handler

        network = Network(*[None] * 3, serve, *[None] * 3)
        facts = IssuerFacts(
            address,
            self.tolerated_losses,
            lambda: process.members,
            lambda: {CUSTOMER: process.quota},
        )
        process.update = serve_permits(
            network, process.issuer, facts, _now, lambda *args, **fields: None
        )
        process.update()
        self.issuers[address] = process
        # The process before it can't write any more.
        disk = self.disks.setdefault(address, MemoryDisk())
        disk.crash()
        process.reserve = asyncio.get_running_loop().create_task(
            maintain_start_reserve(
                disk.open(),
                process.issuer,
                lambda: process.members,
                _now,
                lambda *args, **fields: None,
            )
        )

    async def call(self, address, kind, payload, timeout_s):
        """Carry a request and its reply; both may be late, lost or reordered."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        reply = loop.create_future()

        async def arrive():
            process = self.issuers.get(address)
            if process is None:
                return
            await asyncio.sleep(max(0.0, process.paused_until - _now()))
            outcome = await process.handle(PEER, payload)
            delay_s = self.delay()
            if delay_s is not None:
                await asyncio.sleep(delay_s)
                if not reply.done():
                    reply.set_result(outcome)

        delay_s = self.delay()
        if delay_s is not None:
            loop.call_later(delay_s, lambda: loop.create_task(arrive()))
        done, _ = await asyncio.wait([reply], timeout=timeout_s)
        return reply.result() if done else Err(Failure(Code.PEER_TIMEOUT, ""))

    def build_client(self, data_centre="dc0"):
        """Start an entry daemon."""

        def list_issuers():
            return [
                IssuerLocation(address, DataCentre(f"dc{int(address[1:]) % 3}"))
                for address in sorted(self.issuers)
            ]

        network = Network(self.call, *[None] * 6)
        return PermitClient(
            network,
            asyncio.get_running_loop(),
            self.rng,
            DataCentre(data_centre),
            Stock(PERMIT_LIFETIME_S),
            list_issuers,
            lambda *args, **fields: None,
            lambda outcome, waited_s: None,
        )

    def send_request(self, client, wait_s=0.0, has_expiry=True):
        """Acquire a permit and use it after a wait; note each use that is sent."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()

        def use(permit):
            if use_permit(permit, loop.time()):
                self.uses.append(loop.time())

        def on_permit(result):
            self.results.append((loop.time(), loop.time() - asked_at, result))
            if result.outcome is PermitOutcome.GRANTED:
                expires_at = result.expires_at if has_expiry else float("inf")
                loop.call_later(wait_s, use, Permit(expires_at))

        acquire_permit(client, CUSTOMER, on_permit)


def _now():
    return asyncio.get_running_loop().time()


def count_most_in_a_window(times, since=0.0):
    """Return the most uses in any window that starts at or after ``since``."""
    times = sorted(at for at in times if at >= since)
    most, end = 0, 0
    for start, first in enumerate(times):
        while end < len(times) and times[end] < first + BOUNDS.window_s:
            end += 1
        most = max(most, end - start)
    return most
