"""Test the choice of the home of a backend server."""

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.homes.placement import filter_home_candidates
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre
from bramleyrouter.states import DaemonState


def make_daemon(name, state=DaemonState.ALIVE, is_control=False, centre="dc1"):
    return DaemonRecord(
        DaemonId(name),
        DaemonIncarnation(1),
        DataCentre(centre),
        "127.0.0.1:1",
        "127.0.0.1:2",
        state,
        is_control,
    )


class TestHomeCandidates:
    """Guard against the choice of a daemon that can't be a home.

    Servers can't register with control daemons.
    """

    def test_only_live_entry_daemons_of_the_data_centre_become_homes(self):
        records = [
            make_daemon("entry-1"),
            make_daemon("control-1", is_control=True),
            make_daemon("entry-2", state=DaemonState.SUSPECT),
            make_daemon("entry-3", centre="dc2"),
        ]
        found = filter_home_candidates(records, DataCentre("dc1"))
        assert [record.daemon_id for record in found] == ["entry-1"]
