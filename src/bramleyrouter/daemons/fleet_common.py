"""Parts shared by the daemons that serve by route table."""

from bramleyrouter.board.blackboard import Board
from bramleyrouter.board.sections import Identity
from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.ids import DaemonIncarnation

# The deployment gives its processes no secret, so this key is public: it keeps
# unrelated traffic out of the internal protocol but authenticates nobody.
CLUSTER_KEY = b"bramleyrouter-internal"


def build_board(cfg: FleetSettings) -> Board:
    """Build the blackboard of a daemon that is starting."""
    # A constant is enough, as these daemons never compare incarnations: a later
    # stream or member replaces the earlier one.
    incarnation = DaemonIncarnation(1)
    http_address = cfg.caller_address or cfg.control_address
    return Board(
        Identity(
            cfg.daemon_id,
            incarnation,
            cfg.data_centre,
            cfg.internal_address,
            http_address,
        )
    )
