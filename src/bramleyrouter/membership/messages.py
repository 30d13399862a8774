"""Typed messages for membership and server tables, and their encoding."""

from pathlib import Path
from sys import intern
from typing import Annotated

import capnp
import msgspec
from result import Result

from bramleyrouter.board.sections import ServerRecord, ServiceHolding
from bramleyrouter.failures import Failure
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    IndexVersion,
    Registration,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
)
from bramleyrouter.states import DaemonState, ServerState
from bramleyrouter.utils.schemas import Message, decode_message, encode_message

PROTOCOL_VERSION = 1
# Holds MAX_ROWS_PER_BATCH rows of a few hundred bytes each.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_ROWS_PER_BATCH = 2_000

_SCHEMA = capnp.load(str(Path(__file__).with_name("membership.capnp")))

# States are sent as indices into these tuples, so new states may only be appended.
DAEMON_STATES = (
    DaemonState.JOINING,
    DaemonState.ALIVE,
    DaemonState.LEAVING,
    DaemonState.SUSPECT,
    DaemonState.DEAD,
)
SERVER_STATES = (ServerState.STARTING, ServerState.READY, ServerState.DRAINING)

DaemonStateNumber = Annotated[int, msgspec.Meta(ge=0, lt=len(DAEMON_STATES))]
ServerStateNumber = Annotated[int, msgspec.Meta(ge=0, lt=len(SERVER_STATES))]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Scope = Annotated[int, msgspec.Meta(ge=0, le=2)]

# The daemons to which the receiver of a batch forwards it.
SCOPE_UP = 0  # The daemons of its own data centre and the other data centres.
SCOPE_ACROSS = 1  # The daemons of its own data centre.
SCOPE_DOWN = 2  # None.


class Entry(msgspec.Struct, frozen=True, rename="camel"):
    """Hold what one daemon has stored about another one or itself.

    This is the record of a daemon in this package, and the source of the
    ``DaemonRecord`` on the blackboard. See ``records.is_newer`` for the order.
    ``statement`` increases each time that the daemon sends its own state, for
    instance to refute a suspicion.
    """

    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    statement: int = 0
    state: DaemonStateNumber = 0
    is_control: bool = False
    data_centre: DataCentre = DataCentre("")
    internal_address: str = ""
    http_address: str = ""


class ShardVersions(msgspec.Struct, frozen=True, rename="camel"):
    """Name a shard and the index versions of it that a server holds."""

    shard: ShardName = ShardName("")
    versions: tuple[IndexVersion, ...] = ()


class Holding(msgspec.Struct, frozen=True, rename="camel"):
    """Encode a ``ServiceHolding``."""

    service: ServiceName = ServiceName("")
    shards: tuple[ShardVersions, ...] = ()


class Row(msgspec.Struct, frozen=True, rename="camel"):
    """Encode a ``ServerRecord`` without its home, which the delta names."""

    server_id: ServerId = ServerId("")
    incarnation: ServerIncarnation = ServerIncarnation(0)
    registration: Registration = Registration(0)
    data_centre: DataCentre = DataCentre("")
    address: str = ""
    state: ServerStateNumber = 0
    slots: int = 0
    connection_limit: int = 0
    holdings: tuple[Holding, ...] = ()
    usable: bool = False
    headroom: Share = 0.0


class Status(msgspec.Struct, frozen=True, rename="camel"):
    """Encode the part of a row that changes often."""

    server_id: ServerId = ServerId("")
    usable: bool = False
    headroom: Share = 0.0


class Delta(msgspec.Struct, frozen=True, rename="camel"):
    """Carry the changes of a home's rows after ``base_version``.

    With ``is_full`` the receiver first removes its rows of that home.
    """

    home: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    base_version: int = 0
    version: int = 0
    is_full: bool = False
    rows: tuple[Row, ...] = ()
    statuses: tuple[Status, ...] = ()
    removed: tuple[ServerId, ...] = ()


class Batch(msgspec.Struct, frozen=True, rename="camel"):
    """Carry entries and deltas, which are pushed on changes or sent in a repair."""

    protocol_version: int = PROTOCOL_VERSION
    scope: Scope = SCOPE_DOWN
    entries: tuple[Entry, ...] = ()
    deltas: tuple[Delta, ...] = ()


