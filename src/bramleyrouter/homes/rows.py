"""Rows of this home's servers: what every daemon is told of them."""

import asyncio

from bramleyrouter.board import Section
from bramleyrouter.board.sections import HomeServerStatus, ServerRecord
from bramleyrouter.homes.entries import Entry, HomesState
from bramleyrouter.homes.ramps import headroom
from bramleyrouter.homes.refusals import find_own_refusal
from bramleyrouter.ids import ServerId


def make_row(state: HomesState, entry: Entry, now: float) -> ServerRecord:
    """Return the row that describes a server at ``now``."""
    announcement = entry.registered.announcement
    identity = state.board.identity
    return ServerRecord(
        announcement.server_id,
        announcement.incarnation,
        announcement.registration,
        announcement.data_centre,
        entry.target.address,
        announcement.state,
        entry.slots,
        entry.connection_limit,
        announcement.holdings,
        identity.daemon_id,
        identity.incarnation,
        find_own_refusal(entry, now) is None and not entry.is_handing_over,
        headroom(entry.ramp),
    )


def mark_changed(state: HomesState, entry: Entry) -> None:
    """Look at the server's row at the end of this turn of the loop."""
    if state.is_closed:
        return
    if not state.changed:
        asyncio.get_running_loop().call_soon(publish_changes, state)
    state.changed.add(entry.target.server_id)


def publish_changes(state: HomesState) -> None:
    """Publish the rows that differ from what was published last.

    A server has no row before it has echoed a token: until then another
    daemon may be its home as well.
    """
    now = state.clock()
    changed: list[ServerRecord] = []
    for server_id in state.changed:
        entry = state.entries.get(server_id)
        if entry is None or not entry.registered.was_echoed:
            continue
        row = make_row(state, entry, now)
        if row != entry.published:
            entry.published = row
            changed.append(row)
        _show(state, server_id, entry, row)
    state.changed.clear()
    if changed:
        state.board.notify_watchers(Section.HOMES)
        state.publish_rows(changed, [])


def _show(
    state: HomesState, server_id: ServerId, entry: Entry, row: ServerRecord
) -> None:
    states = state.board.homes.statuses
    shown = states.get(server_id)
    if shown is None:
        shown = states[server_id] = HomeServerStatus(row)
    shown.record = row
    shown.in_flight = len(entry.running) + entry.is_probing
    shown.queued = entry.queue.size


def remove_row(state: HomesState, entry: Entry) -> None:
    """Take a server's row back."""
    server_id = entry.target.server_id
    state.board.homes.statuses.pop(server_id, None)
    if entry.published is not None:
        entry.published = None
        state.board.notify_watchers(Section.HOMES)
        state.publish_rows([], [server_id])
