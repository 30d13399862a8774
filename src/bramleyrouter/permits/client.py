"""Acquire permits for an entry daemon from the control daemons.

The issuers are asked one after another. If one has not answered after a short time, the
next one is asked while its answer is awaited. Permits that come too late, or for a
request that was cancelled, serve the next request until they expire.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from result import Err

from bramleyrouter.ids import DataCentre, TableVersion, TenantName
from bramleyrouter.permits.messages import (
    MAX_WANTED,
    PermitReply,
    PermitRequest,
    decode_reply,
    encode_message,
)
from bramleyrouter.permits.stock import (
    SKIP_S,
    IssuerLocation,
    Stock,
    add_permits,
    compute_missing,
    count_request,
    keep_customers,
    rank_issuers,
    record_answer,
    record_silent,
    take_permit,
)
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

# Time in seconds after which the next issuer is asked as well. A round trip takes 1 ms
# inside a data centre, and the objective of the most urgent requests is 80 ms.
NEXT_ISSUER_S = 0.01
# Time limit of one issuer's answer in seconds; a round trip between data centres takes
# tens of milliseconds at most.
ANSWER_TIMEOUT_S = 0.08
# Time in seconds for which a request waits for the other issuers once all have been
# asked and one has refused.
LAST_WAIT_S = 0.03
# Shortest Retry-After in seconds, for a slot that passes while it is handed over.
MIN_SLOT_S = 0.002
# Time in seconds for which an issuer is not asked whose route table doesn't have the
# customer yet.
UNKNOWN_CUSTOMER_S = 0.1


class PermitOutcome(Enum):
    """Enumerate the results of acquiring a permit."""

    GRANTED = "granted"
    OVER_QUOTA = "over quota"
    NO_ISSUER = "no issuer"


class PermitResult(NamedTuple):
    """Hold a permit that expires at a loop time, or why there is none.

    ``retry_after_s`` is the slot of a request over the quota, in seconds. ``asked`` is
    the number of issuers that answered, 0 if the permit was held already.
    """

    outcome: PermitOutcome
    expires_at: float = 0.0
    retry_after_s: float = 0.0
    asked: int = 0


OnPermit = Callable[[PermitResult], None]


@dataclass(eq=False)
class _Round:
    """Hold the requests of one customer that wait for the same answers."""

    customer: TenantName
    started_at: float
    waiting: list[OnPermit] = field(default_factory=list)
    # Loop times of the slots that issuers gave to refused requests.
    slots: list[float] = field(default_factory=list)
    answered: int = 0


@dataclass
class PermitClient:
    """Hold the stock of an entry daemon, and what it needs to ask for more.

    ``list_issuers`` returns the members of the control log.
    """

    network: Network
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    own_data_centre: DataCentre
    stock: Stock
    list_issuers: Callable[[], list[IssuerLocation]]
    record: RecordEvent
    # ``observe(outcome, waited_s)`` updates the metrics.
    observe: Callable[[str, float], None]
    table_version: TableVersion = TableVersion(0)
    # Rounds that start in the next loop iteration.
    starting: dict[TenantName, _Round] = field(default_factory=dict)
    refilling: set[TenantName] = field(default_factory=set)
    tasks: BackgroundTasks = field(default_factory=lambda: BackgroundTasks("permits"))


def set_customers(
    client: PermitClient, version: TableVersion, names: set[TenantName]
) -> None:
    """Set the customers with a limit, of a table version."""
    client.table_version = version
    keep_customers(client.stock, names)


def acquire_permit(
    client: PermitClient, customer: TenantName, on_permit: OnPermit
) -> Callable[[], None]:
    """Acquire a permit and return the closure that cancels this.

    ``on_permit`` is called once unless cancelled, at once if a permit is held.
    """
    now = client.loop.time()
    count_request(client.stock, customer, now)
    held = take_permit(client.stock, customer, now)
    if held is not None:
        _refill(client, customer)
        client.observe(PermitOutcome.GRANTED.value, 0.0)
        on_permit(PermitResult(PermitOutcome.GRANTED, held))
        return lambda: None
    current = client.starting.get(customer)
    if current is None:
        current = client.starting[customer] = _Round(customer, now)
        client.loop.call_soon(_start_round, client, current)
    current.waiting.append(on_permit)

    def cancel() -> None:
        if on_permit in current.waiting:
            current.waiting.remove(on_permit)

    return cancel


def close_client(client: PermitClient) -> None:
    """Cancel all requests for permits."""
    cancel_all(client.tasks)


def _start_round(client: PermitClient, item: _Round) -> None:
    del client.starting[item.customer]
    spawn(client.tasks, _run_round(client, item))


def _refill(client: PermitClient, customer: TenantName) -> None:
    """Ask for a batch of permits ahead of need, one batch at a time."""
    missing = compute_missing(client.stock, customer, client.loop.time())
    if missing <= 0 or customer in client.refilling:
        return
    client.refilling.add(customer)

    async def refill() -> None:
        try:
            for address in _rank(client, customer):
                item = _Round(customer, client.loop.time())
                if await _ask(client, address, item, missing):
                    return
        finally:
            client.refilling.discard(customer)

    spawn(client.tasks, refill())


def _rank(client: PermitClient, customer: TenantName) -> list[str]:
    issuers = client.list_issuers()
    client.rng.shuffle(issuers)
    now = client.loop.time()
    return rank_issuers(client.stock, customer, issuers, client.own_data_centre, now)


async def _run_round(client: PermitClient, item: _Round) -> None:
    """Ask one issuer after another until no request waits, then refuse the others."""
    pending: set[asyncio.Task] = set()
    for address in _rank(client, item.customer):
        if not item.waiting:
            break
        wanted = len(item.waiting)
        wanted += max(
            0, compute_missing(client.stock, item.customer, client.loop.time())
        )
        task = spawn(client.tasks, _ask(client, address, item, min(wanted, MAX_WANTED)))
        pending.add(task)
        _, pending = await asyncio.wait(
            pending, timeout=NEXT_ISSUER_S, return_when=asyncio.FIRST_COMPLETED
        )
    give_up_at = client.loop.time() + LAST_WAIT_S
    while pending and item.waiting:
        left_s = max(0.0, give_up_at - client.loop.time()) if item.answered else None
        done, pending = await asyncio.wait(
            pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            break
    slots = sorted(item.slots, reverse=True)
    while item.waiting:
        outcome = PermitOutcome.OVER_QUOTA if slots else PermitOutcome.NO_ISSUER
        slot_s = max(MIN_SLOT_S, slots.pop() - client.loop.time()) if slots else 0.0
        _reply(client, item, PermitResult(outcome, 0.0, slot_s, item.answered))


async def _ask(client: PermitClient, address: str, item: _Round, wanted: int) -> bool:
    """Ask one issuer for permits; return whether it issued any.

    Their lifetime starts now, before the request leaves: the issuer counts them from a
    moment at or after it, however late the request or its answer is.
    """
    stock, customer = client.stock, item.customer
    expires_at = client.loop.time() + stock.lifetime_s
    request = PermitRequest(client.table_version, ((customer, wanted),))
    payload = encode_message(request)
    outcome = await call_with_timeout(
        client.network,
        address,
        MessageKind.ACQUIRE_PERMITS,
        payload,
        ANSWER_TIMEOUT_S,
    )
    now = client.loop.time()
    reply = PermitReply() if isinstance(outcome, Err) else _decode(outcome.ok_value)
    grant = reply.grants[0] if len(reply.grants) == 1 else None
    if grant is None or grant.granted > wanted:
        _record_no_answer(client, address, reply, now)
        return False
    if not grant.is_known:
        record_answer(stock, customer, address, now + UNKNOWN_CUSTOMER_S)
        return False
    item.answered += 1
    is_empty = grant.granted < wanted
    empty_until = now + grant.free_in_s if is_empty else None
    record_answer(stock, customer, address, empty_until)
    item.slots += [now + slot_s for slot_s in grant.slots]
    add_permits(stock, customer, expires_at, grant.granted)
    while item.waiting:
        held = take_permit(stock, customer, now)
        if held is None:
            break
        granted = PermitResult(PermitOutcome.GRANTED, held, 0.0, item.answered)
        _reply(client, item, granted)
    return grant.granted > 0


def _reply(client: PermitClient, item: _Round, result: PermitResult) -> None:
    """Give the request that waits longest its result."""
    on_permit = item.waiting.pop(0)
    client.observe(result.outcome.value, client.loop.time() - item.started_at)
    on_permit(result)


def _decode(payload: bytes) -> PermitReply:
    """Decode a reply; one that can't be read counts as no answer."""
    return decode_reply(payload).unwrap_or(PermitReply())


def _record_no_answer(
    client: PermitClient, address: str, reply: PermitReply, now: float
) -> None:
    if client.stock.skipped_until.get(address, 0.0) <= now:
        client.record("permits", "no_answer", issuer=address, wait_s=reply.wait_s)
    wait_s = SKIP_S if reply.wait_s is None else min(SKIP_S, reply.wait_s)
    record_silent(client.stock, address, now + wait_s)
