"""Read the platform's settings file into ``FleetSettings``."""

import os
import tomllib
from functools import partial

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.fleet import FleetBounds, FleetSettings
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, DataCentre
from bramleyrouter.platform.names import SETTINGS_VARIABLE
from bramleyrouter.utils.byte_budgets import DEFAULT_MEMORY_BYTES
from bramleyrouter.utils.decoding import DECODE_ERRORS
from bramleyrouter.utils.parse_turns import MAX_CONNECTIONS

MS_PER_SECOND = 1000.0
# Must match deploy/system.toml, which sets the same port for every VM.
METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000
# Lower limit of ``FleetSettings.memory_bytes``: less would hold not even one reply.
MIN_MEMORY_MB = 32.0
# Lower limit of ``FleetSettings.cores``, so that times computed from it stay finite.
MIN_CORES = 0.05


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    # ``cpu_share`` is the share that the VM gets of each core, and ``cores`` is the
    # VM's speed factor. Their product is the VM's processor time in cores.
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    max_connections: int = MAX_CONNECTIONS


class _FaultTolerance(msgspec.Struct):
    machines: int = 1


class _Bounds(msgspec.Struct, rename="camel"):
    drain_ms: float = 3000
    grace_s: float = 6
    contact_ms: float = 4000
    catchup_s: float = 4
    config_apply_ms: float = 3000
    evacuate_ms: float = 5000
    retry_budget: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    warmup_factor: float = 1.5
    warmup_slack: float = 5
    quota_window_s: float = 5
    quota_excess: float = 0.1
    quota_slack: float = 20
    canary_share: float = 0.1
    canary_slack: float = 50
    rollback_ms: float = 5000


class _SettingsFile(msgspec.Struct, rename="camel"):
    node: str
    ip: str
    zone: str
    internal_ports: list[int]
    # The addresses at which external clients reach some control daemons. Their ports
    # are not the internal ones.
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1200
    zones: dict[str, str] = {}
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def get_settings_path() -> str:
    """Return the path of the settings file; raise ``KeyError`` if it is not set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise KeyError(SETTINGS_VARIABLE)
    return path


def read_settings(path: str) -> Result[FleetSettings, Failure]:
    """Read the file; fail with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``."""
    return read_content(path).and_then(partial(decode_settings, path))


def read_content(path: str) -> Result[bytes, Failure]:
    """Return the content of the file; fail with ``SETTINGS_UNREADABLE``."""
    try:
        with open(path, "rb") as file:
            return Ok(file.read())
    except OSError as exc:
        return Err(_build_unreadable(path, exc))


def decode_settings(path: str, content: bytes) -> Result[FleetSettings, Failure]:
    """Decode the content of the file ``path``; fail as ``read_settings`` does."""
    try:
        fields = tomllib.loads(content.decode())
    except DECODE_ERRORS as exc:
        return Err(_build_unreadable(path, exc))
    try:
        return Ok(_build_settings(msgspec.convert(fields, _SettingsFile, strict=False)))
    except (IndexError, *DECODE_ERRORS) as exc:
        text = f'"{path}" holds no valid settings: {exc}.'
        return Err(Failure(Code.SETTINGS_INVALID, text))


def _build_unreadable(path: str, exc: Exception) -> Failure:
    return Failure(Code.SETTINGS_UNREADABLE, f'"{path}" can\'t be read: {exc}.')


def _build_settings(file: _SettingsFile) -> FleetSettings:
    # All VMs use the same ports, so a seed's IP address gives its internal address.
    port = file.internal_ports[0]
    return FleetSettings(
        daemon_id=DaemonId(file.node),
        data_centre=DataCentre(file.zone),
        data_centres=tuple(DataCentre(name) for name in file.zones),
        internal_address=f"{file.ip}:{port}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in file.seeds),
        is_first_start=file.bootstrap,
        data_folder=file.data_dir,
        caller_address=file.listen.front,
        ready_address=file.listen.ready,
        control_address=file.listen.control,
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        heartbeat_s=file.heartbeat_ms / MS_PER_SECOND,
        tolerated_losses=file.fault_tolerance.machines,
        cores=max(MIN_CORES, file.limits.cpu_share * file.limits.cores),
        memory_bytes=int(max(MIN_MEMORY_MB, file.limits.memory_mb) * BYTES_PER_MB),
        max_connections=max(1, file.limits.max_connections),
        bounds=FleetBounds(
            drain_s=file.bounds.drain_ms / MS_PER_SECOND,
            stop_s=file.bounds.grace_s,
            contact_s=file.bounds.contact_ms / MS_PER_SECOND,
            catch_up_s=file.bounds.catchup_s,
            apply_s=file.bounds.config_apply_ms / MS_PER_SECOND,
            evacuate_s=file.bounds.evacuate_ms / MS_PER_SECOND,
            extra_ratio=file.bounds.retry_budget,
            extra_window_s=file.bounds.budget_window_s,
            extra_slack=file.bounds.budget_slack,
            cold_factor=file.bounds.warmup_factor,
            cold_slack=file.bounds.warmup_slack,
            quota_window_s=file.bounds.quota_window_s,
            quota_excess=file.bounds.quota_excess,
            quota_slack=file.bounds.quota_slack,
            canary_share=file.bounds.canary_share,
            canary_slack=file.bounds.canary_slack,
            rollback_s=file.bounds.rollback_ms / MS_PER_SECOND,
        ),
    )
