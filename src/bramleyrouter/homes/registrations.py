"""Registrations of backend servers: pure functions on immutable state.

The server arbitrates who is its home. A home has authority only while the
server echoes its tokens, for ``AUTHORITY_S`` after the timestamp in the last
echoed one. A token that was issued and never echoed grants nothing; so two
daemons that both answered the same registration never both have authority.
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
    MAX_NUMBER,
    MAX_SLOTS,
)
from bramleyrouter.homes.messages import Announcement, LeaseToken
from bramleyrouter.ids import Registration
from bramleyrouter.utils.addresses import split_address


class Registered(msgspec.Struct, frozen=True):
    """Hold what a home knows of one server's registration.

    ``authority_until`` and ``dispatch_after`` are loop times in seconds. The
    home may dispatch between them, so never before the first echo.
    """

    announcement: Announcement
    dispatch_after: float
    authority_until: float = -math.inf
    is_withdrawn: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what orders the announcements of one server."""
        return order_of(self.announcement)

    @property
    def was_echoed(self) -> bool:
        """Return whether the server has ever echoed a token of this home."""
        return self.authority_until > -math.inf


def order_of(announcement: Announcement) -> tuple[int, int, int]:
    """Return incarnation, registration and sequence number."""
    return (
        announcement.incarnation,
        announcement.registration,
        announcement.sequence,
    )


def has_authority(registered: Registered, now: float) -> bool:
    """Return whether the home may dispatch to the server at ``now``."""
    return registered.dispatch_after <= now < registered.authority_until


def make_token(identity: Identity, registered: Registered, now: float) -> LeaseToken:
    """Return the token that the server is to echo at its next renewal."""
    return LeaseToken(
        identity.daemon_id,
        identity.incarnation,
        registered.announcement.registration,
        now,
    )


def check_announcement(announcement: Announcement) -> Result[None, Failure]:
    """Refuse what no honest server declares."""
    if not 1 <= announcement.slots <= MAX_SLOTS:
        return _invalid("slots", announcement.slots, f"1 to {MAX_SLOTS}")
    if not 1 <= announcement.connection_limit <= MAX_CONNECTIONS:
        limit = announcement.connection_limit
        return _invalid("connection_limit", limit, f"1 to {MAX_CONNECTIONS}")
    for place, value, least in (
        ("registration", announcement.registration, 1),
        ("incarnation", announcement.incarnation, 0),
        ("sequence", announcement.sequence, 0),
    ):
        if not least <= value <= MAX_NUMBER:
            return _invalid(place, value, f"{least} to {MAX_NUMBER}")
    lease = announcement.lease
    if lease is not None and lease.registration != announcement.registration:
        return _invalid("lease", lease, "a token of this registration")
    if not announcement.server_id:
        return _invalid("server_id", "", "a name")
    try:
        split_address(announcement.address)
    except ValueError:
        return _invalid("address", announcement.address, '"ip:port"')
    return Ok(None)


def _invalid(place: str, value: object, expected: str) -> Err[Failure]:
    text = f'"{place}" is "{value}"; {expected} was expected.'
    return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))


def _old(announcement: Announcement) -> Err[Failure]:
    text = (
        f'A newer announcement of "{announcement.server_id}" than incarnation '
        f'"{announcement.incarnation}", registration "{announcement.registration}", '
        f'sequence "{announcement.sequence}" is known.'
    )
    return Err(Failure(Code.OLD_ANNOUNCEMENT, text))


def _unknown_lease(text: str) -> Err[Failure]:
    return Err(Failure(Code.LEASE_UNKNOWN, text))


def register(
    current: Registered | None,
    remembered: tuple[int, int, int] | None,
    announcement: Announcement,
    now: float,
) -> Result[Registered, Failure]:
    """Take an announcement without a lease.

    ``remembered`` is the order of the newest announcement of a server that
    was forgotten since. The wait counts from the first announcement with a
    registration number; a new process, number 1, has no older home to wait
    for.
    """
    known = current.order if current is not None else remembered
    if known is not None and order_of(announcement) <= known:
        return _old(announcement)
    if current is not None and order_of(announcement)[:2] == current.order[:2]:
        if current.is_withdrawn:
            return _old(announcement)
        return Ok(msgspec.structs.replace(current, announcement=announcement))
    is_new_process = known is None or announcement.incarnation > known[0]
    needs_wait = announcement.registration > 1 or not is_new_process
    wait_s = AUTHORITY_WAIT_S if needs_wait else 0.0
    return Ok(Registered(announcement, now + wait_s))


def renew(
    identity: Identity,
    current: Registered | None,
    announcement: Announcement,
    now: float,
) -> Result[Registered, Failure]:
    """Take a renewal; authority follows from the echoed timestamp alone."""
    lease = announcement.lease
    if lease is None or (lease.home, lease.home_incarnation) != (
        identity.daemon_id,
        identity.incarnation,
    ):
        return _unknown_lease("The lease is not from this daemon's present run.")
    if lease.registration != announcement.registration or lease.stamp_s > now:
        return _invalid("lease", lease, "a token that this home issued")
    if current is None or order_of(announcement)[:2] > current.order[:2]:
        return _unknown_lease(f'"{announcement.server_id}" is not registered here.')
    if current.is_withdrawn or order_of(announcement) <= current.order:
        return _old(announcement)
    until = max(current.authority_until, lease.stamp_s + AUTHORITY_S)
    return Ok(
        msgspec.structs.replace(
            current, announcement=announcement, authority_until=until
        )
    )


def take_over(
    known: tuple[int, int, int] | None, announcement: Announcement, now: float
) -> Result[Registered, Failure]:
    """Take a server from its home, which has stopped to dispatch for good."""
    if known is not None and order_of(announcement)[:2] <= known[:2]:
        return _old(announcement)
    return Ok(Registered(announcement, now))


def hand_out(announcement: Announcement) -> Announcement:
    """Return the announcement as the next home is to take it over."""
    following = Registration(announcement.registration + 1)
    return msgspec.structs.replace(announcement, registration=following, lease=None)


def withdraw(
    current: Registered | None, incarnation: int
) -> Result[Registered, Failure]:
    """Stop all new work of a server for the rest of its incarnation."""
    if current is None:
        return _unknown_lease("The server is not registered here.")
    if incarnation != current.announcement.incarnation:
        return _old(current.announcement)
    return Ok(msgspec.structs.replace(current, is_withdrawn=True))


def changed_limits(before: Announcement, after: Announcement) -> bool:
    """Return whether declared limits differ inside one registration."""
    return order_of(before)[:2] == order_of(after)[:2] and (
        before.slots,
        before.connection_limit,
        before.address,
    ) != (after.slots, after.connection_limit, after.address)
