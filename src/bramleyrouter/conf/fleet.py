"""Settings of daemons that serve by route table, whatever gives them."""

from typing import NamedTuple

from bramleyrouter.ids import DaemonId, DataCentre


class FleetBounds(NamedTuple):
    """Hold the bounds of the deployment; times are in seconds.

    ``drain_s`` is how long after its acknowledgement a draining server may get
    work, ``stop_s`` how long a process has from SIGTERM to SIGKILL.
    ``catch_up_s`` is when a VM that came back counts again.
    """

    drain_s: float = 3.0
    stop_s: float = 6.0
    contact_s: float = 4.0
    catch_up_s: float = 4.0
    extra_ratio: float = 0.2
    extra_window_s: float = 10.0
    extra_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0


class FleetSettings(NamedTuple):
    """Hold the settings of one daemon; addresses are "ip:port".

    ``seeds`` are internal addresses of some control daemons.
    ``tolerated_losses`` counts the control daemons that may be lost at once.
    """

    daemon_id: DaemonId
    data_centre: DataCentre
    data_centres: tuple[DataCentre, ...]
    internal_address: str
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    caller_address: str
    ready_address: str
    control_address: str
    metrics_address: str
    heartbeat_s: float
    tolerated_losses: int
    bounds: FleetBounds
