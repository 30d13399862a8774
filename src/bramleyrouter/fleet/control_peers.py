"""Which control daemon backend servers of each data centre should talk to.

A server that sends its heartbeats to a control daemon of its own data centre
keeps them off the links between data centres, where they would be most of the
control traffic. Control daemons therefore ask each other now and then where
they are and whether they still answer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bramleyrouter.failures import Failure
from bramleyrouter.ids import DataCentre
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

# Time between two questions to one neighbour, in seconds.
ASK_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 0.4
# A neighbour that has not answered for so long is not recommended, in seconds.
FRESH_S = 2.0


class ControlLocation(msgspec.Struct, frozen=True, array_like=True):
    """Tell where a control daemon is and where servers reach it."""

    data_centre: DataCentre
    address: str


@dataclass
class ControlPeers:
    """Hold what the other control daemons told, with the time of it."""

    own: ControlLocation
    told: dict[str, tuple[ControlLocation, float]] = field(default_factory=dict)


def recommend_control_address(
    control_peers: ControlPeers, data_centre: DataCentre, now: float
) -> str:
    """Return the address for servers of a data centre, empty for no matter.

    Servers of the own data centre stay here. Others are sent to a neighbour in
    theirs, as long as it answers.
    """
    if data_centre == control_peers.own.data_centre:
        return control_peers.own.address
    fresh = [
        description.address
        for description, at in control_peers.told.values()
        if description.data_centre == data_centre and now - at <= FRESH_S
    ]
    return min(fresh, default="")


async def poll_control_peers(
    control_peers: ControlPeers,
    network: Network,
    own_internal_address: str,
    addresses: Callable[[], list[str]],
    clock: Callable[[], float],
) -> None:
    """Ask the control daemons at ``addresses()`` again and again."""

    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        return Ok(msgspec.msgpack.encode(control_peers.own))

    network.serve(MessageKind.DESCRIBE, serve)
    decoder = msgspec.msgpack.Decoder(ControlLocation)

    async def ask(address: str) -> None:
        reply = await call_with_timeout(
            network, address, MessageKind.DESCRIBE, b"", ASK_TIMEOUT_S
        )
        if isinstance(reply, Err):
            # It is recommended no more once its last answer is too old.
            return
        try:
            control_peers.told[address] = (decoder.decode(reply.ok_value), clock())
        except msgspec.MsgspecError:
            control_peers.told.pop(address, None)

    while True:
        others = [item for item in addresses() if item != own_internal_address]
        await asyncio.gather(*(ask(address) for address in others))
        for gone in set(control_peers.told) - set(others):
            del control_peers.told[gone]
        await asyncio.sleep(ASK_INTERVAL_S)
