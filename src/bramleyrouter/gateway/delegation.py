"""Delegate many shards of a gather to another entry daemon, a relay, in one message.

Traffic between data centres is expensive, and a gather over 20 shards of another data
centre sends 20 requests there. One message to an entry daemon there, which queries its
local servers and merges their replies, needs a tenth of the bytes.

A gather over a hundred shards occupies one small VM for longer than its objective
allows. The entry daemons of a data centre therefore share the work. Each part of the
shards has a preferred daemon, so that few daemons connect to any one server.
"""

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.exchanges import CallerRequest
from bramleyrouter.ids import DataCentre, ServiceName
from bramleyrouter.utils.rendezvous import rank_by_rendezvous_hash

# Fewer shards than this are sent directly, because a delegation would save nothing.
MIN_DELEGATED_SHARDS = 4
# Time limit for a relay to confirm that it received the query: a share of the
# objective, bounded in seconds. A relay confirms at once and a round trip takes 2 ms,
# so one that exceeds the limit is frozen, unreachable or overloaded.
CONFIRM_TIMEOUT_SHARE = 0.25
MIN_CONFIRM_TIMEOUT_S, MAX_CONFIRM_TIMEOUT_S = 0.012, 0.03
# Time after the confirmation timeout, in seconds, during which a relay still sends each
# shard to one server only. A requesting daemon that cancels an unconfirmed relay may
# then try one more server itself without exceeding the allowed attempts of a shard.
SINGLE_ATTEMPT_MARGIN_S = 0.006
# Part of the margin reserved for the cancellation to reach the relay.
CANCEL_LATENCY_S = 0.002
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
    """Request shards from a relay; times are the seconds left when it is sent."""

    request: CallerRequest
    route: str
    services: tuple[ServiceName, ...]
    deadline_s: float
    objective_s: float
    attempts: int
    priority: int
    top_records: int


class DelegatedReply(msgspec.Struct, frozen=True, array_like=True):
    """Report the results gathered since the previous reply to the same query.

    ``included`` holds positions in the query's ``services``, each with its signature.
    ``records`` are the greatest records of these shards. More replies may follow until
    ``is_last`` is set.
    """

    included: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    records: bytes = b""
    # False only if it is certain that no server ran anything.
    may_have_run: bool = True
    is_last: bool = True


_ENCODER = msgspec.msgpack.Encoder()
_QUERY_DECODER = msgspec.msgpack.Decoder(DelegatedQuery)
_REPLY_DECODER = msgspec.msgpack.Decoder(DelegatedReply)
# First item of the stream: the relay received the query.
CONFIRMATION = b""


def encode_message(message: DelegatedQuery | DelegatedReply) -> bytes:
    """Encode a delegated query or reply."""
    return _ENCODER.encode(message)


def decode_query(payload: bytes) -> Result[DelegatedQuery, Failure]:
    """Decode a query; fail with ``WIRE_MALFORMED``."""
    return _decode(_QUERY_DECODER, payload)


def decode_reply(payload: bytes) -> Result[DelegatedReply, Failure]:
    """Decode a reply; fail with ``WIRE_MALFORMED``."""
    return _decode(_REPLY_DECODER, payload)


def _decode(decoder, payload: bytes):
    try:
        return Ok(decoder.decode(payload))
    except msgspec.MsgspecError as exc:
        text = f"The delegated message can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


def compute_confirm_timeout(objective_s: float) -> float:
    """Return the time within which a relay must confirm a query, in seconds."""
    return min(
        MAX_CONFIRM_TIMEOUT_S,
        max(MIN_CONFIRM_TIMEOUT_S, CONFIRM_TIMEOUT_SHARE * objective_s),
    )


def compute_single_attempt_time(objective_s: float) -> float:
    """Return how long a relay sends each shard to only one server, in seconds."""
    return compute_confirm_timeout(objective_s) + SINGLE_ATTEMPT_MARGIN_S


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


def start_delegated_query(
    loop,
    open_stream: OpenStream,
    relay: Relay,
    query: DelegatedQuery,
    on_reply: Callable[[DelegatedReply | None, int], None],
) -> Callable[[], None]:
    """Send a query to a relay; return the closure that cancels it.

    ``on_reply(reply, possible_runs)`` is called for each reply unless cancelled. If
    ``reply`` is none, the relay failed and no further call follows; ``possible_runs``
    is then the number of servers at which each shard may have run.
    """
    started_at = loop.time()
    is_confirmed, is_finished = False, False

    def finish(reply: DelegatedReply | None, possible_runs: int) -> None:
        nonlocal is_finished
        if is_finished:
            return
        is_finished = True
        timer.cancel()
        if reply is None:
            record_relay_failure(relay, loop.time())
        else:
            record_relay_success(relay)
        on_reply(reply, possible_runs)

    def may_have_run() -> int:
        """Return at how many servers the relay may have run each shard so far."""
        single_attempt_s = (
            compute_single_attempt_time(query.objective_s) - CANCEL_LATENCY_S
        )
        return 1 if loop.time() - started_at <= single_attempt_s else query.attempts

    def on_item(payload: bytes) -> None:
        nonlocal is_confirmed
        if payload == CONFIRMATION:
            is_confirmed = True
            return
        reply = decode_reply(payload).ok()
        if reply is None or reply.is_last:
            finish(reply, query.attempts)
        elif not is_finished:
            on_reply(reply, query.attempts)

    def on_end(outcome: Result[None, Failure]) -> None:
        is_known_not_run = isinstance(outcome, Err) and outcome.err_value.code in (
            Code.PEER_UNREACHABLE,
            Code.STOPPING,
            Code.UNKNOWN_MESSAGE_KIND,
        )
        finish(None, 0 if is_known_not_run else may_have_run())

    def on_confirm_timeout() -> None:
        if not is_confirmed and not is_finished:
            cancel_stream()
            finish(None, may_have_run())

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
