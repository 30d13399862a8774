"""Clusters of daemons of several data centres on one in-memory network."""

import asyncio
import random
from dataclasses import dataclass, field

from bramleyrouter.board import Board
from bramleyrouter.board.sections import Identity, ServerRecord, ServiceHolding
from bramleyrouter.dissemination.build import build_dissemination
from bramleyrouter.membership.build import build_membership
from bramleyrouter.states import ServerState
from tests.support.identities import make_identity
from tests.support.memory_network import MemoryFabric

DAEMONS_PER_DATA_CENTRE = {"dc1": 3, "dc2": 3, "dc3": 2}


@dataclass
class Daemon:
    """Hold the parts of one running daemon."""

    identity: Identity
    board: Board
    membership: object
    dissemination: object = None

    @property
    def address(self):
        return self.identity.internal_address


@dataclass
class Cluster:
    """Hold the running daemons, by name.

    ``control`` are the control daemons' addresses in the settings of all daemons.
    """

    fabric: MemoryFabric
    rng: random.Random
    daemons: dict[str, Daemon] = field(default_factory=dict)
    control: tuple[str, ...] = ()
    identities: dict[str, Identity] = field(default_factory=dict)
    # Called with (cluster, name, daemon, network, rng); none if a test does not need
    # dissemination.
    dissemination_builder: object = None

    def start(self, name, incarnation=1):
        """Start a daemon; for a restart, ``incarnation`` must be larger than before."""
        base = self.identities[name]
        port = int(base.internal_address.split(":")[1])
        identity = make_identity(name, base.data_centre, port, incarnation)
        board = Board(identity)
        network = self.fabric.build_network(identity)
        clock = asyncio.get_running_loop().time
        rng = random.Random(self.rng.random())
        membership = build_membership(board, network, self.control, rng, clock)
        daemon = Daemon(identity, board, membership)
        if self.dissemination_builder:
            daemon.dissemination = self.dissemination_builder(
                self, name, daemon, network, rng
            )
            daemon.dissemination.start()
        membership.start()
        self.daemons[name] = daemon
        return daemon

    def kill(self, name):
        """Kill a daemon, so that it sends its peers no leave message."""
        daemon = self.daemons.pop(name)
        daemon.membership.stop()
        if daemon.dissemination:
            daemon.dissemination.stop()
        self.fabric.kill(daemon.address)

    def get_addresses(self, *centres):
        """Return the addresses of all daemons of some data centres."""
        return [
            identity.internal_address
            for identity in self.identities.values()
            if identity.data_centre in centres
        ]

    def get_entry_daemons(self):
        """Return the running entry daemons."""
        return [d for d in self.daemons.values() if d.address not in self.control]


def make_cluster(
    seed=0, centres=DAEMONS_PER_DATA_CENTRE, control_count=3, dissemination_builder=None
):
    """Return a cluster of entry daemons "e..." and control daemons "c..."."""
    rng = random.Random(seed)
    cluster = Cluster(
        MemoryFabric(rng=rng), rng, dissemination_builder=dissemination_builder
    )
    names = [(f"e{i}{c}", c) for c, count in centres.items() for i in range(count)]
    centre_names = list(centres)
    control = [
        (f"c{i}", centre_names[i % len(centre_names)]) for i in range(control_count)
    ]
    for number, (name, centre) in enumerate(control + names):
        cluster.identities[name] = make_identity(name, centre, 7000 + 2 * number)
    cluster.control = tuple(
        cluster.identities[name].internal_address for name, _ in control
    )
    return cluster


async def start_all(cluster, wait_s=6.0):
    """Start every daemon and wait ``wait_s`` seconds for the cluster to form."""
    for name in cluster.identities:
        cluster.start(name)
    await asyncio.sleep(wait_s)


def make_dissemination_builder(log):
    """Return a function that builds a daemon's dissemination over a ``FakeLog``."""

    def build(cluster, name, daemon, network, rng):
        source = log.build_source(name) if name.startswith("c") else None
        return build_dissemination(
            daemon.board,
            network,
            cluster.control,
            rng,
            asyncio.get_running_loop().time,
            daemon.membership.relays,
            source,
        )

    return build


async def wait_until(condition, limit_s):
    """Wait for a condition and return the seconds that it took.

    Fail when it does not hold within ``limit_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        assert loop.time() - started < limit_s, f"Not within {limit_s} s."
        await asyncio.sleep(0.01)
    return loop.time() - started


def make_record(name, home: Identity, registration=1, **changes):
    """Return the record of a backend server whose home is ``home``."""
    fields = dict(
        server_id=name,
        incarnation=1,
        registration=registration,
        data_centre=home.data_centre,
        address="127.0.0.1:9000",
        state=ServerState.READY,
        slots=2,
        connection_limit=25,
        holdings=(ServiceHolding("rods", {"s1": ("v1",), "s2": ("v1", "v2")}),),
        home=home.daemon_id,
        home_incarnation=home.incarnation,
    )
    return ServerRecord(**{**fields, **changes})
