"""Publish the rows of this home's servers to all daemons."""

import asyncio

from absl import logging

from bramleyrouter.board import Section
from bramleyrouter.board.sections import HomeServerStatus, ServerRecord
from bramleyrouter.homes.ramps import compute_headroom
from bramleyrouter.homes.refusals import find_server_refusal
from bramleyrouter.homes.state import HomesState, ServerEntry
from bramleyrouter.ids import ServerId


def build_row(state: HomesState, entry: ServerEntry, now: float) -> ServerRecord:
    """Build the row that describes a server at ``now``."""
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
        find_server_refusal(entry, now) is None and not entry.is_handing_over,
        compute_headroom(entry.ramp),
    )


def schedule_row_update(state: HomesState, entry: ServerEntry) -> None:
    """Schedule an update of the server's row for the next iteration of the loop."""
    if state.is_closed:
        return
    if not state.changed_ids:
        asyncio.get_running_loop().call_soon(publish_changes, state)
    state.changed_ids.add(entry.target.server_id)


def publish_changes(state: HomesState) -> None:
    """Publish the rows that differ from those published last.

    A row describes one server to all daemons. A server has no row before it has
    echoed a token: until then another daemon may have registered it as well.
    """
    # Taken before the work, as no update is scheduled while there are any.
    changed_ids, state.changed_ids = state.changed_ids, set()
    now = state.clock()
    changed: list[ServerRecord] = []
    for server_id in sorted(changed_ids):
        entry = state.entries.get(server_id)
        if entry is None or not entry.registered.has_echoed_token:
            continue
        try:
            row = build_row(state, entry, now)
            _update_status(state, server_id, entry, row)
        except Exception:
            # The changes of the other servers must still be published.
            logging.exception("homes: could not update the row of %s.", server_id)
            continue
        if row != entry.published_row:
            entry.published_row = row
            changed.append(row)
    if changed:
        state.board.notify_watchers(Section.HOMES)
        state.publish_rows(changed, [])


def _update_status(
    state: HomesState, server_id: ServerId, entry: ServerEntry, row: ServerRecord
) -> None:
    statuses = state.board.homes.statuses
    status = statuses.get(server_id)
    if status is None:
        status = statuses[server_id] = HomeServerStatus(row)
    status.record = row
    status.in_flight = len(entry.running) + entry.is_probing
    status.queued = entry.queue.size


def remove_row(state: HomesState, entry: ServerEntry) -> None:
    """Remove a server's row and its status."""
    server_id = entry.target.server_id
    state.board.homes.statuses.pop(server_id, None)
    if entry.published_row is not None:
        entry.published_row = None
        state.board.notify_watchers(Section.HOMES)
        state.publish_rows([], [server_id])
