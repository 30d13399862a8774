"""Add, renew, withdraw and remove the servers of this home."""

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import Target
from bramleyrouter.failures import Failure
from bramleyrouter.homes.codecs import Handover
from bramleyrouter.homes.dispatching import (
    compute_max_connections,
    dispatch_queued,
    refuse_queued,
)
from bramleyrouter.homes.holddowns import (
    HoldDown,
    record_limit_change,
    record_registration,
)
from bramleyrouter.homes.limits import (
    FIRST_RENEW_AFTER_S,
    PROBE_INTERVAL_S,
    REMOVED_RETENTION_S,
    RENEW_AFTER_S,
)
from bramleyrouter.homes.messages import Announcement, AnnouncementReply
from bramleyrouter.homes.queues import FairQueue
from bramleyrouter.homes.ramps import Ramp, restart_ramp
from bramleyrouter.homes.refusals import find_server_refusal
from bramleyrouter.homes.registrations import (
    RegisteredServer,
    build_token,
    has_changed_limits,
    register,
    renew,
    take_over,
    withdraw,
)
from bramleyrouter.homes.rows import remove_row, schedule_row_update
from bramleyrouter.homes.state import HomesState, RemovedServer, ServerEntry
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.states import ServerState


def _build_reply(state: HomesState, registered: RegisteredServer) -> AnnouncementReply:
    identity = state.board.identity
    token = build_token(identity, registered, state.clock())
    wait_s = RENEW_AFTER_S if registered.has_echoed_token else FIRST_RENEW_AFTER_S
    return AnnouncementReply(token, identity.http_address, wait_s)


