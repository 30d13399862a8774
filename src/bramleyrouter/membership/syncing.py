"""Repair of losses: two daemons compare what they hold and complete it."""

from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import NamedTuple

from absl import logging
from result import Err, Ok

from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.membership.flooding import Flooding
from bramleyrouter.membership.messages import (
    PROTOCOL_VERSION,
    Batch,
    CentreDigest,
    Entry,
    Held,
    SyncReply,
    SyncRequest,
    decode,
    encode,
)
from bramleyrouter.membership.records import HASH_BYTES, is_dead, name_hash
from bramleyrouter.membership.store import (
    MembershipState,
    batch_for,
    held_of,
    is_ahead,
    merge,
)
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

SYNC_TIMEOUT_S = 2.0
# Rounds of one repair; each brings up to MAX_ROWS_PER_BATCH rows.
MAX_ROUNDS = 100
# Largest age that is told apart, in milliseconds; it fits 32 bits.
MAX_AGE_MS = 1_000_000_000
# Stands for the record of a dead daemon.
NO_RECORD = ("", 0)


class Syncing(NamedTuple):
    """Bundle ``sync(address, centres)``; true when the repair was complete."""

    sync: Callable[[str, Iterable[DataCentre]], Awaitable[bool]]


def build_syncing(
    state: MembershipState, network: Network, flooding: Flooding
) -> Syncing:
    """Return the repair closure and serve the peers' repairs and pushes."""

    async def sync(address: str, centres: Iterable[DataCentre]) -> bool:
        centres = tuple(sorted(centres))
        request = SyncRequest(data_centres=centres, known=pack_known(state, centres))
        reply = await ask(address, request)
        if reply is None:
            return False
        wanted, offered = compare(state, centres, reply)
        if offered:
            batch, _ = batch_for(state, offered)
            network.send(address, MessageKind.TABLE_DELTA, encode(batch))
        return not wanted or await fetch(address, wanted)

    async def fetch(address: str, wanted: list[DaemonId]) -> bool:
        for _ in range(MAX_ROUNDS):
            held = tuple(held_of(state, name) for name in wanted)
            reply = await ask(address, SyncRequest(wanted=held))
            if reply is None:
                return False
            merge(state, reply.batch)
            if not reply.has_more:
                return True
        return False

    async def ask(address: str, request: SyncRequest) -> SyncReply | None:
        answered = await call_with_timeout(
            network, address, MessageKind.TABLE_DIGEST, encode(request), SYNC_TIMEOUT_S
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
        differing, missing = find_differing(state, request)
        batch, has_more = batch_for(state, request.wanted)
        return Ok(
            encode(SyncReply(PROTOCOL_VERSION, differing, missing, batch, has_more))
        )

    async def take_batch(peer, payload):
        decoded = decode(Batch, payload)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", peer.address, decoded.err_value)
            return decoded
        if news := merge(state, decoded.ok_value):
            flooding.pass_on(news)
        return Ok(b"")

    network.serve(MessageKind.TABLE_DIGEST, answer_sync)
    network.serve(MessageKind.TABLE_DELTA, take_batch)
    network.serve(MessageKind.LEAVE, take_batch)
    return Syncing(sync)


def _known_records(
    state: MembershipState, centres: Iterable[DataCentre]
) -> Iterator[tuple[bytes, bytes, Entry]]:
    """Yield 8 bytes for the id and 8 for the record of each daemon."""
    wanted = set(centres)
    for name, entry in state.entries.items():
        if entry.data_centre in wanted:
            number = state.hashes.get(name, NO_RECORD)[1]
            yield name_hash(name), number.to_bytes(HASH_BYTES, "big"), entry


def pack_known(state: MembershipState, centres: Iterable[DataCentre]) -> bytes:
    """Return what is held of some data centres in 16 bytes per daemon.

    Dead daemons are left out: whoever holds one alive will say so.
    """
    return b"".join(
        name + record
        for name, record, entry in _known_records(state, centres)
        if not is_dead(entry)
    )


def find_differing(
    state: MembershipState, request: SyncRequest
) -> tuple[tuple[Held, ...], bytes]:
    """Return what is held of those that differ, and the ids that are missing."""
    known = request.known
    size = 2 * HASH_BYTES
    theirs = {
        known[at : at + HASH_BYTES]: known[at + HASH_BYTES : at + size]
        for at in range(0, len(known) - size + 1, size)
    }
    differing = []
    for name, record, entry in _known_records(state, request.data_centres):
        found = theirs.pop(name, None)
        is_same = found is None if is_dead(entry) else found == record
        if not is_same:
            differing.append(held_of(state, entry.daemon_id))
    return tuple(differing), b"".join(theirs)


def compare(
    state: MembershipState, centres: Iterable[DataCentre], reply: SyncReply
) -> tuple[list[DaemonId], list[Held]]:
    """Return whose records the peer has newer, and what it has of the others."""
    wanted, offered = [], []
    for item in reply.differing:
        mine = held_of(state, item.daemon_id)
        if is_ahead(item, mine):
            wanted.append(item.daemon_id)
        if is_ahead(mine, item):
            offered.append(item)
    starts = range(0, len(reply.missing), HASH_BYTES)
    missing = {reply.missing[at : at + HASH_BYTES] for at in starts}
    for name, _, entry in _known_records(state, centres):
        if name in missing:
            offered.append(Held(entry.daemon_id))
    return wanted, offered


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


def differing_centres(
    state: MembershipState, theirs: Iterable[CentreDigest]
) -> set[DataCentre]:
    """Return the data centres that a peer holds other records of."""
    digests = {item.data_centre: item.digest for item in theirs}
    centres = set(digests) | set(state.digests)
    return {c for c in centres if digests.get(c, 0) != state.digests.get(c, 0)}
