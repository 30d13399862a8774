"""Which other data centres gave a sign of life, and whether one is cut off.

All here is pure but for the state that it updates: time is passed in.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyrouter.ids import DataCentre

# Without a sign of life from any other data centre for this part of the time
# between two signs of a control daemon, a daemon that also lacks servers is cut
# off. Under load, replies come each few milliseconds; without any, the control
# daemons of two data centres speak.
CUT_OFF_SHARE = 0.9
# A data centre that was not heard for so many times as long was out of reach:
# two signs of life of its control daemon were missed.
UNREACHABLE_FACTOR = 2.25


@dataclass
class DataCentreContacts:
    """Hold when each other data centre was last heard, by the loop's clock.

    One that was not heard yet counts as heard at the start. ``keepalive_interval_s`` is
    the time between two signs of life of a control daemon, in seconds.
    """

    own_data_centre: DataCentre
    keepalive_interval_s: float
    last_contact_at: dict[DataCentre, float] = field(default_factory=dict)
    is_cut_off: bool = False


def record_contact(
    contacts: DataCentreContacts, data_centre: DataCentre, now: float
) -> bool:
    """Note a sign of life; return whether the data centre was out of reach."""
    if data_centre == contacts.own_data_centre:
        return False
    before = contacts.last_contact_at.get(data_centre, now)
    contacts.last_contact_at[data_centre] = now
    contacts.is_cut_off = False
    return now - before >= UNREACHABLE_FACTOR * contacts.keepalive_interval_s


def build_contacts(
    own_data_centre: DataCentre,
    data_centres: Iterable[DataCentre],
    keepalive_interval_s: float,
    now: float,
) -> DataCentreContacts:
    """Return the contacts of a daemon that starts now."""
    others = (name for name in data_centres if name != own_data_centre)
    return DataCentreContacts(
        own_data_centre, keepalive_interval_s, dict.fromkeys(others, now)
    )


def compute_time_since_contact(contacts: DataCentreContacts, now: float) -> float:
    """Return the seconds since any other data centre was heard; 0 without any."""
    return now - max(contacts.last_contact_at.values(), default=now)


def update_is_cut_off(
    contacts: DataCentreContacts, has_uncovered_route: Callable[[], bool], now: float
) -> bool:
    """Return whether this daemon is cut off now.

    Silence alone is not enough: the control daemons of the other data centres
    may be down while their servers answer. Once cut off it stays so until it
    hears something, since suspicions of servers lapse without any news.
    """
    is_silent = (
        compute_time_since_contact(contacts, now)
        >= CUT_OFF_SHARE * contacts.keepalive_interval_s
    )
    if is_silent and has_uncovered_route():
        contacts.is_cut_off = True
    return contacts.is_cut_off
