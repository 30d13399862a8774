"""Acknowledgements, aggregated from the leaves of the tree to its root."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.dissemination.interfaces import DaemonLag, Rollout
from bramleyrouter.dissemination.messages import MAX_LISTED, Lag, Report
from bramleyrouter.ids import DaemonId, DaemonIncarnation, Revision
from bramleyrouter.states import DaemonState


@dataclass
class Subtree:
    """Hold the last report of one child or control daemon, and its cover."""

    report: Report = Report()
    cover: frozenset[DaemonId] = frozenset()
    last_contact_at: float = float("-inf")


@dataclass
class Child:
    """Hold one subscription of a daemon below this one.

    ``sent`` is the revision that was sent last; ``end`` ends the stream.
    """

    incarnation: DaemonIncarnation
    send_item: Callable[[bytes], None]
    end: Callable[[], None]
    sent: Revision
    subtree: Subtree = field(default_factory=Subtree)


def digest_of_cover(cover: Iterable[DaemonId]) -> int:
    """Return 64 bits that stand for a set of daemons."""
    text = "\n".join(sorted(cover)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def take_report(subtree: Subtree, report: Report, now: float) -> bool:
    """Store a report; return whether its cover has yet to be asked for."""
    if report.has_cover:
        subtree.cover = frozenset(report.cover)
    subtree.report = report
    subtree.last_contact_at = now
    return digest_of_cover(subtree.cover) != report.cover_digest


def build_report(
    daemon_id: DaemonId,
    incarnation: DaemonIncarnation,
    revision: Revision,
    subtrees: Iterable[Subtree],
    known_digest: int,
) -> Report:
    """Return the report of a daemon and the subtrees below it.

    The cover is named unless the receiver holds the one of ``known_digest``.
    """
    subtrees = tuple(subtrees)
    cover = frozenset({daemon_id}).union(*(subtree.cover for subtree in subtrees))
    digest = digest_of_cover(cover)
    behind, count = list_behind(subtrees, revision)
    return Report(
        daemon_id=daemon_id,
        incarnation=incarnation,
        revision=revision,
        min_revision=min(
            (revision, *(subtree.report.min_revision for subtree in subtrees))
        ),
        cover_digest=digest,
        has_cover=digest != known_digest,
        cover=tuple(sorted(cover)) if digest != known_digest else (),
        behind=behind,
        behind_count=count,
    )


def list_behind(
    subtrees: Iterable[Subtree], revision: Revision
) -> tuple[tuple[Lag, ...], int]:
    """Return the daemons known to be behind ``revision``, and how many."""
    found: dict[DaemonId, Revision] = {}
    count = 0
    for subtree in subtrees:
        report = subtree.report
        listed = {lag.daemon_id: lag.revision for lag in report.behind}
        if report.revision < revision:
            # All below it are behind as well, since they get it through it.
            at = report.revision
            found.update((name, listed.get(name, at)) for name in subtree.cover)
            count += len(subtree.cover)
        else:
            found.update(listed)
            count += report.behind_count
    worst = sorted(found.items(), key=lambda item: (item[1], item[0]))[:MAX_LISTED]
    return tuple(Lag(*item) for item in worst), count


def build_rollout(
    own: Report,
    others: Iterable[Subtree],
    own_subtrees: Iterable[Subtree],
    records: Iterable[DaemonRecord],
) -> Rollout:
    """Combine this control daemon's report with those of the others."""
    others = tuple(others)
    cover = frozenset(own.cover).union(*(subtree.cover for subtree in others))
    behind, count = list_behind((*own_subtrees, *others), own.revision)
    live = {
        record.daemon_id
        for record in records
        if record.state not in (DaemonState.DEAD, DaemonState.LEAVING)
    }
    silent = sorted(live - cover)
    return Rollout(
        revision=min(
            (own.min_revision, *(subtree.report.min_revision for subtree in others))
        ),
        latest=own.revision,
        daemons=len(cover),
        behind=tuple(DaemonLag(lag.daemon_id, lag.revision) for lag in behind),
        behind_count=count,
        silent=tuple(silent[:MAX_LISTED]),
        silent_count=len(silent),
    )
