"""Collect the reports of server versions, and propose the leader's verdicts to the log.

Nothing runs while no rollout is open.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import ReplicatedLog
from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.messages import EndRollout
from bramleyrouter.control.state_machine import ControlStateMachine
from bramleyrouter.control.version_judge import Verdict, judge
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.fleet.version_reports import Cell, VersionReport, decode_reports
from bramleyrouter.ids import DaemonId
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

JUDGE_INTERVAL_S = 0.25
PROPOSE_TIMEOUT_S = 1.0
# A new leader waits this long for the reports of entry daemons before it judges, in
# seconds: they repeat unchanged counts after 1.5 s. If less than ``MIN_LEFT_S`` is
# left until the time limit, it judges by what it has.
LEADER_WAIT_S = 2.2
MIN_LEFT_S = 0.6
# A rollout that is first seen within this time after the start of the process may be
# an old one from the log, in seconds.
REPLAY_S = 5.0
MS_PER_SECOND = 1000.0


@dataclass
class JudgeState:
    """Hold what this control daemon knows of the open rollouts.

    ``started_at`` holds the loop time of each order by sequence, and ``reports`` the
    newest one of each start of each entry daemon. ``leading_since`` is the loop time
    from which this daemon leads, none if it doesn't.
    """

    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    process_started_at: float
    started_at: dict[int, float] = field(default_factory=dict)
    reports: dict[int, dict[tuple[DaemonId, int], VersionReport]] = field(
        default_factory=dict
    )
    leading_since: float | None = None
    proposing: set[int] = field(default_factory=set)


class RolloutJudging(NamedTuple):
    """Bundle what ``start_rollout_judging`` returns."""

    count_open: Callable[[], int]
    close: Callable[[], None]


def note_open_rollouts(state: JudgeState, rollouts: list[VersionRollout]) -> None:
    """Note when each open rollout was ordered, and drop what concerns ended ones.

    Time is counted from when the order was applied here. Only an order that this
    process reads again after its start is dated by its time stamp.
    """
    now = state.clock()
    is_replay = now - state.process_started_at < REPLAY_S
    known = {rollout.sequence for rollout in rollouts}
    for rollout in rollouts:
        if rollout.sequence in state.started_at:
            continue
        age_s = 0.0
        if is_replay:
            age_s = state.wall_clock() - rollout.started_ms / MS_PER_SECOND
        state.started_at[rollout.sequence] = now - min(
            max(0.0, age_s), rollout.duration_s
        )
    for sequence in set(state.started_at) - known:
        del state.started_at[sequence]
    for sequence in set(state.reports) - known:
        del state.reports[sequence]


def store_report(state: JudgeState, daemon_id: DaemonId, report: VersionReport) -> None:
    """Store a report of an open rollout unless a later one was stored."""
    if report.sequence not in state.started_at:
        return
    reports = state.reports.setdefault(report.sequence, {})
    key = (daemon_id, report.start)
    stored = reports.get(key)
    if stored is None or _count(report.cells) >= _count(stored.cells):
        reports[key] = report


def _count(cells: tuple[Cell, ...]) -> int:
    return sum(cell.errors + sum(cell.latencies.values()) for cell in cells)


def decide(state: JudgeState, rollout: VersionRollout) -> Verdict | None:
    """Return the verdict on an open rollout by the reports that arrived so far."""
    now = state.clock()
    elapsed_s = now - state.started_at[rollout.sequence]
    if state.leading_since is None:
        return None
    is_new_leader = now - state.leading_since < LEADER_WAIT_S
    if is_new_leader and state.leading_since > state.started_at[rollout.sequence]:
        if rollout.duration_s - elapsed_s > MIN_LEFT_S:
            return None
    reports = state.reports.get(rollout.sequence, {}).values()
    cells = [cell for report in reports for cell in report.cells]
    return judge(rollout, cells, elapsed_s)


def start_rollout_judging(
    network: Network,
    log: ReplicatedLog,
    state_machine: ControlStateMachine,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    record: RecordEvent,
) -> RolloutJudging:
    """Serve reports, and judge while a rollout is open and this daemon leads."""
    state = JudgeState(clock, wall_clock, clock())
    tasks = BackgroundTasks("rollouts")
    running: list[asyncio.Task] = []

    def list_open() -> list[VersionRollout]:
        rollouts = state_machine.rollouts().by_service.values()
        return [rollout for rollout in rollouts if rollout.is_open]

    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        status = log.status()
        if not status.is_leader:
            return Err(Failure(Code.NOT_LEADER, status.leader_address))
        decoded = decode_reports(payload)
        if isinstance(decoded, Err):
            return decoded
        for report in decoded.ok_value:
            store_report(state, peer.daemon_id, report)
        return Ok(b"")

    async def propose(rollout: VersionRollout, verdict: Verdict) -> None:
        state.proposing.add(rollout.sequence)
        try:
            command = EndRollout(
                rollout.service, rollout.sequence, verdict.state, verdict.reason
            )
            reply = await log.propose(encode_command(command), PROPOSE_TIMEOUT_S)
            record(
                "control",
                "rollout_verdict",
                service=rollout.service,
                version=rollout.version,
                sequence=rollout.sequence,
                state=verdict.state.value,
                reason=verdict.reason,
                elapsed_ms=round(
                    1000 * (clock() - state.started_at.get(rollout.sequence, clock()))
                ),
                is_accepted=isinstance(reply, Ok),
            )
        finally:
            state.proposing.discard(rollout.sequence)

    def judge_all(rollouts: list[VersionRollout]) -> None:
        is_leader = log.status().is_leader
        if not is_leader:
            state.leading_since = None
        elif state.leading_since is None:
            state.leading_since = clock()
        for rollout in rollouts:
            if not is_leader or rollout.sequence in state.proposing:
                continue
            verdict = decide(state, rollout)
            if verdict is not None:
                spawn(tasks, propose(rollout, verdict))

    async def run() -> None:
        while rollouts := list_open():
            note_open_rollouts(state, rollouts)
            judge_all(rollouts)
            await asyncio.sleep(JUDGE_INTERVAL_S)
        note_open_rollouts(state, [])
        state.leading_since = None

    def on_change() -> None:
        rollouts = list_open()
        note_open_rollouts(state, rollouts)
        if rollouts and (not running or running[0].done()):
            running[:] = [spawn(tasks, run())]

    network.serve(MessageKind.REPORT_VERSIONS, serve)
    state_machine.watch(on_change)
    on_change()
    return RolloutJudging(lambda: len(list_open()), lambda: cancel_all(tasks))
