"""Typed sections of the blackboard and the records that they hold."""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    Generation,
    IndexVersion,
    Registration,
    Revision,
    ServerId,
    ServerIncarnation,
    ServiceName,
    ShardName,
)
from bramleyrouter.states import DaemonState, ServerState


class Identity(msgspec.Struct, frozen=True):
    """Identify this daemon; all but ``incarnation`` comes from its settings."""

    daemon_id: DaemonId
    incarnation: DaemonIncarnation
    data_centre: DataCentre
    # "ip:port" of the internal port and of the HTTP port.
    internal_address: str
    http_address: str


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one service of a manifest.

    ``versions`` are the index versions that may serve queries, the newest last.
    ``replicas`` is the number of servers that are expected to hold each shard.
    """

    name: ServiceName
    shards: tuple[ShardName, ...]
    versions: tuple[IndexVersion, ...]
    replicas: int = 2


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the services that operators expect, as their pipeline generated them."""

    generation: Generation
    services: tuple[ServiceSpec, ...]


@dataclass
class ConfigView:
    """Hold this daemon's copy of the accepted configuration.

    ``revision`` never decreases. ``data_centres_out`` and ``servers_out`` are
    those that operators have taken out. ``confirmed_at`` is the loop time, in
    seconds, at which control last confirmed that the revision is current.
    """

    revision: Revision = Revision(0)
    digest: bytes = b""
    manifest: Manifest | None = None
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    data_centres_out: frozenset[DataCentre] = frozenset()
    servers_out: frozenset[ServerId] = frozenset()
    confirmed_at: float = float("-inf")


class ServiceHolding(msgspec.Struct, frozen=True):
    """List the shards of one service that a backend server holds.

    ``shards`` maps a shard to the index versions that the server holds of it.
    """

    service: ServiceName
    shards: dict[ShardName, tuple[IndexVersion, ...]]


class ServerRecord(msgspec.Struct, frozen=True):
    """Describe one backend server to every daemon; its home writes the record.

    The home is the one daemon through which requests reach the server.
    ``slots`` and ``connection_limit`` are as the server announced them and apply
    to all daemons together. ``usable`` is false while the home dispatches nothing
    to the server: it is starting, draining or held down, or the home waits for
    authority. ``headroom`` is the share of its slots that the cold-start ramp
    allows now, from 0 to 1.
    """

    server_id: ServerId
    incarnation: ServerIncarnation
    registration: Registration
    data_centre: DataCentre
    address: str
    state: ServerState
    slots: int
    connection_limit: int
    holdings: tuple[ServiceHolding, ...]
    home: DaemonId
    home_incarnation: DaemonIncarnation
    usable: bool = True
    headroom: float = 1.0


@dataclass
class ServerTable:
    """Hold every known backend server, and an index for routing queries.

    ``by_shard`` maps (service, shard, version) to the sorted ids of the servers
    that hold it. The writer updates the index together with the records.
    """

    records: dict[ServerId, ServerRecord] = field(default_factory=dict)
    by_shard: dict[tuple[ServiceName, ShardName, IndexVersion], list[ServerId]] = field(
        default_factory=dict
    )


class DaemonRecord(msgspec.Struct, frozen=True):
    """Describe one daemon to its peers."""

    daemon_id: DaemonId
    incarnation: DaemonIncarnation
    data_centre: DataCentre
    internal_address: str
    http_address: str
    state: DaemonState
    # A control daemon is neither the home of any server nor a relay.
    is_control: bool = False


@dataclass
class DaemonTable:
    """Hold the daemons of the membership, including this one."""

    records: dict[DaemonId, DaemonRecord] = field(default_factory=dict)


@dataclass
class HomeServerStatus:
    """Hold the status that a home publishes for one of its servers.

    The ``homes`` package writes it.
    """

    record: ServerRecord
    in_flight: int = 0
    queued: int = 0
    open_connections: int = 0


@dataclass
class HomeTable:
    """Hold the backend servers whose home is this daemon."""

    statuses: dict[ServerId, HomeServerStatus] = field(default_factory=dict)


@dataclass
class ServerLoad:
    """Hold the load of one server as this daemon measured it.

    ``in_flight`` counts this daemon's own requests. ``latency_s`` is a moving
    average over replies, in seconds.
    """

    in_flight: int = 0
    latency_s: float = 0.0
    replies: int = 0
    failures: int = 0


@dataclass
class LoadTable:
    """Hold the measured load of each server."""

    servers: dict[ServerId, ServerLoad] = field(default_factory=dict)


@dataclass
class Readiness:
    """Hold the reasons why this daemon is not ready; without any, it is ready."""

    reasons: set[str] = field(default_factory=lambda: {"starting"})

    @property
    def is_ready(self) -> bool:
        """Return whether the platform's balancer may send callers here."""
        return not self.reasons
