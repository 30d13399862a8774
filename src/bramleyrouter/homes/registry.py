"""The servers of this home: enter, renew, forget and withdraw them."""

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import Target
from bramleyrouter.failures import Failure
from bramleyrouter.homes.codecs import Handover
from bramleyrouter.homes.dispatching import connections_for, pump, refuse_waiting
from bramleyrouter.homes.entries import Entry, HomesState, Memory
from bramleyrouter.homes.holddowns import (
    HoldDown,
    note_contradiction,
    note_registration,
)
from bramleyrouter.homes.limits import (
    FIRST_RENEW_AFTER_S,
    MEMORY_S,
    PROBE_EVERY_S,
    RENEW_AFTER_S,
)
from bramleyrouter.homes.messages import Announcement, AnnouncementReply
from bramleyrouter.homes.queues import FairQueue
from bramleyrouter.homes.ramps import Ramp, restart
from bramleyrouter.homes.refusals import find_own_refusal
from bramleyrouter.homes.registrations import (
    Registered,
    changed_limits,
    make_token,
    register,
    renew,
    take_over,
    withdraw,
)
from bramleyrouter.homes.rows import mark_changed, remove_row
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.states import ServerState


def _reply(state: HomesState, registered: Registered) -> AnnouncementReply:
    identity = state.board.identity
    token = make_token(identity, registered, state.clock())
    wait_s = RENEW_AFTER_S if registered.was_echoed else FIRST_RENEW_AFTER_S
    return AnnouncementReply(token, identity.http_address, wait_s)


def register_here(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Become the home of a server that announced itself without a lease."""
    if state.is_leaving:
        text = "This daemon is stopping; another one is to be the home."
        return Err(Failure(Code.STOPPING, text))
    now = state.clock()
    server_id = announcement.server_id
    entry = state.entries.get(server_id)
    memory = state.memory.get(server_id)
    current = entry.registered if entry else None
    if memory is not None and memory.is_withdrawn_for(announcement.incarnation):
        return Err(Failure(Code.OLD_ANNOUNCEMENT, "The server has withdrawn."))
    order = memory.order if memory else None
    registered = register(current, order, announcement, now)
    if isinstance(registered, Err):
        return registered
    if entry is None or not _is_same(entry.registered, registered.ok_value):
        entry = _enter(state, entry, registered.ok_value, now)
        note_registration(entry.hold, now)
        logging.info(
            "homes: %s registered, incarnation %d, registration %d.",
            server_id,
            announcement.incarnation,
            announcement.registration,
        )
    else:
        entry.registered = registered.ok_value
    return Ok(_reply(state, entry.registered))


def _is_same(before: Registered, after: Registered) -> bool:
    return before.order[:2] == after.order[:2]


def _enter(
    state: HomesState, old: Entry | None, registered: Registered, now: float
) -> Entry:
    """Make an entry; what ran under an older registration is cut off."""
    announcement = registered.announcement
    server_id = announcement.server_id
    if old is not None:
        state.transport.drop(server_id)
        text = "The server registered anew."
        refuse_waiting(state, old, (Code.NO_AUTHORITY, text))
    memory = state.memory.pop(server_id, None)
    hold = old.hold if old else memory.hold if memory else HoldDown()
    target = Target(
        server_id,
        announcement.incarnation,
        announcement.registration,
        announcement.address,
        connections_for(announcement.connection_limit, announcement.slots),
    )
    entry = Entry(
        registered,
        target,
        announcement.slots,
        announcement.connection_limit,
        _ramp_for(old, announcement, now),
        hold,
        FairQueue(state.weight_of),
        next_probe_at=now + PROBE_EVERY_S * (0.5 + state.rng.random()),
        published=old.published if old else None,
    )
    state.entries[server_id] = entry
    return entry


def _ramp_for(old: Entry | None, announcement: Announcement, now: float) -> Ramp:
    """Keep a ramp inside one incarnation; a new process starts cold."""
    if (
        old is not None
        and old.registered.announcement.incarnation == announcement.incarnation
        and old.ramp.slots == announcement.slots
    ):
        return old.ramp
    return Ramp(announcement.slots, last_step_at=now)


def renew_here(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Take the renewal of a server whose home this is."""
    now = state.clock()
    entry = state.entries.get(announcement.server_id)
    current = entry.registered if entry else None
    renewed = renew(state.board.identity, current, announcement, now)
    if isinstance(renewed, Err):
        return renewed
    assert entry is not None
    before = entry.registered.announcement
    if changed_limits(before, announcement):
        _hold_contradiction(entry, announcement, now)
    if before.state is not ServerState.READY:
        # It has just become ready or returned to service.
        restart(entry.ramp, now)
    entry.registered = renewed.ok_value
    after_change(state, entry, now)
    return Ok(_reply(state, entry.registered))


def _hold_contradiction(entry: Entry, announcement: Announcement, now: float) -> None:
    """Hold down a server that changed its limits; the lowest ones hold."""
    entry.slots = min(entry.slots, announcement.slots)
    entry.connection_limit = min(entry.connection_limit, announcement.connection_limit)
    entry.ramp.slots = entry.slots
    most = connections_for(entry.connection_limit, entry.slots)
    entry.target = entry.target._replace(max_connections=most)
    note_contradiction(entry.hold, now)
    restart(entry.ramp, now)
    logging.warning(
        "homes: %s changed its declared limits without a new registration.",
        announcement.server_id,
    )


def after_change(state: HomesState, entry: Entry, now: float) -> None:
    """Bring queue and row in line with what is now known of a server."""
    refusal = find_own_refusal(entry, now)
    if refusal is not None:
        refuse_waiting(state, entry, refusal)
    else:
        pump(state, entry)
    mark_changed(state, entry)


def take_over_here(
    state: HomesState, handover: Handover
) -> Result[AnnouncementReply, Failure]:
    """Become the home of a server whose home stops as planned."""
    if state.is_leaving:
        return Err(Failure(Code.STOPPING, "This daemon is stopping too."))
    now = state.clock()
    announcement = handover.announcement
    old = state.entries.get(announcement.server_id)
    memory = state.memory.get(announcement.server_id)
    known = old.registered.order if old else memory.order if memory else None
    taken = take_over(known, announcement, now)
    if isinstance(taken, Err):
        return taken
    entry = _enter(state, old, taken.ok_value, now)
    entry.ramp.limit = max(1, min(entry.slots, handover.ramp_limit))
    entry.ramp.baseline_s = handover.baseline_s
    return Ok(_reply(state, entry.registered))


def withdraw_here(
    state: HomesState, server_id: ServerId, incarnation: ServerIncarnation
) -> Result[None, Failure]:
    """Stop new work for a server; what runs there ends."""
    entry = state.entries.get(server_id)
    withdrawn = withdraw(entry.registered if entry else None, incarnation)
    if isinstance(withdrawn, Err):
        return withdrawn
    assert entry is not None
    entry.registered = withdrawn.ok_value
    after_change(state, entry, state.clock())
    logging.info("homes: %s withdrew.", server_id)
    return Ok(None)


def forget(state: HomesState, entry: Entry, refusal: tuple[Code, str]) -> None:
    """Stop being the home of a server, and remember the order it had."""
    server_id = entry.target.server_id
    if state.entries.get(server_id) is not entry:
        return
    del state.entries[server_id]
    until = state.clock() + MEMORY_S
    registered = entry.registered
    state.memory[server_id] = Memory(
        registered.order, entry.hold, until, registered.is_withdrawn
    )
    refuse_waiting(state, entry, refusal)
    state.transport.drop(server_id)
    remove_row(state, entry)
