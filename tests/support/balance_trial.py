"""Simulate in virtual time how a choice of servers balances the load of a fleet.

Each daemon knows only the replies to its own requests. Hedges, delegation and the limit
of connections to a server are not modelled.
"""

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate

from bramleyrouter.fleet.records import ServerRow
from bramleyrouter.gateway import servers as tracking
from bramleyrouter.gateway.exchanges import ExchangeOutcome, ServerReply
from bramleyrouter.gateway.latencies import LatencyWindow, add_sample
from bramleyrouter.gateway.server_choice import ComputeOrder, compute_own_order
from bramleyrouter.ids import DataCentre
from tests.support.gateway_fakes import build_answer, build_row

DAEMONS, SERVICES, SPEEDS = 62, 6, (0.8, 1.0, 1.3)
DATA_CENTRES = tuple(map(DataCentre, ("dc0", "dc1", "dc2")))
# One-way network delays in seconds, by the sum of the indexes of two data centres.
LOCAL_DELAY_S, REMOTE_DELAYS_S = 0.0001, {1: 0.0005, 2: 0.0009, 3: 0.0014}
MEAN_WORK_S, WORK_SIGMA, TAIL_SHARE, TAIL_FACTOR = 0.1, 0.5, 0.02, 4.0
QUEUE_PER_SLOT, MAX_ATTEMPTS, GIVEN_UP_S = 3, 4, 2.0
WARM_UP_S, DURATION_S, BURST_FACTOR, BURST_S, BURST_EVERY_S = 10.0, 40.0, 3.0, 3.0, 15.0
REFUSED = ServerReply(ExchangeOutcome.REFUSED, 503)


@dataclass
class SimulatedServer:
    """Hold the true state of one server; ``pauses`` are their starts and ends."""

    row: ServerRow
    speed: float
    pauses: list[tuple[float, float]]
    running: int = 0
    queue: deque = field(default_factory=deque)

    def compute_end(self, now, work_s):
        """Return when work that starts now ends, with the pauses."""
        end = now + work_s / self.speed
        for start, stop in self.pauses:
            if stop > now and start < end:
                end += stop - max(start, now)
        return end


@dataclass
class SimulatedDaemon:
    """Hold what one daemon knows, and its idle connections by server."""

    order: ComputeOrder
    data_centre: DataCentre
    window: LatencyWindow = field(default_factory=LatencyWindow)
    tracked: list[list[tracking.TrackedServer]] = field(default_factory=list)
    idle: dict = field(default_factory=dict)


def choose_as_built(servers, context, tried, truth, rng):
    return tracking.choose_server(servers, context, tried)


def choose_at_random(servers, context, tried, truth, rng):
    left = [item for item in servers if item.row.server_id not in tried]
    return rng.choice(left) if left else None


def build_perfect_choice(remote_cost_s=0.0):
    """Return a choice that knows all queues, speeds and pauses."""

    def choose(servers, context, tried, truth, rng):
        def estimate_end(item):
            server, own = truth[item.row.server_id], context.own_data_centre
            waiting = server.running + len(server.queue) + 1 - item.row.slots
            work_s = MEAN_WORK_S * (1.0 + max(0, waiting) / item.row.slots)
            delay_s = compute_delay(own, item.row.data_centre)
            end = server.compute_end(context.now + delay_s, work_s) + delay_s
            return end + remote_cost_s * (item.row.data_centre != own)

        left = (item for item in servers if item.row.server_id not in tried)
        return min(left, key=estimate_end, default=None)

    return choose


def compute_delay(one, other):
    indexes = DATA_CENTRES.index(one), DATA_CENTRES.index(other)
    return LOCAL_DELAY_S if one == other else REMOTE_DELAYS_S[sum(indexes)]


