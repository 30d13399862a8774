"""Delegate many shards of a gather to another entry daemon, a relay, in one message.

Traffic between data centres is expensive, and a gather over 20 shards of another data
centre sends 20 requests there. One message to an entry daemon there, which queries its
local servers and merges their replies, needs a tenth of the bytes.

A gather over a hundred shards occupies one small VM for longer than its objective
allows. The entry daemons of a data centre therefore share the work. Each part of the
shards has a preferred daemon, so that few daemons connect to any one server.

A route bounds the number of servers to which each shard may be sent. The requesting
daemon holds this number of attempts and hands a part of them over with a delegation.
What it handed over it never uses itself, unless the relay certainly won't either. A
relay that needs more asks for it. The bound therefore holds however late a query, a
grant or a cancellation is, and whichever daemon pauses or restarts.
"""

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.exchanges import CallerRequest
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.utils.rendezvous import rank_by_rendezvous_hash

# Fewer shards than this are sent directly, because a delegation would save nothing.
MIN_DELEGATED_SHARDS = 4
# Time limit for a relay to confirm that it received the query: a share of the
# objective, bounded in seconds. A relay confirms at once and a round trip takes 2 ms,
# so one that exceeds the limit is frozen, unreachable or overloaded.
CONFIRM_TIMEOUT_SHARE = 0.25
MIN_CONFIRM_TIMEOUT_S, MAX_CONFIRM_TIMEOUT_S = 0.012, 0.03
# Backoff after a relay's failure, in seconds; it doubles with each failure.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 5.0
# Number of local shards from which a gather is shared with other daemons. A direct
# request costs about 0.5 ms of processor time, and a delegation with its merging about
# as much, so one daemon alone is as fast below this number.
MIN_SHARED_SHARDS = 40
# Time deducted from the objective for the relay's reply to arrive, in seconds.
RELAY_REPLY_MARGIN_S = 0.003
# Time deducted in addition for each relay used so far, in seconds: messages and replies
# are handled one after another, 0.3 ms of processor time each, on half a core.
MARGIN_PER_RELAY_S = 0.0006


class DelegatedQuery(msgspec.Struct, frozen=True, array_like=True):
    """Request shards from a relay; times are the seconds left when it is sent.

    ``attempts`` is the number of servers to which the relay may send each shard.
    Results that leave the relay within ``useful_s`` seconds meet the caller's
    objective; a daemon of release 0.4.0 sends 0.
    ``grant_id`` addresses grants of further attempts; it is 0 if the requesting daemon
    has none left.
    """

    request: CallerRequest
    route: str
    services: tuple[ServiceName, ...]
    deadline_s: float
    objective_s: float
    attempts: int
    priority: int
    top_records: int
    grant_id: int = 0
    useful_s: float = 0.0


class DelegatedReply(msgspec.Struct, frozen=True, array_like=True):
    """Report the results gathered since the previous reply to the same query.

    ``included`` holds positions in the query's ``services``, each with its signature.
    ``records`` are the greatest records of these shards. ``wanted`` holds the positions
    for which the relay asks for one more attempt. ``leaving`` holds the servers that
    told the relay that they leave, with the positions of their shards. More replies may
    follow until ``is_last`` is set.
    """

    included: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    records: bytes = b""
    # False only if it is certain that no server ran anything.
    may_have_run: bool = True
    is_last: bool = True
    wanted: tuple[int, ...] = ()
    leaving: tuple[tuple[int, ServerId, ServerIncarnation], ...] = ()


