"""Sweep over a home's servers: expire authority and entries, and probe servers."""

import asyncio

from absl import logging

from bramleyrouter.board import Section
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import ProbeResult
from bramleyrouter.homes.dispatching import (
    dispatch_queued,
    has_free_slot,
    refuse_queued,
)
from bramleyrouter.homes.limits import (
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    REMOVE_AFTER_S,
    SWEEP_INTERVAL_S,
)
from bramleyrouter.homes.ramps import apply_load_report, restart_ramp
from bramleyrouter.homes.refusals import find_server_refusal, is_taken_out
from bramleyrouter.homes.rows import schedule_row_update
from bramleyrouter.homes.server_entries import remove_server, update_queue_and_row
from bramleyrouter.homes.state import HomesState, ServerEntry

# Factor by which the recorded lag of the event loop decays from sweep to sweep.
LAG_DECAY = 0.8


def start_sweeps(state: HomesState) -> None:
    """Sweep periodically and handle changes of the configuration and server table.

    Each sweep also records how late the event loop ran it.
    """
    state.board.watch(Section.CONFIG, lambda: _handle_config_change(state))
    state.board.watch(Section.SERVERS, lambda: _handle_server_table_change(state))
    loop = asyncio.get_running_loop()

    def sweep_and_reschedule(due: float) -> None:
        if not state.is_closed:
            now = loop.time()
            state.loop_lag_s = max(now - due, LAG_DECAY * state.loop_lag_s)
            # Scheduled first, so that no exception ends the sweeps.
            loop.call_later(
                SWEEP_INTERVAL_S, sweep_and_reschedule, now + SWEEP_INTERVAL_S
            )
            sweep_servers(state)

    loop.call_later(
        SWEEP_INTERVAL_S, sweep_and_reschedule, loop.time() + SWEEP_INTERVAL_S
    )


def sweep_servers(state: HomesState) -> None:
    """Update each server of this home and expire retained removed servers."""
    now = state.clock()
    for entry in list(state.entries.values()):
        try:
            _sweep_server(state, entry, now)
        except Exception:
            # The authority and the rows of the other servers must still expire.
            logging.exception("homes: could not sweep %s.", entry.target.server_id)
    for server_id, removed in list(state.removed_servers.items()):
        if now >= removed.expires_at:
            del state.removed_servers[server_id]


def _sweep_server(state: HomesState, entry: ServerEntry, now: float) -> None:
    registered = entry.registered
    inactive_since = max(registered.authority_until, registered.dispatch_after)
    if now >= inactive_since + REMOVE_AFTER_S:
        remove_server(state, entry, (Code.NO_AUTHORITY, "The server did not renew."))
        return
    if registered.is_withdrawn and not entry.running:
        remove_server(state, entry, (Code.SERVER_LEAVING, "The server withdrew."))
        return
    if registered.has_echoed_token and now >= registered.authority_until:
        state.transport.close_connections(entry.target.server_id)
    _update_taken_out(state, entry, now)
    update_queue_and_row(state, entry, now)
    if now >= entry.next_probe_at:
        _probe_server(state, entry, now)
    status = state.board.homes.statuses.get(entry.target.server_id)
    if status is not None:
        connections = state.transport.count_connections(entry.target.server_id)
        status.open_connections = connections


def _update_taken_out(state: HomesState, entry: ServerEntry, now: float) -> None:
    """Update whether a server is taken out.

    Queued work is refused while the server is taken out. When it returns to service,
    its ramp is restarted.
    """
    is_out_now = is_taken_out(state, entry)
    if is_out_now:
        text = "The server or its data centre is out of service."
        refuse_queued(state, entry, (Code.SERVER_OUT, text))
    elif entry.was_taken_out:
        restart_ramp(entry.ramp, now)
        schedule_row_update(state, entry)
    entry.was_taken_out = is_out_now


def _handle_config_change(state: HomesState) -> None:
    now = state.clock()
    for entry in state.entries.values():
        _update_taken_out(state, entry, now)


def _handle_server_table_change(state: HomesState) -> None:
    """Remove servers whose row shows a newer registration with another home."""
    own = state.board.identity
    records = state.board.servers.records
    for server_id, entry in list(state.entries.items()):
        row = records.get(server_id)
        if row is None:
            continue
        is_own = (row.home, row.home_incarnation) == (own.daemon_id, own.incarnation)
        is_new = (row.incarnation, row.registration) > entry.registered.version_key[:2]
        if is_new and not is_own:
            remove_server(state, entry, (Code.NOT_HOME, "The server has another home."))


def _probe_server(state: HomesState, entry: ServerEntry, now: float) -> None:
    """Probe the server's health and load endpoints if a slot is free.

    A probe occupies a slot, so that it never exceeds the server's declared limits.
    """
    if find_server_refusal(entry, now) or is_taken_out(state, entry):
        return
    if not has_free_slot(entry):
        return
    entry.next_probe_at = now + PROBE_INTERVAL_S * (0.75 + 0.5 * state.rng.random())
    entry.is_probing = True

    def on_end(result: ProbeResult) -> None:
        entry.is_probing = False
        if apply_load_report(
            entry.ramp, result.is_healthy, result.queued, state.clock()
        ):
            schedule_row_update(state, entry)
        dispatch_queued(state, entry)

    state.transport.probe(entry.target, PROBE_TIMEOUT_S, on_end)
