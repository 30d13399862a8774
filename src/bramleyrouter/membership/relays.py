"""Choice of relays by rendezvous hashing."""

from collections.abc import Iterable

from bramleyrouter.board.sections import DaemonRecord
from bramleyrouter.ids import DataCentre
from bramleyrouter.states import DaemonState
from bramleyrouter.utils.rendezvous import rank_by_rendezvous_hash

RELAYS_PER_CENTRE = 2


def choose_relays(
    data_centre: DataCentre, records: Iterable[DaemonRecord]
) -> tuple[DaemonRecord, ...]:
    """Choose the relays of a data centre: live entry daemons, at most two.

    Joining daemons are chosen only while there are no others. A suspected daemon
    remains a candidate, so that a false suspicion does not make the daemons that
    subscribe to relays change to another one.
    """
    by_state: dict[DaemonState, list[DaemonRecord]] = {}
    for record in records:
        if record.data_centre == data_centre and not record.is_control:
            by_state.setdefault(record.state, []).append(record)
    usable = by_state.get(DaemonState.ALIVE, []) + by_state.get(DaemonState.SUSPECT, [])
    candidates = usable or by_state.get(DaemonState.JOINING, [])
    by_id = {record.daemon_id: record for record in candidates}
    best = rank_by_rendezvous_hash(data_centre, by_id)[:RELAYS_PER_CENTRE]
    return tuple(by_id[daemon_id] for daemon_id in best)  # type: ignore[index]
