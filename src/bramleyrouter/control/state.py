"""The complete state that the control daemons replicate."""

from dataclasses import dataclass, field

from bramleyrouter.control.configuration import Configuration
from bramleyrouter.control.departures import Departures
from bramleyrouter.control.ledger import Ledger
from bramleyrouter.control.operator_requests import OperatorRequests
from bramleyrouter.control.route_tables import RouteTables
from bramleyrouter.control.version_rollouts import VersionRollouts


@dataclass
class ControlState:
    """Hold the replicated state; ``now_ms`` is the latest time stamp applied."""

    now_ms: int = 0
    config: Configuration = field(default_factory=Configuration)
    requests: OperatorRequests = field(default_factory=OperatorRequests)
    routes: RouteTables = field(default_factory=RouteTables)
    ledger: Ledger = field(default_factory=Ledger)
    departures: Departures = field(default_factory=Departures)
    rollouts: VersionRollouts = field(default_factory=VersionRollouts)
