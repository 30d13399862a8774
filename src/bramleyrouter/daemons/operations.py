"""Connect the operators' HTTP endpoints to the parts that handle them."""

import random
from collections.abc import Callable

from bramleyrouter.board.blackboard import Board
from bramleyrouter.conf.settings import Settings
from bramleyrouter.control.client import build_control_admin
from bramleyrouter.control.interfaces import ControlClient
from bramleyrouter.control.messages import SetAvailability
from bramleyrouter.edges.http import EndpointSpec
from bramleyrouter.edges.operators.handlers import (
    OperatorAccess,
    build_operator_endpoints,
)
from bramleyrouter.wire.network import Network


def build_daemon_operator_endpoints(
    cfg: Settings,
    board: Board,
    network: Network,
    client: ControlClient,
    clock: Callable[[], float],
    rng: random.Random,
) -> list[EndpointSpec]:
    """Build the operators' HTTP endpoints, which every daemon serves."""

    def is_known(operation: SetAvailability) -> bool:
        servers = board.servers.records
        if operation.server_id is not None:
            return operation.server_id in servers
        daemons = board.daemons.records.values()
        data_centres = {record.data_centre for record in daemons}
        data_centres |= {record.data_centre for record in servers.values()}
        return operation.data_centre in data_centres

    access = OperatorAccess(
        client,
        build_control_admin(network, cfg.control, clock, rng),
        lambda: board.config,
        is_known,
    )
    return build_operator_endpoints(access, cfg.operator_token)
