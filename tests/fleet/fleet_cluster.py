"""Test clusters of control daemons and entry daemons on an in-memory network.

They run in virtual time.
"""

import asyncio
import random

from result import Err

from bramleyrouter.conf.fleet import StreamTimes
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_operate, build_read_routes
from bramleyrouter.control.joining import JoinPolicy, maintain_log_membership
from bramleyrouter.control.leader_client import LeaderClient
from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.control.service import start_control_service
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.fleet.departures import start_departures
from bramleyrouter.fleet.messages import DIRECT, Update, encode_update
from bramleyrouter.fleet.publishing import start_fleet_publisher
from bramleyrouter.fleet.registry import ServerRegistry
from bramleyrouter.fleet.watcher import start_fleet_watcher
from bramleyrouter.ids import DaemonId, DataCentre, TableVersion
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind
from tests.support.identities import make_identity
from tests.support.memory_disk import MemoryDisk
from tests.support.memory_network import MemoryFabric

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in (7100, 7200, 7300, 7400))
INITIAL_ADDRESSES = ADDRESSES[:3]


class ControlDaemon:
    """Run one control daemon."""

    def __init__(self, cluster, number, is_first_start):
        loop = asyncio.get_running_loop()
        self.address = ADDRESSES[number]
        port = int(self.address.rsplit(":", 1)[1])
        data_centre = cluster.get_data_centre(number)
        identity = make_identity(f"c{number}", data_centre, port=port)
        self.network = cluster.fabric.build_network(identity)
        self.state_machine = build_control_state_machine()
        cluster.starts += 1
        ids = iter(range(10_000))
        rng = random.Random(f"{cluster.seed}-{cluster.starts}")
        prefix = f"m{cluster.starts}"
        self.log = build_replicated_log(
            identity,
            INITIAL_ADDRESSES,
            self.network,
            rng,
            self.state_machine.for_log,
            cluster.disks[number].open(),
            new_id=lambda: f"{prefix}-{next(ids)}",
        ).ok_value
        self.tasks = BackgroundTasks("test")
        self.control = start_control_service(
            self.network, self.log, self.state_machine, loop.time, has_subscribers=False
        )
        self.registry = ServerRegistry(1.2)
        self.publisher = start_fleet_publisher(
            self.network,
            self.registry,
            self.state_machine,
            self.log,
            loop.time,
            cluster.get_data_centre(number),
            StreamTimes(),
            lambda document: cluster.must_be_current(document),
        )
        leader_client = LeaderClient(
            self.network, list(INITIAL_ADDRESSES), loop.time, rng
        )
        self.departures = start_departures(
            self.network,
            self.registry,
            self.state_machine,
            leader_client,
            self.address,
            loop.time,
        )
        policy = JoinPolicy(self.address, is_first_start, 3, 2.4)
        joining = maintain_log_membership(
            leader_client, self.log, policy, lambda: INITIAL_ADDRESSES
        )
        spawn(self.tasks, joining)
        self.operate = build_operate(leader_client)
        self.read = build_read_routes(leader_client)


class EntryDaemon:
    """Run one entry daemon and collect what its watcher reports."""

    def __init__(
        self,
        cluster,
        name,
        port,
        data_centre="dc0",
        wrap_network=lambda network: network,
    ):
        identity = make_identity(name, data_centre, port=port)
        self.network = wrap_network(cluster.fabric.build_network(identity))
        self.versions, self.services, self.events = [], [], []
        self.contacts = []
        self.fetches = 0
        self.watcher = start_fleet_watcher(
            self.network,
            lambda part, event, **fields: self.events.append((event, fields)),
            DataCentre(data_centre),
            asyncio.get_running_loop().time,
            lambda version, document: self.versions.append((version, document)),
            self.services.append,
            lambda relays: None,
            self.contacts.append,
            StreamTimes(),
        )
        self.watcher.set_seeds(INITIAL_ADDRESSES)

    @property
    def state(self):
        """Return the state of the watcher."""
        return self.watcher.state


class ScriptedControlDaemon:
    """Serve the fleet stream as a test directs.

    ``streams`` lists the payload of each subscription and the function that sends on
    it. A subscription to another control daemon ends with ``refusal`` if that is set.
    """

    def __init__(self, fabric, number, data_centre):
        self.address, self.data_centre = ADDRESSES[number], data_centre
        port = int(self.address.rsplit(":", 1)[1])
        identity = make_identity(f"c{number}", data_centre, port=port)
        self.streams, self.refusal = [], None
        self.network = fabric.build_network(identity)
        self.network.serve_stream(MessageKind.WATCH_FLEET, self._serve)

    async def _serve(self, peer, payload, send):
        self.streams.append((payload, send))
        if payload != DIRECT and self.refusal:
            return Err(self.refusal)
        await asyncio.get_running_loop().create_future()

    def list_forwarded(self):
        """Return the addresses of the control daemons that it was asked to forward."""
        return [payload.decode() for payload, _ in self.streams if payload != DIRECT]

    def send(self, **fields):
        """Send a full update on the latest stream of its own."""
        update = Update(is_full=True, data_centre=self.data_centre, **fields)
        sends = [send for payload, send in self.streams if payload == DIRECT]
        sends[-1](encode_update(update))


class FleetCluster:
    """Run the control daemons of a test, by number, and hold their disks."""

    def __init__(self, seed=1, data_centres=("dc0", "dc1", "dc2", "dc3")):
        self.seed, self.starts, self.data_centres = seed, 0, data_centres
        self.fabric = MemoryFabric()
        self.must_be_current = lambda document: False
        self.disks = [MemoryDisk() for _ in ADDRESSES]
        self.controls = {}

    def get_data_centre(self, number):
        """Return the data centre of a control daemon."""
        return DataCentre(self.data_centres[number])

    def start(self, *numbers, is_first_start=True):
        """Start control daemons."""
        for number in numbers:
            self.controls[number] = ControlDaemon(self, number, is_first_start)

    def kill(self, number):
        """Stop a control daemon without notice; its disk stays."""
        control = self.controls.pop(number)
        cancel_all(control.tasks)
        control.publisher.close()
        self.fabric.kill(control.address)
        loop = asyncio.get_running_loop()
        return loop.create_task(self._close(control))

    async def _close(self, control):
        await control.control.close()
        await control.log.close()

    def wipe(self, number):
        """Replace the disk of a control daemon by an empty one."""
        self.disks[number] = MemoryDisk()

    def leader(self):
        """Return the number of the leader with the highest term, or none."""
        leading = [
            (control.log.status().term, number)
            for number, control in self.controls.items()
            if control.log.status().is_leader
        ]
        return max(leading)[1] if leading else None

    async def publish(self, version, number=0, timeout_s=3.0):
        """Publish a route table through one control daemon."""
        command = PublishRoutes(TableVersion(version), b'{"v":%d}' % version)
        return await self.controls[number].operate(command, timeout_s)

    async def wait_until(self, condition, timeout_s=10.0):
        """Wait until ``condition()`` holds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not condition():
            assert loop.time() < deadline, "The condition did not hold in time."
            await asyncio.sleep(0.01)


def entry_name(number):
    """Return the id of an entry daemon."""
    return DaemonId(f"e{number}")
