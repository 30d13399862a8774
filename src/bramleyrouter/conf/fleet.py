"""Settings of the fleet: daemons that serve callers by a route table.

The ``fleet`` package, in contrast, is about the backend servers that these daemons
route to. The settings don't depend on the format of the file that they are read from.
"""

from typing import NamedTuple

from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.utils.parse_turns import MAX_CONNECTIONS


class FleetBounds(NamedTuple):
    """Hold the bounds that the deployment guarantees; times are in seconds.

    ``drain_s`` is the time for which a draining server may still receive requests
    after its announcement was acknowledged. ``stop_s`` is the time from SIGTERM
    to SIGKILL. ``contact_s`` is the time after a disturbance within which the
    other bounds hold again, ``catch_up_s`` that within which a VM that came back
    counts again. ``apply_s`` is the time within which an acknowledged route table
    is in force everywhere, ``evacuate_s`` that within which a data centre that
    was taken out receives no more requests.

    Extra sends (retries and hedges) of a service are at most ``extra_ratio`` times
    its requests plus ``extra_slack``, within any ``extra_window_s``. A cold server
    receives at most ``cold_factor`` times its cold rate plus ``cold_slack``
    requests per second.

    In any ``quota_window_s``, a customer has at most ``rate * quota_window_s + burst``
    requests times 1 plus ``quota_excess``, plus ``quota_slack``.

    A server version under trial receives at most ``canary_share`` of the requests of
    its service plus ``canary_slack``, and nothing from ``rollback_s`` seconds after its
    50th bad answer on.
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
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0


# Share of the shortest bound after which a silent stream counts as dead; the rest is
# for a new connection and for the updates that were missed meanwhile.
STREAM_TIMEOUT_SHARE = 0.65
# Longest stream timeout, in seconds, however long the bounds are.
MAX_STREAM_TIMEOUT_S = 2.0
# Keepalives sent per stream timeout, so that one or two of them may be late.
KEEPALIVES_PER_TIMEOUT = 3


class StreamTimes(NamedTuple):
    """Hold the times of the streams between daemons, in seconds.

    ``keepalive_interval_s`` is the time between two keepalives of a stream. A
    stream that carries nothing for ``stream_timeout_s`` counts as dead.
    """

    keepalive_interval_s: float = MAX_STREAM_TIMEOUT_S / KEEPALIVES_PER_TIMEOUT
    stream_timeout_s: float = MAX_STREAM_TIMEOUT_S


def compute_stream_times(bounds: FleetBounds) -> StreamTimes:
    """Return stream times short enough to keep the bounds when a stream dies.

    For example, if a route table must be in force within 1.5 s, a silent stream
    counts as dead after 0.975 s.
    """
    shortest_s = min(
        bounds.contact_s, bounds.drain_s, bounds.apply_s, bounds.evacuate_s
    )
    stream_timeout_s = min(MAX_STREAM_TIMEOUT_S, STREAM_TIMEOUT_SHARE * shortest_s)
    return StreamTimes(stream_timeout_s / KEEPALIVES_PER_TIMEOUT, stream_timeout_s)


class FleetSettings(NamedTuple):
    """Hold the settings of one daemon; addresses are "ip:port".

    ``seeds`` are internal addresses of some control daemons, by which a daemon
    finds the others. ``tolerated_losses`` is the number of control daemons that
    may fail at the same time. ``cores`` is the share of a CPU core that the VM
    may use, 1.0 for a whole one. ``memory_bytes`` is the memory above which the
    platform kills the process. ``max_connections`` limits the open connections of
    each listener for HTTP.
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
    memory_bytes: int
    bounds: FleetBounds
    max_connections: int = MAX_CONNECTIONS
