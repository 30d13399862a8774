"""This daemon's copy of the configuration, whose revision never decreases."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from absl import logging

from bramleyrouter.board import Board, Section
from bramleyrouter.board.sections import Manifest
from bramleyrouter.control.messages import ConfigDelta, ConfigState
from bramleyrouter.dissemination.digests import ComputeDigest, build_caching_digest
from bramleyrouter.dissemination.interfaces import STALE_AFTER_S
from bramleyrouter.dissemination.manifests import (
    ManifestDifference,
    apply_difference,
    build_difference,
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
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Bounds of the changes that are retained for daemons that reconnect. A daemon that
# needs older changes receives the whole state.
MAX_RETAINED_CHANGES = 512
MAX_RETAINED_BYTES = 2 * 1024 * 1024
# Approximate size of a change apart from its manifest, in bytes.
CHANGE_OVERHEAD_BYTES = 256


@dataclass
class ConfigStore:
    """Hold the configuration, the latest changes, and whether it is confirmed.

    A confirmation states that control knew a revision to be the current one at
    some loop time. ``pending_confirmation`` is one whose revision has not arrived
    yet, as (revision, loop time in seconds). ``was_stale`` is the staleness that
    the watchers were last notified of.
    """

    board: Board
    clock: Callable[[], float]
    compute_digest: ComputeDigest = field(default_factory=build_caching_digest)
    state: ConfigState = ConfigState(Revision(0), None)
    changes: deque[Change] = field(default_factory=deque)
    retained_bytes: int = 0
    pending_confirmation: tuple[Revision, float] | None = None
    is_learnt: bool = False
    was_stale: bool = True
    on_change: list[Callable[[], None]] = field(default_factory=list)


def apply_state(
    store: ConfigStore, state: ConfigState, *, may_replace: bool = False
) -> bool:
    """Apply a whole state if it is newer; return whether it was applied.

    With ``may_replace``, a state of the same revision but with another digest is
    applied as well, to repair a damaged copy from a confirmed parent.
    """
    revision = store.state.revision
    is_repair = may_replace and state.digest != store.state.digest
    if state.revision < revision or (state.revision == revision and not is_repair):
        return False
    if not _has_valid_digest(store, state):
        return False
    store.changes.clear()
    store.retained_bytes = 0
    _replace_state(store, state)
    return True


def apply_delta(
    store: ConfigStore, delta: ConfigDelta, change: Change | None = None
) -> bool:
    """Apply the change that follows the current revision.

    Return false if the change has another revision or does not match its digest.
    ``change`` is the encoded form if the change was received from a parent.
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
    if not _has_valid_digest(store, state):
        return False
    _retain_change(store, change or _build_change(delta, old.manifest))
    _replace_state(store, state)
    return True


def _has_valid_digest(store: ConfigStore, state: ConfigState) -> bool:
    if store.compute_digest(state) == state.digest:
        return True
    logging.error(
        "dissemination: revision %d does not match its digest.", state.revision
    )
    return False


def _retain_change(store: ConfigStore, change: Change) -> None:
    store.changes.append(change)
    store.retained_bytes += _compute_change_size(change)
    while (
        len(store.changes) > MAX_RETAINED_CHANGES
        or store.retained_bytes > MAX_RETAINED_BYTES
    ) and store.changes:
        store.retained_bytes -= _compute_change_size(store.changes.popleft())


def _compute_change_size(change: Change) -> int:
    return len(change.manifest) + CHANGE_OVERHEAD_BYTES


def _replace_state(store: ConfigStore, state: ConfigState) -> None:
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
    if store.pending_confirmation and store.pending_confirmation[0] <= state.revision:
        pending, store.pending_confirmation = store.pending_confirmation, None
        _advance_confirmed_at(store, pending[1])
    store.board.notify_watchers(Section.CONFIG)
    for callback in store.on_change:
        callback()


def _build_change(delta: ConfigDelta, before: Manifest | None) -> Change:
    form, body = MANIFEST_UNCHANGED, b""
    if delta.manifest is not None:
        form, body = MANIFEST_WHOLE, msgspec.msgpack.encode(delta.manifest)
        if before is not None:
            difference = build_difference(before, delta.manifest)
            difference_body = msgspec.msgpack.encode(difference)
            if len(difference_body) < len(body):
                form, body = MANIFEST_DIFFERENCE, difference_body
    return Change(
        delta.revision,
        form,
        body,
        delta.data_centres_out,
        delta.servers_out,
        delta.digest,
    )


def build_update_since(store: ConfigStore, revision: Revision, is_full: bool) -> Update:
    """Build the update that brings a copy at ``revision`` to the current one.

    It holds the whole state if ``is_full`` is set or the changes after
    ``revision`` are not retained any more.
    """
    revision_before_changes = store.state.revision - len(store.changes)
    if not is_full and revision_before_changes <= revision <= store.state.revision:
        skipped = revision - revision_before_changes
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


def apply_update(store: ConfigStore, update: Update, *, may_replace: bool) -> bool:
    """Apply an update.

    Return false when it can't be applied since a change before it was lost or
    one of its changes is damaged; the subscriber then needs the whole state.
    A whole state that is older or damaged is ignored and returns true.
    """
    try:
        if update.is_full:
            for change in update.changes:
                apply_state(store, _decode_state(change), may_replace=may_replace)
            return True
        return all(_apply_change(store, change) for change in update.changes)
    except (KeyError, *DECODE_ERRORS) as exc:
        logging.error("dissemination: can't decode a manifest: %s", exc)
        return False


def _decode_state(change: Change) -> ConfigState:
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


def _apply_change(store: ConfigStore, change: Change) -> bool:
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
    return apply_delta(store, delta, change)


def record_confirmation(
    store: ConfigStore, revision: Revision, confirmed_at: float
) -> None:
    """Record that control confirmed ``revision`` as current at a loop time.

    The confirmation applies to this copy once it is at that revision or a later
    one; until then it is stored as pending.
    """
    if revision <= store.state.revision:
        _advance_confirmed_at(store, confirmed_at)
    elif (
        store.pending_confirmation is None
        or confirmed_at > store.pending_confirmation[1]
    ):
        store.pending_confirmation = (revision, confirmed_at)


def _advance_confirmed_at(store: ConfigStore, confirmed_at: float) -> None:
    config = store.board.config
    if confirmed_at > config.confirmed_at:
        config.confirmed_at = confirmed_at


def get_confirmation_age_ms(store: ConfigStore) -> int:
    """Return the age of the newest confirmation in milliseconds, rounded up.

    Return ``NEVER_CONFIRMED`` if there has been none.
    """
    age_s = store.clock() - store.board.config.confirmed_at
    return NEVER_CONFIRMED if age_s == float("inf") else int(age_s * 1000) + 1


def is_stale(store: ConfigStore) -> bool:
    """Return whether the newest confirmation is older than ``STALE_AFTER_S``."""
    return store.clock() - store.board.config.confirmed_at > STALE_AFTER_S


def update_staleness(store: ConfigStore) -> None:
    """Notify the watchers of the configuration when it becomes stale or fresh."""
    is_now_stale = is_stale(store)
    if is_now_stale == store.was_stale:
        return
    store.was_stale = is_now_stale
    if is_now_stale:
        logging.warning(
            "dissemination: revision %d is not confirmed any more.",
            store.state.revision,
        )
    else:
        logging.info("dissemination: revision %d is confirmed.", store.state.revision)
    store.board.notify_watchers(Section.CONFIG)
