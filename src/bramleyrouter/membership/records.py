"""The order of two records of one daemon, and the hashes of records."""

from functools import lru_cache
from hashlib import blake2b

from bramleyrouter.board.sections import DaemonRecord, Identity
from bramleyrouter.ids import DaemonId
from bramleyrouter.membership.messages import DAEMON_STATES, Entry
from bramleyrouter.states import DaemonState

HASH_BYTES = 8
# Exceeds the number of daemons of ten regions; a smaller cache would only be slower.
MAX_CACHED_ID_HASHES = 8192

# A state that peers declared overrides the state that the daemon sent with the same
# statement number. Only a later statement of the daemon itself can reverse it.
_DECLARED_STATE_RANKS = {DaemonState.SUSPECT: 1, DaemonState.DEAD: 2}


def get_state(entry: Entry) -> DaemonState:
    """Return the daemon state of ``entry``."""
    return DAEMON_STATES[entry.state]


def get_state_number(state: DaemonState) -> int:
    """Return the number that stands for ``state`` in messages."""
    return DAEMON_STATES.index(state)


def version_key(incarnation: int, statement: int, state: int) -> tuple[int, int, int]:
    """Return the sort key that orders the records of one daemon.

    The statement decides first. If the clock stepped back, a restarted daemon has a
    smaller incarnation than before, and can still send a newer record by raising
    its statement.
    """
    return statement, incarnation, _DECLARED_STATE_RANKS.get(DAEMON_STATES[state], 0)


def is_newer(entry: Entry, than: Entry | None) -> bool:
    """Return whether ``entry`` replaces ``than``, a record of the same daemon."""
    if than is None:
        return True
    return version_key(entry.incarnation, entry.statement, entry.state) > version_key(
        than.incarnation, than.statement, than.state
    )


def is_dead(entry: Entry) -> bool:
    """Return whether the daemon of ``entry`` is dead."""
    return DAEMON_STATES[entry.state] is DaemonState.DEAD


def compute_entry_hash(entry: Entry, version: int) -> int:
    """Return a 64-bit hash of a record and of the version of its rows."""
    key = version_key(entry.incarnation, entry.statement, entry.state)
    text = f"{entry.daemon_id}/{key}/{version}"
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=MAX_CACHED_ID_HASHES)
def hash_daemon_id(daemon_id: DaemonId) -> bytes:
    """Return an 8-byte hash of a daemon's id."""
    return blake2b(daemon_id.encode(), digest_size=HASH_BYTES).digest()


def build_own_entry(identity: Identity, is_control: bool) -> Entry:
    """Build the first entry of a daemon about itself.

    Its statements count from the incarnation, so that after an ordinary restart
    the entry is newer than all earlier ones, which the daemon need not know.
    """
    return Entry(
        identity.daemon_id,
        identity.incarnation,
        int(identity.incarnation),
        get_state_number(DaemonState.JOINING),
        is_control,
        identity.data_centre,
        identity.internal_address,
        identity.http_address,
    )


def build_daemon_record(entry: Entry, is_reachable: bool) -> DaemonRecord:
    """Build the blackboard's record; an unreachable live daemon becomes suspect."""
    state = get_state(entry)
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
