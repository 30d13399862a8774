"""Record what callers, backend servers and operators see, and judge it."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

# Bounds of the platform's rules, in seconds.
CONTACT_S = 4.0
APPLY_S = 3.0
STOP_S = 6.0
RECOVERY_S = 12.0
CROSSING_S = 0.2
# Requests that daemons without a route table may refuse as unknown.
MAX_UNKNOWN = 10
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Cut(NamedTuple):
    """Hold a request whose connection ended without a complete answer."""

    request_id: str
    vm: str
    sent_at: float
    ended_at: float


@dataclass
class Record:
    """Hold what was seen in one run; times are those of the monotonic clock."""

    started_at: float = field(default_factory=time.monotonic)
    violations: list[str] = field(default_factory=list)
    asked: set[str] = field(default_factory=set)
    submissions: set[str] = field(default_factory=set)
    promised: dict[str, int] = field(default_factory=dict)
    # The times at which each request ran on a backend server.
    runs: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    # What backend servers replied to each request: signature and body.
    replies: dict[str, list] = field(default_factory=lambda: defaultdict(list))
    statuses: Counter = field(default_factory=Counter)
    cuts: list[Cut] = field(default_factory=list)
    # Spans of unplanned faults, from the fault until the process is back.
    unplanned: list[tuple[float, float]] = field(default_factory=list)
    sent_tables: dict[int, dict] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    faults: Counter = field(default_factory=Counter)
    checks: Counter = field(default_factory=Counter)
    # The longest time for which this program itself didn't run.
    max_lag_s: float = 0.0

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self.started_at

    def add_violation(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(f"{self.now_s():7.2f} {rule}: {text}")

    def newest_acknowledged(self, before: float) -> int:
        """Return the newest version acknowledged before a time, or 0."""
        versions = [v for v, at in self.acknowledged.items() if at <= before]
        return max(versions, default=0)


def judge_answer(record: Record, request_id: str, status: int, headers, body) -> None:
    """Check one complete answer that a caller got."""
    record.statuses[status] += 1
    record.checks["answers"] += 1
    signature = headers.get("bramleyrouter-server-seal")
    if 200 <= status < 300:
        if (signature, body) not in record.replies[request_id]:
            text = f"{request_id} got {status} {signature} {body[:80]!r}"
            record.add_violation("answer of another request", text)
    elif signature is None and status in NOT_RUN_STATUSES:
        record.promised[request_id] = status


def judge_read(record: Record, sent_at: float, status: int, document) -> None:
    """Check a route table that was read from a control daemon."""
    if status != 200:
        return
    record.checks["reads"] += 1
    version = document.get("version")
    expected = record.newest_acknowledged(sent_at - APPLY_S)
    if version is None or version < expected:
        text = f"read version {version} though {expected} was acknowledged"
        record.add_violation("older table", text)
    elif version in record.sent_tables and document != record.sent_tables[version]:
        record.add_violation("other table", f"version {version} isn't as it was sent")


def _is_calm(record: Record, start: float, end: float) -> bool:
    spans = record.unplanned
    return not any(begin <= end and until >= start for begin, until in spans)


def judge_requests(record: Record) -> None:
    """Check all requests at the end of a run."""
    for request_id, times in record.runs.items():
        if request_id not in record.asked:
            record.add_violation("unasked", f"{request_id} ran")
        if request_id in record.submissions and len(times) > 1:
            record.add_violation("ran twice", f"{request_id} ran {len(times)} times")
    for request_id, status in record.promised.items():
        record.checks["promises"] += 1
        if request_id in record.submissions and record.runs.get(request_id):
            record.add_violation("promise", f"{request_id} got {status} and ran")
    if record.statuses[404] > MAX_UNKNOWN:
        text = f"{record.statuses[404]} requests on configured routes got 404"
        record.add_violation("denied", text)
    for cut in record.cuts:
        if not _is_calm(record, cut.sent_at - CONTACT_S, cut.ended_at):
            continue
        record.checks["cuts in calm"] += 1
        waited_s = cut.ended_at - cut.sent_at
        has_run = bool(record.runs.get(cut.request_id))
        if has_run or waited_s > CROSSING_S + record.max_lag_s:
            text = f"{cut.request_id} at {cut.vm}, {waited_s:.2f} s, run: {has_run}"
            record.add_violation("cut request", text)