class AttemptGrant(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a relay that wants more attempts for some shards.

    ``attempts`` is the total that the relay may use for each of ``positions``. It is a
    total, so that a duplicate grants nothing; if it has not grown, the attempt is
    denied.
    """

    grant_id: int
    positions: tuple[int, ...]
    attempts: tuple[int, ...]


# Position in a request from which fields are left out of a query.
_CUSTOMER_POSITION = CallerRequest._fields.index("customer")
_ENCODER = msgspec.msgpack.Encoder()
_QUERY_DECODER = msgspec.msgpack.Decoder(DelegatedQuery)
_REPLY_DECODER = msgspec.msgpack.Decoder(DelegatedReply)
_GRANT_DECODER = msgspec.msgpack.Decoder(AttemptGrant)
# First item of the stream: the relay received the query.
CONFIRMATION = b""


def encode_message(message: DelegatedQuery | DelegatedReply | AttemptGrant) -> bytes:
    """Encode a delegated query, a reply or a grant.

    The request of a query is encoded without its credentials, and without a customer as
    releases encoded it that knew none.
    """
    if isinstance(message, DelegatedQuery):
        end = _CUSTOMER_POSITION + bool(message.request.customer)
        message = msgspec.structs.replace(message, request=message.request[:end])
    return _ENCODER.encode(message)


def decode_query(payload: bytes) -> Result[DelegatedQuery, Failure]:
    """Decode a query; fail with ``WIRE_MALFORMED``."""
    return _decode(_QUERY_DECODER, payload)


def decode_reply(payload: bytes) -> Result[DelegatedReply, Failure]:
    """Decode a reply; fail with ``WIRE_MALFORMED``."""
    return _decode(_REPLY_DECODER, payload)


def decode_grant(payload: bytes) -> Result[AttemptGrant, Failure]:
    """Decode a grant; fail with ``WIRE_MALFORMED``."""
    return _decode(_GRANT_DECODER, payload)


def _decode(decoder, payload: bytes):
    try:
        return Ok(decoder.decode(payload))
    except DECODE_ERRORS as exc:
        text = f"The delegated message can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


def is_reply_to(query: DelegatedQuery, reply: DelegatedReply) -> bool:
    """Return whether a reply names only shards of its query, each result once."""
    count = len(query.services)
    positions = [*reply.included, *reply.wanted, *(item[0] for item in reply.leaving)]
    return len(reply.signatures) == len(reply.included) == len(
        set(reply.included)
    ) and all(0 <= position < count for position in positions)


def compute_confirm_timeout(objective_s: float) -> float:
    """Return the time within which a relay must confirm a query, in seconds."""
    return min(
        MAX_CONFIRM_TIMEOUT_S,
        max(MIN_CONFIRM_TIMEOUT_S, CONFIRM_TIMEOUT_SHARE * objective_s),
    )


def compute_delegated_attempts(attempts: int) -> int:
    """Return how many of a shard's attempts are handed over with a delegation.

    One attempt is kept, if there is more than one, so that the requesting daemon can
    reach the shard without the relay.
    """
    return max(1, attempts - 1)


@dataclass(eq=False)
class Relay:
    """Hold an entry daemon that accepts delegated queries, and its failures.

    ``retry_at`` is the loop time at which its backoff ends.
    """

    address: str
    data_centre: DataCentre
    failures: int = 0
    retry_at: float = 0.0


@dataclass
class Relays:
    """Hold the known relays by address."""

    own_address: str
    by_address: dict[str, Relay] = field(default_factory=dict)


def set_relays(relays: Relays, known: Collection[tuple[str, DataCentre]]) -> None:
    """Replace the known relays; those that stay retain their failures."""
    previous = relays.by_address
    relays.by_address = {
        address: previous.get(address) or Relay(address, data_centre)
        for address, data_centre in known
        if address != relays.own_address
    }


def get_usable_relays(relays: Relays, now: float) -> dict[DataCentre, list[Relay]]:
    """Return the relays that are not in backoff, by data centre."""
    usable: dict[DataCentre, list[Relay]] = {}
    for relay in relays.by_address.values():
        if relay.retry_at <= now:
            usable.setdefault(relay.data_centre, []).append(relay)
    return usable


def split_shards(
    candidates: Sequence[Collection[DataCentre]], data_centres: Sequence[DataCentre]
) -> dict[DataCentre, list[int]]:
    """Return the positions of the shards to delegate to each data centre.

    ``candidates`` holds, for each shard, the data centres that have a good server of
    it. The data centre with the most shards is chosen first; ``data_centres`` gives the
    order among equal ones. Shards that would form a message of fewer than
    ``MIN_DELEGATED_SHARDS`` are left out.

    Shards are split over several data centres because after a repartition or the loss
    of servers no single one may have nearly all of them.
    """
    parts: dict[DataCentre, list[int]] = {}
    remaining = set(range(len(candidates)))
    while True:
        positions = {
            name: [at for at in sorted(remaining) if name in candidates[at]]
            for name in data_centres
            if name not in parts
        }
        best = max(positions, key=lambda name: len(positions[name]), default=None)
        if best is None or len(positions[best]) < MIN_DELEGATED_SHARDS:
            return parts
        parts[best] = positions[best]
        remaining.difference_update(positions[best])


def assign_shards(
    shards: int, own_address: str, peers: Collection[str], usable: Collection[str]
) -> dict[str, list[int]]:
    """Return the positions of the shards that each daemon of a data centre handles.

    The number of parts is about the number of shards in each, which balances the
    messages of the requesting daemon against the requests of each part. Each part has a
    preferred daemon among all ``peers``; if that one is not ``usable``, the next in the
    part's ranking replaces it. The requesting daemon's own part is under
    ``own_address``.

    Shards are shared because a single VM can't send and merge the requests of a large
    gather within the objective.
    """
    parts = max(1, round(math.sqrt(shards)))
    shared: dict[str, list[int]] = {}
    for part in range(parts):
        order = rank_daemons_for_part(part, parts, frozenset(peers) | {own_address})
        available = (name for name in order if name == own_address or name in usable)
        positions = range(part * shards // parts, (part + 1) * shards // parts)
        shared.setdefault(next(available), []).extend(positions)
    return shared


@lru_cache(maxsize=4096)
def rank_daemons_for_part(
    part: int, parts: int, peers: frozenset[str]
) -> tuple[str, ...]:
    """Return the daemons for a part of the shards, the preferred one first."""
    return tuple(rank_by_rendezvous_hash(f"{part}/{parts}", peers))


def record_relay_failure(relay: Relay, now: float) -> None:
    """Record a failure and start the relay's backoff."""
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(relay.failures, 6))
    relay.failures += 1
    relay.retry_at = now + backoff_s


