"""This daemon's copy of the configuration; its revision only grows."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from absl import logging

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.messages import ConfigDelta, ConfigState
from bramleyrouter.dissemination.digests import DigestOf, build_digest
from bramleyrouter.dissemination.interfaces import STALE_S
from bramleyrouter.dissemination.manifests import (
    ManifestDifference,
    apply_difference,
    find_difference,
)
from bramleyrouter.dissemination.messages import (
    MANIFEST_DIFFERENCE,
    MANIFEST_UNCHANGED,
    MANIFEST_WHOLE,
    NEVER_CONFIRMED,
    Change,
    Update,
)
from bramleyrouter.ids import Revision

# Bounds what is kept for daemons that reconnect; older ones get a full state.
MAX_KEPT_CHANGES = 512
MAX_KEPT_BYTES = 2 * 1024 * 1024
# Rough size of a change apart from its manifest, in bytes.
CHANGE_OVERHEAD_BYTES = 256


@dataclass
class ConfigStore:
    """Hold the state, the latest changes, and proofs of freshness.

    ``pending`` holds a proof that waits for its revision to arrive, as
    (revision, loop time in seconds).
    """

    board: Board
    clock: Callable[[], float]
    digest_of: DigestOf = field(default_factory=build_digest)
    state: ConfigState = ConfigState(Revision(0), None)
    changes: deque[Change] = field(default_factory=deque)
    kept_bytes: int = 0
    pending: tuple[Revision, float] | None = None
    is_learnt: bool = False
    was_stale: bool = True
    on_change: list[Callable[[], None]] = field(default_factory=list)


def take_state(
    store: ConfigStore, state: ConfigState, *, may_replace: bool = False
) -> bool:
    """Take a whole state if it is newer; return whether it was taken.

    ``may_replace`` also accepts the same revision with another digest, to
    repair a damaged copy from a confirmed source.
    """
    revision = store.state.revision
    is_repair = may_replace and state.digest != store.state.digest
    if state.revision < revision or (state.revision == revision and not is_repair):
        return False
    if not _is_intact(store, state):
        return False
    store.changes.clear()
    store.kept_bytes = 0
    _write(store, state)
    return True


def take_delta(
    store: ConfigStore, delta: ConfigDelta, change: Change | None = None
) -> bool:
    """Take the change that follows the current revision; false on a gap.

    ``change`` is the form in which the change was received, if it was.
    """
    old = store.state
    if delta.revision != old.revision + 1:
        return False
    manifest = delta.manifest or old.manifest
    state = ConfigState(
        delta.revision,
        manifest,
        tuple(delta.data_centres_out),
        tuple(delta.servers_out),
        delta.digest,
    )
    if not _is_intact(store, state):
        return False
    _keep(store, change or _change_of(delta, old.manifest))
    _write(store, state)
    return True


def _is_intact(store: ConfigStore, state: ConfigState) -> bool:
    if store.digest_of(state) == state.digest:
        return True
    logging.error(
        "dissemination: revision %d has another digest than stated.", state.revision
    )
    return False


def _keep(store: ConfigStore, change: Change) -> None:
    store.changes.append(change)
    store.kept_bytes += _size_of(change)
    while (
        len(store.changes) > MAX_KEPT_CHANGES or store.kept_bytes > MAX_KEPT_BYTES
    ) and store.changes:
        store.kept_bytes -= _size_of(store.changes.popleft())


def _size_of(change: Change) -> int:
    return len(change.manifest) + CHANGE_OVERHEAD_BYTES


def _write(store: ConfigStore, state: ConfigState) -> None:
    store.state = state
    config = store.board.config
    config.revision = state.revision
    config.digest = state.digest
    if config.manifest is not state.manifest:
        config.manifest = state.manifest
        services = state.manifest.services if state.manifest else ()
        config.services = {spec.name: spec for spec in services}
    config.data_centres_out = frozenset(state.data_centres_out)
    config.servers_out = frozenset(state.servers_out)
    if store.pending and store.pending[0] <= state.revision:
        pending, store.pending = store.pending, None
        _confirm(store, pending[1])
    store.board.notify_watchers(Section.CONFIG)
    for callback in store.on_change:
        callback()


def _change_of(delta: ConfigDelta, before: Manifest | None) -> Change:
    form, body = MANIFEST_UNCHANGED, b""
    if delta.manifest is not None:
        form, body = MANIFEST_WHOLE, msgspec.msgpack.encode(delta.manifest)
        if before is not None:
            difference = find_difference(before, delta.manifest)
            shorter = msgspec.msgpack.encode(difference)
            if len(shorter) < len(body):
                form, body = MANIFEST_DIFFERENCE, shorter
    return Change(
        delta.revision,
        form,
        body,
        delta.data_centres_out,
        delta.servers_out,
        delta.digest,
    )


def updates_since(store: ConfigStore, revision: Revision, is_full: bool) -> Update:
    """Return what brings a copy at ``revision`` to the current one."""
    first = store.state.revision - len(store.changes)
    if not is_full and first <= revision <= store.state.revision:
        skipped = revision - first
        return Update(changes=tuple(store.changes)[skipped:])
    state = store.state
    form, body = MANIFEST_UNCHANGED, b""
    if state.manifest is not None:
        form, body = MANIFEST_WHOLE, msgspec.msgpack.encode(state.manifest)
    whole = Change(
        state.revision,
        form,
        body,
        state.data_centres_out,
        state.servers_out,
        state.digest,
    )
    return Update(is_full=True, changes=(whole,))


def take_update(store: ConfigStore, update: Update, *, may_replace: bool) -> bool:
    """Take an update; false when a change before it was lost or is damaged."""
    try:
        if update.is_full:
            for change in update.changes:
                take_state(store, _state_of(change), may_replace=may_replace)
            return True
        return all(_take_change(store, change) for change in update.changes)
    except (msgspec.MsgspecError, KeyError) as exc:
        logging.error("dissemination: a manifest can't be decoded: %s", exc)
        return False


def _state_of(change: Change) -> ConfigState:
    manifest = None
    if change.manifest_form == MANIFEST_WHOLE:
        manifest = msgspec.msgpack.decode(change.manifest, type=Manifest)
    return ConfigState(
        change.revision,
        manifest,
        change.data_centres_out,
        change.servers_out,
        change.digest,
    )


def _take_change(store: ConfigStore, change: Change) -> bool:
    if change.revision <= store.state.revision:
        return True
    manifest = None
    if change.manifest_form == MANIFEST_WHOLE:
        manifest = msgspec.msgpack.decode(change.manifest, type=Manifest)
    elif change.manifest_form == MANIFEST_DIFFERENCE:
        difference = msgspec.msgpack.decode(change.manifest, type=ManifestDifference)
        if store.state.manifest is None:
            return False
        manifest = apply_difference(store.state.manifest, difference)
    delta = ConfigDelta(
        change.revision,
        manifest,
        change.data_centres_out,
        change.servers_out,
        change.digest,
    )
    return take_delta(store, delta, change)


def note_proof(store: ConfigStore, revision: Revision, at: float) -> None:
    """Note the proof that ``revision`` was current at loop time ``at``.

    The proof holds for this copy once it is at that revision or a later one.
    """
    if revision <= store.state.revision:
        _confirm(store, at)
    elif store.pending is None or at > store.pending[1]:
        store.pending = (revision, at)


def _confirm(store: ConfigStore, at: float) -> None:
    config = store.board.config
    if at > config.confirmed_at:
        config.confirmed_at = at


def age_ms(store: ConfigStore) -> int:
    """Return how old the newest proof is, rounded up, in milliseconds."""
    age_s = store.clock() - store.board.config.confirmed_at
    return NEVER_CONFIRMED if age_s == float("inf") else int(age_s * 1000) + 1


def is_stale(store: ConfigStore) -> bool:
    """Return whether the newest proof is older than ``STALE_S``."""
    return store.clock() - store.board.config.confirmed_at > STALE_S


def review_staleness(store: ConfigStore) -> None:
    """Tell the watchers of the configuration when it turns stale or fresh."""
    stale = is_stale(store)
    if stale == store.was_stale:
        return
    store.was_stale = stale
    if stale:
        logging.warning(
            "dissemination: revision %d is not confirmed any more.",
            store.state.revision,
        )
    else:
        logging.info("dissemination: revision %d is confirmed.", store.state.revision)
    store.board.notify_watchers(Section.CONFIG)
