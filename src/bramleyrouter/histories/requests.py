"""Check recorded queries, submissions and loads of backend servers.

The stand-in backend servers put their own version and the query's nonce into
every result, so that a result shows by itself where it came from.
"""

from typing import NamedTuple

ShardName = tuple[str, str]


class ShardResult(NamedTuple):
    """Hold what one shard's result says of itself."""

    version: str
    nonce: str
    shard: ShardName


class QueryRecord(NamedTuple):
    """Hold one query and its answer as the caller saw it.

    ``permitted`` are the versions that the manifest permitted at any time
    while the query ran; ``answered`` is false for a refusal.
    """

    nonce: str
    requested: frozenset[ShardName]
    permitted: frozenset[str]
    answered: bool
    version: str = ""
    included: frozenset[ShardName] = frozenset()
    missing: frozenset[ShardName] = frozenset()
    results: dict[ShardName, ShardResult] = {}


def check_query(record: QueryRecord) -> str | None:
    """Return what is wrong with a query's answer, or none."""
    if not record.answered:
        return None
    if record.version not in record.permitted:
        return f'Version "{record.version}" was not permitted.'
    if record.included & record.missing:
        return "A shard is both included and missing."
    if record.included | record.missing != record.requested:
        return "Included and missing shards are not those requested."
    if frozenset(record.results) != record.included:
        return "The results are not of the shards said to be included."
    for shard, result in record.results.items():
        if result.version != record.version:
            return f'{shard} is of version "{result.version}", not the answer\'s.'
        if result.nonce != record.nonce:
            return f"{shard} holds the result of another request."
        if result.shard != shard:
            return f"{shard} holds the result of {result.shard}."
    return None


class SubmissionRecord(NamedTuple):
    """Hold one sending of a submission and the outcome its caller saw.

    ``outcome`` is "done", "not_run", "unknown", or "" when no answer came.
    ``answer`` names the run that the answer came from.
    """

    identity: str
    outcome: str
    answer: str = ""


class Run(NamedTuple):
    """Hold one execution that a backend server recorded itself."""

    identity: str
    run: str


def check_submissions(records: list[SubmissionRecord], runs: list[Run]) -> str | None:
    """Return what is wrong with the outcomes of submissions, or none.

    A "not_run" of one sending is true when no run is recorded, or when
    another sending of the same identity may have run afterwards.
    """
    by_identity: dict[str, list[str]] = {}
    for run in runs:
        by_identity.setdefault(run.identity, []).append(run.run)
    for identity, executed in by_identity.items():
        if len(executed) > 1:
            return f'"{identity}" ran {len(executed)} times.'
    outcomes: dict[str, set[str]] = {}
    for record in records:
        outcomes.setdefault(record.identity, set()).add(record.outcome)
        executed = by_identity.get(record.identity, [])
        if record.outcome == "done" and record.answer not in executed:
            return f'"{record.identity}" is told done, but its run is not recorded.'
    for identity, seen in outcomes.items():
        if seen == {"not_run"} and identity in by_identity:
            return f'"{identity}" is told not run, but it ran.'
    return None


class LoadSample(NamedTuple):
    """Hold what a backend server saw at once, summed over all daemons."""

    server: str
    in_flight: int
    slots: int
    connections: int
    connection_limit: int


def check_limits(samples: list[LoadSample]) -> str | None:
    """Return where a declared limit was exceeded, or none."""
    for sample in samples:
        if sample.in_flight > sample.slots:
            return (
                f'"{sample.server}" had {sample.in_flight} requests in flight; '
                f"it declared {sample.slots} slots."
            )
        if sample.connections > sample.connection_limit:
            return (
                f'"{sample.server}" had {sample.connections} connections; '
                f"it declared a limit of {sample.connection_limit}."
            )
    return None


class Dispatch(NamedTuple):
    """Hold the start of one piece of work at a backend server, in seconds."""

    server: str
    at_s: float


class Closure(NamedTuple):
    """Say from when until when a server was not to get new work, in seconds."""

    server: str
    from_s: float
    until_s: float


def check_closures(
    dispatches: list[Dispatch], closures: list[Closure], grace_s: float
) -> str | None:
    """Return new work later than ``grace_s`` after a closure, or none."""
    for closure in closures:
        for work in dispatches:
            is_inside = closure.from_s + grace_s < work.at_s < closure.until_s
            if work.server == closure.server and is_inside:
                late = work.at_s - closure.from_s
                return f'"{work.server}" got new work {late:.3f} s after its closure.'
    return None
