"""Run whole daemons, backend servers, callers and operators on virtual time.

What callers, operators and servers observe is recorded. ``find_violations`` passes
the records to the checkers of ``bramleyrouter.histories``.
"""

import asyncio
import functools
import random
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from bramleyrouter.board import Board
from bramleyrouter.board.sections import Manifest, ServiceHolding, ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.consensus.replicated_log import build_replicated_log
from bramleyrouter.control.client import build_control_admin, build_control_client
from bramleyrouter.control.messages import Publish, SetAvailability
from bramleyrouter.control.rollouts import serve_rollout
from bramleyrouter.control.service import build_control
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.dissemination.build import build_dissemination
from bramleyrouter.failures import Failure
from bramleyrouter.histories import configurations as conf
from bramleyrouter.histories import requests as reqs
from bramleyrouter.histories.linearizations import Operation
from bramleyrouter.homes.build import build_homes
from bramleyrouter.membership.build import build_membership
from bramleyrouter.routing.messages import Query, ServiceTarget, Submission
from bramleyrouter.routing.router import build_router
from bramleyrouter.standins.announcers import AnnouncerState, run_announcer
from bramleyrouter.states import CoverageMode, Outcome, ServerState
from tests.control.builders import NOW_MS
from tests.support.identities import make_identity
from tests.support.memory_disk import MemoryDisk
from tests.support.memory_network import MemoryFabric
from tests.support.recording_servers import SERVICE, RecordingServer, make_transport
from tests.support.routing_fakes import make_settings

# The first data centre has control daemon ``c0`` and entry daemons ``e0`` and ``e1``.
DATA_CENTRES = ("dc1", "dc2", "dc3")
SHARDS = ("a", "b", "c")
# Times that are guaranteed, in seconds: after the first one a closed server gets no
# new work, and after the second one a configuration is in force everywhere.
CLOSURE_GRACE_S = 3.0
IN_FORCE_S = 4.0
POST_TIMEOUT_S = 0.5


@dataclass
class Process:
    """Hold one run of a daemon, and the parts that it consists of, by name.

    ``ended`` is set when the daemon is killed or has stopped.
    """

    identity: object
    board: Board
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    parts: dict = field(default_factory=dict)

    @property
    def is_serving(self):
        return not self.ended.is_set() and self.board.readiness.is_ready


@dataclass
class System:
    """Hold the daemons by name, the servers, and the records.

    Names of control daemons begin with "c", and names of entry daemons with "e".
    ``isolated_daemons`` reach no other process, and ``isolated_data_centres`` reach
    no other data centre. ``closures`` are the times during which servers are to get no
    new work, and ``overdue_revisions`` are reports of configurations that came in force
    too late. ``lost_callers`` counts callers whose daemon ended before it answered.
    """

    seed: int
    fabric: MemoryFabric
    identities: dict = field(default_factory=dict)
    disks: dict = field(default_factory=dict)
    running: dict[str, Process] = field(default_factory=dict)
    servers: dict[str, RecordingServer] = field(default_factory=dict)
    isolated_daemons: set = field(default_factory=set)
    isolated_data_centres: set = field(default_factory=set)
    starts: int = 0
    queries: list = field(default_factory=list)
    refusals: list = field(default_factory=list)
    lost_callers: int = 0
    submissions: list = field(default_factory=list)
    observations: list = field(default_factory=list)
    history: list = field(default_factory=list)
    closures: list = field(default_factory=list)
    accepted_revisions: list = field(default_factory=list)
    overdue_revisions: list = field(default_factory=list)
    is_sending: bool = True
    healed_at: float = 0.0
    observer: asyncio.Task | None = None

    @property
    def control(self):
        """Return the addresses of the control daemons."""
        return tuple(self.identities[f"c{n}"].internal_address for n in range(3))

    def make_rng(self, name):
        """Build a generator from the seed, ``name`` and the count of daemon starts."""
        return random.Random(f"{self.seed}-{name}-{self.starts}")

    def list_serving_entry_daemons(self):
        """Return the running entry daemons that are ready."""
        return [
            process
            for name, process in self.running.items()
            if name[0] == "e" and process.is_serving
        ]


