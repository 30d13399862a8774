"""Hand servers over to other homes at a planned stop.

The home hands a server over when the server renews its lease: it waits for running
work to end, stops dispatching permanently, requests another daemon to take over and
replies to the renewal with that daemon's token. The new home gets its authority
when the server echoes this token, so the two homes never have authority at the same
time, and the new home need not wait for the old authority to expire. If the reply is
lost, the server announces itself with the next registration number, and the new home
waits until the old authority has expired.
"""

import asyncio

from absl import logging
from result import Err, Ok, Result

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.codecs import (
    Handover,
    decode_announcement_reply,
    encode_handover,
)
from bramleyrouter.homes.limits import (
    FORWARD_TIMEOUT_S,
    HANDOVER_DRAIN_S,
    HANDOVER_RETRY_S,
    HANDOVER_TIMEOUT_S,
    MAX_HOME_CANDIDATES,
)
from bramleyrouter.homes.messages import Announcement, AnnouncementReply
from bramleyrouter.homes.placement import filter_home_candidates, rank_homes
from bramleyrouter.homes.registrations import build_handover_announcement, build_token
from bramleyrouter.homes.rows import schedule_row_update
from bramleyrouter.homes.server_entries import remove_server, renew_locally
from bramleyrouter.homes.state import HomesState, ServerEntry
from bramleyrouter.wire.kinds import MessageKind

# Interval, in seconds, at which a handover checks whether running work has ended.
POLL_INTERVAL_S = 0.01


async def renew_or_hand_over(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Renew a server's lease, or hand the server over if this daemon is stopping."""
    renewed = renew_locally(state, announcement)
    if isinstance(renewed, Err) or not state.is_leaving:
        return renewed
    entry = state.entries[announcement.server_id]
    if entry.has_pending_handover:
        # The server repeated its renewal. If this one was handed over too, it could be
        # accepted after the other had failed and this home dispatched again.
        return Ok(_build_retry_reply(state, entry))
    entry.has_pending_handover = True
    try:
        return await _try_handover(state, entry)
    finally:
        entry.has_pending_handover = False


async def _try_handover(
    state: HomesState, entry: ServerEntry
) -> Result[AnnouncementReply, Failure]:
    if not await _drain_server(state, entry):
        return Ok(_build_retry_reply(state, entry))
    if state.entries.get(entry.target.server_id) is not entry:
        return Err(Failure(Code.LEASE_UNKNOWN, "The server has another home."))
    next_home_reply = await _hand_over_server(state, entry)
    if next_home_reply is None:
        entry.is_handing_over = False
        schedule_row_update(state, entry)
        return Ok(_build_retry_reply(state, entry))
    return Ok(next_home_reply)


def _build_retry_reply(state: HomesState, entry: ServerEntry) -> AnnouncementReply:
    identity = state.board.identity
    token = build_token(identity, entry.registered, state.clock())
    return AnnouncementReply(token, identity.http_address, HANDOVER_RETRY_S)


async def _drain_server(state: HomesState, entry: ServerEntry) -> bool:
    """Stop dispatching to the server and wait until its running work has ended.

    Returns false if work still runs after ``HANDOVER_DRAIN_S``.
    """
    entry.is_handing_over = True
    schedule_row_update(state, entry)
    deadline = state.clock() + HANDOVER_DRAIN_S
    while entry.running or entry.is_probing:
        if state.clock() >= deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


async def _hand_over_server(
    state: HomesState, entry: ServerEntry
) -> AnnouncementReply | None:
    """Hand the server over to the best-ranked daemon that accepts it.

    Removes the server and returns the new home's reply, or None if no daemon accepts.
    """
    announcement = build_handover_announcement(entry.registered.announcement)
    ranked = rank_homes(
        _list_other_candidates(state), state.board.servers, announcement
    )
    ramp = entry.ramp
    payload = encode_handover(Handover(announcement, ramp.limit, ramp.baseline_s))
    for home in ranked[:MAX_HOME_CANDIDATES]:
        outcome = await state.network.call(
            home.internal_address, MessageKind.HANDOVER, payload, FORWARD_TIMEOUT_S
        )
        if isinstance(outcome, Err):
            continue
        reply = decode_announcement_reply(outcome.ok_value)
        if isinstance(reply, Ok):
            server_id = entry.target.server_id
            logging.info("homes: handed %s over to %s.", server_id, home.daemon_id)
            remove_server(state, entry, (Code.NOT_HOME, "The server has another home."))
            return reply.ok_value
    return None


async def hand_over_all_servers(state: HomesState) -> None:
    """Hand all servers over as they renew; return when none is left.

    A server that does not renew within ``HANDOVER_TIMEOUT_S`` will announce itself
    to another daemon. If the data centre has no other daemon, this waits only for
    running work to end.
    """
    state.is_leaving = True
    deadline = state.clock() + HANDOVER_TIMEOUT_S
    while state.entries and state.clock() < deadline:
        is_idle = not any(entry.running for entry in state.entries.values())
        if is_idle and not _list_other_candidates(state):
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _list_other_candidates(state: HomesState) -> list[DaemonRecord]:
    own = state.board.identity
    others = [
        record
        for record in state.board.daemons.records.values()
        if record.daemon_id != own.daemon_id
    ]
    return filter_home_candidates(others, own.data_centre)
