"""Ask another entry daemon for many shards at once.

Links between data centres are dear, and a query to 20 shards of another data
centre sends 20 requests over them. One message to an entry daemon there, which
asks its own servers and merges what they answer, takes a tenth of the bytes.

A query to a hundred shards keeps one small VM busy for longer than its objective
allows. There the daemons of a data centre share the work, each the usual one
for some of the shards, so that few of them connect to any one server.
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

# Fewer shards than this are asked for directly: a message saves nothing.
MIN_DELEGATED_SHARDS = 4
# A relay confirms the receipt at once; one that takes longer than this share of
# the objective, within bounds in seconds, is frozen, cut off or overloaded. A
# round trip takes 2 ms.
CONFIRM_TIMEOUT_SHARE = 0.25
MIN_CONFIRM_TIMEOUT_S, MAX_CONFIRM_TIMEOUT_S = 0.012, 0.03
# How much longer a relay asks one server a shard only, in seconds: the asking
# daemon, which gives a relay up that does not confirm, may then still ask another
# without exceeding the servers that a request may run at.
SINGLE_ATTEMPT_MARGIN_S = 0.006
# Part of the margin that the way of a cancellation takes.
CANCEL_LATENCY_S = 0.002
# A relay that failed is left alone for so long, in seconds; doubles each time.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 5.0
# Shards with servers nearby from which on a query is shared out. One sent
# directly takes about 0.5 ms of processor time, a message with its merging about
# as much: below this number one daemon is as fast.
MIN_SHARED_SHARDS = 40
# What the way back from the relay takes off the objective, in seconds.
RELAY_RETURN_S = 0.003
# What each further relay takes off it: its message and its reply are handled
# one after the other, 0.3 ms of processor time each on half a core.
RETURN_PER_RELAY_S = 0.0006


class DelegatedQuery(msgspec.Struct, frozen=True, array_like=True):
    """Ask for shards; the times are seconds that are left when it is sent."""

    request: CallerRequest
    route: str
    services: tuple[ServiceName, ...]
    deadline_s: float
    objective_s: float
    attempts: int
    priority: int
    top_records: int


class DelegatedReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell what was gathered since the last reply to the same query.

    ``included`` are positions in the query's ``services``, each with its
    signature. ``records`` are the greatest ones of these shards. More replies
    may come until ``is_last``.
    """

    included: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    records: bytes = b""
    # False only if no server can have run anything.
    may_have_run: bool = True
    is_last: bool = True


_ENCODER = msgspec.msgpack.Encoder()
_QUERY = msgspec.msgpack.Decoder(DelegatedQuery)
_REPLY = msgspec.msgpack.Decoder(DelegatedReply)
# The first item of the stream: the relay has the query.
CONFIRMATION = b""


def encode_message(message: DelegatedQuery | DelegatedReply) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def decode_query(payload: bytes) -> Result[DelegatedQuery, Failure]:
    """Decode a query; fail with ``WIRE_MALFORMED``."""
    return _decode(_QUERY, payload)


def decode_reply(payload: bytes) -> Result[DelegatedReply, Failure]:
    """Decode a reply; fail with ``WIRE_MALFORMED``."""
    return _decode(_REPLY, payload)


def _decode(decoder, payload: bytes):
    try:
        return Ok(decoder.decode(payload))
    except msgspec.MsgspecError as exc:
        text = f"The delegated message can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


def compute_confirm_timeout(objective_s: float) -> float:
    """Return how long a relay may take to confirm a query, in seconds."""
    return min(
        MAX_CONFIRM_TIMEOUT_S,
        max(MIN_CONFIRM_TIMEOUT_S, CONFIRM_TIMEOUT_SHARE * objective_s),
    )


def compute_single_attempt_time(objective_s: float) -> float:
    """Return how long a relay asks only one server a shard, in seconds."""
    return compute_confirm_timeout(objective_s) + SINGLE_ATTEMPT_MARGIN_S


@dataclass(eq=False)
class Relay:
    """Hold an entry daemon that may be asked, and how it did."""

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
    """Bring the relays in line with what the control daemons name."""
    previous = relays.by_address
    relays.by_address = {
        address: previous.get(address) or Relay(address, data_centre)
        for address, data_centre in known
        if address != relays.own_address
    }


def get_usable_relays(relays: Relays, now: float) -> dict[DataCentre, list[Relay]]:
    """Return the relays that may be asked now, by data centre."""
    usable: dict[DataCentre, list[Relay]] = {}
    for relay in relays.by_address.values():
        if relay.retry_at <= now:
            usable.setdefault(relay.data_centre, []).append(relay)
    return usable


def split_shards(
    candidates: Sequence[Collection[DataCentre]], data_centres: Sequence[DataCentre]
) -> dict[DataCentre, list[int]]:
    """Return which shards each data centre is asked for, by position.

    ``places`` names the data centres that have a good server of each shard. The
    one that has most is asked first, the first of ``data_centres`` among equal
    ones. Shards that would make up a message of fewer than ``MIN_SHARDS`` are
    left out.

    Answers the time after a repartition or the loss of servers, when no single
    data centre has nearly all of the shards.
    """
    parts: dict[DataCentre, list[int]] = {}
    left = set(range(len(candidates)))
    while True:
        held = {
            name: [at for at in sorted(left) if name in candidates[at]]
            for name in data_centres
            if name not in parts
        }
        best = max(held, key=lambda name: len(held[name]), default=None)
        if best is None or len(held[best]) < MIN_DELEGATED_SHARDS:
            return parts
        parts[best] = held[best]
        left.difference_update(held[best])


def assign_shards(
    shards: int, own_address: str, peers: Collection[str], usable: Collection[str]
) -> dict[str, list[int]]:
    """Return which daemon of a data centre asks for which shards, by position.

    There are about as many parts as shards in each, which balances the messages
    of the asking daemon and the requests of each part. A part has a usual daemon
    among all ``peers``; the next in its order stands in where that one is not
    ``able``. The own part is under ``own_address``.

    Answers queries to so many shards that one VM can't send and merge them
    within the objective.
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
    """Return the daemons that ask for a part of the shards, the usual one first."""
    return tuple(rank_by_rendezvous_hash(f"{part}/{parts}", peers))


def record_relay_failure(relay: Relay, now: float) -> None:
    """Leave a relay alone for a while."""
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(relay.failures, 6))
    relay.failures += 1
    relay.retry_at = now + backoff_s


def record_relay_success(relay: Relay) -> None:
    """Forget the failures of a relay that answered."""
    relay.failures = 0


# ``open_stream(address, payload, on_item, on_end)`` returns what cancels it.
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

    ``on_reply(reply, ran)`` is called for each reply unless cancelled; without a
    reply the relay failed, nothing more comes, and each shard may have run at
    ``ran`` servers.
    """
    started_at = loop.time()
    is_confirmed, is_finished = False, False

    def finish(reply: DelegatedReply | None, ran: int) -> None:
        nonlocal is_finished
        if is_finished:
            return
        is_finished = True
        timer.cancel()
        if reply is None:
            record_relay_failure(relay, loop.time())
        else:
            record_relay_success(relay)
        on_reply(reply, ran)

    def may_have_run() -> int:
        """Return at how many servers the relay may have run each shard by now."""
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
