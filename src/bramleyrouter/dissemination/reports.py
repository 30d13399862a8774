"""Acknowledgements, aggregated from the leaves of the tree to its roots."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.dissemination.interfaces import DaemonLag, Rollout
from bramleyrouter.dissemination.messages import MAX_LISTED_DAEMONS, Lag, Report
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
    known_cover_digest: int,
) -> Report:
    """Build the report of a daemon for itself and the subtrees below it.

    The report names its cover unless ``known_cover_digest``, the digest of the
    cover that the receiver holds, is that of the same set.
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
        has_cover=digest != known_cover_digest,
        cover=tuple(sorted(cover)) if digest != known_cover_digest else (),
        behind=behind,
        behind_count=count,
    )


def list_daemons_behind(
    subtrees: Iterable[Subtree], revision: Revision
) -> tuple[tuple[Lag, ...], int]:
    """Return the daemons that are behind ``revision``, and their number.

    The tuple holds at most ``MAX_LISTED_DAEMONS`` daemons, those with the lowest
    revisions first; the number counts all of them.
    """
    revisions: dict[DaemonId, Revision] = {}
    count = 0
    for subtree in subtrees:
        report = subtree.report
        listed = {lag.daemon_id: lag.revision for lag in report.behind}
        if report.revision < revision:
            # The daemons below this one are behind as well, since they receive
            # changes only through it.
            default = report.revision
            revisions.update(
                (daemon_id, listed.get(daemon_id, default))
                for daemon_id in subtree.cover
            )
            count += len(subtree.cover)
        else:
            revisions.update(listed)
            count += report.behind_count
    lowest = sorted(revisions.items(), key=lambda item: (item[1], item[0]))[
        :MAX_LISTED_DAEMONS
    ]
    return tuple(Lag(*item) for item in lowest), count


def build_rollout(
    own: Report,
    control_subtrees: Iterable[Subtree],
    own_subtrees: Iterable[Subtree],
    records: Iterable[DaemonRecord],
) -> Rollout:
    """Combine this control daemon's report with those of the other control daemons.

    ``control_subtrees`` are the subtrees of the other control daemons and
    ``own_subtrees`` those of this daemon's children; ``records`` are the daemons of
    the membership.
    """
    control_subtrees = tuple(control_subtrees)
    cover = frozenset(own.cover).union(*(subtree.cover for subtree in control_subtrees))
    behind, count = list_daemons_behind(
        (*own_subtrees, *control_subtrees), own.revision
    )
    live_ids = {
        record.daemon_id
        for record in records
        if record.state not in (DaemonState.DEAD, DaemonState.LEAVING)
    }
    silent = sorted(live_ids - cover)
    return Rollout(
        revision=min(
            (
                own.min_revision,
                *(subtree.report.min_revision for subtree in control_subtrees),
            )
        ),
        latest=own.revision,
        daemons=len(cover),
        behind=tuple(DaemonLag(lag.daemon_id, lag.revision) for lag in behind),
        behind_count=count,
        silent=tuple(silent[:MAX_LISTED_DAEMONS]),
        silent_count=len(silent),
    )
