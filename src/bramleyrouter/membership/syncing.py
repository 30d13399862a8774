"""Repair of lost updates (anti-entropy).

Two daemons compare their records and send each other what is missing.
"""

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
from bramleyrouter.membership.records import HASH_BYTES, hash_daemon_id, is_dead
from bramleyrouter.membership.store import (
    MembershipState,
    build_batch,
    build_held,
    is_ahead,
    merge,
)
from bramleyrouter.utils.calls import call_with_timeout
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network

SYNC_TIMEOUT_S = 2.0
# Requests of one repair; each reply carries up to MAX_ROWS_PER_BATCH rows.
MAX_ROUNDS = 100
# Ages are limited to this value, which fits 32 bits.
MAX_AGE_MS = 1_000_000_000
# Replaces the data centre and hash of a dead daemon, which has none.
NO_HASH = ("", 0)


class Syncing(NamedTuple):
    """Bundle ``sync(address, centres)``, which returns whether it was complete."""

    sync: Callable[[str, Iterable[DataCentre]], Awaitable[bool]]


def build_syncing(
    state: MembershipState, network: Network, flooding: Flooding
) -> Syncing:
    """Return the repair function; handle the peers' repairs and pushes."""

    async def sync(address: str, centres: Iterable[DataCentre]) -> bool:
        centres = tuple(sorted(centres))
        request = SyncRequest(data_centres=centres, known=pack_known(state, centres))
        reply = await send_request(address, request)
        if reply is None:
            return False
        wanted, offered = compare_held(state, centres, reply)
        if offered:
            batch, _ = build_batch(state, offered)
            network.send(address, MessageKind.TABLE_DELTA, encode(batch))
        return not wanted or await fetch(address, wanted)

    async def fetch(address: str, wanted: list[DaemonId]) -> bool:
        for _ in range(MAX_ROUNDS):
            held = tuple(build_held(state, daemon_id) for daemon_id in wanted)
            reply = await send_request(address, SyncRequest(wanted=held))
            if reply is None:
                return False
            merge(state, reply.batch)
            if not reply.has_more:
                return True
        return False

    async def send_request(address: str, request: SyncRequest) -> SyncReply | None:
        response = await call_with_timeout(
            network, address, MessageKind.TABLE_DIGEST, encode(request), SYNC_TIMEOUT_S
        )
        if isinstance(response, Err):
            return None
        decoded = decode(SyncReply, response.ok_value)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", address, decoded.err_value)
            return None
        return decoded.ok_value

    async def handle_sync(peer, payload):
        decoded = decode(SyncRequest, payload)
        if isinstance(decoded, Err):
            return decoded
        request = decoded.ok_value
        differing, missing = find_differing_records(state, request)
        batch, has_more = build_batch(state, request.wanted)
        return Ok(
            encode(SyncReply(PROTOCOL_VERSION, differing, missing, batch, has_more))
        )

    async def handle_batch(peer, payload):
        decoded = decode(Batch, payload)
        if isinstance(decoded, Err):
            logging.error("membership: %s: %s", peer.address, decoded.err_value)
            return decoded
        if updates := merge(state, decoded.ok_value):
            flooding.forward(updates)
        return Ok(b"")

    network.serve(MessageKind.TABLE_DIGEST, handle_sync)
    network.serve(MessageKind.TABLE_DELTA, handle_batch)
    network.serve(MessageKind.LEAVE, handle_batch)
    return Syncing(sync)


def _iterate_entries(
    state: MembershipState, centres: Iterable[DataCentre]
) -> Iterator[tuple[bytes, bytes, Entry]]:
    """Yield each daemon's id and record as 8-byte hashes, and its entry."""
    wanted = set(centres)
    for daemon_id, entry in state.entries.items():
        if entry.data_centre in wanted:
            number = state.entry_hashes.get(daemon_id, NO_HASH)[1]
            yield hash_daemon_id(daemon_id), number.to_bytes(HASH_BYTES, "big"), entry


def pack_known(state: MembershipState, centres: Iterable[DataCentre]) -> bytes:
    """Return the hashes of the records of some data centres, 16 bytes per daemon.

    Dead daemons are omitted: a peer that has one recorded as alive reports that as
    a difference.
    """
    return b"".join(
        id_hash + entry_hash
        for id_hash, entry_hash, entry in _iterate_entries(state, centres)
        if not is_dead(entry)
    )


def find_differing_records(
    state: MembershipState, request: SyncRequest
) -> tuple[tuple[Held, ...], bytes]:
    """Return the versions of records that differ, and the missing id hashes."""
    known = request.known
    size = 2 * HASH_BYTES
    theirs = {
        known[at : at + HASH_BYTES]: known[at + HASH_BYTES : at + size]
        for at in range(0, len(known) - size + 1, size)
    }
    differing = []
    for id_hash, entry_hash, entry in _iterate_entries(state, request.data_centres):
        found = theirs.pop(id_hash, None)
        is_same = found is None if is_dead(entry) else found == entry_hash
        if not is_same:
            differing.append(build_held(state, entry.daemon_id))
    return tuple(differing), b"".join(theirs)


def compare_held(
    state: MembershipState, centres: Iterable[DataCentre], reply: SyncReply
) -> tuple[list[DaemonId], list[Held]]:
    """Return the daemons whose records are newer at the peer, and those to send.

    The latter are given by the versions that the peer holds.
    """
    wanted, offered = [], []
    for item in reply.differing:
        own_held = build_held(state, item.daemon_id)
        if is_ahead(item, own_held):
            wanted.append(item.daemon_id)
        if is_ahead(own_held, item):
            offered.append(item)
    starts = range(0, len(reply.missing), HASH_BYTES)
    missing = {reply.missing[at : at + HASH_BYTES] for at in starts}
    for id_hash, _, entry in _iterate_entries(state, centres):
        if id_hash in missing:
            offered.append(Held(entry.daemon_id))
    return wanted, offered


def build_digests(state: MembershipState) -> tuple[CentreDigest, ...]:
    """Return the digest of each data centre and the age of its last contact."""
    now = state.clock()
    own = state.own.data_centre

    def age_ms(centre: DataCentre) -> int:
        if centre == own:
            return 0
        age_s = now - state.last_contact_at.get(centre, float("-inf"))
        return int(min(age_s * 1000, MAX_AGE_MS)) + 1

    return tuple(
        CentreDigest(centre, digest, age_ms(centre))
        for centre, digest in state.digests.items()
        if digest
    )


def find_differing_centres(
    state: MembershipState, theirs: Iterable[CentreDigest]
) -> set[DataCentre]:
    """Return the data centres for which the peer's records differ."""
    digests = {item.data_centre: item.digest for item in theirs}
    centres = set(digests) | set(state.digests)
    return {c for c in centres if digests.get(c, 0) != state.digests.get(c, 0)}
