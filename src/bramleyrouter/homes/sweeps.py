"""Regular work of a home: ends of authority, probes, hold-downs, memory."""

import asyncio

from bramleyrouter.board import Section
from bramleyrouter.codes import Code
from bramleyrouter.edges.servers.transport import ProbeResult
from bramleyrouter.homes.dispatching import has_free_slot, pump, refuse_waiting
from bramleyrouter.homes.entries import Entry, HomesState
from bramleyrouter.homes.limits import (
    FORGET_AFTER_S,
    PROBE_EVERY_S,
    PROBE_TIMEOUT_S,
    SWEEP_S,
)
from bramleyrouter.homes.ramps import note_hint, restart
from bramleyrouter.homes.refusals import find_own_refusal, is_out
from bramleyrouter.homes.registry import after_change, forget
from bramleyrouter.homes.rows import mark_changed

# Share of the last lag of the event loop that still counts a sweep later.
LAG_KEEP = 0.8


def start_sweeps(state: HomesState) -> None:
    """Sweep regularly, and at once when the configuration or table changes."""
    state.board.watch(Section.CONFIG, lambda: _follow_config(state))
    state.board.watch(Section.SERVERS, lambda: _follow_table(state))
    loop = asyncio.get_running_loop()

    def again(due: float) -> None:
        if not state.is_closed:
            now = loop.time()
            state.lag_s = max(now - due, LAG_KEEP * state.lag_s)
            sweep(state)
            loop.call_later(SWEEP_S, again, now + SWEEP_S)

    loop.call_later(SWEEP_S, again, loop.time() + SWEEP_S)


def sweep(state: HomesState) -> None:
    """Look once at each server of this home."""
    now = state.clock()
    for entry in list(state.entries.values()):
        _sweep_entry(state, entry, now)
    for server_id, memory in list(state.memory.items()):
        if now >= memory.until:
            del state.memory[server_id]


def _sweep_entry(state: HomesState, entry: Entry, now: float) -> None:
    registered = entry.registered
    since = max(registered.authority_until, registered.dispatch_after)
    if now >= since + FORGET_AFTER_S:
        forget(state, entry, (Code.NO_AUTHORITY, "The server did not renew."))
        return
    if registered.is_withdrawn and not entry.running:
        forget(state, entry, (Code.SERVER_LEAVING, "The server withdrew."))
        return
    if registered.was_echoed and now >= registered.authority_until:
        state.transport.drop(entry.target.server_id)
    _follow_out(state, entry, now)
    after_change(state, entry, now)
    if now >= entry.next_probe_at:
        _probe(state, entry, now)
    shown = state.board.homes.statuses.get(entry.target.server_id)
    if shown is not None:
        connections = state.transport.open_connections(entry.target.server_id)
        shown.open_connections = connections


def _follow_out(state: HomesState, entry: Entry, now: float) -> None:
    """Refuse what waits for a server that is out; ramp it when it returns."""
    out = is_out(state, entry)
    if out:
        text = "The server or its data centre is out of service."
        refuse_waiting(state, entry, (Code.SERVER_OUT, text))
    elif entry.was_out:
        restart(entry.ramp, now)
        mark_changed(state, entry)
    entry.was_out = out


def _follow_config(state: HomesState) -> None:
    now = state.clock()
    for entry in state.entries.values():
        _follow_out(state, entry, now)


def _follow_table(state: HomesState) -> None:
    """Give up servers that registered with another home later."""
    own = state.board.identity
    records = state.board.servers.records
    for server_id, entry in list(state.entries.items()):
        row = records.get(server_id)
        if row is None:
            continue
        is_own = (row.home, row.home_incarnation) == (own.daemon_id, own.incarnation)
        newer = (row.incarnation, row.registration) > entry.registered.order[:2]
        if newer and not is_own:
            forget(state, entry, (Code.NOT_HOME, "The server has another home."))


def _probe(state: HomesState, entry: Entry, now: float) -> None:
    """Read the health and load endpoints while a slot is free.

    A probe takes a slot, so that it never adds to a server's declared load.
    """
    if find_own_refusal(entry, now) or is_out(state, entry):
        return
    if not has_free_slot(entry):
        return
    entry.next_probe_at = now + PROBE_EVERY_S * (0.75 + 0.5 * state.rng.random())
    entry.is_probing = True

    def on_end(end: ProbeResult) -> None:
        entry.is_probing = False
        if note_hint(entry.ramp, end.is_healthy, end.queued, state.clock()):
            mark_changed(state, entry)
        pump(state, entry)

    state.transport.probe(entry.target, PROBE_TIMEOUT_S, on_end)