class CentreDigest(msgspec.Struct, frozen=True, rename="camel"):
    """Carry the digest of one data centre's records.

    ``age_ms`` is the time since the last known contact with it, in milliseconds.
    """

    data_centre: DataCentre = DataCentre("")
    digest: int = 0
    age_ms: int = 0


class Probe(msgspec.Struct, frozen=True, rename="camel"):
    """Test whether a daemon is alive, or reply to such a test.

    ``receiver`` is the sender's record of the receiver. ``is_settled`` says whether
    the sender's tables are complete. A probe with ``forward_to`` asks the receiver
    to probe that address; its reply says in ``is_forwarded_alive`` whether that
    daemon replied.
    """

    protocol_version: int = PROTOCOL_VERSION
    sender: Entry = Entry()
    receiver: Entry = Entry()
    digests: tuple[CentreDigest, ...] = ()
    is_settled: bool = False
    forward_to: str = ""
    is_forwarded_alive: bool = False


class Held(msgspec.Struct, frozen=True, rename="camel"):
    """Name the versions of a daemon's entry and rows that the sender holds."""

    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    statement: int = 0
    state: DaemonStateNumber = 0
    version: int = 0


class SyncRequest(msgspec.Struct, frozen=True, rename="camel"):
    """Ask which records of some data centres differ, or for the ``wanted`` ones.

    ``known`` holds hashes of the sender's records, see ``syncing.pack_known``.
    """

    protocol_version: int = PROTOCOL_VERSION
    data_centres: tuple[DataCentre, ...] = ()
    known: bytes = b""
    wanted: tuple[Held, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, rename="camel"):
    """Carry the records that differ and as many of the wanted ones as fit.

    ``missing`` holds hashes of daemon ids of which the replying daemon has no
    record. ``has_more`` says that further wanted records remain.
    """

    protocol_version: int = PROTOCOL_VERSION
    differing: tuple[Held, ...] = ()
    missing: bytes = b""
    batch: Batch = Batch()
    has_more: bool = False


_SCHEMAS = {
    Batch: _SCHEMA.Batch,
    Probe: _SCHEMA.Probe,
    SyncRequest: _SCHEMA.SyncRequest,
    SyncReply: _SCHEMA.SyncReply,
}


def encode(message: msgspec.Struct) -> bytes:
    """Encode a ``Batch``, ``Probe`` or sync message."""
    return encode_message(_SCHEMAS[type(message)], message)


def decode(kind: type[Message], payload: bytes) -> Result[Message, Failure]:
    """Decode a message of ``kind``; fail with a ``WIRE_*`` code."""
    schema = _SCHEMAS[kind]
    return decode_message(schema, kind, payload, PROTOCOL_VERSION, MAX_MESSAGE_BYTES)


def build_row(record: ServerRecord) -> Row:
    """Build the message form of a server's record."""
    return Row(
        record.server_id,
        record.incarnation,
        record.registration,
        record.data_centre,
        record.address,
        SERVER_STATES.index(record.state),
        record.slots,
        record.connection_limit,
        tuple(_build_holding(holding) for holding in record.holdings),
        record.usable,
        record.headroom,
    )


def _build_holding(holding: ServiceHolding) -> Holding:
    shards = (ShardVersions(*item) for item in holding.shards.items())
    return Holding(holding.service, tuple(shards))


# The replicas of a shard share these names, so they are interned to save memory.
def _intern_shard(item: ShardVersions) -> ShardName:
    return ShardName(intern(item.shard))


def _intern_versions(item: ShardVersions) -> tuple[IndexVersion, ...]:
    return tuple(IndexVersion(intern(version)) for version in item.versions)


def build_server_record(row: Row, delta: Delta) -> ServerRecord:
    """Build the server record from ``row`` of ``delta``."""
    return ServerRecord(
        row.server_id,
        row.incarnation,
        row.registration,
        DataCentre(intern(row.data_centre)),
        row.address,
        SERVER_STATES[row.state],
        row.slots,
        row.connection_limit,
        tuple(
            ServiceHolding(
                ServiceName(intern(holding.service)),
                {
                    _intern_shard(item): _intern_versions(item)
                    for item in holding.shards
                },
            )
            for holding in row.holdings
        ),
        delta.home,
        delta.incarnation,
        row.usable,
        row.headroom,
    )
