"""Mirrors: streams of remote control daemons, forwarded inside a data centre.

Where a data centre has several control daemons and many entry daemons, one control
daemon subscribes to each remote stream and forwards it. The links between data
centres then carry as many streams as there are control daemons, not as there are
entry daemons. Updates are forwarded unchanged, so entry daemons still merge the
updates of each control daemon themselves.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Ok, Result

from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.messages import (
    MIRROR,
    RolloutUpdate,
    Update,
    decode_update,
    encode_update,
)
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import ServerId
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network


@dataclass(eq=False)
class Mirror:
    """Hold the state of one remote stream and its local subscribers.

    ``rows`` holds each row with the loop time at which it was received. ``latest``
    holds the latest value of every other field. ``is_complete`` is set once the
    first full update has been applied. ``subscribers`` are the functions that send
    an update to one entry daemon each, and completing a future in
    ``forwarded_streams`` ends the stream to one of them.
    """

    address: str
    last_contact_at: float
    rows: dict[ServerId, tuple[ServerRow, float]] = field(default_factory=dict)
    latest: Update = Update(is_full=True)
    is_complete: bool = False
    subscribers: set[Callable[[bytes], None]] = field(default_factory=set)
    forwarded_streams: set[asyncio.Future] = field(default_factory=set)


@dataclass
class Mirrors:
    """Hold the mirrors of one control daemon by the remote address."""

    network: Network
    times: StreamTimes
    tasks: BackgroundTasks
    by_address: dict[str, Mirror] = field(default_factory=dict)


def apply_update(mirror: Mirror, update: Update, now: float) -> None:
    """Apply an update to the state that is sent to new subscribers."""
    mirror.last_contact_at = now
    if update.is_full:
        mirror.rows.clear()
        mirror.latest = Update(is_full=True)
        mirror.is_complete = True
    for row in update.rows:
        mirror.rows[row.server_id] = (row, now)
    changed_fields = {
        name: getattr(update, name)
        for name in update.__struct_fields__
        if name not in ("rows", "is_full") and getattr(update, name) is not None
    }
    if update.revision is None:
        # Without a revision the empty tuple is only the default of the field.
        changed_fields.pop("data_centres_out", None)
    if update.members_index is None:
        changed_fields.pop("members", None)
    # A confirmation holds only for the moment at which it was sent.
    changed_fields.pop("confirmed_revision", None)
    if changed_fields.get("rollouts_revision") is None:
        changed_fields.pop("rollouts", None)
    latest = mirror.latest
    if isinstance(update, RolloutUpdate) and not isinstance(latest, RolloutUpdate):
        known = {name: getattr(latest, name) for name in latest.__struct_fields__}
        latest = RolloutUpdate(**known)
    mirror.latest = msgspec.structs.replace(latest, **changed_fields)


def build_snapshot(mirror: Mirror, now: float) -> Update:
    """Build a full update of the stream's current state.

    Each row's ``cold_s`` is reduced by the time since the row was received.
    """
    rows = tuple(
        msgspec.structs.replace(row, cold_s=max(0.0, row.cold_s - (now - at)))
        for row, at in mirror.rows.values()
    )
    return msgspec.structs.replace(mirror.latest, rows=rows)


async def forward_stream(
    mirrors: Mirrors, address: str, send: Callable[[bytes], None]
) -> Result[None, Failure]:
    """Forward the stream of ``address`` until it ends or times out.

    The first call for an address starts its mirror. A later subscriber gets a
    snapshot first.
    """
    loop = asyncio.get_running_loop()
    mirror = mirrors.by_address.get(address)
    if mirror is None:
        mirror = mirrors.by_address[address] = Mirror(address, loop.time())
        spawn(mirrors.tasks, _run_mirror(mirrors, mirror))
    if mirror.is_complete:
        send(encode_update(build_snapshot(mirror, loop.time())))
    ended: asyncio.Future[None] = loop.create_future()
    mirror.subscribers.add(send)
    mirror.forwarded_streams.add(ended)
    try:
        await ended
    finally:
        mirror.subscribers.discard(send)
        mirror.forwarded_streams.discard(ended)
    return Ok(None)


async def _run_mirror(mirrors: Mirrors, mirror: Mirror) -> None:
    """Subscribe to the remote stream; when it ends, end the forwarded streams."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()

    def on_item(payload: bytes) -> None:
        decoded = decode_update(payload).ok()
        if decoded is None:
            # The entry daemons then open a stream to the remote control daemon
            # directly and record the failure.
            on_end(None)
            return
        # The entry daemons record the rows that were left out.
        apply_update(mirror, decoded.update, loop.time())
        for send in list(mirror.subscribers):
            send(payload)

    def on_end(_) -> None:
        if not ended.done():
            ended.set_result(None)

    cancel: Callable[[], None] = lambda: None
    try:
        cancel = mirrors.network.stream(
            mirror.address, MessageKind.WATCH_FLEET, MIRROR, on_item, on_end
        )
        while not ended.done():
            remaining_s = (
                mirror.last_contact_at + mirrors.times.stream_timeout_s - loop.time()
            )
            if remaining_s <= 0 or (
                mirror.is_complete and not mirror.forwarded_streams
            ):
                break
            await asyncio.wait([ended], timeout=remaining_s)
    finally:
        cancel()
        if mirrors.by_address.get(mirror.address) is mirror:
            del mirrors.by_address[mirror.address]
        for fut in list(mirror.forwarded_streams):
            if not fut.done():
                fut.set_result(None)