def register_locally(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Become the home of a server that announced itself without a lease."""
    if state.is_leaving:
        text = "This daemon is stopping; another one is to be the home."
        return Err(Failure(Code.STOPPING, text))
    now = state.clock()
    server_id = announcement.server_id
    entry = state.entries.get(server_id)
    removed = state.removed_servers.get(server_id)
    current = entry.registered if entry else None
    if removed is not None and removed.is_withdrawn_for(announcement.incarnation):
        return Err(Failure(Code.OLD_ANNOUNCEMENT, "The server has withdrawn."))
    version_key = removed.version_key if removed else None
    registered = register(current, version_key, announcement, now)
    if isinstance(registered, Err):
        return registered
    if entry is None or not _is_same_registration(
        entry.registered, registered.ok_value
    ):
        entry = _add_entry(state, entry, registered.ok_value, now)
        record_registration(entry.hold_down, now)
        logging.info(
            "homes: %s registered, incarnation %d, registration %d.",
            server_id,
            announcement.incarnation,
            announcement.registration,
        )
    else:
        entry.registered = registered.ok_value
    return Ok(_build_reply(state, entry.registered))


def _is_same_registration(before: RegisteredServer, after: RegisteredServer) -> bool:
    return before.version_key[:2] == after.version_key[:2]


def _add_entry(
    state: HomesState,
    previous: ServerEntry | None,
    registered: RegisteredServer,
    now: float,
) -> ServerEntry:
    """Add an entry for a server.

    Connections of an older registration are closed and its queued work is refused.
    """
    announcement = registered.announcement
    server_id = announcement.server_id
    if previous is not None:
        state.transport.close_connections(server_id)
        text = "The server registered anew."
        refuse_queued(state, previous, (Code.NO_AUTHORITY, text))
    removed = state.removed_servers.pop(server_id, None)
    hold_down = (
        previous.hold_down if previous else removed.hold_down if removed else HoldDown()
    )
    target = Target(
        server_id,
        announcement.incarnation,
        announcement.registration,
        announcement.address,
        compute_max_connections(announcement.connection_limit, announcement.slots),
    )
    entry = ServerEntry(
        registered,
        target,
        announcement.slots,
        announcement.connection_limit,
        _choose_ramp(previous, announcement, now),
        hold_down,
        FairQueue(state.get_weight),
        next_probe_at=now + PROBE_INTERVAL_S * (0.5 + state.rng.random()),
        published_row=previous.published_row if previous else None,
    )
    if previous is not None and previous.target.incarnation == target.incarnation:
        # Only a new incarnation of a server that leaves accepts requests again.
        entry.is_leaving = previous.is_leaving
        entry.wants_none_until = previous.wants_none_until
    state.entries[server_id] = entry
    return entry


def _choose_ramp(
    previous: ServerEntry | None, announcement: Announcement, now: float
) -> Ramp:
    """Return the previous ramp within one incarnation; a new process starts cold."""
    if (
        previous is not None
        and previous.registered.announcement.incarnation == announcement.incarnation
        and previous.ramp.slots == announcement.slots
    ):
        return previous.ramp
    return Ramp(announcement.slots, last_change_at=now)


def renew_locally(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Renew the lease of a server whose home is this daemon."""
    now = state.clock()
    entry = state.entries.get(announcement.server_id)
    current = entry.registered if entry else None
    renewed = renew(state.board.identity, current, announcement, now)
    if isinstance(renewed, Err):
        return renewed
    assert entry is not None
    before = entry.registered.announcement
    if has_changed_limits(before, announcement):
        _apply_limit_change(entry, announcement, now)
    if before.state is not ServerState.READY:
        # The server was starting or draining before and may be cold.
        restart_ramp(entry.ramp, now)
    entry.registered = renewed.ok_value
    update_queue_and_row(state, entry, now)
    return Ok(_build_reply(state, entry.registered))


def _apply_limit_change(
    entry: ServerEntry, announcement: Announcement, now: float
) -> None:
    """Hold down a server that changed its limits within one registration.

    The lowest declared limits apply.
    """
    entry.slots = min(entry.slots, announcement.slots)
    entry.connection_limit = min(entry.connection_limit, announcement.connection_limit)
    entry.ramp.slots = entry.slots
    max_connections = compute_max_connections(entry.connection_limit, entry.slots)
    entry.target = entry.target._replace(max_connections=max_connections)
    record_limit_change(entry.hold_down, now)
    restart_ramp(entry.ramp, now)
    logging.warning(
        "homes: %s changed its declared limits without a new registration.",
        announcement.server_id,
    )


def update_queue_and_row(state: HomesState, entry: ServerEntry, now: float) -> None:
    """Dispatch or refuse queued work and schedule an update of the server's row."""
    refusal = find_server_refusal(entry, now)
    if refusal is not None:
        refuse_queued(state, entry, refusal)
    else:
        dispatch_queued(state, entry)
    schedule_row_update(state, entry)


def take_over_locally(
    state: HomesState, handover: Handover
) -> Result[AnnouncementReply, Failure]:
    """Become the home of a server whose home is being stopped."""
    if state.is_leaving:
        return Err(Failure(Code.STOPPING, "This daemon is stopping too."))
    now = state.clock()
    announcement = handover.announcement
    previous = state.entries.get(announcement.server_id)
    removed = state.removed_servers.get(announcement.server_id)
    known_key = (
        previous.registered.version_key
        if previous
        else removed.version_key
        if removed
        else None
    )
    taken_over = take_over(known_key, announcement, now)
    if isinstance(taken_over, Err):
        return taken_over
    entry = _add_entry(state, previous, taken_over.ok_value, now)
    entry.ramp.limit = max(1, min(entry.slots, handover.ramp_limit))
    entry.ramp.baseline_s = handover.baseline_s
    return Ok(_build_reply(state, entry.registered))


def withdraw_locally(
    state: HomesState, server_id: ServerId, incarnation: ServerIncarnation
) -> Result[None, Failure]:
    """Stop new work for a server that withdrew; running work is not cancelled."""
    entry = state.entries.get(server_id)
    withdrawn = withdraw(entry.registered if entry else None, incarnation)
    if isinstance(withdrawn, Err):
        return withdrawn
    assert entry is not None
    entry.registered = withdrawn.ok_value
    update_queue_and_row(state, entry, state.clock())
    logging.info("homes: %s withdrew.", server_id)
    return Ok(None)


def remove_server(
    state: HomesState, entry: ServerEntry, refusal: tuple[Code, str]
) -> None:
    """Stop being the home of a server; retain its version and hold-down."""
    server_id = entry.target.server_id
    if state.entries.get(server_id) is not entry:
        return
    del state.entries[server_id]
    expires_at = state.clock() + REMOVED_RETENTION_S
    registered = entry.registered
    state.removed_servers[server_id] = RemovedServer(
        registered.version_key, entry.hold_down, expires_at, registered.is_withdrawn
    )
    refuse_queued(state, entry, refusal)
    state.transport.close_connections(server_id)
    remove_row(state, entry)
