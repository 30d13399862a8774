"""Register backend servers and renew their leases.

The server decides which daemon is its home, by echoing that daemon's tokens. A home
has authority, which means that it may dispatch to the server, for ``AUTHORITY_S``
after the timestamp in the last token that the server echoed. A token that was issued
but never echoed grants nothing, so two daemons that replied to the same registration
never have authority at the same time.

All functions are pure and work on immutable state.
"""

import math

import msgspec
from result import Err, Ok, Result

from bramleyrouter.board.sections import Identity
from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.limits import (
    AUTHORITY_S,
    AUTHORITY_WAIT_S,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    MAX_VERSION_NUMBER,
)
from bramleyrouter.homes.messages import Announcement, LeaseToken
from bramleyrouter.ids import Registration
from bramleyrouter.utils.addresses import split_address


class RegisteredServer(msgspec.Struct, frozen=True):
    """Hold one server's registration with its home.

    ``dispatch_after`` and ``authority_until`` are loop times in seconds. The home may
    dispatch to the server between them. Before the first echo ``authority_until`` is
    minus infinity, so that nothing is dispatched.
    """

    announcement: Announcement
    dispatch_after: float
    authority_until: float = -math.inf
    is_withdrawn: bool = False

    @property
    def version_key(self) -> tuple[int, int, int]:
        """Return the version key of the last announcement."""
        return get_version_key(self.announcement)

    @property
    def has_echoed_token(self) -> bool:
        """Return whether the server has ever echoed a token of this home."""
        return self.authority_until > -math.inf


def get_version_key(announcement: Announcement) -> tuple[int, int, int]:
    """Return the key that orders the announcements of one server.

    It consists of incarnation, registration and sequence number. Keys with the same
    first two items (``[:2]``) belong to the same registration.
    """
    return (
        announcement.incarnation,
        announcement.registration,
        announcement.sequence,
    )


def has_authority(registered: RegisteredServer, now: float) -> bool:
    """Return whether the home may dispatch to the server at ``now``."""
    return registered.dispatch_after <= now < registered.authority_until


def build_token(
    identity: Identity, registered: RegisteredServer, now: float
) -> LeaseToken:
    """Build the token that the server is to echo at its next renewal."""
    return LeaseToken(
        identity.daemon_id,
        identity.incarnation,
        registered.announcement.registration,
        now,
    )


def check_announcement(announcement: Announcement) -> Result[None, Failure]:
    """Check that the values of an announcement are valid."""
    if not 1 <= announcement.slots <= MAX_SLOTS:
        return _build_invalid_value_error(
            "slots", announcement.slots, f"1 to {MAX_SLOTS}"
        )
    if not 1 <= announcement.connection_limit <= MAX_CONNECTIONS:
        limit = announcement.connection_limit
        return _build_invalid_value_error(
            "connection_limit", limit, f"1 to {MAX_CONNECTIONS}"
        )
    for field_name, value, minimum in (
        ("registration", announcement.registration, 1),
        ("incarnation", announcement.incarnation, 0),
        ("sequence", announcement.sequence, 0),
    ):
        if not minimum <= value <= MAX_VERSION_NUMBER:
            return _build_invalid_value_error(
                field_name, value, f"{minimum} to {MAX_VERSION_NUMBER}"
            )
    lease = announcement.lease
    if lease is not None and lease.registration != announcement.registration:
        return _build_invalid_value_error(
            "lease", lease, "a token of this registration"
        )
    if not announcement.server_id:
        return _build_invalid_value_error("server_id", "", "a name")
    try:
        split_address(announcement.address)
    except ValueError:
        return _build_invalid_value_error("address", announcement.address, '"ip:port"')
    return Ok(None)


def _build_invalid_value_error(
    field_name: str, value: object, expected: str
) -> Err[Failure]:
    text = f'"{field_name}" is "{value}"; {expected} was expected.'
    return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))


def _build_old_announcement_error(announcement: Announcement) -> Err[Failure]:
    text = (
        f'A newer announcement of "{announcement.server_id}" than incarnation '
        f'"{announcement.incarnation}", registration "{announcement.registration}", '
        f'sequence "{announcement.sequence}" is known.'
    )
    return Err(Failure(Code.OLD_ANNOUNCEMENT, text))


