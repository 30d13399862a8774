"""Acknowledgements, aggregated from the leaves of the tree to its roots."""

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
    """Hold the last report of one child or other control daemon.

    ``cover`` are the daemons whose acknowledgements the report contains: its
    sender and those below it. ``last_contact_at`` is the loop time in seconds.
    """

    report: Report = Report()
    cover: frozenset[DaemonId] = frozenset()
    last_contact_at: float = float("-inf")


@dataclass
class Child:
    """Hold the subscription of a child, a daemon directly below this one.

    ``sent_revision`` is the newest revision that was sent to it, or that it had
    when it subscribed. ``close`` ends the stream.
    """

    incarnation: DaemonIncarnation
    send_item: Callable[[bytes], None]
    close: Callable[[], None]
    sent_revision: Revision
    subtree: Subtree = field(default_factory=Subtree)


def compute_cover_digest(cover: Iterable[DaemonId]) -> int:
    """Return a 64-bit digest of a set of daemons, whatever their order."""
    text = "\n".join(sorted(cover)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def store_report(subtree: Subtree, report: Report, now: float) -> bool:
    """Store a report, received at loop time ``now``, in ``subtree``.

    Return whether the stored cover differs from that of the report, so that the
    next report must name its cover.
    """
    if report.has_cover:
        subtree.cover = frozenset(report.cover)
    subtree.report = report
    subtree.last_contact_at = now
    return compute_cover_digest(subtree.cover) != report.cover_digest


def build_report(
    daemon_id: DaemonId,
    incarnation: DaemonIncarnation,
    revision: Revision,
    subtrees: Iterable[Subtree],
    known_digest: int,
) -> Report:
    """Build the report of a daemon for itself and the subtrees below it.

    The report names its cover unless ``known_digest``, the digest of the cover
    that the receiver holds, is that of the same set.
    """
    subtrees = tuple(subtrees)
    cover = frozenset({daemon_id}).union(*(subtree.cover for subtree in subtrees))
    digest = compute_cover_digest(cover)
    behind, count = list_daemons_behind(subtrees, revision)
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


def list_daemons_behind(
    subtrees: Iterable[Subtree], revision: Revision
) -> tuple[tuple[Lag, ...], int]:
    """Return the daemons that acknowledged less than ``revision``, and their number.

    The list holds at most ``MAX_LISTED`` daemons, those with the lowest revisions
    first; the number includes all.
    """
    found: dict[DaemonId, Revision] = {}
    count = 0
    for subtree in subtrees:
        report = subtree.report
        listed = {lag.daemon_id: lag.revision for lag in report.behind}
        if report.revision < revision:
            # The daemons below this one are behind as well, since they receive
            # changes only through it.
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
    """Combine this control daemon's report with those of the other control daemons.

    ``others`` are their subtrees and ``own_subtrees`` those of its own children;
    ``records`` are the daemons that membership knows.
    """
    others = tuple(others)
    cover = frozenset(own.cover).union(*(subtree.cover for subtree in others))
    behind, count = list_daemons_behind((*own_subtrees, *others), own.revision)
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