def record_relay_success(relay: Relay) -> None:
    """Reset the failures of a relay that replied."""
    relay.failures = 0


# ``open_stream(address, payload, on_item, on_end)`` returns the closure that cancels
# the stream.
OpenStream = Callable[
    [str, bytes, Callable[[bytes], None], Callable[[Result[None, Failure]], None]],
    Callable[[], None],
]


# ``send_grant(address, payload)`` sends a grant to a relay; it may be lost.
SendGrant = Callable[[str, bytes], None]


class DelegationCallbacks(NamedTuple):
    """Bundle what a requesting daemon does when a relay replies, is late or fails.

    ``on_unconfirmed()`` is called once if the relay has not confirmed in time; its
    replies may still follow. ``on_failure(is_known_not_run)`` ends a delegation whose
    relay failed; its argument is true only if no server ran anything or will.
    """

    on_reply: Callable[[DelegatedReply], None]
    on_confirmed: Callable[[], None]
    on_unconfirmed: Callable[[], None]
    on_failure: Callable[[bool], None]


def start_delegated_query(
    loop,
    open_stream: OpenStream,
    relay: Relay,
    query: DelegatedQuery,
    callbacks: DelegationCallbacks,
) -> Callable[[], None]:
    """Send a query to a relay; return the closure that cancels it.

    The callbacks are called until the last reply or the failure, unless cancelled.
    """
    is_confirmed, is_late, is_finished = False, False, False

    def fail(is_known_not_run: bool) -> None:
        nonlocal is_finished
        if is_finished:
            return
        is_finished = True
        timer.cancel()
        if not is_late:
            record_relay_failure(relay, loop.time())
        callbacks.on_failure(is_known_not_run)

    def confirm() -> None:
        nonlocal is_confirmed
        if not is_confirmed:
            is_confirmed = True
            callbacks.on_confirmed()

    def on_item(payload: bytes) -> None:
        nonlocal is_finished
        if is_finished:
            return
        if payload == CONFIRMATION:
            confirm()
            return
        reply = decode_reply(payload).ok()
        if reply is None or not is_reply_to(query, reply):
            # The relay may go on working, but its results can't be used.
            fail(is_known_not_run=False)
            cancel_stream()
            return
        # Without order between frames, a reply may overtake the confirmation.
        confirm()
        if reply.is_last:
            is_finished = True
            timer.cancel()
            if not is_late:
                record_relay_success(relay)
        callbacks.on_reply(reply)

    def on_end(outcome: Result[None, Failure]) -> None:
        is_known_not_run = isinstance(outcome, Err) and outcome.err_value.code in (
            Code.PEER_UNREACHABLE,
            Code.STOPPING,
            Code.UNKNOWN_MESSAGE_KIND,
        )
        fail(is_known_not_run)

    def on_confirm_timeout() -> None:
        nonlocal is_late
        if not is_confirmed and not is_finished:
            is_late = True
            record_relay_failure(relay, loop.time())
            callbacks.on_unconfirmed()

    def cancel() -> None:
        nonlocal is_finished
        if not is_finished:
            is_finished = True
            timer.cancel()
            cancel_stream()

    timer = loop.call_later(
        compute_confirm_timeout(query.objective_s), on_confirm_timeout
    )
    cancel_stream = open_stream(relay.address, encode_message(query), on_item, on_end)
    return cancel
