"""Typed messages of membership and server tables, and their encoding."""

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

# Numbers on the wire are places in these tuples; only append to them.
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

# Who the receiver of a batch passes it on to.
SCOPE_UP = 0  # To the daemons below it and to other data centres.
SCOPE_ACROSS = 1  # To the daemons of its own data centre.
SCOPE_DOWN = 2  # To nobody.


class Entry(msgspec.Struct, frozen=True, rename="camel"):
    """Hold what is known of one daemon; see ``records.is_newer``.

    ``statement`` grows each time that the daemon states its own state anew,
    as when it refutes a suspicion.
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
    """Name a shard and the index versions held of it."""

    shard: ShardName = ShardName("")
    versions: tuple[IndexVersion, ...] = ()


class Holding(msgspec.Struct, frozen=True, rename="camel"):
    """Carry a ``ServiceHolding``."""

    service: ServiceName = ServiceName("")
    shards: tuple[ShardVersions, ...] = ()


class Row(msgspec.Struct, frozen=True, rename="camel"):
    """Carry a ``ServerRecord`` without its home, which the delta names."""

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
    """Carry the part of a row that changes often."""

    server_id: ServerId = ServerId("")
    usable: bool = False
    headroom: Share = 0.0


class Delta(msgspec.Struct, frozen=True, rename="camel"):
    """Carry the changes of a home's rows after ``base_version``.

    ``is_full`` says that the receiver is to forget its rows of that home.
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
    """Carry entries and deltas; pushed on changes and sent to repair losses."""

    protocol_version: int = PROTOCOL_VERSION
    scope: Scope = SCOPE_DOWN
    entries: tuple[Entry, ...] = ()
    deltas: tuple[Delta, ...] = ()


class CentreDigest(msgspec.Struct, frozen=True, rename="camel"):
    """Summarise one data centre; ``age_ms`` since a sign of life from it."""

    data_centre: DataCentre = DataCentre("")
    digest: int = 0
    age_ms: int = 0


class Probe(msgspec.Struct, frozen=True, rename="camel"):
    """Ask for a sign of life, or give one."""

    protocol_version: int = PROTOCOL_VERSION
    sender: Entry = Entry()
    receiver: Entry = Entry()
    digests: tuple[CentreDigest, ...] = ()
    is_settled: bool = False
    forward_to: str = ""
    is_forwarded_alive: bool = False


class Held(msgspec.Struct, frozen=True, rename="camel"):
    """Say which entry and which version of its rows the sender holds."""

    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    statement: int = 0
    state: DaemonStateNumber = 0
    version: int = 0


class SyncRequest(msgspec.Struct, frozen=True, rename="camel"):
    """Ask what differs in some data centres, or for what is ``wanted``.

    ``known`` packs what the sender holds, see ``syncing.pack_known``.
    """

    protocol_version: int = PROTOCOL_VERSION
    data_centres: tuple[DataCentre, ...] = ()
    known: bytes = b""
    wanted: tuple[Held, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, rename="camel"):
    """Say what differs, and bring what was wanted as far as it fits."""

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
    """Return the bytes of a ``Batch``, ``Probe`` or sync message."""
    return encode_message(_SCHEMAS[type(message)], message)


def decode(kind: type[Message], payload: bytes) -> Result[Message, Failure]:
    """Decode a message of ``kind``; fail with a ``WIRE_*`` code."""
    schema = _SCHEMAS[kind]
    return decode_message(schema, kind, payload, PROTOCOL_VERSION, MAX_MESSAGE_BYTES)


def row_of(record: ServerRecord) -> Row:
    """Return the wire form of a server's record."""
    return Row(
        record.server_id,
        record.incarnation,
        record.registration,
        record.data_centre,
        record.address,
        SERVER_STATES.index(record.state),
        record.slots,
        record.connection_limit,
        tuple(_holding_of(holding) for holding in record.holdings),
        record.usable,
        record.headroom,
    )


def _holding_of(holding: ServiceHolding) -> Holding:
    shards = (ShardVersions(*item) for item in holding.shards.items())
    return Holding(holding.service, tuple(shards))


# Replicas share these names; one copy of each keeps the tables small.
def _shard_of(item: ShardVersions) -> ShardName:
    return ShardName(intern(item.shard))


def _versions_of(item: ShardVersions) -> tuple[IndexVersion, ...]:
    return tuple(IndexVersion(intern(version)) for version in item.versions)


def record_of(row: Row, delta: Delta) -> ServerRecord:
    """Return the record that ``row`` of ``delta`` carries."""
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
                {_shard_of(item): _versions_of(item) for item in holding.shards},
            )
            for holding in row.holdings
        ),
        delta.home,
        delta.incarnation,
        row.usable,
        row.headroom,
    )
