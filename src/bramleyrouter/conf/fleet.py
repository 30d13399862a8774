"""Settings of daemons that serve by route table, whatever gives them."""

from typing import NamedTuple

from bramleyrouter.ids import DaemonId, DataCentre


class FleetBounds(NamedTuple):
    """Hold the bounds of the deployment; times are in seconds.

    ``drain_s`` is how long after its acknowledgement a draining server may get
    work, ``stop_s`` how long a process has from SIGTERM to SIGKILL.
    ``contact_s`` is how long after a disturbance the other bounds hold again.
    ``catch_up_s`` is when a VM that came back counts again. ``apply_s`` is when
    an acknowledged table is in force everywhere, ``evacuate_s`` when a data
    centre that was taken out gets no more work.
    """

    drain_s: float = 3.0
    stop_s: float = 6.0
    contact_s: float = 4.0
    catch_up_s: float = 4.0
    apply_s: float = 3.0
    evacuate_s: float = 5.0
    extra_ratio: float = 0.2
    extra_window_s: float = 10.0
    extra_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0


# Part of the shortest bound in which a dead stream is found out; the rest is
# for a new connection and for what was missed meanwhile.
SILENT_SHARE_OF_BOUND = 0.65
# Longest time, in seconds: a stream that is silent for longer is dead.
MAX_SILENT_STREAM_S = 2.0
# Signs of life in that time, so that one or two may be late.
KEEPALIVES_PER_TIMEOUT = 3


class StreamTimes(NamedTuple):
    """Hold the times of the streams between daemons, in seconds.

    ``keepalive_interval_s`` is the time between two keepalives of a stream. A stream
    that carries nothing for ``stream_timeout_s`` counts as dead.
    """

    keepalive_interval_s: float = MAX_SILENT_STREAM_S / KEEPALIVES_PER_TIMEOUT
    stream_timeout_s: float = MAX_SILENT_STREAM_S


def compute_stream_times(bounds: FleetBounds) -> StreamTimes:
    """Return the times by which daemons keep the bounds on a dead connection.

    For example, where a table must be in force within 1.5 s, a stream is taken
    for dead after 0.975 s.
    """
    shortest_s = min(
        bounds.contact_s, bounds.drain_s, bounds.apply_s, bounds.evacuate_s
    )
    stream_timeout_s = min(MAX_SILENT_STREAM_S, SILENT_SHARE_OF_BOUND * shortest_s)
    return StreamTimes(stream_timeout_s / KEEPALIVES_PER_TIMEOUT, stream_timeout_s)


class FleetSettings(NamedTuple):
    """Hold the settings of one daemon; addresses are "ip:port".

    ``seeds`` are internal addresses of some control daemons.
    ``tolerated_losses`` counts the control daemons that may be lost at once.
    ``cores`` is the VM's share of a core, 1.0 for a whole one.
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
    cores: float
    bounds: FleetBounds