def make_system(seed=1):
    """Build a system that is not yet started.

    It has one control daemon and two entry daemons per data centre.
    """
    system = System(seed, MemoryFabric(rng=random.Random(seed)))
    names = [(f"c{n}", DATA_CENTRES[n]) for n in range(3)]
    names += [(f"e{n}", DATA_CENTRES[n // 2]) for n in range(6)]
    for number, (name, centre) in enumerate(names):
        system.identities[name] = make_identity(name, centre, 7000 + 10 * number)
        system.disks[name] = MemoryDisk()
    return system


def _build_network(system, process):
    """Build a network for a process that sends nothing once the process has ended.

    Tasks of a killed process may still run and must not reach other daemons.
    """
    network = system.fabric.build_network(process.identity)
    ended_failure = Err(Failure(Code.PEER_UNREACHABLE, "This process has ended."))

    async def call(*args):
        return ended_failure if process.ended.is_set() else await network.call(*args)

    def send(*args):
        return None if process.ended.is_set() else network.send(*args)

    def stream(*args):
        if not process.ended.is_set():
            return network.stream(*args)
        asyncio.get_running_loop().call_soon(args[4], ended_failure)
        return lambda: None

    return network._replace(call=call, send=send, stream=stream)


def start_daemon(system, name):
    """Start or restart a daemon; each start has a larger incarnation."""
    system.starts += 1
    base = system.identities[name]
    identity = msgspec.structs.replace(base, incarnation=system.starts)
    process = Process(identity, Board(identity))
    network, rng = _build_network(system, process), system.make_rng(name)
    clock = asyncio.get_running_loop().time
    parts, board = process.parts, process.board
    source = None
    if name[0] == "c":
        source = _build_control_daemon(system, name, process, network, rng)
    membership = build_membership(
        board, network, system.control, rng, clock, is_control=name[0] == "c"
    )
    dissemination = build_dissemination(
        board, network, system.control, rng, clock, membership.relays, source
    )
    parts.update(membership=membership, dissemination=dissemination)
    if name[0] == "c":
        serve_rollout(network, parts["log"].status, dissemination.rollout)
    else:
        _build_entry_daemon(system, process, network, membership, rng)
    membership.start()
    dissemination.start()
    board.readiness.reasons.discard("starting")
    system.running[name] = process
    return process


def _build_control_daemon(system, name, process, network, rng):
    loop, state_machine = asyncio.get_running_loop(), build_control_state_machine()
    log = build_replicated_log(
        process.identity,
        system.control,
        network,
        rng,
        state_machine.for_log,
        system.disks[name].open(),
        wall_clock=lambda: NOW_MS / 1000 + loop.time(),
        # Random ids would make runs with the same seed differ.
        new_id=functools.partial("{:016x}".format, rng.getrandbits(64)),
    ).unwrap()
    control = build_control(network, log, state_machine, loop.time)
    process.parts.update(log=log, control=control)
    return control.source


def _build_entry_daemon(system, process, network, membership, rng):
    board, clock = process.board, asyncio.get_running_loop().time
    transport = make_transport(
        system.servers, lambda server: _can_reach(system, process, server)
    )
    homes = build_homes(
        board, network, transport, membership.publish_rows, rng, clock=clock
    )
    client = build_control_client(network, system.control, clock, rng)
    cfg = make_settings(
        daemon_id=process.identity.daemon_id, data_centre=process.identity.data_centre
    )
    router = build_router(board, homes.client, client, cfg, clock, rng)
    process.parts.update(homes=homes, router=router)


def _can_reach(system, process, server):
    if process.ended.is_set() or process.identity.daemon_id in system.isolated_daemons:
        return False
    centres = {process.identity.data_centre, server.announcer.data_centre}
    return len(centres) == 1 or not centres & system.isolated_data_centres


async def kill_daemon(system, name):
    """End a daemon at once, as ``kill -9`` or a power failure does."""
    process = system.running.pop(name)
    process.ended.set()
    system.fabric.kill(process.identity.internal_address)
    for part in ("membership", "dissemination"):
        process.parts[part].stop()
    if "homes" in process.parts:
        process.parts["homes"].close()
    if "log" in process.parts:
        system.disks[name].crash()
        await process.parts["control"].close()
        await process.parts["log"].close()


async def stop_daemon(system, name):
    """Stop an entry daemon as SIGTERM does (``daemons.lifecycles``)."""
    process = system.running[name]
    process.board.readiness.reasons.add("stopping")
    await asyncio.sleep(1.0)
    process.parts["membership"].announce_leaving()
    await process.parts["router"].drain()
    await process.parts["homes"].hand_over()
    await process.parts["membership"].leave()
    await kill_daemon(system, name)


def isolate_daemon(system, name):
    """Isolate a daemon from all daemons and servers; frames are lost silently."""
    own = system.identities[name].internal_address
    others = [identity.internal_address for identity in system.identities.values()]
    system.fabric.cut_groups([own], [address for address in others if address != own])
    system.isolated_daemons.add(name)


def isolate_data_centre(system, centre):
    """Isolate a data centre from all others."""
    inside, outside = [], []
    for identity in system.identities.values():
        group = inside if identity.data_centre == centre else outside
        group.append(identity.internal_address)
    system.fabric.cut_groups(inside, outside)
    system.isolated_data_centres.add(centre)


def heal_network(system):
    """End the isolation of all daemons and data centres."""
    system.fabric.heal()
    system.healed_at = asyncio.get_running_loop().time()
    system.isolated_daemons.clear()
    system.isolated_data_centres.clear()


def find_leader(system):
    """Return the name of the control daemon that leads with a valid lease, or None."""
    for name, process in system.running.items():
        log = process.parts.get("log")
        if log and log.status().is_leader and log.is_current():
            return name
    return None


def add_server(system, name, centre, shard, versions=("v1",), **changes):
    """Start a server that announces itself to any entry daemon that it reaches.

    A server that existed before is restarted with the next incarnation.
    """
    previous = system.servers.get(name)
    daemons = [
        identity.http_address
        for daemon_name, identity in system.identities.items()
        if daemon_name[0] == "e"
    ]
    holding = ServiceHolding(SERVICE, {shard: tuple(versions)})
    incarnation = previous.announcer.incarnation + 1 if previous else 1
    state = AnnouncerState(
        name, incarnation, centre, "127.0.0.1:9", daemons, 3, 25, (holding,)
    )
    server = RecordingServer(state, system.make_rng(name), **changes)
    if previous:
        server.dispatches, server.runs = previous.dispatches, previous.runs
        server.samples, server.cold_overloads = (
            previous.samples,
            previous.cold_overloads,
        )
    system.servers[name] = server

    async def post(address, announcement):
        for process in list(system.running.values()):
            if process.identity.http_address == address:
                return await _announce(system, process, server, announcement)
        await asyncio.sleep(0.002)
        return None

    announcing = run_announcer(state, post, server.rng)
    server.task = asyncio.get_running_loop().create_task(announcing)
    return server


async def _announce(system, process, server, announcement):
    if not _can_reach(system, process, server):
        await asyncio.sleep(POST_TIMEOUT_S)
        return None
    await asyncio.sleep(0.001)
    reply = await process.parts["homes"].announce(announcement)
    await asyncio.sleep(0.001)
    if not _can_reach(system, process, server):
        return None
    return reply.ok_value if isinstance(reply, Ok) else reply.err_value.code


async def start_system(system, versions=("v1",), warm_up_s=2.5):
    """Start all daemons and servers, publish a manifest and let servers warm up.

    Each shard has two replicas in different data centres.
    """
    for name in system.identities:
        start_daemon(system, name)
    system.observer = asyncio.get_running_loop().create_task(_observe(system))
    await asyncio.sleep(1.5)
    await publish(system, "first", 1, versions)
    for number, shard in enumerate(SHARDS):
        for replica in range(2):
            centre = DATA_CENTRES[(number + replica) % 3]
            add_server(system, f"{shard}{replica}", centre, shard, versions)
    await asyncio.sleep(warm_up_s)


async def _observe(system):
    """Record every 100 ms which revision is in force at each ready daemon.

    Also reports revisions that are not in force in time.
    """
    now = asyncio.get_running_loop().time
    while True:
        for name, process in system.running.items():
            if process.is_serving:
                revision = process.board.config.revision
                system.observations.append(conf.Observation(name, now(), revision))
        for at, revision in system.accepted_revisions:
            due = max(at, system.healed_at) + IN_FORCE_S
            if (
                now() > due
                and not system.isolated_daemons | system.isolated_data_centres
            ):
                system.overdue_revisions += [
                    f"{name} had no revision {revision} in force {IN_FORCE_S} s "
                    "after it was accepted or the network healed."
                    for name, process in system.running.items()
                    if process.is_serving and process.board.config.revision < revision
                ]
        await asyncio.sleep(0.1)


def build_operator_client(system, build=build_control_client, name="operator"):
    """Build a client of the control daemons that runs outside of all daemons."""
    port = 9900 + sum(name.encode()) % 90
    network = system.fabric.build_network(make_identity(name, port=port))
    clock = asyncio.get_running_loop().time
    return build(network, system.control, clock, random.Random(name))


async def send_operation(system, operation, request, timeout_s=5.0):
    """Send an operator's change and record its result as the operator sees it."""
    loop = asyncio.get_running_loop()
    name = f"op-{len(system.history)}"
    client, called_at = build_operator_client(system, name=name), loop.time()
    reply = await client.operate(operation, timeout_s)
    if isinstance(reply, Err):
        system.history.append(Operation(name, request, called_at))
        return reply
    result = reply.ok_value
    if result.failure is None:
        recorded = conf.Accepted(result.revision)
        if not any(
            revision == result.revision for _, revision in system.accepted_revisions
        ):
            system.accepted_revisions.append((loop.time(), result.revision))
    else:
        recorded = conf.Conflict(result.failure.text.split('"')[5])
    system.history.append(Operation(name, request, called_at, loop.time(), recorded))
    return reply


async def publish(system, request_id, generation, versions=("v1",), **limits):
    """Publish a manifest that permits answers of ``versions``."""
    spec = ServiceSpec(SERVICE, SHARDS, tuple(versions))
    manifest = Manifest(generation, (spec,))
    operation = Publish(request_id, "op", manifest)
    request = conf.PublishOp(request_id, generation, "")
    return await send_operation(system, operation, request, **limits)


async def set_availability(
    system, request_id, is_out, centre=None, server=None, **limits
):
    """Take a data centre or a server out, or back in; record the closure."""
    operation = SetAvailability(request_id, "op", is_out, centre, server)
    request = conf.AvailabilityOp(request_id, centre or server, is_out)
    now = asyncio.get_running_loop().time
    names = [
        other.name
        for other in system.servers.values()
        if server in (None, other.name)
        and centre in (None, other.announcer.data_centre)
    ]
    if not is_out:
        system.closures = [
            closure._replace(until_s=min(closure.until_s, now()))
            if closure[0] in names
            else closure
            for closure in system.closures
        ]
    reply = await send_operation(system, operation, request, **limits)
    if is_out and reply.is_ok():
        record_closure(system, *names)
    return reply


def record_closure(system, *names):
    """Record that servers are to get no new work from now on."""
    now = asyncio.get_running_loop().time()
    system.closures += [reqs.Closure(name, now, float("inf")) for name in names]


def drain_server(system, name):
    """Make a server announce that it drains, and record the closure."""
    server = system.servers[name]
    server.announcer.server_state = ServerState.DRAINING
    server.announcer.wake.set()
    record_closure(system, name)


async def replace_member(system, name):
    """Replace a control daemon whose disk is lost.

    Adds the restarted daemon as a new member of the log and removes the old member.
    """
    admin = build_operator_client(system, build_control_admin, "admin")
    old_member_id = system.running[name].parts["log"].status().member_id
    await kill_daemon(system, name)
    system.disks[name] = MemoryDisk()
    start_daemon(system, name)
    address = system.identities[name].internal_address
    added = await admin.add_member(Member("", address), 10.0)
    return added, await admin.remove_member(old_member_id, 10.0)


async def _await_unless_ended(system, process, coroutine):
    """Return a daemon's answer, or None if its process ends first."""
    task = asyncio.ensure_future(coroutine)
    ended = asyncio.ensure_future(process.ended.wait())
    await asyncio.wait({task, ended}, return_when=asyncio.FIRST_COMPLETED)
    ended.cancel()
    if task.done():
        return task.result()
    task.cancel()
    system.lost_callers += 1
    return None


def _get_versions(process):
    spec = process.board.config.services.get(SERVICE)
    return frozenset(spec.versions if spec else ())


async def query(system, process, nonce, deadline_s=1.0, mode=CoverageMode.BEST):
    """Send one query and record the answer as the caller sees it."""
    now, permitted = asyncio.get_running_loop().time, _get_versions(process)
    body = msgspec.json.encode({"nonce": nonce})
    target = (ServiceTarget(SERVICE),)
    sent_query = Query(nonce, "t", "default", now() + deadline_s, target, mode, body)
    reply = await _await_unless_ended(
        system, process, process.parts["router"].query(sent_query)
    )
    requested = frozenset((SERVICE, shard) for shard in SHARDS)
    permitted |= _get_versions(process)
    record = reqs.QueryRecord(nonce, requested, permitted, False)
    if isinstance(reply, Err):
        system.refusals.append((now(), reply.err_value.code))
    elif reply is not None:
        answer, results = reply.ok_value, {}
        for key, raw in answer.results.items():
            decoded = msgspec.json.decode(raw)
            answered_key = (SERVICE, decoded["shard"])
            result = reqs.ShardResult(
                decoded["version"], decoded["nonce"], answered_key
            )
            results[(key.service, key.shard)] = result
        record = record._replace(
            answered=True,
            version=answer.version,
            included=frozenset((key.service, key.shard) for key in answer.included),
            missing=frozenset((key.service, key.shard) for key in answer.missing),
            results=results,
        )
    system.queries.append((now(), record))
    return record


async def submit(system, identity, process, deadline_s=1.0):
    """Send a submission once and record the outcome as the caller sees it."""
    now = asyncio.get_running_loop().time
    shard = SHARDS[sum(identity.encode()) % len(SHARDS)]
    body = msgspec.json.encode({"identity": identity})
    deadline = now() + deadline_s
    sent_submission = Submission(
        identity, "t", "default", deadline, SERVICE, shard, body
    )
    reply = await _await_unless_ended(
        system, process, process.parts["router"].submit(sent_submission)
    )
    record = reqs.SubmissionRecord(identity, "")
    if reply is not None:
        outcome = reply.outcome.value
        record = reqs.SubmissionRecord(identity, outcome, reply.answer.decode())
    system.submissions.append(record)
    return record


async def run_callers(system, rate=8.0, submission_share=0.25):
    """Send queries and submissions at random times; resend unfinished submissions.

    ``rate`` is the mean number of requests per second. Ends once ``is_sending`` is
    false and all answers were received.
    """
    loop, rng, tasks = asyncio.get_running_loop(), system.make_rng("callers"), []
    number = 0

    async def send_submission(identity):
        for _ in range(3):
            ready = system.list_serving_entry_daemons()
            if ready:
                process = rng.choice(ready)
                record = await submit(system, identity, process)
                if record.outcome == Outcome.DONE.value:
                    return
            await asyncio.sleep(rng.uniform(0.01, 0.8))

    while system.is_sending:
        await asyncio.sleep(rng.expovariate(rate))
        ready, number = system.list_serving_entry_daemons(), number + 1
        nonce = f"{NOW_MS + int(loop.time() * 1000)}-{number}"
        if rng.random() < submission_share:
            tasks.append(loop.create_task(send_submission(nonce)))
        elif ready:
            tasks.append(loop.create_task(query(system, rng.choice(ready), nonce)))
    if tasks:
        await asyncio.wait(tasks)
    for task in tasks:
        task.result()


def compute_coverage_since(system, at_s):
    """Compute the mean share of shards included in answers since ``at_s``.

    A query that was refused counts as 0.
    """
    shares = [
        len(record.included) / len(record.requested)
        for ended_at, record in system.queries
        if ended_at >= at_s
    ]
    return sum(shares) / len(shares) if shares else 0.0


def find_violations(system):
    """Return the violations of guarantees that the checkers found."""
    servers = system.servers.values()
    runs = [run for server in servers for run in server.runs]
    dispatches = [dispatch for server in servers for dispatch in server.dispatches]
    samples = [sample for server in servers for sample in server.samples]
    found = [reqs.check_query(record) for _, record in system.queries]
    found.append(reqs.check_submissions(system.submissions, runs))
    found.append(reqs.check_limits(samples))
    found.append(reqs.check_closures(dispatches, system.closures, CLOSURE_GRACE_S))
    found.append(conf.check_growth(system.observations))
    found.append(conf.check_configuration(system.history))
    found.append("The observer has ended." if system.observer.done() else None)
    return [text for text in found if text] + system.overdue_revisions[:3]
