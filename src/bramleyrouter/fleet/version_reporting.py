"""Report the answers by server version to the leading control daemon.

Nothing runs while no rollout is open.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err

from bramleyrouter.control.leader_client import LeaderClient, call_leader
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.fleet.version_reports import VersionReport, encode_reports
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.utils.tasks import BackgroundTasks, cancel_all, spawn
from bramleyrouter.wire.kinds import MessageKind

REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.5
# Unchanged counts are sent again after this time, in seconds, as a new leader has none.
REPEAT_AFTER_S = 1.5


class VersionReporting(NamedTuple):
    """Bundle what ``start_version_reporting`` returns.

    ``set_rollouts(rollouts)`` starts the reports if one of them is open.
    """

    set_rollouts: Callable[[Iterable[VersionRollout]], None]
    close: Callable[[], None]


def start_version_reporting(
    leader_client: LeaderClient,
    list_reports: Callable[[], list[VersionReport]],
    record: RecordEvent,
) -> VersionReporting:
    """Report while a rollout is open and there is something to report."""
    tasks = BackgroundTasks("rollouts")
    is_open = [False]
    running: list[asyncio.Task] = []

    async def run() -> None:
        sent, sent_at = b"", 0.0
        while is_open[0]:
            reports, now = list_reports(), leader_client.clock()
            payload = encode_reports(reports) if reports else b""
            if payload and (payload != sent or now - sent_at >= REPEAT_AFTER_S):
                reply = await call_leader(
                    leader_client,
                    MessageKind.REPORT_VERSIONS,
                    payload,
                    REPORT_TIMEOUT_S,
                )
                if isinstance(reply, Err):
                    reason = reply.err_value.text
                    record("fleet", "version_report_failed", reason=reason)
                else:
                    sent, sent_at = payload, now
            await asyncio.sleep(REPORT_INTERVAL_S)

    def set_rollouts(rollouts: Iterable[VersionRollout]) -> None:
        is_open[0] = any(rollout.is_open for rollout in rollouts)
        if is_open[0] and (not running or running[0].done()):
            running[:] = [spawn(tasks, run())]

    return VersionReporting(set_rollouts, lambda: cancel_all(tasks))
