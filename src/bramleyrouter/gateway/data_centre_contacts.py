"""Track the last contact with each other data centre, and detect isolation.

The functions perform no I/O: they update only the passed state, and the time is a
parameter.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyrouter.ids import DataCentre

# Number of keepalive intervals of a control daemon without a message from any other
# data centre after which a daemon that also lacks servers is cut off. Less than one
# interval is enough: under load, replies arrive every few milliseconds; without load,
# the control daemons of two other data centres send keepalives.
CUT_OFF_INTERVALS = 0.9
# Number of keepalive intervals without contact after which a data centre counts as
# unreachable: its control daemon has missed two keepalives.
UNREACHABLE_INTERVALS = 2.25


@dataclass
class DataCentreContacts:
    """Hold the loop time of the last contact with each other data centre.

    A data centre without any contact yet counts as contacted at the start.
    ``keepalive_interval_s`` is the time between two keepalives of a control daemon, in
    seconds.
    """

    own_data_centre: DataCentre
    keepalive_interval_s: float
    last_contact_at: dict[DataCentre, float] = field(default_factory=dict)
    is_cut_off: bool = False


def record_contact(
    contacts: DataCentreContacts, data_centre: DataCentre, now: float
) -> bool:
    """Record a message from a data centre; return whether it was unreachable before."""
    if data_centre == contacts.own_data_centre:
        return False
    previous_contact_at = contacts.last_contact_at.get(data_centre, now)
    contacts.last_contact_at[data_centre] = now
    contacts.is_cut_off = False
    return (
        now - previous_contact_at
        >= UNREACHABLE_INTERVALS * contacts.keepalive_interval_s
    )


def build_contacts(
    own_data_centre: DataCentre,
    data_centres: Iterable[DataCentre],
    keepalive_interval_s: float,
    now: float,
) -> DataCentreContacts:
    """Build the contacts of a daemon that starts at ``now``."""
    others = (name for name in data_centres if name != own_data_centre)
    return DataCentreContacts(
        own_data_centre, keepalive_interval_s, dict.fromkeys(others, now)
    )


def compute_time_since_contact(contacts: DataCentreContacts, now: float) -> float:
    """Return the seconds since the last contact with any other data centre.

    It is 0 if there is no other data centre.
    """
    return now - max(contacts.last_contact_at.values(), default=now)


def update_is_cut_off(
    contacts: DataCentreContacts, has_uncovered_route: Callable[[], bool], now: float
) -> bool:
    """Update and return whether this daemon is cut off from other data centres.

    Missing contact alone is not enough: the control daemons of the other data centres
    may be down while their servers answer. Once cut off, the daemon stays so until the
    next contact, because suspicions of servers expire by time even if nothing is
    received.
    """
    is_silent = (
        compute_time_since_contact(contacts, now)
        >= CUT_OFF_INTERVALS * contacts.keepalive_interval_s
    )
    if is_silent and has_uncovered_route():
        contacts.is_cut_off = True
    return contacts.is_cut_off
