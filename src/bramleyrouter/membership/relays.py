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
    """Return the relays of a data centre: live entry daemons, at most two.

    Daemons that are still joining serve only while there are no others; a
    daemon under suspicion stays, so that a false one moves no subscription.
    """
    by_state: dict[DaemonState, list[DaemonRecord]] = {}
    for record in records:
        if record.data_centre == data_centre and not record.is_control:
            by_state.setdefault(record.state, []).append(record)
    settled = by_state.get(DaemonState.ALIVE, []) + by_state.get(
        DaemonState.SUSPECT, []
    )
    candidates = settled or by_state.get(DaemonState.JOINING, [])
    by_id = {record.daemon_id: record for record in candidates}
    best = rank_by_rendezvous_hash(data_centre, by_id)[:RELAYS_PER_CENTRE]
    return tuple(by_id[name] for name in best)  # type: ignore[index]
