"""Determine why a home may not dispatch to a server."""

from bramleyrouter.codes import Code
from bramleyrouter.homes.holddowns import is_held_down
from bramleyrouter.homes.limits import STALE_AFTER_S
from bramleyrouter.homes.registrations import has_authority
from bramleyrouter.homes.state import HomesState, ServerEntry
from bramleyrouter.states import ServerState

Refusal = tuple[Code, str]


def has_stale_config(state: HomesState, now: float) -> bool:
    """Return whether this daemon's configuration was not confirmed in time."""
    return now - state.board.config.confirmed_at > STALE_AFTER_S


def is_taken_out(state: HomesState, entry: ServerEntry) -> bool:
    """Return whether operators took the server or its data centre out."""
    config = state.board.config
    return (
        state.board.identity.data_centre in config.data_centres_out
        or entry.target.server_id in config.servers_out
    )


def find_refusal(
    state: HomesState, entry: ServerEntry, has_stale_remote_sender: bool, now: float
) -> Refusal | None:
    """Return why nothing may be dispatched to the server now, or None.

    ``has_stale_remote_sender`` is true if the sender is in another data centre and its
    configuration is stale. If the home's configuration is stale as well, the data
    centre may have been taken out without either daemon having received the change.
    """
    if has_stale_remote_sender and has_stale_config(state, now):
        text = "Neither side's configuration is confirmed."
        return Code.STALE_HOME, text
    if is_taken_out(state, entry):
        return Code.SERVER_OUT, "The server or its data centre is out of service."
    return find_server_refusal(entry, now)


def find_server_refusal(entry: ServerEntry, now: float) -> Refusal | None:
    """Return why the server's own state forbids dispatching now, or None.

    Unlike ``find_refusal``, this ignores the configuration.
    """
    registered = entry.registered
    if registered.is_withdrawn or registered.announcement.state is ServerState.DRAINING:
        return Code.SERVER_LEAVING, "The server drains or has withdrawn."
    if entry.is_leaving:
        return Code.SERVER_LEAVING, "The server says that it leaves."
    if registered.announcement.state is ServerState.STARTING:
        return Code.NOT_READY, "The server is starting."
    if not has_authority(registered, now):
        return Code.NO_AUTHORITY, "The home has no authority over the server now."
    if is_held_down(entry.hold_down, now):
        return Code.HELD_DOWN, "The server is held down."
    if now < entry.wants_none_until:
        wait_s = entry.wants_none_until - now
        return Code.SERVER_REFUSED, f"The server wants no requests for {wait_s:.1f} s."
    if now < entry.retry_at:
        return Code.CONNECT_FAILED, "The server refused its last connection."
    return None
