"""Route announcements and withdrawals to the server's home."""

from result import Err, Ok, Result

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.codecs import (
    Withdrawal,
    decode_announcement_reply,
    encode_announcement,
    encode_withdrawal,
)
from bramleyrouter.homes.handovers import renew_or_hand_over
from bramleyrouter.homes.limits import FORWARD_TIMEOUT_S, MAX_HOME_CANDIDATES
from bramleyrouter.homes.messages import Announcement, AnnouncementReply
from bramleyrouter.homes.placement import filter_home_candidates, rank_homes
from bramleyrouter.homes.registrations import check_announcement
from bramleyrouter.homes.server_entries import register_locally, withdraw_locally
from bramleyrouter.homes.state import HomesState
from bramleyrouter.ids import DaemonId, DataCentre, ServerId, ServerIncarnation
from bramleyrouter.states import DaemonState
from bramleyrouter.wire.kinds import MessageKind

_UNREACHED_CODES = frozenset(
    {Code.PEER_UNREACHABLE, Code.PEER_TIMEOUT, Code.PEER_DISCONNECTED}
)


async def announce(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Handle an announcement from a server locally, or forward it to its home."""
    checked = check_announcement(announcement)
    if isinstance(checked, Err):
        return checked
    lease = announcement.lease
    if lease is None:
        return await _register_at_best_home(state, announcement)
    if lease.home == state.board.identity.daemon_id:
        return await renew_or_hand_over(state, announcement)
    home = state.board.daemons.records.get(lease.home)
    if home is None or home.incarnation != lease.home_incarnation:
        return Err(Failure(Code.LEASE_UNKNOWN, f'"{lease.home}" is not known.'))
    return await _forward_to_home(state, home, announcement)


async def handle_forwarded_announcement(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Handle an announcement from another daemon without forwarding it again."""
    checked = check_announcement(announcement)
    if isinstance(checked, Err):
        return checked
    if announcement.lease is not None:
        return await renew_or_hand_over(state, announcement)
    if announcement.data_centre != state.board.identity.data_centre:
        text = f'This daemon is not in data centre "{announcement.data_centre}".'
        return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))
    return register_locally(state, announcement)


def list_home_candidates(
    state: HomesState, data_centre: DataCentre
) -> list[DaemonRecord]:
    """Return the daemons of a data centre that may become homes.

    The record of this daemon is built from its own state, not from membership.
    """
    own = state.board.identity
    records = [
        record
        for record in state.board.daemons.records.values()
        if record.daemon_id != own.daemon_id
    ]
    if not state.is_leaving:
        records.append(
            DaemonRecord(
                own.daemon_id,
                own.incarnation,
                own.data_centre,
                own.internal_address,
                own.http_address,
                DaemonState.ALIVE,
            )
        )
    return filter_home_candidates(records, data_centre)


async def _register_at_best_home(
    state: HomesState, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    """Register the server at the best-ranked home that answers.

    A home that did not answer may still have registered the server. That is safe,
    since a home has no authority until the server echoes its token.
    """
    candidates = list_home_candidates(state, announcement.data_centre)
    ranked = rank_homes(candidates, state.board.servers, announcement)
    text = f'No live daemon in data centre "{announcement.data_centre}" answered.'
    outcome: Result[AnnouncementReply, Failure] = Err(Failure(Code.NOT_READY, text))
    for home in ranked[:MAX_HOME_CANDIDATES]:
        if home.daemon_id == state.board.identity.daemon_id:
            outcome = register_locally(state, announcement)
        else:
            outcome = await _forward_to_home(state, home, announcement)
        if isinstance(outcome, Ok):
            return outcome
        if outcome.err_value.code not in _UNREACHED_CODES | {Code.STOPPING}:
            return outcome
    return outcome


async def _forward_to_home(
    state: HomesState, home: DaemonRecord, announcement: Announcement
) -> Result[AnnouncementReply, Failure]:
    payload = encode_announcement(announcement)
    address = home.internal_address
    reply = await state.network.call(
        address, MessageKind.ANNOUNCE, payload, FORWARD_TIMEOUT_S
    )
    if isinstance(reply, Err):
        return reply
    return decode_announcement_reply(reply.ok_value)


async def withdraw(
    state: HomesState, server_id: ServerId, incarnation: ServerIncarnation
) -> Result[None, Failure]:
    """Handle a withdrawal from a server locally, or forward it to its home."""
    if server_id in state.entries:
        return withdraw_locally(state, server_id, incarnation)
    home = _find_home(state, server_id)
    record = state.board.daemons.records.get(home) if home else None
    if record is None or home == state.board.identity.daemon_id:
        text = f'No home of "{server_id}" is known here.'
        return Err(Failure(Code.LEASE_UNKNOWN, text))
    payload = encode_withdrawal(Withdrawal(server_id, incarnation))
    address = record.internal_address
    reply = await state.network.call(
        address, MessageKind.WITHDRAW, payload, FORWARD_TIMEOUT_S
    )
    return reply if isinstance(reply, Err) else Ok(None)


def _find_home(state: HomesState, server_id: ServerId) -> DaemonId | None:
    row = state.board.servers.records.get(server_id)
    return row.home if row else None
