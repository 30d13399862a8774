"""Pass the streams of far control daemons on inside a data centre.

Where a data centre has several control daemons and many entry daemons, each
far stream comes in once and is passed on, so that the links between data centres
carry as many streams as there are control daemons, not entry daemons. An update
is passed on as it came: entry daemons still merge what each control daemon says.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Ok, Result

from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.messages import MIRROR, Update, decode_update, encode_update
from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.ids import ServerId
from bramleyrouter.utils.tasks import BackgroundTasks, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network


@dataclass(eq=False)
class Mirror:
    """Hold one far stream: all that it told, and who follows it here.

    ``rows`` keeps with each row the loop time at which it came.
    """

    address: str
    last_contact_at: float
    rows: dict[ServerId, tuple[ServerRow, float]] = field(default_factory=dict)
    told: Update = Update(is_full=True)
    is_complete: bool = False
    followers: set[Callable[[bytes], None]] = field(default_factory=set)
    ends: set[asyncio.Future] = field(default_factory=set)


@dataclass
class Mirrors:
    """Hold the far streams of one control daemon by address."""

    network: Network
    times: StreamTimes
    group: BackgroundTasks
    by_address: dict[str, Mirror] = field(default_factory=dict)


def take(mirror: Mirror, update: Update, now: float) -> None:
    """Add an update to what a new follower is told."""
    mirror.last_contact_at = now
    if update.is_full:
        mirror.rows.clear()
        mirror.told = Update(is_full=True)
        mirror.is_complete = True
    for row in update.rows:
        mirror.rows[row.server_id] = (row, now)
    news = {
        name: getattr(update, name)
        for name in update.__struct_fields__
        if name not in ("rows", "is_full") and getattr(update, name) is not None
    }
    if update.revision is None:
        # An empty list stands for no news unless the revision comes with it.
        news.pop("data_centres_out", None)
    if update.members_index is None:
        news.pop("members", None)
    mirror.told = msgspec.structs.replace(mirror.told, **news)


def snapshot(mirror: Mirror, now: float) -> Update:
    """Return all that the stream told, with cold servers as cold as they are now."""
    rows = tuple(
        msgspec.structs.replace(row, cold_s=max(0.0, row.cold_s - (now - at)))
        for row, at in mirror.rows.values()
    )
    return msgspec.structs.replace(mirror.told, rows=rows)


async def follow(
    mirrors: Mirrors, address: str, send: Callable[[bytes], None]
) -> Result[None, Failure]:
    """Pass the stream of ``address`` on until it ends or falls silent."""
    loop = asyncio.get_running_loop()
    mirror = mirrors.by_address.get(address)
    if mirror is None:
        mirror = mirrors.by_address[address] = Mirror(address, loop.time())
        spawn(mirrors.group, _keep(mirrors, mirror))
    if mirror.is_complete:
        send(encode_update(snapshot(mirror, loop.time())))
    ended: asyncio.Future[None] = loop.create_future()
    mirror.followers.add(send)
    mirror.ends.add(ended)
    try:
        await ended
    finally:
        mirror.followers.discard(send)
        mirror.ends.discard(ended)
    return Ok(None)


async def _keep(mirrors: Mirrors, mirror: Mirror) -> None:
    """Follow the far stream; when it ends, so do those that are passed on."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()

    def on_item(payload: bytes) -> None:
        update = decode_update(payload).ok()
        if update is None:
            # The followers open another stream, which shows what is wrong.
            on_end(None)
            return
        take(mirror, update, loop.time())
        for send in list(mirror.followers):
            send(payload)

    def on_end(_) -> None:
        if not ended.done():
            ended.set_result(None)

    cancel = mirrors.network.stream(
        mirror.address, MessageKind.WATCH_FLEET, MIRROR, on_item, on_end
    )
    try:
        while not ended.done():
            left_s = (
                mirror.last_contact_at + mirrors.times.stream_timeout_s - loop.time()
            )
            if left_s <= 0 or (mirror.is_complete and not mirror.ends):
                break
            await asyncio.wait([ended], timeout=left_s)
    finally:
        cancel()
        if mirrors.by_address.get(mirror.address) is mirror:
            del mirrors.by_address[mirror.address]
        for end in list(mirror.ends):
            if not end.done():
                end.set_result(None)
