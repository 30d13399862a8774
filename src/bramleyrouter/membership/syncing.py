"""Repair of losses: two daemons compare what they hold and complete it."""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from absl import logging
from result import Err, Ok

from bramleyrouter.ids import DataCentre
from bramleyrouter.membership.flooding import Flooding
from bramleyrouter.membership.messages import (
    Batch,
    CentreDigest,
    SyncReply,
    SyncRequest,
    decode,
    encode,
)
from bramleyrouter.membership.store import (
    MembershipState,
    batch_for,
    held_in,
    merge,
    news_for,
)
from bramleyrouter.utils.calls import bounded_call
from bramleyrouter.wire.kinds import Kind
from bramleyrouter.wire.network import Network

SYNC_TIMEOUT_S = 2.0
# Rounds of one repair; each brings up to MAX_ROWS_PER_BATCH rows.
MAX_ROUNDS = 100


class Syncing(NamedTuple):
    """Bundle ``sync(address, centres)``; true when the repair was complete."""

    sync: Callable[[str, Iterable[DataCentre]], Awaitable[bool]]


def build_syncing(
    state: MembershipState, network: Network, flooding: Flooding
) -> Syncing:
    """Return the repair closure and serve the peers' repairs and pushes."""

    async def sync(address: str, centres: Iterable[DataCentre]) -> bool:
        centres = tuple(sorted(centres))
        for _ in range(MAX_ROUNDS):
            reply = await ask(address, centres)
            if reply is None:
                return False
            merge(state, reply.batch)
            if reply.wanted:
                payload = encode(batch_for(state, reply.wanted))
                network.send(address, Kind.TABLE_DELTA, payload)
            if not reply.has_more:
                return True
        return False

    async def ask(address: str, centres: tuple[DataCentre, ...]) -> SyncReply | None:
        request = encode(
            SyncRequest(data_centres=centres, held=held_in(state, centres))
        )
        answered = await bounded_call(
            network, address, Kind.TABLE_DIGEST, request, SYNC_TIMEOUT_S
        )
        if isinstance(answered, Err):
            return None
        decoded = decode(SyncReply, answered.ok_value)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", address, decoded.err_value)
            return None
        return decoded.ok_value

    async def answer_sync(peer, payload):
        decoded = decode(SyncRequest, payload)
        if isinstance(decoded, Err):
            return decoded
        request = decoded.ok_value
        batch, wanted, has_more = news_for(state, request.data_centres, request.held)
        return Ok(
            encode(
                SyncReply(
                    batch=batch,
                    wanted=wanted,
                    is_settled=state.is_settled,
                    has_more=has_more,
                )
            )
        )

    async def take_batch(peer, payload):
        decoded = decode(Batch, payload)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", peer.address, decoded.err_value)
            return decoded
        if news := merge(state, decoded.ok_value):
            flooding.pass_on(news)
        return Ok(b"")

    network.serve(Kind.TABLE_DIGEST, answer_sync)
    network.serve(Kind.TABLE_DELTA, take_batch)
    network.serve(Kind.LEAVE, take_batch)
    return Syncing(sync)


def own_digests(state: MembershipState) -> tuple[CentreDigest, ...]:
    """Return the digest of each data centre and the age of its last sign of life."""
    now = state.clock()
    own = state.own.data_centre

    def age_ms(centre: DataCentre) -> int:
        if centre == own:
            return 0
        age_s = now - state.heard.get(centre, float("-inf"))
        return int(min(age_s * 1000, MAX_AGE_MS)) + 1

    return tuple(
        CentreDigest(centre, digest, age_ms(centre))
        for centre, digest in state.digests.items()
        if digest
    )


# Largest age that is told apart; it fits 32 bits.
MAX_AGE_MS = 1_000_000_000


def differing_centres(
    state: MembershipState, theirs: Iterable[CentreDigest]
) -> set[DataCentre]:
    """Return the data centres that a peer holds other records of."""
    digests = {item.data_centre: item.digest for item in theirs}
    centres = set(digests) | set(state.digests)
    return {c for c in centres if digests.get(c, 0) != state.digests.get(c, 0)}