def run_trial(choose, utilisation, seed, daemon_count=DAEMONS, has_bursts=False):
    """Return the figures of a trial after its warm-up, with times in seconds."""
    rng, choice_rng = random.Random(seed), random.Random(seed + 1)
    fleet, daemons, events, event_ids = [], [], [], iter(range(10**9))
    counts, latencies, work = Counter(), [], {}

    def at(when, act, *args):
        heappush(events, (when, next(event_ids), act, args))

    def build_pauses():
        gaps = (rng.uniform(4.5, 6.0) for _ in range(10))
        starts = accumulate(gaps, initial=rng.uniform(0.0, 6.0))
        return [(start, start + rng.uniform(0.2, 0.25)) for start in starts]

    def arrive(service, rate):
        is_burst = has_bursts and clock % BURST_EVERY_S < BURST_S
        if clock < DURATION_S:
            gap_s = rng.expovariate(rate * BURST_FACTOR**is_burst)
            at(clock + gap_s, arrive, service, rate)
        work_s = MEAN_WORK_S * rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
        work_s *= TAIL_FACTOR if rng.random() < TAIL_SHARE else 1.0
        send(rng.choice(daemons), service, work_s, clock, set())

    def send(daemon, service, work_s, began, tried):
        own = daemon.data_centre
        context = tracking.ChoiceContext(clock, own, (), 0.0, daemon.order)
        truth = {item.row.server_id: item for item in fleet[service]}
        server = choose(daemon.tracked[service], context, tried, truth, choice_rng)
        if server is None or len(tried) >= MAX_ATTEMPTS:
            counts["given_up"] += 1
            return latencies.append((began, GIVEN_UP_S))
        tried.add(server.row.server_id)
        tracking.record_sent(server, context)
        idle = daemon.idle.setdefault(server.row.server_id, [])
        target = truth[server.row.server_id]
        delay_s = compute_delay(own, server.row.data_centre)
        if clock > WARM_UP_S:
            is_remote = server.row.data_centre != own
            counts.update(sends=1, connections=not idle, remote=is_remote)
        del idle[-1:]
        job = (daemon, service, server, work_s, began, clock, tried, delay_s)
        at(clock + delay_s, reach, target, job)

    def reach(server, job):
        _, service, _, work_s, *_, delay_s = job
        if len(server.queue) >= QUEUE_PER_SLOT * server.row.slots:
            has_idle = any(item.running < item.row.slots for item in fleet[service])
            counts.update(refused=1, refused_while_idle=has_idle)
            return at(clock + delay_s, reply, job, REFUSED)
        load = work_s / (server.speed * server.row.slots)
        work.setdefault((service, int(clock)), Counter())[server.row.server_id] += load
        server.queue.append(job)
        start_next(server)

    def start_next(server):
        while server.queue and server.running < server.row.slots:
            server.running += 1
            job = server.queue.popleft()
            at(server.compute_end(clock, job[3]), end, server, job)

    def end(server, job):
        server.running -= 1
        at(clock + job[-1], reply, job, build_answer(server.row))
        start_next(server)

    def reply(job, answer):
        daemon, service, server, work_s, began, sent, tried, _ = job
        daemon.idle[server.row.server_id].append(clock)
        tracking.record_reply(
            server, answer, clock - sent, daemon.window.median_s, clock
        )
        if answer is REFUSED:
            return send(daemon, service, work_s, began, tried)
        add_sample(daemon.window, clock - sent)
        latencies.append((began, clock - began))

    clock = 0.0
    for index in range(daemon_count):
        order = partial(compute_own_order, f"10.0.0.{index}:1")
        daemons.append(SimulatedDaemon(order, DATA_CENTRES[index % 3]))
    for service in range(SERVICES):
        fleet.append([])
        for index in range(3 + service % 4):
            place, slots = DATA_CENTRES[(service + index) % 3], rng.randint(2, 6)
            row = build_row(f"s{service}-{index}", data_centre=place, slots=slots)
            server = SimulatedServer(row, rng.choice(SPEEDS), build_pauses())
            fleet[service].append(server)
        for daemon in daemons:
            rows = [item.row for item in fleet[service]]
            daemon.tracked.append([tracking.TrackedServer(row) for row in rows])
        capacity = sum(item.row.slots * item.speed for item in fleet[service])
        mean_s = MEAN_WORK_S * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
        at(0.0, arrive, service, utilisation * capacity / mean_s)
    while events:
        clock, _, act, args = heappop(events)
        act(*args)
    ordered = sorted(took for began, took in latencies if began > WARM_UP_S)
    ratios = [
        max(loads.values()) * len(fleet[service]) / sum(loads.values())
        for (service, second), loads in work.items()
        if WARM_UP_S < second < DURATION_S - 1
    ]
    counts["p50"], counts["p99"] = (ordered[int(q * len(ordered))] for q in (0.5, 0.99))
    counts["busiest"] = sum(ratios) / len(ratios)
    counts["remote_share"] = counts["remote"] / counts["sends"]
    return counts
