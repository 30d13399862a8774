"""What the daemons that serve by route table have in common."""

from bramleyrouter.board.blackboard import Board
from bramleyrouter.board.sections import Identity
from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.ids import DaemonIncarnation

# The deployment gives its processes no secret; the key keeps strangers' bytes
# out of the internal protocol and proves nothing more.
CLUSTER_KEY = b"bramleyrouter-internal"


def board_of(cfg: FleetSettings) -> Board:
    """Return the board of a daemon that starts now."""
    # No part of these daemons compares incarnations: a later stream or member
    # replaces the former one.
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
