"""Protocol by which a backend server announces and renews itself.

The server is the arbiter of its home: it echoes tokens of one home only, and
takes a higher registration number before it goes to another one.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.board.sections import ServiceHolding
from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import Announcement, AnnouncementReply, LeaseToken
from bramleyrouter.ids import DataCentre, Registration, ServerId, ServerIncarnation
from bramleyrouter.states import ServerState
from bramleyrouter.utils.decoding import DECODE_ERRORS

# A home that fails this often in a row is given up.
FAILURES_TO_MOVE = 2
# Pause after a failed announcement or renewal, in seconds.
RETRY_AFTER_S = 0.2

# Posts an announcement to "ip:port"; returns the reply, a code, or None when
# the daemon did not answer.
PostAnnouncement = Callable[
    [str, Announcement], Awaitable["AnnouncementReply | Code | None"]
]


@dataclass
class AnnouncerState:
    """Hold what a server knows of its registration."""

    server_id: ServerId
    incarnation: ServerIncarnation
    data_centre: DataCentre
    address: str
    daemons: list[str]
    slots: int
    connection_limit: int
    holdings: tuple[ServiceHolding, ...]
    server_state: ServerState = ServerState.READY
    registration: Registration = Registration(1)
    sequence: int = 0
    lease: LeaseToken | None = None
    home: str = ""
    failures: int = 0
    renewals: int = 0
    next_daemon: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)


def make_announcement(state: AnnouncerState) -> Announcement:
    """Return the next announcement; each has a higher sequence number."""
    state.sequence += 1
    return Announcement(
        state.server_id,
        state.incarnation,
        state.registration,
        state.sequence,
        state.data_centre,
        state.address,
        state.server_state,
        state.slots,
        state.connection_limit,
        state.holdings,
        state.lease,
    )


def take_reply(state: AnnouncerState, reply: AnnouncementReply | Code | None) -> float:
    """Take the answer to an announcement; return the pause before the next."""
    if isinstance(reply, AnnouncementReply):
        state.lease = reply.lease
        # A planned handover raises the number without a new announcement.
        state.registration = reply.lease.registration
        state.home = reply.home_http_address
        state.failures = 0
        state.renewals += 1
        return reply.renew_after_s
    state.failures += 1
    is_lost = reply in (Code.LEASE_UNKNOWN, Code.OLD_ANNOUNCEMENT)
    if is_lost or (state.lease and state.failures >= FAILURES_TO_MOVE):
        # The old token is never echoed again.
        state.lease = None
        state.registration = Registration(state.registration + 1)
        state.failures = 0
        return 0.0
    return RETRY_AFTER_S


def next_address(state: AnnouncerState) -> str:
    """Return whom to announce to: the home, or the daemons in turn."""
    if state.lease is not None:
        return state.home
    others = [address for address in state.daemons if address != state.home]
    candidates = others or state.daemons
    state.next_daemon += 1
    return candidates[state.next_daemon % len(candidates)]


async def run_announcer(
    state: AnnouncerState, post: PostAnnouncement, rng: random.Random
) -> None:
    """Announce and renew until cancelled."""
    state.next_daemon = rng.randrange(max(1, len(state.daemons)))
    while True:
        announcement = make_announcement(state)
        reply = await post(next_address(state), announcement)
        pause_s = take_reply(state, reply)
        if pause_s <= 0:
            continue
        try:
            await asyncio.wait_for(state.wake.wait(), pause_s)
        except TimeoutError:
            pass
        state.wake.clear()


def decode_reply(status: int, body: bytes) -> AnnouncementReply | Code | None:
    """Read a daemon's HTTP answer."""
    try:
        if status == 200:
            return msgspec.json.decode(body, type=AnnouncementReply)
        return Code(msgspec.json.decode(body, type=_ErrorBody).code)
    except DECODE_ERRORS:
        return None


class _ErrorBody(msgspec.Struct):
    code: int
