"""Which of two records of a daemon is newer, and how records are summarised."""

from functools import lru_cache
from hashlib import blake2b

from bramleyrouter.board.sections import DaemonRecord, Identity
from bramleyrouter.ids import DaemonId
from bramleyrouter.membership.messages import DAEMON_STATES, Entry
from bramleyrouter.states import DaemonState

HASH_BYTES = 8
# More than the daemons of ten regions; only speed depends on it.
MAX_NAME_HASHES = 8192

# What peers found out overrides what the daemon said before; within one
# statement of the daemon a verdict is never withdrawn.
_VERDICT_RANKS = {DaemonState.SUSPECT: 1, DaemonState.DEAD: 2}


def state_of(entry: Entry) -> DaemonState:
    """Return the state that ``entry`` gives."""
    return DAEMON_STATES[entry.state]


def state_number(state: DaemonState) -> int:
    """Return the number of ``state`` on the wire."""
    return DAEMON_STATES.index(state)


def order_of(incarnation: int, statement: int, state: int) -> tuple[int, int, int]:
    """Return the place of a record among those of the same daemon.

    Statements go first: after its clock stepped back, a restarted daemon has a
    smaller incarnation than its former self, and can still speak above it.
    """
    return statement, incarnation, _VERDICT_RANKS.get(DAEMON_STATES[state], 0)


def is_newer(entry: Entry, than: Entry | None) -> bool:
    """Return whether ``entry`` replaces ``than``, a record of the same daemon."""
    if than is None:
        return True
    return order_of(entry.incarnation, entry.statement, entry.state) > order_of(
        than.incarnation, than.statement, than.state
    )


def is_dead(entry: Entry) -> bool:
    """Return whether ``entry`` says that the daemon ended."""
    return DAEMON_STATES[entry.state] is DaemonState.DEAD


def hash_of(entry: Entry, version: int) -> int:
    """Return 64 bits that change with the record and its table's version."""
    order = order_of(entry.incarnation, entry.statement, entry.state)
    text = f"{entry.daemon_id}/{order}/{version}"
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=MAX_NAME_HASHES)
def name_hash(name: DaemonId) -> bytes:
    """Return 8 bytes that stand for a daemon's id."""
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()


def own_entry(identity: Identity, is_control: bool) -> Entry:
    """Return the first entry of a daemon about itself.

    Its statements count from the incarnation, so that an ordinary restart is
    newer than its former self before it has heard of that.
    """
    return Entry(
        identity.daemon_id,
        identity.incarnation,
        int(identity.incarnation),
        state_number(DaemonState.JOINING),
        is_control,
        identity.data_centre,
        identity.internal_address,
        identity.http_address,
    )


def record_of(entry: Entry, is_reachable: bool) -> DaemonRecord:
    """Return the board's record; a live daemon out of reach shows as suspect."""
    state = state_of(entry)
    if not is_reachable and state is not DaemonState.DEAD:
        state = DaemonState.SUSPECT
    return DaemonRecord(
        entry.daemon_id,
        entry.incarnation,
        entry.data_centre,
        entry.internal_address,
        entry.http_address,
        state,
        entry.is_control,
    )