def _build_unknown_lease_error(text: str) -> Err[Failure]:
    return Err(Failure(Code.LEASE_UNKNOWN, text))


def register(
    current: RegisteredServer | None,
    removed_key: tuple[int, int, int] | None,
    announcement: Announcement,
    now: float,
) -> Result[RegisteredServer, Failure]:
    """Register a server that announced itself without a lease.

    ``removed_key`` is the version key of the newest announcement of a server that was
    removed since. The home waits ``AUTHORITY_WAIT_S``, counted from the first
    announcement with this registration number, until the authority of an older home
    has ended. A new process starts with registration 1 and has no older home, so it
    is not delayed. Returns ``OLD_ANNOUNCEMENT`` if a newer announcement is known.
    """
    known_key = current.version_key if current is not None else removed_key
    if known_key is not None and get_version_key(announcement) <= known_key:
        return _build_old_announcement_error(announcement)
    if (
        current is not None
        and get_version_key(announcement)[:2] == current.version_key[:2]
    ):
        if current.is_withdrawn:
            return _build_old_announcement_error(announcement)
        return Ok(msgspec.structs.replace(current, announcement=announcement))
    is_new_process = known_key is None or announcement.incarnation > known_key[0]
    needs_wait = announcement.registration > 1 or not is_new_process
    wait_s = AUTHORITY_WAIT_S if needs_wait else 0.0
    return Ok(RegisteredServer(announcement, now + wait_s))


def renew(
    identity: Identity,
    current: RegisteredServer | None,
    announcement: Announcement,
    now: float,
) -> Result[RegisteredServer, Failure]:
    """Renew a lease.

    The new end of authority depends only on the timestamp in the echoed token, so
    that a delayed or replayed renewal does not extend it.
    """
    lease = announcement.lease
    if lease is None or (lease.home, lease.home_incarnation) != (
        identity.daemon_id,
        identity.incarnation,
    ):
        return _build_unknown_lease_error(
            "The lease is not from this daemon's present run."
        )
    if lease.registration != announcement.registration or lease.stamp_s > now:
        return _build_invalid_value_error(
            "lease", lease, "a token that this home issued"
        )
    if current is None or get_version_key(announcement)[:2] > current.version_key[:2]:
        return _build_unknown_lease_error(
            f'"{announcement.server_id}" is not registered here.'
        )
    if current.is_withdrawn or get_version_key(announcement) <= current.version_key:
        return _build_old_announcement_error(announcement)
    until = max(current.authority_until, lease.stamp_s + AUTHORITY_S)
    return Ok(
        msgspec.structs.replace(
            current, announcement=announcement, authority_until=until
        )
    )


def take_over(
    known_key: tuple[int, int, int] | None, announcement: Announcement, now: float
) -> Result[RegisteredServer, Failure]:
    """Take a server over from a home that has permanently stopped dispatching to it."""
    if known_key is not None and get_version_key(announcement)[:2] <= known_key[:2]:
        return _build_old_announcement_error(announcement)
    return Ok(RegisteredServer(announcement, now))


def build_handover_announcement(announcement: Announcement) -> Announcement:
    """Build the announcement that the next home takes over."""
    next_registration = Registration(announcement.registration + 1)
    return msgspec.structs.replace(
        announcement, registration=next_registration, lease=None
    )


def withdraw(
    current: RegisteredServer | None, incarnation: int
) -> Result[RegisteredServer, Failure]:
    """Mark a server as withdrawn for the rest of its incarnation."""
    if current is None:
        return _build_unknown_lease_error("The server is not registered here.")
    if incarnation != current.announcement.incarnation:
        return _build_old_announcement_error(current.announcement)
    return Ok(msgspec.structs.replace(current, is_withdrawn=True))


def has_changed_limits(before: Announcement, after: Announcement) -> bool:
    """Return whether the declared limits changed within one registration.

    A change of the address counts as well.
    """
    return get_version_key(before)[:2] == get_version_key(after)[:2] and (
        before.slots,
        before.connection_limit,
        before.address,
    ) != (after.slots, after.connection_limit, after.address)
