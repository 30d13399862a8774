"""Choice of the control daemon to which a backend server sends its heartbeats.

A server that sends its heartbeats to a control daemon of its own data centre
keeps them off the links between data centres, where they would be most of the
control traffic. Control daemons therefore poll each other for their data centre
and address, and recommend only control daemons that still reply.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from absl import logging
from result import Err, Ok, Result

from bramleyrouter.failures import Failure
from bramleyrouter.ids import DataCentre
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

# Polls of one control daemon, in seconds.
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.4
# A control daemon whose last reply is older than this, in seconds, is not recommended.
MAX_REPLY_AGE_S = 2.0


class ControlLocation(msgspec.Struct, frozen=True, array_like=True):
    """Hold the data centre of a control daemon and its address for servers.

    ``address`` is the one that receives heartbeats, not the internal address.
    """

    data_centre: DataCentre
    address: str


@dataclass
class ControlPeers:
    """Hold the locations of the other control daemons.

    ``replies`` maps their internal addresses to the last reply and its loop time.
    """

    own: ControlLocation
    replies: dict[str, tuple[ControlLocation, float]] = field(default_factory=dict)


def recommend_control_address(
    control_peers: ControlPeers, data_centre: DataCentre, now: float
) -> str:
    """Return the address for servers of a data centre, or an empty string.

    Servers of this daemon's data centre get its own address. Others get that of
    a control daemon in their data centre which replied recently; where there is
    none, the empty string recommends no change.
    """
    if data_centre == control_peers.own.data_centre:
        return control_peers.own.address
    candidates = [
        location.address
        for location, at in control_peers.replies.values()
        if location.data_centre == data_centre and now - at <= MAX_REPLY_AGE_S
    ]
    return min(candidates, default="")


async def poll_control_peers(
    control_peers: ControlPeers,
    network: Network,
    own_internal_address: str,
    list_addresses: Callable[[], list[str]],
    clock: Callable[[], float],
) -> None:
    """Poll the control daemons at ``list_addresses()`` until cancelled.

    It also answers the polls of the other control daemons.
    """

    async def handle_describe(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        return Ok(msgspec.msgpack.encode(control_peers.own))

    network.serve(MessageKind.DESCRIBE, handle_describe)
    decoder = msgspec.msgpack.Decoder(ControlLocation)

    async def poll_peer(address: str) -> None:
        reply = await call_with_timeout(
            network, address, MessageKind.DESCRIBE, b"", POLL_TIMEOUT_S
        )
        if isinstance(reply, Err):
            # The last reply stays until it is too old to be recommended.
            return
        try:
            control_peers.replies[address] = (decoder.decode(reply.ok_value), clock())
        except DECODE_ERRORS:
            control_peers.replies.pop(address, None)

    async def poll_all_peers() -> None:
        others = [item for item in list_addresses() if item != own_internal_address]
        await asyncio.gather(*(poll_peer(address) for address in others))
        for removed in set(control_peers.replies) - set(others):
            del control_peers.replies[removed]

    while True:
        try:
            await poll_all_peers()
        except Exception:
            # Without polls, no control daemon elsewhere would be recommended any more.
            logging.exception("fleet: could not poll the other control daemons.")
        await asyncio.sleep(POLL_INTERVAL_S)
